//! Types of values in documents, each with a description of the allowed values.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::str::FromStr;

use bambooseam_types::{
    ByteCount, ByteRate, Digest, EventRate, FlowPort, PresetName, Revision, ServiceId, ServiceName,
    VmId, Weight, ZoneId,
};

use crate::{TargetState, VmState, WorkClass};

/// A value that findings can describe.
pub trait Value: FromStr {
    /// Description of the allowed values, for findings.
    const ALLOWED: &'static str;
}

/// Implements [`Value`] with a description for each type.
macro_rules! values {
    ($($type:ty: $allowed:literal,)*) => {
        $(impl Value for $type {
            const ALLOWED: &'static str = $allowed;
        })*
    };
}

values! {
    ByteCount: "a size such as 64KiB",
    ByteRate: "a rate such as 3KiB/s",
    Digest: "64 hexadecimal digits",
    EventRate: "a rate such as 20/s",
    FlowPort: "a port from 1 to 65535",
    IpAddr: "an IP address",
    PathBuf: "a path",
    PresetName: "a name of 1 to 63 letters, digits, '-', '_' or '.'",
    Revision: "a whole number",
    ServiceId: "a whole number from 1 to 16777215",
    ServiceName: "a name of 1 to 63 letters, digits, '-', '_' or '.'",
    SocketAddr: "IP:PORT",
    SocketAddrV4: "IP:PORT with an IPv4 address",
    String: "text",
    TargetState: "live or leaving",
    VmId: "a name of 1 to 63 letters, digits, '-', '_' or '.'",
    VmState: "joining, live or leaving",
    Weight: "a whole number from 0 to 10000",
    WorkClass: "short or long",
    ZoneId: "a name of 1 to 63 letters, digits, '-', '_' or '.'",
    f64: "a number",
    humantime::Duration: "a time such as 250ms or 12h",
    humantime::Timestamp: "a time such as 2026-03-01T08:30:00Z",
    u16: "a whole number from 0 to 65535",
    u64: "a whole number",
}
