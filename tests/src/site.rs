//! A running site of the users' platform, with services, targets and traffic.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{FlowTarget, Site, SitePlan, Tally, Traffic};

use crate::programs::program;

/// Bound for a change of configuration that the users set.
pub const CONFIG_BOUND: Duration = Duration::from_secs(3);

/// Longest time that a test waits for VMs: far above what is measured, for a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Seed of all traffic.
const SEED: u64 = 0;

/// Time in which a VM that can serve a flow opens it, on a busy machine.
const OPEN_TIME: Duration = Duration::from_millis(250);

/// A site with a service `orders` and its targets.
#[derive(Debug)]
pub struct RunningSite {
    /// The site.
    pub site: Site,
    /// Its targets.
    pub targets: Vec<FlowTarget>,
    /// Where callers reach `orders`.
    pub orders: SocketAddrV4,
}

impl RunningSite {
    /// Starts a site with so many VMs in each zone, and so many targets of `orders` in each.
    pub async fn start(vms: &[u8], targets: u8) -> Self {
        let mut running = Self::prepare(vms, targets).await;
        running.site.start_all().expect("programs start");
        let count = vms.iter().map(|vms| usize::from(*vms)).sum();
        assert!(
            running.site.wait_ready(count, PATIENCE).await,
            "VMs are not ready"
        );
        running
    }

    /// The same with no VM started.
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

    /// Starts feeds and orders in each zone.
    pub fn traffic(&self, feeds: u64, orders: u64) -> Traffic {
        Traffic::start(&self.site, self.orders, feeds, orders, SEED)
    }

    /// Adds a route and gives how long until every VM of `vms` serves it.
    pub async fn time_change(&mut self, vms: &[usize]) -> Duration {
        let entrance = self.site.add_route("orders");
        let begun = Instant::now();
        for &vm in vms {
            while !self.serves(vm, entrance).await {
                assert!(
                    begun.elapsed() < PATIENCE,
                    "the change never came to VM {vm}"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        begun.elapsed()
    }

    /// Whether a flow opens through one VM at once.
    pub async fn serves(&self, vm: usize, entrance: SocketAddrV4) -> bool {
        let address = self.site.vms[vm].datagrams();
        let opened = self.site.callers[0].open(entrance, Some(address));
        matches!(tokio::time::timeout(OPEN_TIME, opened).await, Ok(Ok(_)))
    }

    /// Waits until a flow opens through one VM.
    pub async fn wait_served(&self, vm: usize) {
        let begun = Instant::now();
        while !self.serves(vm, self.orders).await {
            assert!(begun.elapsed() < PATIENCE, "VM {vm} serves nothing");
        }
    }

    /// Requests served and failed so far.
    pub fn counts(&self) -> (u64, u64) {
        let tally = &self.site.tally;
        (Tally::of(&tally.served), Tally::of(&tally.failed))
    }

    /// Fails when a promise was broken, or a VM that should run does not.
    pub fn check(&mut self) {
        assert_eq!(self.site.tally.broken_promises(), []);
        for vm in &mut self.site.vms {
            assert!(vm.is_running(), "{} has ended by itself", vm.id);
        }
    }
}

/// Waits a while.
pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
