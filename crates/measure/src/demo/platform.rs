//! The demonstration on the users' platform.
//!
//! The real entry program runs on each VM while planned changes and faults take place. Each step
//! prints the results that callers and targets observed.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Counters, FlowTarget, Site, SitePlan, Traffic};
use tokio::time::sleep;

use super::progress;

/// Number of VMs in each zone.
const VMS_PER_ZONE: [u8; 3] = [2, 1, 1];
/// Number of targets in each zone.
const TARGETS_PER_ZONE: u8 = 4;
/// Number of additional target entries whose targets do not run.
const IDLE_ENTRIES: u16 = 138;
/// Number of feeds in each zone.
const FEEDS_PER_ZONE: u64 = 12;
/// Number of callers of orders in each zone.
const CALLERS_PER_ZONE: u64 = 4;
/// Time within which all VMs must be in rotation.
const START_TIME: Duration = Duration::from_secs(10);
/// Time within which a change must be in force on all VMs.
const CONFIG_TIME: Duration = Duration::from_secs(3);
/// Time for which the store is away before it returns from a copy, and the age of the copy.
const AWAY_TIME: Duration = Duration::from_secs(1);
const COPY_AGE: Duration = Duration::from_secs(3);
/// Time after which the operator then writes the configuration again.
const REWRITE_TIME: Duration = Duration::from_millis(500);
/// Time within which a planned stop must end.
const STOP_TIME: Duration = Duration::from_secs(6);
/// Timeout for opening a flow through a VM; a VM that can serve the flow answers sooner.
const OPEN_TIME: Duration = Duration::from_millis(250);
/// Bound for the peak memory of the program on one VM (docs/design/platform.md).
const MAX_MEMORY_KIB: u64 = 8 << 10;

/// Runs all steps on the users' platform.
pub struct PlatformDemo {
    site: Site,
    targets: Vec<FlowTarget>,
    period: Duration,
    failures: Vec<String>,
    served: u64,
    failed: u64,
}

impl PlatformDemo {
    /// Starts site, programs and load, and runs the steps; returns the failures found.
    ///
    /// # Errors
    ///
    /// Returns an error when a step can't be carried out.
    pub async fn run(
        binaries: &Path,
        period: Duration,
        is_short: bool,
        seed: u64,
    ) -> io::Result<Vec<String>> {
        progress("starting the simulated platform and the entry program on each VM");
        let plan = SitePlan {
            program: binaries.join("bambooseam-entry"),
            vms: VMS_PER_ZONE.into(),
        };
        let mut site = Site::new(&plan).await?;
        let orders = site.add_route("orders");
        let mut targets = Vec::new();
        for zone in 0..VMS_PER_ZONE.len() as u8 {
            for number in 1..=TARGETS_PER_ZONE {
                targets.push(site.add_target("orders", zone, number).await?);
            }
        }
        // The service of these entries has no route; they bring the list to the size of a grown
        // deployment.
        for number in 0..IDLE_ENTRIES {
            site.publish_entry(number);
        }
        site.start_all()?;
        let count = VMS_PER_ZONE.iter().map(|vms| usize::from(*vms)).sum();
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
        let traffic = Traffic::start(&demo.site, orders, FEEDS_PER_ZONE, CALLERS_PER_ZONE, seed);
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
        progress("making the store unreachable while entries expire");
        self.site.store.set_unavailable(true);
        sleep(self.period.max(Duration::from_secs(3))).await;
        self.site.store.set_unavailable(false);
        let time = self.change().await;
        sleep(self.period).await;
        self.report("store_away", Some(time));
        progress("returning the store to a copy that lacks the last change");
        self.change().await;
        self.site.store.set_unavailable(true);
        sleep(AWAY_TIME).await;
        self.site.restore_store(COPY_AGE);
        sleep(REWRITE_TIME).await;
        self.site.write_config();
        let time = self.change().await;
        sleep(self.period).await;
        self.report("store_returns", Some(time));
        progress("killing all VMs at once");
        self.kill_all().await?;
        self.report("kill_all", None);
        Ok(())
    }

    /// Adds a route; returns the time until every VM serves the route.
    async fn change(&mut self) -> Duration {
        let frontend = self.site.add_route("orders");
        let start = Instant::now();
        let caller = Arc::clone(&self.site.callers[0]);
        for vm in &self.site.vms {
            while start.elapsed() < CONFIG_TIME {
                let opening = caller.open(frontend, Some(vm.datagrams()));
                if matches!(tokio::time::timeout(OPEN_TIME, opening).await, Ok(Ok(_))) {
                    break;
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        start.elapsed()
    }

    async fn stop_vms(&mut self) -> io::Result<()> {
        let count = self.site.vms.len();
        for vm in 0..count {
            self.site.vms[vm].signal("TERM").await?;
            if self.site.vms[vm].wait(STOP_TIME).await.is_none() {
                self.failures.push(format!(
                    "step=roll_vms cause=\"VM {vm} did not stop within {STOP_TIME:?}\""
                ));
            }
            self.site.vms[vm].start()?;
            self.site.wait_ready(count, START_TIME).await;
        }
        Ok(())
    }

    async fn replace_target(&mut self) -> io::Result<()> {
        self.targets.push(
            self.site
                .add_target("orders", 0, TARGETS_PER_ZONE + 1)
                .await?,
        );
        self.targets[0].drain();
        sleep(Duration::from_secs(4)).await;
        self.targets.remove(0).leave().await;
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

    /// Prints the cost of a step and records failures.
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
        if change.is_some_and(|time| time >= CONFIG_TIME) {
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
        let peak_kib = peaks.into_iter().max().unwrap_or_default();
        println!("measurement=demo deployment=platform peak_kib={peak_kib}");
        if peak_kib == 0 || peak_kib > MAX_MEMORY_KIB {
            self.failures.push(format!("peak_kib={peak_kib}"));
        }
    }
}
