//! Plan of a run, generated from a seed: which event happens at which time.
//!
//! Faults come in bursts and overlap, but one process never has two faults at once. The last
//! seconds are without faults, except that some plans kill every process when these seconds begin;
//! all VMs must then serve again.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_standin::site::Fault;
use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::run::ZONES;

/// Time without a fault after which time limits apply to a VM again: `contact_ms` of the users'
/// first sites.
pub const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Time after the last fault within which a VM serves again: `recovery_s` of the users' first
/// sites.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time after SIGTERM at which the platform kills a process: `grace_s` of the users' first sites.
const GRACE_TIME: Duration = Duration::from_secs(6);

/// Time without faults at the start, in which the VMs start and the first flows open.
const QUIET_START: Duration = Duration::from_secs(3);

/// Time without faults at the end, in which all VMs recover and are checked.
const QUIET_END: Duration = Duration::from_secs(16);

/// Time between two bursts of faults, in which only planned changes happen and time limits apply.
const QUIET_TIME: Duration = Duration::from_secs(12);

/// Time between the announcement and the end of a draining target: twice the time after which the
/// target must receive no new flow.
const DRAIN_TIME: Duration = Duration::from_secs(6);

/// Longest time from the start of an outage, after which the store returns from an older copy, to the
/// operator's next write.
const MAX_RESTORE_TIME: Duration = Duration::from_secs(3);

/// Time before the last faults by which all targets that have started again are registered.
const RESTART_MARGIN: Duration = Duration::from_secs(2);

/// Longest time from the announcement to the end of a target that drains while entries lapse, in
/// milliseconds.
const MAX_DRAIN_MS: u64 = 12_000;

/// Time after the end of an outage within which targets have written their lapsed entries again.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Time after the last fault burst at which every zone is readmitted.
const READMISSION_PAUSE: Duration = Duration::from_millis(100);

/// Size of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanSize {
    /// Length of the run, recovery included.
    pub length: Duration,
    /// Number of VMs, distributed over three zones.
    pub vms: usize,
    /// Whether the store returns from an older copy at times.
    pub has_restores: bool,
    /// Whether targets start again under their identifier at times.
    pub has_restarts: bool,
    /// Whether entries lapse in short outages of the store during planned work.
    pub has_lapses: bool,
}

/// An action on the site from outside the programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Event {
    /// Sends SIGKILL to a VM's process.
    #[display("kill vm={_0}")]
    Kill(usize),
    /// Starts a VM's process; a process that still runs is killed first.
    #[display("start vm={_0}")]
    Start(usize),
    /// Sends SIGTERM to a VM's process.
    #[display("stop vm={_0}")]
    Stop(usize),
    /// Sends SIGSTOP to a VM's process.
    #[display("pause vm={_0}")]
    Pause(usize),
    /// Sends SIGCONT to a VM's process.
    #[display("resume vm={_0}")]
    Resume(usize),
    /// Sends SIGHUP to a VM's process.
    #[display("hup vm={_0}")]
    Hup(usize),
    /// Writes a settings file without any known section, and sends no signal.
    #[display("spoil_settings vm={_0}")]
    CorruptSettings(usize),
    /// Restores the settings file.
    #[display("restore_settings vm={_0}")]
    RestoreSettings(usize),
    /// Sets the fault between the store and a VM.
    #[display("store vm={_0} fault={_1:?}")]
    StoreFault(usize, Fault),
    /// Stalls the open connections between a VM and the store permanently.
    #[display("deafen vm={_0}")]
    StallConnections(usize),
    /// Makes the store unavailable to all VMs and writers while entries expire, or available again.
    #[display("store_away {_0}")]
    StoreUnavailable(bool),
    /// Makes the store unavailable to writers only, while entries expire, or available again.
    #[display("writers_away {_0}")]
    WritersUnavailable(bool),
    /// Returns the store to a copy of this age, and makes it available to writers.
    #[display("store_returns copy_age_ms={}", _0.as_millis())]
    StoreReturns(Duration),
    /// Writes the configuration and the evacuations again.
    #[display("write_config")]
    WriteConfig,
    /// Evacuates a zone, unless too few targets would be left or another zone is evacuated.
    #[display("evacuate zone={_0}")]
    Evacuate(usize),
    /// Readmits a zone.
    #[display("readmit zone={_0}")]
    Readmit(usize),
    /// Compacts the history of the store.
    #[display("compact")]
    Compact,
    /// Adds a route.
    #[display("add_route")]
    AddRoute,
    /// Removes the route that was added last.
    #[display("remove_route")]
    RemoveRoute,
    /// Starts a target.
    #[display("add_target zone={_0}")]
    AddTarget(usize),
    /// Makes a target announce that it drains.
    #[display("drain target={_0}")]
    Drain(usize),
    /// Stops the target that has been draining for the longest time.
    #[display("leave")]
    Leave,
    /// Stops a target without an announcement.
    #[display("crash target={_0}")]
    Crash(usize),
    /// Crashes a target and starts it again under its identifier, cut off from the store.
    #[display("restart target={_0}")]
    Restart(usize),
    /// Ends the cut of the target that has been cut off for the longest time.
    #[display("reconnect")]
    Reconnect,
}

