//! Measured load of an owner: busy slots by class and service times.

use std::time::Duration;

use bambooseam_config::WorkClass;
use tokio::time::Instant;

/// Weight of one service time in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Windows that must pass before averages tell anything.
const WARM_UP_WINDOWS: u32 = 2;

/// Moving averages of one owner.
#[derive(Debug, Clone)]
pub struct Load {
    window: Duration,
    since: Instant,
    updated: Instant,
    busy: [u32; 2],
    average: [f64; 2],
    /// Short arrivals within the window, fading.
    arrivals: f64,
    means: [Mean; 2],
}

/// Moving mean.
#[derive(Debug, Clone, Copy, Default)]
pub struct Mean {
    /// The mean; zero of none.
    pub value: f64,
    count: u32,
}

/// Index of a class in the arrays.
const fn class_index(class: WorkClass) -> usize {
    match class {
        WorkClass::Short => 0,
        WorkClass::Long => 1,
    }
}

impl Load {
    /// Creates an idle load.
    pub fn new(window: Duration) -> Self {
        let now = Instant::now();
        Self {
            window,
            since: now,
            updated: now,
            busy: [0; 2],
            average: [0.0; 2],
            arrivals: 0.0,
            means: [Mean::default(); 2],
        }
    }

    /// Whether too little time has passed for averages to tell anything.
    pub fn is_warming_up(&self) -> bool {
        self.since.elapsed() < self.window * WARM_UP_WINDOWS
    }

    /// Slots that run work of a class now.
    pub fn busy(&self, class: WorkClass) -> u32 {
        self.busy[class_index(class)]
    }

    /// Slots that ran work of a class, averaged over the window.
    pub fn average(&self, class: WorkClass) -> f64 {
        self.average[class_index(class)]
    }

    /// Mean service time of a class; zero until something is known.
    pub fn mean(&self, class: WorkClass) -> Duration {
        Duration::from_secs_f64(self.means[class_index(class)].value)
    }

    /// Takes a proxy's word for the service time of a class, until work of it has ended here.
    pub fn seed_mean(&mut self, class: WorkClass, time: Duration) {
        let mean = &mut self.means[class_index(class)];
        if mean.count == 0 {
            mean.value = time.as_secs_f64();
        }
    }

    /// Slots that short work needs as it arrives now, whether it is served or not.
    pub fn short_demand(&self) -> f64 {
        let rate = self.arrivals / self.window.as_secs_f64();
        let needed = rate * self.mean(WorkClass::Short).as_secs_f64();
        needed.max(self.average(WorkClass::Short))
    }

    /// Notes the arrival of short work.
    pub fn record_short_arrival(&mut self) {
        self.advance();
        self.arrivals += 1.0;
    }

    /// Notes the start of work.
    pub fn record_start(&mut self, class: WorkClass) {
        self.advance();
        self.busy[class_index(class)] += 1;
    }

    /// Notes the end of work; `time` is its service time when it ran to its end.
    pub fn record_end(&mut self, class: WorkClass, time: Option<Duration>) {
        self.advance();
        let busy = &mut self.busy[class_index(class)];
        *busy = busy.saturating_sub(1);
        if let Some(time) = time {
            self.means[class_index(class)].add(time.as_secs_f64(), MEAN_WEIGHT);
        }
    }

    /// Moves the averages on to now.
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
    /// Adds a value; `least` is its weight once many are known.
    pub fn add(&mut self, value: f64, min_weight: f64) {
        self.count = self.count.saturating_add(1);
        let weight = min_weight.max(1.0 / f64::from(self.count));
        self.value += (value - self.value) * weight;
    }
}
