//! W3C trace context: parsing and formatting of the `traceparent` header.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use derive_more::{Display, Error};

/// Header version that this module writes.
const VERSION: &str = "00";

/// Header version that the W3C recommendation forbids.
const FORBIDDEN_VERSION: &str = "ff";

/// Length of a header of version 00, in bytes.
const HEADER_BYTES: usize = 55;

/// Longest accepted header of a later version, in bytes.
const MAX_HEADER_BYTES: usize = 256;

/// Flag bit of a recorded (sampled) trace.
const SAMPLED: u8 = 1;

/// Error for text that is not a valid part of a trace context.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not {allowed}")]
pub struct ParseTraceError {
    /// Description of the allowed text.
    pub allowed: &'static str,
}

/// Identifier of a trace, shared by all its hops; never all zeros.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TraceId([u8; 16]);

/// Identifier of a span of a trace; never all zeros.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpanId([u8; 8]);

/// Trace context that a hop sends to the next hop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceParent {
    /// Identifier of the trace.
    pub trace: TraceId,
    /// Span of the hop that sends the header.
    pub span: SpanId,
    /// Flags as received; bit 0 is set if the trace is recorded.
    pub flags: u8,
}

impl TraceId {
    /// Generates a random identifier.
    pub fn random() -> Self {
        Self(rand::random::<u128>().max(1).to_be_bytes())
    }
}

impl SpanId {
    /// Generates a random identifier.
    pub fn random() -> Self {
        Self(rand::random::<u64>().max(1).to_be_bytes())
    }
}

impl Display for TraceId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl Display for SpanId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", u64::from_be_bytes(self.0))
    }
}

impl FromStr for TraceId {
    type Err = ParseTraceError;

    fn from_str(text: &str) -> Result<Self, ParseTraceError> {
        let allowed = "32 lowercase hexadecimal digits, not all 0";
        parse_hex(text).map(Self).ok_or(ParseTraceError { allowed })
    }
}

impl FromStr for SpanId {
    type Err = ParseTraceError;

    fn from_str(text: &str) -> Result<Self, ParseTraceError> {
        let allowed = "16 lowercase hexadecimal digits, not all 0";
        parse_hex(text).map(Self).ok_or(ParseTraceError { allowed })
    }
}

impl TraceParent {
    /// Name of the HTTP header.
    pub const HEADER: &'static str = "traceparent";

    /// Creates the context of a new, recorded trace.
    pub fn random() -> Self {
        Self {
            trace: TraceId::random(),
            span: SpanId::random(),
            flags: SAMPLED,
        }
    }

    /// Returns the context of a new span of the same trace.
    pub fn child(&self) -> Self {
        Self {
            span: SpanId::random(),
            ..*self
        }
    }

    /// Returns whether the trace is recorded.
    pub fn is_sampled(&self) -> bool {
        self.flags & SAMPLED != 0
    }
}

impl Display for TraceParent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { trace, span, flags } = self;
        write!(f, "{VERSION}-{trace}-{span}-{flags:02x}")
    }
}

impl FromStr for TraceParent {
    type Err = ParseTraceError;

    fn from_str(text: &str) -> Result<Self, ParseTraceError> {
        let error = ParseTraceError {
            allowed: "a traceparent such as 00-TRACE-SPAN-01",
        };
        if !text.is_ascii() || !(HEADER_BYTES..=MAX_HEADER_BYTES).contains(&text.len()) {
            return Err(error);
        }
        let (known, tail) = text.split_at(HEADER_BYTES);
        let mut parts = known.split('-');
        let mut part = || parts.next().ok_or(error);
        let (version, trace, span, flags) = (part()?, part()?, part()?, part()?);
        if parts.next().is_some() || !is_hex(version, 2) || !is_hex(flags, 2) {
            return Err(error);
        }
        // A later version may append fields after the known ones.
        let is_tail_allowed = version != VERSION && tail.starts_with('-');
        if version == FORBIDDEN_VERSION || !(tail.is_empty() || is_tail_allowed) {
            return Err(error);
        }
        Ok(Self {
            trace: trace.parse()?,
            span: span.parse()?,
            flags: u8::from_str_radix(flags, 16).map_err(|_| error)?,
        })
    }
}

/// Parses `2 * N` lowercase hexadecimal digits; `None` if any other text or all digits are 0.
fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if !is_hex(text, 2 * N) {
        return None;
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let pair = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    (bytes != [0; N]).then_some(bytes)
}

/// Returns whether `text` consists of exactly `digits` lowercase hexadecimal digits.
fn is_hex(text: &str, digits: usize) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == digits && text.bytes().all(is_digit)
}
