//! News that is passed on a bounded number of times.

use bambooseam_peer::agent::Observation;

/// Most news in one summary.
const SUMMARY_LIMIT: usize = 6;

/// Most news waiting to be passed on.
const QUEUE_LIMIT: usize = 512;

/// Times that news is passed on beyond the binary logarithm of the fleet.
const EXTRA_SENDS: u32 = 3;

/// News waiting to be passed on, the least often passed on first.
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
    /// Adds news; it replaces older news of the same VM from the same observer.
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

    /// News for one summary in a fleet of `fleet` VMs.
    pub(crate) fn take(&mut self, fleet: usize) -> Vec<Observation> {
        let most = fleet.max(2).ilog2() + EXTRA_SENDS;
        let mut taken = Vec::new();
        for held in self.pending.iter_mut().take(SUMMARY_LIMIT) {
            held.sends += 1;
            taken.push(held.observation.clone());
        }
        self.pending.retain(|held| held.sends < most);
        self.pending.sort_by_key(|held| held.sends);
        taken
    }
}
