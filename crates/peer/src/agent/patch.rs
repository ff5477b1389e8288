//! Differences between two versions of a document.
//!
//! A text is cut before each section head, so that a section that stands in both versions is copied
//! and one that changed is sent. The result is the same to the byte, and its digest is checked.

use std::collections::HashMap;

use derive_more::{Display, Error};

/// Bytes that a step costs beside its text.
const STEP_BYTES: usize = 24;

/// Longest text that a patch makes, in bytes.
const TEXT_LIMIT: usize = 1 << 20;

/// Steps that make a text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Patch {
    /// Mark of the base; 0 when there is none.
    pub base: u64,
    /// What to do, in order.
    pub steps: Vec<Step>,
}

/// A copy from the base, and the text after it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// Where the copy starts in the base.
    pub start: u32,
    /// Bytes to copy.
    pub count: u32,
    /// Text to add after the copy.
    pub text: String,
}

/// Why a patch does not fit its base.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum PatchError {
    /// A copy reaches beyond the base or splits a character.
    #[display("a copy beyond the base")]
    Range,
    /// The text would be longer than a document may be.
    #[display("a text above 1 MiB")]
    Size,
}

impl Patch {
    /// A patch that brings the whole text.
    pub fn full(text: &str) -> Self {
        let step = Step {
            text: text.to_owned(),
            ..Step::default()
        };
        Self {
            base: 0,
            steps: vec![step],
        }
    }

    /// A patch that takes the text with mark `mark` as it is.
    pub fn copy(prefix: u64, text: &str) -> Self {
        let mut steps = Vec::new();
        copy(&mut steps, 0, text.len());
        Self {
            base: prefix,
            steps,
        }
    }

    /// The difference from `base`, whose mark is `mark`, to `text`.
    pub fn between(prefix: u64, base: &str, text: &str) -> Self {
        let mut positions: HashMap<&str, usize> = HashMap::new();
        for (start, section) in sections(base) {
            positions.entry(section).or_insert(start);
        }
        let mut steps: Vec<Step> = Vec::new();
        for (_, section) in sections(text) {
            match positions.get(section) {
                Some(start) => copy(&mut steps, *start, section.len()),
                None => add(&mut steps, section),
            }
        }
        Self {
            base: prefix,
            steps,
        }
    }

    /// Makes the text from its base.
    ///
    /// # Errors
    ///
    /// An error when a step does not fit the base or the text grows too long.
    pub fn apply(&self, base: &str) -> Result<String, PatchError> {
        let mut output = String::new();
        for step in &self.steps {
            let (start, count) = (step.start as usize, step.count as usize);
            let part = base.get(start..start + count).ok_or(PatchError::Range)?;
            if output.len() + part.len() + step.text.len() > TEXT_LIMIT {
                return Err(PatchError::Size);
            }
            output.push_str(part);
            output.push_str(&step.text);
        }
        Ok(output)
    }

    /// Bytes that the patch takes in a message, nearly.
    pub fn size(&self) -> usize {
        let texts: usize = self.steps.iter().map(|step| step.text.len()).sum();
        texts + self.steps.len() * STEP_BYTES
    }
}

/// Adds a copy, joined with the one before when both meet in the base.
fn copy(steps: &mut Vec<Step>, start: usize, count: usize) {
    // Documents are at most 1 MiB, so places in them fit.
    let (start, count) = (start as u32, count as u32);
    if let Some(last) = steps.last_mut()
        && last.text.is_empty()
        && last.start + last.count == start
    {
        last.count += count;
        return;
    }
    steps.push(Step {
        start,
        count,
        text: String::new(),
    });
}

/// Adds text after the last step.
fn add(steps: &mut Vec<Step>, text: &str) {
    match steps.last_mut() {
        Some(last) => last.text.push_str(text),
        None => steps.push(Step {
            text: text.to_owned(),
            ..Step::default()
        }),
    }
}

/// Parts of a text, each with its place; a new one starts with each section head.
fn sections(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        // The head that starts this part does not end it.
        let first = rest.chars().next().map_or(0, char::len_utf8);
        let length = rest[first..]
            .find("\n[")
            .map_or(rest.len(), |at| first + at + 1);
        let part = (start, &rest[..length]);
        start += length;
        Some(part)
    })
}
