//! Estimates whether a request is short or long work from past service times.
//!
//! The estimate is used for paths that no rule of the preset covers.

use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_view::FlowKey;

/// Maximum number of paths with a recorded mean service time.
const MAX_PATHS: usize = 4_096;

/// A path is long when its mean service time exceeds the typical time by more than this factor.
const LONG_FACTOR: f64 = 8.0;

/// Weight of one service time in the moving mean of its path.
const PATH_WEIGHT: f64 = 0.2;

/// Weight of one service time in the typical time. Each service time is first capped at twice the
/// typical time, so that long work hardly raises it.
const TYPICAL_WEIGHT: f64 = 0.02;

/// Mean service times by path, in a table of bounded size. A path without its own mean uses the
/// mean of its directory.
#[derive(Debug, Default)]
pub struct ClassEstimator {
    paths: Vec<(FlowKey, f64)>,
    typical: Option<f64>,
}

impl ClassEstimator {
    /// Creates an estimator that classifies all work as short until it has samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Expected class of a path.
    pub fn class_of(&self, path: &str) -> WorkClass {
        let Some(typical) = self.typical else {
            return WorkClass::Short;
        };
        let known = self.mean(path).or_else(|| self.mean(directory(path)));
        match known {
            Some(mean) if mean > typical * LONG_FACTOR => WorkClass::Long,
            _ => WorkClass::Short,
        }
    }

    /// Records the service time of a completely delivered response.
    pub fn record(&mut self, path: &str, time: Duration) {
        let time = time.as_secs_f64();
        let typical = self.typical.get_or_insert(time);
        *typical += (time.min(*typical * 2.0) - *typical) * TYPICAL_WEIGHT;
        self.update_mean(path, time);
        self.update_mean(directory(path), time);
    }

    fn mean(&self, path: &str) -> Option<f64> {
        let key = FlowKey::from_name(path);
        let index = self
            .paths
            .binary_search_by_key(&key, |entry| entry.0)
            .ok()?;
        Some(self.paths[index].1)
    }

    fn update_mean(&mut self, path: &str, time: f64) {
        let key = FlowKey::from_name(path);
        match self.paths.binary_search_by_key(&key, |entry| entry.0) {
            Ok(index) => {
                let mean = &mut self.paths[index].1;
                *mean += (time - *mean) * PATH_WEIGHT;
            }
            Err(index) if self.paths.len() < MAX_PATHS => self.paths.insert(index, (key, time)),
            // A full table replaces the entry next in hash order, which amounts to random eviction.
            Err(index) => self.paths[index.min(MAX_PATHS - 1)] = (key, time),
        }
    }
}

/// Returns the path up to and including its last `/`.
fn directory(path: &str) -> &str {
    let end = path.rfind('/').map_or(path.len(), |at| at + 1);
    &path[..end]
}
