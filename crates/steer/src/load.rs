//! What packets show of a target's load.

use std::time::Duration;

use bambooseam_types::Moment;

use crate::silence::Silence;

/// Load of one target as this VM sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Flows that are open or opening.
    pub flows: u32,
    /// Flows with a request in progress, or not open yet.
    pub busy: u32,
    /// What was asked since it last showed life.
    pub silence: Silence,
    /// Whether it was silent when it was last looked at.
    pub was_silent: bool,
    /// When it last showed life.
    pub heard: Option<Moment>,
    /// Until when the target is slow after its start.
    pub cold_until: Option<Moment>,
}

impl Load {
    /// Notes that a packet has shown that the target lives.
    pub fn note_life(&mut self, now: Moment) {
        self.silence.note_life();
        self.heard = Some(now);
    }

    /// Notes for how long the target is still slow.
    pub fn note_cold(&mut self, now: Moment, time: Duration) {
        self.cold_until = (!time.is_zero()).then(|| now.after(time));
    }

    /// Whether the target is slow after its start.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}
