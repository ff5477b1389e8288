//! Span of one hop of a trace.

use std::fmt::Display;

use tracing::field::{Empty, display};

use super::TraceParent;

/// A hop of a trace; its span closes when the hop and all clones of the span are dropped.
#[derive(Debug, Clone)]
pub struct Hop {
    context: TraceParent,
    span: tracing::Span,
}

impl Hop {
    /// Begins a hop called `name` as a child of the caller's context, or of a new trace if there is
    /// no caller.
    ///
    /// If the caller does not record the trace, the hop has a context but no span is written.
    pub fn begin(name: &'static str, caller: Option<TraceParent>) -> Self {
        let context = match caller {
            Some(caller) => caller.child(),
            None => TraceParent::random(),
        };
        if !context.is_sampled() {
            let span = tracing::Span::none();
            return Self { context, span };
        }
        let span = tracing::info_span!(
            target: "hop",
            parent: None,
            "hop",
            name,
            trace = %context.trace,
            span = %context.span,
            parent = Empty,
            request = Empty,
            service = Empty,
            class = Empty,
            attempt = Empty,
            owner = Empty,
            target = Empty,
            peer = Empty,
            status = Empty,
            outcome = Empty,
            cause = Empty,
        );
        if let Some(caller) = caller {
            span.record("parent", display(caller.span));
        }
        Self { context, span }
    }

    /// Begins a child hop in the same process.
    pub fn child(&self, name: &'static str) -> Self {
        Self::begin(name, Some(self.context))
    }

    /// Returns the context to send to the next hop as `traceparent`.
    pub fn context(&self) -> TraceParent {
        self.context
    }

    /// Returns the span, which futures can be instrumented with.
    pub fn span(&self) -> &tracing::Span {
        &self.span
    }

    /// Records a field of the span; `key` is `request`, `service`, `class`, `attempt`, `owner`,
    /// `target`, `peer`, `status`, `outcome` or `cause`.
    pub fn record(&self, key: &'static str, value: impl Display) -> &Self {
        self.span.record(key, display(value));
        self
    }
}
