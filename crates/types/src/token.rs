//! Names of targets that travel in packets.

use std::fmt::{self, Display, Formatter};
use std::num::{NonZeroU32, NonZeroU64};
use std::str::FromStr;

use crate::ParseIdError;

/// What a token may be.
const TOKEN_ALLOWED: &str = "1 to 8 hexadecimal digits, not all 0";
/// What a label may be.
const LABEL_ALLOWED: &str = "1 to 16 hexadecimal digits, not all 0";

/// One start of a target, as both ends of a flow repeat it in each packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(NonZeroU32);

/// The target that a datagram is meant for; another one at the same address ignores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetLabel(NonZeroU64);

impl Token {
    /// The token of a hash; the hash 0 takes the place of 1, as 0 on the wire means no token.
    pub const fn from_hash(hash: u32) -> Self {
        match NonZeroU32::new(hash) {
            Some(hash) => Self(hash),
            None => Self(NonZeroU32::MIN),
        }
    }

    /// The token that a packet carries; `None` for 0.
    pub const fn from_wire(number: u32) -> Option<Self> {
        match NonZeroU32::new(number) {
            Some(number) => Some(Self(number)),
            None => None,
        }
    }

    /// The number.
    pub const fn get(self) -> u32 {
        self.0.get()
    }
}

impl Display for Token {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for Token {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let number = u32::from_str_radix(text, 16).ok();
        number.and_then(Self::from_wire).ok_or(ParseIdError {
            found: text.into(),
            allowed: TOKEN_ALLOWED,
        })
    }
}

impl TargetLabel {
    /// The label of a number; `None` for 0, which would mean any target.
    pub const fn new(number: u64) -> Option<Self> {
        match NonZeroU64::new(number) {
            Some(number) => Some(Self(number)),
            None => None,
        }
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0.get()
    }
}

impl Display for TargetLabel {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for TargetLabel {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let number = u64::from_str_radix(text, 16).ok();
        number.and_then(Self::new).ok_or(ParseIdError {
            found: text.into(),
            allowed: LABEL_ALLOWED,
        })
    }
}
