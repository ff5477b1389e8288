//! Clock that keeps running while the VM is suspended.

use bambooseam_types::{Clock, Moment};
use rustix::time::{ClockId, clock_gettime};

/// Time since the VM booted, in milliseconds, including the time that the VM was suspended.
///
/// The monotonic clock stops while a VM is suspended. With that clock, the age of a view would not
/// include the suspension, and a stale view would appear to be current.
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
