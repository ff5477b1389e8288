//! Decides which request starts next, and on which target, from counts and queues alone.
//!
//! The rules are made for the crest of a load swing, with short and long work, from this zone and
//! others, on targets with few slots. Short work goes first; long work keeps a minimum number of
//! slots and takes the reserved slots only after a long wait. Local work goes before work of other
//! zones, whose grants leave a slot idle while they travel.

use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_observe::{check_invariant, decisions};
use bambooseam_types::TargetId;

use super::{NO_TARGET_WAIT, Refusal, TargetSlots};
use crate::slots::queue::{Queue, Waiter};
use crate::slots::{Health, Load, Policy, QueueDiscipline, WorkOutcome};

/// Long work that has waited longer than this multiple of its mean service time may take reserved
/// slots if no short work waits.
const LONG_AGING_FACTOR: u32 = 4;

/// Time by which remote work must have waited longer than local work to go first.
const REMOTE_HANDICAP: Duration = Duration::from_millis(30);

/// Same as [`REMOTE_HANDICAP`], under overload.
const OVERLOAD_REMOTE_HANDICAP: Duration = Duration::from_secs(2);

/// Number of waiting requests of a class per slot above which the class is overloaded.
const OVERLOAD_FACTOR: f64 = 2.0;

/// Number of waiting short requests per slot that indicates lasting overload. A burst at normal
/// load seldom reaches this number.
const LASTING_OVERLOAD_FACTOR: f64 = 4.0;

/// Weight of one reported value in the average of the short fraction.
const FRACTION_WEIGHT: f64 = 1.0 / 64.0;

/// State of an owner, and the rules for the order in which work starts.
#[derive(Debug)]
pub(super) struct State {
    pub(super) policy: Policy,
    pub(super) targets: Vec<TargetState>,
    pub(super) load: Load,
    /// Fraction of the service's work that is short, averaged over the reports of proxies.
    pub(super) short_fraction: f64,
    pub(super) short: Queue,
    pub(super) long: Queue,
    pub(super) grants: u64,
}

/// A target and its busy slots.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) slots: TargetSlots,
    pub(super) busy: u32,
    pub(super) last_grant: u64,
    pub(super) health: Health,
}

