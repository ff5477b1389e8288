//! Several agents in one process, each with its own client to one fake platform.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bambooseam_agent::{Agent, Shared};
use bambooseam_config::{Document, Settings};
use bambooseam_measure::control::relay::{Partitions, Relay};
use bambooseam_standin::{Deployment, DeploymentKind, Plan};
use bambooseam_types::{PresetName, VmId};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};

use crate::fake::{FakePlatform, Mode, revision, wait_until};

/// Agents on loopback addresses, connected to each other through relays that tests can cut.
pub struct Fleet {
    pub deployment: Deployment,
    pub platform: FakePlatform,
    pub partitions: Partitions,
    pub nodes: Vec<Node>,
    _relays: Vec<Relay>,
}

/// Agent of one VM.
pub struct Node {
    pub vm: VmId,
    pub shared: Arc<Shared>,
    pub platform: FakePlatform,
    listen: SocketAddr,
    settings: Settings,
    task: Option<JoinHandle<()>>,
}

impl Fleet {
    /// Starts `count` agents in three zones, with the platform of each in `mode`.
    pub async fn start(network: [u8; 2], count: usize, mode: Mode) -> Self {
        let plan = Plan::of(DeploymentKind::Cascade);
        let mut deployment = plan.with_vms(count).with_network(network).build();
        let partitions = Partitions::default();
        let mut listeners = Vec::new();
        let mut relays = Vec::new();
        for vm in &mut deployment.vms.0 {
            let address = SocketAddr::new(vm.agent.ip(), 0);
            let listener = TcpListener::bind(address).await.expect("listener bound");
            let listen = listener.local_addr().expect("socket address");
            let relay = Relay::start(address, listen, partitions.clone()).await;
            let relay = relay.expect("relay started");
            vm.agent = relay.address();
            relays.push(relay);
            listeners.push(listener);
        }
        let platform = FakePlatform::new(&deployment);
        let mut fleet = Self {
            deployment,
            platform,
            partitions,
            nodes: Vec::new(),
            _relays: relays,
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            let node = fleet.start_node(index, listener, mode).await;
            fleet.nodes.push(node);
        }
        fleet
    }

    async fn start_node(&self, index: usize, listener: TcpListener, mode: Mode) -> Node {
        let vm = &self.deployment.vms.0[index];
        let listen = listener.local_addr().expect("socket address");
        let others = self
            .deployment
            .vms
            .0
            .iter()
            .filter(|other| other.id != vm.id);
        let peers: Vec<String> = others
            .map(|other| other.agent.to_string())
            .take(5)
            .collect();
        let text = format!(
            "[vm]\nid = {}\nzone = {}\naddress = {}\n\
             [platform]\naddresses = 127.0.0.1:1\nwatch-time = 2s\npoll-time = 2s\n\
             [agent]\nlisten = {listen}\nviews = 127.0.0.1:0\nbudget = 64KiB/s\n\
             exchanges = 20/s\npeers = {}\n",
            vm.id,
            vm.zone,
            vm.agent.ip(),
            peers.join(", ")
        );
        let document = Document::parse("settings", &text).expect("valid INI");
        let settings = Settings::try_from(&document).expect("valid settings");
        let platform = self.platform.new_client();
        platform.set_mode(mode);
        let mut node = Node {
            vm: vm.id.clone(),
            shared: Agent::bind(with_free_port(&settings))
                .await
                .expect("listener bound")
                .shared(),
            platform,
            listen,
            settings,
            task: None,
        };
        node.run(listener).await;
        node
    }

    /// Publishes the preset called `name` under the next revision, and returns the revision.
    pub fn switch(&mut self, name: &str) -> u64 {
        let name: PresetName = name.parse().expect("valid name");
        assert!(self.deployment.switch(&name));
        let deployment = &self.deployment;
        self.platform.edit(|store| store.publish(deployment));
        self.deployment.pointer.revision.get()
    }

    /// Waits until every running agent serves revision `expected`.
    pub async fn wait_for_revision(&self, expected: u64) {
        for node in &self.nodes {
            if node.is_running() {
                let condition = format!("{} at revision {expected}", node.vm);
                wait_until(&node.shared, &condition, |s| revision(s) == expected).await;
            }
        }
    }

    /// Addresses of the VMs of zone `zone`.
    pub fn zone(&self, zone: &str) -> Vec<IpAddr> {
        let vms = self.deployment.vms.0.iter();
        vms.filter(|vm| vm.zone.as_str() == zone)
            .map(|vm| vm.agent.ip())
            .collect()
    }

    /// Addresses of the VMs outside zone `zone`.
    pub fn outside_zone(&self, zone: &str) -> Vec<IpAddr> {
        let vms = self.deployment.vms.0.iter();
        vms.filter(|vm| vm.zone.as_str() != zone)
            .map(|vm| vm.agent.ip())
            .collect()
    }
}

impl Node {
    /// Whether the agent runs.
    pub fn is_running(&self) -> bool {
        self.task.is_some()
    }

    /// Aborts the agent without an orderly stop.
    pub async fn kill(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            let _ = task.await;
        }
    }

    /// Starts the agent again without any state of the previous process.
    pub async fn restart(&mut self) {
        self.kill().await;
        let listener = loop {
            match TcpListener::bind(self.listen).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        self.run(listener).await;
    }

    /// VMs that the served view excludes as suspected.
    pub fn suspects(&self) -> Vec<String> {
        let sources = self.shared.sources();
        let source = sources.borrow();
        source.suspects.iter().map(ToString::to_string).collect()
    }

    async fn run(&mut self, listener: TcpListener) {
        let views = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("listener bound");
        let agent = Agent::new(self.settings.clone(), listener, views);
        self.shared = agent.shared();
        self.task = Some(spawn_local(agent.run(self.platform.clone())));
    }
}

/// Returns the settings with a port that the system chooses.
fn with_free_port(settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    settings.agent.listen.set_port(0);
    settings
}
