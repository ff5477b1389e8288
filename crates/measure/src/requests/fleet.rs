//! Runs proxies and targets in this process, each proxy on a separate runtime.

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

/// Time within which a proxy must open its ports.
const START_TIME: Duration = Duration::from_secs(10);

/// Proxies and targets of one deployment.
#[derive(Debug)]
pub struct Fleet {
    /// Published documents.
    pub deployment: Deployment,
    /// Proxies, in the order of the VMs.
    pub proxies: Vec<ProxyVm>,
    /// Targets, in the order of the deployment.
    pub targets: Vec<TestTarget>,
    /// Log of the runs on all targets.
    pub log: Arc<RunLog>,
    view_number: u64,
    _network: Network,
}

/// A proxy on one VM.
#[derive(Debug)]
pub struct ProxyVm {
    /// Sender of the views that the proxy receives.
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

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of targets of the orders service.
    pub orders: usize,
    /// Number of targets of the downloads service.
    pub downloads: usize,
    /// Number of worker threads of each proxy.
    pub workers: usize,
}

impl Fleet {
    /// Starts proxies and targets; `edit` changes the text of the preset in force before it is
    /// published.
    ///
    /// # Panics
    ///
    /// Panics when an address is in use or the documents are not valid.
    pub async fn start(plan: FleetPlan, edit: impl Fn(&str) -> String) -> Self {
        Self::start_with_slots(plan, SLOTS, edit).await
    }

    /// Starts proxies and targets like [`Self::start`], with `slots` slots on each target.
    ///
    /// # Panics
    ///
    /// Panics when an address is in use or the documents are not valid.
    pub async fn start_with_slots(
        plan: FleetPlan,
        slots: u32,
        edit: impl Fn(&str) -> String,
    ) -> Self {
        let network = Network::reserve();
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
        for entry in &deployment.targets.targets {
            let id = entry.id.as_str();
            targets.push(TestTarget::start(id, entry.requests, slots, Arc::clone(&log)).await);
        }
        let mut fleet = Self {
            proxies: Vec::new(),
            targets,
            log,
            view_number: 1,
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

    /// Builds the view of the current deployment.
    ///
    /// # Panics
    ///
    /// Panics when the documents are not valid.
    pub fn view(&self) -> Arc<View> {
        let source = self.deployment.source(self.view_number);
        Arc::new(View::build(&source).expect("a valid view"))
    }

    /// Publishes the current deployment to all proxies.
    pub fn publish(&mut self) {
        self.publish_to(|_| true);
    }

    /// Publishes the current deployment to the proxies at the positions that `is_notified` selects.
    pub fn publish_to(&mut self, mut is_notified: impl FnMut(usize) -> bool) {
        self.view_number += 1;
        let view = self.view();
        for (index, vm) in self.proxies.iter().enumerate() {
            if is_notified(index) {
                vm.views.send_replace(Some(Arc::clone(&view)));
            }
        }
    }

    /// Publishes a new state of a VM.
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
    /// Panics when the proxy does not start in time.
    pub async fn start(&mut self, workers: usize) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(workers)
            .enable_all()
            .build()
            .expect("a runtime");
        let start = std::time::Instant::now();
        let settings = self.settings.clone();
        let views = self.views.subscribe();
        let proxy = loop {
            let (settings, views) = (settings.clone(), views.clone());
            let started = runtime.spawn(async move { Proxy::start(&settings, views).await });
            match started.await.expect("no panic") {
                Ok(proxy) => break proxy,
                // The listener of the previous proxy may still be closing.
                Err(_) if start.elapsed() < START_TIME => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(error) => panic!("the proxy did not start within {START_TIME:?}: {error}"),
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
            "the proxy did not open its ports within {START_TIME:?}"
        );
        self.running = Some(RunningProxy {
            proxy,
            runtime,
            stop: Some(stop),
            ended,
        });
    }

    /// Returns the address of a service's request port on this VM.
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address.ip(), port)
    }

    /// Returns the proxy while it runs.
    pub fn proxy(&self) -> Option<&Arc<Proxy>> {
        self.running.as_ref().map(|running| &running.proxy)
    }

    /// Whether the proxy was killed or a planned stop was requested.
    pub fn is_stopped(&self) -> bool {
        self.running
            .as_ref()
            .is_none_or(|running| running.stop.is_none())
    }

    /// Requests a planned stop.
    pub fn stop(&mut self) {
        if let Some(running) = &mut self.running {
            running.stop = None;
        }
    }

    /// Waits until a planned stop is complete.
    pub async fn ended(&mut self) {
        if let Some(running) = &mut self.running {
            let _ = running.ended.wait_for(|ended| *ended).await;
        }
    }

    /// Ends the proxy and all its connections immediately.
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

/// Builds the settings of one VM, with the VM's own addresses.
fn settings(entry: &bambooseam_config::VmEntry) -> Settings {
    let address = entry.proxy.ip();
    let text = format!(
        "[vm]\nid = {}\nzone = {}\naddress = {address}\n\
         [platform]\naddresses = 127.0.0.1:1\n\
         [proxy]\nadmin = {address}:0\nhead-time = 2s\ndrain-time = 60s\n",
        entry.id, entry.zone
    );
    let document = Document::parse("settings", &text).expect("a document");
    Settings::try_from(&document).expect("valid settings")
}
