//! Client side: requests slots and key claims from other proxies.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_peer::slot_capnp::{self, claim, desk, slot};
use bambooseam_peer::{PeerError, connect, spawn_local_thread};
use bambooseam_types::TargetId;
use bambooseam_view::FlowKey;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::routes::TargetGroup;
use crate::slots::{Lease, Refusal, SlotRequest, WorkOutcome};

/// Timeout of calls that don't wait for a slot.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an owner that failed to respond gets no calls.
const OWNER_DOWN_TIME: Duration = Duration::from_secs(1);

/// Maximum number of calls queued for the client thread.
const MAX_QUEUED_CALLS: usize = 65_536;

/// Scale of fractions on the wire, which are sent in thousandths.
pub const FRACTION_SCALE: f64 = 1_000.0;

/// Handle on the thread that communicates with other proxies.
#[derive(Debug)]
pub struct Peers {
    calls: mpsc::Sender<Call>,
    /// Owners that failed to respond, sorted by address, and when each may be called again.
    down: Mutex<Vec<(SocketAddr, Instant)>>,
}

/// A slot granted by another proxy. Dropping the lease frees the slot.
#[derive(Debug)]
pub struct PeerLease {
    target: TargetId,
    done: Option<oneshot::Sender<WorkOutcome>>,
}

/// A claim granted by another proxy. If dropped without being settled, the attempt counts as run.
#[derive(Debug)]
pub struct PeerClaim {
    not_run: oneshot::Sender<()>,
}

/// A call to another proxy.
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

/// Error of a request for a slot.
#[derive(Debug)]
enum AcquireError {
    Refused(Refusal),
    Unreachable(PeerError),
}

/// Connections to other proxies, sorted by address.
type Clients = Rc<RefCell<Vec<(SocketAddr, desk::Client)>>>;

