//! The process: start of its tasks, signal handling and shutdown.

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bambooseam_config::{EntrySettings, Settings};
use bambooseam_observe::{Admin, AdminError, stop_signal};
use bambooseam_peer::Meter;
use bambooseam_peer::replica::{PeerInfo, serve_replica};
use bambooseam_platform::{Store, ready};
use bambooseam_steer::{ColdPolicy, Steering, SteeringSettings};
use bambooseam_types::{Clock, Moment, Revision, ZoneId};
use derive_more::{Display, Error, From};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::coordination::{Coordination, CoordinationLink, coordinator_name};
use crate::follower::Follower;
use crate::node::SharedNode;
use crate::packets::Packets;
use crate::peering::{self, ReplicaServer, SharedPeers};
use crate::reader::Reader;
use crate::reload::FileChange;
use crate::starter::{ReadPermit, Starter};
use crate::stop::LastPacket;
use crate::{BootClock, Node, Peers, SettingsFile, Stop, Stopping, feed};

/// Interval between two sweeps, which remove expired flows and targets and publish the status.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two checks of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(2_000);

/// Interval between two checks whether a stopping process may exit.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reason why the process failed.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// The runtime, a socket or a signal handler could not be created.
    #[display("cannot start the program: {_0}")]
    Start(io::Error),
    /// The admin endpoint could not start.
    Admin(AdminError),
    /// The settings have no section `[entry]`.
    #[display("the settings have no section [entry]")]
    #[from(ignore)]
    NoSection,
}

/// Runs until a stop signal has arrived and the last packets are served. Logging must be set up
/// before the call.
///
/// # Errors
///
/// Returns an error when a socket or signal handler cannot be created, or when the settings have no
/// section `[entry]`.
pub fn run_process(settings: Settings, path: PathBuf) -> Result<(), ProcessError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(settings, path))
}

async fn run(settings: Settings, path: PathBuf) -> Result<(), ProcessError> {
    let entry = settings.entry.as_ref().ok_or(ProcessError::NoSection)?;
    // Without a handler, SIGHUP would terminate the process.
    let hangups = signal(SignalKind::hangup())?;
    log::info!(
        "event=entry_started vm={} zone={} listen={} store={:?} seeds={:?}",
        settings.vm.id,
        settings.vm.zone,
        entry.listen,
        settings.platform.addresses,
        entry.seeds
    );
    let admin = Admin::bind(entry.admin).await?;
    let steering = Steering::new(SteeringSettings {
        zone: settings.vm.zone.clone(),
        flow_limit: usize::try_from(entry.flow_limit).unwrap_or(usize::MAX),
        cold_policy: entry.cold_limit.map(|limit| ColdPolicy {
            excess: limit.excess,
            slack: limit.slack,
        }),
        target_speed: entry.target_speed,
        evacuated_last_resort: entry.evacuated_last_resort,
    });
    let node = Rc::new(RefCell::new(Node::new(steering)));
    let own = PeerInfo {
        address: entry.peer,
        zone: settings.vm.zone.clone(),
    };
    let peers = Rc::new(RefCell::new(Peers::new(own, &entry.seeds)));
    if peers.borrow().is_empty() {
        node.borrow_mut().record_alone(BootClock.now());
    }
    let last_packet = LastPacket::default();
    let packets = Packets::bind(entry.listen, Rc::clone(&node)).await?;
    let link = packets.coordination();
    let meter = Arc::new(Meter::default());
    start_control(&settings, entry, &node, &peers, &meter).await?;
    spawn_local(packets.run(last_packet.clone()));
    start_coordination(entry, &node, &peers, link).await;
    let status = Arc::new(Mutex::new(Value::Null));
    spawn_local(sweep(
        Rc::clone(&node),
        Rc::clone(&peers),
        meter,
        Arc::clone(&status),
    ));
    spawn_local(watch_settings(
        hangups,
        path,
        settings.clone(),
        Rc::clone(&peers),
    ));
    let ready = node.borrow().ready();
    spawn_local(admin.serve(ready, move || {
        status.lock().map_or(Value::Null, |s| s.clone())
    }));
    let signal = stop_signal().await?;
    stop(signal, entry.stop_time, &node, &last_packet).await;
    Ok(())
}

