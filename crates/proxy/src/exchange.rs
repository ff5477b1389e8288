//! Handling of one request, from its arrival to its one final response.
//!
//! An exchange claims the idempotency key, acquires a slot, sends the request to a target, and
//! retries where running the work twice is impossible or harmless.

use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::{Service, WorkClass};
use bambooseam_observe::check_invariant;
use bambooseam_types::TargetId;
use bambooseam_view::{FlowKey, ServiceIndex, Target, View};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::upgrade::OnUpgrade;
use hyper::{Method, Request, Response, StatusCode, Version};
use tokio::time::Instant;
use tracing::Instrument;

use crate::attempt::{AttemptLimits, AttemptResult, is_delimited, send_to_target};
use crate::body::{BodyError, CallerFault, RequestBody, ResponseBody};
use crate::head::{Head, OUTCOME, REQUEST_ID, REQUEST_TIMEOUT, remove_hop_headers};
use crate::keys::Claim;
use crate::local_response::{Cause, LocalResponse, Outcome, insert_text};
use crate::peers::PeerClaim;
use crate::pool::Connection;
use crate::proxy::{Proxy, ServiceState};
use crate::routes::{OwnerAddress, Routes};
use crate::slots::{Lease, SlotFinder, SlotRequest, WorkOutcome};
use crate::source::{OwnerSource, SlotLease};
use crate::upgrade;

/// Maximum number of attempts per request.
const ATTEMPT_LIMIT: usize = 3;

/// Number of consecutive grants of targets that are closed under this proxy's view, after which
/// the acquisition of a slot fails.
const STALE_GRANT_LIMIT: usize = 3;

/// Work that runs on a target until its response has ended.
#[derive(Debug)]
pub struct ActiveRequest {
    lease: Option<SlotLease>,
    connection: Option<Connection>,
    proxy: Arc<Proxy>,
    state: Arc<ServiceState>,
    path: String,
    class: WorkClass,
    began: Instant,
}

/// A request and the state of its handling.
struct Exchange {
    proxy: Arc<Proxy>,
    routes: Arc<Routes>,
    service: ServiceIndex,
    state: Arc<ServiceState>,
    head: Head,
    method: Method,
    class: WorkClass,
    /// Fraction of the service's work that is short.
    short_fraction: Option<f64>,
    arrived: Instant,
    deadline: Instant,
    fault: CallerFault,
    /// Whether bytes may have reached a target that has not reported that it did not run the
    /// request.
    is_sent: bool,
    tried_targets: Vec<TargetId>,
}

/// Right to run an attempt with an idempotency key.
enum KeyClaim {
    /// The request has no key that must be claimed, or the owner of the key can't be reached.
    Unclaimed,
    Local(Claim),
    Peer(PeerClaim),
}

/// Handles one request that arrived on a request port.
pub async fn handle_request(
    proxy: Arc<Proxy>,
    port: u16,
    mut request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    metrics::counter!("requests").increment(1);
    let Some(routes) = proxy.routes() else {
        return LocalResponse::not_run(Cause::NoService).into_response(None);
    };
    let Some(service) = service_at(&routes.view, port) else {
        return LocalResponse::not_run(Cause::NoService).into_response(None);
    };
    let head = match Head::try_from(&request) {
        Ok(head) => head,
        Err(findings) => {
            metrics::counter!("requests_malformed").increment(1);
            let response = LocalResponse::not_run(Cause::InvalidHead(findings)).into_response(None);
            return end_connection(response, request.version());
        }
    };
    let config = routes.view.service(service);
    let state = proxy.service_state(&config.name);
    state.budget.deposit(config.retry_share);
    let deadline = arrived + head.timeout.unwrap_or(config.deadline);
    let trace = head.trace.clone();
    trace
        .hop()
        .record("service", &config.name)
        .record("request", &head.id);
    let span = trace.hop().span().clone();
    let on_upgrade = head.is_upgrade.then(|| hyper::upgrade::on(&mut request));
    let (parts, body) = request.into_parts();
    let (body, fault) = RequestBody::new(body);
    let id = head.id.clone();
    let configured = routes.view.preset.class_of(&config.name, &head.path);
    let class = configured.unwrap_or_else(|| state.class_of(&head.path));
    let short_fraction = state.record_arrival(class);
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
        tried_targets: Vec::new(),
    };
    let request = Request::from_parts(parts, body);
    let result = exchange.run(request, on_upgrade).instrument(span).await;
    trace.end(&result);
    result.unwrap_or_else(|local| local.into_response(Some(&id)))
}

