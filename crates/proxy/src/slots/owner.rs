//! The owner of some targets' slots.

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

/// Time over which busy slots are averaged; short enough to follow a swing.
const LOAD_WINDOW: Duration = Duration::from_secs(1);

/// Expected wait when no target may take work.
const NO_TARGET_WAIT: Duration = Duration::from_secs(5);

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Class of the work.
    pub class: WorkClass,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Whether to wait in the queue when no slot is free.
    pub may_wait: bool,
    /// Owners that are asked at the same time.
    pub owners: u32,
    /// Whether the proxy that asks is in another zone.
    pub is_remote: bool,
    /// Targets that were tried before.
    pub avoid: Vec<TargetId>,
    /// Expected service time; zero when the proxy does not know it.
    pub service_time: Duration,
    /// Part of the service's work that is short, if the proxy knows it.
    pub short_fraction: Option<f64>,
}

/// No slot within the time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no slot for {wait:?}")]
pub struct Refusal {
    /// Expected wait.
    pub wait: Duration,
    /// Whether a slot is free on a target that has failed lately.
    pub has_suspect: bool,
}

impl Refusal {
    /// A refusal without a slot to fall back on.
    pub const fn new(wait: Duration) -> Self {
        Self {
            wait,
            has_suspect: false,
        }
    }
}

/// A target and its limit, as the view has them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSlots {
    /// The target.
    pub id: TargetId,
    /// Requests that it runs at a time.
    pub limit: u32,
    /// Whether it may get new work.
    pub is_open: bool,
}

/// Exact slots of some targets, and the work that waits for them.
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

/// Counts of an owner.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerStatus {
    /// Slots that may be used.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Short and long requests that wait.
    pub waiting: [f64; 2],
    /// Slots that long work leaves free.
    pub reserve: u32,
    /// Targets out of service.
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

    /// Takes over policy and targets of a new view; new targets start with `health`.
    ///
    /// A target that is gone keeps its slots in use until its work ends.
    pub fn update(
        self: &Arc<Self>,
        policy: Policy,
        targets: Vec<TargetSlots>,
        health: impl Fn() -> Health,
    ) {
        let mut state = self.lock();
        state.policy = policy;
        for held in &mut state.targets {
            held.slots.is_open = false;
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
            .retain(|held| held.slots.is_open || held.busy > 0);
        self.dispatch(&mut state);
    }

    /// Takes a free slot, or waits for one if the ask says so; dropping the future gives the place
    /// in the queue up.
    ///
    /// # Errors
    ///
    /// A refusal with the expected wait when no slot is free and the ask may not wait.
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
            // Each request asks the owner in its zone first, without waiting.
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
                // The probe leaves the queue; it may have held others up.
                drop(receiver);
                self.dispatch(&mut state);
                return Err(state.refusal(wait));
            }
            receiver
        };
        waiting.await.map_err(|_| Refusal::new(NO_TARGET_WAIT))
    }

    /// Starts what may start now, for targets that became usable as time passed.
    pub fn tick(self: &Arc<Self>) {
        let mut state = self.lock();
        state.load.advance();
        self.dispatch(&mut state);
    }

    /// Counts now.
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

    /// Grants free slots to waiting work in the order of the policy.
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
            // The receiver may have gone; its grant is dropped without freeing a slot.
            if let Err(mut unused) = waiter.sender.send(grant) {
                unused.owner = None;
                continue;
            }
            state.occupy(index, class);
        }
    }

    fn release(self: &Arc<Self>, grant: &Grant) {
        let mut state = self.lock();
        let served = grant.outcome == WorkOutcome::Served;
        let time = served.then(|| grant.began.elapsed());
        state.load.record_end(grant.class, time);
        state.release(&grant.target, grant.outcome);
        self.dispatch(&mut state);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Grant {
    /// The target that the work may run on.
    pub fn target(&self) -> &TargetId {
        &self.target
    }

    /// Frees the slot and tells how the work ended.
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
