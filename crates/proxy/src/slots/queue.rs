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
    pub weight: f64,
    /// Whether it arrived in another zone.
    pub is_remote: bool,
    /// Whether it takes only what is free and sound now.
    pub is_probe: bool,
    /// Targets that it has tried.
    pub avoid: Vec<TargetId>,
    /// Takes the grant.
    pub sender: oneshot::Sender<Grant>,
}

/// A queue whose length counts requests that wait at several owners in part.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: VecDeque<Waiter>,
    /// Sum of the parts of all waiters.
    total_weight: f64,
    /// Waiters added since those that have left were last removed.
    added_since_sweep: u32,
}

/// Waiters added between two removals of those that have left.
const SWEEP_INTERVAL: u32 = 16;

impl Queue {
    /// Adds a request at its place by arrival.
    pub fn push(&mut self, waiter: Waiter) {
        let at = self
            .waiters
            .partition_point(|held| held.arrived <= waiter.arrived);
        self.total_weight += waiter.weight;
        self.waiters.insert(at, waiter);
        self.added_since_sweep += 1;
        if self.added_since_sweep >= SWEEP_INTERVAL {
            self.sweep();
        }
    }

    /// Arrival of the first request that still waits.
    pub fn front(&mut self) -> Option<Instant> {
        while self.waiters.front()?.sender.is_closed() {
            self.pop_front();
        }
        self.waiters.front().map(|waiter| waiter.arrived)
    }

    /// Whether only work of other zones waits.
    pub fn is_remote(&self) -> bool {
        self.waiters.front().is_some_and(|waiter| waiter.is_remote)
    }

    /// Takes the request that starts next.
    ///
    /// In a crowded queue without near work it is the newest: the oldest far ones are about to be
    /// granted in their own zones, and a second grant would only idle a slot while it travels.
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

    /// Requests that wait, those at several owners counted in part.
    ///
    /// A few that have left may still be counted.
    pub fn len(&self) -> f64 {
        self.total_weight.max(0.0)
    }

    /// Whether more than `count` requests wait.
    pub fn is_above(&mut self, count: f64) -> bool {
        // Far above the count, those that have left make no difference.
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
