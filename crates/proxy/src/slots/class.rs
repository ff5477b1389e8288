//! Classes learned from service times, for paths that no rule speaks of.

use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_view::FlowKey;

/// Most paths that are remembered.
const MAX_PATHS: usize = 4_096;

/// Work is long when it takes this many times the usual time.
const LONG_FACTOR: f64 = 8.0;

/// Weight of one service time in a path's mean.
const PATH_WEIGHT: f64 = 0.2;

/// Weight of one service time in the usual time; long ones are capped first.
const TYPICAL_WEIGHT: f64 = 0.02;

/// Service times by path, bounded; paths share the estimate of their directory until known.
#[derive(Debug, Default)]
pub struct ClassEstimator {
    paths: Vec<(FlowKey, f64)>,
    typical: Option<f64>,
}

impl ClassEstimator {
    /// Creates a learner that takes everything for short.
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

    /// Notes the service time of a whole answer.
    pub fn record(&mut self, path: &str, time: Duration) {
        let time = time.as_secs_f64();
        let typical = self.typical.get_or_insert(time);
        *typical += (time.min(*typical * 2.0) - *typical) * TYPICAL_WEIGHT;
        self.update_mean(path, time);
        self.update_mean(directory(path), time);
    }

    fn mean(&self, path: &str) -> Option<f64> {
        let key = FlowKey::of_name(path);
        let index = self.paths.binary_search_by_key(&key, |held| held.0).ok()?;
        Some(self.paths[index].1)
    }

    fn update_mean(&mut self, path: &str, time: f64) {
        let key = FlowKey::of_name(path);
        match self.paths.binary_search_by_key(&key, |held| held.0) {
            Ok(index) => {
                let mean = &mut self.paths[index].1;
                *mean += (time - *mean) * PATH_WEIGHT;
            }
            Err(index) if self.paths.len() < MAX_PATHS => self.paths.insert(index, (key, time)),
            // A full table forgets the neighbour by hash, which is as good as a random one.
            Err(index) => self.paths[index.min(MAX_PATHS - 1)] = (key, time),
        }
    }
}

/// The path up to its last `/`.
fn directory(path: &str) -> &str {
    let end = path.rfind('/').map_or(path.len(), |at| at + 1);
    &path[..end]
}
