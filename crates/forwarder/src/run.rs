//! Runs the forwarder as a program: UDP socket, view feed, periodic work and admin endpoint.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bambooseam_config::Settings;
use bambooseam_observe::{Admin, AdminError, decisions, stop_signal};
use bambooseam_peer::feed::{self, ViewReceiver};
use bambooseam_types::{ByteRate, Revision};
use derive_more::{Display, Error, From};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::pick::BoundedPick;
use crate::target::Identity;
use crate::{DropCause, Forwarder, SendBatch, Socket, SystemClock};

/// Interval of periodic work.
const TICK_TIME: Duration = Duration::from_millis(100);
/// Longest time that a planned stop waits for the handover.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Receive calls before other work gets its turn.
const RECEIVE_LIMIT: usize = 64;
/// Divisor of the control budget that yields the share of handovers: one half.
const HANDOVER_DIVISOR: u64 = 2;

/// Why the forwarder could not run.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// A socket, signal handler or thread failed.
    #[display("forwarder socket or thread failed: {_0}")]
    Io(io::Error),
    /// The admin endpoint failed.
    #[display("{_0}")]
    Admin(AdminError),
}

/// Forwarder with the output, clock and policy of the binary.
type ProgramForwarder = Forwarder<SendBatch, SystemClock, BoundedPick>;

/// State of the running program.
struct Runner {
    forwarder: ProgramForwarder,
    clock: SystemClock,
    socket: Socket,
    views: ViewReceiver,
    status: Arc<Mutex<Value>>,
    ready: watch::Sender<bool>,
    settings: Settings,
    /// Current revision and when it was applied, in milliseconds since 1970.
    in_force: (Revision, u64),
}

/// Runs until a signal requests a stop.
///
/// # Errors
///
/// An error when an address can't be bound or the operating system fails.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let admin = Admin::bind(settings.forwarder.admin).await?;
    let socket = Socket::bind(settings.forwarder.listen)?;
    let views = feed::subscribe(settings.agent.views, "forwarder")?;
    let limit = usize::try_from(settings.forwarder.flow_limit).unwrap_or(usize::MAX);
    let budget = ByteRate::new(settings.agent.budget.get() / HANDOVER_DIVISOR);
    let vm = settings.vm.id.clone();
    let clock = SystemClock::new();
    let pick = BoundedPick::default();
    let forwarder =
        Forwarder::new(vm, limit, socket.batch(), clock.clone(), pick).with_handover_budget(budget);
    log::info!("event=started listen={}", socket.address()?);
    let (ready, is_ready) = watch::channel(false);
    let mut runner = Runner {
        forwarder,
        clock,
        socket,
        views,
        status: Arc::new(Mutex::new(Value::Null)),
        ready,
        settings,
        in_force: (Revision::default(), 0),
    };
    runner.publish();
    let status = Arc::clone(&runner.status);
    let status_json = move || {
        let guard = status.lock().unwrap_or_else(PoisonError::into_inner);
        let mut status = guard.clone();
        if status.is_object() {
            status["events"] = decisions().to_json();
        }
        status
    };
    tokio::spawn(admin.serve(is_ready, status_json));
    runner.serve().await
}

impl Runner {
    /// Forwards packets until a signal requests a stop and the handover is over.
    async fn serve(&mut self) -> Result<(), RunError> {
        let mut ticks = tokio::time::interval(TICK_TIME);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let stop = stop_signal();
        tokio::pin!(stop);
        let mut stopping: Option<Instant> = None;
        loop {
            tokio::select! {
                result = self.socket.readable() => {
                    result?;
                    self.forward_packets();
                }
                _ = ticks.tick() => self.run_tick(),
                Ok(()) = self.views.changed() => self.apply_view(),
                signal = &mut stop, if stopping.is_none() => {
                    log::info!("event=stopping signal={}", signal?);
                    self.ready.send_replace(false);
                    self.forwarder.leave();
                    stopping = Some(Instant::now());
                }
            }
            let Some(since) = stopping else { continue };
            if self.forwarder.is_handover_done() || since.elapsed() > STOP_TIMEOUT {
                let backlog = self.forwarder.handover_backlog();
                log::info!("event=stopped flows_not_handed_over={backlog}");
                return Ok(());
            }
        }
    }

    /// Forwards the packets that have arrived.
    fn forward_packets(&mut self) {
        // A waiting view is applied first, so that no new flow is placed under the previous view.
        if self.views.has_changed().unwrap_or(false) {
            self.apply_view();
        }
        for _ in 0..RECEIVE_LIMIT {
            self.clock.refresh();
            let forwarder = &mut self.forwarder;
            let result = self
                .socket
                .receive(|source, bytes| forwarder.receive(source, bytes));
            self.socket.flush(self.forwarder.output());
            if result.is_err() {
                return;
            }
        }
    }

