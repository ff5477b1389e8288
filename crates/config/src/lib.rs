//! Settings and published documents, read from INI and checked.
//!
//! Text becomes a [`Document`], a document becomes a checked type through `TryFrom`. A check
//! collects all findings of a document before it reports them; nothing is taken in part. The
//! agent and `bambooseam-ctl check` run the same checks.

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
pub use fleet::{TargetEntry, TargetList, TargetState, VmEntry, VmList, VmState};
pub use pointer::{PresetPointer, digest_of};
pub use preset::{ClassRule, Preset, Service, WorkClass};
pub use published::check_published;
pub use settings::{
    AgentSettings, EntrySettings, ForwarderSettings, LogSettings, PlatformSettings, ProxySettings,
    Settings, TraceSettings, VmSettings,
};
pub use value::Value;
