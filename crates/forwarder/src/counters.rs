//! Event counters of a forwarder.

use bambooseam_types::ByteCount;
use derive_more::Display;

use crate::Moment;
use crate::geneve::PacketError;

/// Shortest time between two log lines for the same cause.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum DropCause {
    /// The packet can't be parsed.
    #[display("{_0}")]
    Malformed(PacketError),
    /// No view has arrived yet.
    #[display("no_view")]
    NoView,
    /// No frontend has the destination address and port of the packet.
    #[display("no_entrance")]
    NoFrontend,
    /// A packet without the option between forwarders has a network identifier other than 0.
    #[display("foreign_vni")]
    UnexpectedVni,
    /// Sender and receiver disagree about the service of the flow.
    #[display("service_mismatch")]
    ServiceMismatch,
    /// The packet exceeded the limit of hops between forwarders.
    #[display("looping")]
    HopLimit,
    /// No target accepts new flows.
    #[display("no_target")]
    NoTarget,
    /// The flow table is full, so the new flow is refused.
    #[display("table_full")]
    TableFull,
    /// A forwarder that can't be reached may know the flow.
    #[display("held")]
    HolderUnreachable,
    /// The view may be out of date after a pause, and no other forwarder can place the new flow.
    #[display("recheck")]
    AwaitingView,
    /// The packet may have waited for long while this process was paused.
    #[display("stale")]
    Stale,
    /// The packet claims to come from a forwarder, but the view lists no forwarder at its source.
    #[display("unknown_sender")]
    UnknownSender,
    /// Data of a SYN could not be removed.
    #[display("syn_data")]
    SynData,
    /// The operating system refused the datagram.
    #[display("send_failed")]
    SendFailed,
}

/// Numbers of events since the start.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Datagrams received.
    pub received: u64,
    /// Packets sent to targets.
    pub delivered: u64,
    /// Packets relayed to the owner.
    pub relayed: u64,
    /// Packets sent to another forwarder as a query.
    pub queries: u64,
    /// Packets returned to a querying forwarder.
    pub replies: u64,
    /// Packets sent to a target through the shadow.
    pub replicated: u64,
    /// New flows placed by this forwarder.
    pub flows_new: u64,
    /// Flows recorded from another forwarder.
    pub flows_learned: u64,
    /// Flows placed by the default pick because no forwarder knew them.
    pub flows_defaulted: u64,
    /// Flows expired after their idle time.
    pub flows_expired: u64,
    /// Flows that did not fit into the table.
    pub flows_untracked: u64,
    /// Bindings received from forwarders that the view does not list.
    pub unknown_senders: u64,
    /// Conflicts: bindings from other forwarders that this forwarder overrode, because its entry
    /// named another target or its view had the target as leaving or removed.
    pub conflicts: u64,
    /// SYN packets whose data was removed.
    pub syn_stripped: u64,
    /// Flows handed over and acknowledged.
    pub handed_over: u64,
    /// Bytes of messages that carry no caller's packet to a target.
    pub control_bytes: u64,
    /// Violated invariants.
    pub violations: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Views applied.
    pub views: u64,
    /// Views refused.
    pub views_refused: u64,
    drops: Vec<DropCount>,
}

/// Number of packets dropped for one cause.
#[derive(Debug, Clone, Copy)]
struct DropCount {
    cause: DropCause,
    count: u64,
    logged: Option<Moment>,
}

impl Counters {
    /// Counts a dropped packet and logs it, at most once a second for each cause.
    pub fn drop_packet(&mut self, cause: DropCause, now: Moment) {
        let at = match self
            .drops
            .binary_search_by(|record| record.cause.cmp(&cause))
        {
            Ok(at) => at,
            Err(at) => {
                let first = DropCount {
                    cause,
                    count: 0,
                    logged: None,
                };
                self.drops.insert(at, first);
                at
            }
        };
        let record = &mut self.drops[at];
        record.count += 1;
        let is_throttled = record
            .logged
            .is_some_and(|logged| now.as_millis() < logged.as_millis() + LOG_INTERVAL_MS);
        if is_throttled {
            return;
        }
        record.logged = Some(now);
        log::warn!("event=packet_dropped cause={cause} total={}", record.count);
    }

    /// Returns the number of packets dropped for a cause.
    pub fn dropped(&self, cause: DropCause) -> u64 {
        let found = self
            .drops
            .binary_search_by(|record| record.cause.cmp(&cause));
        found.map_or(0, |at| self.drops[at].count)
    }

    /// Returns the number of packets dropped for each cause.
    pub fn drops(&self) -> impl Iterator<Item = (DropCause, u64)> + '_ {
        self.drops.iter().map(|record| (record.cause, record.count))
    }

    /// Returns the number of packets dropped for all causes together.
    pub fn dropped_total(&self) -> u64 {
        self.drops.iter().map(|record| record.count).sum()
    }

    /// Returns the number of packets sent from one forwarder to another.
    pub fn exchanged(&self) -> u64 {
        self.relayed + self.queries + self.replies + self.replicated
    }

    /// Returns the bytes of messages that carry no caller's packet to a target.
    pub fn control(&self) -> ByteCount {
        ByteCount::new(self.control_bytes)
    }
}
