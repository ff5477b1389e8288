//! Whether the flows of an entrance are long, learned from the packets that pass.
//!
//! Load pattern: feeds that stay open for a shift and orders that open a flow each share one
//! service. A short flow is over before the load at its target has changed; a long one brings its
//! requests there for minutes, whatever the target was doing when it was opened. Callers use an
//! entrance in one way, so that the requests of its earlier flows tell.

use std::net::SocketAddrV4;

/// Requests for each flow from which an entrance's flows count as long.
const LONG_RATIO: f32 = 2.0;

/// Flows after which the counts are halved, so that a change of habit shows.
const HALF_LIFE: f32 = 256.0;

/// Flows that are needed before the ratio counts.
const LEAST_FLOWS: f32 = 4.0;

/// Entrances that are remembered.
const LIMIT: usize = 4_096;

/// Habits by entrance.
#[derive(Debug, Default)]
pub struct Habits {
    sorted: Vec<(SocketAddrV4, Habit)>,
}

/// Flows and requests of an entrance.
#[derive(Debug, Clone, Copy, Default)]
struct Habit {
    flows: f32,
    requests: f32,
}

impl Habits {
    /// Notes a flow.
    pub fn note_flow(&mut self, entrance: SocketAddrV4) {
        let Some(habit) = self.entry(entrance) else {
            return;
        };
        habit.flows += 1.0;
        if habit.flows >= HALF_LIFE {
            habit.flows /= 2.0;
            habit.requests /= 2.0;
        }
    }

    /// Notes a request within a flow.
    pub fn note_request(&mut self, entrance: SocketAddrV4) {
        if let Some(habit) = self.entry(entrance) {
            habit.requests += 1.0;
        }
    }

    /// Whether flows of an entrance are long.
    pub fn is_long(&self, entrance: SocketAddrV4) -> bool {
        let at = self.sorted.binary_search_by_key(&entrance, |held| held.0);
        at.is_ok_and(|at| {
            let habit = self.sorted[at].1;
            habit.flows >= LEAST_FLOWS && habit.requests >= LONG_RATIO * habit.flows
        })
    }

    fn entry(&mut self, entrance: SocketAddrV4) -> Option<&mut Habit> {
        let at = match self.sorted.binary_search_by_key(&entrance, |held| held.0) {
            Ok(at) => at,
            Err(_) if self.sorted.len() >= LIMIT => return None,
            Err(at) => {
                self.sorted.insert(at, (entrance, Habit::default()));
                at
            }
        };
        self.sorted.get_mut(at).map(|held| &mut held.1)
    }
}
