//! Proxies and targets in this process, each proxy on a runtime of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::{Document, Settings, VmState};
use bambooseam_proxy::Proxy;
use bambooseam_standin::{Deployment, DeploymentKind, Plan};
use bambooseam_view::View;
use tokio::runtime::Runtime;
use tokio::sync::{oneshot, watch};

use super::network::Network;
use super::schedule::SLOTS;
use super::target::{RunLog, TestTarget};

/// Longest time that a proxy may take to open its ports.
const START_TIME: Duration = Duration::from_secs(10);

/// Proxies and targets of one deployment.
#[derive(Debug)]
pub struct Fleet {
    /// What is published.
    pub deployment: Deployment,
    /// Proxies, in the order of VMs.
    pub proxies: Vec<ProxyVm>,
    /// Targets, in the order of the deployment.
    pub targets: Vec<TestTarget>,
    /// Runs of all targets.
    pub log: Arc<RunLog>,
    number: u64,
    _network: Network,
}

/// A proxy on one VM.
#[derive(Debug)]
pub struct ProxyVm {
    /// The view that it is told.
    pub views: watch::Sender<Option<Arc<View>>>,
    settings: Settings,
    address: SocketAddr,
    running: Option<RunningProxy>,
}

#[derive(Debug)]
struct RunningProxy {
    proxy: Arc<Proxy>,
    runtime: Runtime,
    stop: Option<oneshot::Sender<()>>,
    ended: watch::Receiver<bool>,
}

/// Counts of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Entry VMs.
    pub vms: usize,
    /// Targets of the service with orders.
    pub orders: usize,
    /// Targets of the service with downloads.
    pub downloads: usize,
    /// Worker threads of each proxy.
    pub workers: usize,
}

impl Fleet {
    /// Starts proxies and targets; `edit` changes the preset in force before it is published.
    ///
    /// # Panics
    ///
    /// When an address is taken or the documents fail their check.
    pub async fn start(plan: FleetPlan, edit: impl Fn(&str) -> String) -> Self {
        Self::start_with_slots(plan, SLOTS, edit).await
    }

    /// The same with `slots` slots on each target.
    ///
    /// # Panics
    ///
    /// When an address is taken or the documents fail their check.
    pub async fn start_with_slots(
        plan: FleetPlan,
        slots: u32,
        edit: impl Fn(&str) -> String,
    ) -> Self {
        let network = Network::take();
        let mut deployment = Plan::of(DeploymentKind::Cascade)
            .with_vms(plan.vms)
            .with_targets(plan.orders, plan.downloads)
            .with_network(network.prefix())
            .build();
        let text = edit(&deployment.presets[0].1);
        let text = text.replace("slots = 2", &format!("slots = {slots}"));
        deployment.pointer.digest = bambooseam_config::digest_of(&text);
        deployment.presets[0].1 = text;
        let log = Arc::new(RunLog::default());
        let mut targets = Vec::new();
        for entry in &deployment.targets.0 {
            let id = entry.id.as_str();
            targets.push(TestTarget::start(id, entry.requests, slots, Arc::clone(&log)).await);
        }
        let mut fleet = Self {
            proxies: Vec::new(),
            targets,
            log,
            number: 1,
            _network: network,
            deployment,
        };
        let view = fleet.view();
        for entry in &fleet.deployment.vms.0 {
            let settings = settings(entry);
            let port = bambooseam_standin::deployment::ORDERS_PORT;
            let mut vm = ProxyVm {
                views: watch::Sender::new(Some(Arc::clone(&view))),
                address: SocketAddr::new(settings.proxy.address, port),
                settings,
                running: None,
            };
            vm.start(plan.workers).await;
            fleet.proxies.push(vm);
        }
        fleet
    }

    /// The view that the deployment gives now.
    ///
    /// # Panics
    ///
    /// When the documents fail their check.
    pub fn view(&self) -> Arc<View> {
        let source = self.deployment.source(self.number);
        Arc::new(View::build(&source).expect("a checked view"))
    }

