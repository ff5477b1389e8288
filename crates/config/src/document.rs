//! INI documents with the line number of each section and key.

use std::ops::RangeInclusive;
use std::time::Duration;

use bambooseam_types::{Finding, Findings, Location};
use humantime::format_duration;
use ini::{Ini, ParseError, ParseOption};

use crate::Value;
use crate::lines::{attach_lines, report_duplicates, scan};

/// Description of an allowed line, for findings.
pub(crate) const LINE_ALLOWED: &str = "[section], key = value, or a line that begins with ; or #";

/// Least similarity (0 to 1) at which a known key is offered as a hint.
const HINT_SIMILARITY: f64 = 0.6;

/// A parsed INI document that records the line of each key.
#[derive(Debug, Clone)]
pub struct Document {
    file: String,
    sections: Vec<RawSection>,
}

/// A section under validation; records which keys were read, so that the remaining keys can be
/// reported as unknown.
#[derive(Debug)]
pub struct Section<'a> {
    file: &'a str,
    raw: &'a RawSection,
    known: Vec<&'static str>,
}

/// A section as written.
#[derive(Debug, Clone)]
pub(crate) struct RawSection {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

/// A key as written.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

impl Document {
    /// Parses INI text; `file` is the name used in findings.
    ///
    /// # Errors
    ///
    /// Returns a finding with the line at which the text is not INI, and one for each duplicate key
    /// or section.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let lines = scan(file, text)?;
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option)
            .map_err(|error| syntax_finding(file, text, &error))?;
        let sections = attach_lines(&ini, &lines);
        let mut findings = Findings::new();
        report_duplicates(file, &sections, &mut findings);
        findings.into_result(Self {
            file: file.into(),
            sections,
        })
    }

    /// The name under which findings report this document.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Names of all sections, in document order.
    pub fn section_names(&self) -> impl Iterator<Item = &str> {
        self.sections.iter().map(|raw| raw.name.as_str())
    }

    /// The section called `name`, if present.
    pub fn section(&self, name: &str) -> Option<Section<'_>> {
        let raw = self.sections.iter().find(|raw| raw.name == name)?;
        Some(Section::new(&self.file, raw))
    }

    /// The section called `name`; reports a missing section.
    pub fn required_section(&self, name: &str, findings: &mut Findings) -> Option<Section<'_>> {
        let section = self.section(name);
        if section.is_none() {
            let location = Location::new(&self.file, 0, name);
            findings.push(Finding::new(
                location,
                "no such section",
                format!("a section [{name}]"),
            ));
        }
        section
    }

    /// Sections written as `[kind NAME]`, each with its name, in document order.
    pub fn sections_of<'a>(
        &'a self,
        kind: &'a str,
    ) -> impl Iterator<Item = (&'a str, Section<'a>)> + 'a {
        self.sections.iter().filter_map(move |raw| {
            let name = raw.name.strip_prefix(kind)?.strip_prefix(' ')?;
            Some((name, Section::new(&self.file, raw)))
        })
    }

    /// Reports each section that is neither `[kind]` with a kind of `plain` nor `[kind NAME]` with
    /// a kind of `named`.
    pub fn check_sections(&self, plain: &[&str], named: &[&str], findings: &mut Findings) {
        let known = [plain, named].concat();
        self.report_unknown_sections(&known, findings);
        for raw in &self.sections {
            let (kind, name) = match raw.name.split_once(' ') {
                Some((kind, name)) => (kind, name),
                None => (raw.name.as_str(), ""),
            };
            let allowed = if name.is_empty() && named.contains(&kind) {
                format!("[{kind} NAME]")
            } else if !name.is_empty() && plain.contains(&kind) {
                format!("[{kind}]")
            } else {
                continue;
            };
            let location = Location::new(&self.file, raw.line, raw.name.clone());
            findings.push(Finding::new(location, format!("[{}]", raw.name), allowed));
        }
    }

    /// Reports each section whose name or kind is not among `known`.
    pub fn report_unknown_sections(&self, known: &[&str], findings: &mut Findings) {
        for raw in &self.sections {
            let kind = raw.name.split(' ').next().unwrap_or_default();
            if known.contains(&kind) {
                continue;
            }
            if raw.name.is_empty() {
                let line = raw.entries.first().map_or(0, |entry| entry.line);
                let location = Location::new(&self.file, line, "");
                findings.push(Finding::new(
                    location,
                    "a key before any section",
                    "[section] first",
                ));
                continue;
            }
            let location = Location::new(&self.file, raw.line, raw.name.clone());
            let finding = Finding::new(location, "an unknown section", known.join(", "));
            findings.push(hint_nearest(finding, kind, known));
        }
    }
}

impl<'a> Section<'a> {
    fn new(file: &'a str, raw: &'a RawSection) -> Self {
        Self {
            file,
            raw,
            known: Vec::new(),
        }
    }

    /// An empty section, used in place of a section that the document lacks.
    pub fn absent(file: &'a str) -> Self {
        static ABSENT: RawSection = RawSection {
            name: String::new(),
            line: 0,
            entries: Vec::new(),
        };
        Self::new(file, &ABSENT)
    }

