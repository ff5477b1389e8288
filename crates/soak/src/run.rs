//! Runs a plan on a simulated site and checks the invariants.

use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use bambooseam_standin::http;
use bambooseam_standin::site::{Counters, Fault, FlowTarget, Site, SitePlan, Traffic, zone_name};
use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use crate::check::{ChangeCheck, OPEN_TIMEOUT};
use crate::plan::RECOVERY_TIME;
use crate::{Event, Outcome, Plan, Sample, Violation};

/// Number of zones of a site.
pub(crate) const ZONES: usize = 3;

/// Number of targets in each zone at the start.
const TARGETS: u8 = 4;

/// Minimum number of targets that are left running.
const MIN_TARGETS: usize = 4;

/// Minimum number of targets that are left running outside an evacuated zone.
const MIN_TARGETS_ELSEWHERE: usize = 2;

/// Number of addresses that the targets of a zone use in turn.
const ADDRESS_COUNT: u8 = 40;

/// Number of callers' hosts in each zone. VMs tell callers apart by their addresses.
const CALLER_HOSTS: u8 = 3;

/// Numbers of feeds and of callers of orders of each host.
const FEEDS: u64 = 2;
const ORDERS: u64 = 1;

/// Number of feeds in each zone that pause for seconds, in plans with lapses.
const PAUSING_FEEDS: u64 = 20;

/// Timeout for the readiness of all VMs at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for a change of configuration: `config_apply_ms` of the users' first sites.
const CONFIG_BOUND: Duration = Duration::from_secs(3);

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for the status of a VM.
const STATUS_TIMEOUT: Duration = Duration::from_millis(100);

type Violations = Arc<Mutex<Vec<Violation>>>;

/// State of a run in progress.
struct Run<'a> {
    plan: &'a Plan,
    site: Site,
    /// Frontend of the orders service.
    orders: SocketAddrV4,
    started: Instant,
    targets: Vec<FlowTarget>,
    /// Draining targets, in the order of their announcements.
    draining: Vec<FlowTarget>,
    /// Targets that have started again and can't reach the store, in the order of their starts.
    cut_off: Vec<FlowTarget>,
    /// Last byte of the address of the newest target.
    last_address: u8,
    /// Frontends whose routes the plan has added and not removed.
    routes: Arc<Mutex<Vec<SocketAddrV4>>>,
    /// Whether the process of each VM should be running.
    expected: Vec<bool>,
    violations: Violations,
    checks: JoinSet<()>,
    outcome: Outcome,
    /// Latest configuration version of each VM since the start of its process.
    versions: Vec<Option<u64>>,
    programs: Programs,
    /// Whether the last start of each VM's process was that of the earlier program.
    is_older: Vec<bool>,
    /// Violation counters of the previous sample.
    previous: Vec<(&'static str, u64)>,
}

/// Entry programs of a run.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The program that VMs run.
    pub program: PathBuf,
    /// An earlier program, which VMs run at every other start.
    pub older: Option<PathBuf>,
}

impl From<PathBuf> for Programs {
    fn from(program: PathBuf) -> Self {
        Self {
            program,
            older: None,
        }
    }
}

/// Runs a plan with an entry program, or with two builds of it side by side.
///
/// # Errors
///
/// Returns an error if the site can't be started or an event can't be applied.
pub async fn run(plan: &Plan, programs: impl Into<Programs>) -> io::Result<Outcome> {
    let programs = programs.into();
    let vms = (0..ZONES).map(|zone| (plan.size.vms + ZONES - 1 - zone) / ZONES);
    let site_plan = SitePlan {
        program: programs.older.as_ref().unwrap_or(&programs.program).clone(),
        vms: vms.map(|count| count as u8).collect(),
    };
    let mut site = Site::new(&site_plan).await?;
    let orders = site.add_route("orders");
    let mut targets = Vec::new();
    for zone in 0..ZONES as u8 {
        for number in 1..=TARGETS {
            targets.push(site.add_target("orders", zone, number).await?);
        }
    }
    site.start_all()?;
    if !site.wait_ready(plan.size.vms, START_TIMEOUT).await {
        return Err(io::Error::other(
            "not all VMs became ready within the start timeout",
        ));
    }
    let started_at = SystemTime::now();
    let run = Run {
        plan,
        orders,
        started: Instant::now(),
        targets,
        draining: Vec::new(),
        cut_off: Vec::new(),
        last_address: TARGETS,
        routes: Arc::default(),
        expected: vec![true; plan.size.vms],
        violations: Violations::default(),
        checks: JoinSet::new(),
        outcome: Outcome::default(),
        versions: vec![None; plan.size.vms],
        is_older: vec![programs.older.is_some(); plan.size.vms],
        programs,
        previous: Vec::new(),
        site,
    };
    run.drive(started_at).await
}

