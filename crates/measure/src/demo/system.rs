//! Runs the whole system as processes on loopback: platform, targets, and three programs per VM.

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

/// Programs of a VM and their admin ports, in start order.
const PROGRAMS: [(&str, u16); 3] = [
    ("agent", AGENT_ADMIN_PORT),
    ("forwarder", FORWARDER_ADMIN_PORT),
    ("proxy", PROXY_ADMIN_PORT),
];
/// Program that runs the simulated platform and targets.
const STANDIN: &str = "bambooseam-standin";
/// Third byte of the addresses of the platform and of the target hosts.
const EXTERNAL_OCTET: u8 = 4;
/// Port of the platform.
const PLATFORM_PORT: u16 = 8500;
/// Port of a target host's control interface.
const CONTROL_PORT: u16 = 8600;
/// Time within which all programs must be ready.
const READY_TIME: Duration = Duration::from_secs(30);
/// Time within which a change must be in force on all programs.
const IN_FORCE_TIME: Duration = Duration::from_secs(20);
/// Time within which a program must stop after SIGTERM.
const STOP_TIME: Duration = Duration::from_secs(30);
/// Interval at which the status of programs is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Deployment and size of the system.
#[derive(Debug, Clone)]
pub struct SystemPlan {
    /// Kind of deployment.
    pub kind: DeploymentKind,
    /// Number of entry VMs.
    pub vms: u8,
    /// Directory of the programs.
    pub binaries: PathBuf,
}

/// The running system.
#[derive(Debug)]
pub struct System {
    plan: Plan,
    network: u8,
    deployment: Deployment,
    lost: Vec<VmId>,
    platform: SocketAddr,
    hosts: Vec<SocketAddr>,
    processes: Processes,
    directory: PathBuf,
}

impl System {
    /// Creates the system on addresses `127.network` without starting a process. Settings and logs
    /// are written to `directory`.
    pub fn new(plan: &SystemPlan, network: u8, directory: &Path) -> Self {
        let deployment_plan = Plan::of(plan.kind)
            .with_network([127, network])
            .with_vms(plan.vms.into());
        Self {
            network,
            deployment: deployment_plan.build(),
            plan: deployment_plan,
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
    /// Returns an error when a process can't be started or is not ready in time.
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
            let target_args = ["target", "--control", &text, "--zone", zone];
            let args = [target_args.as_slice(), &common].concat();
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

    /// Returns the documents as currently published.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the counts, names and addresses of the deployment.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns an address for callers; numbers start at 0.
    pub fn caller_address(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.network,
            EXTERNAL_OCTET + 1,
            number + 1,
        ))
    }

    /// Returns the forwarders that the fabric sends packets to: those of live VMs that are not
    /// lost.
    pub fn forwarders(&self) -> Vec<SocketAddr> {
        let vms = self.deployment.vms.0.iter();
        vms.filter(|vm| vm.state == VmState::Live && !self.lost.contains(&vm.id))
            .map(|vm| vm.forwarder)
            .collect()
    }

    /// Returns the addresses of a request port on all live VMs that are not lost.
    pub fn request_addresses(&self, port: u16) -> Vec<SocketAddr> {
        let forwarders = self.forwarders();
        forwarders
            .iter()
            .map(|vm| SocketAddr::new(vm.ip(), port))
            .collect()
    }

    /// Switches to a preset; returns the time until it is in force on all programs of all VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such preset, or when it can't be published or is not in
    /// force in time.
    pub async fn switch(&mut self, name: &PresetName) -> io::Result<Duration> {
        if !self.deployment.switch(name) {
            return Err(io::Error::other(format!(
                "the deployment has no preset {name}"
            )));
        }
        let start = Instant::now();
        let text = self.deployment.pointer.to_text();
        self.publish("preset-in-force", text).await?;
        self.wait_in_force(self.deployment.pointer.revision).await?;
        Ok(start.elapsed())
    }

    /// Publishes that a VM is leaving.
    ///
    /// # Errors
    ///
    /// Returns an error when the list can't be published.
    pub async fn announce_leaving_vm(&mut self, id: &VmId) -> io::Result<()> {
        for vm in &mut self.deployment.vms.0 {
            if vm.id == *id {
                vm.state = VmState::Leaving;
            }
        }
        self.publish("vms", self.deployment.vms.to_text()).await
    }

    /// Removes a VM from the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error when the list can't be published.
    pub async fn remove_vm(&mut self, id: &VmId) -> io::Result<()> {
        self.deployment.vms.0.retain(|vm| vm.id != *id);
        self.publish("vms", self.deployment.vms.to_text()).await
    }

