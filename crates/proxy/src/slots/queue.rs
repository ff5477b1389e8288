//! Waiting work of one class, in order of arrival.

use std::collections::VecDeque;

use bambooseam_types::TargetId;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Grant;

/// One request that waits for a slot.
#[derive(Debug)]
pub struct Waiter {
    /// When the request arrived at its proxy.
    pub arrived: Instant,
    /// Part of this request that counts here; it waits at several owners.
    pub part: f64,
    /// Targets that it has tried.
    pub avoid: Vec<TargetId>,
    /// Takes the grant.
    pub sender: oneshot::Sender<Grant>,
}

/// A queue whose length counts requests that wait at several owners in part.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: VecDeque<Waiter>,
}

impl Queue {
    /// Adds a request at its place by arrival.
    pub fn push(&mut self, waiter: Waiter) {
        let at = self
            .waiters
            .partition_point(|held| held.arrived <= waiter.arrived);
        self.waiters.insert(at, waiter);
    }

    /// Arrival of the first request that still waits.
    pub fn front(&mut self) -> Option<Instant> {
        while self.waiters.front()?.sender.is_closed() {
            self.waiters.pop_front();
        }
        self.waiters.front().map(|waiter| waiter.arrived)
    }

    /// Takes the first request.
    pub fn pop(&mut self) -> Option<Waiter> {
        self.waiters.pop_front()
    }

    /// Requests that still wait, those at several owners counted in part.
    pub fn len(&self) -> f64 {
        let waiting = self.waiters.iter().filter(|w| !w.sender.is_closed());
        waiting.map(|waiter| waiter.part).sum()
    }
}
