//! Generated load: feeds, which keep a flow open, and orders, which open one flow each.

use std::net::SocketAddrV4;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{CallerFlow, CallerHost, Counters, FlowError, Site};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of attempts of a request that may be repeated.
const MAX_ATTEMPTS: u32 = 3;

/// Pauses of callers between two requests, in milliseconds.
const PAUSES: Range<u64> = 20..120;
const LONG_PAUSES: Range<u64> = 2_000..8_000;

/// Number of seeds reserved for the callers of one host.
const SEEDS_PER_HOST: u64 = 1_000;

/// Number of the next request; request numbers are unique in a process.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Kind of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerKind {
    /// Keeps a flow open for many requests, all of which may be repeated.
    Feed,
    /// A feed that pauses for seconds between two requests.
    PausingFeed,
    /// Opens a flow for each request; a request that may have run is not repeated.
    Order,
}

/// Running callers of a site.
#[derive(Debug)]
pub struct Traffic {
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

impl Traffic {
    /// Creates traffic without callers.
    fn new() -> Self {
        Self {
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Starts `feeds` callers of feeds and `orders` callers of orders in each zone of a site.
    pub fn start(site: &Site, frontend: SocketAddrV4, feeds: u64, orders: u64, seed: u64) -> Self {
        Self::start_at(&site.callers, site, frontend, (feeds, orders), seed)
    }

    /// Starts `feeds` callers of feeds and `orders` callers of orders at each of `hosts`.
    pub fn start_at(
        hosts: &[Arc<CallerHost>],
        site: &Site,
        frontend: SocketAddrV4,
        (feeds, orders): (u64, u64),
        seed: u64,
    ) -> Self {
        let mut traffic = Self::new();
        for (number, host) in (0..).zip(hosts) {
            let seed = seed + SEEDS_PER_HOST * number;
            for number in 0..feeds {
                traffic.add(
                    CallerKind::Feed,
                    host,
                    frontend,
                    seed + number,
                    &site.counters,
                );
            }
            for number in feeds..feeds + orders {
                traffic.add(
                    CallerKind::Order,
                    host,
                    frontend,
                    seed + number,
                    &site.counters,
                );
            }
        }
        traffic
    }

    /// Adds `count` callers of feeds in each zone of a site that pause for 2 to 8 s between two
    /// requests.
    pub fn add_pausing(&mut self, site: &Site, frontend: SocketAddrV4, count: u64, seed: u64) {
        for (zone, host) in (0..).zip(&site.callers) {
            let first = seed + SEEDS_PER_HOST * zone + SEEDS_PER_HOST / 2;
            for number in first..first + count {
                let kind = CallerKind::PausingFeed;
                self.add(kind, host, frontend, number, &site.counters);
            }
        }
    }

    /// Adds a caller.
    fn add(
        &mut self,
        kind: CallerKind,
        host: &Arc<CallerHost>,
        frontend: SocketAddrV4,
        seed: u64,
        counters: &Arc<Counters>,
    ) {
        let mut caller = Caller {
            kind,
            host: Arc::clone(host),
            frontend,
            random: StdRng::seed_from_u64(seed),
            counters: Arc::clone(counters),
            flow: None,
        };
        let stop = self.stop.clone();
        let pauses = match kind {
            CallerKind::Feed | CallerKind::Order => PAUSES,
            CallerKind::PausingFeed => LONG_PAUSES,
        };
        self.tasks.spawn(async move {
            while !stop.is_cancelled() {
                let pause = caller.random.random_range(pauses.clone());
                let pause = sleep(Duration::from_millis(pause));
                if stop.run_until_cancelled(pause).await.is_none() {
                    break;
                }
                caller.run_request().await;
            }
            if let Some(flow) = caller.flow.take() {
                flow.close().await;
            }
        });
    }

    /// Stops all callers after their requests in progress have ended.
    pub async fn stop(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

struct Caller {
    kind: CallerKind,
    host: Arc<CallerHost>,
    frontend: SocketAddrV4,
    random: StdRng,
    counters: Arc<Counters>,
    flow: Option<CallerFlow>,
}

impl Caller {
    /// Sends one request, with repeated attempts where they are allowed.
    async fn run_request(&mut self) {
        let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        for attempt in 0..MAX_ATTEMPTS {
            let id = match self.kind {
                CallerKind::Feed | CallerKind::PausingFeed => format!("f{number}.{attempt}"),
                // All attempts of an order share its id, so that an order that runs twice is
                // detected.
                CallerKind::Order => format!("o{number}"),
            };
            match self.attempt(&id).await {
                Ok(()) => return Counters::increment(&self.counters.served),
                // The flow did not open, so that the request did not run.
                Err((_, false)) => {}
                Err((_, true)) if self.kind != CallerKind::Order => {}
                Err((_, true)) => break,
            }
        }
        Counters::increment(&self.counters.failed);
    }

    /// Makes one attempt; the error contains whether the request may have run.
    async fn attempt(&mut self, id: &str) -> Result<(), (FlowError, bool)> {
        let mut flow = match self.flow.take().filter(|flow| !flow.is_ended()) {
            Some(flow) => flow,
            None => {
                let opened = self.host.open(self.frontend, None).await;
                opened.map_err(|error| (error, false))?
            }
        };
        let work = Duration::from_millis(self.random.random_range(1..30));
        let bytes = self.random.random_range(100..6_000);
        let answer = flow.request(id, work, bytes, REQUEST_TIMEOUT).await;
        answer.map_err(|error| (error, true))?;
        match self.kind {
            CallerKind::Feed | CallerKind::PausingFeed => self.flow = Some(flow),
            CallerKind::Order => flow.close().await,
        }
        Ok(())
    }
}
