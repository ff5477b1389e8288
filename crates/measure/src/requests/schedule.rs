//! Simulates strategies for granting slots in virtual time, on the code of the proxy.
//!
//! All strategies receive the same arrivals and service times. The clock is tokio's paused clock,
//! so a run takes only the time to process its events.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_proxy::slots::{
    Grant, Health, Lease, Policy, QueueDiscipline, Refusal, SlotFinder, SlotOwner, SlotRequest,
    SlotShare, SlotSource, TargetSlots, WorkMix, WorkOutcome,
};
use bambooseam_types::TargetId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Mean service time of short work.
pub const SHORT_MEAN: Duration = Duration::from_millis(50);

/// Number of slots of one target.
pub const SLOTS: u32 = 2;

/// Mean service time of long work, relative to short work.
pub const LONG_FACTOR: f64 = 50.0;

/// Fraction of requests with long work.
pub const LONG_FRACTION: f64 = 0.05;

/// One-way network delay between proxies in different zones.
pub const ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// Number of zones.
pub const ZONES: usize = 3;

/// Number of entry VMs.
pub const VMS: usize = 5;

/// Interval at which owners update state that depends on time.
const TICK: Duration = Duration::from_secs(1);

/// Wait limit that no run reaches.
const NO_LIMIT: Duration = Duration::from_secs(100_000);

/// The first of this many equal parts of the requests is left out as warm-up.
const WARM_UP_DIVISOR: usize = 20;

/// Strategy for granting slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Strategy {
    /// One queue knows the state of all slots immediately and without messages.
    Central(QueueDiscipline),
    /// Work waits at the VM where it arrived; one owner per zone grants slots.
    LateBinding(QueueDiscipline),
    /// Work waits at the VM where it arrived; one owner per target grants slots, and the owners
    /// are spread over the zones.
    TargetOwners(QueueDiscipline),
    /// Work is queued on arrival at the owner of the zone of its VM.
    Early(QueueDiscipline),
    /// Each proxy selects the target with the fewest outstanding requests of this proxy.
    LeastOutstanding,
    /// Each proxy selects, of two random targets, the target with fewer outstanding requests.
    TwoChoices,
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Arrival time from the start of the run.
    pub arrival: Duration,
    /// Service time.
    pub time: Duration,
    /// Class of work.
    pub class: WorkClass,
    /// VM at which the request arrives.
    pub vm: usize,
}

/// Response times in units of the mean short service time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Times {
    /// Median of short work.
    pub short_p50: f64,
    /// 99th percentile of short work.
    pub short_p99: f64,
    /// 99th percentile of long work.
    pub long_p99: f64,
    /// Maximum of short work.
    pub short_max: f64,
    /// Maximum of long work.
    pub long_max: f64,
    /// Messages between proxies per request.
    pub messages: f64,
}

/// Generates `count` requests at a fraction `load` of the capacity of `targets` targets.
pub fn draw(seed: u64, targets: usize, load: f64, count: usize) -> Vec<Work> {
    let mut random = StdRng::seed_from_u64(seed);
    let mean = (1.0 - LONG_FRACTION) + LONG_FRACTION * LONG_FACTOR;
    let rate = load * f64::from(SLOTS) * targets as f64 / mean;
    let mut at = 0.0;
    let mut works = Vec::with_capacity(count);
    for _ in 0..count {
        at += exponential(&mut random) / rate;
        let is_long = random.random_bool(LONG_FRACTION);
        let factor = if is_long { LONG_FACTOR } else { 1.0 };
        works.push(Work {
            arrival: SHORT_MEAN.mul_f64(at),
            time: SHORT_MEAN.mul_f64(factor * exponential(&mut random)),
            class: if is_long {
                WorkClass::Long
            } else {
                WorkClass::Short
            },
            vm: random.random_range(0..VMS),
        });
    }
    works
}

/// Runs `works` on `targets` targets with a strategy; returns the response times.
///
/// # Panics
///
/// Panics when the runtime can't be created.
pub fn run(strategy: Strategy, targets: usize, works: &[Work]) -> Times {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let messages = Arc::new(AtomicU64::new(0));
        let scheduler = scheduler(strategy, targets, &messages);
        let response_times = drive(works, &scheduler).await;
        let mut times = summarize(works, &response_times);
        times.messages = messages.load(Ordering::Relaxed) as f64 / works.len() as f64;
        times
    })
}

