//! Handover of flows to their new owners.
//!
//! After a change of membership, a forwarder that is no longer owner or shadow of a flow sends the
//! flow's key and target to the first forwarder in rank, within a byte budget, and then drops its
//! entry. A leaving forwarder hands over all its flows and is done when each batch has been
//! acknowledged.
//!
//! Flows whose target is the default pick are handed over too: an idle flow would otherwise be
//! dropped by every forwarder, and the default pick changes as soon as a target joins.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_types::{ByteRate, ServiceId};
use bambooseam_view::{FlowKey, VmHealth};

use crate::counters::DropCause;
use crate::geneve::{Header, MAX_HEADER_BYTES, PacketError, Payload};
use crate::option::{FlowBinding, FlowOption, FlowOptionKind};
use crate::pick::Pick;
use crate::table::{Entry, EntryState, SHARDS, Tick};
use crate::target::{Identity, TargetNumber, TargetStatus};
use crate::topology::Role;
use crate::{Clock, Forwarder, Moment, Output};

/// Bytes of one key.
const KEY_BYTES: usize = 8;
/// Most keys in one batch.
const BATCH_LIMIT: usize = 120;
/// Bytes of IP and UDP headers around a batch.
const IP_UDP_BYTES: usize = 28;
/// Shards that are scanned in one step; the bound keeps the delay of waiting packets short.
const SCAN_SHARDS: usize = 64;
/// Time after which an unacknowledged batch is sent again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Times that a batch is sent before all flows are scanned again.
const ATTEMPT_LIMIT: u8 = 5;
/// Budget used when none is set.
const DEFAULT_BUDGET: ByteRate = ByteRate::new(1_500);
/// Time over which unused budget accumulates.
const BURST_TIME: Duration = Duration::from_secs(2);

/// Flows that are still to be handed over, and the budget for sending them.
#[derive(Debug)]
pub struct Handover {
    budget: ByteRate,
    /// Thousandths of a byte that may be sent now; negative after a batch above the balance.
    credit: i64,
    refilled: Moment,
    /// Next shard to scan; `None` when all shards have been scanned.
    next_shard: Option<usize>,
    pending: Vec<PendingFlow>,
    sent: Vec<Batch>,
    sequence: u32,
}

/// A flow to be handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingFlow {
    to: SocketAddr,
    is_tcp: bool,
    target: TargetNumber,
    key: FlowKey,
}

/// Flows that were sent and not acknowledged yet.
#[derive(Debug)]
struct Batch {
    sequence: u32,
    flows: Vec<PendingFlow>,
    sent: Moment,
    attempts: u8,
}

impl Default for Handover {
    fn default() -> Self {
        Self::new(DEFAULT_BUDGET)
    }
}

impl Handover {
    /// Creates a handover without pending flows.
    pub fn new(budget: ByteRate) -> Self {
        Self {
            budget,
            credit: 0,
            refilled: Moment::default(),
            next_shard: None,
            pending: Vec::new(),
            sent: Vec::new(),
            sequence: 0,
        }
    }

    /// Starts a new scan of all flows.
    pub fn restart(&mut self) {
        self.next_shard = Some(0);
        self.pending.clear();
        self.sent.clear();
    }

    /// Whether no flow is left to hand over.
    pub fn is_done(&self) -> bool {
        self.next_shard.is_none() && self.pending.is_empty() && self.sent.is_empty()
    }

    /// Returns the number of flows to hand over, including those that were sent and not
    /// acknowledged.
    pub fn backlog(&self) -> usize {
        let sent: usize = self.sent.iter().map(|batch| batch.flows.len()).sum();
        self.pending.len() + sent
    }

    fn refill(&mut self, now: Moment) {
        let millis = now.since(self.refilled).min(BURST_TIME).as_millis() as i64;
        let limit = self.budget.get() as i64 * BURST_TIME.as_millis() as i64;
        self.credit = (self.credit + self.budget.get() as i64 * millis).min(limit);
        self.refilled = now;
    }

    /// Removes the next batch: flows of one target for one forwarder.
    fn next_batch(&mut self) -> Option<Vec<PendingFlow>> {
        let first = *self.pending.last()?;
        let mut flows = Vec::new();
        while let Some(flow) = self.pending.last() {
            let is_same =
                (flow.to, flow.is_tcp, flow.target) == (first.to, first.is_tcp, first.target);
            if !is_same || flows.len() == BATCH_LIMIT {
                break;
            }
            flows.push(*flow);
            self.pending.pop();
        }
        Some(flows)
    }
}

