//! The steps of the demonstration: planned changes by an operator, and a fault.

use std::io;
use std::time::Duration;

use bambooseam_standin::caller::{Call, Outcome};
use bambooseam_types::{TargetId, VmId};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};

use super::check::{Violations, sum_of, value_of};
use super::cost::{Cost, imbalance, longest_open};
use super::progress;
use super::system::System;
use super::traffic::{Traffic, TrafficPlan};

/// Time between an announcement and the change that the platform announced.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(3);
/// Time until the fabric detects a dead VM.
const FABRIC_DETECTION_TIME: Duration = Duration::from_secs(1);
/// Time for which a fault is observed before, and again after, the platform removes the VM from
/// its list. It is longer than the time without an answer after which a feed counts as broken.
const FAULT_TIME: Duration = Duration::from_secs(8);
/// Time within which a feed must open while nothing fails.
const OPEN_TIME: Duration = Duration::from_secs(5);
/// Interval at which feeds are renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Each renewal replaces one feed in this many.
const RENEW_DIVISOR: usize = 50;

/// Runs all steps under load.
#[derive(Debug)]
pub struct Steps<'a> {
    system: &'a mut System,
    traffic: Traffic,
    plan: TrafficPlan,
    period: Duration,
    rng: StdRng,
    step_start: Instant,
    broken: usize,
    calls: Vec<Call>,
    failures: Vec<String>,
}

/// Kind of step, which determines the permitted cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepKind {
    /// A planned change: every answer is complete, and no flow breaks.
    Planned,
    /// A fault: no flow breaks that a surviving VM knows of. Requests may fail, but no answer may
    /// reach another request.
    Fault,
}

