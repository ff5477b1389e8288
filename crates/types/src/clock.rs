//! Monotonic time in milliseconds.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;

/// Point in time, in milliseconds since the origin of its [`Clock`], for example the start of the
/// process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0}ms")]
pub struct Moment(u64);

/// Source of the current time.
pub trait Clock {
    /// Returns the current time; it never decreases.
    fn now(&self) -> Moment;
}

/// Monotonic system clock that is read once for each batch of packets.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Instant,
    now: Rc<Cell<Moment>>,
}

impl Moment {
    /// Creates the moment `millis` milliseconds after the origin of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the origin of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time since `earlier`; zero if `earlier` is later.
    #[inline]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The moment `time` after this moment, rounded down to milliseconds.
    pub const fn after(self, time: Duration) -> Self {
        Self(self.0 + time.as_millis() as u64)
    }

    /// The moment `time` before this moment; the origin of the clock if that is later.
    pub fn before(self, time: Duration) -> Self {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(millis))
    }
}

impl SystemClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            now: Rc::default(),
        }
    }

    /// Reads the system time. All clones of this clock then return that time.
    pub fn refresh(&self) {
        let millis = self.start.elapsed().as_millis() as u64;
        self.now.set(Moment(millis));
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        self.now.get()
    }
}
