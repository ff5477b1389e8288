//! A small deployment: the entry program on four VMs in three zones, as processes, with the store,
//! routers, backends and clients of this crate.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Site, SitePlan, zone_name};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::backend::{Arrival, Backend, Plan};
use crate::client::Clients;
use crate::record::Record;
use crate::router::Router;

/// `contact_ms` of the users' small sites.
pub const CONTACT_TIME: Duration = Duration::from_millis(4_000);

/// Longest time until all VMs are ready.
const START_TIME: Duration = Duration::from_secs(20);

/// The running deployment.
pub struct Bed {
    pub site: Site,
    pub router: Arc<Router>,
    pub clients: Arc<Clients>,
    pub backends: Vec<Arc<Backend>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub record: Record,
    network: [u8; 2],
    version: u64,
}

impl Bed {
    /// Starts the VMs and `counts` backends of the service in each zone.
    pub async fn start(
        record: &Record,
        routes: &[(SocketAddrV4, &str)],
        services: &[(&str, [u32; 3])],
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let program = PathBuf::from("target/release/bambooseam-entry");
        let site = Site::new(&SitePlan {
            program,
            vms: vec![2, 1, 1],
        })
        .await?;
        let router = Router::new(record);
        for vm in site.vms.iter().filter(|vm| vm.zone == zone_name(0)) {
            router.add(&vm.id, vm.datagrams(), vm.ready());
        }
        let socket = site.caller_socket().await?;
        let clients = Clients::start(socket, &router, record)?;
        let SocketAddr::V4(first) = site.vms[0].datagrams() else {
            return Err("VMs have IPv4 addresses".into());
        };
        let [a, b, ..] = first.ip().octets();
        let mut bed = Self {
            router,
            clients,
            backends: Vec::new(),
            arrivals: Arc::default(),
            record: record.clone(),
            network: [a, b],
            version: 7,
            site,
        };
        bed.write_config(routes);
        for (service, counts) in services {
            for (zone, count) in (0..).zip(counts) {
                for _ in 0..*count {
                    bed.add_backend(service, zone).await?;
                }
            }
        }
        bed.site.start_all()?;
        let begun = Instant::now();
        while bed.router.in_rotation() < 2 {
            if begun.elapsed() > START_TIME {
                return Err("the VMs are not ready".into());
            }
            sleep(Duration::from_millis(20)).await;
        }
        sleep(CONTACT_TIME + Duration::from_millis(500)).await;
        bed.check_running()?;
        record.note("all machines have been up for contact_ms".into());
        Ok(bed)
    }

    /// Returns an error if the program of a VM has ended.
    pub fn check_running(&mut self) -> Result<(), String> {
        for vm in &mut self.site.vms {
            if !vm.is_running() {
                return Err(format!("the program of {} has ended: {}", vm.id, vm.log()));
            }
        }
        Ok(())
    }

    /// Writes the configuration with the next version.
    pub fn write_config(&mut self, routes: &[(SocketAddrV4, &str)]) {
        self.version += 3;
        self.rewrite_config(routes);
    }

    /// Writes the configuration with the present version.
    pub fn rewrite_config(&mut self, routes: &[(SocketAddrV4, &str)]) {
        let routes: Vec<Value> = routes.iter().map(route).collect();
        let config = json!({
            "config_version": self.version, "routes": routes,
            "services": [],
            "limits": {"idle_timeout_ms": 15_000},
        });
        let revision = self.site.store.put("op/config", &config, None);
        self.record.note(format!(
            "operator: configuration {} is acknowledged at revision {revision:?}",
            self.version
        ));
    }

    /// What has arrived at the backends so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn add_backend(&mut self, service: &str, zone: u8) -> Result<(), std::io::Error> {
        let number = self.backends.len() as u32;
        let ip = Ipv4Addr::new(
            self.network[0],
            self.network[1],
            64 + zone,
            1 + number as u8,
        );
        let plan = Plan {
            service: service.into(),
            zone: zone_name(zone),
            address: SocketAddrV4::new(ip, 8080),
            number,
        };
        let backend = Backend::start(plan, &self.site.store, &self.arrivals, &self.record).await?;
        self.backends.push(backend);
        Ok(())
    }
}

fn route((frontend, service): &(SocketAddrV4, &str)) -> Value {
    json!({
        "name": format!("r-{}", frontend.port()), "host": frontend.ip(),
        "prefix": format!("/{}/", frontend.port()), "route_type": "safe", "timeout_ms": 2_500,
        "latency_goal_ms": 150, "priority": 2, "service": service, "max_attempts": 2,
    })
}
