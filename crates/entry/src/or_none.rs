//! Optional values in log lines.

use std::fmt::{self, Display, Formatter};

/// Displays an optional value, as `none` when absent.
pub(crate) struct OrNone<T>(pub Option<T>);

impl<T: Display> Display for OrNone<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("none"),
        }
    }
}