impl<'a> Steps<'a> {
    /// Starts the load; each step is observed for at least `period`.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn start(
        system: &'a mut System,
        plan: TrafficPlan,
        period: Duration,
    ) -> io::Result<Self> {
        let traffic = Traffic::start(system, plan).await?;
        Ok(Self {
            system,
            traffic,
            plan,
            period,
            rng: StdRng::seed_from_u64(plan.seed),
            step_start: Instant::now(),
            broken: 0,
            calls: Vec::new(),
            failures: Vec::new(),
        })
    }

    /// Runs all steps and prints the cost of each; returns the failures found.
    ///
    /// With `is_short`, only the steady load runs, without changes and faults.
    ///
    /// # Errors
    ///
    /// Returns an error when a step can't be carried out.
    pub async fn run(mut self, is_short: bool) -> io::Result<Vec<String>> {
        self.steady().await?;
        if !is_short {
            self.switch_preset().await?;
            self.leave_vm().await?;
            self.leave_target().await?;
            self.kill_vm().await?;
        }
        self.finish().await?;
        Ok(self.failures)
    }

    /// Step without any change.
    async fn steady(&mut self) -> io::Result<()> {
        progress("steady load");
        self.observe(self.period).await?;
        self.report("steady", StepKind::Planned, Vec::new());
        Ok(())
    }

    /// Step in which the preset switches to `peak-season`.
    async fn switch_preset(&mut self) -> io::Result<()> {
        progress("switching the preset to peak-season");
        let name = "peak-season".parse().map_err(io::Error::other)?;
        let time = self.system.switch(&name).await?;
        self.observe(self.period).await?;
        let figures = vec![("everywhere_s", format!("{:.3}", time.as_secs_f64()))];
        self.report("preset_switch", StepKind::Planned, figures);
        Ok(())
    }

    /// Step in which an entry VM leaves as planned.
    async fn leave_vm(&mut self) -> io::Result<()> {
        let id = self.pick_vm()?;
        progress(&format!("{id} leaves as planned"));
        self.system.announce_leaving_vm(&id).await?;
        self.observe(ANNOUNCEMENT_TIME).await?;
        self.traffic.update_vms(self.system);
        let start = Instant::now();
        if !self.system.stop_vm(&id).await? {
            self.failures
                .push(format!("cause=stop_not_graceful vm={id}"));
        }
        let stop = start.elapsed();
        self.system.remove_vm(&id).await?;
        self.observe(self.period).await?;
        let figures = vec![
            ("vm", id.to_string()),
            ("stop_s", format!("{:.3}", stop.as_secs_f64())),
        ];
        self.report("planned_vm", StepKind::Planned, figures);
        Ok(())
    }

    /// Step in which a target leaves as planned; its feeds end before the target stops.
    async fn leave_target(&mut self) -> io::Result<()> {
        let id = self.pick_target()?;
        progress(&format!("{id} leaves as planned"));
        self.system.announce_leaving_target(&id).await?;
        self.observe(ANNOUNCEMENT_TIME).await?;
        let before = self.received_work(&id).await?;
        self.observe(self.period).await?;
        let late = self.received_work(&id).await? - before;
        self.traffic.end_feeds_of(id.as_str());
        self.system.remove_target(&id).await?;
        self.observe(self.period).await?;
        if late > 0 {
            self.failures
                .push(format!("cause=late_work target={id} count={late}"));
        }
        let figures = vec![("target", id.to_string()), ("late_work", late.to_string())];
        self.report("planned_target", StepKind::Planned, figures);
        Ok(())
    }

    /// Step in which an entry VM is killed.
    async fn kill_vm(&mut self) -> io::Result<()> {
        let id = self.pick_vm()?;
        progress(&format!("{id} is killed"));
        self.system.kill_vm(&id).await?;
        sleep(FABRIC_DETECTION_TIME).await;
        self.system.mark_vm_lost(&id);
        self.traffic.update_vms(self.system);
        self.observe(FAULT_TIME).await?;
        self.system.remove_vm(&id).await?;
        self.observe(FAULT_TIME).await?;
        self.report("killed_vm", StepKind::Fault, vec![("vm", id.to_string())]);
        Ok(())
    }

    /// Waits for the end of all requests and compares the logs of callers and targets.
    async fn finish(&mut self) -> io::Result<()> {
        progress("waiting for all requests to end, then comparing logs");
        self.traffic.finish().await;
        self.report("end", StepKind::Planned, Vec::new());
        let runs = self.system.target_lines("/standin/runs").await?;
        let stats = self.system.target_lines("/standin/stats").await?;
        let violations = Violations::find(&self.calls, &runs, &stats);
        println!(
            "{violations} requests={} runs={}",
            self.calls.len(),
            runs.len()
        );
        if !violations.is_clean() {
            self.failures.push(format!("cause=faults {violations}"));
        }
        for name in self.system.ended_early() {
            self.failures
                .push(format!("cause=process_died process={name}"));
        }
        Ok(())
    }

    /// Lets the load run for `time` and renews some feeds each second.
    async fn observe(&mut self, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            sleep(RENEW_INTERVAL.min(until - Instant::now())).await;
            let count = self.plan.feeds.div_ceil(RENEW_DIVISOR);
            self.traffic.renew_feeds(count).await?;
        }
        Ok(())
    }

    /// Prints the cost of the step and records failures.
    fn report(&mut self, step: &'static str, kind: StepKind, figures: Vec<(&'static str, String)>) {
        let reports = self.traffic.reports();
        let broken: Vec<_> = reports.iter().filter_map(|r| r.failure.as_ref()).collect();
        for cause in broken.iter().skip(self.broken) {
            eprintln!("event=flow_broken step={step} {cause}");
        }
        let service = self.system.plan().orders.0;
        let open = self.traffic.open_reports();
        let cost = Cost {
            step,
            broken: broken.len() - self.broken,
            open_time: longest_open(&reports, self.step_start),
            calls: self.traffic.take_calls(),
            imbalance: imbalance(&open, self.system.deployment(), service),
            figures,
        };
        self.broken = broken.len();
        self.step_start = Instant::now();
        println!("{cost}");
        self.check_cost(&cost, kind);
        self.calls.extend(cost.calls);
    }

    /// Records a failure for each cost that the kind of step does not permit.
    fn check_cost(&mut self, cost: &Cost, kind: StepKind) {
        let failed = |outcome: &Outcome| match kind {
            StepKind::Planned => *outcome != Outcome::Complete,
            StepKind::Fault => matches!(outcome, Outcome::Mismatched | Outcome::Error),
        };
        let count = cost
            .calls
            .iter()
            .filter(|call| failed(&call.outcome))
            .count();
        let step = cost.step;
        if count > 0 {
            self.failures
                .push(format!("cause=requests step={step} count={count}"));
        }
        if cost.broken > 0 {
            let broken = cost.broken;
            self.failures
                .push(format!("cause=broken_flows step={step} count={broken}"));
        }
        if kind == StepKind::Planned && cost.open_time > OPEN_TIME {
            let time = cost.open_time.as_secs_f64();
            self.failures
                .push(format!("cause=late_open step={step} time_s={time:.3}"));
        }
        for call in cost.calls.iter().filter(|call| failed(&call.outcome)) {
            eprintln!(
                "event=request_failed step={step} request={} outcome={} vm={} long={} time_ms={}",
                call.id,
                call.outcome,
                call.vm,
                call.is_long,
                call.time.as_millis()
            );
        }
    }

    /// Returns the number of flows and requests that a target has received so far, including
    /// refused requests.
    async fn received_work(&self, id: &TargetId) -> io::Result<u64> {
        let stats = self.system.target_lines("/standin/stats").await?;
        let lines = stats.into_iter();
        let target_lines: Vec<_> = lines
            .filter(|line| value_of(line, "target") == id.as_str())
            .collect();
        let keys = ["flows", "finished", "cancelled", "expired", "shed", "busy"];
        Ok(keys.iter().map(|key| sum_of(&target_lines, key)).sum())
    }

    fn pick_vm(&mut self) -> io::Result<VmId> {
        let vms = &self.system.deployment().vms.0;
        let vm = vms.choose(&mut self.rng);
        vm.map(|vm| vm.id.clone())
            .ok_or_else(|| io::Error::other("the deployment has no VM"))
    }

    fn pick_target(&mut self) -> io::Result<TargetId> {
        let service = self.system.plan().orders.0;
        let targets = self.system.deployment().targets.targets.iter();
        let candidates: Vec<_> = targets.filter(|t| t.service.as_str() == service).collect();
        let target = candidates.choose(&mut self.rng);
        target
            .map(|target| target.id.clone())
            .ok_or_else(|| io::Error::other("the deployment has no target of the orders service"))
    }
}
