//! The proxy: shared state of its tasks, start, view updates and planned stop.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak};
use std::time::{Duration, SystemTime};

use bambooseam_config::{ProxySettings, Settings, VmSettings, WorkClass};
use bambooseam_observe::decisions;
use bambooseam_peer::feed::ViewReceiver;
use bambooseam_peer::spawn_local_thread;
use bambooseam_types::ServiceName;
use derive_more::{Display, Error, From};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_util::task::TaskTracker;

use crate::keys::KeyRegistry;
use crate::listener::OpenPort;
use crate::owners::Owners;
use crate::peers::{PeerService, Peers, serve_peers};
use crate::pool::Pool;
use crate::retry::RetryBudget;
use crate::routes::{Routes, TargetGroup};
use crate::slots::{ClassEstimator, DrainMeter, SlotOwner, WorkMix};

/// Interval at which time-dependent state is updated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between "not ready" and closing the listeners, in which clients notice the change and stop
/// opening connections.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// Error when starting the proxy.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A thread could not be started or a socket could not be opened.
    #[display("proxy could not start: {_0}")]
    Io(std::io::Error),
}

/// State shared by all tasks of a proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Settings of this VM.
    pub vm: VmSettings,
    /// Settings of this program.
    pub settings: ProxySettings,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Owners of slots in this process.
    pub owners: Owners,
    /// Client for other proxies.
    pub peers: Arc<Peers>,
    /// Idempotency keys that this proxy owns.
    pub keys: Arc<KeyRegistry>,
    /// Permits for opening caller connections.
    pub permits: Arc<Semaphore>,
    /// Open connections of callers.
    pub connections: TaskTracker,
    /// Signals connections to finish their requests and close.
    pub closing: watch::Sender<bool>,
    /// Connections upgraded to another protocol, which carry feeds.
    pub upgraded: TaskTracker,
    routes: RwLock<Option<Arc<Routes>>>,
    services: Mutex<Vec<(ServiceName, Arc<ServiceState>)>>,
    ready: watch::Sender<bool>,
    ports: watch::Sender<Vec<u16>>,
}

/// State that a proxy keeps per service.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Budget for retries.
    pub budget: RetryBudget,
    estimator: Mutex<ClassEstimator>,
    mix: Mutex<WorkMix>,
    drain: Mutex<DrainMeter>,
}

/// Implementation of the service that other proxies call.
#[derive(Debug, Clone)]
struct ProxyPeerService {
    proxy: Weak<Proxy>,
    keys: Arc<KeyRegistry>,
}

impl Proxy {
    /// Starts a proxy on `views`: binds its listener for peers and applies the first view.
    ///
    /// # Errors
    ///
    /// Returns an error if the address for peers can't be bound or a thread can't be started.
    pub async fn start(settings: &Settings, views: ViewReceiver) -> Result<Arc<Self>, StartError> {
        let listener = std::net::TcpListener::bind(settings.proxy.listen)?;
        listener.set_nonblocking(true)?;
        let limit = usize::try_from(settings.proxy.connection_limit).unwrap_or(usize::MAX);
        let proxy = Arc::new(Self {
            vm: settings.vm.clone(),
            settings: settings.proxy.clone(),
            pool: Pool::default(),
            owners: Owners::default(),
            peers: Arc::new(Peers::start()?),
            keys: KeyRegistry::new(),
            permits: Arc::new(Semaphore::new(limit.min(Semaphore::MAX_PERMITS))),
            connections: TaskTracker::new(),
            closing: watch::Sender::new(false),
            upgraded: TaskTracker::new(),
            routes: RwLock::default(),
            services: Mutex::default(),
            ready: watch::Sender::new(false),
            ports: watch::Sender::new(Vec::new()),
        });
        let peer_service = ProxyPeerService {
            proxy: Arc::downgrade(&proxy),
            keys: Arc::clone(&proxy.keys),
        };
        let mut proxy_alive = proxy.ready();
        spawn_local_thread("proxy-desk", move || async move {
            let listener = match TcpListener::from_std(listener) {
                Ok(listener) => listener,
                Err(error) => {
                    log::error!("event=desk_failed cause={:?}", error.to_string());
                    return;
                }
            };
            tokio::select! {
                () = serve_peers(listener, peer_service) => {}
                // Ends when the proxy is dropped, since the watched value never satisfies the
                // predicate.
                _ = proxy_alive.wait_for(|_| false) => {}
            }
        })?;
        proxy.apply_view(&views);
        Ok(proxy)
    }

