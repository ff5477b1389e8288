//! The owner of a group's slots: grants slots of targets to requests and queues the requests that
//! must wait.

mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_types::TargetId;
use derive_more::{Display, Error};
use tokio::sync::oneshot;
use tokio::time::Instant;

use self::state::{State, TargetState};
use super::queue::{Queue, Waiter};
use super::{Health, Load, Policy, WorkOutcome};

/// Window over which busy slots are averaged; short enough to follow a load swing.
const LOAD_WINDOW: Duration = Duration::from_secs(1);

/// Expected wait that is reported when no target accepts work.
const NO_TARGET_WAIT: Duration = Duration::from_secs(5);

/// Expected wait that is reported when an owner can't be reached.
const LOST_OWNER_WAIT: Duration = Duration::from_secs(1);

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Class of the work.
    pub class: WorkClass,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Whether the request waits in the queue when no slot is free.
    pub may_wait: bool,
    /// Number of owners that are asked at the same time.
    pub owners: u32,
    /// Whether the requesting proxy is in another zone.
    pub is_remote: bool,
    /// Targets that were tried before and are used last.
    pub avoid: Vec<TargetId>,
    /// Expected service time; zero if the proxy has no estimate.
    pub service_time: Duration,
    /// Fraction of the service's work that is short, if the proxy has an estimate.
    pub short_fraction: Option<f64>,
}

/// Refusal of a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no slot expected within {wait:?}")]
pub struct Refusal {
    /// Expected wait.
    pub wait: Duration,
    /// Whether a slot is free on a target that has failed recently.
    pub has_suspect: bool,
    /// Whether the owner did not respond, so that the wait is unknown.
    pub is_lost: bool,
}

impl Refusal {
    /// Creates a refusal where no recently failed target has a free slot either.
    pub const fn new(wait: Duration) -> Self {
        Self {
            wait,
            has_suspect: false,
            is_lost: false,
        }
    }

    /// Creates the refusal that stands for an owner that did not respond.
    pub const fn lost_owner() -> Self {
        Self {
            is_lost: true,
            ..Self::new(LOST_OWNER_WAIT)
        }
    }
}

/// A target and its concurrency limit under the current view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSlots {
    /// The target.
    pub id: TargetId,
    /// Maximum number of concurrent requests.
    pub limit: u32,
    /// Whether the target accepts new work.
    pub is_open: bool,
}

/// Exact slot counts of a group of targets, and the queues of requests that wait for slots.
#[derive(Debug)]
pub struct SlotOwner {
    state: Mutex<State>,
}

/// A slot that is in use until this value is dropped.
#[derive(Debug)]
pub struct Grant {
    owner: Option<Arc<SlotOwner>>,
    target: TargetId,
    class: WorkClass,
    began: Instant,
    outcome: WorkOutcome,
}

/// Counts of an owner, for the status page.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerStatus {
    /// Number of slots that may be used now.
    pub slots: u32,
    /// Number of slots in use.
    pub busy: u32,
    /// Number of waiting requests, short and long. A request that waits at several owners counts as
    /// a fraction at each.
    pub waiting: [f64; 2],
    /// Number of slots reserved for short work.
    pub reserve: u32,
    /// Number of ejected targets.
    pub ejected: usize,
}