    /// Location of `key`, or of the section header when the key is absent.
    pub fn location(&self, key: &str) -> Location {
        let line = self.entry(key).map_or(self.raw.line, |entry| entry.line);
        Location::new(self.file, line, format!("{}.{key}", self.raw.name))
    }

    /// Parses the value of `key` if present; reports an invalid value.
    pub fn optional<T>(&mut self, key: &'static str, findings: &mut Findings) -> Option<T>
    where
        T: Value,
    {
        self.known.push(key);
        let entry = self.entry(key)?;
        match entry.value.parse::<T>() {
            Ok(value) => Some(value),
            Err(_) => {
                let found = format!("{:?}", entry.value);
                findings.push(Finding::new(self.location(key), found, T::ALLOWED));
                None
            }
        }
    }

    /// Parses the value of `key`; returns `default` when the key is absent.
    pub fn or<T>(&mut self, key: &'static str, default: T, findings: &mut Findings) -> T
    where
        T: Value,
    {
        self.optional(key, findings).unwrap_or(default)
    }

    /// Parses the value of `key`; reports an absent key or an invalid value.
    pub fn required<T>(&mut self, key: &'static str, findings: &mut Findings) -> Option<T>
    where
        T: Value,
    {
        if self.entry(key).is_none() {
            self.known.push(key);
            findings.push(Finding::new(self.location(key), "no such key", "a value"));
            return None;
        }
        self.optional(key, findings)
    }

    /// Parses a list separated by commas and reports each invalid item; returns an empty list when
    /// the key is absent.
    pub fn list<T>(&mut self, key: &'static str, findings: &mut Findings) -> Vec<T>
    where
        T: Value,
    {
        self.known.push(key);
        let Some(entry) = self.entry(key) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for part in entry.value.split(',') {
            let part = part.trim();
            if part.is_empty() {
                continue;
            }
            match part.parse::<T>() {
                Ok(value) => values.push(value),
                Err(_) => {
                    let found = format!("{part:?}");
                    findings.push(Finding::new(self.location(key), found, T::ALLOWED));
                }
            }
        }
        values
    }

    /// Parses a duration such as `250ms` or `12h`; returns `default` when the key is absent.
    pub fn duration(
        &mut self,
        key: &'static str,
        default: Duration,
        findings: &mut Findings,
    ) -> Duration {
        self.optional::<humantime::Duration>(key, findings)
            .map_or(default, Into::into)
    }

    /// Parses a duration and reports one outside `allowed`; returns `default` when the key is
    /// absent.
    pub fn duration_within(
        &mut self,
        key: &'static str,
        default: Duration,
        allowed: RangeInclusive<Duration>,
        findings: &mut Findings,
    ) -> Duration {
        let value = self.duration(key, default, findings);
        if !allowed.contains(&value) {
            let found = format_duration(value).to_string();
            let (min, max) = (
                format_duration(*allowed.start()),
                format_duration(*allowed.end()),
            );
            let range = format!("a time from {min} to {max}");
            findings.push(Finding::new(self.location(key), found, range));
        }
        value
    }

    /// Parses a whole number and reports one outside `allowed`; returns `default` when the key is
    /// absent.
    pub fn within(
        &mut self,
        key: &'static str,
        default: u64,
        allowed: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> u64 {
        let value = self.or(key, default, findings);
        if !allowed.contains(&value) {
            let range = format!(
                "a whole number from {} to {}",
                allowed.start(),
                allowed.end()
            );
            findings.push(Finding::new(self.location(key), value.to_string(), range));
        }
        value
    }

    /// Reports each key that was not read.
    pub fn report_unknown_keys(self, findings: &mut Findings) {
        for entry in &self.raw.entries {
            if self.known.contains(&entry.key.as_str()) {
                continue;
            }
            let location = self.location(&entry.key);
            let finding = Finding::new(location, "an unknown key", self.known.join(", "));
            findings.push(hint_nearest(finding, &entry.key, &self.known));
        }
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.raw.entries.iter().find(|entry| entry.key == key)
    }
}

/// Builds the finding for text that the INI parser rejects.
fn syntax_finding(file: &str, text: &str, error: &ParseError) -> Findings {
    // For an error at the end of the text, the parser returns a line number beyond the last line.
    let last = text.lines().count().max(1);
    let location = Location::new(file, error.line.min(last), "");
    let finding = Finding::new(location, error.msg.clone(), LINE_ALLOWED);
    let mut findings = Findings::new();
    findings.push(finding.with_hint("close each quote on its line"));
    findings
}

/// Adds the known word most similar to `word` as a hint.
fn hint_nearest(finding: Finding, word: &str, known: &[&str]) -> Finding {
    let mut nearest = None;
    let mut similarity = HINT_SIMILARITY;
    for candidate in known {
        let value = strsim::normalized_damerau_levenshtein(word, candidate);
        if value < similarity {
            continue;
        }
        similarity = value;
        nearest = Some(candidate);
    }
    match nearest {
        Some(nearest) => finding.with_hint(format!("did you mean {nearest}?")),
        None => finding,
    }
}
