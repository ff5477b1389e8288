//! Identifiers, sizes, rates and findings shared by all crates.
//!
//! Raw text is parsed once, at the boundary of the program, into one of these types through
//! `FromStr` or `TryFrom`. All other code works with validated values only.

mod clock;
mod earlier_start;
mod finding;
mod id;
mod net;
mod quantity;
mod token;

pub use clock::{Clock, Moment, SystemClock};
pub use earlier_start::EarlierStart;
pub use finding::{Finding, Findings, Location};
pub use id::{
    Digest, Era, FlowPort, Incarnation, ParseIdError, PresetName, RequestId, Revision, ServiceId,
    ServiceName, TargetId, VmId, ZoneId,
};
pub use net::{Flow, Protocol};
pub use quantity::{ByteCount, ByteRate, EventRate, ParseQuantityError, Weight};
pub use token::{TargetLabel, Token};
