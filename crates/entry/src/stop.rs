//! The planned stop: no new packets, then the last ones, then the end.
//!
//! Load pattern: VMs are stopped in turn while callers keep their flows. The platform takes a VM
//! out after two probes without readiness, and sends packets to it until then, or for longer when
//! too few VMs of the zone are left. Every packet that arrives is served; the process ends when
//! none has come for a while, or shortly before it would be killed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bambooseam_types::Moment;

/// Least time between the end of readiness and the end of the process: two probes, half a second
/// apart, each with its time limit.
const LEAST_TIME: Duration = Duration::from_millis(1_500);

/// Time without packets after which the platform has turned elsewhere: callers with an open flow
/// repeat a packet after 200 ms.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Time left for the end itself before the process would be killed.
const RESERVE: Duration = Duration::from_millis(500);

/// When the last packet came.
#[derive(Debug, Clone, Default)]
pub struct LastPacket(Rc<Cell<Moment>>);

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the stop was asked for.
    pub begun: Moment,
    /// Time from then until the process is killed.
    pub time: Duration,
}

/// What a stopping process does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopping {
    /// It serves what still comes.
    Serving,
    /// No packet has come for a while.
    Quiet,
    /// Its time is over.
    Overdue,
}

impl LastPacket {
    /// Notes a packet.
    pub fn record(&self, now: Moment) {
        self.0.set(now);
    }

    /// When the last packet came.
    pub fn time(&self) -> Moment {
        self.0.get()
    }
}

impl Stop {
    /// What the process does at `now`, when the last packet came at `last`.
    pub fn at(&self, now: Moment, last: Moment) -> Stopping {
        let elapsed = now.since(self.begun);
        if elapsed >= self.time.saturating_sub(RESERVE) {
            return Stopping::Overdue;
        }
        if elapsed >= LEAST_TIME && now.since(last) >= QUIET_TIME {
            return Stopping::Quiet;
        }
        Stopping::Serving
    }
}
