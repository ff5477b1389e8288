//! Line numbers of the sections and keys of INI text.
//!
//! The INI parser returns no line numbers, but keeps the order of the text. One pass over the
//! lines, in step with the parsed sections, finds the line of each key.

use bambooseam_types::{Finding, Findings, Location};
use ini::Ini;

use crate::document::{Entry, LINE_ALLOWED, RawSection};

/// Characters that begin a comment.
const COMMENT: [char; 2] = [';', '#'];

/// Whitespace that may surround the content of a line; the INI parser trims no other characters.
const BLANK: [char; 3] = [' ', '\t', '\r'];

/// Characters that end a key.
const DELIMITER: [char; 2] = ['=', ':'];

/// A line that is neither empty nor a comment.
#[derive(Debug, Clone)]
pub(crate) struct Line<'a> {
    /// Line number, counted from 1.
    number: usize,
    content: Content<'a>,
}

/// Content of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Content<'a> {
    /// Name in a section header, with single spaces.
    Header(String),
    /// A key.
    Key(&'a str),
}

/// Reads the lines of a document.
///
/// # Errors
///
/// Returns a finding for each line that is not a section header, key or comment.
pub(crate) fn scan<'a>(file: &str, text: &'a str) -> Result<Vec<Line<'a>>, Findings> {
    let mut lines = Vec::new();
    let mut findings = Findings::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim_matches(BLANK);
        if line.is_empty() || line.starts_with(COMMENT) {
            continue;
        }
        let number = index + 1;
        match read_content(line) {
            Some(content) => lines.push(Line { number, content }),
            None => {
                let location = Location::new(file, number, "");
                findings.push(Finding::new(location, format!("{line:?}"), LINE_ALLOWED));
            }
        }
    }
    findings.into_result(lines)
}

/// Reads one line; `None` when it is neither a section header nor a key.
fn read_content(line: &str) -> Option<Content<'_>> {
    if let Some(rest) = line.strip_prefix('[') {
        let (name, rest) = rest.split_once(']')?;
        return rest
            .is_empty()
            .then(|| Content::Header(normalise_name(name)));
    }
    let (key, _) = line.split_once(DELIMITER)?;
    Some(Content::Key(key.trim_matches(BLANK)))
}

/// Name of a section with runs of whitespace replaced by single spaces.
fn normalise_name(name: &str) -> String {
    name.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Adds the line numbers to the parsed sections and their keys.
pub(crate) fn attach_lines(ini: &Ini, lines: &[Line<'_>]) -> Vec<RawSection> {
    let mut sections = Vec::new();
    let mut rest = lines;
    for (name, properties) in ini.iter() {
        let name = normalise_name(name.unwrap_or_default());
        let header = match name.is_empty() {
            true => 0,
            false => find_header(&mut rest, &name),
        };
        let mut entries = Vec::new();
        for (key, value) in properties.iter() {
            entries.push(Entry {
                key: key.into(),
                value: value.into(),
                line: find_key(&mut rest, key).unwrap_or(header),
            });
        }
        if name.is_empty() && entries.is_empty() {
            continue;
        }
        sections.push(RawSection {
            name,
            line: header,
            entries,
        });
    }
    sections
}

/// Line of the next header called `name`; advances `rest` past that line.
fn find_header(rest: &mut &[Line<'_>], name: &str) -> usize {
    for (index, line) in rest.iter().enumerate() {
        if !matches!(&line.content, Content::Header(header) if header == name) {
            continue;
        }
        let number = line.number;
        *rest = &rest[index + 1..];
        return number;
    }
    0
}

/// Line of the next `key` in this section; advances `rest` past that line.
fn find_key(rest: &mut &[Line<'_>], key: &str) -> Option<usize> {
    for (index, line) in rest.iter().enumerate() {
        match &line.content {
            Content::Header(_) => return None,
            Content::Key(other) if *other != key => continue,
            Content::Key(_) => {}
        }
        let number = line.number;
        *rest = &rest[index + 1..];
        return Some(number);
    }
    None
}

/// Reports duplicate sections and keys.
pub(crate) fn report_duplicates(file: &str, sections: &[RawSection], findings: &mut Findings) {
    let names = sections.iter().map(|raw| raw.name.as_str());
    for index in duplicates(names) {
        let raw = &sections[index];
        let location = Location::new(file, raw.line, raw.name.clone());
        findings.push(Finding::new(
            location,
            "the section twice",
            "each section once",
        ));
    }
    for raw in sections {
        let keys = raw.entries.iter().map(|entry| entry.key.as_str());
        for index in duplicates(keys) {
            let entry = &raw.entries[index];
            let location = Location::new(file, entry.line, format!("{}.{}", raw.name, entry.key));
            findings.push(Finding::new(location, "the key twice", "each key once"));
        }
    }
}

/// Indexes of the words that already occurred earlier in `words`.
fn duplicates<'a>(words: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut sorted: Vec<(&str, usize)> = words.enumerate().map(|(i, word)| (word, i)).collect();
    sorted.sort_unstable();
    let pairs = sorted.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    pairs.map(|pair| pair[1].1).collect()
}
