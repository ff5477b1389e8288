//! Parsing of log lines.

use std::fmt::{self, Display, Formatter};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error};

/// First key of a line of this product; text before this key was added by the log collector.
const FIRST_KEY: &str = "time=";

/// A log line with its fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// VM that wrote the line.
    pub vm: String,
    /// Time since the Unix epoch, according to the clock of that VM.
    pub at: Duration,
    /// Name of the event.
    pub event: String,
    /// All other fields except `level` and `from`, in the order of the line.
    fields: Vec<(String, String)>,
}

/// Error for a line that is not in the log format of this product.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("line without a valid time= and event=")]
pub struct ParseLineError;

impl LogLine {
    /// Parses a line; `vm` is the VM of a line that has no name before `time=`.
    ///
    /// # Errors
    ///
    /// Returns an error when the line has no valid time or no event.
    pub fn parse(line: &str, vm: &str) -> Result<Self, ParseLineError> {
        let start = line.find(FIRST_KEY).ok_or(ParseLineError)?;
        let vm = line[..start].split_whitespace().last().unwrap_or(vm);
        let mut time = None;
        let mut event = None;
        let mut fields = Vec::new();
        for (key, value) in pairs(&line[start..]) {
            match key.as_str() {
                "time" => time = humantime::parse_rfc3339(&value).ok(),
                "event" => event = Some(value),
                "level" | "from" => {}
                _ => fields.push((key, value)),
            }
        }
        Ok(Self {
            vm: vm.into(),
            at: time.map(since_epoch).ok_or(ParseLineError)?,
            event: event.ok_or(ParseLineError)?,
            fields,
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, key: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(name, _)| name == key);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether a field has this value.
    pub fn has(&self, key: &str, value: &str) -> bool {
        self.field(key) == Some(value)
    }

    /// Returns the time of the line in the format of the logs.
    pub fn time(&self) -> String {
        format_time(self.at)
    }
}

impl Display for LogLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} event={}", self.time(), self.vm, self.event)?;
        for (key, value) in &self.fields {
            match value.contains(' ') {
                true => write!(f, " {key}={value:?}")?,
                false => write!(f, " {key}={value}")?,
            }
        }
        Ok(())
    }
}

/// Formats a time since the Unix epoch in the format of the logs.
pub fn format_time(at: Duration) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + at).to_string()
}

fn since_epoch(time: SystemTime) -> Duration {
    time.duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Splits a line into `key=value` pairs at spaces outside quotes and brackets.
fn pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut word = String::new();
    let (mut is_quoted, mut is_escaped, mut depth) = (false, false, 0_u32);
    for c in text.chars().chain([' ']) {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' if is_quoted => {
                is_escaped = true;
                continue;
            }
            '"' => {
                is_quoted = !is_quoted;
                continue;
            }
            '[' if !is_quoted => depth += 1,
            ']' if !is_quoted => depth = depth.saturating_sub(1),
            ' ' if !is_quoted && depth == 0 => {
                if let Some((key, value)) = word.split_once('=') {
                    pairs.push((key.into(), value.into()));
                }
                word.clear();
                continue;
            }
            _ => {}
        }
        word.push(c);
    }
    pairs
}
