//! The side that asks other proxies.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_peer::slot_capnp::{self, claim, desk, slot};
use bambooseam_peer::{PeerError, connect, local_thread};
use bambooseam_types::TargetId;
use bambooseam_view::FlowKey;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::routes::TargetGroup;
use crate::slots::{Lease, Refusal, SlotRequest, WorkOutcome};

/// Time in which an owner must answer a question that it need not wait for.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an owner that did not answer is not asked.
const OWNER_DOWN_TIME: Duration = Duration::from_secs(1);

/// Calls that may wait for the thread.
const MAX_QUEUED_CALLS: usize = 65_536;

/// Parts are sent in thousandths.
pub const FRACTION_SCALE: f64 = 1_000.0;

/// Wait that is reported when an owner can't be asked.
const LOST_OWNER_WAIT: Duration = Duration::from_secs(1);

/// Handle on the thread that talks to other proxies.
#[derive(Debug)]
pub struct Peers {
    calls: mpsc::Sender<Call>,
    down: Mutex<Vec<(SocketAddr, Instant)>>,
}

/// A slot granted by another proxy; dropping it frees the slot.
#[derive(Debug)]
pub struct PeerLease {
    target: TargetId,
    done: Option<oneshot::Sender<WorkOutcome>>,
}

/// A claim granted by another proxy; dropping it counts the attempt as run.
#[derive(Debug)]
pub struct PeerClaim {
    not_run: oneshot::Sender<()>,
}

/// One question to another proxy.
#[derive(Debug)]
enum Call {
    Acquire {
        to: SocketAddr,
        group: TargetGroup,
        request: SlotRequest,
        reply: oneshot::Sender<Result<PeerLease, AcquireError>>,
    },
    Claim {
        to: SocketAddr,
        key: FlowKey,
        attempt: u32,
        reply: oneshot::Sender<Result<Option<PeerClaim>, PeerError>>,
    },
}

/// Why there is no slot.
#[derive(Debug)]
enum AcquireError {
    Refused(Refusal),
    Lost(PeerError),
}

/// Connections to other proxies, sorted by address.
type Clients = Rc<RefCell<Vec<(SocketAddr, desk::Client)>>>;

impl Peers {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// An error when no thread can be started.
    pub fn start() -> std::io::Result<Self> {
        let (calls, mut queue) = mpsc::channel(MAX_QUEUED_CALLS);
        local_thread("proxy-peers", move || async move {
            let clients = Clients::default();
            while let Some(call) = queue.recv().await {
                spawn_local(run(call, Rc::clone(&clients)));
            }
        })?;
        Ok(Self {
            calls,
            down: Mutex::default(),
        })
    }

    /// Whether an owner did not answer a short time ago.
    pub fn is_down(&self, address: SocketAddr) -> bool {
        let down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        let found = down.binary_search_by_key(&address, |held| held.0);
        found.is_ok_and(|index| Instant::now() < down[index].1)
    }

    /// Asks the owner at `to` for a slot.
    ///
    /// # Errors
    ///
    /// The owner's refusal, or one in its place when it can't be asked.
    pub async fn acquire(
        &self,
        to: SocketAddr,
        group: TargetGroup,
        request: SlotRequest,
    ) -> Result<PeerLease, Refusal> {
        let (reply, answer) = oneshot::channel();
        let call = Call::Acquire {
            to,
            group,
            request,
            reply,
        };
        metrics::counter!("peer_messages", "kind" => "acquire").increment(1);
        if self.calls.try_send(call).is_err() {
            return Err(Refusal::new(LOST_OWNER_WAIT));
        }
        match answer.await {
            Ok(Ok(lease)) => Ok(lease),
            Ok(Err(AcquireError::Refused(refusal))) => Err(refusal),
            Ok(Err(AcquireError::Lost(error))) => {
                self.mark_down(to, &error);
                Err(Refusal::new(LOST_OWNER_WAIT))
            }
            Err(_) => Err(Refusal::new(LOST_OWNER_WAIT)),
        }
    }

    /// Claims a key at its owner; `None` when an earlier attempt may have run.
    ///
    /// # Errors
    ///
    /// An error when the owner can't be asked.
    pub async fn claim(
        &self,
        to: SocketAddr,
        key: FlowKey,
        attempt: u32,
    ) -> Result<Option<PeerClaim>, PeerError> {
        let (reply, answer) = oneshot::channel();
        let call = Call::Claim {
            to,
            key,
            attempt,
            reply,
        };
        metrics::counter!("peer_messages", "kind" => "claim").increment(1);
        let lost = || PeerError::Io(std::io::ErrorKind::BrokenPipe.into());
        self.calls.try_send(call).map_err(|_| lost())?;
        let claimed = answer.await.map_err(|_| lost())?;
        if let Err(error) = &claimed {
            self.mark_down(to, error);
        }
        claimed
    }

