//! Membership, ranks and the checked view that programs act on.
//!
//! A [`View`] is an immutable value built from published documents by [`View::build`]. Programs
//! swap whole views; a packet or request uses one view throughout.

mod key;
mod rank;
mod source;
mod view;

pub use key::FlowKey;
pub use rank::{Member, Ranking, pick_weighted};
pub use source::{ViewNumber, ViewSource};
pub use view::{Frontend, FrontendKind, ServiceIndex, Target, View, Vm, VmHealth};