/// Slot selection on all VMs.
#[allow(clippy::large_enum_variant)]
enum Scheduler {
    Shared(
        Vec<(SlotFinder<DelayedOwner>, RefCell<WorkMix>)>,
        Vec<Arc<SlotOwner>>,
    ),
    Local {
        targets: Vec<Arc<SlotOwner>>,
        outstanding: RefCell<Vec<Vec<u32>>>,
        random: Box<RefCell<StdRng>>,
        has_two_choices: bool,
    },
}

impl Scheduler {
    fn tick(&self) {
        let owners = match self {
            Self::Shared(_, owners)
            | Self::Local {
                targets: owners, ..
            } => owners,
        };
        owners.iter().for_each(SlotOwner::tick);
    }
}

/// Access to an owner with network delay.
#[derive(Debug, Clone)]
pub struct DelayedOwner {
    owner: OwnerHandle,
    delay: Duration,
    messages: Arc<AtomicU64>,
}

/// A replaceable reference to an owner; empty while there is no owner.
#[derive(Debug, Clone)]
pub struct OwnerHandle(watch::Sender<Option<Arc<SlotOwner>>>);

/// A grant whose release reaches the owner after the network delay.
#[derive(Debug)]
pub struct DelayedLease {
    grant: Option<Grant>,
    delay: Duration,
    messages: Arc<AtomicU64>,
}

/// Builds the owners and finders of a strategy.
fn scheduler(strategy: Strategy, targets: usize, messages: &Arc<AtomicU64>) -> Scheduler {
    let discipline = match strategy {
        Strategy::Central(discipline)
        | Strategy::LateBinding(discipline)
        | Strategy::TargetOwners(discipline)
        | Strategy::Early(discipline) => discipline,
        Strategy::LeastOutstanding | Strategy::TwoChoices => {
            return Scheduler::Local {
                targets: (0..targets)
                    .map(|t| owner(QueueDiscipline::Fifo, targets, t..t + 1))
                    .collect(),
                outstanding: RefCell::new(vec![vec![0; targets]; VMS]),
                random: Box::new(RefCell::new(StdRng::seed_from_u64(1))),
                has_two_choices: strategy == Strategy::TwoChoices,
            };
        }
    };
    // Each owner with its zone.
    let mut owners: Vec<(usize, Arc<SlotOwner>)> = Vec::new();
    let groups: Vec<(usize, usize)> = match strategy {
        Strategy::Central(_) => vec![(0, targets)],
        Strategy::TargetOwners(_) => (0..targets).map(|t| (t % ZONES, 1)).collect(),
        _ => (0..ZONES)
            .map(|z| (z, (targets + ZONES - 1 - z) / ZONES))
            .collect(),
    };
    let mut first = 0;
    for (zone, count) in groups {
        owners.push((zone, owner(discipline, targets, first..first + count)));
        first += count;
    }
    let finder = |vm: usize| {
        let zone = vm % ZONES;
        let mut sources: Vec<(bool, DelayedOwner)> = owners
            .iter()
            .map(|(at, owner)| {
                let is_local = *at == zone || matches!(strategy, Strategy::Central(_));
                let delay = if is_local { Duration::ZERO } else { ZONE_DELAY };
                let source = DelayedOwner {
                    owner: OwnerHandle::new(Arc::clone(owner)),
                    delay,
                    messages: Arc::clone(messages),
                };
                (!is_local, source)
            })
            .collect();
        sources.sort_by_key(|(is_remote, _)| *is_remote);
        if matches!(strategy, Strategy::Early(_)) {
            sources.truncate(1);
        }
        let sources = sources.into_iter().map(|(_, source)| source);
        (SlotFinder::new(sources.collect()), RefCell::default())
    };
    let finders = (0..VMS).map(finder).collect();
    Scheduler::Shared(
        finders,
        owners.into_iter().map(|(_, owner)| owner).collect(),
    )
}

