//! Differences between a document and its version in force, with their effect on open flows.

mod configuration;
mod preset;

use std::fmt::{self, Display, Formatter};

use bambooseam_types::Findings;
use serde_json::{Value, json};

pub(super) use configuration::compare_configurations;
pub(super) use preset::compare_presets;

/// A difference from the version in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// What differs, such as `route r-1`.
    pub subject: String,
    /// What has happened to it.
    pub change: Change,
    /// What becomes of the flows that are open there.
    pub open_flows: &'static str,
}

/// Kind of a difference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Not in the version in force.
    Added,
    /// In the version in force only.
    Removed,
    /// One value differs.
    Changed {
        /// Name of the value.
        field: &'static str,
        /// Value in the version in force.
        before: String,
        /// New value.
        after: String,
    },
}

/// Differences of a comparison, and findings about the step from one version to the next.
pub(super) type Comparison = Result<(Vec<Difference>, Findings), Findings>;

/// Effect of a change that open flows do not notice.
const UNAFFECTED: &str = "not affected";

/// Name of a value, the value before and after, and the effect of a change on open flows.
type FieldValues = (&'static str, String, String, &'static str);

/// Adds a difference for each value that has changed.
fn compare_values(
    subject: &str,
    values: impl IntoIterator<Item = FieldValues>,
    differences: &mut Vec<Difference>,
) {
    for (field, before, after, open_flows) in values {
        if before == after {
            continue;
        }
        let change = Change::Changed {
            field,
            before,
            after,
        };
        differences.push(Difference::new(subject.into(), change, open_flows));
    }
}

impl Difference {
    fn new(subject: String, change: Change, open_flows: &'static str) -> Self {
        Self {
            subject,
            change,
            open_flows,
        }
    }

    /// Returns the difference as a JSON object.
    pub fn to_json(&self) -> Value {
        let (change, field, before, after) = match &self.change {
            Change::Added => ("added", None, None, None),
            Change::Removed => ("removed", None, None, None),
            Change::Changed {
                field,
                before,
                after,
            } => ("changed", Some(field), Some(before), Some(after)),
        };
        json!({
            "subject": self.subject,
            "change": change,
            "field": field,
            "before": before,
            "after": after,
            "open_flows": self.open_flows,
        })
    }
}

impl Display for Difference {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.subject)?;
        match &self.change {
            Change::Added => write!(f, "added")?,
            Change::Removed => write!(f, "removed")?,
            Change::Changed {
                field,
                before,
                after,
            } => write!(f, "{field}: {before} -> {after}")?,
        }
        write!(f, "; open flows: {}", self.open_flows)
    }
}
