//! State of this VM: its replica of the published documents, and the steering derived from the
//! replica.
//!
//! Changes arrive from the platform's store and from peers. [`Node`] orders them by revision,
//! applies them to the steering, logs what changed, and publishes whether the VM is ready.

use std::cell::RefCell;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_observe::LogLimit;
use bambooseam_peer::replica::{TokenReading, TokenSupport};
use bambooseam_platform::document::Config;
use bambooseam_platform::{Document, DocumentKind, PublishedContent};
use bambooseam_replica::{ApplyOutcome, Change, Changes, Held, Key, Replica};
use bambooseam_steer::{EntryStatus, Steering, SteeringEvent, Target, TargetRecord};
use bambooseam_types::{EarlierStart, Moment, Revision, TargetId, Token, ZoneId};
use tokio::sync::watch;

use crate::or_none::OrNone;
use crate::pause::PauseDetector;
use crate::token_support::FleetSupport;

/// Limits warnings about invalid documents, because any user of the store may write one.
static INVALID_DOCUMENTS: LogLimit = LogLimit::new("documents_unreadable", 5);

/// Limits log lines about requests without an answer.
static UNANSWERED: LogLimit = LogLimit::new("requests_unanswered", 50);

/// Limits log lines about openings that were rejected because their service is full.
static REJECTIONS: LogLimit = LogLimit::new("rejection_lines", 20);

/// Limits log lines about changes of targets, which are frequent while a fleet is replaced.
static TARGET_CHANGES: LogLimit = LogLimit::new("target_changes", 50);

/// Limits log lines about evacuations, because any user of the store may write one.
static EVACUATIONS: LogLimit = LogLimit::new("evacuations", 20);
/// Limits log lines about limits of targets, apart from those about failures of targets.
static LIMIT_CHANGES: LogLimit = LogLimit::new("limit_changes", 10);

/// Time after a failed store call for which the store counts as unavailable. The value covers the
/// next call with its timeout, and the maximum backoff between the calls.
const STORE_OUTAGE_TIME: Duration = Duration::from_millis(2_000);

/// Longest time between two confirmations of the replica while the store answers: the largest age of
/// a replica that may be followed (1.15 s), and the latency of calls.
const MAX_CONFIRMATION_GAP: Duration = Duration::from_millis(1_500);

/// Size of a transfer in bytes from which it may delay packets noticeably: 25 ms at 10 Mbit/s.
const LARGE_TRANSFER_BYTES: usize = 32 << 10;

/// Time after which an entry of the store's copy is accepted although it was not written anew: three
/// heartbeats, after which the store has removed the entries of ended targets, with a reserve. An
/// evacuation that the copy lacks stays in force for the same time.
const MAX_UNRENEWED_TIME: Duration = Duration::from_secs(10);

/// Origin of received documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// A peer.
    Peer(SocketAddr),
}

/// Documents and steering state of this VM.
#[derive(Debug)]
pub struct Node {
    replica: Replica<PublishedContent>,
    steering: Steering,
    /// Version and revision of the configuration in force.
    config: Option<(u64, Revision)>,
    ready: watch::Sender<bool>,
    /// Whether targets are known, so that packets of open flows can be forwarded.
    forwarding: watch::Sender<bool>,
    /// Targets applied before the replica was first complete, and not confirmed since.
    early_targets: Vec<EarlyTarget>,
    /// When the replica was last confirmed to be current.
    synced: watch::Sender<Option<Moment>>,
    /// Time of the last store outage, or of its end.
    outage: Option<Moment>,
    /// When this VM learned of the store's current era, if it keeps documents of an earlier one.
    era_begun: Option<Moment>,
    pauses: PauseDetector,
    fleet: FleetSupport,
    is_stopping: bool,
}

/// A target that was read from the store before the replica was first complete.
#[derive(Debug)]
struct EarlyTarget {
    id: TargetId,
    key: Key,
    /// Revision of the entry.
    revision: Revision,
}