/// Ends the caller's connection after a response to an invalid request. What follows such a request
/// may not be what the caller believes it sent.
fn end_connection(
    mut response: Response<ResponseBody>,
    version: Version,
) -> Response<ResponseBody> {
    // HTTP/2 has no such header, and frames requests without ambiguity.
    if version <= Version::HTTP_11 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Returns the service whose request port is `port`.
fn service_at(view: &View, port: u16) -> Option<ServiceIndex> {
    let has_port = |service: &Service| service.request_port.is_some_and(|p| p.get() == port);
    let index = view.preset.services.iter().position(has_port)?;
    Some(ServiceIndex(index))
}

impl Exchange {
    async fn run(
        mut self,
        mut request: Request<RequestBody>,
        on_upgrade: Option<OnUpgrade>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        let claim = self.claim().await?;
        self.head.rewrite(&mut request);
        self.head.trace.inject(request.headers_mut());
        let result = self.run_attempts(request, on_upgrade).await;
        match &result {
            Err(local) if local.outcome == Outcome::NotRun => claim.settle_not_run(),
            _ => drop(claim),
        }
        result
    }

    /// Claims the idempotency key of a non-idempotent request.
    async fn claim(&self) -> Result<KeyClaim, LocalResponse> {
        let Some(key) = self
            .head
            .key
            .as_ref()
            .filter(|_| self.head.is_non_idempotent())
        else {
            return Ok(KeyClaim::Unclaimed);
        };
        let key = FlowKey::from_name(&format!("{}/{key}", self.service_config().name));
        let attempt = self.head.attempt;
        let unconfirmed = || LocalResponse::unknown(Cause::UnconfirmedAttempt);
        match self.routes.key_owner(key) {
            Some(OwnerAddress::Peer(address)) if !self.proxy.peers.is_down(address) => {
                match self.proxy.peers.claim(address, key, attempt).await {
                    Ok(Some(claim)) => Ok(KeyClaim::Peer(claim)),
                    Ok(None) => Err(unconfirmed()),
                    // A first attempt is safe without a claim: the key's owner has no record of the
                    // attempt, so the owner will not confirm a resend.
                    Err(_) if attempt <= 1 => Ok(KeyClaim::Unclaimed),
                    Err(_) => Err(unconfirmed()),
                }
            }
            Some(OwnerAddress::Peer(_)) if attempt <= 1 => Ok(KeyClaim::Unclaimed),
            Some(OwnerAddress::Peer(_)) => Err(unconfirmed()),
            Some(OwnerAddress::Local) | None => {
                let claim = self.proxy.keys.claim(key, attempt);
                claim.map(KeyClaim::Local).ok_or_else(unconfirmed)
            }
        }
    }

    async fn run_attempts(
        &mut self,
        mut request: Request<RequestBody>,
        on_upgrade: Option<OnUpgrade>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        let template = replay_template(&request);
        let is_repeatable = template.is_some() && self.head.is_idempotent;
        let mut is_pool_bypassed = false;
        for _ in 0..ATTEMPT_LIMIT {
            let (lease, target) = self.acquire_slot().await?;
            self.head.trace.hop().record("target", &target.entry.id);
            self.set_timeout_header(&mut request);
            self.check_not_resent();
            let limits = AttemptLimits {
                deadline: self.deadline,
                is_non_idempotent: self.head.is_non_idempotent(),
                is_repeatable,
                is_pool_bypassed,
            };
            let began = Instant::now();
            // Until the result is known, bytes may have been sent. This future is dropped here when
            // the caller disconnects.
            let was_sent = std::mem::replace(&mut self.is_sent, true);
            let result = send_to_target(&self.proxy.pool, &target, request, limits).await;
            let cause = match result {
                AttemptResult::Responded(response, connection) => {
                    let active = self.active_request(lease, connection, began);
                    return self.forward_response(*response, active, on_upgrade);
                }
                AttemptResult::NotSent(unsent) => {
                    self.is_sent = was_sent;
                    lease.finish(WorkOutcome::Unreachable);
                    self.tried_targets.push(target.entry.id);
                    self.withdraw_retry(Cause::Unreachable)?;
                    request = *unsent;
                    continue;
                }
                AttemptResult::Shed => {
                    self.is_sent = was_sent;
                    lease.finish(WorkOutcome::Shed);
                    Cause::Overload
                }
                AttemptResult::Unresponsive => {
                    lease.finish(WorkOutcome::Cancelled);
                    is_pool_bypassed = true;
                    Cause::TargetFailed
                }
                AttemptResult::Disconnected if self.fault.is_set() => {
                    lease.finish(WorkOutcome::Cancelled);
                    return Err(self.local_response(Cause::BodyIncomplete));
                }
                AttemptResult::Disconnected => {
                    lease.finish(WorkOutcome::Failed);
                    Cause::TargetFailed
                }
                AttemptResult::TimedOut => {
                    lease.finish(WorkOutcome::Failed);
                    return Err(self.local_response(Cause::Deadline));
                }
            };
            if !is_pool_bypassed {
                self.tried_targets.push(target.entry.id);
            }
            let may_repeat = is_repeatable || !self.is_sent;
            let Some(parts) = template.as_ref().filter(|_| may_repeat) else {
                return Err(self.local_response(cause));
            };
            self.withdraw_retry(cause)?;
            request = Request::from_parts(parts.clone(), RequestBody::Empty);
        }
        Err(self.local_response(Cause::Unreachable))
    }

    /// Waits for a slot on a target that is open under this proxy's newest view.
    async fn acquire_slot(&mut self) -> Result<(SlotLease, Target), LocalResponse> {
        for _ in 0..STALE_GRANT_LIMIT {
            let finder = SlotFinder::new(self.sources());
            let now = Instant::now();
            let queue_limit = self.arrived + self.service_config().queue_limit;
            let until = queue_limit.min(self.deadline);
            let slot_request = SlotRequest {
                class: self.class,
                short_fraction: self.short_fraction,
                waited: now.saturating_duration_since(self.arrived),
                may_wait: true,
                is_remote: false,
                service_time: self.state.mean(self.class),
                owners: 1,
                avoid: self.tried_targets.clone(),
            };
            let limit = until.saturating_duration_since(now);
            if limit.is_zero() {
                return Err(self.refusal_response(Duration::ZERO));
            }
            let found = finder.find(slot_request, limit).await;
            drop(finder);
            let lease = found.map_err(|refusal| self.refusal_response(refusal.wait))?;
            if let Some(routes) = self.proxy.routes() {
                self.switch_view(routes)?;
            }
            let targets = self.routes.view.targets_of(self.service).iter();
            let target = targets
                .filter(|target| target.is_open())
                .find(|target| target.entry.id == *lease.target());
            if let Some(target) = target {
                return Ok((lease, target.clone()));
            }
            metrics::counter!("grants_stale").increment(1);
            self.tried_targets.push(lease.target().clone());
        }
        Err(self.local_response(Cause::Unreachable))
    }

    /// Switches to a newer view.
    fn switch_view(&mut self, routes: Arc<Routes>) -> Result<(), LocalResponse> {
        let name = &self.routes.view.service(self.service).name;
        let Some(service) = routes.view.service_index(name) else {
            return Err(self.local_response(Cause::NoService));
        };
        self.service = service;
        self.routes = routes;
        Ok(())
    }

    fn sources(&self) -> Vec<OwnerSource<'_>> {
        let groups = self.routes.groups(self.service).iter();
        let sources = groups.map(|route| OwnerSource {
            route,
            view: &self.routes.view,
            owners: &self.proxy.owners,
            peers: &self.proxy.peers,
        });
        sources.collect()
    }

    fn service_config(&self) -> &Service {
        self.routes.view.service(self.service)
    }

    /// Sets the header that carries the remaining time to the target.
    fn set_timeout_header(&self, request: &mut Request<RequestBody>) {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let text = remaining.as_millis().to_string();
        insert_text(request.headers_mut(), REQUEST_TIMEOUT, &text);
    }

    /// Checks the invariant that a non-idempotent request is not sent again once bytes may have
    /// been sent.
    fn check_not_resent(&self) {
        let may_send = !self.is_sent || self.head.is_idempotent;
        check_invariant(may_send, "once", || {
            format!("request {} would be sent twice", self.head.id)
        });
    }

    /// Withdraws a retry from the budget, or returns the response to send if the deadline has
    /// passed or the budget is empty.
    fn withdraw_retry(&self, cause: Cause) -> Result<(), LocalResponse> {
        if Instant::now() >= self.deadline {
            return Err(self.local_response(Cause::Deadline));
        }
        if !self.state.budget.withdraw() {
            metrics::counter!("retries_denied").increment(1);
            return Err(self.local_response(cause));
        }
        metrics::counter!("retries").increment(1);
        Ok(())
    }

    /// Creates a local response whose outcome states whether the request may have run.
    fn local_response(&self, cause: Cause) -> LocalResponse {
        let local = if self.is_sent {
            LocalResponse::unknown(cause)
        } else {
            LocalResponse::not_run(cause)
        };
        local.with_backoff(self.state.backoff(self.class, Duration::ZERO))
    }

    fn refusal_response(&self, wait: Duration) -> LocalResponse {
        let cause = if Instant::now() >= self.deadline {
            Cause::Deadline
        } else {
            Cause::Overload
        };
        self.local_response(cause)
            .with_backoff(self.state.backoff(self.class, wait))
    }

    fn active_request(
        &self,
        lease: SlotLease,
        connection: Connection,
        began: Instant,
    ) -> ActiveRequest {
        ActiveRequest {
            lease: Some(lease),
            connection: Some(connection),
            proxy: Arc::clone(&self.proxy),
            state: Arc::clone(&self.state),
            path: self.head.path.clone(),
            class: self.class,
            began,
        }
    }

    /// Converts a target's response into the response to the caller.
    fn forward_response(
        &self,
        mut response: Response<Incoming>,
        active: ActiveRequest,
        on_upgrade: Option<OnUpgrade>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        if response.status() == StatusCode::SWITCHING_PROTOCOLS {
            return Ok(upgrade::tunnel(&self.proxy, response, active, on_upgrade));
        }
        if !is_delimited(&response, &self.method) {
            return Err(self.local_response(Cause::UndelimitedResponse));
        }
        let headers = response.headers_mut();
        remove_hop_headers(headers);
        headers.remove(OUTCOME);
        insert_text(headers, REQUEST_ID, self.head.id.as_str());
        // A deadline set by the caller bounds the whole response; the service's deadline bounds
        // only the response head.
        let deadline = self.head.timeout.map(|_| self.deadline);
        Ok(response.map(|body| ResponseBody::stream(body, active, deadline)))
    }
}

/// Copies the parts that are needed to send a request without a body again.
fn replay_template(request: &Request<RequestBody>) -> Option<Parts> {
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
            Self::Unclaimed => {}
            Self::Local(claim) => claim.settle_not_run(),
            Self::Peer(claim) => claim.settle_not_run(),
        }
    }
}

impl ActiveRequest {
    /// Ends the work after a complete response: frees the slot and returns the connection to the
    /// pool.
    pub fn complete(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.finish(WorkOutcome::Served);
        }
        if let Some(connection) = self.connection.take() {
            self.proxy.pool.put(connection);
        }
        let time = self.began.elapsed();
        self.state.record_served(&self.path, self.class, time);
    }

    /// Ends the work after a truncated response: frees the slot and drops the connection.
    pub fn abort(&mut self, error: BodyError) {
        metrics::counter!("answers_cut").increment(1);
        log::warn!("event=answer_cut cause={:?}", error.to_string());
        if let Some(lease) = self.lease.take() {
            lease.finish(WorkOutcome::Failed);
        }
        self.connection = None;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if self.lease.is_some() {
            metrics::counter!("callers_left").increment(1);
        }
    }
}