impl<O: Output, C: Clock, P: Pick> Forwarder<O, C, P> {
    /// Sends pending batches as far as the budget allows.
    pub(crate) fn run_handover(&mut self, now: Moment) {
        self.handover.refill(now);
        if self.handover.is_done() {
            return;
        }
        self.retry_batches(now);
        while self.handover.credit > 0 {
            let Some(flows) = self.handover.next_batch() else {
                if self.handover.next_shard.is_none() {
                    return;
                }
                self.scan_shards();
                continue;
            };
            self.handover.sequence = self.handover.sequence.wrapping_add(1);
            let batch = Batch {
                sequence: self.handover.sequence,
                flows,
                sent: now,
                attempts: 1,
            };
            self.send_batch(&batch);
            self.handover.sent.push(batch);
        }
    }

    /// Returns the number of flows whose target is not the default pick.
    pub fn non_default_flows(&self) -> usize {
        let is_non_default =
            |(key, entry): &(FlowKey, Entry)| !self.is_default(*key, entry.target());
        self.table.iter().filter(is_non_default).count()
    }

    /// Collects flows to hand over from the next shards, sorted so that batches are large.
    fn scan_shards(&mut self) {
        let mut flows = Vec::new();
        let start = self.handover.next_shard.take().unwrap_or(SHARDS);
        let end = (start + SCAN_SHARDS).min(SHARDS);
        if end < SHARDS {
            self.handover.next_shard = Some(end);
        }
        for shard in start..end {
            let entries: Vec<(FlowKey, Entry)> = self.table.shard(shard).collect();
            for (key, entry) in entries {
                flows.extend(self.pending_flow(key, entry));
            }
        }
        flows.sort_unstable();
        self.handover.pending = flows;
    }

    /// Returns the pending handover of a flow, or `None` if the flow is not to be handed over.
    fn pending_flow(&mut self, key: FlowKey, entry: Entry) -> Option<PendingFlow> {
        if !entry.state().is_active() || !self.targets.get(entry.target()).is_usable() {
            return None;
        }
        let topology = self.topology.as_mut()?;
        let ranks = topology.ranks(key);
        let is_listed = topology
            .local()
            .is_some_and(|local| local.health != VmHealth::Leaving);
        let is_serving = is_listed && !self.is_stopping;
        if is_serving && topology.role(&ranks) != Role::Relay {
            return None;
        }
        let to = topology.first_peer(&ranks)?.address;
        Some(PendingFlow {
            to,
            is_tcp: entry.is_tcp(),
            target: entry.target(),
            key,
        })
    }

    /// Whether the target is the default pick under the current view and all earlier views that are
    /// kept, so that the result holds whichever of these views a querying forwarder has.
    fn is_default(&self, key: FlowKey, target: TargetNumber) -> bool {
        let Some(topology) = self.topology.as_ref() else {
            return false;
        };
        let vni = self.targets.get(target).identity.vni;
        let Some(current) = topology.group_of(vni, target) else {
            return false;
        };
        let earlier = self.history.iter().flatten();
        earlier
            .filter(|group| group.vni == vni && group.kind == current.kind)
            .chain([current])
            .all(|group| group.default_pick(key) == Some(target))
    }

    /// Sends one batch and charges it to the budget.
    fn send_batch(&mut self, batch: &Batch) {
        let Some(first) = batch.flows.first() else {
            return;
        };
        let identity = self.targets.get(first.target).identity;
        let mut keys = Vec::with_capacity(batch.flows.len() * KEY_BYTES);
        for flow in &batch.flows {
            keys.extend_from_slice(&flow.key.get().to_be_bytes());
        }
        let option = FlowOption {
            kind: FlowOptionKind::Handover {
                sequence: batch.sequence,
                is_tcp: first.is_tcp,
                binding: FlowBinding {
                    target: identity.address,
                    age: 0,
                },
            },
            hops: 1,
            revision: self.revision().unwrap_or_default(),
        };
        self.send_keys(first.to, identity.vni.get(), &option, &keys);
    }

