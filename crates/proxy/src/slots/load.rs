//! Measured load of an owner: busy slots by class, and mean service times.

use std::time::Duration;

use bambooseam_config::WorkClass;
use tokio::time::Instant;

/// Weight of one service time in the moving mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Number of samples that the initial estimate of a service time counts for, so that one slow
/// response of a new owner does not refuse the requests that wait behind it.
const PRIOR_SAMPLES: u32 = 4;

/// Number of windows that must pass before the averages are reliable.
const WARM_UP_WINDOWS: u32 = 2;

/// Moving averages of the load of one owner.
#[derive(Debug, Clone)]
pub struct Load {
    window: Duration,
    since: Instant,
    updated: Instant,
    /// Busy slots by class.
    busy: [u32; 2],
    /// Busy slots by class, averaged over the window.
    average: [f64; 2],
    /// Decayed count of short arrivals within the window.
    arrivals: f64,
    means: [Mean; 2],
}

/// A moving mean.
#[derive(Debug, Clone, Copy, Default)]
pub struct Mean {
    /// Current mean; zero without samples.
    pub value: f64,
    count: u32,
}

/// Returns the index of a class in the arrays of [`Load`].
const fn class_index(class: WorkClass) -> usize {
    match class {
        WorkClass::Short => 0,
        WorkClass::Long => 1,
    }
}

impl Load {
    /// Creates the state of an idle owner whose averages cover `window`.
    pub fn new(window: Duration) -> Self {
        let now = Instant::now();
        Self {
            window,
            since: now,
            updated: now,
            busy: [0; 2],
            average: [0.0; 2],
            arrivals: 0.0,
            means: [Mean::with_prior(PRIOR_SAMPLES); 2],
        }
    }

    /// Whether too little time has passed for the averages to be reliable.
    pub fn is_warming_up(&self) -> bool {
        self.since.elapsed() < self.window * WARM_UP_WINDOWS
    }

    /// Number of slots that run work of a class now.
    pub fn busy(&self, class: WorkClass) -> u32 {
        self.busy[class_index(class)]
    }

    /// Number of slots that ran work of a class, averaged over the window.
    pub fn average(&self, class: WorkClass) -> f64 {
        self.average[class_index(class)]
    }

    /// Mean service time of a class; zero without samples.
    pub fn mean(&self, class: WorkClass) -> Duration {
        Duration::from_secs_f64(self.means[class_index(class)].value)
    }

    /// Uses the service time reported by a proxy as the initial estimate of a class, until work of
    /// the class has ended here.
    pub fn seed_mean(&mut self, class: WorkClass, time: Duration) {
        let mean = &mut self.means[class_index(class)];
        if mean.count <= PRIOR_SAMPLES {
            mean.value = time.as_secs_f64();
        }
    }

    /// Number of slots that short work needs at its current arrival rate, including arrivals that
    /// are not served.
    pub fn short_demand(&self) -> f64 {
        let rate = self.arrivals / self.window.as_secs_f64();
        let needed = rate * self.mean(WorkClass::Short).as_secs_f64();
        needed.max(self.average(WorkClass::Short))
    }

    /// Records the arrival of short work.
    pub fn record_short_arrival(&mut self) {
        self.advance();
        self.arrivals += 1.0;
    }

    /// Records the start of work.
    pub fn record_start(&mut self, class: WorkClass) {
        self.advance();
        self.busy[class_index(class)] += 1;
    }

    /// Records the end of work; `time` is the service time if the work was completed.
    pub fn record_end(&mut self, class: WorkClass, time: Option<Duration>) {
        self.advance();
        let busy = &mut self.busy[class_index(class)];
        *busy = busy.saturating_sub(1);
        if let Some(time) = time {
            self.means[class_index(class)].add(time.as_secs_f64(), MEAN_WEIGHT);
        }
    }

    /// Updates the averages to the current time.
    pub fn advance(&mut self) {
        let now = Instant::now();
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let weight = 1.0 - (-passed / self.window.as_secs_f64()).exp();
        self.arrivals -= self.arrivals * weight;
        for (average, busy) in self.average.iter_mut().zip(self.busy) {
            *average += (f64::from(busy) - *average) * weight;
        }
    }
}

impl Mean {
    /// Creates a mean of zero that counts for `samples` samples.
    pub const fn with_prior(samples: u32) -> Self {
        Self {
            value: 0.0,
            count: samples,
        }
    }

    /// Adds a sample. The weight of a sample falls to `min_weight` as the number of samples grows.
    pub fn add(&mut self, value: f64, min_weight: f64) {
        self.count = self.count.saturating_add(1);
        let weight = min_weight.max(1.0 / f64::from(self.count));
        self.value += (value - self.value) * weight;
    }
}
