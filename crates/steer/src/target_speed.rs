//! Response times and concurrency limit of each target, learned from its own responses.
//!
//! Addresses services whose targets differ in speed, and targets that slow down long before all of
//! their slots are in use. Weights that operators set do not follow such changes. Each target is
//! therefore compared with its service: a response counts as the ratio of its time and the usual
//! time of the same route at the same load ([`UsualTimes`]). The mean of these ratios is the
//! *factor* of the target: 2 for a target that takes twice as long as usual.
//!
//! A VM that sees few requests of a target knows little about it. The factor of 1 therefore counts
//! as several responses, and factors close to 1 are treated as 1, so that noise does not shift the
//! load. Sudden changes are found by a cumulative sum test (CUSUM) on the logarithms of the ratios:
//! it discards the history of a target that has become slower or faster. A request that is in
//! progress for several times its expected time counts before its response ([`pending`]).
//!
//! If most targets of a service are slow at once, for example at the crest of a load swing, the
//! reason is not theirs. Factors are then compared with their median, so that targets of other
//! zones, whose times are not known, do not look faster.
//!
//! All thresholds are ratios to the service's own times, so they hold for any service.

mod evidence;
pub mod pending;
pub mod usual;

use std::time::Duration;

use bambooseam_types::Moment;

use self::evidence::{Cusum, Evidence};
use self::pending::{Pending, PendingRequest};
use self::usual::{LEVELS, Level, UsualTimes};

/// Range of factors that is treated as 1. With response times that vary by half of their mean and
/// the usual time as prior, the factor of an average target stays within about a fifth of 1.
const NEUTRAL_MIN: f32 = 0.7;
const NEUTRAL_MAX: f32 = 1.4;

/// Number of responses that the service's usual time counts as: while nothing is known, and after a
/// change of the target was detected.
const PRIOR_WEIGHT: f32 = 8.0;
const CHANGED_PRIOR_WEIGHT: f32 = 1.0;

/// Largest ratio that counts in full, relative to the factor so far: some requests take several
/// times as long as others at any target.
const MAX_STEP: f32 = 4.0;

/// Largest ratio of a response time to its usual value.
const MAX_FACTOR: f32 = 64.0;

/// CUSUM test: reference value, bound of one response, and threshold. A target five times as slow is
/// detected with three responses; a single response, however long, is no change.
const CUSUM_REFERENCE: f32 = 0.5;
const CUSUM_MAX_STEP: f32 = 1.4;
const CUSUM_THRESHOLD: f32 = 2.0;

/// Threshold for a slow target that becomes faster: one response that takes at most 0.3 times as
/// long as expected is enough, because a slow target gets few requests.
const RECOVERY_THRESHOLD: f32 = 0.7;

/// Time after which a slow target takes a request like any other target. Less than the 2 s within
/// which it is to get one, because it competes with the other targets then.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(1_250);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Requests that a target usually takes from this VM in one probe interval: many VMs that each
/// probe a slow target would otherwise give it its full share.
const PROBE_REQUESTS: f32 = 8.0;

/// Half-life of a response's weight, in probe intervals.
const HALF_LIFE_INTERVALS: f32 = 2.0;

/// Factor from which a target may be limited to less than its capacity. A target below uses all of
/// its slots; a slower one delays each request by more than the wait at a full target.
const LIMITED_FACTOR: f32 = 4.0;

/// Weight of the responses at half load and at full load that a limit needs.
const MIN_LIMIT_WEIGHT: f32 = 4.0;

/// Least gain in throughput for which all slots are used in place of half of them.
const MIN_GAIN: f32 = 1.1;

/// Ratio that a refusal counts as: the caller has to send its request again.
const REFUSAL_RATIO: f32 = 3.0;

/// Speed of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSpeed {
    /// Ratios of response times to usual times.
    ratios: Evidence,
    prior_weight: f32,
    /// Ratios by load, relative to the factor.
    levels: [Evidence; LEVELS],
    slower: Cusum,
    faster: Cusum,
    pending: Pending,
    /// Time up to which the weights have decayed.
    decayed: Moment,
    /// When the latest request or opening was sent.
    last_sent: Option<Moment>,
    /// Requests since the last refresh.
    sent: u32,
    /// Smoothed requests per second.
    rate: f32,
    probe_interval: Duration,
    /// Factor that counts as average: more than 1 while most targets of the service are slow.
    average: f32,
    capacity: u32,
    /// Usual times of the service, by load, in microseconds.
    usual: [f32; LEVELS],
    /// Factors by load in percent, outside of the neutral range.
    percents: [u32; LEVELS],
    limit: u32,
}

/// What the end of a request shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded.
    Answered,
    /// The response was much faster and shorter than usual, as a refusal is.
    Refused,
    /// The response time does not count, for example after several retransmissions.
    Unusable,
    /// The request ended without a response.
    Abandoned,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self::new(1)
    }
}

