//! Long randomised runs that compare what targets ran with what callers were told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bambooseam_config::VmState;
use bambooseam_standin::deployment::ORDERS_PORT;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::caller::{CallResult, CallerConnection, request, with_header};
use super::fleet::{Fleet, FleetPlan};
use super::target::{FRAME, Mode, RunLog};
use super::{Bound, print_bound};

/// Pieces of work of the measurement.
const COUNT: u64 = 20_000;

/// Requests that callers make at a time.
const CALLERS: usize = 48;

/// Most attempts at one piece of work.
const ATTEMPTS: u32 = 3;

/// Deadline of each request in milliseconds.
const DEADLINE_MS: &str = "800";

/// Time after which a caller leaves a request that has no answer.
const CALLER_TIME: Duration = Duration::from_secs(4);

/// Mean time between faults.
const FAULT_TIME: Duration = Duration::from_millis(25);

/// Proxies and targets of the run.
const PLAN: FleetPlan = FleetPlan {
    vms: 5,
    orders: 9,
    downloads: 3,
    workers: 1,
};

/// One attempt and what its caller was told.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Piece of work.
    pub work: u64,
    /// Identifier of the attempt.
    pub id: String,
    /// Whether the work must not run twice.
    pub is_once: bool,
    /// Bytes of frames that the whole answer has.
    pub frames: usize,
    /// What the caller was told.
    pub result: CallResult,
}

/// What the comparison found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Findings {
    /// Attempts that callers made.
    pub attempts: u64,
    /// Whole answers of targets.
    pub served: u64,
    /// Attempts that were answered `not-run`.
    pub not_run: u64,
    /// Attempts that were answered `unknown`.
    pub unknown: u64,
    /// Attempts without an answer, or with one that was visibly cut.
    pub broken: u64,
    /// Pieces of work that ran more than once and must not.
    pub duplicated: u64,
    /// Attempts that were answered `not-run` and ran.
    pub false_not_run: u64,
    /// Whole answers to another request.
    pub misdelivered: u64,
    /// Cut answers that looked whole.
    pub undetected_truncations: u64,
    /// Own answers without an outcome or without a time to come back.
    pub incomplete_refusals: u64,
}

/// Compares what callers were told with what targets ran.
pub fn check(attempts: &[Attempt], log: &RunLog) -> Findings {
    let mut findings = Findings::default();
    let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
    for attempt in attempts {
        findings.attempts += 1;
        let ran = log.runs(&attempt.id);
        if attempt.is_once {
            *runs.entry(attempt.work).or_default() += ran;
        }
        check_told(attempt, ran, &mut findings);
    }
    findings.duplicated = runs.values().filter(|runs| **runs > 1).count() as u64;
    findings
}

fn check_told(attempt: &Attempt, ran: u32, findings: &mut Findings) {
    let told = &attempt.result;
    if told.is_served() {
        findings.served += 1;
        let (head, rest) = told.text().split_once('\n').unwrap_or_default();
        let is_own = head.starts_with(&format!("id={} ", attempt.id));
        findings.misdelivered += u64::from(!is_own);
        findings.undetected_truncations += u64::from(rest.len() != attempt.frames);
        return;
    }
    if told.status().is_none() {
        findings.broken += 1;
        return;
    }
    let is_bare = told.header("retry-after").is_none();
    match told.header("bambooseam-outcome") {
        Some("not-run") => {
            findings.not_run += 1;
            findings.false_not_run += u64::from(ran > 0);
            findings.incomplete_refusals += u64::from(is_bare);
        }
        Some("unknown") => {
            findings.unknown += 1;
            findings.incomplete_refusals += u64::from(is_bare);
        }
        _ => findings.incomplete_refusals += 1,
    }
}

/// Runs `count` pieces of work against a fleet in which things fail at random.
pub async fn run(seed: u64, count: u64) -> Findings {
    let mut fleet = Fleet::start(PLAN, str::to_owned).await;
    let addresses: Vec<SocketAddr> = fleet
        .proxies
        .iter()
        .map(|vm| vm.address(ORDERS_PORT))
        .collect();
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS as u64 {
        let addresses = addresses.clone();
        let attempts = Arc::clone(&attempts);
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(caller));
        let works = (0..count).filter(move |work| work % CALLERS as u64 == caller);
        callers.spawn(async move {
            let mut caller = Caller {
                random,
                addresses,
                connections: Vec::new(),
                attempts,
            };
            caller
                .connections
                .resize_with(caller.addresses.len(), || None);
            for work in works {
                caller.do_work(work).await;
            }
        });
    }
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        let pause = FAULT_TIME.mul_f64(random.random_range(0.2..1.8));
        tokio::select! {
            ended = callers.join_next() => {
                if ended.is_none() {
                    break;
                }
            }
            () = sleep(pause) => fault(&mut fleet, &mut random).await,
        }
    }
    let attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
    check(&attempts, &fleet.log)
}