    fn mark_down(&self, address: SocketAddr, error: &PeerError) {
        log::warn!(
            "event=owner_lost owner={address} cause={:?}",
            error.to_string()
        );
        metrics::counter!("owners_lost").increment(1);
        let until = Instant::now() + OWNER_DOWN_TIME;
        let mut down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        match down.binary_search_by_key(&address, |held| held.0) {
            Ok(index) => down[index].1 = until,
            Err(index) => down.insert(index, (address, until)),
        }
    }
}

impl Lease for PeerLease {
    fn target(&self) -> &TargetId {
        &self.target
    }

    fn finish(mut self, report: WorkOutcome) {
        if let Some(done) = self.done.take() {
            // A failed send means that the connection is gone, which has freed the slot.
            let _ = done.send(report);
        }
    }
}

impl PeerClaim {
    /// Notes that the attempt did not run.
    pub fn settle_not_run(self) {
        // A failed send means that the owner is gone; a resend is then answered `unknown`.
        let _ = self.not_run.send(());
    }
}

/// Asks one question and keeps what was granted until its holder is done.
async fn run(call: Call, clients: Clients) {
    match call {
        Call::Acquire {
            to,
            group,
            request,
            reply,
        } => acquire(to, &group, &request, reply, &clients).await,
        Call::Claim {
            to,
            key,
            attempt,
            reply,
        } => claim(to, key, attempt, reply, &clients).await,
    }
}

async fn acquire(
    to: SocketAddr,
    group: &TargetGroup,
    request: &SlotRequest,
    mut reply: oneshot::Sender<Result<PeerLease, AcquireError>>,
    clients: &Clients,
) {
    let asked = tokio::select! {
        asked = request_slot(to, group, request, clients) => asked,
        // The request has left or found a slot elsewhere; dropping the call cancels it.
        () = reply.closed() => return,
    };
    let (slot, target) = match asked {
        Ok(granted) => granted,
        Err(error) => {
            if matches!(error, AcquireError::Lost(_)) {
                remove_client(to, clients);
            }
            let _ = reply.send(Err(error));
            return;
        }
    };
    let (done, report) = oneshot::channel();
    let lease = PeerLease {
        target,
        done: Some(done),
    };
    if reply.send(Ok(lease)).is_err() {
        return;
    }
    let Ok(report) = report.await else { return };
    let mut rpc = slot.finish_request();
    rpc.get().set_report(report.into());
    // Without an answer the capability is dropped, which frees the slot as well.
    let _ = timeout(RESPONSE_TIMEOUT, rpc.send().promise).await;
}

async fn request_slot(
    to: SocketAddr,
    group: &TargetGroup,
    request: &SlotRequest,
    clients: &Clients,
) -> Result<(slot::Client, TargetId), AcquireError> {
    let client = client(to, clients).await?;
    let mut rpc = client.acquire_request();
    let mut builder = rpc.get().init_ask();
    builder.set_service(group.service.as_str());
    builder.set_zone(group.zone.as_str());
    builder.set_class(encode_class(request.class));
    builder.set_waited_ms(milliseconds(request.waited));
    builder.set_may_wait(request.may_wait);
    builder.set_is_far(request.is_remote);
    builder.set_time_ms(milliseconds(request.service_time));
    builder.set_owners(request.owners);
    let part = request
        .short_fraction
        .map_or(0, |part| (part * FRACTION_SCALE) as u16);
    builder.set_short_part(part);
    let count = u32::try_from(request.avoid.len()).unwrap_or(u32::MAX);
    let mut avoid = builder.init_avoid(count);
    for (index, target) in (0..count).zip(&request.avoid) {
        avoid.set(index, target.as_str());
    }
    let promise = rpc.send().promise;
    let answer = if request.may_wait {
        // Bounded by the request, which drops the call when its time is over.
        promise.await
    } else {
        let answer = timeout(RESPONSE_TIMEOUT, promise).await;
        answer.map_err(|_| lost(std::io::ErrorKind::TimedOut))?
    };
    let answer = answer.map_err(failed)?;
    let answer = answer.get().and_then(|results| results.get_answer());
    read_response(answer.map_err(failed)?).map_err(failed)?
}

