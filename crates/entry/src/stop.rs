//! Planned stop of the process: readiness ends, the remaining packets are served, the process
//! exits.
//!
//! VMs are stopped one after another while callers keep their flows open. The platform removes a VM
//! from rotation after two failed readiness probes. It sends packets to the VM until then, or for
//! longer when too few VMs of the zone remain. A stopping process therefore still serves every
//! packet that arrives. It exits when no packet has arrived for a while, or shortly before the
//! platform would kill the process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bambooseam_types::Moment;

/// Minimum time between the end of readiness and the exit of the process: two readiness probes,
/// half a second apart, each with its timeout.
const MIN_STOP_TIME: Duration = Duration::from_millis(1_500);

/// Time without packets after which the platform no longer routes packets to this VM: callers with
/// an open flow retransmit a packet after 200 ms.
const IDLE_TIME: Duration = Duration::from_millis(400);

/// Time reserved for the exit before the process would be killed.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Arrival time of the last packet, shared by the tasks of one thread.
#[derive(Debug, Clone, Default)]
pub struct LastPacket(Rc<Cell<Moment>>);

/// Start and time limit of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the stop was requested.
    pub requested: Moment,
    /// Time from the request until the process is killed.
    pub grace: Duration,
}

/// State of a stopping process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopping {
    /// The process serves the packets that still arrive.
    Serving,
    /// No packet has arrived for a while; the process may exit.
    Quiet,
    /// The time limit is reached; the process must exit.
    Overdue,
}

impl LastPacket {
    /// Records a packet that arrived at `now`.
    pub fn record(&self, now: Moment) {
        self.0.set(now);
    }

    /// Returns the arrival time of the last packet.
    pub fn time(&self) -> Moment {
        self.0.get()
    }
}

impl Stop {
    /// Returns the state of the process at `now`, when the last packet arrived at `last`.
    pub fn state_at(&self, now: Moment, last: Moment) -> Stopping {
        let elapsed = now.since(self.requested);
        if elapsed >= self.grace.saturating_sub(EXIT_RESERVE) {
            return Stopping::Overdue;
        }
        if elapsed >= MIN_STOP_TIME && now.since(last) >= IDLE_TIME {
            return Stopping::Quiet;
        }
        Stopping::Serving
    }
}
