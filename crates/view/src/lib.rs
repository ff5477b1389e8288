//! Validated view of the deployment, with rendezvous hashing over its members.
//!
//! A [`View`] is an immutable value that [`View::build`] creates from published documents. Programs
//! replace the whole view on an update, so each packet or request is processed with one consistent
//! view.

mod key;
mod rank;
mod source;
mod view;

pub use key::FlowKey;
pub use rank::{Member, Ranking, pick_weighted};
pub use source::{ViewNumber, ViewSource};
pub use view::{Frontend, FrontendKind, ServiceIndex, Target, View, Vm, VmHealth};
