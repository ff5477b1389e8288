//! Simulates the crest, a period of demand above capacity, in virtual time.
//!
//! Slots, queues, retries and refusals use the code of the proxy. Callers, targets and the network
//! are simulated, as are failures during the crest.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_proxy::RetryBudget;
use bambooseam_proxy::slots::{
    DrainMeter, Health, Lease, Policy, Refusal, SlotFinder, SlotOwner, SlotRequest, SlotShare,
    TargetSlots, WorkMix, WorkOutcome, jittered,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::schedule::{
    DelayedOwner, LONG_FACTOR, LONG_FRACTION, OwnerHandle, SLOTS, VMS, ZONE_DELAY, ZONES,
    exponential, percentile,
};
use super::{Bound, print_bound};

/// Mean service time of short work, at which long work alone seldom exceeds the deadline.
const SHORT_MEAN: Duration = Duration::from_millis(20);
/// Number of targets.
const TARGETS: usize = 15;
/// Demand outside the crest, as a fraction of capacity.
const LOW_DEMAND: f64 = 0.3;
/// Demand at the crest, as a multiple of capacity.
const HIGH_DEMAND: f64 = 3.0;
/// Time in seconds at which demand begins to rise.
const RISE_AT_S: f64 = 10.0;
/// Duration of the rise and of the fall of demand, in seconds.
const SLOPE_S: f64 = 2.0;
/// Time in seconds at which demand begins to fall.
const FALL_AT_S: f64 = 30.0;
/// Time in seconds at which the run ends.
const END_AT_S: f64 = 60.0;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Maximum wait for a slot.
const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// Maximum number of attempts of one caller.
const CALLER_ATTEMPTS: u32 = 4;
/// Time in which a cold target reaches full speed.
const RAMP_TIME: Duration = Duration::from_secs(10);
/// Initial service time of a cold target, relative to a warm target.
const COLD_FACTOR: f64 = 3.0;
/// Time in seconds at which the VM is lost, well within the crest.
const LOST_AT_S: f64 = 18.0;
/// Time until the next proxy in rank takes over the slots that the lost proxy owned.
const TAKEOVER_TIME: Duration = Duration::from_millis(250);
/// Retries permitted, in percent of first attempts.
const RETRY_PERCENT: u8 = 10;
/// Maximum number of attempts of the proxy for one request.
const PROXY_ATTEMPTS: u32 = 3;
/// Maximum p99 response time of short work in a second that counts as normal.
const NORMAL_RESPONSE: Duration = Duration::from_millis(500);
/// Maximum fraction of refused requests in a second that counts as normal.
const NORMAL_REFUSALS: f64 = 0.05;

/// Failure that is injected at the crest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No failure.
    None,
    /// A third of the targets start cold when demand rises.
    ColdTargets,
    /// One entry VM is lost.
    LostVm,
}

/// Results of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Crest {
    /// Work answered completely within its deadline during the crest, as a fraction of capacity.
    pub goodput: f64,
    /// Seconds after the crest until refusals and response times are normal again.
    pub recovery_s: f64,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
    /// Largest fraction of the refused callers that retried within the same second.
    pub return_peak: f64,
    /// Retries between proxies and targets, as a fraction of first attempts.
    pub retries: f64,
    /// Number of refusals.
    pub refused: usize,
}

/// Result of one attempt of a caller, with its time in seconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    Served {
        at: f64,
        began: f64,
        elapsed: Duration,
        class: WorkClass,
        is_in_time: bool,
    },
    Refused {
        at: f64,
        elapsed: Duration,
        retry_at: f64,
    },
}

struct Simulation {
    start: Instant,
    failure: Failure,
    vms: Vec<Vm>,
    owners: Vec<OwnerHandle>,
    slots_in_use: RefCell<Vec<u32>>,
    events: RefCell<Vec<Event>>,
    attempts: RefCell<(u64, u64)>,
    random: RefCell<StdRng>,
    lost: Notify,
}

struct Vm {
    finder: SlotFinder<DelayedOwner>,
    mix: RefCell<WorkMix>,
    drain: RefCell<DrainMeter>,
    budget: RetryBudget,
}

