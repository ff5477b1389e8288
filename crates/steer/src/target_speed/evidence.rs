//! Decaying means, and a test for changes.

/// Decaying mean.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Evidence {
    pub weight: f32,
    pub sum: f32,
}

/// One-sided CUSUM test, with the responses since its sum was last 0.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Cusum {
    pub score: f32,
    pub run: Evidence,
}

impl Evidence {
    /// Adds a value with weight 1.
    pub fn add(&mut self, value: f32) {
        self.weight += 1.0;
        self.sum += value;
    }

    /// Multiplies the weight of all values by `kept`.
    pub fn scale(&mut self, kept: f32) {
        self.weight *= kept;
        self.sum *= kept;
    }

    /// Mean of the values; `default` without any.
    pub fn mean(self, default: f32) -> f32 {
        match self.weight > 0.0 {
            true => self.sum / self.weight,
            false => default,
        }
    }
}

impl Cusum {
    /// Adds the step of a response to the sum, and its ratio to the run.
    pub fn add(&mut self, step: f32, ratio: f32) {
        self.score += step;
        if self.score <= 0.0 {
            *self = Self::default();
        } else {
            self.run.add(ratio);
        }
    }
}
