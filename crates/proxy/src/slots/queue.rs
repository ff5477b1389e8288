//! Queue of the waiting requests of one class, in order of arrival.

use std::collections::VecDeque;

use bambooseam_types::TargetId;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Grant;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct Waiter {
    /// Time of arrival at the proxy, shifted by the handicap of remote work.
    pub arrived: Instant,
    /// Weight of this request in the queue length: a request that waits at n owners counts 1/n at
    /// each.
    pub weight: f64,
    /// Whether the request arrived in another zone.
    pub is_remote: bool,
    /// Whether the request only probes: it does not wait, and accepts no target that is a last
    /// resort.
    pub is_probe: bool,
    /// Targets that the request has tried.
    pub avoid: Vec<TargetId>,
    /// Channel on which the grant is sent.
    pub sender: oneshot::Sender<Grant>,
}

/// A queue whose length counts a request that waits at several owners as a fraction.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: VecDeque<Waiter>,
    /// Sum of the weights of all waiters.
    total_weight: f64,
    /// Number of waiters added since cancelled waiters were last removed.
    added_since_sweep: u32,
}

/// Number of insertions after which cancelled waiters are removed.
const SWEEP_INTERVAL: u32 = 16;

impl Queue {
    /// Inserts a request by time of arrival.
    pub fn push(&mut self, waiter: Waiter) {
        let at = self
            .waiters
            .partition_point(|queued| queued.arrived <= waiter.arrived);
        self.total_weight += waiter.weight;
        self.waiters.insert(at, waiter);
        self.added_since_sweep += 1;
        if self.added_since_sweep >= SWEEP_INTERVAL {
            self.sweep();
        }
    }

    /// Returns the arrival time of the first request that still waits.
    pub fn front(&mut self) -> Option<Instant> {
        while self.waiters.front()?.sender.is_closed() {
            self.pop_front();
        }
        self.waiters.front().map(|waiter| waiter.arrived)
    }

    /// Whether the first request comes from another zone. Remote requests rank behind local ones by
    /// their handicap, so usually only remote work waits in this case.
    pub fn is_remote(&self) -> bool {
        self.waiters.front().is_some_and(|waiter| waiter.is_remote)
    }

    /// Removes and returns the request that starts next.
    ///
    /// In an overloaded queue without local work, this is the newest request: the oldest remote
    /// requests are about to be granted a slot in their own zones, and a second grant would only
    /// leave a slot idle while the grant travels.
    pub fn pop(&mut self, is_overloaded: bool) -> Option<Waiter> {
        if !is_overloaded || !self.waiters.front()?.is_remote {
            return self.pop_front();
        }
        loop {
            let waiter = self.waiters.pop_back()?;
            self.total_weight -= waiter.weight;
            if !waiter.sender.is_closed() {
                return Some(waiter);
            }
        }
    }

    /// Number of waiting requests, where those that wait at several owners count as fractions.
    ///
    /// A few cancelled requests may still be counted.
    pub fn len(&self) -> f64 {
        self.total_weight.max(0.0)
    }

    /// Whether more than `count` requests wait.
    pub fn is_above(&mut self, count: f64) -> bool {
        // Far above `count`, cancelled requests can't change the result, so sweeping is not worth
        // it.
        if self.total_weight > count && self.total_weight < 2.0 * count {
            self.sweep();
        }
        self.total_weight > count
    }

    fn pop_front(&mut self) -> Option<Waiter> {
        let waiter = self.waiters.pop_front()?;
        self.total_weight -= waiter.weight;
        Some(waiter)
    }

    fn sweep(&mut self) {
        self.added_since_sweep = 0;
        self.waiters.retain(|waiter| !waiter.sender.is_closed());
        self.total_weight = self.waiters.iter().map(|waiter| waiter.weight).sum();
    }
}