    /// Stops the programs of a VM as planned.
    ///
    /// Returns false when a program failed or had to be killed.
    ///
    /// # Errors
    ///
    /// Returns an error when a program does not run.
    pub async fn stop_vm(&mut self, id: &VmId) -> io::Result<bool> {
        let mut is_graceful = true;
        // The agent stops last, so that the other programs keep their view feed while they drain.
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
    /// Returns an error when a program does not run.
    pub async fn kill_vm(&mut self, id: &VmId) -> io::Result<()> {
        for (program, _) in PROGRAMS {
            self.processes.kill(&format!("{id}-{program}")).await?;
        }
        Ok(())
    }

    /// Marks a VM as lost for fabric and callers; the platform still lists the VM.
    pub fn mark_vm_lost(&mut self, id: &VmId) {
        self.lost.push(id.clone());
    }

    /// Publishes that a target is leaving.
    ///
    /// # Errors
    ///
    /// Returns an error when the list can't be published.
    pub async fn announce_leaving_target(&mut self, id: &TargetId) -> io::Result<()> {
        for target in &mut self.deployment.targets.targets {
            if target.id == *id {
                target.state = TargetState::Leaving;
            }
        }
        self.publish("targets", self.deployment.targets.to_text())
            .await
    }

    /// Stops a target and removes it from the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error when a target host does not answer or the list can't be published.
    pub async fn remove_target(&mut self, id: &TargetId) -> io::Result<()> {
        for host in &self.hosts {
            post(*host, "/standin/target", format!("stop {id}")).await?;
        }
        self.deployment
            .targets
            .targets
            .retain(|target| target.id != *id);
        self.publish("targets", self.deployment.targets.to_text())
            .await
    }

    /// Returns the lines that all target hosts answer at a control path.
    ///
    /// # Errors
    ///
    /// Returns an error when a host does not answer.
    pub async fn target_lines(&self, path: &str) -> io::Result<Vec<String>> {
        let mut lines = Vec::new();
        for host in &self.hosts {
            let reply = get(*host, path).await?;
            lines.extend(reply.text.lines().map(str::to_owned));
        }
        Ok(lines)
    }

    /// Returns the names of processes that ended unexpectedly.
    pub fn ended_early(&mut self) -> Vec<String> {
        self.processes.ended_early()
    }

    /// Stops all processes.
    pub async fn stop(&mut self) {
        self.processes.stop_all().await;
    }

    async fn publish(&self, key: &str, text: String) -> io::Result<()> {
        let path = format!("/v1/kv/{}/{key}", Plan::PREFIX);
        let reply = put(self.platform, &path, text).await?;
        if reply.text != "true" {
            return Err(io::Error::other(format!(
                "the platform refused to store {key}"
            )));
        }
        Ok(())
    }

    /// Waits until all programs report ready at `/readyz` and have the published revision in force.
    async fn wait_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + READY_TIME;
        loop {
            if let Some(name) = self.ended_early().first() {
                let line = self.processes.last_line(name);
                return Err(io::Error::other(format!(
                    "{name} ended before it was ready: {line}"
                )));
            }
            let waiting = self.not_ready().await;
            if waiting.is_empty() {
                break;
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!(
                    "not ready after {READY_TIME:?}: {waiting:?}"
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.wait_in_force(self.deployment.pointer.revision).await
    }

    /// Returns the admin addresses of programs that are not ready.
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

    /// Waits until all programs report that `revision` is in force.
    async fn wait_in_force(&self, revision: Revision) -> io::Result<()> {
        let until = Instant::now() + IN_FORCE_TIME;
        for admin in self.admins() {
            while !is_in_force(admin, revision).await {
                if Instant::now() > until {
                    let text = format!(
                        "revision {revision} is not in force at {admin} after {IN_FORCE_TIME:?}"
                    );
                    return Err(io::Error::other(text));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the admin addresses of all programs of the listed VMs.
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

/// Whether the program at `admin` reports that `revision` is in force.
async fn is_in_force(admin: SocketAddr, revision: Revision) -> bool {
    let Ok(reply) = get(admin, "/status").await else {
        return false;
    };
    let status: Value = serde_json::from_str(&reply.text).unwrap_or_default();
    status["revision"].as_u64() == Some(revision.get())
}

/// Returns an address outside the VMs, for the platform or a target host.
fn address(network: u8, number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network, EXTERNAL_OCTET, number))
}
