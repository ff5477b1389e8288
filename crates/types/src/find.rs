//! Findings of a check, collected with their place and reported together.

use std::fmt::{self, Display, Formatter};

/// Where in a document a finding was made.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// File name or published key.
    pub file: String,
    /// Line, counted from 1; 0 when the whole document is meant.
    pub line: usize,
    /// Section and key, as in `service charts.vni`.
    pub key: String,
}

/// One thing that is wrong in a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where it stands.
    pub location: Location,
    /// What was found there.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
    /// What to do about it; may be empty.
    pub hint: String,
}

/// All findings of one check; an error when it holds any.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Location {
    /// Creates a place.
    pub fn new(file: impl Into<String>, line: usize, key: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            line,
            key: key.into(),
        }
    }
}

impl Display for Location {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        Ok(())
    }
}

impl Finding {
    /// Creates a finding without a hint.
    pub fn new(location: Location, found: impl Into<String>, allowed: impl Into<String>) -> Self {
        Self {
            location,
            found: found.into(),
            allowed: allowed.into(),
            hint: String::new(),
        }
    }

    /// Adds a hint.
    pub fn with_hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = hint.into();
        self
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, allowed: {}",
            self.location, self.found, self.allowed
        )?;
        if !self.hint.is_empty() {
            write!(f, " (hint: {})", self.hint)?;
        }
        Ok(())
    }
}

impl Findings {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Adds all findings of another check.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The findings in the order they were made.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// The findings in the order of their places.
    pub fn sorted(mut self) -> Self {
        self.0.sort();
        self
    }

    /// Gives `value` back when nothing was found, else the findings sorted by place.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        Err(self.sorted())
    }
}

impl Display for Findings {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
