//! One request from its arrival to its one final answer.

use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::{Service, WorkClass};
use bambooseam_observe::check_invariant;
use bambooseam_types::TargetId;
use bambooseam_view::{FlowKey, ServiceIndex, Target, View};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::upgrade::OnUpgrade;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::Instant;
use tracing::Instrument;

use crate::answer::{Cause, Outcome, OwnAnswer, insert_text};
use crate::attempt::{Tried, TryLimits, has_end, try_target};
use crate::body::{AnswerBody, BodyError, CallerFault, RequestBody};
use crate::head::{Head, OUTCOME, REQUEST_ID, REQUEST_TIMEOUT, remove_hop_headers};
use crate::keys::Claim;
use crate::peers::PeerClaim;
use crate::pool::Connection;
use crate::proxy::{Proxy, ServiceState};
use crate::routes::{OwnerAddress, Routes};
use crate::slots::{Lease, SlotFinder, SlotRequest, WorkOutcome};
use crate::source::{SlotLease, Source};
use crate::upgrade;

/// Most tries of one request.
const TRY_LIMIT: usize = 3;

/// Most grants of targets that this proxy's view does not open.
const STALE_GRANT_LIMIT: usize = 3;

/// Work that runs on a target until its answer has ended.
#[derive(Debug)]
pub struct Running {
    lease: Option<SlotLease>,
    connection: Option<Connection>,
    proxy: Arc<Proxy>,
    state: Arc<ServiceState>,
    path: String,
    class: WorkClass,
    began: Instant,
}

/// One request and what has become of it.
struct Exchange {
    proxy: Arc<Proxy>,
    routes: Arc<Routes>,
    service: ServiceIndex,
    state: Arc<ServiceState>,
    head: Head,
    method: Method,
    class: WorkClass,
    /// Part of the service's work that is short.
    short_fraction: Option<f64>,
    arrived: Instant,
    deadline: Instant,
    fault: CallerFault,
    /// Whether bytes may have reached a target that has not said that it did not run them.
    is_sent: bool,
    tried: Vec<TargetId>,
}

/// The right to run an attempt with an idempotency key.
enum KeyClaim {
    /// The request brings no key, or its owner can't be asked.
    Free,
    Own(Claim),
    Peer(PeerClaim),
}

/// Answers one request that arrived on a request port.
pub async fn answer(
    proxy: Arc<Proxy>,
    port: u16,
    mut request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    metrics::counter!("requests").increment(1);
    let Some(routes) = proxy.routes() else {
        return OwnAnswer::not_run(Cause::NoService).into_response(None);
    };
    let Some(service) = service_at(&routes.view, port) else {
        return OwnAnswer::not_run(Cause::NoService).into_response(None);
    };
    let head = match Head::try_from(&request) {
        Ok(head) => head,
        Err(findings) => {
            metrics::counter!("requests_malformed").increment(1);
            return OwnAnswer::not_run(Cause::BadHead(findings)).into_response(None);
        }
    };
    let setting = routes.view.service(service);
    let state = proxy.service_state(&setting.name);
    state.budget.deposit(setting.retry_share);
    let deadline = arrived + head.timeout.unwrap_or(setting.deadline);
    let trace = head.trace.clone();
    trace
        .hop()
        .note("service", &setting.name)
        .note("request", &head.id);
    let span = trace.hop().span().clone();
    let on_upgrade = head.is_upgrade.then(|| hyper::upgrade::on(&mut request));
    let (parts, body) = request.into_parts();
    let (body, fault) = RequestBody::new(body);
    let id = head.id.clone();
    let ruled = routes.view.preset.class_of(&setting.name, &head.path);
    let class = ruled.unwrap_or_else(|| state.class_of(&head.path));
    let short_fraction = state.arrive(class);
    let exchange = Exchange {
        proxy,
        routes,
        service,
        state,
        method: parts.method.clone(),
        class,
        short_fraction,
        head,
        arrived,
        deadline,
        fault,
        is_sent: false,
        tried: Vec::new(),
    };
    let request = Request::from_parts(parts, body);
    let answered = exchange.run(request, on_upgrade).instrument(span).await;
    trace.end(&answered);
    answered.unwrap_or_else(|own| own.into_response(Some(&id)))
}

