//! What this VM holds: the copy of the published documents, and the steering that follows from it.

use std::cell::RefCell;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bambooseam_observe::LogLimit;
use bambooseam_platform::document::Config;
use bambooseam_platform::{Document, DocumentKind};
use bambooseam_replica::{ApplyOutcome, Change, Changes, Replica};
use bambooseam_steer::{Steering, SteeringEvent, Target};
use bambooseam_types::{Moment, Revision, TargetId};
use tokio::sync::watch;

/// Entries that name no target; anybody may write one.
static UNREADABLE: LogLimit = LogLimit::new("documents_unreadable", 5);

/// Requests without an answer.
static UNANSWERED: LogLimit = LogLimit::new("requests_unanswered", 50);

/// Changes of targets, which come in numbers when a fleet is replaced.
static TARGETS: LogLimit = LogLimit::new("target_changes", 50);

/// Time since a failure of the store for which it counts as away: a call with its time limit, and
/// the longest pause after it.
const AWAY_TIME: Duration = Duration::from_millis(2_000);

/// Who brought documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// A peer.
    Peer(SocketAddr),
}

/// Documents and steering of this VM.
#[derive(Debug)]
pub struct Node {
    replica: Replica,
    steering: Steering,
    config: Option<(u64, Revision)>,
    ready: watch::Sender<bool>,
    /// Whether targets are known, so that packets inside flows can pass.
    forwarding: watch::Sender<bool>,
    /// Targets that were taken before the first whole copy.
    previewed: Vec<TargetId>,
    synced: watch::Sender<Option<Moment>>,
    outage: Option<Moment>,
    is_stopping: bool,
}

/// A node shared by the tasks of one thread; borrowed only between waits.
pub type SharedNode = Rc<RefCell<Node>>;

impl Display for Source {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => write!(f, "store"),
            Self::Peer(address) => write!(f, "{address}"),
        }
    }
}

impl Node {
    /// Creates a node that holds nothing.
    pub fn new(steering: Steering) -> Self {
        Self {
            replica: Replica::new(),
            steering,
            config: None,
            ready: watch::Sender::new(false),
            forwarding: watch::Sender::new(false),
            previewed: Vec::new(),
            synced: watch::Sender::new(None),
            outage: None,
            is_stopping: false,
        }
    }

    /// Takes newer documents; `synced` is when everything up to their end was known to be there.
    /// False when documents between those held and the offered ones are missing.
    pub fn apply(&mut self, changes: Changes, synced: Moment, now: Moment, source: Source) -> bool {
        let newer = match self.replica.apply(changes) {
            ApplyOutcome::Newer(newer) => newer,
            ApplyOutcome::Gap => return false,
        };
        let mut removed = Vec::new();
        let mut held = Vec::new();
        for change in newer {
            match DocumentKind::from_key(&change.key) {
                Ok(DocumentKind::Config) => self.take_config(&change, source),
                Ok(DocumentKind::Target(id)) if change.value.is_none() => removed.push(id),
                Ok(DocumentKind::Target(id)) => {
                    self.take_target(&id, &change, now, source);
                    held.push(id);
                }
                Err(error) => UNREADABLE.report(error),
            }
        }
        removed.extend(self.vanished(held));
        self.remove(&removed, now, source);
        self.steering.record_sync(synced);
        self.synced.send_replace(Some(synced));
        self.forwarding.send_replace(true);
        self.update_ready();
        true
    }

    /// Takes targets before the first whole copy is there: flows that name them can go on.
    pub fn apply_early(&mut self, targets: &[Change], now: Moment) {
        if self.replica.upto().is_some() {
            return;
        }
        for change in targets {
            let Ok(DocumentKind::Target(id)) = DocumentKind::from_key(&change.key) else {
                continue;
            };
            self.take_target(&id, change, now, Source::Store);
            self.previewed.push(id);
        }
        self.forwarding.send_replace(true);
    }

    /// Notes that the store is away, or has answered again after it was.
    pub fn record_outage(&mut self, now: Moment) {
        self.outage = Some(now);
        self.steering.record_outage(now);
    }

    /// Whether the store has failed lately.
    pub fn is_store_away(&self, now: Moment) -> bool {
        self.outage
            .is_some_and(|outage| now.since(outage) <= AWAY_TIME)
    }

    /// Forgets what is over, and logs what was found out.
    pub fn sweep(&mut self, now: Moment) {
        self.steering.drain_response_times(|service, time| {
            let service = service.to_string();
            metrics::histogram!("progress_seconds", "service" => service)
                .record(time.as_secs_f64());
        });
        for notice in self.steering.sweep(now) {
            let limit = match notice {
                SteeringEvent::TimedOut { .. } => &UNANSWERED,
                SteeringEvent::Ended(_)
                | SteeringEvent::Unresponsive { .. }
                | SteeringEvent::Recovered(_)
                | SteeringEvent::ZoneUnresponsive { .. }
                | SteeringEvent::ZoneRecovered(_) => &TARGETS,
            };
            if let Some(suppressed) = limit.admit(std::time::Instant::now()) {
                log::info!("{notice} suppressed={suppressed}");
            }
        }
    }

