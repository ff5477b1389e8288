//! The whole system as processes on loopback: platform, targets, and three programs on each VM.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bambooseam_config::{TargetState, VmEntry, VmState};
use bambooseam_standin::http::{get, post, put};
use bambooseam_standin::settings::{AGENT_ADMIN_PORT, FORWARDER_ADMIN_PORT, PROXY_ADMIN_PORT};
use bambooseam_standin::{Deployment, DeploymentKind, Plan};
use bambooseam_types::{PresetName, Revision, TargetId, VmId};
use serde_json::Value;
use tokio::time::Instant;

use super::process::Processes;

/// Programs of a VM and their admin ports, in the order in which they start.
const PROGRAMS: [(&str, u16); 3] = [
    ("agent", AGENT_ADMIN_PORT),
    ("forwarder", FORWARDER_ADMIN_PORT),
    ("proxy", PROXY_ADMIN_PORT),
];
/// Program with the stand-ins.
const STANDIN: &str = "bambooseam-standin";
/// Third byte of the platform's and the target hosts' addresses.
const OUTSIDE: u8 = 4;
/// Port of the platform.
const PLATFORM_PORT: u16 = 8500;
/// Port of a target host's control path.
const CONTROL_PORT: u16 = 8600;
/// Time in which everything must be ready.
const READY_TIME: Duration = Duration::from_secs(30);
/// Time in which a change must be in force everywhere.
const FORCE_TIME: Duration = Duration::from_secs(20);
/// Time in which a program must stop when asked.
const STOP_TIME: Duration = Duration::from_secs(30);
/// Pause between looks at the programs' status.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Which places to run, and how large.
#[derive(Debug, Clone)]
pub struct StagePlan {
    /// Which of the users' places.
    pub kind: DeploymentKind,
    /// Number of entry VMs.
    pub vms: u8,
    /// Directory of the programs.
    pub binaries: PathBuf,
}

/// The running system.
#[derive(Debug)]
pub struct Stage {
    plan: Plan,
    network: u8,
    deployment: Deployment,
    lost: Vec<VmId>,
    platform: SocketAddr,
    hosts: Vec<SocketAddr>,
    processes: Processes,
    directory: PathBuf,
}

impl Stage {
    /// Creates the stage on addresses `127.network`; nothing runs yet. Settings and logs go to
    /// `directory`.
    pub fn new(plan: &StagePlan, network: u8, directory: &Path) -> Self {
        let places = Plan::of(plan.kind)
            .with_network([127, network])
            .with_vms(plan.vms.into());
        Self {
            network,
            deployment: places.build(),
            plan: places,
            platform: SocketAddr::new(address(network, 1), PLATFORM_PORT),
            lost: Vec::new(),
            hosts: Vec::new(),
            processes: Processes::new(&plan.binaries, directory),
            directory: directory.into(),
        }
    }

    /// Starts every process and waits until all are ready with the published revision.
    ///
    /// # Errors
    ///
    /// An error when a process can't be started or is not ready in time.
    pub async fn start(&mut self, kind: DeploymentKind) -> io::Result<()> {
        let common = [
            "--deployment".to_owned(),
            kind.to_string(),
            "--network".to_owned(),
            self.network.to_string(),
            "--vms".to_owned(),
            self.deployment.vms.0.len().to_string(),
        ];
        let common: Vec<&str> = common.iter().map(String::as_str).collect();
        let listen = self.platform.to_string();
        let args = [&["platform", "--listen", &listen], common.as_slice()].concat();
        self.processes.start("platform", STANDIN, &args)?;
        for (index, zone) in (10..).zip(self.plan.zones.clone()) {
            let control = SocketAddr::new(address(self.network, index), CONTROL_PORT);
            let text = control.to_string();
            let own = ["target", "--control", &text, "--zone", zone];
            let args = [own.as_slice(), &common].concat();
            self.processes
                .start(&format!("targets-{zone}"), STANDIN, &args)?;
            self.hosts.push(control);
        }
        for vm in self.deployment.vms.0.clone() {
            self.start_vm(&vm)?;
        }
        self.wait_ready().await
    }

