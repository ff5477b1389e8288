//! How the offered work of a service divides into classes, as one proxy sees it.
//!
//! Work spreads over owners by what they have free, so no owner can tell the division from its own
//! slots. Proxies count what arrives and send the division along with each request for a slot.

use std::time::Duration;

use bambooseam_config::WorkClass;

use super::load::Mean;

/// Part of the counts that fades with each arrival, so that enough long work is always counted.
const DECAY: f64 = 1.0 / 4_096.0;

/// Weight of one service time in the mean of its class.
const TIME_WEIGHT: f64 = 1.0 / 128.0;

/// Arrivals and service times by class.
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
    /// Notes an arrival, served later or not.
    pub fn record_arrival(&mut self, class: WorkClass) {
        self.short.arrivals *= 1.0 - DECAY;
        self.long.arrivals *= 1.0 - DECAY;
        self.class(class).arrivals += 1.0;
    }

    /// Notes the service time of a whole answer.
    pub fn record_served(&mut self, class: WorkClass, time: Duration) {
        self.class(class).time.add(time.as_secs_f64(), TIME_WEIGHT);
    }

    /// Mean service time of a class; zero until one is known.
    pub fn mean(&self, class: WorkClass) -> Duration {
        let work = match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        };
        Duration::from_secs_f64(work.time.value)
    }

    /// Part of the offered work that is short; `None` until service times are known.
    pub fn short_fraction(&self) -> Option<f64> {
        let (short, long) = (self.short.work(), self.long.work());
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
    fn work(&self) -> f64 {
        self.arrivals * self.time.value
    }
}
