//! Flow table: tracks the state of each flow and derives the load of targets from it.
//!
//! Only packets from callers pass through this VM. The first packet after the opening packet shows
//! that the target answered; data shows a request; an advancing acknowledgement number shows that a
//! response has begun. The table may drop any flow at any time, because the next packet names the
//! target again by its token.

use std::collections::HashMap;
use std::time::Duration;

use bambooseam_types::{Moment, Token};

use crate::stall::Retransmissions;
use crate::target_table::TargetIndex;
use crate::{FlowId, PacketHeader};

/// Time for which a flow is kept after its end, for the last acknowledgements.
const ENDED_RETENTION: Duration = Duration::from_secs(2);

/// Longest idle time of a flow that is being opened: callers give up after 1.4 s.
const MAX_OPENING_TIME: Duration = Duration::from_secs(2);

/// Time for which the first transmission of an opening packet counts as load. A caller without an
/// answer retransmits after 200 ms; if neither a retransmission nor a later packet of the flow has
/// arrived by then, its packets pass through another VM.
const OPENING_LOAD_TIME: Duration = Duration::from_millis(250);

/// Table of the flows that pass through this VM.
#[derive(Debug)]
pub struct Flows {
    table: HashMap<FlowId, FlowState>,
    limit: usize,
}

/// State of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowState {
    /// Index of the target.
    pub target: TargetIndex,
    /// Token of the target.
    pub token: Token,
    /// Other targets to which this VM sent the opening packet, and that the caller did not
    /// acknowledge first.
    unopened: [Option<Token>; 2],
    phase: Phase,
    /// Sequence number of the first byte that was not sent yet; while the flow is being opened,
    /// that of the opening packet.
    next_seq: u32,
    /// Sequence number of the next byte that the caller expects.
    acked: u32,
    /// When the request in progress began, or the opening before it.
    busy_since: Option<Moment>,
    /// Whether the request or opening in progress counts as load of the target.
    is_counted: bool,
    /// When the first data of the request in progress was sent.
    request_since: Option<Moment>,
    /// Retransmissions of the last data.
    retransmissions: Retransmissions,
    /// Longest time that a request may take, from the route.
    timeout: Duration,
    /// Whether the opening packet was retransmitted.
    is_repeated: bool,
    /// When the first packet of the flow was seen.
    started: Moment,
    last_seen: Moment,
}

/// Phase of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opening,
    Open,
    Ended,
}

/// Changes in the state of a flow caused by one packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// The flow was not in the table before.
    pub is_new: bool,
    /// The target answered the opening packet.
    pub is_opened: bool,
    /// A request began.
    pub has_request: bool,
    /// When the opening packet or request was first sent whose response the packet shows.
    pub answered: Option<Moment>,
    /// Number of times that the caller retransmitted that packet before the answer.
    pub repeats: u32,
    /// Whether the packet has the first data of a request.
    pub begins_request: bool,
    /// When the first data of the request was sent whose response the packet shows.
    pub answered_request: Option<Moment>,
    /// Bytes that the caller has received of that response.
    pub response_len: u32,
    /// When the first data of the request was sent that the caller gives up with the packet.
    pub abandoned_request: Option<Moment>,
    /// Time from the request to the start of its response, if a response began.
    pub response_time: Option<Duration>,
    /// A request or opening was in progress before the packet.
    pub was_busy: bool,
    /// A request or opening is in progress after the packet.
    pub is_busy: bool,
    /// Retransmissions of the last data, if the packet is one that counts.
    pub retransmissions: Option<Retransmissions>,
    /// The caller ended the flow.
    pub is_ended: bool,
    /// Flow with the same addresses that this flow replaced.
    pub replaced: Option<Released>,
}

/// Load of a flow that was removed from the table, or of a request that was abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Released {
    /// Index of the target.
    pub target: TargetIndex,
    /// Token of the target.
    pub token: Token,
    /// When the request or opening in progress began.
    pub busy_since: Option<Moment>,
    /// Whether that request or opening counts as load of the target.
    pub is_counted: bool,
    /// When the first data of the request in progress was sent.
    pub request_since: Option<Moment>,
    /// Whether the flow was already counted as ended.
    pub was_ended: bool,
    /// Whether the flow was removed; otherwise only its request was abandoned.
    pub is_removed: bool,
}

impl Signals {
    /// Whether the packet shows a response of the target.
    pub fn has_response(&self) -> bool {
        self.is_opened || self.response_time.is_some()
    }
}

