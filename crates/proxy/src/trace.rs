//! Span of one request in its W3C trace.

use bambooseam_observe::trace::{Hop, TraceParent};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};

use crate::head::TRACEPARENT;
use crate::local_response::{LocalResponse, insert_text};

/// Name of the span.
const SPAN_NAME: &str = "request";

/// The hop of this proxy in the trace of a request.
#[derive(Debug, Clone)]
pub struct Trace(Hop);

impl Trace {
    /// Continues the caller's trace, or starts a new trace.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        Self(Hop::begin(SPAN_NAME, extract_context(headers)))
    }

    /// Sets the trace context header, with this hop's span as the parent.
    pub fn inject(&self, headers: &mut HeaderMap) {
        insert_text(headers, TRACEPARENT, &self.0.context().to_string());
    }

    /// Returns the hop, on which attributes can be recorded.
    pub fn hop(&self) -> &Hop {
        &self.0
    }

    /// Records how the request ended.
    pub fn end<B>(&self, result: &Result<Response<B>, LocalResponse>) {
        match result {
            Ok(response) => self.record_status(response.status()),
            Err(local) => {
                self.0.record("outcome", local.outcome);
                self.0.record("cause", &local.cause);
            }
        }
    }

    fn record_status(&self, status: StatusCode) {
        self.0.record("status", status.as_u16());
    }
}

/// Parses the caller's trace context. An invalid or repeated header counts as absent.
fn extract_context(headers: &HeaderMap) -> Option<TraceParent> {
    let mut values = headers.get_all(TRACEPARENT).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()?.parse().ok()
}
