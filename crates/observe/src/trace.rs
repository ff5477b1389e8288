//! Traces: a span for each hop, tied together by W3C trace context.
//!
//! A program begins a [`Hop`] for each piece of work that it passes on, with the `traceparent` of
//! the caller, and sends [`Hop::context`] to the next program. [`init_traces`] writes each ended
//! span as one JSON object a line.

mod context;
mod hop;
mod writer;

pub use context::{ParseTraceError, SpanId, TraceId, TraceParent};
pub use hop::Hop;
pub use writer::{TraceError, init_traces};
