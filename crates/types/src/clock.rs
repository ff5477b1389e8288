//! Time as a program sees it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;

/// Milliseconds since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0}ms")]
pub struct Moment(u64);

/// Where the time comes from.
pub trait Clock {
    /// The time now; it never falls.
    fn now(&self) -> Moment;
}

/// The system's clock, read once for each batch of packets.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Instant,
    now: Rc<Cell<Moment>>,
}

impl Moment {
    /// The moment `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time since `earlier`; zero when that is later.
    #[inline]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The moment `time` after this one.
    pub const fn after(self, time: Duration) -> Self {
        Self(self.0 + time.as_millis() as u64)
    }
}

impl SystemClock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            now: Rc::default(),
        }
    }

    /// Reads the system's time; all copies of this clock then show it.
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
