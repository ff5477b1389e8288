//! The demonstration on the users' platform: the real program on each VM, planned changes and
//! faults, and what callers and targets saw of each step.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Counters, FlowTarget, Site, SitePlan, Traffic};
use tokio::time::sleep;

use super::progress;

/// VMs of each zone.
const VMS: [u8; 3] = [2, 1, 1];
/// Targets of each zone.
const TARGETS: u8 = 4;
/// Entries of targets that do not run, beside those that do.
const ENTRIES: u16 = 138;
/// Feeds and callers of orders of each zone.
const FEEDS: u64 = 12;
const ORDERS: u64 = 4;
/// Longest time until all VMs are in rotation.
const START_TIME: Duration = Duration::from_secs(10);
/// Bound for a change, and time that a planned stop may take.
const CONFIG_BOUND: Duration = Duration::from_secs(3);
const STOP_TIME: Duration = Duration::from_secs(6);
/// Time in which a VM that can serve a flow opens it.
const OPEN_TIME: Duration = Duration::from_millis(250);
/// Peak memory that a VM may take (docs/design/platform.md).
const MEMORY_KIB: u64 = 8 << 10;

/// A run of all steps.
pub struct UsersDemo {
    site: Site,
    targets: Vec<FlowTarget>,
    period: Duration,
    failures: Vec<String>,
    served: u64,
    failed: u64,
}

impl UsersDemo {
    /// Starts site, programs and load, runs the steps, and gives what must not have happened.
    ///
    /// # Errors
    ///
    /// An error when the system can't be driven further.
    pub async fn run(
        binaries: &Path,
        period: Duration,
        is_short: bool,
        seed: u64,
    ) -> io::Result<Vec<String>> {
        progress("starting the platform's stand-ins and a program on each VM");
        let plan = SitePlan {
            program: binaries.join("bambooseam-entry"),
            vms: VMS.into(),
        };
        let mut site = Site::new(&plan).await?;
        let orders = site.add_route("orders");
        let mut targets = Vec::new();
        for zone in 0..VMS.len() as u8 {
            for number in 1..=TARGETS {
                targets.push(site.add_target("orders", zone, number).await?);
            }
        }
        // Entries of a service without routes, up to the size of the grown deployments.
        for number in 0..ENTRIES {
            site.publish_entry(number);
        }
        site.start_all()?;
        let count = VMS.iter().map(|vms| usize::from(*vms)).sum();
        if !site.wait_ready(count, START_TIME).await {
            return Ok(vec![
                "step=start cause=\"not all VMs are in rotation\"".into(),
            ]);
        }
        let mut demo = Self {
            site,
            targets,
            period,
            failures: Vec::new(),
            served: 0,
            failed: 0,
        };
        let traffic = Traffic::start(&demo.site, orders, FEEDS, ORDERS, seed);
        demo.steps(is_short).await?;
        traffic.stop().await;
        demo.check_memory();
        Ok(demo.failures)
    }

    async fn steps(&mut self, is_short: bool) -> io::Result<()> {
        sleep(self.period).await;
        self.report("steady", None);
        if is_short {
            return Ok(());
        }
        progress("changing the configuration");
        let time = self.change().await;
        self.report("config_change", Some(time));
        progress("stopping the VMs in turn");
        self.stop_vms().await?;
        self.report("roll_vms", None);
        progress("replacing a target");
        self.replace_target().await?;
        self.report("replace_target", None);
        progress("the store is away, and entries lapse");
        self.site.store.set_unavailable(true);
        sleep(self.period.max(Duration::from_secs(3))).await;
        self.site.store.set_unavailable(false);
        let time = self.change().await;
        sleep(self.period).await;
        self.report("store_away", Some(time));
        progress("killing all VMs at once");
        self.kill_all().await?;
        self.report("kill_all", None);
        Ok(())
    }

    /// Adds a route; gives how long until every VM serves it.
    async fn change(&mut self) -> Duration {
        let entrance = self.site.add_route("orders");
        let begun = Instant::now();
        let caller = Arc::clone(&self.site.callers[0]);
        for vm in &self.site.vms {
            while begun.elapsed() < CONFIG_BOUND {
                let opened = caller.open(entrance, Some(vm.datagrams()));
                if matches!(tokio::time::timeout(OPEN_TIME, opened).await, Ok(Ok(_))) {
                    break;
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        begun.elapsed()
    }

    async fn stop_vms(&mut self) -> io::Result<()> {
        let count = self.site.vms.len();
        for vm in 0..count {
            self.site.vms[vm].signal("TERM").await?;
            if self.site.vms[vm].wait(STOP_TIME).await.is_none() {
                self.failures
                    .push(format!("step=roll_vms cause=\"VM {vm} did not stop\""));
            }
            self.site.vms[vm].start()?;
            self.site.wait_ready(count, START_TIME).await;
        }
        Ok(())
    }

    async fn replace_target(&mut self) -> io::Result<()> {
        self.targets
            .push(self.site.add_target("orders", 0, TARGETS + 1).await?);
        self.targets[0].drain();
        sleep(Duration::from_secs(4)).await;
        self.targets.remove(0).leave();
        sleep(self.period).await;
        Ok(())
    }

    async fn kill_all(&mut self) -> io::Result<()> {
        for vm in &mut self.site.vms {
            vm.kill().await;
        }
        self.site.start_all()?;
        self.site.wait_ready(self.site.vms.len(), START_TIME).await;
        sleep(self.period).await;
        Ok(())
    }

    /// Prints what a step cost and keeps what must not have happened.
    fn report(&mut self, step: &str, change: Option<Duration>) {
        let counters = &self.site.counters;
        let (served, failed) = (
            Counters::value(&counters.served),
            Counters::value(&counters.failed),
        );
        let (step_served, step_failed) = (served - self.served, failed - self.failed);
        (self.served, self.failed) = (served, failed);
        let change_s = change.map_or("none".into(), |time| format!("{:.3}", time.as_secs_f64()));
        println!(
            "measurement=demo deployment=platform step={step} served={step_served} \
             failed={step_failed} broken_flows={} wrong_service={} late_to_leaving={} \
             altered={} doubled={} config_everywhere_s={change_s}",
            Counters::value(&counters.broken_flows),
            Counters::value(&counters.wrong_service),
            Counters::value(&counters.late_to_leaving),
            Counters::value(&counters.altered),
            counters.doubled(),
        );
        for (name, count) in counters.violations() {
            self.failures.push(format!("step={step} {name}={count}"));
        }
        if step_served == 0 {
            self.failures.push(format!("step={step} served=0"));
        }
        if change.is_some_and(|time| time >= CONFIG_BOUND) {
            self.failures
                .push(format!("step={step} config_everywhere_s={change_s}"));
        }
    }

    fn check_memory(&mut self) {
        let peaks: Vec<u64> = self
            .site
            .vms
            .iter()
            .filter_map(|vm| vm.peak_memory())
            .collect();
        let most = peaks.into_iter().max().unwrap_or_default();
        println!("measurement=demo deployment=platform peak_kib={most}");
        if most == 0 || most > MEMORY_KIB {
            self.failures.push(format!("peak_kib={most}"));
        }
    }
}
