//! Time that goes on while the VM is suspended.

use bambooseam_types::{Clock, Moment};
use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the VM was booted, with the time of suspensions.
///
/// The steady clock stands still while a VM is suspended. Ages that are measured with it would
/// make a view look current that is older by the whole suspension.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Moment::from_millis(seconds * 1_000 + nanos / 1_000_000)
    }
}
