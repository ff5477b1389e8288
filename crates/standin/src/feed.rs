//! Feeds: long-lived UDP flows of callers, and the format of their datagrams.
//!
//! A datagram carries a sequence number, and the target replies with its name and the same number.
//! A feed fails when a reply comes from another target than the first one, when a later reply shows
//! that the target has lost its state of the flow, or when replies stop. A feed has more time to
//! open than to receive later replies, because TCP also retransmits its first packet several times.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::Fabric;

/// Timeout for the first reply; TCP retransmits its first packet after 1, 3 and 7 s.
const OPEN_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without a reply after which an open feed fails.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a reply datagram in bytes.
const MAX_REPLY_BYTES: usize = 512;

/// Reply of a target to one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{target} {seq} {is_midstream}")]
pub struct FeedReply {
    /// Name of the target.
    pub target: String,
    /// Sequence number of the datagram that is answered.
    pub seq: u64,
    /// Whether the target had not received the start of the flow.
    pub is_midstream: bool,
}

/// State of one feed, as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedReport {
    /// Time of the first datagram.
    pub started: Instant,
    /// Time of the first reply; `None` until it arrives.
    pub opened: Option<Instant>,
    /// Target of the first reply; `None` until it arrives.
    pub target: Option<String>,
    /// Number of datagrams sent.
    pub sent: u64,
    /// Number of replies received.
    pub answered: u64,
    /// Cause of the failure; `None` while the feed works.
    pub failure: Option<FeedFailure>,
}

/// Cause of the failure of a feed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum FeedFailure {
    /// A target other than the first one replied.
    #[display("cause=other_target first={first} now={now}")]
    OtherTarget {
        /// Target of the first reply.
        first: String,
        /// Target of the latest reply.
        now: String,
    },
    /// The target lost its state of the flow.
    #[display("cause=state_lost target={target}")]
    StateLost {
        /// Name of the target.
        target: String,
    },
    /// No reply arrived within the timeout.
    #[display("cause=silent after={after}")]
    Unresponsive {
        /// Number of datagrams answered before the timeout.
        after: u64,
    },
    /// The socket returned an error.
    #[display("cause=socket")]
    Socket,
}

/// An open feed; the feed ends when the value is dropped.
#[derive(Debug)]
pub struct Feed {
    report: Arc<Mutex<FeedReport>>,
    stop: CancellationToken,
}

/// Task that sends the datagrams of one feed and receives the replies.
struct FeedTask {
    fabric: Arc<Fabric>,
    socket: UdpSocket,
    caller: SocketAddrV4,
    service: SocketAddrV4,
    report: Arc<Mutex<FeedReport>>,
}

impl FeedReply {
    /// Parses a reply; `None` if the datagram is not a valid reply.
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

    /// Returns the time from the first datagram to the first reply, or to now if there is no reply
    /// yet.
    pub fn open_time(&self) -> Duration {
        self.opened.unwrap_or_else(Instant::now) - self.started
    }
}

impl Feed {
    /// Opens a feed from `address` (port 0 for any port) that sends a datagram every `period`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or is not IPv4.
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

    /// Returns the current state of the feed.
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
    /// Sends and receives datagrams until the feed fails.
    async fn run(self, period: Duration) {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_reply = Instant::now();
        let mut seq = 0;
        loop {
            let due = ticks.tick().await + period;
            // The sequence number advances only after a reply, so that a lost datagram is sent
            // again.
            let payload = format!("{seq}");
            lock(&self.report).sent += 1;
            let sending = self
                .fabric
                .send(self.caller, self.service, payload.as_bytes());
            if sending.await.is_err() {
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

    /// Returns the next reply that arrives before `due`.
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

    /// Records a reply; returns the cause if the reply shows that the feed has failed.
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
