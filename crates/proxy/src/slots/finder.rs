//! Asks owners for a slot from where a request arrived.

use std::future::Future;
use std::time::Duration;

use bambooseam_types::TargetId;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, timeout};

use super::{Grant, Refusal, SlotOwner, SlotRequest, WorkOutcome};

/// Part of the time limit up to which the expected wait may grow; the rest is for errors of the
/// estimate, so that admitted work seldom waits in vain.
const ADMIT_FRACTION: f64 = 0.4;

/// Expected wait without an owner.
const NO_OWNER_WAIT: Duration = Duration::from_secs(5);

/// Pause before an owner that was lost, or whoever took over, is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A slot in use; dropping it frees the slot.
pub trait Lease: Send + 'static {
    /// The target that the work may run on.
    fn target(&self) -> &TargetId;

    /// Frees the slot and tells how the work ended.
    fn finish(self, report: WorkOutcome);
}

/// An owner, here or behind a connection.
pub trait SlotSource: Sync {
    /// What a grant is.
    type Lease: Lease;

    /// Takes a slot or waits for one; dropping the future gives the place in the queue up.
    fn acquire(
        &self,
        request: SlotRequest,
    ) -> impl Future<Output = Result<Self::Lease, Refusal>> + Send;
}

/// The owners of one service's slots, the nearest first.
#[derive(Debug)]
pub struct SlotFinder<S> {
    sources: Vec<S>,
}

impl Lease for Grant {
    fn target(&self) -> &TargetId {
        Self::target(self)
    }

    fn finish(self, report: WorkOutcome) {
        Self::finish(self, report);
    }
}

impl SlotSource for std::sync::Arc<SlotOwner> {
    type Lease = Grant;

    async fn acquire(&self, request: SlotRequest) -> Result<Grant, Refusal> {
        SlotOwner::acquire(self, request).await
    }
}

impl<S: SlotSource> SlotFinder<S> {
    /// Creates a finder; `sources` start with the owner in this zone.
    pub fn new(sources: Vec<S>) -> Self {
        Self { sources }
    }

    /// Waits for a slot for at most `limit`.
    ///
    /// Owners are asked in turn for a free slot until one expects to have one in time. Then the
    /// request waits at all owners at once, and the first grant counts.
    ///
    /// # Errors
    ///
    /// A refusal at once when no owner expects a slot in time, with the shortest wait expected;
    /// a refusal at the limit otherwise.
    pub async fn find(&self, request: SlotRequest, limit: Duration) -> Result<S::Lease, Refusal> {
        let mut best = Refusal::new(NO_OWNER_WAIT);
        for (index, source) in self.sources.iter().enumerate() {
            let probe = SlotRequest {
                may_wait: false,
                is_remote: index > 0,
                ..request.clone()
            };
            match source.acquire(probe).await {
                Ok(lease) => return Ok(lease),
                Err(refusal) if refusal.has_suspect => best.has_suspect = true,
                Err(refusal) => best.wait = best.wait.min(refusal.wait),
            }
            if best.wait <= limit.mul_f64(ADMIT_FRACTION) {
                break;
            }
        }
        // Where only targets that have failed lately are free, trying one beats refusing.
        if best.wait > limit.mul_f64(ADMIT_FRACTION) && !best.has_suspect {
            return Err(best);
        }
        let waiting = timeout(limit, self.wait(request));
        waiting.await.unwrap_or(Err(best))
    }

    /// Waits at all owners; the first grant counts.
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

/// Asks an owner, and whoever takes over when it is lost, until a slot is granted.
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
