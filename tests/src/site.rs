//! A simulated site of the users' platform with running VMs, targets and traffic.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Counters, FlowTarget, Site, SitePlan, Traffic};

use crate::programs::program;

/// Time limit that the users set for a change of configuration to be in force on every VM.
pub const CONFIG_BOUND: Duration = Duration::from_secs(3);

/// Timeout of a wait for VMs. The value is far above the usual time, so that no test fails on a
/// busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Seed of the generated traffic.
const SEED: u64 = 0;

/// Timeout for opening a flow. The value is sufficient on a busy machine if the VM serves the flow.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// A site with the service `orders` and the targets of that service.
#[derive(Debug)]
pub struct RunningSite {
    /// The site.
    pub site: Site,
    /// Targets of `orders`.
    pub targets: Vec<FlowTarget>,
    /// Address and port at which callers reach `orders`.
    pub orders: SocketAddrV4,
}

impl RunningSite {
    /// Starts a site with `vms[zone]` VMs and `targets` targets of `orders` in each zone, and waits
    /// until all VMs are ready.
    pub async fn start(vms: &[u8], targets: u8) -> Self {
        let mut running = Self::prepare(vms, targets).await;
        running.site.start_all().expect("VM processes start");
        let count = vms.iter().map(|vms| usize::from(*vms)).sum();
        assert!(
            running.site.wait_ready(count, WAIT_TIMEOUT).await,
            "{count} VMs are not ready within {WAIT_TIMEOUT:?}"
        );
        running
    }

    /// Creates the same site without starting VMs.
    pub async fn prepare(vms: &[u8], targets: u8) -> Self {
        let plan = SitePlan {
            program: program("bambooseam-entry"),
            vms: vms.into(),
        };
        let mut site = Site::new(&plan).await.expect("a site");
        let orders = site.add_route("orders");
        let mut started = Vec::new();
        for zone in 0..vms.len() as u8 {
            for number in 1..=targets {
                let target = site.add_target("orders", zone, number).await;
                started.push(target.expect("a target"));
            }
        }
        Self {
            site,
            targets: started,
            orders,
        }
    }

    /// Starts `feeds` feeds and `orders` callers of orders in each zone.
    pub fn traffic(&self, feeds: u64, orders: u64) -> Traffic {
        Traffic::start(&self.site, self.orders, feeds, orders, SEED)
    }

    /// Adds a route and returns the time until every VM of `vms` serves the route.
    pub async fn time_change(&mut self, vms: &[usize]) -> Duration {
        let frontend = self.site.add_route("orders");
        let start_time = Instant::now();
        for &vm in vms {
            while !self.serves(vm, frontend).await {
                assert!(
                    start_time.elapsed() < WAIT_TIMEOUT,
                    "VM {vm} does not serve the added route within {WAIT_TIMEOUT:?}"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        start_time.elapsed()
    }

    /// Whether a flow opens through VM `vm` within `OPEN_TIMEOUT`.
    pub async fn serves(&self, vm: usize, frontend: SocketAddrV4) -> bool {
        let address = self.site.vms[vm].datagrams();
        let opened = self.site.callers[0].open(frontend, Some(address));
        matches!(tokio::time::timeout(OPEN_TIMEOUT, opened).await, Ok(Ok(_)))
    }

    /// Waits until a flow opens through VM `vm`.
    pub async fn wait_served(&self, vm: usize) {
        let start_time = Instant::now();
        while !self.serves(vm, self.orders).await {
            assert!(
                start_time.elapsed() < WAIT_TIMEOUT,
                "VM {vm} serves no flow within {WAIT_TIMEOUT:?}"
            );
        }
    }

    /// Returns the numbers of served and failed requests so far.
    pub fn counts(&self) -> (u64, u64) {
        let counters = &self.site.counters;
        (
            Counters::value(&counters.served),
            Counters::value(&counters.failed),
        )
    }

    /// Panics if an invariant was violated, or if a VM that should be running has exited.
    pub fn check(&mut self) {
        assert_eq!(self.site.counters.violations(), []);
        for vm in &mut self.site.vms {
            assert!(
                vm.is_running(),
                "VM {} has exited without a stop request",
                vm.id
            );
        }
    }
}

/// Sleeps for `millis` milliseconds.
pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