/// Starts the tasks that fetch documents and that answer readiness probes and peers.
async fn start_control(
    settings: &Settings,
    entry: &EntrySettings,
    node: &SharedNode,
    peers: &SharedPeers,
    meter: &Arc<Meter>,
) -> Result<(), ProcessError> {
    let ready = node.borrow().ready();
    spawn_local(ready::serve(TcpListener::bind(entry.ready).await?, ready));
    let server = ReplicaServer::new(Rc::clone(node), Rc::clone(peers));
    let listener = TcpListener::bind(entry.peer).await?;
    spawn_local(serve_replica(listener, Arc::clone(meter), server));
    spawn_local(peering::run(
        Rc::clone(node),
        Rc::clone(peers),
        Arc::clone(meter),
    ));
    // The list is not empty: the check of the settings rejects an empty list.
    if let Some(&address) = settings.platform.addresses.first() {
        let permit = watch::Sender::new(ReadPermit::Nothing);
        let reader = Reader::new(Store::new(address), Rc::clone(node), permit.subscribe());
        let follower = Follower::new(Rc::clone(node), Rc::clone(peers), Arc::clone(meter));
        let starter = Starter::new(Rc::clone(node), Rc::clone(peers), Arc::clone(meter), permit);
        let feed = feed::run(reader, follower, starter, Rc::clone(node), Rc::clone(peers));
        spawn_local(feed);
    }
    Ok(())
}

/// Starts the exchange with the VMs of the zone if the settings have an address for it. Without it,
/// this VM places flows by its own counts, so a failure does not end the process.
async fn start_coordination(
    entry: &EntrySettings,
    node: &SharedNode,
    peers: &SharedPeers,
    link: Rc<CoordinationLink>,
) {
    let Some(address) = entry.coordination else {
        return;
    };
    match Coordination::bind(address, Rc::clone(node), Rc::clone(peers), link).await {
        Ok(coordination) => drop(spawn_local(coordination.run())),
        Err(error) => log::error!(
            "event=coordination_unavailable address={address} cause={:?}",
            error.to_string()
        ),
    }
}

/// Regularly removes expired state, and updates the metrics and the status.
async fn sweep(node: SharedNode, peers: SharedPeers, meter: Arc<Meter>, status: Arc<Mutex<Value>>) {
    let mut zones = Vec::new();
    loop {
        sleep(SWEEP_INTERVAL).await;
        let mut node = node.borrow_mut();
        let now = BootClock.now();
        node.sweep(now);
        node.publish_speeds();
        if let Some(age) = node.age(now) {
            metrics::histogram!("view_age_seconds").record(age.as_secs_f64());
        }
        metrics::gauge!("store_era").set(node.replica().era().get() as f64);
        for budget in node.steering().cold_budgets().iter() {
            let service = budget.service().to_string();
            metrics::gauge!("cold_share", "service" => service).set(budget.share().fraction());
        }
        metrics::gauge!("flows").set(node.steering().flow_count() as f64);
        record_zone_flows(&node, &mut zones);
        metrics::counter!("peer_bytes_sent").absolute(meter.sent().get());
        metrics::counter!("peer_bytes_received").absolute(meter.received().get());
        if let Ok(mut status) = status.lock() {
            *status = status_of(&node, &peers, now);
        }
    }
}

/// Updates the number of open flows by zone of their target. `zones` are the zones of the last
/// update; the number of a zone whose last target has ended becomes 0.
fn record_zone_flows(node: &Node, zones: &mut Vec<ZoneId>) {
    let flows = node.steering().zone_flows();
    let gauge = |zone: &ZoneId| metrics::gauge!("zone_flows", "zone" => zone.to_string());
    zones.retain(|zone| !flows.iter().any(|(other, _)| *other == zone));
    for zone in &*zones {
        gauge(zone).set(0.0);
    }
    zones.clear();
    for (zone, count) in flows {
        gauge(zone).set(count as f64);
        zones.push(zone.clone());
    }
}

/// Returns the evacuated zones, and the open flows by zone of their target, for `/status`.
fn zones_of(node: &Node, now: Moment) -> (Value, Value) {
    let evacuations = node.steering().evacuations().iter();
    let evacuated = evacuations.map(|evacuation| {
        json!({
            "zone": evacuation.zone.to_string(),
            "revision": evacuation.revision.get(),
            "age_ms": now.since(evacuation.since).as_millis() as u64,
        })
    });
    let flows = node.steering().zone_flows().into_iter();
    let flows = flows.map(|(zone, count)| (zone.to_string(), json!(count)));
    (evacuated.collect(), Value::Object(flows.collect()))
}