/// A caller's request.
#[derive(Debug, Clone, Copy)]
struct CallerRequest {
    vm: usize,
    class: WorkClass,
    time: Duration,
}

/// Runs the crest with the code of the proxy.
pub fn run(seed: u64, failure: Failure) -> Crest {
    in_virtual_time(async {
        let simulation = Rc::new(Simulation::new(seed, failure));
        simulation
            .drive(|simulation, request| async move { simulation.serve(request).await })
            .await;
        simulation.summarize()
    })
}

/// Runs the crest with an unbounded FIFO queue and callers that retry immediately.
pub fn run_naive(seed: u64) -> Crest {
    in_virtual_time(async {
        let simulation = Rc::new(Simulation::new(seed, Failure::None));
        let slots = Rc::new(tokio::sync::Semaphore::new(TARGETS * SLOTS as usize));
        simulation
            .drive(move |simulation, request| {
                let slots = Rc::clone(&slots);
                async move { serve_naive(&simulation, slots, request).await }
            })
            .await;
        simulation.summarize()
    })
}

fn in_virtual_time<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// Returns the demand at a time in seconds, as a multiple of capacity.
fn demand(at: f64) -> f64 {
    let rise = ((at - RISE_AT_S) / SLOPE_S).clamp(0.0, 1.0);
    let fall = ((at - FALL_AT_S) / SLOPE_S).clamp(0.0, 1.0);
    LOW_DEMAND + (HIGH_DEMAND - LOW_DEMAND) * (rise - fall)
}

/// Returns the requests per second that use the full capacity.
fn capacity_rate() -> f64 {
    let mean = (1.0 - LONG_FRACTION) + LONG_FRACTION * LONG_FACTOR;
    f64::from(SLOTS) * TARGETS as f64 / mean / SHORT_MEAN.as_secs_f64()
}

impl Simulation {
    fn new(seed: u64, failure: Failure) -> Self {
        let owners: Vec<OwnerHandle> = (0..ZONES)
            .map(|z| OwnerHandle::new(zone_owner(z)))
            .collect();
        let vm = |vm: usize| {
            let mut zones: Vec<usize> = (0..ZONES).collect();
            zones.rotate_left(vm % ZONES);
            let sources = zones.iter().enumerate().map(|(position, zone)| {
                let delay = if position == 0 {
                    Duration::ZERO
                } else {
                    ZONE_DELAY
                };
                DelayedOwner::new(&owners[*zone], delay)
            });
            Vm {
                finder: SlotFinder::new(sources.collect()),
                mix: RefCell::default(),
                drain: RefCell::default(),
                budget: RetryBudget::new(),
            }
        };
        Self {
            start: Instant::now(),
            failure,
            vms: (0..VMS).map(vm).collect(),
            owners,
            slots_in_use: RefCell::new(vec![0; TARGETS]),
            events: RefCell::default(),
            attempts: RefCell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            lost: Notify::new(),
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Generates requests until the end of the run and injects the failure.
    async fn drive<F, W>(self: &Rc<Self>, serve: F)
    where
        F: Fn(Rc<Self>, CallerRequest) -> W + Clone + 'static,
        W: Future<Output = ()> + 'static,
    {
        spawn_local(Rc::clone(self).tick());
        spawn_local(Rc::clone(self).inject_failure());
        // A Poisson process at the maximum rate is thinned to the demand at each arrival.
        let rate = capacity_rate() * HIGH_DEMAND;
        let mut at = 0.0;
        loop {
            let (gap, keep, request) = self.draw();
            at += gap / rate;
            if at >= END_AT_S {
                break;
            }
            sleep_until(self.start + Duration::from_secs_f64(at)).await;
            if keep < demand(at) / HIGH_DEMAND {
                spawn_local(serve(Rc::clone(self), request));
            }
        }
    }

    fn draw(&self) -> (f64, f64, CallerRequest) {
        let mut random = self.random.borrow_mut();
        let is_long = random.random_bool(LONG_FRACTION);
        let factor = if is_long { LONG_FACTOR } else { 1.0 };
        let request = CallerRequest {
            vm: random.random_range(0..VMS),
            class: if is_long {
                WorkClass::Long
            } else {
                WorkClass::Short
            },
            time: SHORT_MEAN.mul_f64(factor * exponential(&mut random)),
        };
        (exponential(&mut random), random.random(), request)
    }

    async fn tick(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(100)).await;
            self.owners
                .iter()
                .filter_map(OwnerHandle::get)
                .for_each(|owner| owner.tick());
        }
    }