impl TargetSpeed {
    /// Creates the speed of a target without any responses.
    pub fn new(capacity: u32) -> Self {
        let capacity = capacity.max(1);
        Self {
            ratios: Evidence::default(),
            prior_weight: PRIOR_WEIGHT,
            levels: [Evidence::default(); LEVELS],
            slower: Cusum::default(),
            faster: Cusum::default(),
            pending: Pending::default(),
            decayed: Moment::default(),
            last_sent: None,
            sent: 0,
            rate: 0.0,
            probe_interval: MIN_PROBE_INTERVAL,
            average: 1.0,
            capacity,
            usual: [0.0; LEVELS],
            percents: [100; LEVELS],
            limit: capacity.saturating_add(1),
        }
    }

    /// Records that a flow was placed at the target.
    pub fn record_opening(&mut self, now: Moment) {
        self.last_sent = Some(now);
    }

    /// Records that a request began at a target with `in_progress` others.
    pub fn begin(&mut self, in_progress: u32, usual: Option<&UsualTimes>, now: Moment) {
        self.last_sent = Some(now);
        self.sent = self.sent.saturating_add(1);
        let level = Level::of(in_progress, self.capacity);
        if let Some(expected) = usual.and_then(|usual| usual.expected(level)) {
            self.pending
                .begin(PendingRequest::new(now, expected, level));
        }
    }

    /// Records the end of a request that began at `started`.
    pub fn end(&mut self, started: Moment, outcome: Outcome, now: Moment) {
        let Some(request) = self.pending.end(started) else {
            return;
        };
        let ratio = request.ratio(now);
        match outcome {
            Outcome::Answered if request.is_outlier(now) => {}
            Outcome::Answered => {
                self.record(ratio, request.level, now);
                if ratio < MAX_STEP {
                    self.pending.record_overtaken(started);
                }
            }
            Outcome::Refused => self.record(REFUSAL_RATIO, request.level, now),
            Outcome::Abandoned if request.is_overdue(now) => {
                self.record(ratio, request.level, now);
            }
            Outcome::Abandoned | Outcome::Unusable => {}
        }
    }

    /// Load when the request began that is in progress since `started`; `None` if it is not tracked.
    pub fn level_of(&self, started: Moment) -> Option<Level> {
        self.pending.find(started).map(|request| request.level)
    }

    /// Whether the target was sent a request or an opening within `time`.
    pub fn is_in_use(&self, now: Moment, time: Duration) -> bool {
        self.last_sent.is_some_and(|sent| now.since(sent) <= time)
    }

    /// Forgets the requests in progress: this process was paused, so that their times do not count.
    pub fn forget_pending(&mut self) {
        self.pending = Pending::default();
    }

    /// Records the ratio of a response time to the usual time at the same load.
    pub fn record(&mut self, ratio: f32, level: Level, now: Moment) {
        self.decay(now);
        let factor = self.factor();
        let ratio = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let counted = ratio.min(MAX_STEP * factor.max(1.0));
        let step = (ratio / factor).ln();
        self.slower
            .add(step.min(CUSUM_MAX_STEP) - CUSUM_REFERENCE, counted);
        let is_slow = factor > NEUTRAL_MAX;
        let (max_step, threshold) = match is_slow {
            true => (f32::MAX, RECOVERY_THRESHOLD),
            false => (CUSUM_MAX_STEP, CUSUM_THRESHOLD),
        };
        self.faster
            .add((-step).min(max_step) - CUSUM_REFERENCE, counted);
        if self.slower.score > CUSUM_THRESHOLD {
            self.restart(self.slower.run, CHANGED_PRIOR_WEIGHT);
        } else if self.faster.score > threshold {
            let is_slow = self.faster.run.mean(1.0) > NEUTRAL_MAX;
            let prior_weight = match is_slow {
                true => CHANGED_PRIOR_WEIGHT,
                false => PRIOR_WEIGHT,
            };
            self.restart(self.faster.run, prior_weight);
        } else {
            self.ratios.add(counted);
            self.levels[level.index()].add(counted / factor);
        }
        if self.factor() <= NEUTRAL_MAX {
            self.prior_weight = PRIOR_WEIGHT;
        }
        self.update_percents();
    }

    /// Expected response time of the next request while `in_progress` requests are in progress;
    /// `None` until the usual time of the service is known.
    pub fn expected(&self, in_progress: u32) -> Option<Duration> {
        let level = Level::of(in_progress, self.capacity);
        let usual = self.usual[level.index()] * level.queue();
        (usual > 0.0).then(|| Duration::from_secs_f32(usual * self.factor_at(level) / 1e6))
    }

    /// Number of requests in progress above which response times rise without a gain in throughput.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the limit is below the published capacity.
    pub fn is_limited(&self) -> bool {
        self.limit < self.capacity
    }

    /// Factor of the target: its response times relative to the usual times of the service.
    pub fn factor(&self) -> f32 {
        (self.prior_weight + self.ratios.sum) / (self.prior_weight + self.ratios.weight)
    }

