//! Findings of a validation, collected with their location and reported together.

use std::fmt::{self, Display, Formatter};

/// Location of a finding in a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// File name or published key.
    pub file: String,
    /// Line, counted from 1; 0 for the whole document.
    pub line: usize,
    /// Section and key, as in `service charts.vni`.
    pub key: String,
}

/// One invalid value or other fault in a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Location of the fault.
    pub location: Location,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
    /// How to correct the fault; may be empty.
    pub hint: String,
}

/// All findings of one validation; an error if there are any.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Location {
    /// Creates a location.
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
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Adds all findings of another validation.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Findings in the order in which they were added.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Findings sorted by location.
    pub fn sorted(mut self) -> Self {
        self.0.sort();
        self
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// All findings, sorted by location.
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
