//! What happens when, drawn from a seed.
//!
//! Faults come in series and overlap; those of one process do not. The last seconds are calm, but
//! for some plans in which every process is killed first: then all VMs must serve again.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_standin::site::Fault;
use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time for which a VM must have been without fault to be held to bounds in time: `contact_ms` of
/// the users' first sites.
pub const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Time in which a VM serves again after the last fault: `recovery_s` of the users' first sites.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time after SIGTERM at which the platform kills a process: `grace_s` of the users' first sites.
const GRACE_TIME: Duration = Duration::from_secs(6);

/// Calm before the first fault, for the start and the first flows.
const QUIET_START: Duration = Duration::from_secs(3);

/// Calm at the end, in which all recovers and is checked.
const QUIET_END: Duration = Duration::from_secs(16);

/// Time between two series of faults, in which changes alone are made and bounds in time hold.
const QUIET_TIME: Duration = Duration::from_secs(12);

/// Time between a target's announcement and its end: twice the time after which it must get no
/// more new flows.
const DRAIN_TIME: Duration = Duration::from_secs(6);

/// How large a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanSize {
    /// How long it lasts, recovery included.
    pub length: Duration,
    /// VMs, in three zones.
    pub vms: usize,
}

/// Something that is done from outside the programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Event {
    /// SIGKILL to a VM's process.
    #[display("kill vm={_0}")]
    Kill(usize),
    /// A VM's process is started; one that still runs is killed first.
    #[display("start vm={_0}")]
    Start(usize),
    /// SIGTERM.
    #[display("stop vm={_0}")]
    Stop(usize),
    /// SIGSTOP.
    #[display("pause vm={_0}")]
    Pause(usize),
    /// SIGCONT.
    #[display("resume vm={_0}")]
    Resume(usize),
    /// SIGHUP.
    #[display("hup vm={_0}")]
    Hup(usize),
    /// A settings file that names nothing, without a signal.
    #[display("spoil_settings vm={_0}")]
    CorruptSettings(usize),
    /// The settings file is as it was.
    #[display("restore_settings vm={_0}")]
    RestoreSettings(usize),
    /// What is wrong between the store and a VM from now on.
    #[display("store vm={_0} fault={_1:?}")]
    StoreFault(usize, Fault),
    /// The connections that a VM has to the store go silent for good.
    #[display("deafen vm={_0}")]
    StallConnections(usize),
    /// The store answers nobody and entries lapse, or works again for all.
    #[display("store_away {_0}")]
    StoreUnavailable(bool),
    /// The store forgets its history.
    #[display("compact")]
    Compact,
    /// A route is added.
    #[display("add_route")]
    AddRoute,
    /// The route that was added last is removed.
    #[display("remove_route")]
    RemoveRoute,
    /// A target starts.
    #[display("add_target zone={_0}")]
    AddTarget(usize),
    /// A target announces that it leaves, and does.
    #[display("drain target={_0}")]
    Drain(usize),
    /// The target that drained longest ends.
    #[display("leave")]
    Leave,
    /// A target ends without a word.
    #[display("crash target={_0}")]
    Crash(usize),
}

/// A time in which a VM, or all of them, may be out of touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Disturbance {
    vm: Option<usize>,
    from: Duration,
    to: Duration,
}

/// All that happens in a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Seed that it was drawn from.
    pub seed: u64,
    /// How large the run is.
    pub size: PlanSize,
    /// Events by time.
    pub events: Vec<(Duration, Event)>,
    disturbances: Vec<Disturbance>,
}

/// A plan that is being drawn.
struct Generator {
    random: StdRng,
    plan: Plan,
    /// Until when each VM's process has a fault already.
    process_busy: Vec<Duration>,
    /// Until when the store has a fault already.
    store_busy: Duration,
    routes: usize,
}

impl Plan {
    /// Draws the plan of a seed.
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
        let mut plan = generator.plan;
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Whether a VM is held to bounds in time all through a span.
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

    /// Whether all VMs are held to bounds in time all through a span.
    pub fn are_all_undisturbed(&self, from: Duration, to: Duration) -> bool {
        (0..self.size.vms).all(|vm| self.is_undisturbed(vm, from, to))
    }

    /// When the last fault has ended.
    pub fn faults_end(&self) -> Duration {
        let ends = self.disturbances.iter().map(|disturbance| disturbance.to);
        ends.max().unwrap_or_default()
    }
}

impl Generator {
    /// Draws a fault or change that begins at `at` and is over at `last`.
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

    /// Draws planned work.
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

    /// A fault of a process that has none yet.
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

    /// A planned stop and start.
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
        // Others that follow this VM stay in touch: they must find another way in time.
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
        let PlanSize { length, vms } = self.size;
        let seconds = length.as_secs();
        writeln!(f, "plan seed={} seconds={seconds} vms={vms}", self.seed)?;
        for (at, event) in &self.events {
            writeln!(f, "at_ms={} {event}", at.as_millis())?;
        }
        Ok(())
    }
}
