//! Detection of pauses of this process, such as a suspended VM.

use std::time::Duration;

use bambooseam_steer::resumption::MIN_PAUSE;
use bambooseam_types::Moment;

/// Time after the timeout of a call for which its answer may be handled late on a busy VM.
const TIMER_TOLERANCE: Duration = Duration::from_millis(200);

/// Time of the last turn of the thread, which comes at least once in a sweep interval.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_turn: Option<Moment>,
}

impl PauseDetector {
    /// Records a turn. Returns the time since the last one if the process was paused in between.
    pub fn record_turn(&mut self, now: Moment) -> Option<Duration> {
        let elapsed = now.since(self.last_turn.replace(now)?);
        (elapsed > MIN_PAUSE).then_some(elapsed)
    }
}

/// Returns the earliest time at which the answer to a call may have been sent. `max_time` is the
/// timeout of the call: the answer to a call that seems longer waited while this process was paused,
/// and confirms nothing later than the start of the call.
pub fn answered_at(started: Moment, now: Moment, max_time: Duration) -> Moment {
    match now.since(started) <= max_time + TIMER_TOLERANCE {
        true => now,
        false => started,
    }
}
