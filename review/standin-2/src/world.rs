//! A small deployment: VMs as separate processes, backends, clients and routers.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bambooseam_standin::site::{Site, SitePlan};
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Identity, Seen, SharedSeen};
use crate::client::Host;
use crate::record::Record;
use crate::rotation::Rotation;

/// Time for which a machine must have been without disruption to be in touch (`contact_ms`).
pub const CONTACT: Duration = Duration::from_millis(4_000);

const BACKEND_PORT: u16 = 8_080;
const BORN: u64 = 1_790_000_000_000;

/// The run of a case.
pub struct World {
    pub site: Site,
    pub rotation: Rotation,
    pub record: Record,
    pub seen: SharedSeen,
    pub backends: Vec<Backend>,
    pub hosts: Vec<Arc<Host>>,
    next_born: u64,
}

impl World {
    /// Creates the store, the VMs (not started) and the routers.
    pub async fn new(program: PathBuf, vms: Vec<u8>) -> std::io::Result<Self> {
        let record = Record::new();
        let plan = SitePlan { program, vms };
        let site = Site::new(&plan).await?;
        let rotation = Rotation::new(&record);
        for vm in &site.vms {
            rotation.add(&vm.id, &vm.zone, vm.datagrams(), vm.ready());
        }
        Ok(Self {
            site,
            rotation,
            record,
            seen: SharedSeen::new(Seen::default().into()),
            backends: Vec::new(),
            hosts: Vec::new(),
            next_born: BORN,
        })
    }

    fn address(&self, third: u8, last: u8) -> Ipv4Addr {
        let SocketAddr::V4(vm) = self.site.vms[0].datagrams() else {
            return Ipv4Addr::LOCALHOST;
        };
        let [first, second, ..] = vm.ip().octets();
        Ipv4Addr::new(first, second, third, last)
    }

    fn client_port(&self) -> u16 {
        self.site.vms[0].datagrams().port()
    }

    /// Starts `count` backends of a service in a zone.
    pub async fn add_backends(
        &mut self,
        service: &str,
        zone: u8,
        count: u8,
    ) -> std::io::Result<()> {
        for _ in 0..count {
            let number = self.backends.len() as u8 + 1;
            let identity = Identity {
                id: format!("i-{:08x}", 0x51a0_0000_u32 + u32::from(number) * 0x1_0101),
                service: service.into(),
                zone: bambooseam_standin::site::zone_name(zone),
                address: SocketAddrV4::new(self.address(64 + zone, number), BACKEND_PORT),
                born: 0,
            };
            self.start_backend(identity).await?;
        }
        Ok(())
    }

    /// Starts a backend anew, with its own time of birth.
    pub async fn start_backend(&mut self, mut identity: Identity) -> std::io::Result<()> {
        self.next_born += 1_013;
        identity.born = self.next_born;
        let port = self.client_port();
        let backend =
            Backend::start(identity, &self.site.store, &self.seen, &self.record, port).await?;
        self.backends.push(backend);
        Ok(())
    }

    /// Adds a client's host in a zone.
    pub async fn add_host(&mut self, zone: u8, number: u8) -> std::io::Result<Arc<Host>> {
        let address = self.address(180 + zone, number);
        let name = bambooseam_standin::site::zone_name(zone);
        let port = self.client_port();
        let host = Host::start(address, port, &name, &self.rotation, &self.record).await?;
        self.hosts.push(Arc::clone(&host));
        Ok(host)
    }

    /// Starts all VMs and waits until all are in rotation; an error if they are not.
    pub async fn start_vms(&mut self) -> std::io::Result<()> {
        self.site.start_all()?;
        let deadline = Instant::now() + Duration::from_secs(15);
        while self.rotation.count() < self.site.vms.len() {
            if Instant::now() > deadline {
                return Err(std::io::Error::other("VMs did not become ready"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Requests that were run by a backend of another service than `service_of` allows.
    pub fn foreign_runs(&self, service_of: impl Fn(&str) -> Option<&'static str>) -> Vec<String> {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let foreign = seen
            .runs
            .iter()
            .filter(|run| service_of(&run.request).is_some_and(|service| service != run.service));
        foreign
            .map(|run| format!("{} ran at {} ({})", run.request, run.backend, run.service))
            .collect()
    }

    pub fn run_count(&self) -> usize {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.runs.len()
    }
}