    /// Applies the newest view.
    fn apply_view(&mut self) {
        let Some(view) = self.views.borrow_and_update().clone() else {
            return;
        };
        self.clock.refresh();
        let revision = view.revision();
        if !self.forwarder.set_view(view) {
            return;
        }
        if self.in_force.0 != revision {
            self.in_force = (revision, unix_millis());
        }
        if let Some(view) = self.forwarder.view() {
            decisions().record_preset(&view.preset.name, revision);
        }
        self.ready.send_replace(true);
        self.publish();
    }

    /// Runs periodic work.
    fn run_tick(&mut self) {
        self.clock.refresh();
        self.forwarder.tick();
        self.socket.flush(self.forwarder.output());
        self.publish();
    }

    /// Publishes status and metrics.
    fn publish(&mut self) {
        let status = self.status();
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
        let counters = self.forwarder.counters();
        metrics::counter!("forwarder_received").absolute(counters.received);
        metrics::counter!("forwarder_delivered").absolute(counters.delivered);
        metrics::counter!("forwarder_relayed").absolute(counters.relayed);
        metrics::counter!("forwarder_asked").absolute(counters.queries);
        metrics::counter!("forwarder_taught").absolute(counters.replicated);
        metrics::counter!("forwarder_flows_new").absolute(counters.flows_new);
        metrics::counter!("forwarder_flows_guessed").absolute(counters.flows_defaulted);
        metrics::counter!("forwarder_control_bytes").absolute(counters.control_bytes);
        metrics::gauge!("forwarder_flows").set(self.forwarder.table().len() as f64);
        for (cause, count) in counters.drops() {
            let cause = cause.to_string();
            metrics::counter!("forwarder_dropped", "cause" => cause).absolute(count);
        }
    }

    /// Returns the object of `/status`.
    fn status(&mut self) -> Value {
        let failed = self.forwarder.output().failed();
        let view = self.forwarder.view();
        let mut status = json!({
            "program": "forwarder",
            "vm": self.settings.vm.id.as_str(),
            "zone": self.settings.vm.zone.as_str(),
            "view": view.map_or(0, |view| view.number.get()),
            "revision": self.in_force.0.get(),
            "preset": view.map_or("", |view| view.preset.name.as_str()),
            "in_force_since_ms": self.in_force.1,
            "flows": self.forwarder.table().len(),
            "flow_limit": self.settings.forwarder.flow_limit,
            "handover_waiting": self.forwarder.handover_backlog(),
            "handed_over": self.forwarder.is_handover_done(),
        });
        status["leaving"] = self.leaving_flows();
        let counters = self.forwarder.counters();
        let mut drops = serde_json::Map::new();
        for (cause, count) in counters.drops() {
            drops.insert(cause.to_string(), count.into());
        }
        drops.insert(DropCause::SendFailed.to_string(), failed.into());
        status["drops"] = Value::Object(drops);
        status["counters"] = json!({
            "received": counters.received,
            "delivered": counters.delivered,
            "relayed": counters.relayed,
            "asked": counters.queries,
            "answered": counters.replies,
            "taught": counters.replicated,
            "flows_new": counters.flows_new,
            "flows_learned": counters.flows_learned,
            "flows_guessed": counters.flows_defaulted,
            "flows_expired": counters.flows_expired,
            "flows_unremembered": counters.flows_untracked,
            "unknown_senders": counters.unknown_senders,
            "conflicts": counters.conflicts,
            "syn_stripped": counters.syn_stripped,
            "handed_over": counters.handed_over,
            "control_bytes": counters.control_bytes,
            "violations": counters.violations,
            "pauses": counters.pauses,
        });
        status
    }
}

impl Runner {
    /// Returns the number of flows of each target that accepts no new ones.
    fn leaving_flows(&self) -> Value {
        let Some(view) = self.forwarder.view() else {
            return Value::Null;
        };
        let targets = self.forwarder.targets();
        let mut leaving = Vec::new();
        for target in &view.targets {
            if target.is_open() {
                continue;
            }
            let identity = Identity {
                vni: view.vni(target.service),
                address: target.entry.flows,
            };
            let flows = targets
                .find(identity)
                .map_or(0, |number| targets.get(number).flows);
            leaving.push(json!({ "target": target.entry.id.as_str(), "flows": flows }));
        }
        leaving.into()
    }
}

/// Milliseconds since 1970.
fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}