/// The service whose request port this is.
fn service_at(view: &View, port: u16) -> Option<ServiceIndex> {
    let is_here = |service: &Service| service.request_port.is_some_and(|p| p.get() == port);
    let index = view.preset.services.iter().position(is_here)?;
    Some(ServiceIndex(index))
}

impl Exchange {
    async fn run(
        mut self,
        mut request: Request<RequestBody>,
        on_upgrade: Option<OnUpgrade>,
    ) -> Result<Response<AnswerBody>, OwnAnswer> {
        let claim = self.claim().await?;
        self.head.rewrite(&mut request);
        self.head.trace.pass_on(request.headers_mut());
        let answered = self.tries(request, on_upgrade).await;
        match &answered {
            Err(own) if own.outcome == Outcome::NotRun => claim.settle_not_run(),
            _ => drop(claim),
        }
        answered
    }

    /// Claims the idempotency key of work that must not run twice.
    async fn claim(&self) -> Result<KeyClaim, OwnAnswer> {
        let Some(key) = self.head.key.as_ref().filter(|_| self.head.is_once()) else {
            return Ok(KeyClaim::Free);
        };
        let key = FlowKey::from_name(&format!("{}/{key}", self.setting().name));
        let attempt = self.head.attempt;
        let unvouched = || OwnAnswer::unknown(Cause::Unvouched);
        match self.routes.key_owner(key) {
            Some(OwnerAddress::Peer(address)) if !self.proxy.peers.is_down(address) => {
                match self.proxy.peers.claim(address, key, attempt).await {
                    Ok(Some(claim)) => Ok(KeyClaim::Peer(claim)),
                    Ok(None) => Err(unvouched()),
                    // A first attempt is safe without a claim: no resend of it will be vouched
                    // for, since its owner does not know it.
                    Err(_) if attempt <= 1 => Ok(KeyClaim::Free),
                    Err(_) => Err(unvouched()),
                }
            }
            Some(OwnerAddress::Peer(_)) if attempt <= 1 => Ok(KeyClaim::Free),
            Some(OwnerAddress::Peer(_)) => Err(unvouched()),
            Some(OwnerAddress::Local) | None => {
                let claim = self.proxy.keys.claim(key, attempt);
                claim.map(KeyClaim::Own).ok_or_else(unvouched)
            }
        }
    }

