//! The hop of one request in its W3C trace.

use bambooseam_observe::trace::{Hop, TraceParent};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};

use crate::head::TRACEPARENT;
use crate::local_response::{LocalResponse, insert_text};

/// Name of the hop's span.
const SPAN_NAME: &str = "request";

/// The hop of this proxy in the trace of a request.
#[derive(Debug, Clone)]
pub struct Trace(Hop);

impl Trace {
    /// Goes on with the trace of a request, or begins one.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        Self(Hop::begin(SPAN_NAME, extract_context(headers)))
    }

    /// Names this hop's span as the parent of the next one.
    pub fn inject(&self, headers: &mut HeaderMap) {
        insert_text(headers, TRACEPARENT, &self.0.context().to_string());
    }

    /// The hop, to note values in.
    pub fn hop(&self) -> &Hop {
        &self.0
    }

    /// Notes how the request ended.
    pub fn end<B>(&self, result: &Result<Response<B>, LocalResponse>) {
        match result {
            Ok(response) => self.record_status(response.status()),
            Err(local) => {
                self.0.note("outcome", local.outcome);
                self.0.note("cause", &local.cause);
            }
        }
    }

    fn record_status(&self, status: StatusCode) {
        self.0.note("status", status.as_u16());
    }
}

/// The context that the caller gave; a bad one, or one of several, counts as none.
fn extract_context(headers: &HeaderMap) -> Option<TraceParent> {
    let mut values = headers.get_all(TRACEPARENT).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()?.parse().ok()
}
