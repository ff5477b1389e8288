//! Detection of stalled targets: targets that do not acknowledge the data of their open flows.
//!
//! When a target stops responding while its entry is still published, the requests in its open
//! flows wait until the callers' deadlines. A reset lets a caller retry at once, but it breaks the
//! flow if the target is running after all. A slow response is therefore no evidence, because the
//! response may reach the caller, and its acknowledgement another VM. The evidence are the callers'
//! own retransmissions: a running target acknowledges data that it receives again, even while the
//! request is still in progress, so a caller that sends the same bytes a third time has received
//! nothing twice. Later bytes of an upload that are sent again show that the earlier ones were
//! acknowledged.
//!
//! The answers on a single flow may be lost for good while the target is running. Therefore only
//! flows that have retransmitted themselves are reset, and only those transmissions count that were
//! sent after the target's last response. New data is forwarded even to a target that is found
//! stalled, and a response ends the suspicion.
//!
//! The retransmissions of one caller may be due to the path between target and caller, and look the
//! same at a running target and at one that has stopped. A target is stalled if two callers have
//! retransmitted.
//!
//! The path between this VM and the target may have failed as well, or the link of this VM may be
//! full, so that packets are late or lost. The path works if other targets of the same zone have
//! answered packets that were sent after the retransmission in question, and if they are at least
//! twice as many as the targets that show any sign of delay. If no target of a remote zone answers
//! and several have stalled, the zone is cut off from this VM; its flows cannot continue here, and
//! a retry reaches a target of this zone, provided that the targets of this zone pass the same test.
//!
//! Large transfers to peers fill the link of this VM for some time. Data sent during that time is no
//! evidence.

use std::net::Ipv4Addr;
use std::time::Duration;

use bambooseam_types::Moment;

use crate::flows::is_after;

/// Number of flows tracked for one target.
const TRACKED_FLOWS: usize = 4;

/// Minimum interval between two transmissions that count separately. Callers retransmit after
/// 200 ms or more; packets that arrive closer together were delayed, for example while this VM was
/// paused.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Retransmissions of one flow after which the flow has stalled: the first retransmission, 200 ms
/// after the request, may precede a slow response, but the target would have acknowledged it.
const STALLED_RETRANSMISSIONS: u32 = 2;

/// Retransmissions of a single flow that suffice if flows of other callers have stalled at other
/// targets of a zone that is cut off; callers send the third one 1.4 s after the request.
const LONE_RETRANSMISSIONS: u32 = 3;

/// Time for which a retransmission is evidence; longer than the interval to the caller's next one,
/// 1.6 s at most. Once all evidence has expired, requests reach the target again.
const EVIDENCE_TIME: Duration = Duration::from_millis(2_000);

/// Retransmissions of the last data of one flow, without any progress of the flow in between.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Retransmissions {
    /// When the data was first sent through this VM since the target's last response, and when it was
    /// last sent.
    span: Option<(Moment, Moment)>,
    /// Sequence number of the data that was last sent.
    seq: u32,
    /// When the first retransmission was sent.
    first_repeated: Option<Moment>,
    /// Number of retransmissions since then.
    count: u32,
    /// Number of all retransmissions.
    repeats: u32,
}

/// Flows of one target whose callers have retransmitted data since the target's last response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stall {
    flows: [Option<StalledFlow>; TRACKED_FLOWS],
    /// Flows that were reset because the target was found stalled.
    pub resets: u32,
}

/// A flow whose caller has retransmitted data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StalledFlow {
    caller: Ipv4Addr,
    first_sent: Moment,
    last_sent: Moment,
    first_repeated: Moment,
    retransmissions: u32,
}

/// Evidence that a target is stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallEvidence {
    /// Callers that have retransmitted data.
    pub callers: u32,
    /// Caller with the largest number of retransmissions of one flow.
    pub caller: Ipv4Addr,
    /// Largest number of retransmissions of one flow.
    pub retransmissions: u32,
    /// When the first unacknowledged data was sent.
    pub since: Moment,
    /// When the earliest retransmission was sent that a running target would have acknowledged by
    /// now.
    pub repeated: Moment,
}

/// What one of the other targets shows about the paths from this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetHealth {
    /// Whether the target has answered a packet sent after the retransmission in question.
    pub is_answering: bool,
    /// Whether a packet to the target was retransmitted, or has no answer yet.
    pub is_suspected: bool,
    /// Whether a flow of another caller has stalled at the target.
    pub has_stalled: bool,
}

/// Numbers of other targets that are reached over the same path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathState {
    /// Whether most packets sent since the first unacknowledged data had a prompt answer.
    pub is_prompt: bool,
    answering: u32,
    suspected: u32,
    stalled: u32,
}

/// The other targets by zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Paths {
    /// Targets of the zone of this VM.
    pub local: PathState,
    /// Targets of the zone of the target in question.
    pub same_zone: PathState,
}

/// Whether the other targets show that the target, or its zone, has stalled, and not this VM.
pub fn is_confirmed(evidence: &StallEvidence, paths: &Paths, is_local: bool) -> bool {
    if paths.same_zone.is_working() {
        return evidence.callers > 1;
    }
    let is_zone_stalled = paths.same_zone.answering == 0 && paths.same_zone.stalled > 0;
    !is_local && is_zone_stalled && paths.local.is_working()
}

impl PathState {
    /// Counts a target.
    pub fn add(&mut self, health: TargetHealth) {
        self.answering += u32::from(health.is_answering);
        self.suspected += u32::from(health.is_suspected && !health.is_answering);
        self.stalled += u32::from(health.has_stalled);
    }

