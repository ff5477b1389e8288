//! Sizes, rates and weights with their units.

use std::str::FromStr;

use derive_more::{Display, Error};

/// Suffixes of byte counts and their factors, longest first.
const BYTE_UNITS: [(&str, u64); 4] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("B", 1),
];

/// Suffix of rates.
const PER_SECOND: &str = "/s";

/// Error for a text that is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{found:?} is not {allowed}")]
pub struct ParseQuantityError {
    /// Text that was found.
    pub found: String,
    /// Allowed form of the text.
    pub allowed: &'static str,
}

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0}B")]
pub struct ByteCount(u64);

/// Bytes per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0}B/s")]
pub struct ByteRate(u64);

/// Events per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display)]
#[display("{_0}/s")]
pub struct EventRate(f64);

/// Share of new work that a target receives, relative to the weights of other targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Weight(u32);

impl ByteCount {
    /// Creates a byte count.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl FromStr for ByteCount {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let error = || ParseQuantityError {
            found: text.into(),
            allowed: "a size such as 64KiB",
        };
        for (unit, factor) in BYTE_UNITS {
            let Some(number) = text.strip_suffix(unit) else {
                continue;
            };
            let number: u64 = number.trim().parse().map_err(|_| error())?;
            return number.checked_mul(factor).map(Self).ok_or_else(error);
        }
        Err(error())
    }
}

impl ByteRate {
    /// Creates a rate in bytes per second.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes per second.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl FromStr for ByteRate {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let error = || ParseQuantityError {
            found: text.into(),
            allowed: "a rate such as 3KiB/s",
        };
        let count = text.strip_suffix(PER_SECOND).ok_or_else(error)?;
        let count: ByteCount = count.parse().map_err(|_| error())?;
        Ok(Self(count.get()))
    }
}

impl EventRate {
    /// Creates a rate in events per second.
    pub const fn new(events: f64) -> Self {
        Self(events)
    }

    /// Returns the number of events per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl FromStr for EventRate {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let error = || ParseQuantityError {
            found: text.into(),
            allowed: "a rate such as 20/s",
        };
        let number = text.strip_suffix(PER_SECOND).ok_or_else(error)?;
        let number: f64 = number.trim().parse().map_err(|_| error())?;
        if !number.is_finite() || number < 0.0 {
            return Err(error());
        }
        Ok(Self(number))
    }
}

impl Weight {
    /// Default weight.
    pub const DEFAULT: Self = Self(100);

    /// Largest allowed weight.
    pub const MAX: u32 = 10_000;

    /// Returns the weight as a number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl TryFrom<u32> for Weight {
    type Error = ParseQuantityError;

    fn try_from(weight: u32) -> Result<Self, ParseQuantityError> {
        if weight > Self::MAX {
            return Err(ParseQuantityError {
                found: weight.to_string(),
                allowed: WEIGHT_ALLOWED,
            });
        }
        Ok(Self(weight))
    }
}

/// Allowed weights.
const WEIGHT_ALLOWED: &str = "a whole number from 0 to 10000";

impl FromStr for Weight {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let weight: u32 = text.parse().map_err(|_| ParseQuantityError {
            found: text.into(),
            allowed: WEIGHT_ALLOWED,
        })?;
        Self::try_from(weight)
    }
}