    async fn inject_failure(self: Rc<Self>) {
        match self.failure {
            Failure::None => {}
            Failure::ColdTargets => {
                sleep_until(self.start + Duration::from_secs_f64(RISE_AT_S)).await;
                for (zone, handle) in self.owners.iter().enumerate() {
                    let Some(owner) = handle.get() else { continue };
                    let (policy, all) = zone_slots(zone);
                    let rest = all.iter().filter(|slots| !is_cold(&slots.id));
                    owner.update(policy, rest.cloned().collect(), Health::warm);
                    owner.update(policy, all, || Health::cold(RAMP_TIME));
                }
            }
            Failure::LostVm => {
                sleep_until(self.start + Duration::from_secs_f64(LOST_AT_S)).await;
                self.owners[0].set(None);
                self.lost.notify_waiters();
                sleep(TAKEOVER_TIME).await;
                self.owners[0].set(Some(zone_owner(0)));
            }
        }
    }

    fn is_lost(&self, vm: usize) -> bool {
        self.failure == Failure::LostVm && vm == 0 && self.now() >= LOST_AT_S
    }

    /// Runs one caller with all attempts, each on a VM that is not lost.
    async fn serve(self: Rc<Self>, mut request: CallerRequest) {
        for _ in 0..CALLER_ATTEMPTS {
            if self.is_lost(request.vm) {
                request.vm = self.random.borrow_mut().random_range(1..VMS);
            }
            let arrived = Instant::now();
            let lost = async {
                self.lost.notified().await;
                if request.vm != 0 {
                    std::future::pending::<()>().await;
                }
            };
            let result = tokio::select! {
                biased;
                result = self.send_request(request, arrived) => result,
                // The caller's connection broke, so the caller retries through another VM.
                () = lost => {
                    sleep(Duration::from_secs(1)).await;
                    continue;
                }
            };
            let Err(refusal) = result else { return };
            let vm = &self.vms[request.vm];
            let expected = vm.mix.borrow().mean(request.class);
            let backoff = vm.drain.borrow_mut().record_refusal(refusal.wait, expected);
            let pause = jittered(&mut *self.random.borrow_mut(), backoff);
            let at = self.now();
            self.events.borrow_mut().push(Event::Refused {
                at,
                elapsed: arrived.elapsed(),
                retry_at: at + pause as f64,
            });
            sleep(Duration::from_secs(pause)).await;
        }
    }

    /// Sends one request through a proxy.
    async fn send_request(&self, request: CallerRequest, arrived: Instant) -> Result<(), Refusal> {
        let vm = &self.vms[request.vm];
        vm.mix.borrow_mut().record_arrival(request.class);
        vm.budget.deposit(RETRY_PERCENT);
        self.attempts.borrow_mut().0 += 1;
        for attempt in 0..PROXY_ATTEMPTS {
            if attempt > 0 {
                if !vm.budget.withdraw() {
                    break;
                }
                self.attempts.borrow_mut().1 += 1;
            }
            let lease = self.acquire_slot(vm, request.class, arrived).await?;
            let target = number_of(lease.target());
            if self.slots_in_use.borrow()[target] >= SLOTS {
                lease.finish(WorkOutcome::Shed);
                continue;
            }
            self.slots_in_use.borrow_mut()[target] += 1;
            let _guard = SlotGuard {
                simulation: self,
                target,
            };
            let began = self.now();
            let time = request.time.mul_f64(self.slowdown(target));
            let left = (arrived + DEADLINE).saturating_duration_since(Instant::now());
            let ended = timeout(left, sleep(time)).await;
            let outcome = if ended.is_ok() {
                WorkOutcome::Served
            } else {
                WorkOutcome::Cancelled
            };
            lease.finish(outcome);
            if ended.is_ok() {
                vm.mix.borrow_mut().record_served(request.class, time);
                vm.drain.borrow_mut().record_served(time);
            }
            self.record_served_event(began, arrived, request.class, ended.is_ok());
            return Ok(());
        }
        Err(Refusal::new(Duration::from_secs(1)))
    }

