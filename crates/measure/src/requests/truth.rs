//! Randomised runs under faults that compare the outcomes that callers received with the requests
//! that targets ran.

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
use super::target::{FRAME_BYTES, Mode, RunLog};
use super::{Bound, print_bound};

/// Number of pieces of work in the measurement.
const COUNT: u64 = 20_000;

/// Number of concurrent callers.
const CALLERS: usize = 48;

/// Maximum number of attempts at one piece of work.
const ATTEMPTS: u32 = 3;

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: &str = "800";

/// Time after which a caller abandons a request without an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Mean interval between faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(25);

/// Size of the fleet.
const PLAN: FleetPlan = FleetPlan {
    vms: 5,
    orders: 9,
    downloads: 3,
    workers: 1,
};

/// One attempt and the result that its caller received.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Number of the piece of work.
    pub work: u64,
    /// Request id of the attempt.
    pub id: String,
    /// Whether the work must run at most once.
    pub is_once: bool,
    /// Size of all frames of a complete response, in bytes.
    pub frames: usize,
    /// Result that the caller received.
    pub result: CallResult,
}

/// Findings of the comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Findings {
    /// Number of attempts of callers.
    pub attempts: u64,
    /// Complete responses from targets.
    pub served: u64,
    /// Attempts with the outcome `not-run`.
    pub not_run: u64,
    /// Attempts with the outcome `unknown`.
    pub unknown: u64,
    /// Attempts without a response, or with a response that was detectably truncated.
    pub broken: u64,
    /// Pieces of work that ran more than once although they must run at most once.
    pub duplicated: u64,
    /// Attempts with the outcome `not-run` that ran.
    pub false_not_run: u64,
    /// Complete responses that belong to another request.
    pub misdelivered: u64,
    /// Truncated responses that appeared complete to the caller.
    pub undetected_truncations: u64,
    /// Refusals by the load balancer without an outcome or without a `retry-after` header.
    pub incomplete_refusals: u64,
}

/// Compares the results that callers received with the requests that targets ran.
pub fn check(attempts: &[Attempt], log: &RunLog) -> Findings {
    let mut findings = Findings::default();
    let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
    for attempt in attempts {
        findings.attempts += 1;
        let ran = log.runs(&attempt.id);
        if attempt.is_once {
            *runs.entry(attempt.work).or_default() += ran;
        }
        check_result(attempt, ran, &mut findings);
    }
    findings.duplicated = runs.values().filter(|runs| **runs > 1).count() as u64;
    findings
}

fn check_result(attempt: &Attempt, ran: u32, findings: &mut Findings) {
    let result = &attempt.result;
    if result.is_served() {
        findings.served += 1;
        let (first_line, rest) = result.text().split_once('\n').unwrap_or_default();
        let is_own = first_line.starts_with(&format!("id={} ", attempt.id));
        findings.misdelivered += u64::from(!is_own);
        findings.undetected_truncations += u64::from(rest.len() != attempt.frames);
        return;
    }
    if result.status().is_none() {
        findings.broken += 1;
        return;
    }
    let lacks_retry_after = result.header("retry-after").is_none();
    match result.header("bambooseam-outcome") {
        Some("not-run") => {
            findings.not_run += 1;
            findings.false_not_run += u64::from(ran > 0);
            findings.incomplete_refusals += u64::from(lacks_retry_after);
        }
        Some("unknown") => {
            findings.unknown += 1;
            findings.incomplete_refusals += u64::from(lacks_retry_after);
        }
        _ => findings.incomplete_refusals += 1,
    }
}

/// Runs `count` pieces of work against a fleet with random faults.
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
                caller.run_work(work).await;
            }
        });
    }
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        let pause = FAULT_INTERVAL.mul_f64(random.random_range(0.2..1.8));
        tokio::select! {
            ended = callers.join_next() => {
                if ended.is_none() {
                    break;
                }
            }
            () = sleep(pause) => inject_fault(&mut fleet, &mut random).await,
        }
    }
    let attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
    check(&attempts, &fleet.log)
}

/// Injects one random fault, or repairs part of the fleet.
async fn inject_fault(fleet: &mut Fleet, random: &mut StdRng) {
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
            // Only some VMs receive the new view.
            let states = [VmState::Live, VmState::Leaving, VmState::Live];
            fleet.deployment.vms.0[vm].state = states[random.random_range(0..3)];
            fleet.publish_to(|_| random.random_bool(0.6));
        }
        _ => repair(fleet, random).await,
    }
}

/// Repairs each target with a probability of 30 % and restarts all stopped proxies, so that most
/// of the fleet works most of the time.
async fn repair(fleet: &mut Fleet, random: &mut StdRng) {
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

/// A caller with up to one connection to each proxy.
struct Caller {
    random: StdRng,
    addresses: Vec<SocketAddr>,
    connections: Vec<Option<CallerConnection>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Caller {
    /// Attempts a piece of work; work with an idempotency key is retried until a target has served
    /// a complete response.
    async fn run_work(&mut self, work: u64) {
        let kind = self.random.random_range(0..10);
        let is_once = kind < 8;
        let has_key = kind < 4;
        let frames = if self.random.random_bool(0.2) {
            FRAME_BYTES * self.random.random_range(1..12_usize)
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
            let result = self.call(vm, call).await;
            let is_final = result.is_served() || !has_key;
            let attempt = Attempt {
                work,
                id,
                is_once,
                frames,
                result,
            };
            self.attempts
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(attempt);
            if is_final {
                return;
            }
            vm = self.random.random_range(0..self.addresses.len());
        }
    }

    /// Sends a request over an open or a new connection; some requests are abandoned early.
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
        let caller_timeout = if self.random.random_bool(0.05) {
            Duration::from_millis(3)
        } else {
            CALLER_TIMEOUT
        };
        let Ok(result) = timeout(caller_timeout, connection.call(call)).await else {
            return CallResult::Failed;
        };
        if result.status().is_some() {
            self.connections[vm] = Some(connection);
        }
        result
    }
}

/// Runs and prints the comparison; returns whether all bounds are met.
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
    let mut is_met = true;
    for (name, count) in [
        ("doubled", found.duplicated),
        ("false_not_run", found.false_not_run),
        ("crossed", found.misdelivered),
        ("cut_as_whole", found.undetected_truncations),
        ("bare_refusals", found.incomplete_refusals),
    ] {
        is_met &= print_bound(name, count as f64, Bound::AtMost(0.0));
    }
    is_met
}