impl Flows {
    /// Creates a table of at most `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self {
            table: HashMap::new(),
            limit,
        }
    }

    /// Number of flows in the table.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Target that was selected for an earlier transmission of an opening packet, if `header` is a
    /// retransmission. After [`MAX_OPENING_TIME`] the same ports belong to another flow.
    pub fn earlier_target(
        &self,
        header: &PacketHeader,
        now: Moment,
    ) -> Option<(TargetIndex, Token)> {
        let state = self.table.get(&header.flow)?;
        if now.since(state.started) > MAX_OPENING_TIME {
            return None;
        }
        let is_retransmission = match state.phase {
            Phase::Opening => state.next_seq == header.seq,
            // A retransmission that arrives late; `next_seq` has advanced by then, but not far.
            Phase::Open => state.next_seq.wrapping_sub(header.seq) < u32::from(u16::MAX),
            Phase::Ended => false,
        };
        is_retransmission.then_some((state.target, state.token))
    }

    /// State of a flow, if the flow is in the table.
    pub fn get(&self, flow: &FlowId) -> Option<&FlowState> {
        self.table.get(flow)
    }

    /// Whether packets of a flow that began at `since` or later show that a target was sent its
    /// opening packet.
    pub fn has_begun(&self, flow: &FlowId, since: Moment) -> bool {
        self.table
            .get(flow)
            .is_some_and(|state| state.started >= since)
    }

    /// Records that the opening packet of a flow was retransmitted. Returns the target of the flow if
    /// it counts as load again.
    pub fn record_repeated_opening(&mut self, flow: &FlowId) -> Option<TargetIndex> {
        let state = self.table.get_mut(flow)?;
        state.is_repeated = true;
        if state.phase != Phase::Opening {
            return None;
        }
        let was_counted = std::mem::replace(&mut state.is_counted, true);
        (!was_counted).then_some(state.target)
    }

    /// Stops counting openings and requests that are no longer in progress at their target: their
    /// later packets pass through another VM, because the routers have moved the flow there.
    /// `is_finished` tells whether a request that began at some time must have finished by now.
    /// Calls `release` for each.
    pub fn release_moved(
        &mut self,
        now: Moment,
        is_finished: impl Fn(TargetIndex, Moment) -> bool,
        mut release: impl FnMut(Released),
    ) {
        for state in self.table.values_mut() {
            let Some(since) = state.busy_since.filter(|_| state.is_counted) else {
                continue;
            };
            let is_moved = match state.phase {
                Phase::Opening => {
                    !state.is_repeated && now.since(state.started) >= OPENING_LOAD_TIME
                }
                Phase::Open => is_finished(state.target, since),
                Phase::Ended => false,
            };
            if is_moved {
                release(state.released(false));
                state.is_counted = false;
                state.request_since = None;
            }
        }
    }

    /// Adds a new flow unless the table is full.
    pub fn open(
        &mut self,
        header: &PacketHeader,
        (target, token): (TargetIndex, Token),
        timeout: Duration,
        now: Moment,
    ) -> Signals {
        let mut signals = Signals::default();
        if self.is_full(header) {
            return signals;
        }
        signals.is_new = true;
        signals.is_busy = true;
        let earlier = self.table.get(&header.flow);
        let earlier = earlier.filter(|earlier| earlier.next_seq == header.seq);
        let state = FlowState {
            unopened: earlier.map_or([None; 2], FlowState::opening_tokens),
            phase: Phase::Opening,
            busy_since: Some(now),
            is_counted: true,
            ..FlowState::new(header, (target, token), timeout, now)
        };
        let replaced = self.table.insert(header.flow, state);
        signals.replaced = replaced.map(|replaced| replaced.released(true));
        signals
    }

    /// Whether the table has no room for the flow of a packet.
    fn is_full(&self, header: &PacketHeader) -> bool {
        self.table.len() >= self.limit && !self.table.contains_key(&header.flow)
    }

    /// Whether the flow of a packet is in the table with this token.
    fn is_known(&self, header: &PacketHeader, token: Token) -> bool {
        self.table
            .get(&header.flow)
            .is_some_and(|state| state.token == token)
    }

    /// Target of the flow of a packet, if the flow is in the table with this token.
    pub fn target_of(&self, header: &PacketHeader, token: Token) -> Option<TargetIndex> {
        let state = self.table.get(&header.flow)?;
        (state.token == token).then_some(state.target)
    }

    /// Updates the flow of a packet other than an opening packet. Data that was sent before
    /// `evidence_since` is no evidence against the target.
    pub fn record_packet(
        &mut self,
        header: &PacketHeader,
        (target, token): (TargetIndex, Token),
        timeout: Duration,
        evidence_since: Moment,
        now: Moment,
    ) -> Signals {
        let mut signals = Signals::default();
        if !self.is_known(header, token) {
            if self.is_full(header) || header.flags.fin || header.flags.rst {
                return signals;
            }
            signals.is_new = true;
            let earlier = self.table.get(&header.flow);
            let state = FlowState {
                unopened: earlier.map_or([None; 2], FlowState::opening_tokens),
                ..FlowState::new(header, (target, token), timeout, now)
            };
            let replaced = self.table.insert(header.flow, state);
            signals.replaced = replaced.map(|replaced| replaced.released(true));
        }
        let Some(state) = self.table.get_mut(&header.flow) else {
            return signals;
        };
        state.last_seen = now;
        signals.was_busy = state.is_load();
        match state.phase {
            Phase::Opening => {
                state.phase = Phase::Open;
                state.acked = header.ack;
                state.next_seq = header.seq;
                signals.is_opened = true;
                state.is_counted = true;
                signals.answered = Some(state.started);
                signals.repeats = u32::from(state.is_repeated);
            }
            Phase::Open if is_after(header.ack, state.acked) => {
                signals.response_len = header.ack.wrapping_sub(state.acked);
                signals.answered_request = state.request_since.take();
                state.acked = header.ack;
                signals.repeats = state.retransmissions.repeats();
                state.retransmissions.record_progress();
                signals.answered = state.busy_since.take();
                signals.response_time = signals.answered.map(|sent| now.since(sent));
            }
            Phase::Open | Phase::Ended => {}
        }
        let end = header.seq.wrapping_add(u32::from(header.len));
        if header.len > 0 && state.phase == Phase::Open {
            if is_after(end, state.next_seq) {
                state.next_seq = end;
                signals.has_request = true;
                state.is_counted = true;
                state.busy_since.get_or_insert(now);
                signals.begins_request = state.request_since.is_none();
                state.request_since.get_or_insert(now);
                state.retransmissions.record_data(header.seq, now);
            } else if state
                .retransmissions
                .record_repeated(header.seq, evidence_since, now)
            {
                signals.retransmissions = Some(state.retransmissions);
            }
        }
        if (header.flags.fin || header.flags.rst) && state.phase == Phase::Open {
            state.phase = Phase::Ended;
            signals.is_ended = true;
            signals.abandoned_request = state.request_since.take();
            state.busy_since = None;
        }
        signals.is_busy = state.is_load();
        signals
    }

    /// Removes a flow that was reset.
    pub fn remove(&mut self, flow: &FlowId) -> Option<Released> {
        let state = self.table.remove(flow)?;
        Some(state.released(true))
    }

    /// Removes flows that ended or are idle, and abandons requests whose timeout has passed. Calls
    /// `release` for each of these.
    pub fn sweep(
        &mut self,
        now: Moment,
        idle_time: Duration,
        mut release: impl FnMut(&FlowId, Released),
    ) {
        let mut all = Vec::new();
        self.table.retain(|flow, state| {
            let idle = now.since(state.last_seen);
            let limit = match state.phase {
                Phase::Opening => MAX_OPENING_TIME,
                Phase::Open => idle_time,
                Phase::Ended => ENDED_RETENTION,
            };
            if idle > limit {
                all.push((*flow, state.released(true)));
                return false;
            }
            if state
                .busy_since
                .is_some_and(|busy_since| now.since(busy_since) > state.timeout)
            {
                all.push((*flow, state.released(false)));
                state.busy_since = None;
                state.request_since = None;
            }
            true
        });
        // The order of the table differs between processes, and what is learned from the end of
        // requests depends on their order.
        all.sort_unstable_by_key(|(flow, _)| *flow);
        for (flow, released) in all {
            release(&flow, released);
        }
    }
}