    /// Sends keys to another forwarder and charges them to the budget.
    fn send_keys(&mut self, to: SocketAddr, vni: u32, option: &FlowOption, keys: &[u8]) {
        let bytes = (IP_UDP_BYTES + MAX_HEADER_BYTES + keys.len()) as u64;
        self.handover.credit -= 1_000 * bytes as i64;
        self.counters.control_bytes += bytes;
        let header = Header::new(vni, Some(option), &Payload::Keys(keys));
        self.output.send(to, &header, keys);
    }

    /// Sends batches again that were not acknowledged in time.
    fn retry_batches(&mut self, now: Moment) {
        let mut sent = std::mem::take(&mut self.handover.sent);
        let mut is_exhausted = false;
        for batch in &mut sent {
            if now.since(batch.sent) < RETRY_INTERVAL || self.handover.credit <= 0 {
                continue;
            }
            batch.attempts += 1;
            batch.sent = now;
            is_exhausted |= batch.attempts > ATTEMPT_LIMIT;
            self.send_batch(batch);
        }
        if self.is_stopping {
            // A stopping process has no time to find another receiver, and no receiver may be left.
            sent.retain(|batch| batch.attempts <= ATTEMPT_LIMIT);
            is_exhausted = false;
        }
        self.handover.sent = sent;
        if is_exhausted {
            self.handover.restart();
        }
    }

    /// Handles a batch, or the acknowledgement of one.
    pub(crate) fn handle_handover(
        &mut self,
        source: SocketAddr,
        vni: u32,
        option: FlowOption,
        keys: &[u8],
    ) -> Result<(), DropCause> {
        if !self.is_member(source) {
            return Err(DropCause::UnknownSender);
        }
        match option.kind {
            FlowOptionKind::Handover {
                sequence,
                is_tcp,
                binding,
            } => {
                let vni = ServiceId::try_from(vni)
                    .map_err(|_| DropCause::Malformed(PacketError::BadOption))?;
                let identity = Identity {
                    vni,
                    address: binding.target,
                };
                self.accept_keys(identity, is_tcp, keys);
                let ack = FlowOption {
                    kind: FlowOptionKind::HandoverAck { sequence },
                    hops: 1,
                    revision: self.revision().unwrap_or_default(),
                };
                self.send_keys(source, 0, &ack, &[]);
                Ok(())
            }
            FlowOptionKind::HandoverAck { sequence } => {
                self.handle_ack(sequence);
                Ok(())
            }
            _ => Err(DropCause::Malformed(PacketError::BadOption)),
        }
    }

    /// Records flows that another forwarder hands over, except flows with a confirmed entry here.
    fn accept_keys(&mut self, identity: Identity, is_tcp: bool, keys: &[u8]) {
        let now = self.advance_clock();
        let number = self.targets.intern(identity, TargetStatus::Unlisted(now));
        if !self.targets.get(number).is_usable() {
            return;
        }
        let (keys, _) = keys.as_chunks::<KEY_BYTES>();
        for key in keys {
            let key = FlowKey::from(u64::from_be_bytes(*key));
            // Other forwarders treat the flow as open and may forward its packets without involving
            // this owner. An entry that is still opening here therefore becomes open, so that the
            // entry does not expire after the idle time of opening flows.
            let seen = match self.table.get(key) {
                Some(existing) if existing.state().is_opening() && existing.target() == number => {
                    existing.seen()
                }
                Some(existing) if existing.state() != EntryState::Unconfirmed => continue,
                _ => Tick::from(now),
            };
            let entry = Entry::new(number, EntryState::Open, seen).with_tcp(is_tcp);
            if self.insert_flow(key, entry) {
                self.counters.flows_learned += 1;
            }
        }
    }

    /// Handles the acknowledgement of a batch, whose flows now belong to other forwarders.
    fn handle_ack(&mut self, sequence: u32) {
        let is_acknowledged = |batch: &Batch| batch.sequence == sequence;
        let Some(at) = self.handover.sent.iter().position(is_acknowledged) else {
            return;
        };
        let batch = self.handover.sent.swap_remove(at);
        self.counters.handed_over += batch.flows.len() as u64;
    }

    /// Starts to hand over all flows before a stop.
    pub fn leave(&mut self) {
        self.is_stopping = true;
        self.handover.restart();
    }
}