    fn is_working(&self) -> bool {
        self.is_prompt && self.answering >= (2 * self.suspected).max(1)
    }
}

impl Retransmissions {
    /// Records data from `seq` on that was not sent before.
    pub fn record_data(&mut self, seq: u32, now: Moment) {
        *self = Self::first(seq, now);
    }

    fn first(seq: u32, now: Moment) -> Self {
        Self {
            span: Some((now, now)),
            seq,
            ..Self::default()
        }
    }

    /// Number of retransmissions.
    pub fn repeats(&self) -> u32 {
        self.repeats
    }

    /// Whether the data was retransmitted so often that a running target would have responded.
    pub fn has_stalled(&self) -> bool {
        self.repeats >= STALLED_RETRANSMISSIONS
    }

    /// When the data was first sent since the target's last response.
    pub fn first_sent(&self) -> Option<Moment> {
        self.span.map(|(first_sent, _)| first_sent)
    }

    /// Records that the flow made progress.
    pub fn record_progress(&mut self) {
        *self = Self::default();
    }

    /// Whether the data was retransmitted since the target's last response.
    pub fn is_evidence(&self) -> bool {
        self.count > 0
    }

    /// Records data from `seq` on that was sent before; only transmissions from `evidence_since` on
    /// are evidence. Returns whether the retransmission counts.
    pub fn record_repeated(&mut self, seq: u32, evidence_since: Moment, now: Moment) -> bool {
        let Some((first_sent, last_sent)) = self.span else {
            self.record_data(seq, now);
            return false;
        };
        if now.since(last_sent) < MIN_INTERVAL {
            return false;
        }
        self.repeats += 1;
        // A caller repeats the first data that was not acknowledged, so later data shows that the
        // target has acknowledged what was repeated before.
        if first_sent < evidence_since || is_after(seq, self.seq) {
            *self = Self {
                repeats: self.repeats,
                ..Self::first(seq, now)
            };
            return true;
        }
        self.seq = seq;
        self.span = Some((first_sent, now));
        self.first_repeated.get_or_insert(now);
        self.count += 1;
        true
    }
}

impl Stall {
    /// Records a retransmission that counts.
    pub fn record(&mut self, caller: Ipv4Addr, retransmissions: Retransmissions) {
        let Some((first_sent, last_sent)) = retransmissions.span else {
            return;
        };
        let flow = StalledFlow {
            caller,
            first_sent,
            last_sent,
            first_repeated: retransmissions.first_repeated.unwrap_or(last_sent),
            retransmissions: retransmissions.count,
        };
        let is_same = |slot: &&mut Option<StalledFlow>| slot.is_some_and(|f| f.caller == caller);
        if let Some(slot) = self.flows.iter_mut().find(is_same) {
            // Of the flows of one caller, the one with the most retransmissions counts.
            let kept = slot.filter(|kept| {
                kept.is_recent(last_sent) && kept.retransmissions > flow.retransmissions
            });
            *slot = Some(kept.unwrap_or(flow));
            return;
        }
        // An empty slot is replaced first, then the oldest flow.
        let oldest = self
            .flows
            .iter_mut()
            .min_by_key(|slot| slot.map(|f| f.last_sent));
        if let Some(slot) = oldest {
            *slot = Some(flow);
        }
    }

    /// Evidence that the target is stalled, from data sent after `quiet_since`; `None` if there is not
    /// enough.
    pub fn evidence(&self, now: Moment, quiet_since: Moment) -> Option<StallEvidence> {
        let recent = self.recent(now);
        let recent =
            recent.filter(|flow| flow.first_sent >= quiet_since && flow.retransmissions > 0);
        let longest = recent.clone().max_by_key(|flow| flow.retransmissions)?;
        let evidence = StallEvidence {
            callers: recent.clone().count() as u32,
            caller: longest.caller,
            retransmissions: longest.retransmissions,
            since: recent.clone().map(|f| f.first_sent).min()?,
            repeated: recent
                .filter(|f| f.retransmissions >= STALLED_RETRANSMISSIONS)
                .map(|f| f.first_repeated)
                .min()?,
        };
        let is_shared = evidence.callers > 1 && evidence.retransmissions >= STALLED_RETRANSMISSIONS;
        let is_lone = evidence.retransmissions >= LONE_RETRANSMISSIONS;
        (is_shared || is_lone).then_some(evidence)
    }

    /// Whether data was retransmitted recently.
    pub fn is_suspected(&self, now: Moment) -> bool {
        self.recent(now).next().is_some()
    }

    /// When data was first retransmitted in a flow that has stalled; `None` if none has. A stalled flow
    /// is not sufficient evidence by itself.
    pub fn stalled_since(&self, now: Moment) -> Option<Moment> {
        self.stalled(now).map(|flow| flow.first_repeated).min()
    }

    /// Whether a flow of another caller than `caller` has stalled, which is not sufficient evidence by
    /// itself.
    pub fn has_stalled_beside(&self, caller: Ipv4Addr, now: Moment) -> bool {
        self.stalled(now).any(|flow| flow.caller != caller)
    }

    fn stalled(&self, now: Moment) -> impl Iterator<Item = &StalledFlow> {
        self.recent(now)
            .filter(|flow| flow.retransmissions >= STALLED_RETRANSMISSIONS)
    }

    fn recent(&self, now: Moment) -> impl Iterator<Item = &StalledFlow> + Clone {
        let flows = self.flows.iter().flatten();
        flows.filter(move |flow| flow.is_recent(now))
    }
}

impl StalledFlow {
    fn is_recent(&self, now: Moment) -> bool {
        now.since(self.last_sent) <= EVIDENCE_TIME
    }
}
