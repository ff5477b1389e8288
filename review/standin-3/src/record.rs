//! What clients, backends and the platform saw, with the time since the start of the case.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines of the record; clones share them.
#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line.
    pub fn note(&self, line: String) {
        let now = self.now();
        println!("{:9.3} {line}", now.as_secs_f64());
        self.lock().push((now, line));
    }

    /// Adds a line without printing it.
    pub fn trace(&self, line: String) {
        let now = self.now();
        self.lock().push((now, line));
    }

    /// Writes all lines, in the order of their times.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lock().clone();
        lines.sort_by_key(|(time, _)| *time);
        let lines = lines.iter();
        let text: Vec<_> = lines
            .map(|(time, line)| format!("{:9.3} {line}\n", time.as_secs_f64()))
            .collect();
        std::fs::write(path, text.concat())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Duration, String)>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