    /// Tells all proxies of the deployment as it is now.
    pub fn publish(&mut self) {
        self.publish_to(|_| true);
    }

    /// Tells some proxies, by position, of the deployment as it is now.
    pub fn publish_to(&mut self, mut is_told: impl FnMut(usize) -> bool) {
        self.number += 1;
        let view = self.view();
        for (index, vm) in self.proxies.iter().enumerate() {
            if is_told(index) {
                vm.views.send_replace(Some(Arc::clone(&view)));
            }
        }
    }

    /// Announces that a VM leaves or is back.
    pub fn announce(&mut self, vm: usize, state: VmState) {
        self.deployment.vms.0[vm].state = state;
        self.publish();
    }
}

impl ProxyVm {
    /// Starts the proxy and waits until its ports are open.
    ///
    /// # Panics
    ///
    /// When it does not start in time.
    pub async fn start(&mut self, workers: usize) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(workers)
            .enable_all()
            .build()
            .expect("a runtime");
        let began = std::time::Instant::now();
        let settings = self.settings.clone();
        let views = self.views.subscribe();
        let proxy = loop {
            let (settings, views) = (settings.clone(), views.clone());
            let started = runtime.spawn(async move { Proxy::start(&settings, views).await });
            match started.await.expect("no panic") {
                Ok(proxy) => break proxy,
                // The desk of the one before may still be closing.
                Err(_) if began.elapsed() < START_TIME => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(error) => panic!("the proxy did not start: {error}"),
            }
        };
        let (stop, stopped) = oneshot::channel();
        let (end, ended) = watch::channel(false);
        runtime.spawn({
            let proxy = Arc::clone(&proxy);
            async move {
                let stop = async {
                    let _ = stopped.await;
                };
                proxy.run(views, stop).await;
                end.send_replace(true);
            }
        });
        let mut ready = proxy.ready();
        let ready = ready.wait_for(|ready| *ready);
        let ready = tokio::time::timeout(START_TIME, ready).await;
        assert!(
            matches!(ready, Ok(Ok(_))),
            "the proxy did not open its ports"
        );
        self.running = Some(RunningProxy {
            proxy,
            runtime,
            stop: Some(stop),
            ended,
        });
    }

    /// Where callers reach a service by its request port.
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address.ip(), port)
    }

    /// The proxy, if it runs.
    pub fn proxy(&self) -> Option<&Arc<Proxy>> {
        self.running.as_ref().map(|running| &running.proxy)
    }

    /// Whether it was killed or asked to stop.
    pub fn is_stopped(&self) -> bool {
        self.running
            .as_ref()
            .is_none_or(|running| running.stop.is_none())
    }

    /// Asks for a planned stop.
    pub fn stop(&mut self) {
        if let Some(running) = &mut self.running {
            running.stop = None;
        }
    }

    /// Waits until a planned stop is done.
    pub async fn ended(&mut self) {
        if let Some(running) = &mut self.running {
            let _ = running.ended.wait_for(|ended| *ended).await;
        }
    }

    /// Ends the proxy at once, with all its connections.
    pub fn kill(&mut self) {
        if let Some(running) = self.running.take() {
            running.runtime.shutdown_background();
        }
    }
}

impl Drop for ProxyVm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings of one VM; all addresses are its own.
fn settings(entry: &bambooseam_config::VmEntry) -> Settings {
    let address = entry.proxy.ip();
    let text = format!(
        "[vm]\nid = {}\nzone = {}\naddress = {address}\n\
         [platform]\naddresses = 127.0.0.1:1\n\
         [proxy]\nadmin = {address}:0\nhead-time = 2s\ndrain-time = 60s\n",
        entry.id, entry.zone
    );
    let document = Document::parse("settings", &text).expect("a document");
    Settings::try_from(&document).expect("checked settings")
}
