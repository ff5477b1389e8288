//! Identifiers of targets that are carried in packets.

use std::fmt::{self, Display, Formatter};
use std::num::{NonZeroU32, NonZeroU64};
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::ParseIdError;

/// Allowed text of a token.
const TOKEN_ALLOWED: &str = "1 to 8 hexadecimal digits, not all 0";
/// Allowed text of a label.
const LABEL_ALLOWED: &str = "1 to 16 hexadecimal digits, not all 0";

/// Number of low bits of a numbered token that tell the starts of one target apart. With 26 bits for the
/// target, one pair of 4,600 targets collides in about 1 of 6 fleets.
const START_BITS: u32 = 6;
const START_MASK: u32 = (1 << START_BITS) - 1;

/// Identifies a target or one start of it; both ends of a flow send the token in each packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(NonZeroU32);

/// Identifies the target that a datagram is addressed to; another target at the same address
/// ignores the datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetLabel(NonZeroU64);

impl Token {
    /// Creates a token from a hash. The hash 0 becomes the token 1, because 0 on the wire means no
    /// token.
    pub const fn from_hash(hash: u32) -> Self {
        match NonZeroU32::new(hash) {
            Some(hash) => Self(hash),
            None => Self(NonZeroU32::MIN),
        }
    }

    /// Creates a numbered token: most of its bits name a target, the others one start of it.
    pub const fn numbered(target_hash: u32, start_hash: u32) -> Self {
        Self::from_hash(target_hash & !START_MASK | start_hash & START_MASK)
    }

    /// The numbered tokens of the same target, of all its starts.
    pub const fn same_target(self) -> RangeInclusive<Self> {
        let number = self.get();
        Self::from_hash(number & !START_MASK)..=Self::from_hash(number | START_MASK)
    }

    /// Creates a token from the number in a packet; `None` for 0.
    pub const fn from_wire(number: u32) -> Option<Self> {
        match NonZeroU32::new(number) {
            Some(number) => Some(Self(number)),
            None => None,
        }
    }

    /// Returns the number as sent in packets.
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
    /// Creates a label from a number; `None` for 0, which would mean any target.
    pub const fn new(number: u64) -> Option<Self> {
        match NonZeroU64::new(number) {
            Some(number) => Some(Self(number)),
            None => None,
        }
    }

    /// Returns the number as sent in packets.
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
