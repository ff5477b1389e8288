//! Identifiers of VMs, zones, services, targets, presets, revisions and requests.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use derive_more::{Display, Error};

/// Longest name in bytes.
const NAME_LIMIT: usize = 63;

/// Largest Geneve network identifier: 24 bits.
const VNI_LIMIT: u32 = (1 << 24) - 1;

/// Error for a text or number that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{found:?} is not {allowed}")]
pub struct ParseIdError {
    /// Text that was found.
    pub found: String,
    /// Allowed form of the text.
    pub allowed: &'static str,
}

/// Defines a newtype for a validated name.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check_name(text).map(Self)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = ParseIdError;

            fn try_from(text: &str) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }
    };
}

name!(
    /// Identifier of an entry VM.
    VmId
);
name!(
    /// Identifier of an availability zone.
    ZoneId
);
name!(
    /// Identifier of a target of a service.
    TargetId
);
name!(
    /// Name of a service, as used by operators.
    ServiceName
);
name!(
    /// Name of a preset, as used by operators.
    PresetName
);
name!(
    /// Identifier of a caller's request, unique for each attempt of the caller.
    RequestId
);

/// Identifier of a service on the wire: the Geneve virtual network identifier, 24 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ServiceId(u32);

/// Transport port at which a service accepts flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct FlowPort(u16);

/// Revision of a published configuration or of the platform's store; never decreases. 0 means none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Revision(u64);

/// Number of times the platform's store has returned from an older copy. Revisions are comparable
/// only within one era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Era(u64);

/// Number of one start of a process on a VM, or of a target; a later start has a larger number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Incarnation(u64);

/// SHA-256 digest of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl ServiceId {
    /// Returns the 24-bit number.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl TryFrom<u32> for ServiceId {
    type Error = ParseIdError;

    fn try_from(vni: u32) -> Result<Self, ParseIdError> {
        if vni == 0 || vni > VNI_LIMIT {
            return Err(ParseIdError {
                found: vni.to_string(),
                allowed: SERVICE_ALLOWED,
            });
        }
        Ok(Self(vni))
    }
}

impl FromStr for ServiceId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let vni = parse_number(text, SERVICE_ALLOWED)?;
        u32::try_from(vni)
            .map_err(|_| ParseIdError {
                found: text.into(),
                allowed: SERVICE_ALLOWED,
            })
            .and_then(Self::try_from)
    }
}

impl FlowPort {
    /// Returns the port number.
    pub fn get(self) -> u16 {
        self.0
    }
}

impl TryFrom<u16> for FlowPort {
    type Error = ParseIdError;

    fn try_from(port: u16) -> Result<Self, ParseIdError> {
        if port == 0 {
            return Err(ParseIdError {
                found: port.to_string(),
                allowed: PORT_ALLOWED,
            });
        }
        Ok(Self(port))
    }
}

impl FromStr for FlowPort {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let port = parse_number(text, PORT_ALLOWED)?;
        u16::try_from(port)
            .map_err(|_| ParseIdError {
                found: text.into(),
                allowed: PORT_ALLOWED,
            })
            .and_then(Self::try_from)
    }
}

/// Allowed service identifiers.
const SERVICE_ALLOWED: &str = "a whole number from 1 to 16777215";
/// Allowed ports.
const PORT_ALLOWED: &str = "a whole number from 1 to 65535";
/// Allowed revisions and incarnations.
const NUMBER_ALLOWED: &str = "a whole number";
/// Allowed text of a digest.
const DIGEST_ALLOWED: &str = "64 hexadecimal digits";
/// Allowed names.
const NAME_ALLOWED: &str = "1 to 63 letters, digits, '-', '_' or '.', not dots alone";

impl Revision {
    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Returns the next revision.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl FromStr for Revision {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        parse_number(text, NUMBER_ALLOWED).map(Self)
    }
}

impl Era {
    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for Era {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl FromStr for Era {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        parse_number(text, NUMBER_ALLOWED).map(Self)
    }
}

impl Incarnation {
    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Returns the next incarnation.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<u64> for Incarnation {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        parse_number(text, NUMBER_ALLOWED).map(Self)
    }
}

impl Digest {
    /// Returns the 32 bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for Digest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError {
            found: text.into(),
            allowed: DIGEST_ALLOWED,
        };
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

/// Validates the length and the characters of a name.
fn check_name(text: &str) -> Result<Box<str>, ParseIdError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    // A name of dots alone would refer to another directory when it is part of a path.
    let is_dots = text.chars().all(|c| c == '.');
    if is_dots || text.len() > NAME_LIMIT || !text.chars().all(is_allowed) {
        return Err(ParseIdError {
            found: text.into(),
            allowed: NAME_ALLOWED,
        });
    }
    Ok(text.into())
}

/// Parses a whole number.
fn parse_number(text: &str, allowed: &'static str) -> Result<u64, ParseIdError> {
    text.parse().map_err(|_| ParseIdError {
        found: text.into(),
        allowed,
    })
}
