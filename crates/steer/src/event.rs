//! Events that [`Steering::sweep`](crate::Steering::sweep) returns for the log.

use std::time::Duration;

use bambooseam_types::{ServiceName, TargetId, Token, ZoneId};
use derive_more::Display;

use crate::FlowId;
use crate::admission::Rejection;
use crate::cold_budget::ColdShare;
use crate::stall::StallEvidence;

/// A change in the state of a target or zone, or a request that was abandoned.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SteeringEvent {
    /// The retention time of a target without an entry has passed.
    #[display("event=target_ended target={_0} cause=entry_not_back")]
    Ended(TargetId),
    /// The entry of a target contradicted its known start, which has not written again.
    #[display("event=dispute_settled target={_0} token={_1}")]
    DisputeSettled(TargetId, Token),
    /// A target is unresponsive and takes no new flows for some time.
    #[display("event=target_silent target={target} flows={flows} silent_ms={}", elapsed.as_millis())]
    Unresponsive {
        /// The target.
        target: TargetId,
        /// Unanswered openings and requests.
        flows: u32,
        /// Time since the oldest unanswered opening or request.
        elapsed: Duration,
    },
    /// An unresponsive target answers or is probed again.
    #[display("event=target_trusted target={_0}")]
    Recovered(TargetId),
    /// A target does not acknowledge data, and its flows with requests are reset.
    #[display(
        "event=target_stalled target={target} callers={} retransmissions={} stalled_ms={}",
        evidence.callers,
        evidence.retransmissions,
        elapsed.as_millis()
    )]
    Stalled {
        /// The target.
        target: TargetId,
        /// Evidence at the first reset.
        evidence: StallEvidence,
        /// Time since the first unacknowledged data was sent.
        elapsed: Duration,
    },
    /// A target answers whose flows were reset because it was stalled.
    #[display("event=target_stall_ended target={target} resets={resets}")]
    StallEnded {
        /// The target.
        target: TargetId,
        /// Number of flows that this VM has reset.
        resets: u32,
    },
    /// Several targets of a zone are unresponsive and no target of the zone has responded
    /// since; no target of the zone takes new flows for some time.
    #[display("event=zone_silent zone={zone} targets={targets}")]
    ZoneUnresponsive {
        /// The zone.
        zone: ZoneId,
        /// Number of unresponsive targets.
        targets: u32,
    },
    /// This VM reaches nothing outside its zone.
    #[display("event=isolation_began view_age_ms={}", view_age.as_millis())]
    IsolationBegan {
        /// Age of the view.
        view_age: Duration,
    },
    /// Something outside the zone of this VM has answered.
    #[display("event=isolation_ended elapsed_ms={} opened={opened}", elapsed.as_millis())]
    IsolationEnded {
        /// Time since the start.
        elapsed: Duration,
        /// Flows opened in the evacuated zone of this VM.
        opened: u64,
    },
    /// A target of an unresponsive zone answers.
    #[display("event=zone_trusted zone={_0}")]
    ZoneRecovered(ZoneId),
    /// The share of flows that may open at a cold target has changed.
    #[display(
        "event=cold_share target={target} service={service} share_ppm={} limit={} slots={} \
         response_us={}",
        share.ppm(),
        share.limit,
        share.slots,
        share.response_time.as_micros()
    )]
    ColdShare {
        /// The target.
        target: TargetId,
        /// Service of the target.
        service: ServiceName,
        /// The share and what it is derived from.
        share: ColdShare,
    },
    /// The number of requests that a target handles well has changed.
    #[display(
        "event=target_limit target={target} limit={limit} before={before} capacity={capacity} \
         factor_percent={factor_percent} responses={responses} expected_ms={}",
        expected.as_millis()
    )]
    LimitChanged {
        /// The target.
        target: TargetId,
        /// The new limit.
        limit: u32,
        /// The limit before.
        before: u32,
        /// Published capacity.
        capacity: u32,
        /// Response times in percent of the service's usual times.
        factor_percent: u32,
        /// Weight of the responses that the limit is based on.
        responses: u32,
        /// Expected response time of the next request at an idle target.
        expected: Duration,
    },
    /// All targets of a service are at their limits, and openings wait.
    #[display("event=overload_began service={service} waiting={waiting}")]
    OverloadBegan {
        /// The service.
        service: ServiceName,
        /// Number of waiting openings.
        waiting: usize,
    },
    /// A service has had room for its openings for some time.
    #[display(
        "event=overload_ended service={service} elapsed_ms={} rejected={rejected}",
        elapsed.as_millis()
    )]
    OverloadEnded {
        /// The service.
        service: ServiceName,
        /// Time from the first to the last opening that found the service full.
        elapsed: Duration,
        /// Number of rejected openings.
        rejected: u64,
    },
    /// An opening was rejected because its service is full.
    #[display("event=opening_rejected flow={flow} {rejection}")]
    Rejected {
        /// The flow.
        flow: FlowId,
        /// The rejection with the inputs of the decision.
        rejection: Rejection,
    },
    /// A request had no response within the request timeout of its route.
    #[display(
        "event=request_unanswered flow={flow} token={token} waited_ms={}",
        waited.as_millis()
    )]
    TimedOut {
        /// The flow.
        flow: FlowId,
        /// Token of the target.
        token: Token,
        /// Time since the request or the opening packet.
        waited: Duration,
    },
}
