//! Runs agents as processes with settings of their own.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use bambooseam_config::digest_of;
use bambooseam_standin::{Deployment, DeploymentKind, Plan};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::Options;
use super::cost::Cost;
use super::relay::{Partitions, Relay};

/// Names of the zones of two regions.
pub(crate) const ZONES: [&str; 6] = [
    "skagit",
    "yakima",
    "palouse",
    "subiaco",
    "claremont",
    "fremantle",
];

/// Port of an agent when a relay listens at its published address.
const AGENT_PORT: u16 = 7099;
/// Port of the view feed.
const VIEW_PORT: u16 = 7101;
/// Port of the admin endpoint.
const ADMIN_PORT: u16 = 7110;
/// Platform address at which nothing listens, for zones that do not reach the platform.
const NO_PLATFORM: &str = "127.0.0.1:9";
/// Number of peers in the settings of each agent.
const SEEDS: usize = 5;
/// Prefix of the published keys.
pub(crate) const PREFIX: &str = "bambooseam";

/// All agents.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) deployment: Deployment,
    pub(crate) agents: Vec<Agent>,
    pub(crate) partitions: Partitions,
    zones: usize,
    folder: PathBuf,
    _relays: Vec<Relay>,
}

/// One agent.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) ip: IpAddr,
    pub(crate) zone: usize,
    settings: PathBuf,
    child: Option<Child>,
}

/// Cost and control traffic of an agent so far.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) cost: Cost,
    /// Control bytes sent.
    pub(crate) sent: u64,
    /// Control bytes received.
    pub(crate) received: u64,
}

