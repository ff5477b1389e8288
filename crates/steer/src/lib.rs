//! Which target a packet goes to, decided apart from input and output.
//!
//! [`Steering`] holds what is known: [`Routes`] and the [`Roster`] of targets come from published
//! documents, the table of flows and the loads from packets that passed. For each packet it gives a
//! [`Verdict`]. Flows need no memory here: a packet names its target by a token, and what is
//! remembered only makes new flows better placed.
//!
//! Each decision has a module of its own: [`place`] for new flows, [`silence`] for targets that do
//! not answer, [`zone`] for zones that do not, [`absence`] for targets whose entry is gone,
//! [`stranger`] for unknown tokens.

pub mod absence;
mod decision;
mod event;
mod flows;
mod header;
mod load;
pub mod place;
mod route;
pub mod silence;
mod steering;
pub mod stranger;
mod target;
mod target_table;
pub mod zone;

pub use decision::{Decision, DropCause, Placement, ResetCause};
pub use event::SteeringEvent;
pub use header::{FlowId, PacketFlags, PacketHeader, ParseFlowError};
pub use load::Load;
pub use route::{Route, Routes, Share};
pub use steering::{Freshness, Steering, SteeringSettings};
pub use target::Target;
pub use target_table::{EntryStatus, TargetIndex, TargetRecord, TargetTable};
