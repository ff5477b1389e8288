//! The owner of some targets' slots.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_observe::{check_invariant, decisions};
use bambooseam_types::TargetId;
use derive_more::{Display, Error};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::queue::{Queue, Waiter};
use super::{Health, Load, Policy, Report, Rule};

/// Time over which busy slots are averaged; short enough to follow a swing.
const LOAD_WINDOW: Duration = Duration::from_secs(1);

/// Long work that has waited this many times its mean service time may take reserved slots.
const LONG_PATIENCE: u32 = 4;

/// Time that far work must have waited longer than near work to go first.
const FAR_HANDICAP: Duration = Duration::from_millis(30);

/// The same under overload.
const OVERLOAD_HANDICAP: Duration = Duration::from_secs(2);

/// Waiting requests of a class, for each slot, that count as overload.
const OVERLOAD_FACTOR: f64 = 2.0;

/// The same for overload that lasts: a burst at usual load seldom reaches it.
const PRESSED_FACTOR: f64 = 4.0;

/// Weight of one proxy's word in the part of work that is short.
const PART_WEIGHT: f64 = 1.0 / 64.0;

/// Expected wait when no target may take work.
const NO_TARGET_WAIT: Duration = Duration::from_secs(5);

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Class of the work.
    pub class: WorkClass,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Whether to wait in the queue when no slot is free.
    pub may_wait: bool,
    /// Owners that are asked at the same time.
    pub owners: u32,
    /// Whether the proxy that asks is in another zone.
    pub is_far: bool,
    /// Targets that were tried before.
    pub avoid: Vec<TargetId>,
    /// Expected service time; zero when the proxy does not know it.
    pub time: Duration,
    /// Part of the service's work that is short, if the proxy knows it.
    pub short_part: Option<f64>,
}

/// No slot within the time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no slot for {wait:?}")]
pub struct Refusal {
    /// Expected wait.
    pub wait: Duration,
    /// Whether a slot is free on a target that has failed lately.
    pub is_doubtful: bool,
}