/// A node shared by the tasks of one thread. A borrow must not be held across an `await`.
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
    /// Creates a node without documents.
    pub fn new(steering: Steering) -> Self {
        Self {
            replica: Replica::new(PublishedContent),
            steering,
            config: None,
            ready: watch::Sender::new(false),
            forwarding: watch::Sender::new(false),
            early_targets: Vec::new(),
            synced: watch::Sender::new(None),
            outage: None,
            era_begun: None,
            pauses: PauseDetector::default(),
            fleet: FleetSupport::default(),
            is_stopping: false,
        }
    }

    /// Applies newer documents. `synced` is the time at which the documents were confirmed to be
    /// complete and current.
    ///
    /// Returns false when changes between the replica and the offered changes are missing, or when
    /// the changes belong to an earlier era of the store.
    pub fn apply(&mut self, changes: Changes, synced: Moment, now: Moment, source: Source) -> bool {
        let before = self.replica.held();
        let watched = changes
            .after
            .filter(|_| source == Source::Store)
            .map(|_| changes.upto);
        let newer = match self.replica.apply(changes) {
            ApplyOutcome::Newer(newer) => newer,
            ApplyOutcome::Gap | ApplyOutcome::Outdated => return false,
        };
        if let Some(upto) = watched {
            self.replica.confirm_exact(upto);
        }
        if before.upto.is_some() && before.era != Some(self.replica.era()) {
            self.begin_era(&before, now, source);
        }
        let kept_digest = self.replica.held().kept_digest;
        if self.era_begun.is_none()
            && before.kept_digest != kept_digest
            && self.replica.has_unrenewed()
        {
            // This VM has started in the current era, and a peer has kept documents.
            self.era_begun = Some(now);
        }
        let mut removed = Vec::new();
        let mut zones = Vec::new();
        for change in newer {
            match DocumentKind::from_key(&change.key) {
                Ok(DocumentKind::Config) => self.apply_config(&change, source),
                Ok(DocumentKind::Target(id)) if change.value.is_none() => removed.push(id),
                Ok(DocumentKind::Target(id)) => self.apply_target(&id, &change, now, source),
                Ok(DocumentKind::Evacuation(zone)) => zones.push((zone, change)),
                Err(error) => INVALID_DOCUMENTS.report(error),
            }
        }
        removed.extend(self.removed_early());
        self.remove(&removed, now, source);
        // Evacuations follow the targets of the same batch, so that the log shows their number.
        for (zone, change) in zones {
            let age = now.since(synced);
            match self.replica.content(&change.key).is_some() {
                true => self.evacuate(zone, change.revision, age, now, source),
                false => self.readmit(&zone, change.revision, age, now, source),
            }
        }
        self.record_gap(synced);
        self.steering.record_sync(synced);
        self.synced.send_replace(Some(synced));
        self.forwarding.send_replace(true);
        self.update_ready();
        true
    }

    /// Applies targets before the replica is first complete, so that open flows of these targets
    /// can continue.
    pub fn apply_early(&mut self, targets: &[Change], now: Moment) {
        if self.replica.upto().is_some() {
            return;
        }
        for change in targets {
            let Ok(DocumentKind::Target(id)) = DocumentKind::from_key(&change.key) else {
                continue;
            };
            self.apply_target(&id, change, now, Source::Store);
            self.early_targets.push(EarlyTarget {
                id,
                key: Arc::clone(&change.key),
                revision: change.revision,
            });
        }
        self.forwarding.send_replace(true);
    }

    /// Records earlier starts of targets that a peer knows.
    pub fn record_earlier_starts(
        &mut self,
        starts: Vec<EarlierStart>,
        now: Moment,
        source: Source,
    ) {
        let count = self.steering.record_earlier_starts(starts, now);
        if count > 0 {
            log::info!("event=earlier_starts_received starts={count} source={source}");
        }
    }

    /// Records that the settings name no other VM.
    pub fn record_alone(&mut self, now: Moment) {
        self.fleet.record_alone();
        self.update_token_form(now);
    }

    /// Records what a VM says in its request about the tokens that VMs read.
    pub fn record_token_request(&mut self, reading: TokenReading, now: Moment) {
        self.fleet.record_request(reading, now);
        self.update_token_form(now);
    }

    /// Records what another VM, asked at `asked`, knows of the tokens that VMs read.
    pub fn record_token_support(&mut self, support: TokenSupport, asked: Moment, now: Moment) {
        self.fleet.record_response(support, asked, now);
        self.update_token_form(now);
    }

    /// Returns what this VM says in its requests about the tokens that VMs read.
    pub fn token_reading(&self, now: Moment) -> TokenReading {
        self.fleet.reading(now)
    }

    /// Returns what this VM answers about the tokens that VMs read.
    pub fn token_support(&self, now: Moment) -> TokenSupport {
        self.fleet.support(now)
    }

    fn update_token_form(&mut self, now: Moment) {
        let form = self.fleet.form(now);
        let before = self.steering.set_token_form(form);
        if form == before {
            return;
        }
        let older = self.fleet.support(now).older_age;
        log::info!(
            "event=token_form_changed form={form} before={before} older_vm_ms={}",
            OrNone(older.map(|age| age.as_millis()))
        );
    }

    /// Lets the view settle anew if it was not confirmed for a while before `synced`: the store may have
    /// been unavailable without a failed call of this VM.
    fn record_gap(&mut self, synced: Moment) {
        let freshness = self.steering.freshness();
        let is_gap = |previous| synced.since(previous) > MAX_CONFIRMATION_GAP;
        if !freshness.is_settled() && freshness.synced.is_some_and(is_gap) {
            self.steering.restart_settling();
        }
    }

    /// Records that the store is unavailable, or that it answered again after an outage.
    pub fn record_outage(&mut self, now: Moment) {
        self.outage = Some(now);
        self.steering.record_outage(now);
    }

    /// Whether the store failed recently.
    pub fn is_store_unavailable(&self, now: Moment) -> bool {
        self.outage
            .is_some_and(|outage| now.since(outage) <= STORE_OUTAGE_TIME)
    }

    /// Records that the thread is running, before it decides about packets. After a pause, openings
    /// wait for a current view.
    pub fn record_turn(&mut self, now: Moment) {
        if let Some(paused) = self.pauses.record_turn(now) {
            let age = self.age(now).unwrap_or_default();
            log::warn!(
                "event=pause_found paused_ms={} view_age_ms={}",
                paused.as_millis(),
                age.as_millis()
            );
            self.steering.record_resumption(now);
        }
    }

    /// Removes expired state, and logs the events found since the last call.
    pub fn sweep(&mut self, now: Moment) {
        self.record_turn(now);
        self.update_token_form(now);
        self.release_unrenewed(now);
        self.steering.drain_response_times(|service, time| {
            let service = service.to_string();
            metrics::histogram!("progress_seconds", "service" => service)
                .record(time.as_secs_f64());
        });
        self.record_admissions();
        for event in self.steering.sweep(now) {
            match event {
                SteeringEvent::StallEnded { .. } => metrics::counter!("stalls_ended").increment(1),
                SteeringEvent::IsolationBegan { .. } => metrics::gauge!("isolated").set(1.0),
                SteeringEvent::IsolationEnded { opened, .. } => {
                    metrics::gauge!("isolated").set(0.0);
                    metrics::counter!("evacuated_openings").increment(opened);
                }
                _ => {}
            }
            let limit = match event {
                SteeringEvent::TimedOut { .. } => &UNANSWERED,
                SteeringEvent::LimitChanged { .. } => &LIMIT_CHANGES,
                SteeringEvent::Rejected { .. } => &REJECTIONS,
                SteeringEvent::Ended(_)
                | SteeringEvent::DisputeSettled(..)
                | SteeringEvent::Unresponsive { .. }
                | SteeringEvent::Recovered(_)
                | SteeringEvent::Stalled { .. }
                | SteeringEvent::StallEnded { .. }
                | SteeringEvent::ColdShare { .. }
                | SteeringEvent::OverloadBegan { .. }
                | SteeringEvent::OverloadEnded { .. }
                | SteeringEvent::IsolationBegan { .. }
                | SteeringEvent::IsolationEnded { .. }
                | SteeringEvent::ZoneUnresponsive { .. }
                | SteeringEvent::ZoneRecovered(_) => &TARGET_CHANGES,
            };
            if let Some(suppressed) = limit.admit(std::time::Instant::now()) {
                log::info!("{event} suppressed={suppressed}");
            }
        }
    }

    /// Publishes expected response times and limits of targets by service.
    pub fn publish_speeds(&self) {
        for (service, summary) in self.steering.speed_summaries() {
            for (at, of) in ["min", "median", "max"].into_iter().enumerate() {
                let labels = [("service", service.to_string()), ("of", of.to_owned())];
                metrics::gauge!("target_expected_seconds", &labels)
                    .set(summary.expected[at].as_secs_f64());
                metrics::gauge!("target_limit", &labels).set(f64::from(summary.limit[at]));
            }
            metrics::gauge!("targets_limited", "service" => service.to_string())
                .set(summary.limited as f64);
        }
    }

    /// Updates the metrics of admission control.
    fn record_admissions(&mut self) {
        metrics::gauge!("admission_waiting").set(self.steering.waiting_count() as f64);
        let stats = self.steering.drain_admission_stats();
        metrics::counter!("admission_admitted").increment(stats.admitted);
        for wait in stats.waits {
            metrics::histogram!("admission_wait_seconds").record(wait.as_secs_f64());
        }
        for ((frontend, cause), count) in stats.rejected {
            let (frontend, cause) = (frontend.to_string(), cause.to_string());
            metrics::counter!("admission_rejected", "frontend" => frontend, "cause" => cause)
                .increment(count);
        }
    }

    /// Ends readiness permanently, because a planned stop has begun.
    pub fn stop(&mut self) {
        self.is_stopping = true;
        self.update_ready();
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Returns a channel that reports whether the VM may receive packets.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Returns a channel that reports whether packets of open flows can be forwarded.
    pub fn forwarding(&self) -> watch::Receiver<bool> {
        self.forwarding.subscribe()
    }

    /// Returns a channel that reports the time at which the replica was last confirmed to be
    /// current.
    pub fn synced(&self) -> watch::Receiver<Option<Moment>> {
        self.synced.subscribe()
    }

    /// Returns the time since the replica was last confirmed to be current; `None` when there is no
    /// replica.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let synced = self.steering.freshness().synced;
        synced.map(|synced| now.since(synced))
    }

    /// Returns the replica of the published documents.
    pub fn replica(&self) -> &Replica<PublishedContent> {
        &self.replica
    }

    /// Returns the steering state.
    pub fn steering(&self) -> &Steering {
        &self.steering
    }

    /// Returns the steering state for the decision about a packet.
    pub fn steering_mut(&mut self) -> &mut Steering {
        &mut self.steering
    }

    /// Returns the version and the revision of the configuration in force.
    pub fn config(&self) -> Option<(u64, Revision)> {
        self.config
    }

    /// Returns the targets that were applied early and have been removed since. An entry that is newer
    /// than the replica, whose first copy may come from a peer that is behind the store, is kept until
    /// the replica covers its revision.
    fn removed_early(&mut self) -> Vec<TargetId> {
        let replica = &self.replica;
        let is_missing = |early: &EarlyTarget| replica.get(&early.key).is_none();
        self.early_targets.retain(is_missing);
        let covered = self
            .early_targets
            .extract_if(.., |early| replica.upto() >= Some(early.revision));
        let mut removed: Vec<_> = covered.map(|early| early.id).collect();
        // The first read may have been started several times.
        removed.sort_unstable();
        removed.dedup();
        removed
    }

    /// Records a transfer of `size` bytes from or to another machine, which may fill the link of this
    /// VM if it is large.
    pub fn record_transfer(&mut self, size: usize, now: Moment) {
        if size >= LARGE_TRANSFER_BYTES {
            self.steering.record_transfer(size, now);
        }
    }

    /// Records that the store returned from an older copy, which lacks some of the entries.
    fn begin_era(&mut self, before: &Held, now: Moment, source: Source) {
        let era = self.replica.era();
        self.era_begun = Some(now);
        self.record_outage(now);
        self.steering.restart_settling();
        log::warn!(
            "event=store_era_changed before={} era={era} upto_before={} upto={} kept={} \
             source={source}",
            before.era.unwrap_or_default(),
            before.upto.unwrap_or_default(),
            self.replica.upto().unwrap_or_default(),
            self.replica.kept_count(),
        );
    }

    /// Accepts entries of the store's copy that their targets have not written anew in time, since
    /// a target may have written exactly what the copy contains.
    fn release_unrenewed(&mut self, now: Moment) {
        let is_due = |begun| now.since(begun) > MAX_UNRENEWED_TIME;
        if !self.era_begun.is_some_and(is_due) {
            return;
        }
        self.era_begun = None;
        let upto = self.replica.upto().unwrap_or_default();
        let age = self.age(now).unwrap_or_default();
        for key in self.replica.release_unrenewed() {
            match DocumentKind::from_key(&key) {
                Ok(DocumentKind::Target(id)) => {
                    log::info!("event=entry_accepted target={id} cause=not_written_anew");
                    self.steering.renew_target(&id);
                }
                Ok(DocumentKind::Evacuation(zone)) => {
                    self.readmit(&zone, upto, age, now, Source::Store);
                }
                Ok(DocumentKind::Config) | Err(_) => {}
            }
        }
    }

    /// Excludes the targets of a zone from new flows. `age` is the age of the documents.
    fn evacuate(
        &mut self,
        zone: ZoneId,
        revision: Revision,
        age: Duration,
        now: Moment,
        source: Source,
    ) {
        if !self.steering.evacuate(zone.clone(), revision, now) {
            return;
        }
        metrics::gauge!("zone_evacuated", "zone" => zone.to_string()).set(1.0);
        let Some(suppressed) = EVACUATIONS.admit(std::time::Instant::now()) else {
            return;
        };
        let flows = self.steering.zone_flows();
        let flows = flows.iter().find(|(other, _)| **other == zone);
        let targets = self.steering.targets().iter();
        let targets = targets.filter(|(_, record)| record.target.zone == zone);
        log::info!(
            "event=zone_evacuated zone={zone} revision={revision} age_ms={} targets={} flows={} \
             source={source} suppressed={suppressed}",
            age.as_millis(),
            targets.count(),
            flows.map_or(0, |(_, flows)| *flows),
        );
    }

    /// Readmits a zone. `age` is the age of the documents.
    fn readmit(
        &mut self,
        zone: &ZoneId,
        revision: Revision,
        age: Duration,
        now: Moment,
        source: Source,
    ) {
        let Some(evacuated) = self.steering.readmit(zone, now) else {
            return;
        };
        metrics::gauge!("zone_evacuated", "zone" => zone.to_string()).set(0.0);
        let Some(suppressed) = EVACUATIONS.admit(std::time::Instant::now()) else {
            return;
        };
        log::info!(
            "event=zone_returned zone={zone} revision={revision} age_ms={} evacuated_ms={} \
             source={source} suppressed={suppressed}",
            age.as_millis(),
            evacuated.as_millis(),
        );
    }

    fn apply_config(&mut self, change: &Change, source: Source) {
        let Some(value) = &change.value else {
            log::error!(
                "event=config_removed revision={} outcome=kept",
                change.revision
            );
            return;
        };
        match DocumentKind::Config.parse(value) {
            Ok(Document::Config(config)) => self.activate(config, change.revision, source),
            Ok(Document::Target(_) | Document::Evacuation(_)) => {}
            Err(error) => {
                let revision = change.revision;
                log::error!("event=config_unreadable revision={revision} cause={error:?}");
            }
        }
    }

    fn activate(&mut self, config: Config, revision: Revision, source: Source) {
        for error in &config.skipped {
            INVALID_DOCUMENTS.report(error);
        }
        let version = config.version;
        if let Some((in_force, _)) = self.config
            && version <= in_force
        {
            // The operator writes the configuration again after the store returned from a copy.
            if version == in_force {
                self.config = Some((version, revision));
            }
            log::info!(
                "event=config_not_newer version={version} in_force={in_force} \
                 revision={revision} source={source} outcome=kept"
            );
            return;
        }
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

    fn apply_target(&mut self, id: &TargetId, change: &Change, now: Moment, source: Source) {
        let value = change.value.as_deref().unwrap_or_default();
        match DocumentKind::Target(id.clone()).parse(value) {
            Ok(Document::Target(target)) => {
                let former = self.record_of(id).map(|r| (r.token, r.target.is_leaving));
                self.steering.put_target(target.clone(), now);
                self.log_target(&target, former, change.revision, source);
                if self.replica.is_unrenewed(&change.key) {
                    self.steering.hold_back_target(id);
                }
            }
            Ok(Document::Config(_) | Document::Evacuation(_)) => {}
            Err(error) => {
                INVALID_DOCUMENTS.report(format_args!(
                    "target {id} at revision {}: {error}",
                    change.revision
                ));
                self.steering.invalidate_target(id);
            }
        }
    }

    fn record_of(&self, id: &TargetId) -> Option<&TargetRecord> {
        let targets = self.steering.targets();
        targets.get(targets.find(id)?)
    }

    /// Logs a target whose token or state changed; `former` is what it was before. A change of only
    /// the warm-up time, which counts down, is not logged.
    fn log_target(
        &self,
        target: &Target,
        former: Option<(Token, bool)>,
        revision: Revision,
        source: Source,
    ) {
        let (token, numbered) = (target.token(), target.numbered_token());
        let status = self.record_of(&target.id).map(|record| record.status);
        let event = match status {
            Some(EntryStatus::Disputed { .. }) => "event=entry_disputed",
            _ if former == Some((token, target.is_leaving)) => return,
            _ => "event=target_changed",
        };
        let Some(suppressed) = TARGET_CHANGES.admit(std::time::Instant::now()) else {
            return;
        };
        let state = match target.is_leaving {
            true => "leaving",
            false => "live",
        };
        let former = former.map(|(former, _)| former);
        let former = OrNone(former.filter(|former| *former != token));
        let Target {
            id,
            service,
            zone,
            address,
            ..
        } = target;
        log::info!(
            "{event} target={id} token={token} numbered={numbered} former={former} \
             service={service} zone={zone} address={address} state={state} revision={revision} \
             source={source} suppressed={suppressed}"
        );
    }

    fn remove(&mut self, ids: &[TargetId], now: Moment, source: Source) {
        let kept = self.steering.remove_targets(ids, now);
        for id in ids {
            let Some(suppressed) = TARGET_CHANGES.admit(std::time::Instant::now()) else {
                continue;
            };
            let status = kept.iter().find(|(kept, _)| kept == id);
            let outcome = match status.and_then(|(_, s)| Some((s, s.until()?))) {
                Some((status, until)) => format!("{status} until={until}"),
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
