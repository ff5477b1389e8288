//! Settings that change while the process runs, with or without a signal.

use std::path::PathBuf;

use bambooseam_config::{Document, Settings};
use bambooseam_types::Findings;

/// The settings file as it was last read.
#[derive(Debug)]
pub struct Reload {
    path: PathBuf,
    text: String,
}

/// What a look at the settings file gave.
#[derive(Debug)]
pub enum Look {
    /// The file is as it was.
    Same,
    /// It holds other settings.
    Changed(Box<Settings>),
    /// It fails its check; what is in force stays.
    Refused(Findings),
    /// It can't be read.
    Missing(std::io::Error),
}

impl Reload {
    /// Begins with the file as it is; one that can't be read counts as empty.
    pub fn new(path: PathBuf) -> Self {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        Self { path, text }
    }

    /// Reads the file again.
    pub fn look(&mut self) -> Look {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => return Look::Missing(error),
        };
        if text == self.text {
            return Look::Same;
        }
        let file = self.path.display().to_string();
        let settings = Document::parse(&file, &text).and_then(|d| Settings::try_from(&d));
        self.text = text;
        match settings {
            Ok(settings) => Look::Changed(Box::new(settings)),
            Err(findings) => Look::Refused(findings),
        }
    }
}
