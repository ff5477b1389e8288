//! Checks over a whole run, computed from the logs of targets and callers.

use std::collections::BTreeMap;

use bambooseam_standin::caller::{Call, Outcome};
use derive_more::Display;

/// Numbers of violations over the whole run, which must all be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[display(
    "doubled={doubled} false_not_run={false_not_run} wrong_service_packets={wrong_service} \
     bad_packets={bad}"
)]
pub struct Violations {
    /// Orders that ran more than once.
    pub doubled: usize,
    /// Requests that ran although callers were informed that they had not run.
    pub false_not_run: usize,
    /// Packets that a target dropped because they belong to another service.
    pub wrong_service: u64,
    /// Packets that a target could not parse.
    pub bad: u64,
}

impl Violations {
    /// Whether no violation was found.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }

    /// Compares the outcomes that callers received with the requests that targets ran.
    pub fn find(calls: &[Call], runs: &[String], stats: &[String]) -> Self {
        let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
        let mut orders: BTreeMap<&str, usize> = BTreeMap::new();
        for run in runs {
            let count = ran.entry(value_of(run, "request")).or_default();
            *count += 1;
            let key = value_of(run, "key");
            if !key.is_empty() {
                *orders.entry(key).or_default() += 1;
            }
        }
        let ran_anyway = |call: &&Call| {
            let is_refused = matches!(call.outcome, Outcome::NotRun | Outcome::Unsent);
            is_refused && ran.contains_key(call.id.as_str())
        };
        Self {
            doubled: orders.values().filter(|count| **count > 1).count(),
            false_not_run: calls.iter().filter(ran_anyway).count(),
            wrong_service: sum_of(stats, "foreign"),
            bad: sum_of(stats, "bad"),
        }
    }
}

/// Sums the value of `key` over the lines of all targets.
pub fn sum_of(stats: &[String], key: &str) -> u64 {
    let numbers = stats.iter().map(|line| value_of(line, key));
    numbers.filter_map(|text| text.parse::<u64>().ok()).sum()
}

/// Returns the value of `key` in a line of key=value pairs; empty when absent.
pub fn value_of<'a>(line: &'a str, key: &str) -> &'a str {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(name, _)| *name == key);
    found.map(|(_, value)| value).unwrap_or_default()
}
