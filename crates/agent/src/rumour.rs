//! News that is passed on a bounded number of times.

use bambooseam_peer::agent::Observation;

/// Most news in one summary.
const PER_SUMMARY: usize = 6;

/// Most news waiting to be passed on.
const QUEUE_LIMIT: usize = 512;

/// Times that news is passed on beyond the binary logarithm of the fleet.
const EXTRA_SENDS: u32 = 3;

/// News waiting to be passed on, the least often passed on first.
#[derive(Debug, Default)]
pub(crate) struct RumourQueue {
    waiting: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    rumour: Observation,
    sends: u32,
}

impl RumourQueue {
    /// Adds news; it replaces older news of the same VM from the same observer.
    pub(crate) fn push(&mut self, rumour: Observation) {
        self.waiting
            .retain(|held| held.rumour.vm != rumour.vm || held.rumour.observer != rumour.observer);
        if self.waiting.len() == QUEUE_LIMIT {
            self.waiting.pop();
        }
        self.waiting.insert(0, Waiting { rumour, sends: 0 });
    }

    /// News for one summary in a fleet of `fleet` VMs.
    pub(crate) fn take(&mut self, fleet: usize) -> Vec<Observation> {
        let most = fleet.max(2).ilog2() + EXTRA_SENDS;
        let mut taken = Vec::new();
        for held in self.waiting.iter_mut().take(PER_SUMMARY) {
            held.sends += 1;
            taken.push(held.rumour.clone());
        }
        self.waiting.retain(|held| held.sends < most);
        self.waiting.sort_by_key(|held| held.sends);
        taken
    }
}