impl SlotOwner {
    /// Creates an owner without targets.
    pub fn new(policy: Policy) -> Arc<Self> {
        let state = State {
            policy,
            targets: Vec::new(),
            load: Load::new(LOAD_WINDOW),
            short_fraction: 0.0,
            short: Queue::default(),
            long: Queue::default(),
            grants: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Applies policy and targets of a new view. Targets that are new to this owner start with
    /// `health`.
    ///
    /// A target that is no longer in the view keeps its busy slots until its work ends.
    pub fn update(
        self: &Arc<Self>,
        policy: Policy,
        targets: Vec<TargetSlots>,
        health: impl Fn() -> Health,
    ) {
        let mut state = self.lock();
        state.policy = policy;
        for target in &mut state.targets {
            target.slots.is_open = false;
        }
        for slots in targets {
            match state.find(&slots.id) {
                Ok(index) => state.targets[index].slots = slots,
                Err(index) => {
                    let target = TargetState {
                        slots,
                        busy: 0,
                        last_grant: 0,
                        health: health(),
                    };
                    state.targets.insert(index, target);
                }
            }
        }
        state
            .targets
            .retain(|target| target.slots.is_open || target.busy > 0);
        self.dispatch(&mut state);
    }

    /// Acquires a free slot, or waits for one if the request may wait. Dropping the future gives up
    /// the place in the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the expected wait when no slot is free and the request may not wait.
    pub async fn acquire(self: &Arc<Self>, request: SlotRequest) -> Result<Grant, Refusal> {
        let waiting = {
            let mut state = self.lock();
            let (sender, receiver) = oneshot::channel();
            let arrived = Instant::now();
            let handicap = if request.is_remote {
                state.remote_handicap(request.class)
            } else {
                Duration::ZERO
            };
            let waiter = Waiter {
                arrived: arrived.checked_sub(request.waited).unwrap_or(arrived) + handicap,
                is_remote: request.is_remote,
                is_probe: !request.may_wait,
                weight: 1.0 / f64::from(request.owners.max(1)),
                avoid: request.avoid,
                sender,
            };
            state.record_short_fraction(request.short_fraction);
            state.load.seed_mean(request.class, request.service_time);
            // Each request first probes the owner in its own zone without waiting, so local probes
            // count arrivals.
            if request.class == WorkClass::Short && !request.may_wait && !request.is_remote {
                state.load.record_short_arrival();
            }
            let wait = state.expected_wait(request.class);
            state.queue(request.class).push(waiter);
            self.dispatch(&mut state);
            let mut receiver = receiver;
            if let Ok(grant) = receiver.try_recv() {
                return Ok(grant);
            }
            if !request.may_wait {
                // The probe leaves the queue, which may allow requests behind it to start.
                drop(receiver);
                self.dispatch(&mut state);
                return Err(state.refusal(wait));
            }
            receiver
        };
        waiting.await.map_err(|_| Refusal::new(NO_TARGET_WAIT))
    }

    /// Starts work on targets that have become usable as time passed.
    pub fn tick(self: &Arc<Self>) {
        let mut state = self.lock();
        state.load.advance();
        self.dispatch(&mut state);
    }

    /// Returns the current counts.
    pub fn status(&self) -> OwnerStatus {
        let state = self.lock();
        OwnerStatus {
            slots: state.slots(),
            busy: state.targets.iter().map(|target| target.busy).sum(),
            waiting: [state.short.len(), state.long.len()],
            reserve: state.reserve(),
            ejected: state.ejected(),
        }
    }

    /// Grants free slots to waiting requests in the order that the policy sets.
    fn dispatch(self: &Arc<Self>, state: &mut State) {
        while let Some(class) = state.next_class() {
            let is_overloaded = state.is_overloaded(class);
            let Some(waiter) = state.queue(class).pop(is_overloaded) else {
                return;
            };
            let Some(index) = state.pick(&waiter) else {
                state.queue(class).push(waiter);
                return;
            };
            let grant = Grant {
                owner: Some(Arc::clone(self)),
                target: state.targets[index].slots.id.clone(),
                class,
                began: Instant::now(),
                outcome: WorkOutcome::Cancelled,
            };
            // If the requester has left, the grant is dropped without freeing a slot, since none
            // was occupied.
            if let Err(mut unused) = waiter.sender.send(grant) {
                unused.owner = None;
                continue;
            }
            state.occupy(index, class);
        }
    }

    fn release(self: &Arc<Self>, grant: &Grant) {
        let mut state = self.lock();
        let is_served = grant.outcome == WorkOutcome::Served;
        let time = is_served.then(|| grant.began.elapsed());
        state.load.record_end(grant.class, time);
        state.release(&grant.target, grant.outcome);
        self.dispatch(&mut state);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Grant {
    /// Returns the target that the work may run on.
    pub fn target(&self) -> &TargetId {
        &self.target
    }

    /// Frees the slot and reports how the work ended.
    pub fn finish(mut self, outcome: WorkOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(owner) = self.owner.take() {
            owner.release(self);
        }
    }
}