    /// Starts the three programs of a VM.
    fn start_vm(&mut self, vm: &VmEntry) -> io::Result<()> {
        let file = self.directory.join(format!("{}.ini", vm.id));
        std::fs::write(&file, self.deployment.settings(vm, self.platform))?;
        let file = file.display().to_string();
        for (program, _) in PROGRAMS {
            let name = format!("{}-{program}", vm.id);
            let binary = format!("bambooseam-{program}");
            self.processes
                .start(&name, &binary, &["--settings", &file])?;
        }
        Ok(())
    }

    /// The documents as they are published now.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Counts, names and addresses.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Address of callers, numbered from 0.
    pub fn caller_address(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network, OUTSIDE + 1, number + 1))
    }

    /// Where the fabric sends packets: forwarders of VMs that are neither leaving nor lost.
    pub fn forwarders(&self) -> Vec<SocketAddr> {
        let vms = self.deployment.vms.0.iter();
        vms.filter(|vm| vm.state == VmState::Live && !self.lost.contains(&vm.id))
            .map(|vm| vm.forwarder)
            .collect()
    }

    /// Where callers reach a request port: VMs that are neither leaving nor lost.
    pub fn entries(&self, port: u16) -> Vec<SocketAddr> {
        let forwarders = self.forwarders();
        forwarders
            .iter()
            .map(|vm| SocketAddr::new(vm.ip(), port))
            .collect()
    }

    /// Puts a preset in force and gives the time until all programs of all VMs act on it.
    ///
    /// # Errors
    ///
    /// An error when it can't be published or is not in force in time.
    pub async fn switch(&mut self, name: &PresetName) -> io::Result<Duration> {
        if !self.deployment.switch(name) {
            return Err(io::Error::other(format!("no preset {name}")));
        }
        let start = Instant::now();
        let text = self.deployment.pointer.to_text();
        self.publish("preset-in-force", text).await?;
        self.wait_in_force(self.deployment.pointer.revision).await?;
        Ok(start.elapsed())
    }

    /// Announces that a VM is leaving.
    ///
    /// # Errors
    ///
    /// An error when it can't be published.
    pub async fn announce_leaving_vm(&mut self, id: &VmId) -> io::Result<()> {
        for vm in &mut self.deployment.vms.0 {
            if vm.id == *id {
                vm.state = VmState::Leaving;
            }
        }
        self.publish("vms", self.deployment.vms.to_text()).await
    }

    /// Takes a VM from the platform's list.
    ///
    /// # Errors
    ///
    /// An error when it can't be published.
    pub async fn remove_vm(&mut self, id: &VmId) -> io::Result<()> {
        self.deployment.vms.0.retain(|vm| vm.id != *id);
        self.publish("vms", self.deployment.vms.to_text()).await
    }

    /// Stops the programs of a VM as planned; false when one had to be killed or failed.
    ///
    /// # Errors
    ///
    /// An error when a program is not there.
    pub async fn stop_vm(&mut self, id: &VmId) -> io::Result<bool> {
        let mut is_graceful = true;
        // The agent goes last, so that the others keep their view while they drain.
        for (program, _) in PROGRAMS.iter().rev() {
            let name = format!("{id}-{program}");
            let status = self.processes.terminate(&name, STOP_TIME).await?;
            is_graceful &= status.is_some_and(|status| status.success());
        }
        Ok(is_graceful)
    }

    /// Kills the programs of a VM with SIGKILL.
    ///
    /// # Errors
    ///
    /// An error when a program is not there.
    pub async fn kill_vm(&mut self, id: &VmId) -> io::Result<()> {
        for (program, _) in PROGRAMS {
            self.processes.kill(&format!("{id}-{program}")).await?;
        }
        Ok(())
    }

    /// Lets fabric and callers notice that a VM is lost; the platform still lists it.
    pub fn lose_vm(&mut self, id: &VmId) {
        self.lost.push(id.clone());
    }

    /// Announces that a target is leaving.
    ///
    /// # Errors
    ///
    /// An error when it can't be published.
    pub async fn announce_leaving_target(&mut self, id: &TargetId) -> io::Result<()> {
        for target in &mut self.deployment.targets.0 {
            if target.id == *id {
                target.state = TargetState::Leaving;
            }
        }
        self.publish("targets", self.deployment.targets.to_text())
            .await
    }

    /// Stops a target and takes it from the platform's list.
    ///
    /// # Errors
    ///
    /// An error when it is not there or the list can't be published.
    pub async fn remove_target(&mut self, id: &TargetId) -> io::Result<()> {
        for host in &self.hosts {
            post(*host, "/standin/target", format!("stop {id}")).await?;
        }
        self.deployment.targets.0.retain(|target| target.id != *id);
        self.publish("targets", self.deployment.targets.to_text())
            .await
    }

    /// Lines of all target hosts at a control path.
    ///
    /// # Errors
    ///
    /// An error when a host does not answer.
    pub async fn target_lines(&self, path: &str) -> io::Result<Vec<String>> {
        let mut lines = Vec::new();
        for host in &self.hosts {
            let reply = get(*host, path).await?;
            lines.extend(reply.text.lines().map(str::to_owned));
        }
        Ok(lines)
    }

    /// Processes that ended without being asked to.
    pub fn dead(&mut self) -> Vec<String> {
        self.processes.dead()
    }

    /// Stops all processes.
    pub async fn stop(&mut self) {
        self.processes.stop_all().await;
    }

    async fn publish(&self, key: &str, text: String) -> io::Result<()> {
        let path = format!("/v1/kv/{}/{key}", Plan::PREFIX);
        let reply = put(self.platform, &path, text).await?;
        if reply.text != "true" {
            return Err(io::Error::other(format!("{key} was not taken")));
        }
        Ok(())
    }

    /// Waits until `/readyz` of all programs says so and all have the published revision.
    async fn wait_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + READY_TIME;
        loop {
            if let Some(name) = self.dead().first() {
                let line = self.processes.last_line(name);
                return Err(io::Error::other(format!("{name} ended at start: {line}")));
            }
            let waiting = self.not_ready().await;
            if waiting.is_empty() {
                break;
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!("not ready: {waiting:?}")));
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        self.wait_in_force(self.deployment.pointer.revision).await
    }

    /// Admin addresses that are not ready.
    async fn not_ready(&self) -> Vec<SocketAddr> {
        let mut waiting = Vec::new();
        for admin in self.admins() {
            let reply = get(admin, "/readyz").await;
            if reply.is_ok_and(|reply| reply.status.is_success()) {
                continue;
            }
            waiting.push(admin);
        }
        waiting
    }

    /// Waits until all programs say that `revision` is in force.
    async fn wait_in_force(&self, revision: Revision) -> io::Result<()> {
        let until = Instant::now() + FORCE_TIME;
        for admin in self.admins() {
            while !is_in_force(admin, revision).await {
                if Instant::now() > until {
                    let text = format!("revision {revision} is not in force at {admin}");
                    return Err(io::Error::other(text));
                }
                tokio::time::sleep(LOOK_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Admin addresses of all programs of the listed VMs.
    fn admins(&self) -> Vec<SocketAddr> {
        let mut admins = Vec::new();
        for vm in &self.deployment.vms.0 {
            for (_, port) in PROGRAMS {
                admins.push(SocketAddr::new(vm.agent.ip(), port));
            }
        }
        admins
    }
}

/// Whether the program at `admin` says that it acts on `revision`.
async fn is_in_force(admin: SocketAddr, revision: Revision) -> bool {
    let Ok(reply) = get(admin, "/status").await else {
        return false;
    };
    let status: Value = serde_json::from_str(&reply.text).unwrap_or_default();
    status["revision"].as_u64() == Some(revision.get())
}

/// Address of something outside the VMs.
fn address(network: u8, number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network, OUTSIDE, number))
}
