//! Measured load of an owner: busy slots by class and service times.

use std::time::Duration;

use bambooseam_config::WorkClass;
use tokio::time::Instant;

/// Weight of one service time in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Windows that must pass before averages tell anything.
const YOUNG_WINDOWS: u32 = 2;

/// Moving averages of one owner.
#[derive(Debug, Clone)]
pub struct Load {
    window: Duration,
    since: Instant,
    at: Instant,
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
const fn slot_of(class: WorkClass) -> usize {
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
            at: now,
            busy: [0; 2],
            average: [0.0; 2],
            arrivals: 0.0,
            means: [Mean::default(); 2],
        }
    }

    /// Whether too little time has passed for averages to tell anything.
    pub fn is_young(&self) -> bool {
        self.since.elapsed() < self.window * YOUNG_WINDOWS
    }

    /// Slots that run work of a class now.
    pub fn busy(&self, class: WorkClass) -> u32 {
        self.busy[slot_of(class)]
    }

    /// Slots that ran work of a class, averaged over the window.
    pub fn average(&self, class: WorkClass) -> f64 {
        self.average[slot_of(class)]
    }

    /// Mean service time of a class; zero until something is known.
    pub fn mean(&self, class: WorkClass) -> Duration {
        Duration::from_secs_f64(self.means[slot_of(class)].value)
    }

    /// Takes a proxy's word for the service time of a class, until work of it has ended here.
    pub fn expect(&mut self, class: WorkClass, time: Duration) {
        let mean = &mut self.means[slot_of(class)];
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
    pub fn arrive_short(&mut self) {
        self.advance();
        self.arrivals += 1.0;
    }

    /// Notes the start of work.
    pub fn start(&mut self, class: WorkClass) {
        self.advance();
        self.busy[slot_of(class)] += 1;
    }

    /// Notes the end of work; `time` is its service time when it ran to its end.
    pub fn end(&mut self, class: WorkClass, time: Option<Duration>) {
        self.advance();
        let busy = &mut self.busy[slot_of(class)];
        *busy = busy.saturating_sub(1);
        if let Some(time) = time {
            self.means[slot_of(class)].add(time.as_secs_f64(), MEAN_WEIGHT);
        }
    }

    /// Moves the averages on to now.
    pub fn advance(&mut self) {
        let now = Instant::now();
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let weight = 1.0 - (-passed / self.window.as_secs_f64()).exp();
        self.arrivals -= self.arrivals * weight;
        for (average, busy) in self.average.iter_mut().zip(self.busy) {
            *average += (f64::from(busy) - *average) * weight;
        }
    }
}

impl Mean {
    /// Adds a value; `least` is its weight once many are known.
    pub fn add(&mut self, value: f64, least: f64) {
        self.count = self.count.saturating_add(1);
        let weight = least.max(1.0 / f64::from(self.count));
        self.value += (value - self.value) * weight;
    }
}
