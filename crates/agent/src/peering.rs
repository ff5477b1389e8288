//! Peer selection: one task selects the peers, and one task per selected peer exchanges with it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_peer::PeerError;
use bambooseam_peer::agent::PeerClient;
use bambooseam_types::VmId;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::neighbour::{FULL_MESH_LIMIT, Neighbour, random_neighbours, ring_neighbours};
use crate::shared::Shared;
use bambooseam_peer::{Backoff, jitter};

/// Longest time that an exchange may take, including the connection and the update to the peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the selection of peers is checked.
const SELECTION_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time after which the random peers are replaced; [`jitter`] adds up to half of it.
const SHUFFLE_INTERVAL: Duration = Duration::from_secs(60);

/// The same as [`SHUFFLE_INTERVAL`] while a random peer is unlisted or does not respond.
const REPAIR_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest and longest pause after a failed exchange.
const MIN_RETRY: Duration = Duration::from_millis(400);
const MAX_RETRY: Duration = Duration::from_secs(10);

/// First pause after an exchange in which a peer held a newer document and did not send the
/// document.
const MIN_BEHIND_RETRY: Duration = Duration::from_millis(100);

/// Factor by which the interval between exchanges grows while the budget is overdrawn.
const OVERDRAWN_FACTOR: u32 = 4;

/// Number of listed peers below which the addresses from the settings are used as well.
const MIN_LISTED_PEERS: usize = 2;

/// Most addresses from the settings that are used.
const SEED_LIMIT: usize = 3;

/// Mean of the factor that [`jitter`] applies.
const JITTER_MEAN: f64 = 1.25;

/// Selects peers and runs a task for each of them.
#[derive(Debug)]
pub(crate) struct Peering {
    shared: Arc<Shared>,
    random: Vec<Neighbour>,
    next_shuffle: Instant,
    next_repair: Instant,
    probe: Option<Neighbour>,
    seeds: Vec<SocketAddr>,
    running: Vec<PeerTask>,
    tasks: JoinSet<()>,
    peer_count: watch::Sender<usize>,
}

#[derive(Debug)]
struct PeerTask {
    neighbour: Neighbour,
    handle: AbortHandle,
}

impl Peering {
    /// Creates the peering of an agent.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let agent = &shared.settings().agent;
        let addresses: Vec<SocketAddr> = agent
            .peers
            .iter()
            .copied()
            .filter(|peer| *peer != agent.listen)
            .collect();
        let seeds = addresses.choose_multiple(&mut rand::rng(), SEED_LIMIT);
        Self {
            seeds: seeds.copied().collect(),
            shared,
            random: Vec::new(),
            next_shuffle: Instant::now(),
            next_repair: Instant::now(),
            probe: None,
            running: Vec::new(),
            tasks: JoinSet::new(),
            peer_count: watch::Sender::new(1),
        }
    }

    /// Runs until dropped; all peer tasks end with it.
    pub(crate) async fn run(mut self) {
        let mut changes = self.shared.changes();
        loop {
            while self.tasks.try_join_next().is_some() {}
            let wanted = self.select_peers();
            self.reconcile(wanted);
            tokio::select! {
                () = sleep(SELECTION_INTERVAL) => {}
                // The first list of VMs provides the first peers.
                _ = changes.changed(), if self.running.is_empty() => {}
            }
        }
    }

    /// Selects the peers to exchange with now.
    fn select_peers(&mut self) -> Vec<Neighbour> {
        let settings = self.shared.settings();
        let state = self.shared.lock();
        let list = state.store.vm_list();
        let (local, zone) = (&settings.vm.id, &settings.vm.zone);
        let mut wanted = ring_neighbours(list, local, zone);
        let is_excluded = |vm: &VmId| state.members.is_unresponsive(vm);
        let is_listed =
            |peer: &Neighbour| peer.vm.as_ref().is_some_and(|vm| list.get(vm).is_some());
        let is_missing = self.random.is_empty() && list.0.len() > FULL_MESH_LIMIT;
        let is_degraded = self
            .random
            .iter()
            .any(|peer| !is_listed(peer) || peer.vm.as_ref().is_some_and(is_excluded));
        let now = Instant::now();
        if is_missing || now >= self.next_shuffle || (is_degraded && now >= self.next_repair) {
            let mut rng = rand::rng();
            self.random = random_neighbours(list, local, zone, is_excluded, &mut rng);
            self.next_shuffle = now + jitter(SHUFFLE_INTERVAL);
            self.next_repair = now + jitter(REPAIR_INTERVAL);
            // A suspected VM is contacted from time to time, so that a suspicion ends when the VM
            // responds again.
            let suspects = state.members.suspects();
            let probe = suspects.choose(&mut rng).and_then(|vm| list.get(vm));
            self.probe = probe.map(|vm| Neighbour {
                vm: Some(vm.id.clone()),
                address: vm.agent,
            });
        }
        wanted.extend(self.probe.iter().cloned());
        wanted.extend(self.random.iter().cloned());
        if wanted.len() < MIN_LISTED_PEERS {
            let seeds = self.seeds.iter().map(|address| Neighbour {
                vm: None,
                address: *address,
            });
            wanted.extend(seeds);
        }
        wanted.sort();
        wanted.dedup_by_key(|peer| peer.address);
        wanted
    }

    /// Starts and stops tasks so that there is exactly one per wanted peer.
    fn reconcile(&mut self, wanted: Vec<Neighbour>) {
        self.running.retain(|task| {
            let is_kept = wanted.contains(&task.neighbour);
            if !is_kept {
                task.handle.abort();
            }
            is_kept
        });
        let _ = self.peer_count.send_replace(wanted.len().max(1));
        let vms = wanted.iter().filter_map(|peer| peer.vm.clone());
        self.shared.lock().active_peers = vms.collect();
        for neighbour in wanted {
            if self.running.iter().any(|task| task.neighbour == neighbour) {
                continue;
            }
            let peer = Peer::new(Arc::clone(&self.shared), neighbour.clone());
            let handle = self
                .tasks
                .spawn_local(peer.run(self.peer_count.subscribe()));
            self.running.push(PeerTask { neighbour, handle });
        }
    }
}

