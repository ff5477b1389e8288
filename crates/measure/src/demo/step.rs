//! The steps of the demonstration: what an operator does, and a fault.

use std::io;
use std::time::Duration;

use bambooseam_standin::caller::{Call, Outcome};
use bambooseam_types::{TargetId, VmId};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};

use super::check::{Faults, sum_of, value_of};
use super::cost::{Cost, imbalance, longest_open};
use super::progress;
use super::stage::Stage;
use super::traffic::{Traffic, TrafficPlan};

/// Time from an announcement until the platform acts on it.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time until the fabric notices a dead VM.
const FABRIC_TIME: Duration = Duration::from_secs(1);
/// Time that a fault is watched before and after the platform drops the VM from its list; longer
/// than the silence after which a feed counts as broken.
const FAULT_TIME: Duration = Duration::from_secs(8);
/// Longest time in which a feed opens while nothing fails.
const OPEN_TIME: Duration = Duration::from_secs(5);
/// Time between two renewals of feeds.
const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Share of the feeds that each renewal replaces.
const RENEW_SHARE: usize = 50;

/// A run of all steps.
#[derive(Debug)]
pub struct Steps<'a> {
    stage: &'a mut Stage,
    traffic: Traffic,
    plan: TrafficPlan,
    period: Duration,
    random: StdRng,
    began: Instant,
    broken: usize,
    calls: Vec<Call>,
    failures: Vec<String>,
}

/// What a step may cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// A planned change: every answer whole, no flow broken.
    Planned,
    /// A fault: no flow broken that a survivor knew; requests may fail, but not be crossed.
    Fault,
}

impl<'a> Steps<'a> {
    /// Starts the load; each step is watched for at least `period`.
    ///
    /// # Errors
    ///
    /// An error when an address can't be bound.
    pub async fn start(
        stage: &'a mut Stage,
        plan: TrafficPlan,
        period: Duration,
    ) -> io::Result<Self> {
        let traffic = Traffic::start(stage, plan).await?;
        Ok(Self {
            stage,
            traffic,
            plan,
            period,
            random: StdRng::seed_from_u64(plan.seed),
            began: Instant::now(),
            broken: 0,
            calls: Vec::new(),
            failures: Vec::new(),
        })
    }

    /// Runs all steps and prints what each cost; `is_short` leaves out the changes.
    ///
    /// # Errors
    ///
    /// An error when the system can't be driven further.
    pub async fn run(mut self, is_short: bool) -> io::Result<Vec<String>> {
        self.steady().await?;
        if !is_short {
            self.switch_preset().await?;
            self.leave_vm().await?;
            self.leave_target().await?;
            self.kill_vm().await?;
        }
        self.conclude().await?;
        Ok(self.failures)
    }

    /// Nothing changes.
    async fn steady(&mut self) -> io::Result<()> {
        progress("steady load");
        self.watch(self.period).await?;
        self.report("steady", Kind::Planned, Vec::new());
        Ok(())
    }

    /// The peak season begins.
    async fn switch_preset(&mut self) -> io::Result<()> {
        progress("switching the preset to peak-season");
        let name = "peak-season".parse().map_err(io::Error::other)?;
        let time = self.stage.switch(&name).await?;
        self.watch(self.period).await?;
        let figures = vec![("everywhere_s", format!("{:.3}", time.as_secs_f64()))];
        self.report("preset_switch", Kind::Planned, figures);
        Ok(())
    }

    /// An entry VM leaves as planned.
    async fn leave_vm(&mut self) -> io::Result<()> {
        let id = self.pick_vm()?;
        progress(&format!("{id} leaves as planned"));
        self.stage.announce_leaving_vm(&id).await?;
        self.watch(NOTICE_TIME).await?;
        self.traffic.follow(self.stage);
        let start = Instant::now();
        if !self.stage.stop_vm(&id).await? {
            self.failures
                .push(format!("cause=stop_not_graceful vm={id}"));
        }
        let stop = start.elapsed();
        self.stage.remove_vm(&id).await?;
        self.watch(self.period).await?;
        let figures = vec![
            ("vm", id.to_string()),
            ("stop_s", format!("{:.3}", stop.as_secs_f64())),
        ];
        self.report("planned_vm", Kind::Planned, figures);
        Ok(())
    }

