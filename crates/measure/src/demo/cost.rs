//! Effect of a step on its callers.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_config::TargetState;
use bambooseam_standin::Deployment;
use bambooseam_standin::caller::{Call, Outcome};
use bambooseam_standin::feed::FeedReport;
use hdrhistogram::Histogram;
use tokio::time::Instant;

/// All outcomes in print order.
const OUTCOMES: [Outcome; 7] = [
    Outcome::Complete,
    Outcome::NotRun,
    Outcome::Unknown,
    Outcome::Truncated,
    Outcome::Mismatched,
    Outcome::Error,
    Outcome::Unsent,
];

/// Largest response time that the histogram records, in microseconds; longer times count as this.
const MAX_TIME_US: u64 = 60_000_000;

/// Effect of one step on flows and requests.
#[derive(Debug, Clone)]
pub struct Cost {
    /// Name of the step.
    pub step: &'static str,
    /// Number of feeds that broke.
    pub broken: usize,
    /// Longest time that a feed took to open.
    pub open_time: Duration,
    /// Requests that ended.
    pub calls: Vec<Call>,
    /// Largest number of feeds on a target divided by the mean; 0 without feeds.
    pub imbalance: f64,
    /// Additional values of the step, printed as key=value pairs.
    pub figures: Vec<(&'static str, String)>,
}

impl Cost {
    /// Returns the number of requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        let calls = self.calls.iter();
        calls.filter(|call| call.outcome == outcome).count()
    }

    /// Returns the 99th percentile of the response times of short requests with a complete answer.
    pub fn short_p99(&self) -> Duration {
        let Ok(mut times) = Histogram::<u64>::new_with_max(MAX_TIME_US, 3) else {
            return Duration::ZERO;
        };
        for call in &self.calls {
            if call.is_long || call.outcome != Outcome::Complete {
                continue;
            }
            times.saturating_record(u64::try_from(call.time.as_micros()).unwrap_or(u64::MAX));
        }
        Duration::from_micros(times.value_at_quantile(0.99))
    }
}

impl Display for Cost {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "step={} broken_flows={}", self.step, self.broken)?;
        for outcome in OUTCOMES {
            write!(f, " {outcome}={}", self.count(outcome))?;
        }
        let open = self.open_time.as_secs_f64();
        let p99 = self.short_p99().as_secs_f64() * 1e3;
        write!(f, " imbalance={:.3}", self.imbalance)?;
        write!(f, " short_p99_ms={p99:.1} open_max_s={open:.3}")?;
        for (name, value) in &self.figures {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// Returns the longest opening time among feeds that opened since `start` or are not open yet.
pub fn longest_open(reports: &[FeedReport], start: Instant) -> Duration {
    let mut longest = Duration::ZERO;
    for report in reports {
        if report.opened.is_some_and(|opened| opened < start) {
            continue;
        }
        longest = longest.max(report.open_time());
    }
    longest
}

/// Returns the largest number of feeds on a live target of the service divided by the mean over all
/// of these targets; 0 without feeds.
pub fn imbalance(reports: &[FeedReport], deployment: &Deployment, service: &str) -> f64 {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for target in &deployment.targets.targets {
        if target.state == TargetState::Live && target.service.as_str() == service {
            counts.insert(target.id.as_str(), 0);
        }
    }
    for report in reports {
        let target = report.target.as_deref().unwrap_or_default();
        if let Some(count) = counts.get_mut(target) {
            *count += 1;
        }
    }
    let total: usize = counts.values().sum();
    let Some(max_count) = counts.values().max().filter(|_| total > 0) else {
        return 0.0;
    };
    *max_count as f64 * counts.len() as f64 / total as f64
}