    async fn acquire_slot(
        &self,
        vm: &Vm,
        class: WorkClass,
        arrived: Instant,
    ) -> Result<impl Lease + use<>, Refusal> {
        let until = arrived + QUEUE_LIMIT;
        let slot_request = SlotRequest {
            class,
            waited: arrived.elapsed(),
            may_wait: true,
            is_remote: false,
            service_time: vm.mix.borrow().mean(class),
            owners: 1,
            avoid: Vec::new(),
            short_fraction: vm.mix.borrow().short_fraction(),
        };
        let limit = until.saturating_duration_since(Instant::now());
        vm.finder.find(slot_request, limit).await
    }

    fn record_served_event(
        &self,
        began: f64,
        arrived: Instant,
        class: WorkClass,
        is_in_time: bool,
    ) {
        self.events.borrow_mut().push(Event::Served {
            at: self.now(),
            began,
            elapsed: arrived.elapsed(),
            class,
            is_in_time,
        });
    }

    /// Returns the factor by which a target's service times are currently longer than normal.
    fn slowdown(&self, target: usize) -> f64 {
        if self.failure != Failure::ColdTargets || !is_cold_number(target) {
            return 1.0;
        }
        let fraction = ((self.now() - RISE_AT_S) / RAMP_TIME.as_secs_f64()).clamp(0.0, 1.0);
        COLD_FACTOR + (1.0 - COLD_FACTOR) * fraction
    }

    fn summarize(&self) -> Crest {
        let events = self.events.borrow();
        // The crest lasts from the time at which demand exceeds capacity until demand falls below.
        let fraction = (1.0 - LOW_DEMAND) / (HIGH_DEMAND - LOW_DEMAND);
        let (from, to) = (
            RISE_AT_S + fraction * SLOPE_S,
            FALL_AT_S + (1.0 - fraction) * SLOPE_S,
        );
        let mut work = 0.0;
        let mut refusals = Vec::new();
        let mut retry_counts = vec![0_usize; 600];
        for event in events.iter() {
            match *event {
                Event::Served {
                    at,
                    began,
                    is_in_time,
                    ..
                } if is_in_time => {
                    work += (at.min(to) - began.max(from)).max(0.0);
                }
                Event::Served { .. } => {}
                Event::Refused {
                    elapsed, retry_at, ..
                } => {
                    refusals.push(elapsed.as_secs_f64() * 1e3);
                    retry_counts[(retry_at as usize).min(599)] += 1;
                }
            }
        }
        refusals.sort_by(f64::total_cmp);
        let (first_attempts, retries) = *self.attempts.borrow();
        let slots = f64::from(SLOTS) * TARGETS as f64;
        Crest {
            goodput: work / (slots * (to - from)),
            recovery_s: recovery(&events, FALL_AT_S + SLOPE_S),
            refusal_p99_ms: percentile(&refusals, 0.99),
            return_peak: retry_counts.iter().max().copied().unwrap_or(0) as f64
                / refusals.len().max(1) as f64,
            retries: retries as f64 / first_attempts.max(1) as f64,
            refused: refusals.len(),
        }
    }
}

