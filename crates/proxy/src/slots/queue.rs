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
    parts: f64,
    /// Waiters added since those that have left were last removed.
    added: u32,
}

/// Waiters added between two removals of those that have left.
const SWEEP_AFTER: u32 = 16;

impl Queue {
    /// Adds a request at its place by arrival.
    pub fn push(&mut self, waiter: Waiter) {
        let at = self
            .waiters
            .partition_point(|held| held.arrived <= waiter.arrived);
        self.parts += waiter.part;
        self.waiters.insert(at, waiter);
        self.added += 1;
        if self.added >= SWEEP_AFTER {
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
    pub fn pop(&mut self, is_crowded: bool) -> Option<Waiter> {
        if !is_crowded || !self.waiters.front()?.is_remote {
            return self.pop_front();
        }
        loop {
            let waiter = self.waiters.pop_back()?;
            self.parts -= waiter.part;
            if !waiter.sender.is_closed() {
                return Some(waiter);
            }
        }
    }

    /// Requests that wait, those at several owners counted in part.
    ///
    /// A few that have left may still be counted.
    pub fn len(&self) -> f64 {
        self.parts.max(0.0)
    }

    /// Whether more than `count` requests wait.
    pub fn is_above(&mut self, count: f64) -> bool {
        // Far above the count, those that have left make no difference.
        if self.parts > count && self.parts < 2.0 * count {
            self.sweep();
        }
        self.parts > count
    }

    fn pop_front(&mut self) -> Option<Waiter> {
        let waiter = self.waiters.pop_front()?;
        self.parts -= waiter.part;
        Some(waiter)
    }

    fn sweep(&mut self) {
        self.added = 0;
        self.waiters.retain(|waiter| !waiter.sender.is_closed());
        self.parts = self.waiters.iter().map(|waiter| waiter.part).sum();
    }
}