/// Creates an owner of a range of targets.
fn owner(
    discipline: QueueDiscipline,
    total: usize,
    targets: std::ops::Range<usize>,
) -> Arc<SlotOwner> {
    let slots = |targets: usize| u32::try_from(targets).unwrap_or(u32::MAX) * SLOTS;
    let share = SlotShare {
        offset: slots(targets.start),
        total: slots(total),
    };
    let policy = Policy::DEFAULT
        .with_discipline(discipline)
        .with_share(share);
    let owner = SlotOwner::new(policy);
    let slots = targets.map(|target| TargetSlots {
        id: format!("t{target:04}").parse().expect("a valid name"),
        limit: SLOTS,
        is_open: true,
    });
    owner.update(policy, slots.collect(), Health::warm);
    owner
}

/// Runs all requests from arrival to completion; returns the response times.
async fn drive(works: &[Work], scheduler: &Scheduler) -> Vec<Duration> {
    let start = Instant::now();
    let response_times = Rc::new(RefCell::new(vec![Duration::ZERO; works.len()]));
    let mut running = futures::stream::FuturesUnordered::new();
    let mut next = 0;
    let mut ticks = tokio::time::interval(TICK);
    loop {
        let is_done = next == works.len();
        if is_done && running.is_empty() {
            break;
        }
        let arrival = works.get(next).map_or(start, |work| start + work.arrival);
        tokio::select! {
            biased;
            Some(()) = futures::StreamExt::next(&mut running) => {}
            _ = ticks.tick() => scheduler.tick(),
            () = sleep_until(arrival), if !is_done => {
                let (index, work) = (next, works[next]);
                let response_times = Rc::clone(&response_times);
                running.push(async move {
                    let arrived = Instant::now();
                    serve(work, scheduler).await;
                    response_times.borrow_mut()[index] = arrived.elapsed();
                });
                next += 1;
            }
        }
    }
    drop(running);
    Rc::try_unwrap(response_times)
        .map(RefCell::into_inner)
        .unwrap_or_default()
}

/// Processes one request from arrival to completion.
async fn serve(work: Work, scheduler: &Scheduler) {
    match scheduler {
        Scheduler::Shared(finders, _) => {
            let (finder, mix) = &finders[work.vm];
            mix.borrow_mut().record_arrival(work.class);
            let short_fraction = mix.borrow().short_fraction();
            let request = SlotRequest {
                short_fraction,
                ..slot_request(work.class)
            };
            let Ok(lease) = finder.find(request, NO_LIMIT).await else {
                return;
            };
            sleep(work.time).await;
            mix.borrow_mut().record_served(work.class, work.time);
            lease.finish(WorkOutcome::Served);
        }
        Scheduler::Local {
            targets,
            outstanding,
            random,
            has_two_choices,
        } => {
            let target = choose_target(
                &outstanding.borrow()[work.vm],
                &mut random.borrow_mut(),
                *has_two_choices,
            );
            outstanding.borrow_mut()[work.vm][target] += 1;
            if let Ok(grant) = targets[target].acquire(slot_request(work.class)).await {
                sleep(work.time).await;
                grant.finish(WorkOutcome::Served);
            }
            outstanding.borrow_mut()[work.vm][target] -= 1;
        }
    }
}

/// Selects a target by the outstanding requests of one proxy.
fn choose_target(outstanding: &[u32], random: &mut StdRng, has_two_choices: bool) -> usize {
    let count = outstanding.len();
    let start = random.random_range(0..count);
    if has_two_choices {
        let other = random.random_range(0..count);
        return if outstanding[other] < outstanding[start] {
            other
        } else {
            start
        };
    }
    let order = (0..count).map(|step| (start + step) % count);
    order
        .min_by_key(|target| outstanding[*target])
        .unwrap_or(start)
}

fn slot_request(class: WorkClass) -> SlotRequest {
    SlotRequest {
        class,
        waited: Duration::ZERO,
        may_wait: true,
        is_remote: false,
        service_time: Duration::ZERO,
        owners: 1,
        avoid: Vec::new(),
        short_fraction: None,
    }
}

impl OwnerHandle {
    /// Creates a handle to an owner.
    pub fn new(owner: Arc<SlotOwner>) -> Self {
        Self(watch::Sender::new(Some(owner)))
    }

