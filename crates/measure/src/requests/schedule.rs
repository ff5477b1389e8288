//! Ways to give out slots, compared in virtual time on the code that the proxy runs.
//!
//! All ways see the same arrivals and service times. Time is tokio's paused clock, so a run takes
//! as long as its events.

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
pub const UNIT: Duration = Duration::from_millis(50);

/// Slots of one target.
pub const SLOTS: u32 = 2;

/// Long work takes this many times as long as short work.
pub const LONG_FACTOR: f64 = 50.0;

/// Part of requests that is long.
pub const LONG_PART: f64 = 0.05;

/// One-way time between proxies of different zones.
pub const ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// Zones.
pub const ZONES: usize = 3;

/// Entry VMs.
pub const VMS: usize = 5;

/// Time between looks of owners at states that change as time passes.
const TICK: Duration = Duration::from_secs(1);

/// Wait that no run reaches.
const NO_LIMIT: Duration = Duration::from_secs(100_000);

/// Part of the requests at the start that is not counted.
const WARM_PART: usize = 20;

/// How slots are given out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
    /// One queue that knows all slots at once, without messages.
    Central(QueueDiscipline),
    /// Work waits where it arrived; an owner for each zone grants slots.
    LateBinding(QueueDiscipline),
    /// Work waits where it arrived; owners of single targets, spread over the VMs, grant slots.
    TargetOwners(QueueDiscipline),
    /// Work is queued on arrival at the owner of one zone.
    Early(QueueDiscipline),
    /// Each proxy picks the target to which it has sent least.
    LeastOutstanding,
    /// Each proxy picks the better of two random targets.
    TwoChoices,
}

/// One piece of work.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Time from the start of the run.
    pub arrival: Duration,
    /// Service time.
    pub time: Duration,
    /// Class.
    pub class: WorkClass,
    /// VM that it arrives at.
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
    /// Longest of short work.
    pub short_most: f64,
    /// Longest of long work.
    pub long_most: f64,
    /// Messages between proxies for each request.
    pub messages: f64,
}

