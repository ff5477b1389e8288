//! A complete site on loopback addresses.
//!
//! Store, routers, targets and callers run in this process; each entry VM runs as a process of its
//! own.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use super::target::RouteHistory;
use super::vm::{CONTROL_PORT, DATAGRAM_PORT, READY_PORT};
use super::{CallerHost, Counters, FlowTarget, Router, Store, StoreServer, TargetPlan, Vm};
use crate::Network;

const STORE_PORT: u16 = 8169;
const TARGET_PORT: u16 = 8080;

/// Interval between two heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Number of seed addresses in the settings of a VM.
const SEED_COUNT: usize = 3;

/// Size of a site and the program of its VMs.
#[derive(Debug, Clone)]
pub struct SitePlan {
    /// Program that runs on each VM.
    pub program: PathBuf,
    /// Number of VMs in each zone.
    pub vms: Vec<u8>,
}

/// A simulated site.
#[derive(Debug)]
pub struct Site {
    /// The metadata store.
    pub store: Store,
    /// The routers in front of the VMs.
    pub router: Arc<Router>,
    /// Observations of callers and targets.
    pub counters: Arc<Counters>,
    /// The VMs, ordered by zone.
    pub vms: Vec<Vm>,
    /// One caller's host in each zone.
    pub callers: Vec<Arc<CallerHost>>,
    /// Routes of the published configuration: frontend and service.
    routes: Vec<(SocketAddrV4, String)>,
    route_history: RouteHistory,
    version: u64,
    /// Evacuated zones, sorted.
    evacuated: Vec<u8>,
    incarnation: u64,
    directory: LogDirectory,
    prefix: [u8; 2],
    _network: Network,
}

/// A directory for settings and logs that is removed on drop, unless the thread panics.
#[derive(Debug)]
struct LogDirectory(PathBuf);

impl Drop for LogDirectory {
    fn drop(&mut self) {
        match std::thread::panicking() {
            true => eprintln!("settings and logs are kept in {}", self.0.display()),
            // A directory that can't be removed stays in the system's directory for temporary
            // files.
            false => drop(std::fs::remove_dir_all(&self.0)),
        }
    }
}

impl Site {
    /// Creates a site whose VMs are not started yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use or a file can't be written.
    pub async fn new(plan: &SitePlan) -> io::Result<Self> {
        let network = Network::reserve();
        let prefix = network.prefix();
        let name = format!("bambooseam-site-{}-{}", std::process::id(), prefix[1]);
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let mut site = Self {
            store: Store::default(),
            router: Arc::default(),
            counters: Arc::default(),
            vms: Vec::new(),
            callers: Vec::new(),
            routes: Vec::new(),
            route_history: RouteHistory::default(),
            version: 0,
            evacuated: Vec::new(),
            incarnation: 1_790_000_000_000,
            directory: LogDirectory(directory),
            prefix,
            _network: network,
        };
        tokio::spawn(site.store.clone().expire());
        for (zone, &count) in plan.vms.iter().enumerate() {
            for index in 0..count {
                site.add_vm(&plan.program, zone as u8, index).await?;
            }
            let address = site.address(200, 1 + zone as u8);
            let zone = zone_name(zone as u8);
            let host =
                CallerHost::start(address, DATAGRAM_PORT, &zone, &site.router, &site.counters)
                    .await?;
            site.callers.push(host);
        }
        site.assign_seeds();
        Ok(site)
    }

    /// Starts all VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if a program can't be started.
    pub fn start_all(&mut self) -> io::Result<()> {
        for vm in &mut self.vms {
            vm.start()?;
        }
        Ok(())
    }

