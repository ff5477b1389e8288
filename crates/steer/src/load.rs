//! Load of a target, derived from the packets that pass through this VM.

use std::time::Duration;

use bambooseam_types::Moment;

use crate::responsiveness::Responsiveness;
use crate::stall::Stall;

/// Load of one target as observed by this VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Flows that are open or being opened.
    pub flows: u32,
    /// Flows that have a request in progress or are being opened.
    pub busy: u32,
    /// Openings and requests sent since the last response.
    pub responsiveness: Responsiveness,
    /// Retransmissions since the last response.
    pub stall: Stall,
    /// Whether the target was unresponsive at the last update.
    pub was_unresponsive: bool,
    /// When the latest opening packet or request was sent that the target has answered.
    pub last_answered: Option<Moment>,
    /// When the latest request began that the target has finished.
    pub last_finished: Option<Moment>,
    /// When the target last responded.
    pub last_response: Option<Moment>,
    /// End of the time for which the target is slow after its start.
    pub cold_until: Option<Moment>,
}

impl Load {
    /// Records that a packet has shown a response of the target; `is_finished` if it is the response
    /// to a request.
    pub fn record_response(&mut self, is_finished: bool, now: Moment) {
        self.responsiveness.record_response();
        if is_finished {
            self.responsiveness.record_finished(now);
        }
        self.stall = Stall::default();
        self.last_response = Some(now);
    }

    /// Sets the remaining time for which the target is slow after its start; zero clears it.
    pub fn set_cold_time(&mut self, now: Moment, time: Duration) {
        self.cold_until = (!time.is_zero()).then(|| now.after(time));
    }

    /// Whether the target is still slow after its start.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}