    /// Returns the current owner.
    pub fn get(&self) -> Option<Arc<SlotOwner>> {
        self.0.borrow().clone()
    }

    /// Replaces the owner; requests that wait at the previous owner are refused.
    pub fn set(&self, owner: Option<Arc<SlotOwner>>) {
        self.0.send_replace(owner);
    }

    async fn acquire(&self, request: SlotRequest) -> Result<Grant, Refusal> {
        let refusal = Refusal::new(SHORT_MEAN);
        let mut changes = self.0.subscribe();
        let Some(owner) = self.get() else {
            return Err(refusal);
        };
        tokio::select! {
            biased;
            result = owner.acquire(request) => result,
            _ = changes.changed() => Err(refusal),
        }
    }
}

impl DelayedOwner {
    /// Creates access to an owner with a one-way network delay of `delay`.
    pub fn new(owner: &OwnerHandle, delay: Duration) -> Self {
        Self {
            owner: owner.clone(),
            delay,
            messages: Arc::default(),
        }
    }
}

impl SlotSource for DelayedOwner {
    type Lease = DelayedLease;

    async fn acquire(&self, request: SlotRequest) -> Result<DelayedLease, Refusal> {
        if self.delay.is_zero() {
            let grant = self.owner.acquire(request).await?;
            return Ok(DelayedLease {
                grant: Some(grant),
                delay: self.delay,
                messages: Arc::clone(&self.messages),
            });
        }
        let (mut reply, response) = oneshot::channel();
        let source = self.clone();
        self.messages.fetch_add(2, Ordering::Relaxed);
        tokio::spawn(async move {
            let delay = source.delay;
            sleep(delay).await;
            let result = tokio::select! {
                biased;
                result = source.owner.acquire(request) => result,
                () = async {
                    reply.closed().await;
                    sleep(delay).await;
                } => return,
            };
            sleep(delay).await;
            let lease = result.map(|grant| DelayedLease {
                grant: Some(grant),
                delay,
                messages: source.messages,
            });
            // A lease that arrives too late is dropped, which returns the grant to the owner.
            let _ = reply.send(lease);
        });
        response.await.unwrap_or(Err(Refusal::new(NO_LIMIT)))
    }
}

impl Lease for DelayedLease {
    fn target(&self) -> &TargetId {
        self.grant
            .as_ref()
            .expect("a lease holds its grant")
            .target()
    }

    fn finish(mut self, outcome: WorkOutcome) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        if self.delay.is_zero() {
            grant.finish(outcome);
            return;
        }
        self.messages.fetch_add(1, Ordering::Relaxed);
        let delay = self.delay;
        tokio::spawn(async move {
            sleep(delay).await;
            grant.finish(outcome);
        });
    }
}

impl Drop for DelayedLease {
    fn drop(&mut self) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        // Work that remains at the end of a run is dropped outside a runtime.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if self.delay.is_zero() {
            return;
        }
        self.messages.fetch_add(1, Ordering::Relaxed);
        let delay = self.delay;
        runtime.spawn(async move {
            sleep(delay).await;
            drop(grant);
        });
    }
}

/// Computes the response times by class, in units of the mean short service time.
fn summarize(works: &[Work], response_times: &[Duration]) -> Times {
    let skip = works.len() / WARM_UP_DIVISOR;
    let times_of = |class: WorkClass| {
        let counted = works.iter().zip(response_times).skip(skip);
        let mut times: Vec<f64> = counted
            .filter(|(work, _)| work.class == class)
            .map(|(_, time)| time.as_secs_f64() / SHORT_MEAN.as_secs_f64())
            .collect();
        times.sort_by(f64::total_cmp);
        times
    };
    let (short, long) = (times_of(WorkClass::Short), times_of(WorkClass::Long));
    Times {
        short_p50: percentile(&short, 0.5),
        short_p99: percentile(&short, 0.99),
        long_p99: percentile(&long, 0.99),
        short_max: percentile(&short, 1.0),
        long_max: percentile(&long, 1.0),
        messages: 0.0,
    }
}

/// Returns a percentile of sorted values, with `fraction` from 0 to 1; zero without values.
pub fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0.0;
    };
    sorted[(fraction * last as f64).round() as usize]
}

/// Draws an exponential variate with mean 1.
pub fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
