//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// A text file with one line for each event; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            begun: Instant::now(),
        })
    }

    /// Seconds since the record began.
    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Writes a line with the time in seconds.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = writeln!(file, "{:9.4} {text}", self.seconds()) {
            eprintln!("the record can't be written: {error}");
        }
    }
}