impl Peers {
    /// Starts the client thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start() -> std::io::Result<Self> {
        let (calls, mut queue) = mpsc::channel(MAX_QUEUED_CALLS);
        spawn_local_thread("proxy-peers", move || async move {
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

    /// Whether the owner at `address` failed to respond within the last `OWNER_DOWN_TIME`.
    pub fn is_down(&self, address: SocketAddr) -> bool {
        let down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        let found = down.binary_search_by_key(&address, |entry| entry.0);
        found.is_ok_and(|index| Instant::now() < down[index].1)
    }

    /// Requests a slot from the owner at `to`.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or a substitute refusal if the owner can't be reached.
    pub async fn acquire(
        &self,
        to: SocketAddr,
        group: TargetGroup,
        request: SlotRequest,
    ) -> Result<PeerLease, Refusal> {
        let (reply, response) = oneshot::channel();
        let call = Call::Acquire {
            to,
            group,
            request,
            reply,
        };
        metrics::counter!("peer_messages", "kind" => "acquire").increment(1);
        if self.calls.try_send(call).is_err() {
            return Err(Refusal::lost_owner());
        }
        match response.await {
            Ok(Ok(lease)) => Ok(lease),
            Ok(Err(AcquireError::Refused(refusal))) => Err(refusal),
            Ok(Err(AcquireError::Unreachable(error))) => {
                self.mark_down(to, &error);
                Err(Refusal::lost_owner())
            }
            Err(_) => Err(Refusal::lost_owner()),
        }
    }

    /// Claims a key at its owner. Returns `None` if an earlier attempt may have run.
    ///
    /// # Errors
    ///
    /// Returns an error if the owner can't be reached.
    pub async fn claim(
        &self,
        to: SocketAddr,
        key: FlowKey,
        attempt: u32,
    ) -> Result<Option<PeerClaim>, PeerError> {
        let (reply, response) = oneshot::channel();
        let call = Call::Claim {
            to,
            key,
            attempt,
            reply,
        };
        metrics::counter!("peer_messages", "kind" => "claim").increment(1);
        let io_failure = || PeerError::Io(std::io::ErrorKind::BrokenPipe.into());
        self.calls.try_send(call).map_err(|_| io_failure())?;
        let result = response.await.map_err(|_| io_failure())?;
        if let Err(error) = &result {
            self.mark_down(to, error);
        }
        result
    }

    fn mark_down(&self, address: SocketAddr, error: &PeerError) {
        log::warn!(
            "event=owner_lost owner={address} cause={:?}",
            error.to_string()
        );
        metrics::counter!("owners_lost").increment(1);
        let until = Instant::now() + OWNER_DOWN_TIME;
        let mut down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        match down.binary_search_by_key(&address, |entry| entry.0) {
            Ok(index) => down[index].1 = until,
            Err(index) => down.insert(index, (address, until)),
        }
    }
}

impl Lease for PeerLease {
    fn target(&self) -> &TargetId {
        &self.target
    }

    fn finish(mut self, outcome: WorkOutcome) {
        if let Some(done) = self.done.take() {
            // A failed send means that the connection was lost, which has freed the slot.
            let _ = done.send(outcome);
        }
    }
}

impl PeerClaim {
    /// Records that the attempt did not run.
    pub fn settle_not_run(self) {
        // A failed send means that the owner was lost. A resend then gets the outcome `unknown`.
        let _ = self.not_run.send(());
    }
}

/// Makes one call and keeps the granted capability until the lease or claim is settled or dropped.
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
    let result = tokio::select! {
        result = request_slot(to, group, request, clients) => result,
        // The request was cancelled or got a slot elsewhere; dropping the call cancels it.
        () = reply.closed() => return,
    };
    let (slot, target) = match result {
        Ok(granted) => granted,
        Err(error) => {
            if matches!(error, AcquireError::Unreachable(_)) {
                remove_client(to, clients);
            }
            let _ = reply.send(Err(error));
            return;
        }
    };
    let (done, outcome) = oneshot::channel();
    let lease = PeerLease {
        target,
        done: Some(done),
    };
    if reply.send(Ok(lease)).is_err() {
        return;
    }
    let Ok(outcome) = outcome.await else { return };
    let mut rpc = slot.finish_request();
    rpc.get().set_report(outcome.into());
    // If the call gets no response, the capability is dropped, which frees the slot as well.
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
    let fraction = request
        .short_fraction
        .map_or(0, |fraction| (fraction * FRACTION_SCALE) as u16);
    builder.set_short_part(fraction);
    let count = u32::try_from(request.avoid.len()).unwrap_or(u32::MAX);
    let mut avoid = builder.init_avoid(count);
    for (index, target) in (0..count).zip(&request.avoid) {
        avoid.set(index, target.as_str());
    }
    let promise = rpc.send().promise;
    let response = if request.may_wait {
        // The requester bounds the wait by dropping the call when its time limit has passed.
        promise.await
    } else {
        let response = timeout(RESPONSE_TIMEOUT, promise).await;
        response.map_err(|_| io_failure(std::io::ErrorKind::TimedOut))?
    };
    let response = response.map_err(call_failure)?;
    let response = response.get().and_then(|results| results.get_answer());
    read_response(response.map_err(call_failure)?).map_err(call_failure)?
}

/// Decodes a grant or a refusal.
fn read_response(
    response: slot_capnp::answer::Reader<'_>,
) -> Result<Result<(slot::Client, TargetId), AcquireError>, capnp::Error> {
    match response.which()? {
        slot_capnp::answer::Refusal(wait) => {
            let wait = Duration::from_millis(wait.into());
            let has_suspect = response.get_is_doubtful();
            let refusal = Refusal {
                has_suspect,
                ..Refusal::new(wait)
            };
            Ok(Err(AcquireError::Refused(refusal)))
        }
        slot_capnp::answer::Slot(slot) => {
            let target = response.get_target()?.to_str()?.parse();
            let target = target
                .map_err(|_| capnp::Error::failed("target is not a valid target id".into()))?;
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
    let result = match timeout(RESPONSE_TIMEOUT, request_claim(to, key, attempt, clients)).await {
        Ok(result) => result,
        Err(elapsed) => Err(PeerError::Io(elapsed.into())),
    };
    let claim = match result {
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
    let response = rpc.send().promise.await?;
    let results = response.get()?;
    if !results.has_claim() {
        return Ok(None);
    }
    Ok(Some(results.get_claim()?))
}

/// Returns the connection to a proxy, opened on first use.
async fn client(to: SocketAddr, clients: &Clients) -> Result<desk::Client, PeerError> {
    let find = |to: SocketAddr| clients.borrow().binary_search_by_key(&to, |entry| entry.0);
    if let Ok(index) = find(to) {
        return Ok(clients.borrow()[index].1.clone());
    }
    let client: desk::Client = timeout(RESPONSE_TIMEOUT, connect(to))
        .await
        .map_err(|elapsed| PeerError::Io(elapsed.into()))??;
    // Another task may have connected in the meantime.
    match find(to) {
        Ok(index) => Ok(clients.borrow()[index].1.clone()),
        Err(index) => {
            clients.borrow_mut().insert(index, (to, client.clone()));
            Ok(client)
        }
    }
}

/// Removes a failed connection, so that the next call opens a new one.
fn remove_client(to: SocketAddr, clients: &Clients) {
    clients.borrow_mut().retain(|entry| entry.0 != to);
}

fn io_failure(kind: std::io::ErrorKind) -> AcquireError {
    AcquireError::Unreachable(PeerError::Io(kind.into()))
}

fn call_failure(error: capnp::Error) -> AcquireError {
    AcquireError::Unreachable(PeerError::Call(error))
}

impl From<PeerError> for AcquireError {
    fn from(error: PeerError) -> Self {
        Self::Unreachable(error)
    }
}

fn encode_class(class: WorkClass) -> slot_capnp::WorkClass {
    match class {
        WorkClass::Short => slot_capnp::WorkClass::Short,
        WorkClass::Long => slot_capnp::WorkClass::Long,
    }
}

impl From<WorkOutcome> for slot_capnp::Report {
    fn from(outcome: WorkOutcome) -> Self {
        match outcome {
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
