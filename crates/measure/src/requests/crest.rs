//! The crest of a swing, in virtual time on the code that the proxy runs.

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
    Delayed, LONG_FACTOR, LONG_PART, OwnerPlace, SLOTS, VMS, ZONE_DELAY, ZONES, exponential,
    percentile,
};
use super::{Bound, print_bound};

/// Mean service time of short work; long work then seldom exceeds the deadline by itself.
const UNIT: Duration = Duration::from_millis(20);
/// Targets.
const TARGETS: usize = 15;
/// Demand outside the crest, as a part of capacity.
const LOW: f64 = 0.3;
/// Demand at the crest, as a part of capacity.
const HIGH: f64 = 3.0;
/// When demand begins to rise.
const RISE_AT: f64 = 10.0;
/// Time in which demand rises or falls, in seconds.
const STEP: f64 = 2.0;
/// When demand begins to fall.
const FALL_AT: f64 = 30.0;
/// When the run ends.
const END_AT: f64 = 60.0;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Longest wait for a slot.
const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// Tries of one caller.
const CALLER_TRIES: u32 = 4;
/// Time for which a cold target is slow.
const RAMP_TIME: Duration = Duration::from_secs(10);
/// A target that starts cold takes this many times as long at first.
const COLD_FACTOR: f64 = 3.0;
/// When the VM is lost, well within the crest.
const LOST_AT: f64 = 18.0;
/// Time until the next proxy in rank owns what the lost one did.
const TAKEOVER: Duration = Duration::from_millis(250);
/// Retries in percent of first tries.
const RETRY_SHARE: u8 = 10;
/// Most tries of the proxy for one request.
const PROXY_TRIES: u32 = 3;
/// Longest response time of short work that counts as normal.
const NORMAL: Duration = Duration::from_millis(500);
/// Part of requests that may be refused in a normal second.
const NORMAL_REFUSED: f64 = 0.05;

/// What goes wrong at the crest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing.
    None,
    /// A third of the targets starts cold when demand rises.
    ColdTargets,
    /// One entry VM is lost.
    LostVm,
}

/// What a run showed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Crest {
    /// Work of whole answers within their deadline, as a part of capacity, through the crest.
    pub goodput: f64,
    /// Seconds after the crest until all is normal again.
    pub recovery_s: f64,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
    /// Largest part of the refused callers that came back within one second.
    pub return_peak: f64,
    /// Retries between proxies and targets, as a part of first tries.
    pub retries: f64,
    /// Refusals.
    pub refused: usize,
}

/// One thing that happened to a request.
#[derive(Debug, Clone, Copy)]
enum Event {
    Served {
        at: f64,
        began: f64,
        taken: Duration,
        class: WorkClass,
        in_time: bool,
    },
    Refused {
        at: f64,
        taken: Duration,
        back_at: f64,
    },
}

struct World {
    start: Instant,
    trouble: Failure,
    vms: Vec<Vm>,
    owners: Vec<OwnerPlace>,
    physical: RefCell<Vec<u32>>,
    events: RefCell<Vec<Event>>,
    tries: RefCell<(u64, u64)>,
    random: RefCell<StdRng>,
    lost: Notify,
}

struct Vm {
    finder: SlotFinder<Delayed>,
    mix: RefCell<WorkMix>,
    drain: RefCell<DrainMeter>,
    budget: RetryBudget,
}

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
struct Order {
    vm: usize,
    class: WorkClass,
    time: Duration,
}

/// Runs the crest with the proxy's code.
pub fn run(seed: u64, trouble: Failure) -> Crest {
    in_virtual_time(async {
        let world = Rc::new(World::new(seed, trouble));
        world
            .drive(|world, order| async move { world.serve(order).await })
            .await;
        world.summarize()
    })
}

