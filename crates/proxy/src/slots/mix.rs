//! Fractions of a service's offered work that are short and long, as one proxy sees them.
//!
//! Work spreads over owners by their free slots, so an owner can't derive the fractions from its
//! own slots. Proxies count arrivals and send the short fraction along with each request for a
//! slot.

use std::time::Duration;

use bambooseam_config::WorkClass;

use super::load::Mean;

/// Fraction by which the counts decay with each arrival. The decay is slow, so that the counts
/// always include enough long work.
const DECAY: f64 = 1.0 / 4_096.0;

/// Weight of one service time in the moving mean of its class.
const TIME_WEIGHT: f64 = 1.0 / 128.0;

/// Decayed arrival counts and mean service times by class.
#[derive(Debug, Clone, Default)]
pub struct WorkMix {
    short: ClassWork,
    long: ClassWork,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassWork {
    arrivals: f64,
    time: Mean,
}

impl WorkMix {
    /// Records an arrival, whether or not it is served later.
    pub fn record_arrival(&mut self, class: WorkClass) {
        self.short.arrivals *= 1.0 - DECAY;
        self.long.arrivals *= 1.0 - DECAY;
        self.class(class).arrivals += 1.0;
    }

    /// Records the service time of a completely delivered response.
    pub fn record_served(&mut self, class: WorkClass, time: Duration) {
        self.class(class).time.add(time.as_secs_f64(), TIME_WEIGHT);
    }

    /// Mean service time of a class; zero without samples.
    pub fn mean(&self, class: WorkClass) -> Duration {
        let work = match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        };
        Duration::from_secs_f64(work.time.value)
    }

    /// Fraction of the offered work that is short; `None` until a service time is known.
    pub fn short_fraction(&self) -> Option<f64> {
        let (short, long) = (self.short.offered_time(), self.long.offered_time());
        (short + long > 0.0).then(|| short / (short + long))
    }

    fn class(&mut self, class: WorkClass) -> &mut ClassWork {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }
}

impl ClassWork {
    /// Returns the service time of the offered work, in seconds, decayed like the arrivals.
    fn offered_time(&self) -> f64 {
        self.arrivals * self.time.value
    }
}
