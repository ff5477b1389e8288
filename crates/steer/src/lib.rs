//! Packet steering: selects the target of each packet, without I/O.
//!
//! [`Steering`] keeps the state that the selection needs. The [`Routes`] and the targets in the
//! [`TargetTable`] come from published documents; the flow table and the load of each target come
//! from the packets that pass through this VM. [`Steering::decide`] returns a [`Decision`] for each
//! packet. Forwarding of established flows does not depend on the flow table: each packet of a flow
//! names its target by a token, and the table only improves the placement of new flows.
//!
//! Each part of the decision has its own module: [`placement`] selects the target of a new flow,
//! [`admission`] decides which openings wait or are rejected while a service is full,
//! [`cold_budget`] limits the openings at targets that have just started,
//! [`responsiveness`] detects targets that do not answer, [`zone`] detects zones that do not
//! answer, [`stall`] detects targets that do not acknowledge data, [`timing`] derives timeouts from observed
//! response times, [`target_speed`] learns how fast each target is, [`missing_entry`] handles
//! targets whose published entry was removed, [`evacuation`] excludes the targets of evacuated
//! zones from new flows, [`isolation`] detects that everything outside the zone is out of reach,
//! [`resumption`] drops openings that waited while this process was paused,
//! [`zone_load`] adds the load that other VMs of the zone place on a target, `ended_start` handles
//! tokens of targets that have ended or started again, [`unknown_token`] handles tokens that belong
//! to no known target, and `token_report` describes a token for the log.

pub mod admission;
pub mod cold_budget;
mod decision;
mod ended_start;
pub mod evacuation;
mod event;
mod flows;
mod header;
pub mod isolation;
mod load;
pub mod missing_entry;
mod path;
pub mod placement;
pub mod responsiveness;
pub mod resumption;
mod route;
pub mod stall;
mod steering;
mod target;
pub mod target_speed;
mod target_table;
pub mod timing;
mod token_report;
pub mod unknown_token;
pub mod zone;
pub mod zone_load;

pub use cold_budget::ColdPolicy;
pub use decision::{Decision, DropCause, Origin, Placement, Released, ResetCause};
pub use ended_start::EndCause;
pub use event::SteeringEvent;
pub use header::{FlowId, PacketFlags, PacketHeader, ParseFlowError};
pub use load::Load;
pub use route::{LOWEST_PRIORITY, Route, Routes, ServiceLimits, Share};
pub use steering::{
    AdmissionStats, AnswerOutcome, Freshness, SpeedSummary, Steering, SteeringSettings,
};
pub use target::{Target, TokenForm};
pub use target_table::{EntryStatus, TargetIndex, TargetRecord, TargetTable};
pub use token_report::TokenReport;
