//! What steering found out between packets, for the log.

use std::time::Duration;

use bambooseam_types::{TargetId, Token, ZoneId};
use derive_more::Display;

use crate::FlowId;

/// Something that changed what is believed, or a request that was given up.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SteeringEvent {
    /// A target without an entry was kept long enough.
    #[display("event=target_ended target={_0} cause=entry_not_back")]
    Ended(TargetId),
    /// A target does not answer and gets no new flows for a while.
    #[display("event=target_silent target={target} flows={flows} silent_ms={}", silence.as_millis())]
    Unresponsive {
        /// The target.
        target: TargetId,
        /// Openings and requests that it left unanswered.
        flows: u32,
        /// Time since the first of them.
        silence: Duration,
    },
    /// A target that was silent answers, or is tried again.
    #[display("event=target_trusted target={_0}")]
    Recovered(TargetId),
    /// Several targets of a zone do not answer, and none does: all get no new flows for a while.
    #[display("event=zone_silent zone={zone} targets={targets}")]
    ZoneUnresponsive {
        /// The zone.
        zone: ZoneId,
        /// Its targets that do not answer.
        targets: u32,
    },
    /// A target of a zone that was silent answers.
    #[display("event=zone_trusted zone={_0}")]
    ZoneRecovered(ZoneId),
    /// A request had no answer within its route's time.
    #[display(
        "event=request_unanswered flow={flow} token={token} waited_ms={}",
        waited.as_millis()
    )]
    TimedOut {
        /// The flow.
        flow: FlowId,
        /// Token of its target.
        token: Token,
        /// Time since the request, or since the flow's opening.
        waited: Duration,
    },
}