impl Refusal {
    /// A refusal without a slot to fall back on.
    pub const fn new(wait: Duration) -> Self {
        Self {
            wait,
            is_doubtful: false,
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
    report: Report,
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

#[derive(Debug)]
struct State {
    policy: Policy,
    targets: Vec<TargetState>,
    load: Load,
    /// Part of the service's work that is short, averaged over proxies.
    short_part: f64,
    short: Queue,
    long: Queue,
    picks: u64,
}

#[derive(Debug)]
struct TargetState {
    slots: TargetSlots,
    busy: u32,
    last: u64,
    health: Health,
}

impl SlotOwner {
    /// Creates an owner without targets.
    pub fn new(policy: Policy) -> Arc<Self> {
        let state = State {
            policy,
            targets: Vec::new(),
            load: Load::new(LOAD_WINDOW),
            short_part: 0.0,
            short: Queue::default(),
            long: Queue::default(),
            picks: 0,
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
                        last: 0,
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
    pub async fn acquire(self: &Arc<Self>, ask: Ask) -> Result<Grant, Refusal> {
        let waiting = {
            let mut state = self.lock();
            let (sender, receiver) = oneshot::channel();
            let arrived = Instant::now();
            let handicap = if ask.is_far {
                state.far_handicap(ask.class)
            } else {
                Duration::ZERO
            };
            let waiter = Waiter {
                arrived: arrived.checked_sub(ask.waited).unwrap_or(arrived) + handicap,
                is_far: ask.is_far,
                is_probe: !ask.may_wait,
                part: 1.0 / f64::from(ask.owners.max(1)),
                avoid: ask.avoid,
                sender,
            };
            state.learn(ask.short_part);
            state.load.expect(ask.class, ask.time);
            // Each request asks the owner in its zone first, without waiting.
            if ask.class == WorkClass::Short && !ask.may_wait && !ask.is_far {
                state.load.arrive_short();
            }
            let wait = state.expected_wait(ask.class);
            state.queue(ask.class).push(waiter);
            self.dispatch(&mut state);
            let mut receiver = receiver;
            if let Ok(grant) = receiver.try_recv() {
                return Ok(grant);
            }
            if !ask.may_wait {
                // The probe leaves the queue; it may have held others up.
                drop(receiver);
                self.dispatch(&mut state);
                return Err(state.refuse(wait));
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
            let is_crowded = state.is_crowded(class);
            let Some(waiter) = state.queue(class).pop(is_crowded) else {
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
                report: Report::Left,
            };
            // The receiver may have gone; its grant is dropped without freeing a slot.
            if let Err(mut unused) = waiter.sender.send(grant) {
                unused.owner = None;
                continue;
            }
            state.take(index, class);
        }
    }

    fn release(self: &Arc<Self>, grant: &Grant) {
        let mut state = self.lock();
        let served = grant.report == Report::Served;
        let time = served.then(|| grant.began.elapsed());
        state.load.end(grant.class, time);
        state.free(&grant.target, grant.report);
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
    pub fn finish(mut self, report: Report) {
        self.report = report;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(owner) = self.owner.take() {
            owner.release(self);
        }
    }
}

impl State {
    fn find(&self, id: &TargetId) -> Result<usize, usize> {
        self.targets.binary_search_by(|held| held.slots.id.cmp(id))
    }

    fn queue(&mut self, class: WorkClass) -> &mut Queue {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }

    /// Slots that may be used now.
    fn slots(&self) -> u32 {
        self.targets.iter().map(TargetState::allowed).sum()
    }

    fn reserve(&self) -> u32 {
        self.policy.reserve(self.slots(), self.short_part)
    }

    /// Time that work from another zone must have waited longer than near work to go first.
    ///
    /// A slot idles while its grant and release travel. Under overload, when all zones have work
    /// of their own, that idle time would be lost to useful work.
    fn far_handicap(&mut self, class: WorkClass) -> Duration {
        if self.is_crowded(class) {
            return OVERLOAD_HANDICAP;
        }
        FAR_HANDICAP
    }

    fn is_crowded(&mut self, class: WorkClass) -> bool {
        let crowd = f64::from(self.slots()) * OVERLOAD_FACTOR;
        self.queue(class).is_above(crowd)
    }

    /// Whether short work is under overload that lasts.
    fn is_pressed(&mut self) -> bool {
        let crowd = f64::from(self.slots()) * PRESSED_FACTOR;
        self.short.is_above(crowd)
    }

    /// A refusal of work that would wait for `wait`.
    fn refuse(&self, wait: Duration) -> Refusal {
        let mut free = self.targets.iter().filter(|target| target.free() > 0);
        let is_doubtful = free.any(|target| target.health.is_suspect());
        Refusal { wait, is_doubtful }
    }

    /// Averages what proxies tell of the service's work.
    fn learn(&mut self, short_part: Option<f64>) {
        let Some(part) = short_part.filter(|part| (0.0..=1.0).contains(part)) else {
            return;
        };
        if self.short_part == 0.0 {
            self.short_part = part;
        }
        self.short_part += (part - self.short_part) * PART_WEIGHT;
    }

    fn ejected(&self) -> usize {
        let ejected = |target: &&TargetState| target.health.is_ejected();
        self.targets.iter().filter(ejected).count()
    }

    /// Class of the work that starts next, if a slot is free for any.
    fn next_class(&mut self) -> Option<WorkClass> {
        if self.targets.iter().all(|target| target.free() == 0) {
            return None;
        }
        let (short, long) = (self.short.front(), self.long.front());
        let Some(long) = long else {
            return short.map(|_| WorkClass::Short);
        };
        let slots = self.slots();
        let busy = self.load.busy(WorkClass::Long);
        let Some(short) = short else {
            let cap = slots.saturating_sub(self.reserve());
            let patience = self.load.mean(WorkClass::Long) * LONG_PATIENCE;
            // A small owner may reserve all its slots; its long work must not wait for ever.
            let may_start = busy < cap || long.elapsed() > patience;
            return may_start.then_some(WorkClass::Long);
        };
        let is_older = long < short;
        // A slot idles while a far grant travels, for a sixth of short work's time and next to
        // nothing of long work's.
        let is_remote = self.short.is_far() && self.is_pressed();
        let cap = slots.saturating_sub(self.reserve());
        let is_long = match self.policy.rule {
            Rule::Fifo => is_older,
            _ if is_remote => busy < cap,
            // Long work keeps a few slots however much short work arrives, so neither starves.
            _ => is_older && busy < self.policy.floor_after(long.elapsed(), slots),
        };
        Some(if is_long {
            WorkClass::Long
        } else {
            WorkClass::Short
        })
    }

    /// The target with the smallest part of its slots in use; tried ones come last.
    fn pick(&self, waiter: &Waiter) -> Option<usize> {
        let is_sound = |target: &TargetState| !waiter.is_probe || !target.health.is_suspect();
        let targets = self.targets.iter().enumerate();
        let free = targets.filter(|(_, target)| target.free() > 0 && is_sound(target));
        let order = |target: &TargetState| {
            let part = u64::from(target.busy) * 1_000 / u64::from(target.slots.limit.max(1));
            let tried = waiter.avoid.contains(&target.slots.id);
            let health = &target.health;
            (
                tried,
                health.is_suspect(),
                health.is_doubtful(),
                part,
                target.last,
            )
        };
        free.min_by_key(|(_, target)| order(target))
            .map(|(index, _)| index)
    }

    fn take(&mut self, index: usize, class: WorkClass) {
        self.picks += 1;
        self.load.start(class);
        let target = &mut self.targets[index];
        target.busy += 1;
        target.last = self.picks;
        let is_held = target.busy <= target.slots.limit && target.slots.is_open;
        check_invariant(is_held, "slots", || {
            format!("{} slots of {} are in use", target.busy, target.slots.id)
        });
    }

    fn free(&mut self, id: &TargetId, report: Report) {
        let Ok(index) = self.find(id) else { return };
        let ejected = self.ejected();
        let most = self.targets.len() * usize::from(self.policy.eject_share) / 100;
        let ramp_time = self.policy.ramp_time;
        let target = &mut self.targets[index];
        target.busy = target.busy.saturating_sub(1);
        if target.health.note(report) {
            let is_capped = ejected >= most;
            target.health.eject(ramp_time, is_capped);
            metrics::counter!("targets_ejected").increment(1);
            let cause = format!("target {id}: failures in a row, capped={is_capped}");
            decisions().push("target_ejected", cause);
        }
        if !target.slots.is_open && target.busy == 0 {
            self.targets.remove(index);
        }
    }

    /// Expected wait of a request that joins the queue of `class` now.
    fn expected_wait(&self, class: WorkClass) -> Duration {
        let slots = self.slots();
        if slots == 0 {
            return NO_TARGET_WAIT;
        }
        let busy_long = self.load.busy(WorkClass::Long);
        let (ahead, mean, servers) = match class {
            WorkClass::Short => {
                let servers = slots.saturating_sub(busy_long).max(1);
                (self.short.len(), self.load.mean(class), f64::from(servers))
            }
            WorkClass::Long => {
                let floor = self.policy.long_floor(slots).max(1);
                let short = self.load.short_demand();
                let cap = f64::from(slots.saturating_sub(self.reserve()).max(floor));
                let mut servers = (f64::from(slots) - short).clamp(f64::from(floor), cap);
                if self.load.is_young() {
                    // An owner that has just taken over can't tell how much short work comes.
                    servers = f64::from(floor);
                }
                // Short work that waits goes first.
                let mean_short = self.load.mean(WorkClass::Short).as_secs_f64();
                let mean = self.load.mean(class);
                let ratio = mean_short / mean.as_secs_f64().max(mean_short).max(f64::MIN_POSITIVE);
                let before = self.short.len() * ratio;
                (self.long.len() + before, mean, servers)
            }
        };
        mean.mul_f64(ahead / servers)
    }
}

impl TargetState {
    fn allowed(&self) -> u32 {
        if !self.slots.is_open {
            return 0;
        }
        self.health.allowed(self.slots.limit)
    }

    fn free(&self) -> u32 {
        if self.health.is_paused() {
            return 0;
        }
        self.allowed().saturating_sub(self.busy)
    }
}
