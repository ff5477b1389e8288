//! Gossip queue: observations that are passed on a bounded number of times.

use bambooseam_peer::agent::Observation;

/// Most observations in one summary.
const SUMMARY_LIMIT: usize = 6;

/// Most observations waiting to be sent.
const QUEUE_LIMIT: usize = 512;

/// Number of sends per observation in addition to the binary logarithm of the fleet size.
const EXTRA_SENDS: u32 = 3;

/// Observations waiting to be sent, the least often sent first.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    pending: Vec<Pending>,
}

#[derive(Debug)]
struct Pending {
    observation: Observation,
    sends: u32,
}

impl GossipQueue {
    /// Adds an observation; it replaces an older one of the same VM by the same observer.
    pub(crate) fn push(&mut self, observation: Observation) {
        self.pending.retain(|pending| {
            pending.observation.vm != observation.vm
                || pending.observation.observer != observation.observer
        });
        if self.pending.len() == QUEUE_LIMIT {
            self.pending.pop();
        }
        self.pending.insert(
            0,
            Pending {
                observation,
                sends: 0,
            },
        );
    }

    /// Returns the observations for one summary in a fleet of `fleet_size` VMs and counts them as
    /// sent once more.
    pub(crate) fn take(&mut self, fleet_size: usize) -> Vec<Observation> {
        let limit = fleet_size.max(2).ilog2() + EXTRA_SENDS;
        let mut observations = Vec::new();
        for pending in self.pending.iter_mut().take(SUMMARY_LIMIT) {
            pending.sends += 1;
            observations.push(pending.observation.clone());
        }
        self.pending.retain(|pending| pending.sends < limit);
        self.pending.sort_by_key(|pending| pending.sends);
        observations
    }
}
