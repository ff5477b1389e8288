//! The proxy: what its tasks share, its start, its watch over views and its planned stop.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak};
use std::time::{Duration, SystemTime};

use bambooseam_config::{ProxySettings, Settings, VmSettings, WorkClass};
use bambooseam_observe::decisions;
use bambooseam_peer::feed::ViewReceiver;
use bambooseam_peer::local_thread;
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

/// Time between looks at states that change as time passes.
const TICK: Duration = Duration::from_millis(100);

/// Time from "not ready" until listeners close, for whoever sends new connections to notice.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// Why the proxy could not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A thread or socket could not be made.
    #[display("start: {_0}")]
    Io(std::io::Error),
}

/// What all tasks of a proxy share.
#[derive(Debug)]
pub struct Proxy {
    /// This VM.
    pub vm: VmSettings,
    /// Settings of this program.
    pub settings: ProxySettings,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Owners that run here.
    pub owners: Owners,
    /// Other proxies.
    pub peers: Arc<Peers>,
    /// Idempotency keys that this proxy owns.
    pub keys: Arc<KeyRegistry>,
    /// Connections that may still be opened.
    pub permits: Arc<Semaphore>,
    /// Connections of callers.
    pub connections: TaskTracker,
    /// Tells connections to finish what they have and close.
    pub closing: watch::Sender<bool>,
    /// Feeds that have changed protocol.
    pub upgraded: TaskTracker,
    routes: RwLock<Option<Arc<Routes>>>,
    services: Mutex<Vec<(ServiceName, Arc<ServiceState>)>>,
    ready: watch::Sender<bool>,
    ports: watch::Sender<Vec<u16>>,
}

/// What a proxy has seen of a service.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Retries that may be made.
    pub budget: RetryBudget,
    estimator: Mutex<ClassEstimator>,
    mix: Mutex<WorkMix>,
    drain: Mutex<DrainMeter>,
}

/// The side of a proxy that peers ask.
#[derive(Debug, Clone)]
struct ProxyPeerService {
    proxy: Weak<Proxy>,
    keys: Arc<KeyRegistry>,
}

impl Proxy {
    /// Starts a proxy on `views`: its desk for peers and its watch over views.
    ///
    /// # Errors
    ///
    /// An error when the desk's address is taken or a thread can't be started.
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
        local_thread("proxy-desk", move || async move {
            let listener = match TcpListener::from_std(listener) {
                Ok(listener) => listener,
                Err(error) => {
                    log::error!("event=desk_failed cause={:?}", error.to_string());
                    return;
                }
            };
            tokio::select! {
                () = serve_peers(listener, peer_service) => {}
                // Ends when the proxy has been dropped.
                _ = proxy_alive.wait_for(|_| false) => {}
            }
        })?;
        proxy.apply_view(&views);
        Ok(proxy)
    }

    /// Serves until `stop` ends, then stops as planned.
    ///
    /// Listeners close, idle connections are told to go, and requests in progress are finished
    /// for at most the drain time.
    pub async fn run(self: Arc<Self>, mut views: ViewReceiver, stop: impl Future<Output = ()>) {
        let mut ports: Vec<OpenPort> = Vec::new();
        let mut stop = std::pin::pin!(stop);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.update_ports(&mut ports).await;
            tokio::select! {
                () = &mut stop => break,
                changed = views.changed() => {
                    if changed.is_err() {
                        // The feed's thread is gone; the last view stays in force.
                        sleep(TICK).await;
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

    /// Whether requests can be served.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Request ports that are open, sorted.
    pub fn ports(&self) -> watch::Receiver<Vec<u16>> {
        self.ports.subscribe()
    }

    /// Routes under the view in force.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// State of a service.
    pub fn service_state(&self, name: &ServiceName) -> Arc<ServiceState> {
        let mut services = lock(&self.services);
        match services.binary_search_by(|held| held.0.cmp(name)) {
            Ok(index) => Arc::clone(&services[index].1),
            Err(index) => {
                let state = Arc::new(ServiceState::default());
                services.insert(index, (name.clone(), Arc::clone(&state)));
                state
            }
        }
    }

    /// Goes on with time-bound states until `work` ends.
    async fn tick_until<F: Future>(&self, work: F) -> F::Output {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                output = &mut work => return output,
                () = sleep(TICK) => self.owners.tick(),
            }
        }
    }

    /// Puts the newest view in force.
    fn apply_view(&self, views: &ViewReceiver) {
        let Some(view) = views.borrow().clone() else {
            return;
        };
        decisions().note_preset(&view.preset.name, view.revision());
        self.owners.update(&view);
        self.pool.evict(Some(&view));
        let held = self.routes();
        let held = held.filter(|held| held.view.revision() == view.revision());
        let since = held.map_or_else(SystemTime::now, |held| held.since);
        let routes = Routes::new(view, self.vm.id.clone(), self.vm.zone.clone(), since);
        *self.routes.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(routes));
    }

    /// Opens and closes request ports as the view says.
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
    /// Class that was learned for a path.
    pub fn class_of(&self, path: &str) -> WorkClass {
        lock(&self.estimator).class_of(path)
    }

    /// Notes an arrival; returns the part of the service's work that is short.
    pub fn record_arrival(&self, class: WorkClass) -> Option<f64> {
        let mut mix = lock(&self.mix);
        mix.record_arrival(class);
        mix.short_fraction()
    }

    /// Mean service time of a class; zero until one is known.
    pub fn mean(&self, class: WorkClass) -> Duration {
        lock(&self.mix).mean(class)
    }

    /// Notes a whole answer and its service time.
    pub fn record_served(&self, path: &str, class: WorkClass, time: Duration) {
        lock(&self.estimator).record(path, time);
        lock(&self.mix).record_served(class, time);
        lock(&self.drain).record_served(time);
    }

    /// Notes a refusal; returns the time over which refused callers should come back.
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
