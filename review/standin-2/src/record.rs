//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines of one run, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, line: String) {
        let at = self.now();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((at, line));
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines.iter() {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{:.4} {line}", at.as_secs_f64());
        }
        std::fs::write(path, text)
    }
}