impl FlowState {
    /// Creates the state of an open flow from its packet `header`.
    fn new(
        header: &PacketHeader,
        (target, token): (TargetIndex, Token),
        timeout: Duration,
        now: Moment,
    ) -> Self {
        Self {
            target,
            token,
            unopened: [None; 2],
            phase: Phase::Open,
            next_seq: header.seq,
            acked: header.ack,
            busy_since: None,
            is_counted: false,
            request_since: None,
            retransmissions: Retransmissions::default(),
            timeout,
            is_repeated: false,
            started: now,
            last_seen: now,
        }
    }

    /// Token of the target at which the flow is open, if `token` belongs to another target that was
    /// sent its opening packet. If several targets answer, the flow opens at the one that the caller
    /// acknowledges first, but the caller repeats the token that it received last. That first
    /// acknowledgement may have passed through another VM, so the token is replaced only as long as
    /// the target may still respond.
    pub fn opened_token(&self, token: Token) -> Option<Token> {
        let is_open = self.phase != Phase::Opening && !self.retransmissions.has_stalled();
        (is_open && self.unopened.contains(&Some(token))).then_some(self.token)
    }

    /// Tokens that the opening packet was sent with, if the flow is not open yet.
    fn opening_tokens(&self) -> [Option<Token>; 2] {
        match self.phase {
            Phase::Opening => [Some(self.token), self.unopened[0]],
            Phase::Open | Phase::Ended => [None; 2],
        }
    }

    /// Whether the flow counts as load of its target.
    fn is_load(&self) -> bool {
        self.busy_since.is_some() && self.is_counted
    }

    fn released(&self, is_removed: bool) -> Released {
        Released {
            target: self.target,
            token: self.token,
            busy_since: self.busy_since,
            is_counted: self.is_counted,
            request_since: self.request_since,
            was_ended: self.phase == Phase::Ended,
            is_removed,
        }
    }
}

/// Whether a sequence number is after another; sequence numbers wrap around.
pub(crate) fn is_after(number: u32, other: u32) -> bool {
    let distance = number.wrapping_sub(other);
    distance != 0 && distance < 1 << 31
}