    async fn tries(
        &mut self,
        mut request: Request<RequestBody>,
        on_upgrade: Option<OnUpgrade>,
    ) -> Result<Response<AnswerBody>, OwnAnswer> {
        let template = template(&request);
        let is_repeatable = template.is_some() && self.head.is_idempotent;
        let mut is_fresh = false;
        for _ in 0..TRY_LIMIT {
            let (lease, target) = self.find().await?;
            self.head.trace.hop().note("target", &target.entry.id);
            self.stamp(&mut request);
            self.check_once();
            let limits = TryLimits {
                deadline: self.deadline,
                is_once: self.head.is_once(),
                is_repeatable,
                is_fresh,
            };
            let began = Instant::now();
            // Until the try tells otherwise, bytes may have been sent; a caller that leaves
            // drops this future here.
            let was_sent = std::mem::replace(&mut self.is_sent, true);
            let tried = try_target(&self.proxy.pool, &target, request, limits).await;
            let cause = match tried {
                Tried::Answered(response, connection) => {
                    let running = self.running(lease, connection, began);
                    return self.finish(*response, running, on_upgrade);
                }
                Tried::NotSent(unsent) => {
                    self.is_sent = was_sent;
                    lease.finish(WorkOutcome::Unreachable);
                    self.tried.push(target.entry.id);
                    self.may_retry(Cause::Unreachable)?;
                    request = *unsent;
                    continue;
                }
                Tried::Shed => {
                    self.is_sent = was_sent;
                    lease.finish(WorkOutcome::Shed);
                    Cause::Overload
                }
                Tried::Silent => {
                    lease.finish(WorkOutcome::Cancelled);
                    is_fresh = true;
                    Cause::TargetFailed
                }
                Tried::Broken if self.fault.is_set() => {
                    lease.finish(WorkOutcome::Cancelled);
                    return Err(self.own(Cause::BodyStopped));
                }
                Tried::Broken => {
                    lease.finish(WorkOutcome::Failed);
                    Cause::TargetFailed
                }
                Tried::Late => {
                    lease.finish(WorkOutcome::Failed);
                    return Err(self.own(Cause::Deadline));
                }
            };
            if !is_fresh {
                self.tried.push(target.entry.id);
            }
            let may_repeat = is_repeatable || !self.is_sent;
            let Some(parts) = template.as_ref().filter(|_| may_repeat) else {
                return Err(self.own(cause));
            };
            self.may_retry(cause)?;
            request = Request::from_parts(parts.clone(), RequestBody::Empty);
        }
        Err(self.own(Cause::Unreachable))
    }

    /// Waits for a slot on a target that this proxy's newest view opens.
    async fn find(&mut self) -> Result<(SlotLease, Target), OwnAnswer> {
        for _ in 0..STALE_GRANT_LIMIT {
            let finder = SlotFinder::new(self.sources());
            let now = Instant::now();
            let queue_limit = self.arrived + self.setting().queue_limit;
            let until = queue_limit.min(self.deadline);
            let ask = SlotRequest {
                class: self.class,
                short_fraction: self.short_fraction,
                waited: now.saturating_duration_since(self.arrived),
                may_wait: true,
                is_remote: false,
                service_time: self.state.mean(self.class),
                owners: 1,
                avoid: self.tried.clone(),
            };
            let limit = until.saturating_duration_since(now);
            if limit.is_zero() {
                return Err(self.refused(Duration::ZERO));
            }
            let found = finder.find(ask, limit).await;
            drop(finder);
            let lease = found.map_err(|refusal| self.refused(refusal.wait))?;
            if let Some(routes) = self.proxy.routes() {
                self.follow(routes)?;
            }
            let targets = self.routes.view.targets_of(self.service).iter();
            let target = targets
                .filter(|target| target.is_open())
                .find(|target| target.entry.id == *lease.target());
            if let Some(target) = target {
                return Ok((lease, target.clone()));
            }
            metrics::counter!("grants_stale").increment(1);
            self.tried.push(lease.target().clone());
        }
        Err(self.own(Cause::Unreachable))
    }

    /// Goes on under a newer view.
    fn follow(&mut self, routes: Arc<Routes>) -> Result<(), OwnAnswer> {
        let name = &self.routes.view.service(self.service).name;
        let Some(service) = routes.view.service_index(name) else {
            return Err(self.own(Cause::NoService));
        };
        self.service = service;
        self.routes = routes;
        Ok(())
    }