/// A span in which a fault may keep one VM, or all of them, from meeting time limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Disturbance {
    /// Disturbed VM; `None` for all VMs.
    vm: Option<usize>,
    from: Duration,
    to: Duration,
}

/// All events of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Seed from which the plan was generated.
    pub seed: u64,
    /// Size of the run.
    pub size: PlanSize,
    /// Events ordered by time.
    pub events: Vec<(Duration, Event)>,
    disturbances: Vec<Disturbance>,
}

/// State of the generation of a plan.
struct Generator {
    random: StdRng,
    plan: Plan,
    /// Time until which the process of each VM gets no further fault.
    process_busy: Vec<Duration>,
    /// Time until which the store gets no further outage.
    store_busy: Duration,
    /// Number of routes that the plan has added and not removed.
    routes: usize,
}

impl Plan {
    /// Generates the plan of a seed.
    pub fn generate(seed: u64, size: PlanSize) -> Self {
        let mut generator = Generator {
            random: StdRng::seed_from_u64(seed),
            plan: Self {
                seed,
                size,
                events: Vec::new(),
                disturbances: Vec::new(),
            },
            process_busy: vec![Duration::ZERO; size.vms],
            store_busy: Duration::ZERO,
            routes: 0,
        };
        let last = size.length.saturating_sub(QUIET_END);
        let mut at = QUIET_START;
        while at < last {
            let burst_end = (at + generator.random_time(4_000, 12_000)).min(last);
            while at < burst_end {
                generator.add_step(at, burst_end);
                at += generator.random_time(100, 2_500);
            }
            let quiet_end = (burst_end.max(at) + QUIET_TIME).min(last);
            while at < quiet_end {
                generator.add_change(at);
                at += generator.random_time(100, 2_000);
            }
        }
        if generator.random.random_bool(0.5) {
            generator.add_kill_all(last);
        }
        generator.add_evacuations(last);
        if size.has_restores {
            generator.add_restores(last);
        }
        if size.has_restarts {
            generator.add_restarts(last);
        }
        if size.has_lapses {
            generator.add_lapses(last);
        }
        let mut plan = generator.plan;
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Returns whether time limits apply to a VM during the whole span.
    pub fn is_undisturbed(&self, vm: usize, from: Duration, to: Duration) -> bool {
        let from = from.saturating_sub(CONTACT_TIME);
        let overlaps = |disturbance: &&Disturbance| {
            disturbance.vm.is_none_or(|disturbed| disturbed == vm)
                && disturbance.from <= to
                && disturbance.to >= from
        };
        !self
            .disturbances
            .iter()
            .any(|disturbance| overlaps(&disturbance))
    }

    /// Returns whether time limits apply to all VMs during the whole span.
    pub fn are_all_undisturbed(&self, from: Duration, to: Duration) -> bool {
        (0..self.size.vms).all(|vm| self.is_undisturbed(vm, from, to))
    }

    /// Returns the end of the last fault.
    pub fn faults_end(&self) -> Duration {
        let ends = self.disturbances.iter().map(|disturbance| disturbance.to);
        ends.max().unwrap_or_default()
    }
}

impl Generator {
    /// Adds a fault or a change that starts at `at`; a fault ends by `last`.
    fn add_step(&mut self, at: Duration, last: Duration) {
        let vm = self.random.random_range(0..self.plan.size.vms);
        match self.random.random_range(0..100) {
            0..12 => self.add_process_fault(vm, at, last, Event::Kill(vm), Event::Start(vm)),
            12..24 => self.add_stop(vm, at, last),
            24..32 => self.add_process_fault(vm, at, last, Event::Pause(vm), Event::Resume(vm)),
            32..36 => self.add_event(at, Event::Hup(vm)),
            36..40 => {
                let end = (at + self.random_time(500, 6_000)).min(last);
                self.add_event(at, Event::CorruptSettings(vm));
                self.add_event(end, Event::RestoreSettings(vm));
            }
            40..52 => self.add_store_fault(vm, at, last),
            52..55 => {
                self.add_disturbance(Some(vm), at, at);
                self.add_event(at, Event::StallConnections(vm));
            }
            55..62 => self.add_store_outage(at, last),
            62..65 => self.add_event(at, Event::Compact),
            65..69 => {
                let number = self.random.random_range(0..64);
                self.add_event(at, Event::Crash(number));
            }
            _ => self.add_change(at),
        }
    }

