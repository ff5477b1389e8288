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
    /// Whether it arrived in another zone.
    pub is_far: bool,
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

    /// Takes the request that starts next.
    ///
    /// In a crowded queue without near work it is the newest: the oldest far ones are about to be
    /// granted in their own zones, and a second grant would only idle a slot while it travels.
    pub fn pop(&mut self, is_crowded: bool) -> Option<Waiter> {
        if !is_crowded || !self.waiters.front()?.is_far {
            return self.waiters.pop_front();
        }
        while self.waiters.back()?.sender.is_closed() {
            self.waiters.pop_back();
        }
        self.waiters.pop_back()
    }

    /// Requests that still wait, those at several owners counted in part.
    pub fn len(&self) -> f64 {
        self.waiting().map(|waiter| waiter.part).sum()
    }

    fn waiting(&self) -> impl Iterator<Item = &Waiter> {
        self.waiters
            .iter()
            .filter(|waiter| !waiter.sender.is_closed())
    }
}