impl Fleet {
    /// Prepares the deployment, settings and relays; starts no agent.
    pub(crate) async fn plan(options: &Options, platform: SocketAddr) -> io::Result<Self> {
        let mut plan = Plan::of(DeploymentKind::Cascade).with_vms(options.agents);
        plan.zones = ZONES[..options.zones].to_vec();
        let downloads = options.targets / 5 + 1;
        let plan = plan
            .with_targets(
                options.targets - downloads.min(options.targets - 1),
                downloads,
            )
            .with_network([127, options.network]);
        let mut deployment = plan.build();
        add_services(&mut deployment, options);
        let folder =
            std::env::temp_dir().join(format!("bambooseam-control-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let partitions = Partitions::default();
        let mut fleet = Self {
            deployment,
            agents: Vec::new(),
            partitions,
            zones: options.zones,
            folder,
            _relays: Vec::new(),
        };
        for index in 0..options.agents {
            fleet.add(index, options, platform).await?;
        }
        Ok(fleet)
    }

    /// Writes the settings of one agent, and starts a relay in front of the agent when the options
    /// ask for partitions.
    async fn add(
        &mut self,
        index: usize,
        options: &Options,
        platform: SocketAddr,
    ) -> io::Result<()> {
        let vms = &self.deployment.vms.0;
        let vm = &vms[index];
        let zone = index % options.zones;
        let has_platform = options.reaching_zones == 0 || zone < options.reaching_zones;
        let platform = match has_platform {
            true => platform.to_string(),
            false => NO_PLATFORM.into(),
        };
        let ip = vm.agent.ip();
        let listen = match options.cuts + options.regions {
            0 => vm.agent,
            _ => SocketAddr::new(ip, AGENT_PORT),
        };
        let seeds: Vec<String> = (1..=SEEDS.min(vms.len() - 1))
            .map(|step| vms[(index + step * step) % vms.len()].agent.to_string())
            .collect();
        let mut text = format!(
            "[vm]\nid = {}\nzone = {}\naddress = {ip}\n[platform]\naddresses = {platform}\n\
             [agent]\nlisten = {listen}\nviews = {ip}:{VIEW_PORT}\nadmin = {ip}:{ADMIN_PORT}\n\
             [log]\nlevel = {}\nfile = {}\n",
            vm.id,
            vm.zone,
            options.log,
            self.folder.join(format!("{}.log", vm.id)).display(),
        );
        if !seeds.is_empty() {
            text = text.replace("[log]", &format!("peers = {}\n[log]", seeds.join(", ")));
        }
        let settings = self.folder.join(format!("{}.ini", vm.id));
        fs::write(&settings, text)?;
        if options.cuts + options.regions > 0 {
            let relay = Relay::start(vm.agent, listen, self.partitions.clone()).await?;
            self._relays.push(relay);
        }
        self.agents.push(Agent {
            ip,
            zone,
            settings,
            child: None,
        });
        Ok(())
    }

    /// Starts all agents.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        self.agents.iter_mut().try_for_each(Agent::start)
    }

    /// Returns the address of each agent's view feed.
    pub(crate) fn views(&self) -> Vec<SocketAddr> {
        let at = |agent: &Agent| SocketAddr::new(agent.ip, VIEW_PORT);
        self.agents.iter().map(at).collect()
    }

    /// Reads the usage of all agents.
    pub(crate) async fn usage(&self) -> Vec<Usage> {
        let mut all = Vec::new();
        for agent in &self.agents {
            all.push(agent.usage().await);
        }
        all
    }

    /// Returns every second agent of a zone.
    pub(crate) fn rack(&self, zone: usize) -> Vec<usize> {
        let members = (0..self.agents.len()).filter(|index| self.agents[*index].zone == zone);
        members.step_by(2).collect()
    }

    /// Whether an agent is in the first half of the zones.
    pub(crate) fn is_first_region(&self, agent: usize) -> bool {
        self.agents[agent].zone < self.zones.div_ceil(2)
    }

    /// Returns the addresses of the agents in the first half of the zones, and of all other agents.
    pub(crate) fn split_by_region(&self) -> (Vec<IpAddr>, Vec<IpAddr>) {
        let all = 0..self.agents.len();
        let (first, other): (Vec<usize>, Vec<usize>) = all.partition(|a| self.is_first_region(*a));
        let ips = |side: Vec<usize>| side.into_iter().map(|a| self.agents[a].ip).collect();
        (ips(first), ips(other))
    }

    /// Returns the addresses of the agents in a zone, and of all other agents.
    pub(crate) fn split_by_zone(&self, zone: usize) -> (Vec<IpAddr>, Vec<IpAddr>) {
        let (inside, outside): (Vec<&Agent>, Vec<&Agent>) =
            self.agents.iter().partition(|agent| agent.zone == zone);
        let ips = |side: Vec<&Agent>| side.into_iter().map(|agent| agent.ip).collect();
        (ips(inside), ips(outside))
    }
}

/// Adds services without targets to each preset, up to the number that the options ask for.
///
/// Their queue limits differ between presets, so that a switch changes every service.
fn add_services(deployment: &mut Deployment, options: &Options) {
    let existing = 2;
    for (position, (_, text)) in deployment.presets.iter_mut().enumerate() {
        for number in existing..options.services {
            let (third, fourth) = (100 + number / 250, number % 250 + 1);
            text.push_str(&format!(
                "\n[service extra-{number:04}]\nvni = {}\naddress = 127.{}.{third}.{fourth}\n\
                 flow-ports = 7000\nslots = 2\nqueue-limit = {}ms\n",
                1_000 + number,
                options.network,
                1_000 * (position + 1),
            ));
        }
    }
    let name = deployment.pointer.name.clone();
    if let Some(text) = deployment.preset_text(&name) {
        deployment.pointer.digest = digest_of(text);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for agent in &mut self.agents {
            agent.kill();
        }
        if std::env::var_os("BAMBOOSEAM_KEEP_LOGS").is_none() {
            // Temporary files that remain do no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Agent {
    /// Starts the process.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        let child = Command::new(std::env::current_exe()?)
            .args(["control", "--as-agent"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Killing a process that has already ended fails without harm.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name to the process.
    pub(crate) fn signal(&self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = child.id().to_string();
        Command::new("kill").args(["-s", name, &pid]).status()?;
        Ok(())
    }

    /// Reads the usage so far; values that can't be read are zero.
    pub(crate) async fn usage(&self) -> Usage {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let status = self.status().await.unwrap_or_default();
        Usage {
            cost: Cost::of(pid),
            sent: status["sent_bytes"].as_u64().unwrap_or_default(),
            received: status["received_bytes"].as_u64().unwrap_or_default(),
        }
    }

    /// Requests `/status`; `None` without a valid answer.
    pub(crate) async fn status(&self) -> Option<Value> {
        serde_json::from_str(&self.get("/status").await?).ok()
    }

    /// Requests a path of the admin endpoint; `None` without an answer.
    pub(crate) async fn get(&self, path: &str) -> Option<String> {
        let address = SocketAddr::new(self.ip, ADMIN_PORT);
        let stream = TcpStream::connect(address).await.ok()?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.ok()?;
        let connection = tokio::spawn(connection);
        let request = Request::get(path).header("host", "agent");
        let request = request.body(Empty::<Bytes>::new()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        connection.abort();
        String::from_utf8(body.to_vec()).ok()
    }
}