/// Lets one thing fail or come back.
async fn fault(fleet: &mut Fleet, random: &mut StdRng) {
    let target = random.random_range(0..PLAN.orders);
    let vm = random.random_range(0..PLAN.vms);
    let target = &fleet.targets[target];
    match random.random_range(0..16) {
        0 => target.set_mode(Mode::Hang),
        1 => target.set_mode(Mode::Shed),
        2 => target.set_mode(Mode::RunAndClose),
        3 | 4 => target.set_mode(Mode::Reset {
            read: random.random_range(1..600),
            write: random.random_range(1..400_000),
        }),
        5 => target.kill().await,
        6 => {
            target.kill().await;
            target.restart().await;
        }
        7 => fleet.proxies[vm].kill(),
        8 => fleet.proxies[vm].stop(),
        9 | 10 => {
            // Views reach the VMs unevenly.
            let states = [VmState::Live, VmState::Leaving, VmState::Live];
            fleet.deployment.vms.0[vm].state = states[random.random_range(0..3)];
            fleet.publish_to(|_| random.random_bool(0.6));
        }
        _ => mend(fleet, random).await,
    }
}

/// Brings one target and one VM back, so that most of the fleet works most of the time.
async fn mend(fleet: &mut Fleet, random: &mut StdRng) {
    for target in &fleet.targets {
        if random.random_bool(0.3) {
            target.kill().await;
            target.set_mode(Mode::Serve);
            target.restart().await;
        }
    }
    for vm in &mut fleet.proxies {
        if vm.is_stopped() {
            vm.kill();
            vm.start(PLAN.workers).await;
        }
    }
}

/// A caller with a connection to each proxy.
struct Caller {
    random: StdRng,
    addresses: Vec<SocketAddr>,
    connections: Vec<Option<CallerConnection>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Caller {
    /// Tries a piece of work; one with a key is sent again when its outcome is not whole.
    async fn do_work(&mut self, work: u64) {
        let kind = self.random.random_range(0..10);
        let is_once = kind < 8;
        let has_key = kind < 4;
        let frames = if self.random.random_bool(0.2) {
            FRAME * self.random.random_range(1..12_usize)
        } else {
            0
        };
        let time = self.random.random_range(0..8);
        let path = if frames > 0 {
            format!("/work?ms={time}&bytes={frames}")
        } else {
            format!("/work?ms={time}")
        };
        let mut vm = self.random.random_range(0..self.addresses.len());
        for number in 1..=ATTEMPTS {
            let id = format!("w{work}-{number}");
            let method = if is_once { "POST" } else { "GET" };
            let mut call = with_header(
                request(method, &path, &id),
                "request-timeout-ms",
                DEADLINE_MS,
            );
            if has_key {
                call = with_header(call, "idempotency-key", &format!("key-{work}"));
                call = with_header(call, "request-attempt", &number.to_string());
            }
            let told = self.call(vm, call).await;
            let is_done = told.is_served() || !has_key;
            let attempt = Attempt {
                work,
                id,
                is_once,
                frames,
                result: told,
            };
            self.attempts
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(attempt);
            if is_done {
                return;
            }
            vm = self.random.random_range(0..self.addresses.len());
        }
    }

    /// Calls over a kept connection or a new one; some leave early.
    async fn call(&mut self, vm: usize, call: super::caller::CallRequest) -> CallResult {
        let address = self.addresses[vm];
        let mut connection = match self.connections[vm].take() {
            Some(connection) if self.random.random_bool(0.8) => connection,
            _ => match CallerConnection::http1(address).await {
                Some(connection) => connection,
                None => {
                    sleep(Duration::from_millis(5)).await;
                    return CallResult::ConnectFailed;
                }
            },
        };
        let patience = if self.random.random_bool(0.05) {
            Duration::from_millis(3)
        } else {
            CALLER_TIME
        };
        let Ok(told) = timeout(patience, connection.call(call)).await else {
            return CallResult::Failed;
        };
        if told.status().is_some() {
            self.connections[vm] = Some(connection);
        }
        told
    }
}

/// Runs and prints the comparison; returns whether all is true.
pub fn print(seed: u64) -> bool {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    let found = runtime.block_on(run(seed, COUNT));
    println!(
        "attempts={} served={} not_run={} unknown={} broken={}",
        found.attempts, found.served, found.not_run, found.unknown, found.broken
    );
    let mut is_true = true;
    for (name, count) in [
        ("doubled", found.duplicated),
        ("false_not_run", found.false_not_run),
        ("crossed", found.misdelivered),
        ("cut_as_whole", found.undetected_truncations),
        ("bare_refusals", found.incomplete_refusals),
    ] {
        is_true &= print_bound(name, count as f64, Bound::Most(0.0));
    }
    is_true
}
