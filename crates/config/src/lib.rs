//! Settings and published documents, read from INI and validated.
//!
//! Text is parsed into a [`Document`], which is converted into a validated type through `TryFrom`.
//! Validation collects all findings of a document before it reports them; a document is never
//! accepted in part. The agent and `bambooseam-ctl check` run the same validation.

mod document;
mod fleet;
mod lines;
mod pointer;
mod preset;
mod published;
mod settings;
mod unique;
mod value;

pub use document::{Document, Section};
pub use fleet::{EvacuatedZone, TargetEntry, TargetList, TargetState, VmEntry, VmList, VmState};
pub use pointer::{PresetPointer, digest_of};
pub use preset::{ClassRule, Preset, Service, WorkClass};
pub use published::check_published;
pub use settings::{
    AgentSettings, ColdLimit, EntrySettings, ForwarderSettings, LogSettings, PlatformSettings,
    ProxySettings, Settings, TraceSettings, VmSettings,
};
pub use value::Value;
