//! Feeds: long UDP flows of callers, and what their datagrams say.
//!
//! A datagram carries a sequence number; the target answers with its name and the same number. A
//! feed is broken when another target answers, when its target had not seen its start, or when
//! answers stay away. Opening a feed is tried for longer, as TCP sends its first packet again.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::Fabric;

/// Time in which a feed must open: TCP sends its first packet again after 1, 3 and 7 s.
const OPEN_TIMEOUT: Duration = Duration::from_secs(15);
/// Silence after which an open feed is taken for broken.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest datagram of an answer.
const MAX_REPLY_BYTES: usize = 512;

/// What a target answers.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{target} {seq} {is_midstream}")]
pub struct FeedReply {
    /// Name of the target.
    pub target: String,
    /// Sequence number that is answered.
    pub seq: u64,
    /// Whether the target first met this flow in the middle.
    pub is_midstream: bool,
}

/// What a caller knows of one feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedReport {
    /// When the first datagram was sent.
    pub started: Instant,
    /// When the first answer came.
    pub opened: Option<Instant>,
    /// Target of the first answer; none before it came.
    pub target: Option<String>,
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams answered.
    pub answered: u64,
    /// Why the feed is broken.
    pub failure: Option<FeedFailure>,
}

/// Why a feed is broken.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum FeedFailure {
    /// Another target than the first one answered.
    #[display("cause=other_target first={first} now={now}")]
    OtherTarget {
        /// The first target.
        first: String,
        /// The one that answered now.
        now: String,
    },
    /// The target lost its state of the flow.
    #[display("cause=state_lost target={target}")]
    StateLost {
        /// The target.
        target: String,
    },
    /// No answer came for too long.
    #[display("cause=silent after={after}")]
    Unresponsive {
        /// Datagrams answered before.
        after: u64,
    },
    /// The socket failed.
    #[display("cause=socket")]
    Socket,
}

/// An open feed; it ends when dropped.
#[derive(Debug)]
pub struct Feed {
    report: Arc<Mutex<FeedReport>>,
    stop: CancellationToken,
}

/// One feed's task.
struct FeedTask {
    fabric: Arc<Fabric>,
    socket: UdpSocket,
    caller: SocketAddrV4,
    service: SocketAddrV4,
    report: Arc<Mutex<FeedReport>>,
}

impl FeedReply {
    /// Reads an answer; `None` when it is not one.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut words = std::str::from_utf8(bytes).ok()?.split(' ');
        Some(Self {
            target: words.next()?.to_owned(),
            seq: words.next()?.parse().ok()?,
            is_midstream: words.next()?.parse().ok()?,
        })
    }
}

impl FeedReport {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            opened: None,
            target: None,
            sent: 0,
            answered: 0,
            failure: None,
        }
    }

    /// Time until the first answer, or until now.
    pub fn open_time(&self) -> Duration {
        self.opened.unwrap_or_else(Instant::now) - self.started
    }
}

impl Feed {
    /// Opens a feed from `address` (port 0: any) that sends a datagram every `period`.
    ///
    /// # Errors
    ///
    /// An error when the address can't be bound or is not IPv4.
    pub async fn open(
        fabric: Arc<Fabric>,
        address: SocketAddr,
        service: SocketAddr,
        period: Duration,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let (SocketAddr::V4(caller), SocketAddr::V4(service)) = (socket.local_addr()?, service)
        else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let report = Arc::new(Mutex::new(FeedReport::new()));
        let stop = CancellationToken::new();
        let task = FeedTask {
            fabric,
            socket,
            caller,
            service,
            report: Arc::clone(&report),
        };
        let stop_token = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop_token.cancelled() => {}
                () = task.run(period) => {}
            }
        });
        Ok(Self { report, stop })
    }

    /// What is known of the feed so far.
    pub fn report(&self) -> FeedReport {
        lock(&self.report).clone()
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl FeedTask {
    /// Sends and receives until the feed breaks.
    async fn run(self, period: Duration) {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_reply = Instant::now();
        let mut seq = 0;
        loop {
            let due = ticks.tick().await + period;
            // The next number is sent only after an answer: a lost datagram is sent again.
            let payload = format!("{seq}");
            lock(&self.report).sent += 1;
            let sent = self
                .fabric
                .send(self.caller, self.service, payload.as_bytes());
            if sent.await.is_err() {
                return self.fail(FeedFailure::Socket);
            }
            while let Some(reply) = self.receive(due).await {
                last_reply = Instant::now();
                if let Some(cause) = self.record_reply(&reply) {
                    return self.fail(cause);
                }
                if reply.seq == seq {
                    seq += 1;
                    break;
                }
            }
            let is_open = lock(&self.report).opened.is_some();
            let limit = if is_open { REPLY_TIMEOUT } else { OPEN_TIMEOUT };
            if last_reply.elapsed() > limit {
                return self.fail(FeedFailure::Unresponsive { after: seq });
            }
        }
    }

    /// The next answer before `due`.
    async fn receive(&self, due: Instant) -> Option<FeedReply> {
        let mut buffer = [0; MAX_REPLY_BYTES];
        loop {
            let received = timeout_at(due, self.socket.recv_from(&mut buffer)).await;
            let (length, _) = received.ok()?.ok()?;
            let Some(reply) = FeedReply::parse(&buffer[..length]) else {
                continue;
            };
            return Some(reply);
        }
    }

    /// Notes an answer; gives the cause if it shows the feed broken.
    fn record_reply(&self, reply: &FeedReply) -> Option<FeedFailure> {
        let mut report = lock(&self.report);
        report.answered += 1;
        let now = reply.target.clone();
        match &report.target {
            None => {
                report.target = Some(now);
                report.opened = Some(Instant::now());
            }
            Some(first) if *first != now => {
                let first = first.clone();
                return Some(FeedFailure::OtherTarget { first, now });
            }
            Some(_) if reply.is_midstream => return Some(FeedFailure::StateLost { target: now }),
            Some(_) => {}
        }
        None
    }

    fn fail(&self, cause: FeedFailure) {
        lock(&self.report).failure = Some(cause);
    }
}

fn lock(report: &Mutex<FeedReport>) -> std::sync::MutexGuard<'_, FeedReport> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}