    /// Adds a planned change.
    fn add_change(&mut self, at: Duration) {
        let number = self.random.random_range(0..64);
        match self.random.random_range(0..10) {
            0..4 => {
                self.routes += 1;
                self.add_event(at, Event::AddRoute);
            }
            4..6 if self.routes > 0 => {
                self.routes -= 1;
                self.add_event(at, Event::RemoveRoute);
            }
            4..8 => self.add_event(at, Event::AddTarget(number)),
            _ => {
                self.add_event(at, Event::Drain(number));
                self.add_event(at + DRAIN_TIME, Event::Leave);
            }
        }
    }

    /// Adds a fault of a process, unless that process already has a fault.
    fn add_process_fault(
        &mut self,
        vm: usize,
        at: Duration,
        last: Duration,
        begin: Event,
        end: Event,
    ) {
        if self.process_busy[vm] > at {
            return;
        }
        let until = (at + self.random_time(200, 3_000)).min(last);
        self.process_busy[vm] = until + Duration::from_millis(500);
        self.add_disturbance(Some(vm), at, until);
        self.add_event(at, begin);
        self.add_event(until, end);
    }

    /// Adds a planned stop and restart.
    fn add_stop(&mut self, vm: usize, at: Duration, last: Duration) {
        let until = at + GRACE_TIME;
        if self.process_busy[vm] > at || until > last {
            return;
        }
        self.process_busy[vm] = until + Duration::from_millis(500);
        self.add_disturbance(Some(vm), at, until);
        self.add_event(at, Event::Stop(vm));
        self.add_event(until, Event::Start(vm));
    }

    fn add_store_fault(&mut self, vm: usize, at: Duration, last: Duration) {
        let fault = match self.random.random_range(0..6) {
            0 => Fault::Silent,
            1 => Fault::Refused(503),
            2 => Fault::Refused(429),
            3 => Fault::Reset,
            4 => Fault::Slow(self.random_time(50, 800)),
            _ => Fault::Lossy(self.random.random_range(2..5)),
        };
        let until = (at + self.random_time(500, 6_000)).min(last);
        // VMs that replicate from this VM are not disturbed: they must switch to another source in
        // time.
        self.add_disturbance(Some(vm), at, until);
        self.add_event(at, Event::StoreFault(vm, fault));
        self.add_event(until, Event::StoreFault(vm, Fault::None));
    }

    fn add_store_outage(&mut self, at: Duration, last: Duration) {
        if self.store_busy > at {
            return;
        }
        let until = (at + self.random_time(500, 5_000)).min(last);
        self.store_busy = until + CONTACT_TIME;
        self.add_disturbance(None, at, until);
        self.add_event(at, Event::StoreUnavailable(true));
        self.add_event(until, Event::StoreUnavailable(false));
    }

    /// Adds evacuations of one zone at a time, also while faults last. Drawn after all else but the
    /// restores, so that the rest of a seed's plan is the same as before there were evacuations.
    fn add_evacuations(&mut self, last: Duration) {
        let mut at = QUIET_START + self.random_time(500, 6_000);
        while at < last {
            let zone = self.random.random_range(0..ZONES);
            let until = at + self.random_time(6_000, 14_000);
            self.add_event(at, Event::Evacuate(zone));
            if until < last {
                self.add_event(until, Event::Readmit(zone));
            }
            at = until + self.random_time(500, 6_000);
        }
        // An earlier attempt fails if the store is unavailable.
        for zone in 0..ZONES {
            self.add_event(last + READMISSION_PAUSE, Event::Readmit(zone));
        }
    }