/// Returns the seconds from `end` to the end of the last second that was not normal.
fn recovery(events: &[Event], end: f64) -> f64 {
    let mut last = 0.0;
    for second in 0..(END_AT_S - end) as usize {
        let (from, to) = (end + second as f64, end + second as f64 + 1.0);
        let mut short = Vec::new();
        let (mut served, mut refused) = (0, 0);
        for event in events {
            match *event {
                Event::Served {
                    at, elapsed, class, ..
                } if (from..to).contains(&at) => {
                    served += 1;
                    if class == WorkClass::Short {
                        short.push(elapsed.as_secs_f64());
                    }
                }
                Event::Refused { at, .. } if (from..to).contains(&at) => refused += 1,
                _ => {}
            }
        }
        short.sort_by(f64::total_cmp);
        let is_quick = percentile(&short, 0.99) <= NORMAL_RESPONSE.as_secs_f64();
        let is_admitting = f64::from(refused) <= NORMAL_REFUSALS * f64::from(served + refused);
        if !is_quick || !is_admitting {
            last = to - end;
        }
    }
    last
}

/// Runs one caller of the naive system, which does not cancel a request after its deadline.
async fn serve_naive(
    simulation: &Rc<Simulation>,
    slots: Rc<tokio::sync::Semaphore>,
    request: CallerRequest,
) {
    for _ in 0..CALLER_ATTEMPTS {
        let arrived = Instant::now();
        let slots = Rc::clone(&slots);
        let simulation = Rc::clone(simulation);
        let run = spawn_local(async move {
            let _slot = slots.acquire().await;
            let began = simulation.now();
            sleep(request.time).await;
            let is_in_time = arrived.elapsed() <= DEADLINE;
            simulation.record_served_event(began, arrived, request.class, is_in_time);
        });
        if timeout(DEADLINE, run).await.is_ok() {
            return;
        }
    }
}

/// A slot that its target counts as in use; dropping the guard frees the slot.
struct SlotGuard<'a> {
    simulation: &'a Simulation,
    target: usize,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.simulation.slots_in_use.borrow_mut()[self.target] -= 1;
    }
}

/// Creates an owner of a zone's targets.
fn zone_owner(zone: usize) -> Arc<SlotOwner> {
    let (policy, slots) = zone_slots(zone);
    let owner = SlotOwner::new(policy);
    owner.update(policy, slots, Health::warm);
    owner
}

/// Returns the policy and the targets of a zone.
fn zone_slots(zone: usize) -> (Policy, Vec<TargetSlots>) {
    let count = TARGETS / ZONES;
    let slots = |count: usize| u32::try_from(count).unwrap_or(u32::MAX) * SLOTS;
    let policy = Policy::DEFAULT.with_share(SlotShare {
        offset: slots(zone * count),
        total: slots(TARGETS),
    });
    let targets = (zone * count..(zone + 1) * count).map(|target| TargetSlots {
        id: format!("t{target:04}").parse().expect("a valid name"),
        limit: SLOTS,
        is_open: true,
    });
    (policy, targets.collect())
}

fn number_of(id: &bambooseam_types::TargetId) -> usize {
    id.as_str()[1..]
        .parse()
        .expect("a number that this module generated")
}

fn is_cold(id: &bambooseam_types::TargetId) -> bool {
    is_cold_number(number_of(id))
}

const fn is_cold_number(target: usize) -> bool {
    target.is_multiple_of(3)
}

/// Runs and prints all cases and bounds; returns whether all bounds are met.
pub fn print(seed: u64) -> bool {
    let mut is_met = true;
    let naive = run_naive(seed);
    println!(
        "crest=naive goodput={:.3} recovery_s={:.0}",
        naive.goodput, naive.recovery_s
    );
    for (name, failure) in [
        ("", Failure::None),
        ("_cold", Failure::ColdTargets),
        ("_lost_vm", Failure::LostVm),
    ] {
        let crest = run(seed, failure);
        println!(
            "crest{name} refused={} return_peak={:.3} retries={:.3}",
            crest.refused, crest.return_peak, crest.retries
        );
        let print =
            |figure: &str, value, bound| print_bound(&format!("{figure}{name}"), value, bound);
        is_met &= print("crest_goodput", crest.goodput, Bound::AtLeast(0.95));
        is_met &= print("recovery_s", crest.recovery_s, Bound::AtMost(5.0));
        is_met &= print("refusal_p99_ms", crest.refusal_p99_ms, Bound::AtMost(50.0));
        is_met &= print("retry_part", crest.retries, Bound::AtMost(0.1));
    }
    is_met
}
