//! The span of one hop.

use std::fmt::Display;

use tracing::field::{Empty, display};

use super::TraceParent;

/// One hop of a trace; its span ends when the hop and all clones of the span are dropped.
#[derive(Debug, Clone)]
pub struct Hop {
    context: TraceParent,
    span: tracing::Span,
}

impl Hop {
    /// Begins a hop called `name` below the caller's context, or a new trace without one.
    ///
    /// A trace that the caller does not record gets a context, but no span is written.
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

    /// Begins a hop below this one, in the same process.
    pub fn child(&self, name: &'static str) -> Self {
        Self::begin(name, Some(self.context))
    }

    /// What to send to the next hop as `traceparent`.
    pub fn context(&self) -> TraceParent {
        self.context
    }

    /// The span, to instrument futures with.
    pub fn span(&self) -> &tracing::Span {
        &self.span
    }

    /// Notes a value; `key` is `request`, `service`, `class`, `attempt`, `owner`, `target`,
    /// `peer`, `status`, `outcome` or `cause`.
    pub fn record(&self, key: &'static str, value: impl Display) -> &Self {
        self.span.record(key, display(value));
        self
    }
}
