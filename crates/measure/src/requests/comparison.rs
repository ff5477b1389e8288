//! Compares strategies for granting slots and checks their bounds.

use std::thread;

use bambooseam_config::WorkClass;
use bambooseam_proxy::slots::QueueDiscipline;

use super::schedule::{Strategy, Times, Work, draw, run};
use super::{Bound, print_bound};

/// Offered load as a fraction of capacity.
pub const LOAD: f64 = 0.8;

/// Number of requests in one run.
const COUNT: usize = 60_000;

/// Number of targets of the larger and of the smaller service.
const SIZES: [usize; 2] = [15, 4];

/// Strategies in print order.
const STRATEGIES: [(&str, Strategy); 11] = [
    ("central_fifo", Strategy::Central(QueueDiscipline::Fifo)),
    (
        "central_short_first",
        Strategy::Central(QueueDiscipline::ShortFirst),
    ),
    (
        "central_adaptive",
        Strategy::Central(QueueDiscipline::AdaptiveReserve),
    ),
    ("late_fifo", Strategy::LateBinding(QueueDiscipline::Fifo)),
    (
        "late_short_first",
        Strategy::LateBinding(QueueDiscipline::ShortFirst),
    ),
    (
        "late_fixed_2",
        Strategy::LateBinding(QueueDiscipline::FixedReserve(2)),
    ),
    (
        "late_adaptive",
        Strategy::LateBinding(QueueDiscipline::AdaptiveReserve),
    ),
    (
        "target_owners_adaptive",
        Strategy::TargetOwners(QueueDiscipline::AdaptiveReserve),
    ),
    (
        "early_adaptive",
        Strategy::Early(QueueDiscipline::AdaptiveReserve),
    ),
    ("least_outstanding", Strategy::LeastOutstanding),
    ("two_choices", Strategy::TwoChoices),
];

/// Response times of all strategies for one number of targets.
#[derive(Debug)]
pub struct Comparison {
    /// Number of targets.
    pub targets: usize,
    /// Response times of the central FIFO queue without long work.
    pub base: Times,
    strategies: Vec<(&'static str, Times)>,
}

impl Comparison {
    /// Runs all strategies on the same work.
    pub fn run(seed: u64, targets: usize, count: usize) -> Self {
        let works = draw(seed, targets, LOAD, count);
        let is_short = |work: &&Work| work.class == WorkClass::Short;
        let short: Vec<Work> = works.iter().filter(is_short).copied().collect();
        thread::scope(|scope| {
            let base =
                scope.spawn(|| run(Strategy::Central(QueueDiscipline::Fifo), targets, &short));
            let works = &works;
            let running = STRATEGIES
                .map(|(name, strategy)| (name, scope.spawn(move || run(strategy, targets, works))));
            let ended = running
                .into_iter()
                .map(|(name, thread)| (name, thread.join().expect("the run does not panic")));
            let strategies = ended.collect();
            Self {
                targets,
                base: base.join().expect("the run does not panic"),
                strategies,
            }
        })
    }

    /// Returns the response times of a strategy.
    ///
    /// # Panics
    ///
    /// Panics when there is no such strategy.
    pub fn of(&self, name: &str) -> &Times {
        let found = self.strategies.iter().find(|(listed, _)| *listed == name);
        &found.expect("a strategy that was run").1
    }

    /// Returns the short p99 of the selected strategy divided by the short p99 without long work.
    pub fn short_ratio(&self) -> f64 {
        self.of("late_adaptive").short_p99 / self.base.short_p99
    }

    /// Returns the short p99 of the selected strategy divided by that of the ideal central queue
    /// with the same queue discipline.
    pub fn over_ideal(&self) -> f64 {
        self.of("late_adaptive").short_p99 / self.of("central_adaptive").short_p99
    }

    /// Returns the long p99 of the selected strategy divided by that of the central FIFO queue.
    pub fn long_ratio(&self) -> f64 {
        self.of("late_adaptive").long_p99 / self.of("central_fifo").long_p99
    }
}

/// Prints all strategies and bounds; returns whether all bounds are met.
pub fn print(seed: u64) -> bool {
    let mut is_met = true;
    let mut over_ideal: f64 = 0.0;
    let mut long_ratio: f64 = 0.0;
    let mut messages: f64 = 0.0;
    for targets in SIZES {
        let found = Comparison::run(seed, targets, COUNT);
        println!(
            "way=without_long targets={targets} short_p99={:.2}",
            found.base.short_p99
        );
        for (name, times) in &found.strategies {
            println!(
                "way={name} targets={targets} short_p50={:.2} short_p99={:.2} long_p99={:.0} \
                 short_most={:.0} long_most={:.0} messages={:.2}",
                times.short_p50,
                times.short_p99,
                times.long_p99,
                times.short_max,
                times.long_max,
                times.messages,
            );
        }
        let limit = if targets == 15 { 1.5 } else { 2.0 };
        let name = format!("short_p99_ratio_{targets}");
        is_met &= print_bound(&name, found.short_ratio(), Bound::AtMost(limit));
        over_ideal = over_ideal.max(found.over_ideal());
        long_ratio = long_ratio.max(found.long_ratio());
        messages = messages.max(found.of("late_adaptive").messages);
    }
    is_met &= print_bound("short_over_ideal", over_ideal, Bound::AtMost(1.25));
    is_met &= print_bound("long_p99_ratio_fifo", long_ratio, Bound::AtMost(1.3));
    println!("peer_messages_per_request={messages:.2}");
    is_met
}
