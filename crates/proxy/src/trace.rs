//! W3C trace context of one hop.

use derive_more::Display;
use hyper::header::HeaderMap;

use crate::answer::insert_text;
use crate::head::TRACEPARENT;

/// Length of a version 00 `traceparent`.
const LENGTH: usize = 55;

/// Identifier of a trace: 16 bytes, not all zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{_0:032x}")]
pub struct TraceId(u128);

/// Trace of a request and the span of this hop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trace {
    /// The trace, kept from caller to target.
    pub id: TraceId,
    /// The span of this hop.
    pub span: u64,
    flags: u8,
}

impl Trace {
    /// Goes on with the trace of a request, or begins one.
    pub fn of(headers: &HeaderMap) -> Self {
        let given = headers.get(TRACEPARENT).and_then(|v| v.to_str().ok());
        let (id, flags) = given
            .and_then(parse)
            .unwrap_or_else(|| (TraceId(rand::random_range(1..=u128::MAX)), 1));
        Self {
            id,
            span: rand::random_range(1..=u64::MAX),
            flags,
        }
    }

    /// Names this hop's span as the parent of the next one.
    pub fn pass_on(&self, headers: &mut HeaderMap) {
        let text = format!("00-{}-{:016x}-{:02x}", self.id, self.span, self.flags);
        insert_text(headers, TRACEPARENT, &text);
    }
}

/// Trace and flags of a `traceparent`; later versions may be longer.
fn parse(text: &str) -> Option<(TraceId, u8)> {
    if !text.is_ascii() || text.len() < LENGTH {
        return None;
    }
    let mut parts = text.split('-');
    let version = parts.next()?;
    let (trace, span, flags) = (parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
        return None;
    }
    let id = u128::from_str_radix(trace, 16).ok().filter(|id| *id != 0)?;
    u64::from_str_radix(span, 16).ok().filter(|id| *id != 0)?;
    Some((TraceId(id), u8::from_str_radix(flags, 16).ok()?))
}
