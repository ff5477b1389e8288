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
        self.pending.retain(|held| {
            held.observation.vm != observation.vm
                || held.observation.observer != observation.observer
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

    /// Observations for one summary in a fleet of `fleet` VMs.
    pub(crate) fn take(&mut self, fleet: usize) -> Vec<Observation> {
        let limit = fleet.max(2).ilog2() + EXTRA_SENDS;
        let mut taken = Vec::new();
        for held in self.pending.iter_mut().take(SUMMARY_LIMIT) {
            held.sends += 1;
            taken.push(held.observation.clone());
        }
        self.pending.retain(|held| held.sends < limit);
        self.pending.sort_by_key(|held| held.sends);
        taken
    }
}