impl Run<'_> {
    async fn drive(mut self, started_at: SystemTime) -> io::Result<Outcome> {
        let mut hosts = self.site.callers.clone();
        for zone in 0..ZONES as u8 {
            for number in 1..CALLER_HOSTS {
                hosts.push(self.site.add_caller(zone, number).await?);
            }
        }
        let (load, seed) = ((FEEDS, ORDERS), self.plan.seed);
        let mut traffic = Traffic::start_at(&hosts, &self.site, self.orders, load, seed);
        if self.plan.size.has_lapses {
            traffic.add_pausing(&self.site, self.orders, PAUSING_FEEDS, seed);
        }
        let bar = progress(self.plan.size.length);
        let events = self.plan.events.clone();
        let mut events = events.into_iter().peekable();
        let mut next_sample = Duration::ZERO;
        loop {
            let event_at = events.peek().map_or(self.plan.size.length, |(at, _)| *at);
            sleep_until((self.started + event_at.min(next_sample)).into()).await;
            if let Some((_, event)) = events.next_if(|(at, _)| *at <= next_sample) {
                self.apply_event(event).await?;
                self.outcome.events += 1;
                continue;
            }
            if next_sample > self.plan.size.length {
                break;
            }
            self.sample().await;
            bar.set_position(next_sample.as_secs());
            next_sample += SAMPLE_INTERVAL;
        }
        traffic.stop().await;
        while self.checks.join_next().await.is_some() {}
        self.check_recovery().await;
        bar.finish_and_clear();
        Ok(self.finish(started_at))
    }

    /// Sets the program of the next start of a VM, if two builds run side by side.
    fn swap_program(&mut self, vm: usize) {
        let Some(older) = &self.programs.older else {
            return;
        };
        self.is_older[vm] = !self.is_older[vm];
        let program = match self.is_older[vm] {
            true => older,
            false => &self.programs.program,
        };
        self.site.vms[vm].set_program(program.clone());
    }

    async fn apply_event(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Kill(vm) => {
                self.expected[vm] = false;
                self.site.vms[vm].kill().await;
            }
            Event::Start(vm) => {
                self.site.vms[vm].kill().await;
                self.versions[vm] = None;
                self.swap_program(vm);
                self.site.vms[vm].start()?;
                self.expected[vm] = true;
            }
            Event::Stop(vm) => {
                self.expected[vm] = false;
                self.site.vms[vm].signal("TERM").await?;
            }
            Event::Pause(vm) => self.site.vms[vm].signal("STOP").await?,
            Event::Resume(vm) => self.site.vms[vm].signal("CONT").await?,
            Event::Hup(vm) => self.site.vms[vm].signal("HUP").await?,
            Event::CorruptSettings(vm) => self.site.vms[vm].write_raw_settings("[nothing]\n")?,
            Event::RestoreSettings(vm) => self.site.vms[vm].restore_settings()?,
            Event::StoreFault(vm, fault) => self.site.vms[vm].store_server.set_fault(fault),
            Event::StallConnections(vm) => self.site.vms[vm].store_server.stall_connections(),
            Event::StoreUnavailable(is_unavailable) => {
                let fault = match is_unavailable {
                    true => Fault::Silent,
                    false => Fault::None,
                };
                self.site.store.set_unavailable(is_unavailable);
                for vm in &self.site.vms {
                    vm.store_server.set_fault(fault);
                }
            }
            Event::WritersUnavailable(is_unavailable) => {
                self.site.store.set_unavailable(is_unavailable);
            }
            Event::StoreReturns(age) => self.site.restore_store(age),
            Event::WriteConfig => {
                self.site.write_config();
                self.site.write_evacuations();
            }
            Event::Evacuate(zone) => {
                let has_room = self.targets_outside(Some(zone)) >= MIN_TARGETS;
                if has_room && self.site.evacuated().is_empty() {
                    self.site.evacuate(zone as u8);
                }
            }
            Event::Readmit(zone) => {
                self.site.readmit(zone as u8);
            }
            Event::Compact => self.site.store.compact(),
            Event::AddRoute => {
                let frontend = self.site.add_route("orders");
                self.routes().push(frontend);
                self.check_change(frontend, true);
            }
            Event::RemoveRoute => {
                let last = self.routes().pop();
                if let Some(frontend) = last {
                    self.site.remove_route(frontend);
                    self.check_change(frontend, false);
                }
            }
            Event::AddTarget(number) => self.add_target(number).await?,
            Event::Drain(number) => {
                if let Some(target) = self.take_target(number) {
                    target.drain();
                    self.draining.push(target);
                }
            }
            Event::Leave if !self.draining.is_empty() => self.draining.remove(0).leave().await,
            Event::Leave => {}
            Event::Crash(number) => {
                if let Some(target) = self.take_target(number) {
                    target.crash().await;
                }
            }
            Event::Restart(number) => {
                if let Some(target) = self.take_target(number) {
                    let plan = target.plan().clone();
                    target.crash().await;
                    self.cut_off.push(self.site.restart_target(&plan).await?);
                }
            }
            Event::Reconnect if !self.cut_off.is_empty() => {
                let target = self.cut_off.remove(0);
                target.reconnect();
                self.targets.push(target);
            }
            Event::Reconnect => {}
        }
        Ok(())
    }

    async fn add_target(&mut self, number: usize) -> io::Result<()> {
        self.last_address = self.last_address % ADDRESS_COUNT + 1;
        let address = self.last_address;
        let zone = (number % ZONES) as u8;
        let has_address = |target: &FlowTarget| target.plan().address.ip().octets()[3] == address;
        let listed = self.targets.iter().chain(&self.draining);
        let mut existing = listed.chain(&self.cut_off);
        if !existing.any(has_address) {
            let target = self.site.add_target("orders", zone, address).await?;
            self.targets.push(target);
        }
        Ok(())
    }

    /// Removes a target from the running ones and returns it; `None` if too few targets would be
    /// left.
    fn take_target(&mut self, number: usize) -> Option<FlowTarget> {
        let count = self.targets.len();
        let zone = self.site.evacuated().first().copied();
        let is_enough = self.targets_outside(zone.map(usize::from)) > MIN_TARGETS_ELSEWHERE;
        (count > MIN_TARGETS && is_enough).then(|| self.targets.swap_remove(number % count))
    }

    /// Returns the number of running targets outside a zone.
    fn targets_outside(&self, zone: Option<usize>) -> usize {
        let zone = zone.map(|zone| zone_name(zone as u8));
        let targets = self.targets.iter();
        targets
            .filter(|target| zone.as_ref() != Some(&target.plan().zone))
            .count()
    }

    /// Checks after the time limit whether each undisturbed VM has applied a change that the store
    /// has accepted.
    fn check_change(&mut self, frontend: SocketAddrV4, has_route: bool) {
        if self.site.store.is_unavailable() {
            return;
        }
        let changed = self.started.elapsed();
        let until = changed + CONFIG_BOUND + OPEN_TIMEOUT;
        for (index, vm) in self.site.vms.iter().enumerate() {
            if !self.plan.is_undisturbed(index, changed, until) {
                continue;
            }
            self.outcome.checks += 1;
            let check = ChangeCheck {
                caller: Arc::clone(&self.site.callers[0]),
                vm: vm.datagrams(),
                frontend,
                has_route,
            };
            let (violations, started, id) =
                (Arc::clone(&self.violations), self.started, vm.id.clone());
            let routes = Arc::clone(&self.routes);
            let is_in_force = move || lock(&routes).contains(&frontend) == has_route;
            self.checks.spawn(async move {
                sleep(CONFIG_BOUND).await;
                // A later change may have undone this change before or during the check.
                if let Some(detail) = check.run().await
                    && is_in_force()
                {
                    add_violation(
                        &violations,
                        started.elapsed(),
                        "config",
                        format!("{id}: {detail}"),
                    );
                }
            });
        }
    }

    fn routes(&self) -> MutexGuard<'_, Vec<SocketAddrV4>> {
        lock(&self.routes)
    }

    async fn sample(&mut self) {
        let at = self.started.elapsed();
        let mut versions = Vec::new();
        for vm in &self.site.vms {
            let status = timeout(STATUS_TIMEOUT, http::get(vm.admin(), "/status")).await;
            let reply = status.ok().and_then(Result::ok);
            let value =
                reply.and_then(|reply| serde_json::from_str::<serde_json::Value>(&reply.text).ok());
            versions.push(value.and_then(|value| value["version"].as_u64()));
        }
        self.check_versions(&versions, at);
        for (index, vm) in self.site.vms.iter_mut().enumerate() {
            if self.expected[index] && !vm.is_running() {
                self.expected[index] = false;
                add_violation(&self.violations, at, "own_end", vm.id.clone());
            }
        }
        let counters = Arc::clone(&self.site.counters);
        let (served, failed) = (
            Counters::value(&counters.served),
            Counters::value(&counters.failed),
        );
        self.outcome.samples.push(Sample {
            at,
            served: served - self.outcome.served,
            failed: failed - self.outcome.failed,
            ready: self.site.router.in_rotation(),
            versions,
        });
        (self.outcome.served, self.outcome.failed) = (served, failed);
        let counts = counters.violations();
        for &(invariant, count) in &counts {
            let before = self.previous.iter().find(|(name, _)| *name == invariant);
            let before = before.map_or(0, |(_, count)| *count);
            // A draining target, or one in an evacuated zone, may receive a new flow from a VM that
            // has not received the change.
            let is_checked = !["late_to_leaving", "late_to_evacuated"].contains(&invariant)
                || self
                    .plan
                    .are_all_undisturbed(at.saturating_sub(SAMPLE_INTERVAL), at);
            if count > before && is_checked {
                add_violation(
                    &self.violations,
                    at,
                    invariant,
                    format!("count={}", count - before),
                );
            }
        }
        self.previous = counts;
    }

    /// Checks that no process returns to an earlier configuration.
    fn check_versions(&mut self, versions: &[Option<u64>], at: Duration) {
        for (index, version) in versions.iter().enumerate() {
            let (vm, latest) = (&self.site.vms[index].id, &mut self.versions[index]);
            if *version < *latest && version.is_some() {
                let detail = format!("{vm}: version {version:?} after {latest:?}");
                add_violation(&self.violations, at, "reverted", detail);
            }
            *latest = version.or(*latest);
        }
    }

    /// Checks that every VM serves when the recovery time has passed since the last fault.
    async fn check_recovery(&mut self) {
        let due = self.plan.faults_end() + RECOVERY_TIME;
        sleep_until((self.started + due).into()).await;
        for vm in &self.site.vms {
            self.outcome.checks += 1;
            let check = ChangeCheck {
                caller: Arc::clone(&self.site.callers[0]),
                vm: vm.datagrams(),
                frontend: self.orders,
                has_route: true,
            };
            if let Some(detail) = check.run().await {
                let detail = format!("{}: {detail}", vm.id);
                add_violation(&self.violations, self.started.elapsed(), "recover", detail);
            }
        }
    }

    fn finish(mut self, started_at: SystemTime) -> Outcome {
        for vm in &self.site.vms {
            for line in vm.log().lines() {
                let Some(at) = log_time(line, started_at) else {
                    continue;
                };
                self.outcome.lines.push((at, format!("{} {line}", vm.id)));
            }
        }
        self.outcome.lines.sort();
        self.outcome.violations = std::mem::take(&mut lock(&self.violations));
        self.outcome
            .violations
            .sort_by_key(|violation| violation.at);
        self.outcome.clone()
    }
}

fn add_violation(violations: &Violations, at: Duration, invariant: &'static str, detail: String) {
    lock(violations).push(Violation {
        at,
        invariant,
        detail,
    });
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns when a log line was written, as the time since the start of the run; `None` for a line
/// from before the start.
fn log_time(line: &str, started_at: SystemTime) -> Option<Duration> {
    let time = line.strip_prefix("time=")?.split(' ').next()?;
    let time = humantime::parse_rfc3339(time).ok()?;
    time.duration_since(started_at).ok()
}

fn progress(length: Duration) -> ProgressBar {
    let bar = ProgressBar::new(length.as_secs());
    if let Ok(style) = ProgressStyle::with_template("{pos}/{len} s {bar:40} {msg}") {
        bar.set_style(style);
    }
    bar
}
