//! One line of a log.

use std::fmt::{self, Display, Formatter};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error};

/// Where the product's part of a line begins; what stands before it is the collector's.
const START: &str = "time=";

/// A line with its fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// The VM that wrote it.
    pub vm: String,
    /// When, by the clock of that VM, since 1970.
    pub at: Duration,
    /// What happened.
    pub event: String,
    /// All other fields, in their order.
    fields: Vec<(String, String)>,
}

/// A line that is none of this product's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no time= and event=")]
pub struct ParseLineError;

impl LogLine {
    /// Reads a line; `vm` is whose it is when no name stands before the time.
    ///
    /// # Errors
    ///
    /// An error when it has no time that can be read, or names no event.
    pub fn parse(line: &str, vm: &str) -> Result<Self, ParseLineError> {
        let start = line.find(START).ok_or(ParseLineError)?;
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

    /// A field of the line.
    pub fn field(&self, key: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(held, _)| held == key);
        found.map(|(_, value)| value.as_str())
    }

    /// Whether a field has this value.
    pub fn has(&self, key: &str, value: &str) -> bool {
        self.field(key) == Some(value)
    }

    /// When it was written, as logs show it.
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

/// A time since 1970 as logs show it.
pub fn format_time(at: Duration) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + at).to_string()
}

fn since_epoch(time: SystemTime) -> Duration {
    time.duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Splits `key=value` pairs at spaces that are neither in quotes nor in brackets.
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
