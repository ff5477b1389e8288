//! Compares ways of giving out slots and prints their bounds.

use std::thread;

use bambooseam_config::WorkClass;
use bambooseam_proxy::slots::QueueDiscipline;

use super::schedule::{Times, Way, Work, draw, run};
use super::{Bound, print_bound};

/// Load that is offered, as a part of capacity.
pub const LOAD: f64 = 0.8;

/// Requests of one run.
const COUNT: usize = 60_000;

/// Targets of the larger and the smaller service.
const SIZES: [usize; 2] = [15, 4];

/// Ways in the order in which they are printed.
const WAYS: [(&str, Way); 11] = [
    ("central_fifo", Way::Central(QueueDiscipline::Fifo)),
    (
        "central_short_first",
        Way::Central(QueueDiscipline::ShortFirst),
    ),
    (
        "central_adaptive",
        Way::Central(QueueDiscipline::AdaptiveReserve),
    ),
    ("late_fifo", Way::LateBinding(QueueDiscipline::Fifo)),
    (
        "late_short_first",
        Way::LateBinding(QueueDiscipline::ShortFirst),
    ),
    (
        "late_fixed_2",
        Way::LateBinding(QueueDiscipline::FixedReserve(2)),
    ),
    (
        "late_adaptive",
        Way::LateBinding(QueueDiscipline::AdaptiveReserve),
    ),
    (
        "target_owners_adaptive",
        Way::TargetOwners(QueueDiscipline::AdaptiveReserve),
    ),
    (
        "early_adaptive",
        Way::Early(QueueDiscipline::AdaptiveReserve),
    ),
    ("least_outstanding", Way::LeastOutstanding),
    ("two_choices", Way::TwoChoices),
];

/// Response times of all ways at one size.
#[derive(Debug)]
pub struct Comparison {
    /// Targets.
    pub targets: usize,
    /// The central queue without long work.
    pub base: Times,
    ways: Vec<(&'static str, Times)>,
}

impl Comparison {
    /// Runs all ways at one size.
    pub fn run(seed: u64, targets: usize, count: usize) -> Self {
        let works = draw(seed, targets, LOAD, count);
        let is_short = |work: &&Work| work.class == WorkClass::Short;
        let short: Vec<Work> = works.iter().filter(is_short).copied().collect();
        thread::scope(|scope| {
            let base = scope.spawn(|| run(Way::Central(QueueDiscipline::Fifo), targets, &short));
            let works = &works;
            let running =
                WAYS.map(|(name, way)| (name, scope.spawn(move || run(way, targets, works))));
            let ended = running
                .into_iter()
                .map(|(name, thread)| (name, thread.join().expect("the run does not panic")));
            let ways = ended.collect();
            Self {
                targets,
                base: base.join().expect("the run does not panic"),
                ways,
            }
        })
    }

    /// Times of a way.
    ///
    /// # Panics
    ///
    /// When there is no such way.
    pub fn of(&self, name: &str) -> &Times {
        let found = self.ways.iter().find(|(held, _)| *held == name);
        &found.expect("a way that was run").1
    }

    /// Short p99 of the picked way against that without long work.
    pub fn short_ratio(&self) -> f64 {
        self.of("late_adaptive").short_p99 / self.base.short_p99
    }

    /// Short p99 of the picked way against the ideal central queue with the same rule.
    pub fn over_ideal(&self) -> f64 {
        self.of("late_adaptive").short_p99 / self.of("central_adaptive").short_p99
    }

    /// Long p99 of the picked way against FIFO.
    pub fn long_ratio(&self) -> f64 {
        self.of("late_adaptive").long_p99 / self.of("central_fifo").long_p99
    }
}

/// Prints all ways and bounds; returns whether all bounds are met.
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
        for (name, times) in &found.ways {
            println!(
                "way={name} targets={targets} short_p50={:.2} short_p99={:.2} long_p99={:.0} \
                 short_most={:.0} long_most={:.0} messages={:.2}",
                times.short_p50,
                times.short_p99,
                times.long_p99,
                times.short_most,
                times.long_most,
                times.messages,
            );
        }
        let limit = if targets == 15 { 1.5 } else { 2.0 };
        let name = format!("short_p99_ratio_{targets}");
        is_met &= print_bound(&name, found.short_ratio(), Bound::Most(limit));
        over_ideal = over_ideal.max(found.over_ideal());
        long_ratio = long_ratio.max(found.long_ratio());
        messages = messages.max(found.of("late_adaptive").messages);
    }
    is_met &= print_bound("short_over_ideal", over_ideal, Bound::Most(1.25));
    is_met &= print_bound("long_p99_ratio_fifo", long_ratio, Bound::Most(1.3));
    println!("peer_messages_per_request={messages:.2}");
    is_met
}