/// Task that exchanges with one peer.
struct Peer {
    shared: Arc<Shared>,
    vm: Option<VmId>,
    address: SocketAddr,
    client: Option<PeerClient>,
    failures: Backoff,
    behind: Backoff,
}

/// How an exchange ended.
enum Outcome {
    /// Both sides hold the same versions, as far as the budget allowed.
    Synced,
    /// The peer holds a newer document that it did not send.
    Behind,
}

impl Peer {
    fn new(shared: Arc<Shared>, neighbour: Neighbour) -> Self {
        Self {
            shared,
            vm: neighbour.vm,
            address: neighbour.address,
            client: None,
            failures: Backoff::new(MIN_RETRY, MAX_RETRY),
            behind: Backoff::new(MIN_BEHIND_RETRY, MAX_RETRY),
        }
    }

    /// Exchanges at intervals, and immediately when a document changes that the peer may lack.
    async fn run(mut self, peer_count: watch::Receiver<usize>) {
        let mut changes = self.shared.changes();
        let mut resumes = self.shared.resumes();
        loop {
            changes.mark_unchanged();
            let outcome = match timeout(EXCHANGE_TIMEOUT, self.exchange()).await {
                Ok(outcome) => outcome,
                Err(elapsed) => Err(std::io::Error::from(elapsed).into()),
            };
            let pause = match &outcome {
                Ok(Outcome::Synced) => {
                    self.failures.reset();
                    self.behind.reset();
                    self.interval(*peer_count.borrow())
                }
                Ok(Outcome::Behind) => {
                    self.failures.reset();
                    let interval = self.interval(*peer_count.borrow());
                    self.behind.pause(Duration::ZERO).min(interval)
                }
                Err(error) => {
                    self.client = None;
                    self.record_failure(error);
                    self.failures.pause(Duration::ZERO)
                }
            };
            let is_reachable = outcome.is_ok();
            let pause = sleep(pause);
            tokio::pin!(pause);
            loop {
                tokio::select! {
                    () = &mut pause => break,
                    _ = resumes.changed() => break,
                    _ = changes.changed(), if is_reachable => {
                        if self.shared.is_peer_behind(self.vm.as_ref()) {
                            break;
                        }
                    }
                }
            }
        }
    }

    /// Exchanges once with the peer, and sends the documents that the peer lacks.
    async fn exchange(&mut self) -> Result<Outcome, PeerError> {
        let client = match self.client.take() {
            Some(client) => client,
            None => {
                let meter = Arc::clone(self.shared.meter());
                let source = self.shared.settings().vm.address;
                PeerClient::connect(self.address, source, meter).await?
            }
        };
        let sent = self.shared.begin_exchange(self.vm.as_ref());
        let (summary, update) = client.exchange(&sent).await?;
        let (missing, is_behind_peer) = self.shared.end_exchange(&sent, &summary, &update);
        if !missing.is_empty() {
            client
                .deliver(&self.shared.settings().vm.id, &missing)
                .await?;
            self.shared.record_delivery(&summary.vm, &missing);
        }
        self.vm = Some(summary.vm);
        self.client = Some(client);
        match is_behind_peer {
            true => Ok(Outcome::Behind),
            false => Ok(Outcome::Synced),
        }
    }

    /// Time until the next exchange with this peer, chosen so that the exchanges with all `peers`
    /// peers together have the configured rate; longer while the budget is overdrawn.
    fn interval(&self, peers: usize) -> Duration {
        let rate = self.shared.settings().agent.exchanges.get().max(0.01);
        let base = Duration::from_secs_f64(peers as f64 / rate / JITTER_MEAN);
        let base = jitter(base);
        match self.shared.is_overdrawn() {
            true => base * OVERDRAWN_FACTOR,
            false => base,
        }
    }

    fn record_failure(&self, error: &PeerError) {
        log::debug!(
            "event=exchange_failed peer={} cause={:?}",
            self.address,
            error.to_string()
        );
        let Some(vm) = &self.vm else { return };
        let mut state = self.shared.lock();
        let crate::shared::State { members, store, .. } = &mut *state;
        members.record_failure(vm, store.vm_list(), Instant::now());
    }
}