    /// Adds times at which the store is away and returns from a copy; some come soon one after the
    /// other, or while other faults last. Drawn after all else, so that the rest of a seed's plan is
    /// the same without them.
    fn add_restores(&mut self, last: Duration) {
        let mut at = QUIET_START + self.random_time(1_000, 8_000);
        while at + MAX_RESTORE_TIME < last {
            let until = at + self.random_time(100, 1_500);
            let age = self.random_time(1_000, 8_000);
            self.add_disturbance(None, at, until);
            self.add_event(at, Event::StoreUnavailable(true));
            self.add_event(until, Event::StoreReturns(age));
            self.add_event(until, Event::StoreUnavailable(false));
            let rewritten = until + self.random_time(0, 1_500);
            self.add_disturbance(None, until, rewritten);
            self.add_event(rewritten, Event::WriteConfig);
            at = until + self.random_time(1_000, 15_000);
        }
    }

    /// Adds targets that start again and register some time later. Drawn after all else, so that the
    /// rest of a seed's plan is the same without them.
    fn add_restarts(&mut self, last: Duration) {
        let mut at = QUIET_START + self.random_time(500, 4_000);
        loop {
            let until = at + self.random_time(300, 2_000);
            if until + RESTART_MARGIN > last {
                return;
            }
            let number = self.random.random_range(0..64);
            self.add_event(at, Event::Restart(number));
            self.add_event(until, Event::Reconnect);
            at += self.random_time(500, 4_000);
        }
    }

    /// Adds short outages of the store, in which some entries expire, while targets drain for long and
    /// VMs are restarted in turn. Drawn after all else, so that the rest of a seed's plan is the same
    /// without them.
    fn add_lapses(&mut self, last: Duration) {
        let mut vm = self.random.random_range(0..self.plan.size.vms);
        let mut at = QUIET_START + self.random_time(0, 1_500);
        loop {
            let begin = at + self.random_time(300, 1_500);
            let end = begin + self.random_time(800, 1_500);
            if end + REWRITE_TIME > last {
                return;
            }
            for _ in 0..2 {
                let number = self.random.random_range(0..64);
                let left = at + self.random_time(6_000, MAX_DRAIN_MS);
                self.add_event(at, Event::Drain(number));
                self.add_event(left, Event::Leave);
            }
            self.add_disturbance(None, begin, end);
            let event = match self.random.random_bool(0.5) {
                true => Event::StoreUnavailable,
                false => Event::WritersUnavailable,
            };
            self.add_event(begin, event(true));
            self.add_event(end, event(false));
            if self.random.random_bool(0.3) {
                let compacted = end + self.random_time(0, 500);
                self.add_event(compacted, Event::Compact);
            }
            let started = begin + self.random_time(0, 3_000);
            self.add_restart_before(vm, started);
            vm = (vm + 1) % self.plan.size.vms;
            at = end + self.random_time(2_000, 4_000);
        }
    }

    /// Adds a planned restart of a VM that starts again at `at`, unless that process already has a
    /// fault.
    fn add_restart_before(&mut self, vm: usize, at: Duration) {
        let Some(stopped) = at.checked_sub(GRACE_TIME) else {
            return;
        };
        let is_busy = self.plan.disturbances.iter().any(|disturbance| {
            disturbance.vm == Some(vm) && disturbance.from <= at && disturbance.to >= stopped
        });
        if is_busy || stopped < QUIET_START {
            return;
        }
        self.add_disturbance(Some(vm), stopped, at);
        self.add_event(stopped, Event::Stop(vm));
        self.add_event(at, Event::Start(vm));
    }

    fn add_kill_all(&mut self, at: Duration) {
        let until = at + self.random_time(200, 1_500);
        self.add_disturbance(None, at, until);
        for vm in 0..self.plan.size.vms {
            self.add_event(at, Event::Kill(vm));
            self.add_event(until, Event::Start(vm));
        }
    }

    fn add_event(&mut self, at: Duration, event: Event) {
        self.plan.events.push((at, event));
    }

    fn add_disturbance(&mut self, vm: Option<usize>, from: Duration, to: Duration) {
        self.plan.disturbances.push(Disturbance { vm, from, to });
    }

    fn random_time(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }
}

impl Display for Plan {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let PlanSize { length, vms, .. } = self.size;
        let seconds = length.as_secs();
        writeln!(f, "plan seed={} seconds={seconds} vms={vms}", self.seed)?;
        for (at, event) in &self.events {
            writeln!(f, "at_ms={} {event}", at.as_millis())?;
        }
        Ok(())
    }
}