    /// Serves until `stop` completes, then performs a planned stop.
    ///
    /// Listeners close, idle connections are closed, and requests in progress may finish within the
    /// drain time.
    pub async fn run(self: Arc<Self>, mut views: ViewReceiver, stop: impl Future<Output = ()>) {
        let mut ports: Vec<OpenPort> = Vec::new();
        let mut stop = std::pin::pin!(stop);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.update_ports(&mut ports).await;
            tokio::select! {
                () = &mut stop => break,
                changed = views.changed() => {
                    if changed.is_err() {
                        // The thread that receives views has ended. The last view stays in force.
                        sleep(TICK_INTERVAL).await;
                    }
                    self.apply_view(&views);
                }
                _ = ticks.tick() => {
                    self.owners.tick();
                    self.pool.evict(None);
                }
            }
        }
        self.ready.send_replace(false);
        log::info!("event=stop_begun");
        self.tick_until(sleep(DRAIN_NOTICE)).await;
        drop(ports);
        self.closing.send_replace(true);
        self.connections.close();
        self.upgraded.close();
        let drained = async {
            self.connections.wait().await;
            self.upgraded.wait().await;
        };
        let drained = timeout(self.settings.drain_time, self.tick_until(drained)).await;
        log::info!("event=stop_done drained={}", drained.is_ok());
    }

    /// Returns a watch of whether requests can be served.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Returns a watch of the open request ports, sorted.
    pub fn ports(&self) -> watch::Receiver<Vec<u16>> {
        self.ports.subscribe()
    }

    /// Returns the routes under the view in force.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the state of a service, created on first use.
    pub fn service_state(&self, name: &ServiceName) -> Arc<ServiceState> {
        let mut services = lock(&self.services);
        match services.binary_search_by(|entry| entry.0.cmp(name)) {
            Ok(index) => Arc::clone(&services[index].1),
            Err(index) => {
                let state = Arc::new(ServiceState::default());
                services.insert(index, (name.clone(), Arc::clone(&state)));
                state
            }
        }
    }

    /// Keeps updating time-dependent state until `work` completes.
    async fn tick_until<F: Future>(&self, work: F) -> F::Output {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                output = &mut work => return output,
                () = sleep(TICK_INTERVAL) => self.owners.tick(),
            }
        }
    }

    /// Puts the newest view in force.
    fn apply_view(&self, views: &ViewReceiver) {
        let Some(view) = views.borrow().clone() else {
            return;
        };
        decisions().record_preset(&view.preset.name, view.revision());
        self.owners.update(&view);
        self.pool.evict(Some(&view));
        let current = self.routes();
        let current = current.filter(|routes| routes.view.revision() == view.revision());
        let since = current.map_or_else(SystemTime::now, |routes| routes.since);
        let routes = Routes::new(view, self.vm.id.clone(), self.vm.zone.clone(), since);
        *self.routes.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(routes));
    }

    /// Opens and closes request ports to match the view.
    async fn update_ports(self: &Arc<Self>, ports: &mut Vec<OpenPort>) {
        let Some(routes) = self.routes() else { return };
        let services = routes.view.preset.services.iter();
        let wanted: Vec<u16> = services
            .filter_map(|service| service.request_port)
            .map(|port| port.get())
            .collect();
        ports.retain(|port| wanted.contains(&port.port));
        let mut is_complete = true;
        for port in wanted {
            if ports.iter().any(|open| open.port == port) {
                continue;
            }
            let address = SocketAddr::new(self.settings.address, port);
            match OpenPort::open(self, address).await {
                Ok(open) => ports.push(open),
                Err(error) => {
                    is_complete = false;
                    let cause = error.to_string();
                    log::warn!("event=port_failed address={address} cause={cause:?}");
                }
            }
        }
        let mut open: Vec<u16> = ports.iter().map(|port| port.port).collect();
        open.sort_unstable();
        if *self.ports.borrow() != open {
            self.ports.send_replace(open);
        }
        if *self.ready.borrow() != is_complete {
            self.ready.send_replace(is_complete);
        }
    }
}

impl ServiceState {
    /// Returns the class estimated for a path.
    pub fn class_of(&self, path: &str) -> WorkClass {
        lock(&self.estimator).class_of(path)
    }

    /// Records an arrival and returns the fraction of the service's work that is short.
    pub fn record_arrival(&self, class: WorkClass) -> Option<f64> {
        let mut mix = lock(&self.mix);
        mix.record_arrival(class);
        mix.short_fraction()
    }

    /// Mean service time of a class; zero without samples.
    pub fn mean(&self, class: WorkClass) -> Duration {
        lock(&self.mix).mean(class)
    }

    /// Records a completely delivered response and its service time.
    pub fn record_served(&self, path: &str, class: WorkClass, time: Duration) {
        lock(&self.estimator).record(path, time);
        lock(&self.mix).record_served(class, time);
        lock(&self.drain).record_served(time);
    }

    /// Records a refusal and returns the mean delay after which refused callers should retry.
    pub fn backoff(&self, class: WorkClass, wait: Duration) -> Duration {
        let time = self.mean(class);
        lock(&self.drain).record_refusal(wait, time)
    }
}

impl PeerService for ProxyPeerService {
    fn owner(&self, group: &TargetGroup) -> Option<Arc<SlotOwner>> {
        let proxy = self.proxy.upgrade()?;
        let routes = proxy.routes()?;
        proxy.owners.get(group, &routes.view)
    }

    fn keys(&self) -> &Arc<KeyRegistry> {
        &self.keys
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
