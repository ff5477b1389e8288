//! Patches between two versions of a document.
//!
//! A text is split before each section header. A section present in both versions is copied from
//! the base, and a changed section is sent. The patched text equals the new version byte for byte,
//! and the receiver checks the digest of that text.

use std::collections::HashMap;

use derive_more::{Display, Error};

/// Estimated bytes of a step in addition to its text.
const STEP_BYTES: usize = 24;

/// Longest text that a patch may produce, in bytes.
const TEXT_LIMIT: usize = 1 << 20;

/// Steps that build a text from a base.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Patch {
    /// Digest prefix of the base; 0 when there is none.
    pub base: u64,
    /// Steps, in order.
    pub steps: Vec<Step>,
}

/// Copies a range of the base, then appends a text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// Offset in the base at which the copy starts.
    pub start: u32,
    /// Bytes to copy.
    pub count: u32,
    /// Text to append after the copy.
    pub text: String,
}

/// Why a patch can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum PatchError {
    /// A copy exceeds the base or splits a character.
    #[display("a copy exceeds the base or splits a character")]
    Range,
    /// The result would be longer than a document may be.
    #[display("the patched text exceeds 1 MiB")]
    Size,
}

impl Patch {
    /// A patch that contains the full text.
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

    /// A patch that copies the whole base, whose digest prefix is `prefix`.
    pub fn copy(prefix: u64, text: &str) -> Self {
        let mut steps = Vec::new();
        copy(&mut steps, 0, text.len());
        Self {
            base: prefix,
            steps,
        }
    }

    /// The patch that turns `base`, whose digest prefix is `prefix`, into `text`.
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

    /// Applies the patch to its base.
    ///
    /// # Errors
    ///
    /// Returns an error when a step does not fit the base or the result would be too long.
    pub fn apply(&self, base: &str) -> Result<String, PatchError> {
        let mut output = String::new();
        for step in &self.steps {
            let (start, count) = (step.start as usize, step.count as usize);
            let copied = base.get(start..start + count).ok_or(PatchError::Range)?;
            if output.len() + copied.len() + step.text.len() > TEXT_LIMIT {
                return Err(PatchError::Size);
            }
            output.push_str(copied);
            output.push_str(&step.text);
        }
        Ok(output)
    }

    /// Approximate size of the patch in a message, in bytes.
    pub fn size(&self) -> usize {
        let texts: usize = self.steps.iter().map(|step| step.text.len()).sum();
        texts + self.steps.len() * STEP_BYTES
    }
}

/// Adds a copy, merged with the previous one when the two are adjacent in the base.
fn copy(steps: &mut Vec<Step>, start: usize, count: usize) {
    // Documents are at most 1 MiB, so offsets fit into 32 bits.
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

/// Appends text to the last step.
fn add(steps: &mut Vec<Step>, text: &str) {
    match steps.last_mut() {
        Some(last) => last.text.push_str(text),
        None => steps.push(Step {
            text: text.to_owned(),
            ..Step::default()
        }),
    }
}

/// Splits a text into sections with their offsets; a new section starts at each section header.
fn sections(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        // The header that starts this section does not end it.
        let first = rest.chars().next().map_or(0, char::len_utf8);
        let length = rest[first..]
            .find("\n[")
            .map_or(rest.len(), |at| first + at + 1);
        let section = (start, &rest[..length]);
        start += length;
        Some(section)
    })
}