    fn sources(&self) -> Vec<Source<'_>> {
        let groups = self.routes.groups(self.service).iter();
        let sources = groups.map(|route| Source {
            route,
            view: &self.routes.view,
            owners: &self.proxy.owners,
            peers: &self.proxy.peers,
        });
        sources.collect()
    }

    fn setting(&self) -> &Service {
        self.routes.view.service(self.service)
    }

    /// Tells the target how much time is left.
    fn stamp(&self, request: &mut Request<RequestBody>) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let text = left.as_millis().to_string();
        insert_text(request.headers_mut(), REQUEST_TIMEOUT, &text);
    }

    /// Invariant: work that must not run twice is not sent again once bytes may have been sent.
    fn check_once(&self) {
        let is_held = !self.is_sent || self.head.is_idempotent;
        check_invariant(is_held, "once", || {
            format!("request {} would be sent twice", self.head.id)
        });
    }

    fn may_retry(&self, cause: Cause) -> Result<(), OwnAnswer> {
        if Instant::now() >= self.deadline {
            return Err(self.own(Cause::Deadline));
        }
        if !self.state.budget.withdraw() {
            metrics::counter!("retries_denied").increment(1);
            return Err(self.own(cause));
        }
        metrics::counter!("retries").increment(1);
        Ok(())
    }

    /// An own answer that tells truly whether the request may have run.
    fn own(&self, cause: Cause) -> OwnAnswer {
        let own = if self.is_sent {
            OwnAnswer::unknown(cause)
        } else {
            OwnAnswer::not_run(cause)
        };
        own.with_backoff(self.state.backoff(self.class, Duration::ZERO))
    }

    fn refused(&self, wait: Duration) -> OwnAnswer {
        let cause = if Instant::now() >= self.deadline {
            Cause::Deadline
        } else {
            Cause::Overload
        };
        self.own(cause)
            .with_backoff(self.state.backoff(self.class, wait))
    }

    fn running(&self, lease: SlotLease, connection: Connection, began: Instant) -> Running {
        Running {
            lease: Some(lease),
            connection: Some(connection),
            proxy: Arc::clone(&self.proxy),
            state: Arc::clone(&self.state),
            path: self.head.path.clone(),
            class: self.class,
            began,
        }
    }

    /// Turns a target's answer into the caller's.
    fn finish(
        &self,
        mut response: Response<Incoming>,
        running: Running,
        on_upgrade: Option<OnUpgrade>,
    ) -> Result<Response<AnswerBody>, OwnAnswer> {
        if response.status() == StatusCode::SWITCHING_PROTOCOLS {
            return Ok(upgrade::pass(&self.proxy, response, running, on_upgrade));
        }
        if !has_end(&response, &self.method) {
            return Err(self.own(Cause::EndlessAnswer));
        }
        let headers = response.headers_mut();
        remove_hop_headers(headers);
        headers.remove(OUTCOME);
        insert_text(headers, REQUEST_ID, self.head.id.as_str());
        // A caller's own deadline bounds the whole answer, the service's only its head.
        let deadline = self.head.timeout.map(|_| self.deadline);
        Ok(response.map(|body| AnswerBody::stream(body, running, deadline)))
    }
}

/// What is needed to send a request without a body again.
fn template(request: &Request<RequestBody>) -> Option<Parts> {
    if !request.body().is_empty() {
        return None;
    }
    let mut copy = Request::new(());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    Some(copy.into_parts().0)
}

impl KeyClaim {
    fn settle_not_run(self) {
        match self {
            Self::Free => {}
            Self::Own(claim) => claim.settle_not_run(),
            Self::Peer(claim) => claim.settle_not_run(),
        }
    }
}

impl Running {
    /// The answer is whole: frees the slot and keeps the connection.
    pub fn end_whole(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.finish(WorkOutcome::Served);
        }
        if let Some(connection) = self.connection.take() {
            self.proxy.pool.put(connection);
        }
        let time = self.began.elapsed();
        self.state.serve(&self.path, self.class, time);
    }

    /// The answer was cut: frees the slot and drops the connection.
    pub fn end_cut(&mut self, error: BodyError) {
        metrics::counter!("answers_cut").increment(1);
        log::warn!("event=answer_cut cause={:?}", error.to_string());
        if let Some(lease) = self.lease.take() {
            lease.finish(WorkOutcome::Failed);
        }
        self.connection = None;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.lease.is_some() {
            metrics::counter!("callers_left").increment(1);
        }
    }
}
