//! Identifiers, sizes, rates and findings that every crate shares.
//!
//! Raw text becomes one of these types once, at the edge, through `FromStr` or `TryFrom`. Code
//! behind the edge holds checked values only.

mod clock;
mod find;
mod id;
mod net;
mod quantity;
mod token;

pub use clock::{Clock, Moment, SystemClock};
pub use find::{Finding, Findings, Location};
pub use id::{
    Digest, FlowPort, Incarnation, ParseIdError, PresetName, RequestId, Revision, ServiceId,
    ServiceName, TargetId, VmId, ZoneId,
};
pub use net::{Flow, Protocol};
pub use quantity::{ByteCount, ByteRate, EventRate, ParseQuantityError, Weight};
pub use token::{TargetLabel, Token};