    /// A target leaves as planned; its feeds end before it stops.
    async fn leave_target(&mut self) -> io::Result<()> {
        let id = self.pick_target()?;
        progress(&format!("{id} leaves as planned"));
        self.stage.announce_leaving_target(&id).await?;
        self.watch(NOTICE_TIME).await?;
        let before = self.work_of(&id).await?;
        self.watch(self.period).await?;
        let late = self.work_of(&id).await? - before;
        self.traffic.end_feeds_of(id.as_str());
        self.stage.remove_target(&id).await?;
        self.watch(self.period).await?;
        if late > 0 {
            self.failures
                .push(format!("cause=late_work target={id} count={late}"));
        }
        let figures = vec![("target", id.to_string()), ("late_work", late.to_string())];
        self.report("planned_target", Kind::Planned, figures);
        Ok(())
    }

    /// An entry VM dies.
    async fn kill_vm(&mut self) -> io::Result<()> {
        let id = self.pick_vm()?;
        progress(&format!("{id} is killed"));
        self.stage.kill_vm(&id).await?;
        sleep(FABRIC_TIME).await;
        self.stage.lose_vm(&id);
        self.traffic.follow(self.stage);
        self.watch(FAULT_TIME).await?;
        self.stage.remove_vm(&id).await?;
        self.watch(FAULT_TIME).await?;
        self.report("killed_vm", Kind::Fault, vec![("vm", id.to_string())]);
        Ok(())
    }

    /// Lets all work end and compares the logs of both sides.
    async fn conclude(&mut self) -> io::Result<()> {
        progress("letting all work end and comparing logs");
        self.traffic.finish().await;
        self.report("end", Kind::Planned, Vec::new());
        let runs = self.stage.target_lines("/standin/runs").await?;
        let stats = self.stage.target_lines("/standin/stats").await?;
        let faults = Faults::find(&self.calls, &runs, &stats);
        println!("{faults} requests={} runs={}", self.calls.len(), runs.len());
        if !faults.is_clean() {
            self.failures.push(format!("cause=faults {faults}"));
        }
        for name in self.stage.dead() {
            self.failures
                .push(format!("cause=process_died process={name}"));
        }
        Ok(())
    }

    /// Lets the load run and replaces some feeds each second.
    async fn watch(&mut self, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            sleep(RENEW_PERIOD.min(until - Instant::now())).await;
            let count = self.plan.feeds.div_ceil(RENEW_SHARE);
            self.traffic.renew_feeds(count).await?;
        }
        Ok(())
    }

    /// Prints what the step cost and notes what it must not.
    fn report(&mut self, step: &'static str, kind: Kind, figures: Vec<(&'static str, String)>) {
        let reports = self.traffic.reports();
        let broken: Vec<_> = reports.iter().filter_map(|r| r.failure.as_ref()).collect();
        for cause in broken.iter().skip(self.broken) {
            eprintln!("event=flow_broken step={step} {cause}");
        }
        let service = self.stage.plan().orders.0;
        let open = self.traffic.open_reports();
        let cost = Cost {
            step,
            broken: broken.len() - self.broken,
            open_time: longest_open(&reports, self.began),
            calls: self.traffic.take_calls(),
            imbalance: imbalance(&open, self.stage.deployment(), service),
            figures,
        };
        self.broken = broken.len();
        self.began = Instant::now();
        println!("{cost}");
        self.judge(&cost, kind);
        self.calls.extend(cost.calls);
    }

    /// Notes what the step must not cost.
    fn judge(&mut self, cost: &Cost, kind: Kind) {
        let failed = |outcome: &Outcome| match kind {
            Kind::Planned => *outcome != Outcome::Complete,
            Kind::Fault => matches!(outcome, Outcome::Mismatched | Outcome::Error),
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
        if kind == Kind::Planned && cost.open_time > OPEN_TIME {
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

    /// New work of a target so far: flows met and requests run.
    async fn work_of(&self, id: &TargetId) -> io::Result<u64> {
        let stats = self.stage.target_lines("/standin/stats").await?;
        let lines = stats.into_iter();
        let own: Vec<_> = lines
            .filter(|line| value_of(line, "target") == id.as_str())
            .collect();
        let keys = ["flows", "finished", "cancelled", "expired", "shed", "busy"];
        Ok(keys.iter().map(|key| sum_of(&own, key)).sum())
    }

    fn pick_vm(&mut self) -> io::Result<VmId> {
        let vms = &self.stage.deployment().vms.0;
        let vm = vms.choose(&mut self.random);
        vm.map(|vm| vm.id.clone())
            .ok_or_else(|| io::Error::other("no VM is left"))
    }

    fn pick_target(&mut self) -> io::Result<TargetId> {
        let service = self.stage.plan().orders.0;
        let targets = self.stage.deployment().targets.0.iter();
        let own: Vec<_> = targets.filter(|t| t.service.as_str() == service).collect();
        let target = own.choose(&mut self.random);
        target
            .map(|target| target.id.clone())
            .ok_or_else(|| io::Error::other("no target is left"))
    }
}