/// Reads a grant or a refusal.
fn read_response(
    answer: slot_capnp::answer::Reader<'_>,
) -> Result<Result<(slot::Client, TargetId), AcquireError>, capnp::Error> {
    match answer.which()? {
        slot_capnp::answer::Refusal(wait) => {
            let wait = Duration::from_millis(wait.into());
            let is_doubtful = answer.get_is_doubtful();
            Ok(Err(AcquireError::Refused(Refusal {
                wait,
                has_suspect: is_doubtful,
            })))
        }
        slot_capnp::answer::Slot(slot) => {
            let target = answer.get_target()?.to_str()?.parse();
            let target = target.map_err(|_| capnp::Error::failed("a bad target id".into()))?;
            Ok(Ok((slot?, target)))
        }
    }
}

async fn claim(
    to: SocketAddr,
    key: FlowKey,
    attempt: u32,
    reply: oneshot::Sender<Result<Option<PeerClaim>, PeerError>>,
    clients: &Clients,
) {
    let claimed = match timeout(RESPONSE_TIMEOUT, request_claim(to, key, attempt, clients)).await {
        Ok(claimed) => claimed,
        Err(elapsed) => Err(PeerError::Io(elapsed.into())),
    };
    let claim = match claimed {
        Ok(Some(claim)) => claim,
        Ok(None) => {
            let _ = reply.send(Ok(None));
            return;
        }
        Err(error) => {
            remove_client(to, clients);
            let _ = reply.send(Err(error));
            return;
        }
    };
    let (not_run, settled) = oneshot::channel();
    if reply.send(Ok(Some(PeerClaim { not_run }))).is_err() || settled.await.is_err() {
        return;
    }
    let _ = timeout(
        RESPONSE_TIMEOUT,
        claim.settle_not_run_request().send().promise,
    )
    .await;
}

async fn request_claim(
    to: SocketAddr,
    key: FlowKey,
    attempt: u32,
    clients: &Clients,
) -> Result<Option<claim::Client>, PeerError> {
    let client = client(to, clients).await?;
    let mut rpc = client.claim_request();
    rpc.get().set_key(key.get());
    rpc.get().set_attempt(attempt);
    let answer = rpc.send().promise.await?;
    let results = answer.get()?;
    if !results.has_claim() {
        return Ok(None);
    }
    Ok(Some(results.get_claim()?))
}

/// The connection to a proxy, made when first needed.
async fn client(to: SocketAddr, clients: &Clients) -> Result<desk::Client, PeerError> {
    let find = |to: SocketAddr| clients.borrow().binary_search_by_key(&to, |held| held.0);
    if let Ok(index) = find(to) {
        return Ok(clients.borrow()[index].1.clone());
    }
    let client: desk::Client = timeout(RESPONSE_TIMEOUT, connect(to))
        .await
        .map_err(|elapsed| PeerError::Io(elapsed.into()))??;
    // Another task may have connected meanwhile.
    match find(to) {
        Ok(index) => Ok(clients.borrow()[index].1.clone()),
        Err(index) => {
            clients.borrow_mut().insert(index, (to, client.clone()));
            Ok(client)
        }
    }
}

/// Forgets a connection that failed, so that the next question makes a new one.
fn remove_client(to: SocketAddr, clients: &Clients) {
    clients.borrow_mut().retain(|held| held.0 != to);
}

fn lost(kind: std::io::ErrorKind) -> AcquireError {
    AcquireError::Lost(PeerError::Io(kind.into()))
}

fn failed(error: capnp::Error) -> AcquireError {
    AcquireError::Lost(PeerError::Call(error))
}

impl From<PeerError> for AcquireError {
    fn from(error: PeerError) -> Self {
        Self::Lost(error)
    }
}

fn encode_class(class: WorkClass) -> slot_capnp::WorkClass {
    match class {
        WorkClass::Short => slot_capnp::WorkClass::Short,
        WorkClass::Long => slot_capnp::WorkClass::Long,
    }
}

impl From<WorkOutcome> for slot_capnp::Report {
    fn from(report: WorkOutcome) -> Self {
        match report {
            WorkOutcome::Cancelled => Self::Left,
            WorkOutcome::Served => Self::Served,
            WorkOutcome::Shed => Self::Shed,
            WorkOutcome::Failed => Self::Failed,
            WorkOutcome::Unreachable => Self::Unreachable,
        }
    }
}

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
