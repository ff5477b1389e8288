//! Detection of stalled targets: targets that do not acknowledge the data of their open flows.
//!
//! When a target stops responding while its entry is still published, the requests in its open
//! flows wait until the callers' deadlines. A reset lets a caller retry at once, but it breaks the
//! flow if the target is running after all. A slow response is therefore no evidence, because the
//! response may reach the caller, and its acknowledgement another VM. The evidence are the callers'
//! own retransmissions: a running target acknowledges data that it receives again, even while the
//! request is still in progress, so a caller that sends the same bytes a third time has received
//! nothing twice.
//!
//! The retransmissions of one caller may be due to the path between target and caller. A target
//! is stalled if two callers have retransmitted, or if a single caller has done so for 1.4 s and no
//! other target shows the same symptom.
//!
//! The path between this VM and the target may have failed as well. If another target of the same
//! zone has responded meanwhile, the path works. If no target of a remote zone has responded and
//! several have stalled, the zone is cut off from this VM; its flows cannot continue here, and a
//! retry reaches a target of this zone, provided that one has responded. Without any response this
//! VM may be cut off itself, and a reset would help no caller.

use std::net::Ipv4Addr;
use std::time::Duration;

use bambooseam_types::Moment;

/// Number of flows tracked for one target.
const TRACKED_FLOWS: usize = 4;

/// Minimum interval between two transmissions that count separately. Callers retransmit after
/// 200 ms or more; packets that arrive closer together were delayed, for example while this VM was
/// paused.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Retransmissions of one flow after which the flow has stalled: the first retransmission, 200 ms
/// after the request, may precede a slow response, but the target would have acknowledged it.
const STALLED_RETRANSMISSIONS: u32 = 2;

/// Retransmissions of a single flow that suffice without another caller's; callers send the third
/// one 1.4 s after the request.
const LONE_RETRANSMISSIONS: u32 = 3;

/// Time for which a retransmission is evidence; longer than the interval to the caller's next one,
/// 1.6 s at most. Once all evidence has expired, requests reach the target again.
const EVIDENCE_TIME: Duration = Duration::from_millis(2_000);

/// Retransmissions of the last data of one flow, without any progress of the flow in between.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Retransmissions {
    /// When the data was first sent through this VM, and when it was last sent.
    span: Option<(Moment, Moment)>,
    count: u32,
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
    retransmissions: u32,
}

/// Evidence that a target is stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallEvidence {
    /// Callers that have retransmitted data.
    pub callers: u32,
    /// Largest number of retransmissions of one flow.
    pub retransmissions: u32,
    /// When the first unacknowledged data was sent.
    pub since: Moment,
}

/// What the other targets show about the paths from this VM since the first unacknowledged data was
/// sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathState {
    /// Whether another target of this VM's zone has responded.
    pub is_local_working: bool,
    /// Whether another target of the target's zone has responded.
    pub is_zone_working: bool,
    /// Other targets with a stalled flow.
    pub suspects: u32,
    /// Other targets of the target's zone with a stalled flow.
    pub zone_suspects: u32,
}

/// Whether a reset helps the callers of a target with this evidence.
pub fn is_confirmed(evidence: &StallEvidence, paths: &PathState, is_remote: bool) -> bool {
    if paths.is_zone_working {
        return evidence.callers > 1 || paths.suspects == 0;
    }
    is_remote && paths.is_local_working && paths.zone_suspects > 0
}

impl Retransmissions {
    /// Records data that was not sent before.
    pub fn record_data(&mut self, now: Moment) {
        *self = Self {
            span: Some((now, now)),
            count: 0,
        };
    }

    /// Records that the flow made progress.
    pub fn record_progress(&mut self) {
        *self = Self::default();
    }

    /// Records data that was sent before. Returns whether the retransmission counts.
    pub fn record_repeated(&mut self, now: Moment) -> bool {
        let Some((first_sent, last_sent)) = self.span else {
            self.record_data(now);
            return false;
        };
        if now.since(last_sent) < MIN_INTERVAL {
            return false;
        }
        self.span = Some((first_sent, now));
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

    /// Evidence that the target is stalled; `None` if there is not enough.
    pub fn evidence(&self, now: Moment) -> Option<StallEvidence> {
        let recent = self.recent(now);
        let evidence = StallEvidence {
            callers: recent.clone().count() as u32,
            retransmissions: recent.clone().map(|f| f.retransmissions).max()?,
            since: recent.map(|f| f.first_sent).min()?,
        };
        let is_shared = evidence.callers > 1 && evidence.retransmissions >= STALLED_RETRANSMISSIONS;
        let is_lone = evidence.retransmissions >= LONE_RETRANSMISSIONS;
        (is_shared || is_lone).then_some(evidence)
    }

    /// Whether a flow of the target has stalled, which is not sufficient evidence by itself.
    pub fn is_suspected(&self, now: Moment) -> bool {
        self.recent(now)
            .any(|f| f.retransmissions >= STALLED_RETRANSMISSIONS)
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