    /// Factor that responses and overdue requests show now; `None` without any.
    pub fn observed_factor(&self, now: Moment) -> Option<f32> {
        let overdue = self.pending.overdue(now);
        let known = (self.ratios.weight >= 1.0).then(|| self.factor());
        known.into_iter().chain(overdue).reduce(f32::max)
    }

    /// Weight of the responses that the factor is based on.
    pub fn weight(&self) -> f32 {
        self.ratios.weight
    }

    /// Expected response time of the next request for placement, in percent of that of a usual
    /// target with the same load; 100 while the target may be a usual one.
    pub fn percent(&self, in_progress: u32, now: Moment) -> u32 {
        let level = Level::of(in_progress, self.capacity);
        let learned = self.percents[level.index()];
        let overdue = self.pending.overdue(now);
        let percent = overdue.map_or(learned, |ratio| {
            learned.max(percent_of(ratio.min(MAX_FACTOR) / self.average))
        });
        let is_probe_due = percent > 100
            && in_progress < self.capacity
            && self
                .last_sent
                .is_none_or(|sent| now.since(sent) >= self.probe_interval);
        match is_probe_due {
            true => 100,
            false => percent,
        }
    }

    /// Updates decayed weights, the probe interval and the limit. `rate` is the mean rate of requests
    /// that this VM sends to one of the service's targets, `average` the factor that counts as
    /// average.
    pub fn refresh(
        &mut self,
        capacity: u32,
        usual: Option<&UsualTimes>,
        (rate, average): (f32, f32),
        now: Moment,
    ) {
        self.average = average.max(1.0);
        self.capacity = capacity.max(1);
        if let Some(usual) = usual {
            self.usual = usual.by_level();
        }
        self.probe_interval = if rate > 0.0 {
            let seconds = (PROBE_REQUESTS / rate).min(MAX_PROBE_INTERVAL.as_secs_f32());
            Duration::from_secs_f32(seconds).max(MIN_PROBE_INTERVAL)
        } else {
            MAX_PROBE_INTERVAL
        };
        self.decay(now);
        self.update_percents();
        self.limit = self.learned_limit();
    }

    /// Takes the number of requests since the last call as a smoothed rate.
    pub fn take_rate(&mut self, elapsed: Duration) -> f32 {
        let rate = self.sent as f32 / elapsed.as_secs_f32().max(0.001);
        self.sent = 0;
        // A mean over about four refreshes, so that the rate of rare requests does not alternate.
        self.rate += (rate - self.rate) / 4.0;
        self.rate
    }

    /// Sets the limit to the published capacity plus one: the next request is at hand when one ends.
    pub fn clear_limit(&mut self) {
        self.limit = self.capacity.saturating_add(1);
    }

    fn learned_limit(&self) -> u32 {
        let full = self.capacity.saturating_add(1);
        let mut limit = full;
        let half = self.capacity / 2;
        let is_known = self.levels[Level::Half.index()].weight >= MIN_LIMIT_WEIGHT
            && self.levels[Level::Full.index()].weight >= MIN_LIMIT_WEIGHT;
        if half > 0 && is_known && self.usual[0] > 0.0 {
            // Little's law: the throughput is the number of requests in progress over their time.
            let throughput = |requests: u32, level: Level| {
                requests as f32 / (self.usual[level.index()] * self.factor_at(level))
            };
            if throughput(self.capacity, Level::Full) < MIN_GAIN * throughput(half, Level::Half) {
                limit = half;
            }
        }
        let factor = self.factor() / self.average;
        if factor >= LIMITED_FACTOR {
            limit = limit.min((full as f32 / factor) as u32);
        }
        limit.max(1)
    }

    fn factor_at(&self, level: Level) -> f32 {
        let evidence = self.levels[level.index()];
        let relative = (PRIOR_WEIGHT + evidence.sum) / (PRIOR_WEIGHT + evidence.weight);
        self.factor() * relative
    }

    fn update_percents(&mut self) {
        for level in Level::ALL {
            self.percents[level.index()] = percent_of(self.factor_at(level) / self.average);
        }
    }

    /// Replaces the history by the responses since a change.
    fn restart(&mut self, ratios: Evidence, prior_weight: f32) {
        self.ratios = ratios;
        self.prior_weight = prior_weight;
        self.levels = [Evidence::default(); LEVELS];
        self.slower = Cusum::default();
        self.faster = Cusum::default();
    }

    fn decay(&mut self, now: Moment) {
        let half_life = self.probe_interval.as_secs_f32() * HALF_LIFE_INTERVALS;
        let kept = (-now.since(self.decayed).as_secs_f32() / half_life).exp2();
        self.decayed = self.decayed.max(now);
        self.ratios.scale(kept);
        for level in &mut self.levels {
            level.scale(kept);
        }
    }
}

/// Factor in percent, with the neutral range mapped to 100.
fn percent_of(factor: f32) -> u32 {
    let neutral = factor.clamp(NEUTRAL_MIN, NEUTRAL_MAX);
    (100.0 * factor / neutral).round() as u32
}