/// Draws `count` pieces of work for `targets` targets at a part `load` of their capacity.
pub fn draw(seed: u64, targets: usize, load: f64, count: usize) -> Vec<Work> {
    let mut random = StdRng::seed_from_u64(seed);
    let mean = (1.0 - LONG_PART) + LONG_PART * LONG_FACTOR;
    let rate = load * f64::from(SLOTS) * targets as f64 / mean;
    let mut at = 0.0;
    let mut works = Vec::with_capacity(count);
    for _ in 0..count {
        at += exponential(&mut random) / rate;
        let is_long = random.random_bool(LONG_PART);
        let factor = if is_long { LONG_FACTOR } else { 1.0 };
        works.push(Work {
            arrival: UNIT.mul_f64(at),
            time: UNIT.mul_f64(factor * exponential(&mut random)),
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

/// Runs `works` on `targets` targets.
///
/// # Panics
///
/// When no runtime can be made.
pub fn run(way: Way, targets: usize, works: &[Work]) -> Times {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let messages = Arc::new(AtomicU64::new(0));
        let places = places(way, targets, &messages);
        let taken = drive(works, &places).await;
        let mut times = summarize(works, &taken);
        times.messages = messages.load(Ordering::Relaxed) as f64 / works.len() as f64;
        times
    })
}

/// Where the work of each VM asks.
#[allow(clippy::large_enum_variant)]
enum Places {
    Finders(
        Vec<(SlotFinder<Delayed>, RefCell<WorkMix>)>,
        Vec<Arc<SlotOwner>>,
    ),
    Guesses {
        targets: Vec<Arc<SlotOwner>>,
        outstanding: RefCell<Vec<Vec<u32>>>,
        random: Box<RefCell<StdRng>>,
        is_two: bool,
    },
}

impl Places {
    fn tick(&self) {
        let owners = match self {
            Self::Finders(_, owners)
            | Self::Guesses {
                targets: owners, ..
            } => owners,
        };
        owners.iter().for_each(SlotOwner::tick);
    }
}

/// An owner behind a network.
#[derive(Debug, Clone)]
pub struct Delayed {
    owner: OwnerPlace,
    delay: Duration,
    messages: Arc<AtomicU64>,
}

/// Where an owner is found; empty while there is none.
#[derive(Debug, Clone)]
pub struct OwnerPlace(watch::Sender<Option<Arc<SlotOwner>>>);

/// A grant whose release travels as long as its request did.
#[derive(Debug)]
pub struct DelayedLease {
    grant: Option<Grant>,
    delay: Duration,
    messages: Arc<AtomicU64>,
}

/// Builds owners and finders of a way.
fn places(way: Way, targets: usize, messages: &Arc<AtomicU64>) -> Places {
    let rule = match way {
        Way::Central(rule)
        | Way::LateBinding(rule)
        | Way::TargetOwners(rule)
        | Way::Early(rule) => rule,
        Way::LeastOutstanding | Way::TwoChoices => {
            return Places::Guesses {
                targets: (0..targets)
                    .map(|t| owner(QueueDiscipline::Fifo, targets, t..t + 1))
                    .collect(),
                outstanding: RefCell::new(vec![vec![0; targets]; VMS]),
                random: Box::new(RefCell::new(StdRng::seed_from_u64(1))),
                is_two: way == Way::TwoChoices,
            };
        }
    };
    // Owners, each with its zone.
    let mut owners: Vec<(usize, Arc<SlotOwner>)> = Vec::new();
    let groups: Vec<(usize, usize)> = match way {
        Way::Central(_) => vec![(0, targets)],
        Way::TargetOwners(_) => (0..targets).map(|t| (t % ZONES, 1)).collect(),
        _ => (0..ZONES)
            .map(|z| (z, (targets + ZONES - 1 - z) / ZONES))
            .collect(),
    };
    let mut first = 0;
    for (zone, count) in groups {
        owners.push((zone, owner(rule, targets, first..first + count)));
        first += count;
    }
    let finder = |vm: usize| {
        let zone = vm % ZONES;
        let mut sources: Vec<(bool, Delayed)> = owners
            .iter()
            .map(|(at, owner)| {
                let is_near = *at == zone || matches!(way, Way::Central(_));
                let delay = if is_near { Duration::ZERO } else { ZONE_DELAY };
                let source = Delayed {
                    owner: OwnerPlace::new(Arc::clone(owner)),
                    delay,
                    messages: Arc::clone(messages),
                };
                (!is_near, source)
            })
            .collect();
        sources.sort_by_key(|(is_remote, _)| *is_remote);
        if matches!(way, Way::Early(_)) {
            sources.truncate(1);
        }
        let sources = sources.into_iter().map(|(_, source)| source);
        (SlotFinder::new(sources.collect()), RefCell::default())
    };
    let finders = (0..VMS).map(finder).collect();
    Places::Finders(
        finders,
        owners.into_iter().map(|(_, owner)| owner).collect(),
    )
}

/// An owner of some of the targets.
fn owner(rule: QueueDiscipline, total: usize, targets: std::ops::Range<usize>) -> Arc<SlotOwner> {
    let slots = |targets: usize| u32::try_from(targets).unwrap_or(u32::MAX) * SLOTS;
    let share = SlotShare {
        offset: slots(targets.start),
        total: slots(total),
    };
    let policy = Policy::DEFAULT.with_discipline(rule).with_share(share);
    let owner = SlotOwner::new(policy);
    let slots = targets.map(|target| TargetSlots {
        id: format!("t{target:04}").parse().expect("a name"),
        limit: SLOTS,
        is_open: true,
    });
    owner.update(policy, slots.collect(), Health::warm);
    owner
}

/// Lets all work arrive, wait, run and end; returns response times.
async fn drive(works: &[Work], places: &Places) -> Vec<Duration> {
    let start = Instant::now();
    let taken = Rc::new(RefCell::new(vec![Duration::ZERO; works.len()]));
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
            _ = ticks.tick() => places.tick(),
            () = sleep_until(arrival), if !is_done => {
                let (index, work) = (next, works[next]);
                let taken = Rc::clone(&taken);
                running.push(async move {
                    let arrived = Instant::now();
                    serve(work, places).await;
                    taken.borrow_mut()[index] = arrived.elapsed();
                });
                next += 1;
            }
        }
    }
    drop(running);
    Rc::try_unwrap(taken)
        .map(RefCell::into_inner)
        .unwrap_or_default()
}

/// One piece of work from arrival to end.
async fn serve(work: Work, places: &Places) {
    match places {
        Places::Finders(finders, _) => {
            let (finder, mix) = &finders[work.vm];
            mix.borrow_mut().record_arrival(work.class);
            let short_fraction = mix.borrow().short_fraction();
            let ask = SlotRequest {
                short_fraction,
                ..ask(work.class)
            };
            let Ok(lease) = finder.find(ask, NO_LIMIT).await else {
                return;
            };
            sleep(work.time).await;
            mix.borrow_mut().record_served(work.class, work.time);
            lease.finish(WorkOutcome::Served);
        }
        Places::Guesses {
            targets,
            outstanding,
            random,
            is_two,
        } => {
            let target = guess(
                &outstanding.borrow()[work.vm],
                &mut random.borrow_mut(),
                *is_two,
            );
            outstanding.borrow_mut()[work.vm][target] += 1;
            if let Ok(grant) = targets[target].acquire(ask(work.class)).await {
                sleep(work.time).await;
                grant.finish(WorkOutcome::Served);
            }
            outstanding.borrow_mut()[work.vm][target] -= 1;
        }
    }
}

