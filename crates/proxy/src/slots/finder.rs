//! Acquires a slot for one request from the owners of the service's slots.
//!
//! The nearest owner is asked first, so that work stays in its zone while the zone has capacity.

use std::future::Future;
use std::time::Duration;

use bambooseam_types::TargetId;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, timeout_at};

use super::{Grant, Refusal, SlotOwner, SlotRequest, WorkOutcome};

/// Fraction of the time limit up to which the expected wait may grow. The rest allows for errors of
/// the estimate, so that admitted work seldom waits until its limit without a slot.
const ADMIT_FRACTION: f64 = 0.4;

/// Expected wait that is reported when no owner responds.
const NO_OWNER_WAIT: Duration = Duration::from_secs(5);

/// Maximum number of probes of one zone's owner and its successors.
const MAX_PROBES: u32 = 3;

/// Pause before a failed owner, or its successor, is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A slot in use. Dropping the lease frees the slot.
pub trait Lease: Send + 'static {
    /// Returns the target that the work may run on.
    fn target(&self) -> &TargetId;

    /// Frees the slot and reports how the work ended.
    fn finish(self, outcome: WorkOutcome);
}

/// An owner of slots, in this process or behind a connection.
pub trait SlotSource: Sync {
    /// Type of a granted slot.
    type Lease: Lease;

    /// Acquires a slot, or waits for one if the request may wait. Dropping the future gives up the
    /// place in the queue.
    fn acquire(
        &self,
        request: SlotRequest,
    ) -> impl Future<Output = Result<Self::Lease, Refusal>> + Send;
}

/// The owners of one service's slots, nearest first.
#[derive(Debug)]
pub struct SlotFinder<S> {
    sources: Vec<S>,
}

impl Lease for Grant {
    fn target(&self) -> &TargetId {
        Self::target(self)
    }

    fn finish(self, outcome: WorkOutcome) {
        Self::finish(self, outcome);
    }
}

impl SlotSource for std::sync::Arc<SlotOwner> {
    type Lease = Grant;

    async fn acquire(&self, request: SlotRequest) -> Result<Grant, Refusal> {
        SlotOwner::acquire(self, request).await
    }
}

impl<S: SlotSource> SlotFinder<S> {
    /// Creates a finder. The first of `sources` must be the owner in the proxy's own zone.
    pub fn new(sources: Vec<S>) -> Self {
        Self { sources }
    }

    /// Waits for a slot for at most `limit`.
    ///
    /// Owners are asked in turn for a free slot until an owner expects to have one in time. Then
    /// the request waits at all owners at once and uses the first grant. It also waits if an owner
    /// and its successors did not respond, because nothing is known of their slots.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the shortest expected wait: immediately if no owner expects a slot in
    /// time, otherwise when `limit` has passed.
    pub async fn find(&self, request: SlotRequest, limit: Duration) -> Result<S::Lease, Refusal> {
        let mut best = Refusal::new(NO_OWNER_WAIT);
        let deadline = Instant::now() + limit;
        for (index, source) in self.sources.iter().enumerate() {
            let probe = SlotRequest {
                may_wait: false,
                is_remote: index > 0,
                ..request.clone()
            };
            let Ok(result) = timeout_at(deadline, acquire_now(source, probe)).await else {
                return Err(best);
            };
            match result {
                Ok(lease) => return Ok(lease),
                Err(refusal) if refusal.is_lost => best.is_lost = true,
                Err(refusal) if refusal.has_suspect => best.has_suspect = true,
                Err(refusal) => best.wait = best.wait.min(refusal.wait),
            }
            if best.wait <= limit.mul_f64(ADMIT_FRACTION) {
                break;
            }
        }
        // If slots are free only on targets that have failed recently, trying such a target is
        // better than refusing the request.
        let may_start = best.has_suspect || best.is_lost;
        if best.wait > limit.mul_f64(ADMIT_FRACTION) && !may_start {
            return Err(best);
        }
        let waiting = timeout_at(deadline, self.wait(request));
        waiting.await.unwrap_or(Err(best))
    }

    /// Waits at all owners at once and returns the first grant.
    async fn wait(&self, request: SlotRequest) -> Result<S::Lease, Refusal> {
        let owners = u32::try_from(self.sources.len()).unwrap_or(u32::MAX);
        let request = SlotRequest {
            owners,
            may_wait: true,
            ..request
        };
        let acquiring = self.sources.iter().enumerate().map(|(index, source)| {
            let is_remote = index > 0;
            acquire_until_granted(
                source,
                SlotRequest {
                    is_remote,
                    ..request.clone()
                },
            )
        });
        let mut acquiring: FuturesUnordered<_> = acquiring.collect();
        match acquiring.next().await {
            Some(lease) => Ok(lease),
            None => Err(Refusal::new(NO_OWNER_WAIT)),
        }
    }
}

/// Asks an owner for a free slot. If the owner does not respond, its successor is asked, which takes
/// over the slots.
async fn acquire_now<S: SlotSource>(source: &S, request: SlotRequest) -> Result<S::Lease, Refusal> {
    for _ in 1..MAX_PROBES {
        match source.acquire(request.clone()).await {
            Err(refusal) if refusal.is_lost => {}
            result => return result,
        }
    }
    source.acquire(request).await
}

/// Asks an owner until a slot is granted. If the owner fails, its successor is asked.
async fn acquire_until_granted<S: SlotSource>(source: &S, mut request: SlotRequest) -> S::Lease {
    let began = Instant::now();
    let waited = request.waited;
    loop {
        match source.acquire(request.clone()).await {
            Ok(lease) => return lease,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
        request.waited = waited + began.elapsed();
    }
}