/// Runs the crest with a FIFO queue without bound and callers that retry at once.
pub fn run_naive(seed: u64) -> Crest {
    in_virtual_time(async {
        let world = Rc::new(World::new(seed, Failure::None));
        let slots = Rc::new(tokio::sync::Semaphore::new(TARGETS * SLOTS as usize));
        world
            .drive(move |world, order| {
                let slots = Rc::clone(&slots);
                async move { serve_naive(&world, slots, order).await }
            })
            .await;
        world.summarize()
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

/// Demand at a time, as a part of capacity.
fn demand(at: f64) -> f64 {
    let rise = ((at - RISE_AT) / STEP).clamp(0.0, 1.0);
    let fall = ((at - FALL_AT) / STEP).clamp(0.0, 1.0);
    LOW + (HIGH - LOW) * (rise - fall)
}

/// Requests a second that use the whole capacity.
fn capacity_rate() -> f64 {
    let mean = (1.0 - LONG_PART) + LONG_PART * LONG_FACTOR;
    f64::from(SLOTS) * TARGETS as f64 / mean / UNIT.as_secs_f64()
}

impl World {
    fn new(seed: u64, trouble: Failure) -> Self {
        let owners: Vec<OwnerPlace> = (0..ZONES).map(|z| OwnerPlace::new(zone_owner(z))).collect();
        let vm = |vm: usize| {
            let mut zones: Vec<usize> = (0..ZONES).collect();
            zones.rotate_left(vm % ZONES);
            let sources = zones.iter().enumerate().map(|(far, zone)| {
                let delay = if far == 0 { Duration::ZERO } else { ZONE_DELAY };
                Delayed::new(&owners[*zone], delay)
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
            trouble,
            vms: (0..VMS).map(vm).collect(),
            owners,
            physical: RefCell::new(vec![0; TARGETS]),
            events: RefCell::default(),
            tries: RefCell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            lost: Notify::new(),
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Lets requests arrive until the end, and trouble happen.
    async fn drive<F, W>(self: &Rc<Self>, serve: F)
    where
        F: Fn(Rc<Self>, Order) -> W + Clone + 'static,
        W: Future<Output = ()> + 'static,
    {
        spawn_local(Rc::clone(self).tick());
        spawn_local(Rc::clone(self).make_trouble());
        // Arrivals at the highest rate, thinned to the demand at their time.
        let rate = capacity_rate() * HIGH;
        let mut at = 0.0;
        loop {
            let (gap, keep, order) = self.draw();
            at += gap / rate;
            if at >= END_AT {
                break;
            }
            sleep_until(self.start + Duration::from_secs_f64(at)).await;
            if keep < demand(at) / HIGH {
                spawn_local(serve(Rc::clone(self), order));
            }
        }
    }

    fn draw(&self) -> (f64, f64, Order) {
        let mut random = self.random.borrow_mut();
        let is_long = random.random_bool(LONG_PART);
        let factor = if is_long { LONG_FACTOR } else { 1.0 };
        let order = Order {
            vm: random.random_range(0..VMS),
            class: if is_long {
                WorkClass::Long
            } else {
                WorkClass::Short
            },
            time: UNIT.mul_f64(factor * exponential(&mut random)),
        };
        (exponential(&mut random), random.random(), order)
    }

    async fn tick(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(100)).await;
            self.owners
                .iter()
                .filter_map(OwnerPlace::get)
                .for_each(|owner| owner.tick());
        }
    }

    async fn make_trouble(self: Rc<Self>) {
        match self.trouble {
            Failure::None => {}
            Failure::ColdTargets => {
                sleep_until(self.start + Duration::from_secs_f64(RISE_AT)).await;
                for (zone, place) in self.owners.iter().enumerate() {
                    let Some(owner) = place.get() else { continue };
                    let (policy, all) = zone_slots(zone);
                    let rest = all.iter().filter(|slots| !is_cold(&slots.id));
                    owner.update(policy, rest.cloned().collect(), Health::warm);
                    owner.update(policy, all, || Health::cold(RAMP_TIME));
                }
            }
            Failure::LostVm => {
                sleep_until(self.start + Duration::from_secs_f64(LOST_AT)).await;
                self.owners[0].set(None);
                self.lost.notify_waiters();
                sleep(TAKEOVER).await;
                self.owners[0].set(Some(zone_owner(0)));
            }
        }
    }

    fn is_lost(&self, vm: usize) -> bool {
        self.trouble == Failure::LostVm && vm == 0 && self.now() >= LOST_AT
    }

    /// One caller with its tries, each on a VM that is alive.
    async fn serve(self: Rc<Self>, mut order: Order) {
        for _ in 0..CALLER_TRIES {
            if self.is_lost(order.vm) {
                order.vm = self.random.borrow_mut().random_range(1..VMS);
            }
            let arrived = Instant::now();
            let lost = async {
                self.lost.notified().await;
                if order.vm != 0 {
                    std::future::pending::<()>().await;
                }
            };
            let tried = tokio::select! {
                biased;
                tried = self.pass(order, arrived) => tried,
                // The caller's connection broke; it comes again through another VM.
                () = lost => {
                    sleep(Duration::from_secs(1)).await;
                    continue;
                }
            };
            let Err(refusal) = tried else { return };
            let vm = &self.vms[order.vm];
            let expected = vm.mix.borrow().mean(order.class);
            let backoff = vm.drain.borrow_mut().record_refusal(refusal.wait, expected);
            let pause = jittered(&mut *self.random.borrow_mut(), backoff);
            let at = self.now();
            self.events.borrow_mut().push(Event::Refused {
                at,
                taken: arrived.elapsed(),
                back_at: at + pause as f64,
            });
            sleep(Duration::from_secs(pause)).await;
        }
    }

    /// One request through a proxy.
    async fn pass(&self, order: Order, arrived: Instant) -> Result<(), Refusal> {
        let vm = &self.vms[order.vm];
        vm.mix.borrow_mut().record_arrival(order.class);
        vm.budget.deposit(RETRY_SHARE);
        self.tries.borrow_mut().0 += 1;
        for attempt in 0..PROXY_TRIES {
            if attempt > 0 {
                if !vm.budget.withdraw() {
                    break;
                }
                self.tries.borrow_mut().1 += 1;
            }
            let lease = self.find(vm, order.class, arrived).await?;
            let target = number_of(lease.target());
            if self.physical.borrow()[target] >= SLOTS {
                lease.finish(WorkOutcome::Shed);
                continue;
            }
            self.physical.borrow_mut()[target] += 1;
            let _busy = Busy {
                world: self,
                target,
            };
            let began = self.now();
            let time = order.time.mul_f64(self.slowness(target));
            let left = (arrived + DEADLINE).saturating_duration_since(Instant::now());
            let ended = timeout(left, sleep(time)).await;
            let report = if ended.is_ok() {
                WorkOutcome::Served
            } else {
                WorkOutcome::Cancelled
            };
            lease.finish(report);
            if ended.is_ok() {
                vm.mix.borrow_mut().record_served(order.class, time);
                vm.drain.borrow_mut().record_served(time);
            }
            self.note_served(began, arrived, order.class, ended.is_ok());
            return Ok(());
        }
        Err(Refusal::new(Duration::from_secs(1)))
    }

    async fn find(
        &self,
        vm: &Vm,
        class: WorkClass,
        arrived: Instant,
    ) -> Result<impl Lease + use<>, Refusal> {
        let until = arrived + QUEUE_LIMIT;
        let ask = SlotRequest {
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
        vm.finder.find(ask, limit).await
    }

    fn note_served(&self, began: f64, arrived: Instant, class: WorkClass, in_time: bool) {
        self.events.borrow_mut().push(Event::Served {
            at: self.now(),
            began,
            taken: arrived.elapsed(),
            class,
            in_time,
        });
    }

    /// How many times as long work takes on a target now.
    fn slowness(&self, target: usize) -> f64 {
        if self.trouble != Failure::ColdTargets || !is_cold_number(target) {
            return 1.0;
        }
        let part = ((self.now() - RISE_AT) / RAMP_TIME.as_secs_f64()).clamp(0.0, 1.0);
        COLD_FACTOR + (1.0 - COLD_FACTOR) * part
    }

    fn summarize(&self) -> Crest {
        let events = self.events.borrow();
        // The crest lasts from where demand exceeds capacity until it falls below.
        let part = (1.0 - LOW) / (HIGH - LOW);
        let (from, to) = (RISE_AT + part * STEP, FALL_AT + (1.0 - part) * STEP);
        let mut work = 0.0;
        let mut refusals = Vec::new();
        let mut returns = vec![0_usize; 600];
        for event in events.iter() {
            match *event {
                Event::Served {
                    at, began, in_time, ..
                } if in_time => {
                    work += (at.min(to) - began.max(from)).max(0.0);
                }
                Event::Served { .. } => {}
                Event::Refused { taken, back_at, .. } => {
                    refusals.push(taken.as_secs_f64() * 1e3);
                    returns[(back_at as usize).min(599)] += 1;
                }
            }
        }
        refusals.sort_by(f64::total_cmp);
        let (firsts, retries) = *self.tries.borrow();
        let slots = f64::from(SLOTS) * TARGETS as f64;
        Crest {
            goodput: work / (slots * (to - from)),
            recovery_s: recovery(&events, FALL_AT + STEP),
            refusal_p99_ms: percentile(&refusals, 0.99),
            return_peak: returns.iter().max().copied().unwrap_or(0) as f64
                / refusals.len().max(1) as f64,
            retries: retries as f64 / firsts.max(1) as f64,
            refused: refusals.len(),
        }
    }
}

/// Seconds after `end` in which not all was normal.
fn recovery(events: &[Event], end: f64) -> f64 {
    let mut last = 0.0;
    for second in 0..(END_AT - end) as usize {
        let (from, to) = (end + second as f64, end + second as f64 + 1.0);
        let mut short = Vec::new();
        let (mut served, mut refused) = (0, 0);
        for event in events {
            match *event {
                Event::Served {
                    at, taken, class, ..
                } if (from..to).contains(&at) => {
                    served += 1;
                    if class == WorkClass::Short {
                        short.push(taken.as_secs_f64());
                    }
                }
                Event::Refused { at, .. } if (from..to).contains(&at) => refused += 1,
                _ => {}
            }
        }
        short.sort_by(f64::total_cmp);
        let is_quick = percentile(&short, 0.99) <= NORMAL.as_secs_f64();
        let is_open = f64::from(refused) <= NORMAL_REFUSED * f64::from(served + refused);
        if !is_quick || !is_open {
            last = to - end;
        }
    }
    last
}

/// A request in the naive system: it is not cancelled when its caller gives up.
async fn serve_naive(world: &Rc<World>, slots: Rc<tokio::sync::Semaphore>, order: Order) {
    for _ in 0..CALLER_TRIES {
        let arrived = Instant::now();
        let slots = Rc::clone(&slots);
        let worker = Rc::clone(world);
        let run = spawn_local(async move {
            let _slot = slots.acquire().await;
            let began = worker.now();
            sleep(order.time).await;
            let in_time = arrived.elapsed() <= DEADLINE;
            worker.note_served(began, arrived, order.class, in_time);
        });
        if timeout(DEADLINE, run).await.is_ok() {
            return;
        }
    }
}

/// A slot of a target in use, as the target counts it.
struct Busy<'a> {
    world: &'a World,
    target: usize,
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.world.physical.borrow_mut()[self.target] -= 1;
    }
}

/// A new owner of a zone's targets.
fn zone_owner(zone: usize) -> Arc<SlotOwner> {
    let (policy, slots) = zone_slots(zone);
    let owner = SlotOwner::new(policy);
    owner.update(policy, slots, Health::warm);
    owner
}

/// Policy and targets of a zone.
fn zone_slots(zone: usize) -> (Policy, Vec<TargetSlots>) {
    let count = TARGETS / ZONES;
    let slots = |count: usize| u32::try_from(count).unwrap_or(u32::MAX) * SLOTS;
    let policy = Policy::DEFAULT.with_share(SlotShare {
        offset: slots(zone * count),
        total: slots(TARGETS),
    });
    let targets = (zone * count..(zone + 1) * count).map(|target| TargetSlots {
        id: format!("t{target:04}").parse().expect("a name"),
        limit: SLOTS,
        is_open: true,
    });
    (policy, targets.collect())
}

fn number_of(id: &bambooseam_types::TargetId) -> usize {
    id.as_str()[1..]
        .parse()
        .expect("a number that this module wrote")
}

fn is_cold(id: &bambooseam_types::TargetId) -> bool {
    is_cold_number(number_of(id))
}

const fn is_cold_number(target: usize) -> bool {
    target.is_multiple_of(3)
}

/// Prints all runs and bounds; returns whether all bounds are met.
pub fn print(seed: u64) -> bool {
    let mut is_met = true;
    let naive = run_naive(seed);
    println!(
        "crest=naive goodput={:.3} recovery_s={:.0}",
        naive.goodput, naive.recovery_s
    );
    for (name, trouble) in [
        ("", Failure::None),
        ("_cold", Failure::ColdTargets),
        ("_lost_vm", Failure::LostVm),
    ] {
        let crest = run(seed, trouble);
        println!(
            "crest{name} refused={} return_peak={:.3} retries={:.3}",
            crest.refused, crest.return_peak, crest.retries
        );
        let print =
            |figure: &str, value, bound| print_bound(&format!("{figure}{name}"), value, bound);
        is_met &= print("crest_goodput", crest.goodput, Bound::Least(0.95));
        is_met &= print("recovery_s", crest.recovery_s, Bound::Most(5.0));
        is_met &= print("refusal_p99_ms", crest.refusal_p99_ms, Bound::Most(50.0));
        is_met &= print("retry_part", crest.retries, Bound::Most(0.1));
    }
    is_met
}