/// Returns the document served at `/status`.
fn status_of(node: &Node, peers: &SharedPeers, now: Moment) -> Value {
    let config = node.config();
    let (evacuated, zone_flows) = zones_of(node, now);
    json!({
        "program": "entry",
        "version": config.map(|(version, _)| version),
        "revision": config.map(|(_, revision)| revision.get()),
        "era": node.replica().era().get(),
        "kept": node.replica().kept_count(),
        "upto": node.replica().upto().map(Revision::get),
        "view_age_ms": node.age(now).map(|age| age.as_millis() as u64),
        "followed": peers.borrow().followed(now).map(|peer| peer.to_string()),
        "peers": peers.borrow().len(),
        "targets": node.steering().targets().iter().count(),
        "token_form": node.steering().token_form().to_string(),
        "flows": node.steering().flow_count(),
        "evacuated": evacuated,
        "zone_flows": zone_flows,
        "coordination": coordination_status(node.steering()),
    })
}

/// Returns the part of the status about the load of the zone.
fn coordination_status(steering: &Steering) -> Value {
    let coordinators = steering.coordinators().iter();
    let others = steering.zone_load();
    let remote = steering.remote_loads().zones();
    json!({
        "coordinators": coordinators.map(|c| coordinator_name(*c)).collect::<Vec<_>>(),
        "has_zone_view": steering.has_zone_view(),
        "reporting_vms": others.vm_count(),
        "own": steering.own_in_progress(),
        "reported": others.total().reported,
        "granted": others.total().granted,
        "waiting": steering.question_count(),
        "remote_zones": remote.map(|zone| zone.to_string()).collect::<Vec<_>>(),
    })
}

/// Checks the settings file after each SIGHUP and at regular intervals.
async fn watch_settings(
    mut hangups: Signal,
    path: PathBuf,
    mut settings: Settings,
    peers: SharedPeers,
) {
    let mut file = SettingsFile::new(path);
    loop {
        let cause = tokio::select! {
            _ = hangups.recv() => "SIGHUP",
            () = sleep(SETTINGS_CHECK_INTERVAL) => "file",
        };
        match file.check() {
            FileChange::Unchanged if cause == "file" => {}
            FileChange::Unchanged => {
                log::info!("event=settings_reloaded cause={cause} outcome=same")
            }
            FileChange::Changed(newer) => {
                apply_settings(&settings, &newer, &peers, cause);
                settings = *newer;
            }
            FileChange::Invalid(findings) => log::error!(
                "event=settings_refused cause={cause} findings={:?}",
                findings.to_string()
            ),
            FileChange::Unreadable(error) => {
                log::warn!("event=settings_unreadable cause={:?}", error.to_string());
            }
        }
    }
}

/// Applies the seeds of newer settings, and logs whether other changes need a restart.
fn apply_settings(settings: &Settings, newer: &Settings, peers: &SharedPeers, cause: &str) {
    let (Some(before), Some(after)) = (&settings.entry, &newer.entry) else {
        log::error!(
            "event=settings_refused cause={cause} findings=\"the settings have no section [entry]\""
        );
        return;
    };
    peers.borrow_mut().set_seeds(&after.seeds);
    let seeds_only = EntrySettings {
        seeds: after.seeds.clone(),
        ..before.clone()
    };
    let needs_restart = seeds_only != *after
        || settings.vm != newer.vm
        || settings.platform != newer.platform
        || settings.log != newer.log;
    log::info!(
        "event=settings_reloaded cause={cause} outcome=applied seeds={:?} \
         needs_restart={needs_restart}",
        after.seeds
    );
}

/// Serves the remaining packets after a stop signal, until the process may exit.
async fn stop(signal: &str, grace: Duration, node: &SharedNode, last_packet: &LastPacket) {
    let requested = BootClock.now();
    let stop = Stop { requested, grace };
    log::info!(
        "event=stop_begun signal={signal} time_ms={}",
        grace.as_millis()
    );
    node.borrow_mut().stop();
    loop {
        let now = BootClock.now();
        let stopping = stop.state_at(now, last_packet.time());
        if stopping != Stopping::Serving {
            let elapsed = now.since(requested).as_millis();
            log::info!("event=stopped state={stopping:?} elapsed_ms={elapsed}");
            return;
        }
        sleep(STOP_CHECK_INTERVAL).await;
    }
}
