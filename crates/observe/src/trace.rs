//! Distributed traces: one span per hop, linked by W3C trace context.
//!
//! A program begins a [`Hop`] for each piece of work that it forwards, with the `traceparent` of
//! the caller, and sends [`Hop::context`] to the next program. After [`init_traces`], each closed
//! span is written as one JSON object per line.

mod context;
mod hop;
mod writer;

pub use context::{ParseTraceError, SpanId, TraceId, TraceParent};
pub use hop::Hop;
pub use writer::{TraceError, init_traces};