impl State {
    pub(super) fn find(&self, id: &TargetId) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|target| target.slots.id.cmp(id))
    }

    pub(super) fn queue(&mut self, class: WorkClass) -> &mut Queue {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }

    /// Number of slots that may be used now.
    pub(super) fn slots(&self) -> u32 {
        self.targets.iter().map(TargetState::allowed).sum()
    }

    pub(super) fn reserve(&self) -> u32 {
        self.policy.reserve(self.slots(), self.short_fraction)
    }

    /// Returns the time by which remote work must have waited longer than local work to go first.
    ///
    /// A slot idles while its grant and release travel. Under overload, when all zones have work of
    /// their own, that idle time would be lost to useful work.
    pub(super) fn remote_handicap(&mut self, class: WorkClass) -> Duration {
        if self.is_overloaded(class) {
            return OVERLOAD_REMOTE_HANDICAP;
        }
        REMOTE_HANDICAP
    }

    pub(super) fn is_overloaded(&mut self, class: WorkClass) -> bool {
        let limit = f64::from(self.slots()) * OVERLOAD_FACTOR;
        self.queue(class).is_above(limit)
    }

    /// Whether short work has been overloaded beyond a burst.
    fn has_lasting_overload(&mut self) -> bool {
        let limit = f64::from(self.slots()) * LASTING_OVERLOAD_FACTOR;
        self.short.is_above(limit)
    }

    /// Creates a refusal of work that would wait for `wait`.
    pub(super) fn refusal(&self, wait: Duration) -> Refusal {
        let mut free = self.targets.iter().filter(|target| target.free() > 0);
        let has_suspect = free.any(|target| target.health.is_suspect());
        Refusal {
            has_suspect,
            ..Refusal::new(wait)
        }
    }

    /// Adds a proxy's report of the short fraction to the average.
    pub(super) fn record_short_fraction(&mut self, short_fraction: Option<f64>) {
        let Some(fraction) = short_fraction.filter(|fraction| (0.0..=1.0).contains(fraction))
        else {
            return;
        };
        if self.short_fraction == 0.0 {
            self.short_fraction = fraction;
        }
        self.short_fraction += (fraction - self.short_fraction) * FRACTION_WEIGHT;
    }

    pub(super) fn ejected(&self) -> usize {
        let ejected = |target: &&TargetState| target.health.is_ejected();
        self.targets.iter().filter(ejected).count()
    }

    /// Returns the class of the work that starts next, if a slot is free for any.
    pub(super) fn next_class(&mut self) -> Option<WorkClass> {
        if self.targets.iter().all(|target| target.free() == 0) {
            return None;
        }
        let (short, long) = (self.short.front(), self.long.front());
        let Some(long) = long else {
            return short.map(|_| WorkClass::Short);
        };
        let slots = self.slots();
        let busy = self.load.busy(WorkClass::Long);
        let Some(short) = short else {
            let cap = slots.saturating_sub(self.reserve());
            let aging_limit = self.load.mean(WorkClass::Long) * LONG_AGING_FACTOR;
            // A small owner may reserve all its slots, and long work must not wait indefinitely.
            let may_start = busy < cap || long.elapsed() > aging_limit;
            return may_start.then_some(WorkClass::Long);
        };
        let is_older = long < short;
        // A slot idles while a remote grant travels. The idle time is a sixth of the service time
        // of short work, but negligible compared with that of long work.
        let is_remote_overload = self.short.is_remote() && self.has_lasting_overload();
        let cap = slots.saturating_sub(self.reserve());
        let is_long = match self.policy.discipline {
            QueueDiscipline::Fifo => is_older,
            _ if is_remote_overload => busy < cap,
            // Long work keeps a few slots regardless of the arrival rate of short work, so that
            // neither class starves.
            _ => is_older && busy < self.policy.floor_after(long.elapsed(), slots),
        };
        Some(if is_long {
            WorkClass::Long
        } else {
            WorkClass::Short
        })
    }

    /// Picks the target with the smallest fraction of its slots in use. Targets that were tried
    /// before come last.
    pub(super) fn pick(&self, waiter: &Waiter) -> Option<usize> {
        let is_eligible = |target: &TargetState| !waiter.is_probe || !target.health.is_suspect();
        let targets = self.targets.iter().enumerate();
        let free = targets.filter(|(_, target)| target.free() > 0 && is_eligible(target));
        let order = |target: &TargetState| {
            let fraction = u64::from(target.busy) * 1_000 / u64::from(target.slots.limit.max(1));
            let tried = waiter.avoid.contains(&target.slots.id);
            let health = &target.health;
            (
                tried,
                health.is_suspect(),
                health.has_failures(),
                fraction,
                target.last_grant,
            )
        };
        free.min_by_key(|(_, target)| order(target))
            .map(|(index, _)| index)
    }

    pub(super) fn occupy(&mut self, index: usize, class: WorkClass) {
        self.grants += 1;
        self.load.record_start(class);
        let target = &mut self.targets[index];
        target.busy += 1;
        target.last_grant = self.grants;
        let is_valid = target.busy <= target.slots.limit && target.slots.is_open;
        check_invariant(is_valid, "slots", || {
            format!("{} slots of {} are in use", target.busy, target.slots.id)
        });
    }

    pub(super) fn release(&mut self, id: &TargetId, outcome: WorkOutcome) {
        let Ok(index) = self.find(id) else { return };
        let ejected = self.ejected();
        let max_ejected = self.targets.len() * usize::from(self.policy.eject_share) / 100;
        let ramp_time = self.policy.ramp_time;
        let target = &mut self.targets[index];
        target.busy = target.busy.saturating_sub(1);
        if target.health.record(outcome) {
            let is_capped = ejected >= max_ejected;
            target.health.eject(ramp_time, is_capped);
            metrics::counter!("targets_ejected").increment(1);
            let cause = format!("target {id}: consecutive failures, capped={is_capped}");
            decisions().push("target_ejected", cause);
        }
        if !target.slots.is_open && target.busy == 0 {
            self.targets.remove(index);
        }
    }

    /// Returns the expected wait of a request that joins the queue of `class` now.
    pub(super) fn expected_wait(&self, class: WorkClass) -> Duration {
        let slots = self.slots();
        if slots == 0 {
            return NO_TARGET_WAIT;
        }
        let busy_long = self.load.busy(WorkClass::Long);
        let (ahead, mean, servers) = match class {
            WorkClass::Short => {
                // Long work comes and goes while a request waits: the slots that it has left for a
                // moment do not count.
                let long = f64::from(busy_long).max(self.load.average(WorkClass::Long));
                let servers = (f64::from(slots) - long).max(1.0);
                (self.short.len(), self.load.mean(class), servers)
            }
            WorkClass::Long => {
                let floor = self.policy.long_floor(slots).max(1);
                let short = self.load.short_demand();
                let cap = f64::from(slots.saturating_sub(self.reserve()).max(floor));
                let mut servers = (f64::from(slots) - short).clamp(f64::from(floor), cap);
                if self.load.is_warming_up() {
                    // A new owner can't yet estimate the arrival rate of short work.
                    servers = f64::from(floor);
                }
                // Waiting short work starts before long work, so it counts in proportion to its
                // service time.
                let mean_short = self.load.mean(WorkClass::Short).as_secs_f64();
                let mean = self.load.mean(class);
                let ratio = mean_short / mean.as_secs_f64().max(mean_short).max(f64::MIN_POSITIVE);
                let short_ahead = self.short.len() * ratio;
                (self.long.len() + short_ahead, mean, servers)
            }
        };
        mean.mul_f64(ahead / servers)
    }
}

impl TargetState {
    fn allowed(&self) -> u32 {
        if !self.slots.is_open {
            return 0;
        }
        self.health.allowed(self.slots.limit)
    }

    fn free(&self) -> u32 {
        if self.health.is_paused() {
            return 0;
        }
        self.allowed().saturating_sub(self.busy)
    }
}
