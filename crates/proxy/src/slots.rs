//! Scheduling of the slots of targets: which request may start when.
//!
//! Each target's slots have one owner. [`SlotOwner`] keeps the exact counts and the queue of
//! waiting requests. [`SlotFinder`] asks owners on behalf of the proxy where a request arrived.
//! Both use the tokio clock, so that measurements and tests run the same code in virtual time.

mod class;
mod drain;
mod finder;
mod health;
mod load;
mod mix;
mod owner;
mod policy;
mod queue;

pub use class::ClassEstimator;
pub use drain::{DrainMeter, jittered};
pub use finder::{Lease, SlotFinder, SlotSource};
pub use health::{Health, WorkOutcome};
pub use load::Load;
pub use mix::WorkMix;
pub use owner::{Grant, OwnerStatus, Refusal, SlotOwner, SlotRequest, TargetSlots};
pub use policy::{Policy, QueueDiscipline, SlotShare};