    /// Binds a socket at an address that no other part of the site uses, at which a caller
    /// receives.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn caller_socket(&self) -> io::Result<UdpSocket> {
        UdpSocket::bind((self.address(201, 1), DATAGRAM_PORT)).await
    }

    /// Waits until `count` VMs are in rotation; returns false after `limit`.
    pub async fn wait_ready(&self, count: usize, limit: Duration) -> bool {
        let wait = async {
            while self.router.in_rotation() < count {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(limit, wait).await.is_ok()
    }

    /// Starts a target of a service; `number` determines the target's address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn add_target(
        &mut self,
        service: &str,
        zone: u8,
        number: u8,
    ) -> io::Result<FlowTarget> {
        let id = format!(
            "i-{:08x}",
            self.incarnation as u32 ^ u32::from(zone) << 8 ^ u32::from(number) << 16
        );
        self.start_target(&id, service, zone, number).await
    }

    /// Starts a target under an identifier that an earlier target may have used.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn start_target(
        &mut self,
        id: &str,
        service: &str,
        zone: u8,
        number: u8,
    ) -> io::Result<FlowTarget> {
        let plan = self.target_plan(id, service, zone, number);
        self.start_planned(plan, false).await
    }

    /// Starts a target again under the identifier and the address that it had. It can't reach the
    /// store until [`FlowTarget::reconnect`].
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn restart_target(&mut self, plan: &TargetPlan) -> io::Result<FlowTarget> {
        self.start_planned(plan.clone(), true).await
    }

    /// Adds a route, publishes the configuration and returns the route's frontend.
    pub fn add_route(&mut self, service: &str) -> SocketAddrV4 {
        let number = self
            .route_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len() as u8
            + 1;
        let frontend = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443);
        self.routes.push((frontend, service.into()));
        self.publish();
        frontend
    }

    /// Removes a route and publishes the configuration.
    pub fn remove_route(&mut self, frontend: SocketAddrV4) {
        self.routes.retain(|(listed, _)| *listed != frontend);
        self.publish();
    }

    /// Publishes the entry of a target that does not run, for a service without routes.
    pub fn publish_entry(&self, number: u16) {
        let entry = json!({
            "service": "idle", "address": format!("10.9.0.1:{number}"), "zone": zone_name(0),
            "config_version": "v1", "capacity": 2, "state": "ready", "warmup_left_ms": 0,
            "sequence": 1, "born": self.incarnation,
        });
        self.store
            .put(&format!("servers/i-1d1e{number:04x}"), &entry, None);
    }

    /// Publishes the configuration under a new version; returns `None` while the store is
    /// unavailable.
    pub fn publish(&mut self) -> Option<u64> {
        self.version += 3;
        self.write_config()
    }

    /// Evacuates a zone; returns the revision, or `None` while the store is unavailable.
    pub fn evacuate(&mut self, zone: u8) -> Option<u64> {
        let name = zone_name(zone);
        let revision = self.store.put(&evacuation_key(&name), &json!({}), None)?;
        self.counters.evacuate(&name);
        if let Err(at) = self.evacuated.binary_search(&zone) {
            self.evacuated.insert(at, zone);
        }
        Some(revision)
    }

    /// Readmits a zone; returns false while the store is unavailable.
    pub fn readmit(&mut self, zone: u8) -> bool {
        if self.store.is_unavailable() {
            return false;
        }
        let name = zone_name(zone);
        self.counters.readmit(&name);
        self.store.remove(&evacuation_key(&name));
        self.evacuated.retain(|other| *other != zone);
        true
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> &[u8] {
        &self.evacuated
    }

    /// Writes the evacuations again, and removes those that a copy of the store has brought back.
    pub fn write_evacuations(&self) {
        for zone in 0..self.callers.len() as u8 {
            let key = evacuation_key(&zone_name(zone));
            if !self.evacuated.contains(&zone) {
                self.store.remove(&key);
                continue;
            }
            // Without the store nothing can be written; the caller repeats the change later.
            let _ = self.store.put(&key, &json!({}), None);
        }
    }

    /// Returns the store to a copy that is `age` old or older, and makes it available. Each target
    /// then writes its entry again.
    pub fn restore_store(&self, age: Duration) {
        self.store.restore(age);
        self.store.set_unavailable(false);
    }

    /// Writes the configuration with its present version; returns `None` while the store is
    /// unavailable.
    pub fn write_config(&self) -> Option<u64> {
        let mut route_history = self
            .route_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        route_history.extend(self.routes.iter().cloned());
        let routes: Vec<Value> = self.routes.iter().map(route_json).collect();
        let config = json!({
            "config_version": self.version, "routes": routes, "services": [],
            "limits": {"idle_timeout_ms": 15_000},
        });
        self.store.put("op/config", &config, None)
    }

    /// Sets the seed addresses of all VMs and writes their settings files.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) -> io::Result<()> {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        for vm in &mut self.vms {
            vm.settings["seeds"] = json!(seeds);
            vm.write_settings()?;
        }
        Ok(())
    }

    /// Sets the margins of the limit on openings at cold targets, and writes the settings files.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    pub fn set_cold_limit(&mut self, excess: f64, slack: f64) -> io::Result<()> {
        for vm in &mut self.vms {
            vm.settings["contract_params"]["warmup_excess"] = json!(excess);
            vm.settings["contract_params"]["warmup_slack"] = json!(slack);
            vm.write_settings()?;
        }
        Ok(())
    }

    fn target_plan(&self, id: &str, service: &str, zone: u8, number: u8) -> TargetPlan {
        TargetPlan {
            id: id.into(),
            service: service.into(),
            zone: zone_name(zone),
            address: SocketAddrV4::new(self.address(64 + zone, number), TARGET_PORT),
            heartbeat: HEARTBEAT,
        }
    }

    async fn start_planned(&mut self, plan: TargetPlan, is_cut: bool) -> io::Result<FlowTarget> {
        self.incarnation += 1_000;
        FlowTarget::start(
            plan,
            self.incarnation,
            is_cut,
            DATAGRAM_PORT,
            &self.store,
            &self.counters,
            &self.route_history,
        )
        .await
    }

    async fn add_vm(&mut self, program: &Path, zone: u8, index: u8) -> io::Result<()> {
        let address = self.address(10 + zone, 10 + index);
        let number = self.vms.len() as u8 + 1;
        let store_address = SocketAddr::from((self.address(9, number), STORE_PORT));
        let store_server = StoreServer::start(self.store.clone(), store_address).await?;
        let id = format!("front-{}-{}", zone_name(zone), index + 1);
        let settings = json!({
            "node_id": id, "ip": address, "zone": zone_name(zone), "seeds": [],
            "internal_ports": [7720, 7735],
            "listen_addrs": {
                "datagram_addr": format!("{address}:{DATAGRAM_PORT}"),
                "ready": format!("{address}:{READY_PORT}"),
                "control": format!("{address}:{CONTROL_PORT}"),
            },
            "contract_params": {"grace_s": 6},
            "platform": {"address": store_address.to_string()},
        });
        let vm = Vm {
            id,
            zone: zone_name(zone),
            store_server,
            address,
            settings,
            program: program.into(),
            directory: self.directory.0.clone(),
            child: None,
        };
        self.router.add(&vm.zone, vm.datagrams(), vm.ready());
        self.vms.push(vm);
        Ok(())
    }

    fn assign_seeds(&mut self) {
        let seeds: Vec<String> = self
            .vms
            .iter()
            .take(SEED_COUNT)
            .map(|vm| vm.control().to_string())
            .collect();
        for vm in &mut self.vms {
            vm.settings["seeds"] = json!(seeds);
        }
    }

    /// Adds another caller's host in a zone; `number` begins at 1 and is different for each.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound.
    pub async fn add_caller(&self, zone: u8, number: u8) -> io::Result<Arc<CallerHost>> {
        let address = self.address(201 + zone, number);
        let zone = zone_name(zone);
        CallerHost::start(address, DATAGRAM_PORT, &zone, &self.router, &self.counters).await
    }

    fn address(&self, third: u8, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.prefix[0], self.prefix[1], third, last)
    }
}

/// Returns the name of a zone.
pub fn zone_name(zone: u8) -> String {
    format!("zone-{}", char::from(b'a' + zone))
}

/// Returns the key under which the evacuation of a zone is written.
fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

/// Returns a route in the operator's format.
fn route_json((frontend, service): &(SocketAddrV4, String)) -> Value {
    json!({
        "name": format!("r-{frontend}"), "host": frontend.ip(),
        "prefix": format!("/{}/", frontend.port()), "route_type": "safe",
        "timeout_ms": 1_500, "latency_goal_ms": 150, "priority": 2, "service": service,
        "max_attempts": 2,
    })
}
