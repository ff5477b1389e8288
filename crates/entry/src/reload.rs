//! Detection of changes to the settings file while the process runs.

use std::path::PathBuf;

use bambooseam_config::{Document, Settings};
use bambooseam_types::Findings;

/// The settings file and its contents when last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

/// Result of a check of the settings file.
#[derive(Debug)]
pub enum FileChange {
    /// The file has not changed.
    Unchanged,
    /// The file contains other valid settings.
    Changed(Box<Settings>),
    /// The settings are invalid; the settings in force stay.
    Invalid(Findings),
    /// The file cannot be read.
    Unreadable(std::io::Error),
}

impl SettingsFile {
    /// Reads the file once; an unreadable file counts as empty.
    pub fn new(path: PathBuf) -> Self {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        Self { path, text }
    }

    /// Reads the file again and compares it with the contents last read.
    pub fn check(&mut self) -> FileChange {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => return FileChange::Unreadable(error),
        };
        if text == self.text {
            return FileChange::Unchanged;
        }
        let file = self.path.display().to_string();
        let settings = Document::parse(&file, &text).and_then(|d| Settings::try_from(&d));
        self.text = text;
        match settings {
            Ok(settings) => FileChange::Changed(Box::new(settings)),
            Err(findings) => FileChange::Invalid(findings),
        }
    }
}
