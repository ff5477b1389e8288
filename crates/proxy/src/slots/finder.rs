//! Asks owners for a slot from where a request arrived.

use std::future::Future;
use std::time::Duration;

use bambooseam_types::TargetId;
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::{Ask, Grant, Refusal, Report, SlotOwner};

/// A slot in use; dropping it frees the slot.
pub trait Lease: Send + 'static {
    /// The target that the work may run on.
    fn target(&self) -> &TargetId;

    /// Frees the slot and tells how the work ended.
    fn finish(self, report: Report);
}

/// An owner, here or behind a connection.
pub trait SlotSource: Sync {
    /// What a grant is.
    type Lease: Lease;

    /// Waits for a slot; dropping the future gives the place in the queue up.
    fn acquire(&self, ask: Ask) -> impl Future<Output = Result<Self::Lease, Refusal>> + Send;
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

    fn finish(self, report: Report) {
        Self::finish(self, report);
    }
}

impl SlotSource for std::sync::Arc<SlotOwner> {
    type Lease = Grant;

    async fn acquire(&self, ask: Ask) -> Result<Grant, Refusal> {
        SlotOwner::acquire(self, ask).await
    }
}

impl<S: SlotSource> SlotFinder<S> {
    /// Creates a finder; `sources` start with the owner in this zone.
    pub fn new(sources: Vec<S>) -> Self {
        Self { sources }
    }

    /// Waits for a slot: at the nearest owner, then at all owners at once. The first grant counts.
    ///
    /// # Errors
    ///
    /// A refusal when no owner expects a slot within the limit; the shortest wait of them.
    pub async fn find(&self, ask: Ask) -> Result<S::Lease, Refusal> {
        let Some((nearest, others)) = self.sources.split_first() else {
            return Err(Refusal {
                wait: Duration::from_secs(5),
            });
        };
        if others.is_empty() {
            return nearest.acquire(ask).await;
        }
        // With no time to wait, an owner either grants a free slot or refuses.
        let at_once = Ask {
            limit: Duration::ZERO,
            ..ask.clone()
        };
        if let Ok(lease) = nearest.acquire(at_once).await {
            return Ok(lease);
        }
        let owners = u32::try_from(self.sources.len()).unwrap_or(u32::MAX);
        let ask = Ask { owners, ..ask };
        let mut asked: FuturesUnordered<_> = self
            .sources
            .iter()
            .map(|source| source.acquire(ask.clone()))
            .collect();
        let mut least: Option<Refusal> = None;
        while let Some(answer) = asked.next().await {
            match answer {
                Ok(lease) => return Ok(lease),
                Err(refusal) => {
                    least = Some(least.map_or(refusal, |held| Refusal {
                        wait: held.wait.min(refusal.wait),
                    }));
                }
            }
        }
        Err(least.unwrap_or(Refusal {
            wait: Duration::ZERO,
        }))
    }
}
