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
mod flows;
mod head;
mod load;
mod notice;
pub mod place;
mod roster;
mod route;
pub mod silence;
mod steering;
pub mod stranger;
mod target;
mod verdict;
pub mod zone;

pub use head::{FlowId, Head, HeadFlags, ParseFlowError};
pub use load::Load;
pub use notice::Notice;
pub use roster::{Roster, Slot, SlotNumber, Standing};
pub use route::{Route, Routes, Share};
pub use steering::{Freshness, Steering, SteeringSettings};
pub use target::Target;
pub use verdict::{DropCause, Opening, ResetCause, Verdict};