    /// Ends readiness for good: a planned stop has begun.
    pub fn stop(&mut self) {
        self.is_stopping = true;
        self.update_ready();
    }

    /// Whether the VM may get packets, as it changes.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Whether packets inside flows can pass, as it changes.
    pub fn forwarding(&self) -> watch::Receiver<bool> {
        self.forwarding.subscribe()
    }

    /// When the copy was last known to be current, as it changes.
    pub fn synced(&self) -> watch::Receiver<Option<Moment>> {
        self.synced.subscribe()
    }

    /// How long the copy has not been known to be current; `None` when there is none.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let synced = self.steering.freshness().synced;
        synced.map(|synced| now.since(synced))
    }

    /// The copy of the published documents.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The steering.
    pub fn steering(&self) -> &Steering {
        &self.steering
    }

    /// The steering, for a packet.
    pub fn steering_mut(&mut self) -> &mut Steering {
        &mut self.steering
    }

    /// Version and revision of the configuration in force.
    pub fn config(&self) -> Option<(u64, Revision)> {
        self.config
    }

    /// Targets that were seen early and are not in the first whole copy: they have gone meanwhile.
    fn vanished(&mut self, mut held: Vec<TargetId>) -> Vec<TargetId> {
        let mut previewed = std::mem::take(&mut self.previewed);
        held.sort_unstable();
        previewed.sort_unstable();
        // The first reading may have been begun several times.
        previewed.dedup();
        previewed.retain(|id| held.binary_search(id).is_err());
        previewed
    }

    fn take_config(&mut self, change: &Change, source: Source) {
        let Some(value) = &change.value else {
            log::error!(
                "event=config_removed revision={} outcome=kept",
                change.revision
            );
            return;
        };
        match DocumentKind::Config.parse(value) {
            Ok(Document::Config(config)) => self.force(config, change.revision, source),
            Ok(Document::Target(_)) => {}
            Err(error) => {
                let revision = change.revision;
                log::error!("event=config_unreadable revision={revision} cause={error:?}");
            }
        }
    }

    fn force(&mut self, config: Config, revision: Revision, source: Source) {
        for error in &config.skipped {
            UNREADABLE.report(error);
        }
        let version = config.version;
        let routes = config.routes.len();
        let before = self.config.map_or(0, |(version, _)| version);
        let removed = self.steering.set_routes(config.routes).len();
        self.config = Some((version, revision));
        metrics::gauge!("config_version").set(version as f64);
        log::info!(
            "event=config_in_force version={version} before={before} revision={revision} \
             routes={routes} removed={removed} source={source}"
        );
    }

    fn take_target(&mut self, id: &TargetId, change: &Change, now: Moment, source: Source) {
        let value = change.value.as_deref().unwrap_or_default();
        match DocumentKind::Target(id.clone()).parse(value) {
            Ok(Document::Target(target)) => {
                self.note_target(&target, change.revision, source);
                self.steering.put_target(target, now);
            }
            Ok(Document::Config(_)) => {}
            Err(error) => {
                UNREADABLE.report(format_args!(
                    "{id} at revision {}: {error}",
                    change.revision
                ));
                self.steering.invalidate_target(id);
            }
        }
    }

    /// Logs what an entry changes, but for the warm-up that counts down.
    fn note_target(&self, target: &Target, revision: Revision, source: Source) {
        let roster = self.steering.targets();
        let slot = roster.find(&target.id).and_then(|at| roster.get(at));
        let is_same = slot.is_some_and(|slot| {
            slot.token == target.token() && slot.target.is_leaving == target.is_leaving
        });
        if is_same {
            return;
        }
        let Some(suppressed) = TARGETS.admit(std::time::Instant::now()) else {
            return;
        };
        let state = match target.is_leaving {
            true => "leaving",
            false => "live",
        };
        let (id, token) = (&target.id, target.token());
        let (service, zone, address) = (&target.service, &target.zone, target.address);
        log::info!(
            "event=target_changed target={id} token={token} service={service} zone={zone} \
             address={address} state={state} revision={revision} source={source} \
             suppressed={suppressed}"
        );
    }

    fn remove(&mut self, ids: &[TargetId], now: Moment, source: Source) {
        let kept = self.steering.remove_targets(ids, now);
        for id in ids {
            let Some(suppressed) = TARGETS.admit(std::time::Instant::now()) else {
                continue;
            };
            let standing = kept.iter().find(|(held, _)| held == id);
            let outcome = match standing.and_then(|(_, s)| Some((s, s.until()?))) {
                Some((standing, until)) => format!("{standing} until={until}"),
                None => "ended".into(),
            };
            log::info!(
                "event=target_removed target={id} now={now} source={source} outcome={outcome} \
                 suppressed={suppressed}"
            );
        }
    }

    fn update_ready(&mut self) {
        let is_ready = self.steering.is_ready() && !self.is_stopping;
        let is_changed = self.ready.send_if_modified(|ready| {
            let before = std::mem::replace(ready, is_ready);
            before != is_ready
        });
        if is_changed {
            log::info!("event=readiness_changed ready={is_ready}");
        }
    }
}