/// Picks a target by what one proxy knows.
fn guess(outstanding: &[u32], random: &mut StdRng, is_two: bool) -> usize {
    let count = outstanding.len();
    let start = random.random_range(0..count);
    if is_two {
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

fn ask(class: WorkClass) -> SlotRequest {
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

impl OwnerPlace {
    /// Puts an owner in place.
    pub fn new(owner: Arc<SlotOwner>) -> Self {
        Self(watch::Sender::new(Some(owner)))
    }

    /// The owner that is there now.
    pub fn get(&self) -> Option<Arc<SlotOwner>> {
        self.0.borrow().clone()
    }

    /// Changes the owner; those who wait at the one before are refused.
    pub fn set(&self, owner: Option<Arc<SlotOwner>>) {
        self.0.send_replace(owner);
    }

    async fn acquire(&self, ask: SlotRequest) -> Result<Grant, Refusal> {
        let refusal = Refusal::new(UNIT);
        let mut changes = self.0.subscribe();
        let Some(owner) = self.get() else {
            return Err(refusal);
        };
        tokio::select! {
            biased;
            asked = owner.acquire(ask) => asked,
            _ = changes.changed() => Err(refusal),
        }
    }
}

impl Delayed {
    /// An owner that is `delay` away.
    pub fn new(owner: &OwnerPlace, delay: Duration) -> Self {
        Self {
            owner: owner.clone(),
            delay,
            messages: Arc::default(),
        }
    }
}

impl SlotSource for Delayed {
    type Lease = DelayedLease;

    async fn acquire(&self, ask: SlotRequest) -> Result<DelayedLease, Refusal> {
        if self.delay.is_zero() {
            let grant = self.owner.acquire(ask).await?;
            return Ok(DelayedLease {
                grant: Some(grant),
                delay: self.delay,
                messages: Arc::clone(&self.messages),
            });
        }
        let (mut reply, answer) = oneshot::channel();
        let source = self.clone();
        self.messages.fetch_add(2, Ordering::Relaxed);
        tokio::spawn(async move {
            let delay = source.delay;
            sleep(delay).await;
            let asked = tokio::select! {
                biased;
                asked = source.owner.acquire(ask) => asked,
                () = async {
                    reply.closed().await;
                    sleep(delay).await;
                } => return,
            };
            sleep(delay).await;
            let lease = asked.map(|grant| DelayedLease {
                grant: Some(grant),
                delay,
                messages: source.messages,
            });
            // A lease that came too late travels back when it is dropped.
            let _ = reply.send(lease);
        });
        answer.await.unwrap_or(Err(Refusal::new(NO_LIMIT)))
    }
}

impl Lease for DelayedLease {
    fn target(&self) -> &TargetId {
        self.grant
            .as_ref()
            .expect("a lease holds its grant")
            .target()
    }

    fn finish(mut self, report: WorkOutcome) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        if self.delay.is_zero() {
            grant.finish(report);
            return;
        }
        self.messages.fetch_add(1, Ordering::Relaxed);
        let delay = self.delay;
        tokio::spawn(async move {
            sleep(delay).await;
            grant.finish(report);
        });
    }
}

impl Drop for DelayedLease {
    fn drop(&mut self) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        // Work that is left over at the end of a run is dropped without a runtime.
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

/// Percentiles by class, in units.
fn summarize(works: &[Work], taken: &[Duration]) -> Times {
    let skip = works.len() / WARM_PART;
    let of = |class: WorkClass| {
        let counted = works.iter().zip(taken).skip(skip);
        let mut times: Vec<f64> = counted
            .filter(|(work, _)| work.class == class)
            .map(|(_, time)| time.as_secs_f64() / UNIT.as_secs_f64())
            .collect();
        times.sort_by(f64::total_cmp);
        times
    };
    let (short, long) = (of(WorkClass::Short), of(WorkClass::Long));
    Times {
        short_p50: percentile(&short, 0.5),
        short_p99: percentile(&short, 0.99),
        long_p99: percentile(&long, 0.99),
        short_most: percentile(&short, 1.0),
        long_most: percentile(&long, 1.0),
        messages: 0.0,
    }
}

/// A percentile of sorted values; zero of none.
pub fn percentile(sorted: &[f64], part: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0.0;
    };
    sorted[(part * last as f64).round() as usize]
}

/// An exponential variate of mean 1.
pub fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
