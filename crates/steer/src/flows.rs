//! What the packets of a flow show of its target.
//!
//! Only callers' packets pass here. The first packet after the opening shows that the target
//! answered; data shows a request; an acknowledgement that moves on shows that an answer has begun.
//! The table may forget any flow at any time: the next packet names the target again.

use std::collections::HashMap;
use std::time::Duration;

use bambooseam_types::{Moment, Token};

use crate::target_table::TargetIndex;
use crate::{FlowId, PacketHeader};

/// How long a flow is remembered after its end, for the last acknowledgements.
const ENDED_TIME: Duration = Duration::from_secs(2);

/// Longest silence of a flow that is opening: callers give up after 1.4 s.
const OPENING_LIMIT: Duration = Duration::from_secs(2);

/// Flows that pass through this VM.
#[derive(Debug)]
pub struct Flows {
    table: HashMap<FlowId, FlowState>,
    limit: usize,
}

/// What is remembered of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowState {
    /// Place of its target.
    pub slot: TargetIndex,
    /// Token of its target.
    pub token: Token,
    phase: Phase,
    /// Number of the first byte that was not sent yet; in an opening flow, of the opening packet.
    sent: u32,
    /// Next byte that the caller expects.
    acked: u32,
    /// Since when a request is in progress.
    busy: Option<Moment>,
    /// Longest time that a request may take.
    timeout: Duration,
    /// When it was first seen here.
    begun: Moment,
    seen: Moment,
}

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opening,
    Open,
    Ended,
}

/// What one packet shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// The flow was not known here before.
    pub is_new: bool,
    /// The target answered the opening.
    pub is_opened: bool,
    /// A request began.
    pub has_request: bool,
    /// An answer began; how long after its request.
    pub progress: Option<Duration>,
    /// A request or opening was in progress before this packet.
    pub was_busy: bool,
    /// A request is in progress after it.
    pub is_busy: bool,
    /// The caller ended the flow.
    pub is_ended: bool,
    /// Another flow was remembered under these addresses.
    pub before: Option<Forgotten>,
}

/// A flow that was forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forgotten {
    /// Place of its target.
    pub slot: TargetIndex,
    /// Token of its target.
    pub token: Token,
    /// Since when a request or opening was in progress.
    pub busy: Option<Moment>,
    /// Whether the flow was counted as ended before.
    pub was_ended: bool,
    /// Whether the flow itself is forgotten; else only its request was given up.
    pub is_removed: bool,
}

impl Flows {
    /// Creates a table of at most `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self {
            table: HashMap::new(),
            limit,
        }
    }

    /// Number of flows remembered.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// The earlier target of an opening packet, if this is a copy. Later on the same ports open
    /// another flow.
    pub fn earlier(&self, head: &PacketHeader, now: Moment) -> Option<(TargetIndex, Token)> {
        let state = self.table.get(&head.flow)?;
        if now.since(state.begun) > OPENING_LIMIT {
            return None;
        }
        let is_copy = match state.phase {
            Phase::Opening => state.sent == head.seq,
            // A copy that was overtaken; `sent` has moved on by then, but not far.
            Phase::Open => state.sent.wrapping_sub(head.seq) < u32::from(u16::MAX),
            Phase::Ended => false,
        };
        is_copy.then_some((state.slot, state.token))
    }

    /// Remembers a new flow unless the table is full.
    pub fn open(
        &mut self,
        head: &PacketHeader,
        (slot, token): (TargetIndex, Token),
        timeout: Duration,
        now: Moment,
    ) -> Signals {
        let mut signals = Signals::default();
        if self.is_full(head) {
            return signals;
        }
        signals.is_new = true;
        signals.is_busy = true;
        let state = FlowState {
            phase: Phase::Opening,
            busy: Some(now),
            ..FlowState::new(head, (slot, token), timeout, now)
        };
        let before = self.table.insert(head.flow, state);
        signals.before = before.map(|before| before.forgotten(true));
        signals
    }

    /// Whether there is no room for this flow.
    fn is_full(&self, head: &PacketHeader) -> bool {
        self.table.len() >= self.limit && !self.table.contains_key(&head.flow)
    }

    /// Whether a flow is remembered at this target.
    fn is_known(&self, head: &PacketHeader, token: Token) -> bool {
        self.table
            .get(&head.flow)
            .is_some_and(|state| state.token == token)
    }

    /// Takes a packet inside a flow.
    pub fn note(
        &mut self,
        head: &PacketHeader,
        (slot, token): (TargetIndex, Token),
        timeout: Duration,
        now: Moment,
    ) -> Signals {
        let mut signals = Signals::default();
        if !self.is_known(head, token) {
            if self.is_full(head) || head.flags.fin || head.flags.rst {
                return signals;
            }
            signals.is_new = true;
            let state = FlowState::new(head, (slot, token), timeout, now);
            let before = self.table.insert(head.flow, state);
            signals.before = before.map(|before| before.forgotten(true));
        }
        let Some(state) = self.table.get_mut(&head.flow) else {
            return signals;
        };
        state.seen = now;
        signals.was_busy = state.busy.is_some();
        match state.phase {
            Phase::Opening => {
                state.phase = Phase::Open;
                state.acked = head.ack;
                state.sent = head.seq;
                signals.is_opened = true;
            }
            Phase::Open if is_after(head.ack, state.acked) => {
                state.acked = head.ack;
                signals.progress = state.busy.take().map(|since| now.since(since));
            }
            Phase::Open | Phase::Ended => {}
        }
        let end = head.seq.wrapping_add(u32::from(head.len));
        if head.len > 0 && is_after(end, state.sent) && state.phase == Phase::Open {
            state.sent = end;
            signals.has_request = true;
            state.busy.get_or_insert(now);
        }
        if (head.flags.fin || head.flags.rst) && state.phase == Phase::Open {
            state.phase = Phase::Ended;
            signals.is_ended = true;
            state.busy = None;
        }
        signals.is_busy = state.busy.is_some();
        signals
    }

    /// Forgets flows that ended or fell silent, and gives up requests whose time is over.
    pub fn sweep(
        &mut self,
        now: Moment,
        idle_time: Duration,
        mut forget: impl FnMut(&FlowId, Forgotten),
    ) {
        self.table.retain(|flow, state| {
            let silence = now.since(state.seen);
            let limit = match state.phase {
                Phase::Opening => OPENING_LIMIT,
                Phase::Open => idle_time,
                Phase::Ended => ENDED_TIME,
            };
            if silence > limit {
                forget(flow, state.forgotten(true));
                return false;
            }
            if state
                .busy
                .is_some_and(|busy| now.since(busy) > state.timeout)
            {
                forget(flow, state.forgotten(false));
                state.busy = None;
            }
            true
        });
    }
}

impl FlowState {
    /// An open flow whose packet `head` is.
    fn new(
        head: &PacketHeader,
        (slot, token): (TargetIndex, Token),
        timeout: Duration,
        now: Moment,
    ) -> Self {
        Self {
            slot,
            token,
            phase: Phase::Open,
            sent: head.seq,
            acked: head.ack,
            busy: None,
            timeout,
            begun: now,
            seen: now,
        }
    }

    fn forgotten(&self, is_removed: bool) -> Forgotten {
        Forgotten {
            slot: self.slot,
            token: self.token,
            busy: self.busy,
            was_ended: self.phase == Phase::Ended,
            is_removed,
        }
    }
}

/// Whether a sequence number is after another; they wrap around.
fn is_after(number: u32, other: u32) -> bool {
    let distance = number.wrapping_sub(other);
    distance != 0 && distance < 1 << 31
}
