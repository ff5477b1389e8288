//! Responses that the proxy generates itself instead of forwarding a target's response.

use std::time::Duration;

use bambooseam_types::{Findings, RequestId};
use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::ResponseBody;
use crate::head::{OUTCOME, REQUEST_ID};
use crate::slots::jittered;

/// Backoff when no service rate is known yet.
const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);

/// Whether a request that got no response from a target ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// No byte of the request reached a target, or the target reported that it did not run the
    /// request.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Reason for a local response.
#[derive(Debug, Clone, Display)]
pub enum Cause {
    /// The request head is invalid.
    #[display("bad request: {_0}")]
    InvalidHead(Findings),
    /// No view has been received yet, or no service of the view uses this port.
    #[display("no service here")]
    NoService,
    /// No slot became free, or none was expected to, within the time that the request may wait.
    #[display("overloaded")]
    Overload,
    /// No target was reachable within the retry budget and the limit of attempts.
    #[display("no target reached")]
    Unreachable,
    /// The connection to the target was closed, reset or unresponsive.
    #[display("target failed")]
    TargetFailed,
    /// The target's response has neither a length nor chunked coding, so a truncated response could
    /// not be detected.
    #[display("answer without an end")]
    UndelimitedResponse,
    /// The deadline passed.
    #[display("deadline passed")]
    Deadline,
    /// The caller's request body failed or stalled.
    #[display("request body stopped")]
    BodyIncomplete,
    /// An earlier attempt with the same idempotency key may have run.
    #[display("an earlier attempt may have run")]
    UnconfirmedAttempt,
}

/// A response that the proxy generates itself.
#[derive(Debug, Clone)]
pub struct LocalResponse {
    /// Reason for the response.
    pub cause: Cause,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Mean delay after which callers should retry.
    pub backoff: Duration,
}

impl Cause {
    /// Returns the status code of the response.
    const fn status(&self) -> StatusCode {
        match self {
            Self::InvalidHead(_) => StatusCode::BAD_REQUEST,
            Self::NoService | Self::Overload | Self::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
            Self::TargetFailed | Self::UndelimitedResponse => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::UnconfirmedAttempt => StatusCode::CONFLICT,
        }
    }

    /// Returns the value of the `cause` label in metrics.
    const fn name(&self) -> &'static str {
        match self {
            Self::InvalidHead(_) => "bad_head",
            Self::NoService => "no_service",
            Self::Overload => "overload",
            Self::Unreachable => "unreachable",
            Self::TargetFailed => "target_failed",
            Self::UndelimitedResponse => "endless_answer",
            Self::Deadline => "deadline",
            Self::BodyIncomplete => "body_stopped",
            Self::UnconfirmedAttempt => "unvouched",
        }
    }

    /// Whether a later retry may succeed.
    const fn is_temporary(&self) -> bool {
        !matches!(self, Self::InvalidHead(_))
    }
}

impl LocalResponse {
    /// Creates a response to a request that did not run.
    pub fn not_run(cause: Cause) -> Self {
        Self {
            cause,
            outcome: Outcome::NotRun,
            backoff: DEFAULT_BACKOFF,
        }
    }

    /// Creates a response to a request that may have run.
    pub fn unknown(cause: Cause) -> Self {
        Self {
            cause,
            outcome: Outcome::Unknown,
            backoff: DEFAULT_BACKOFF,
        }
    }

    /// Sets the mean delay after which callers should retry.
    pub fn with_backoff(mut self, backoff: Duration) -> Self {
        self.backoff = backoff;
        self
    }

    /// Builds the HTTP response and counts it in metrics.
    pub fn into_response(self, id: Option<&RequestId>) -> Response<ResponseBody> {
        let outcome = match self.outcome {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        metrics::counter!("own_answers", "cause" => self.cause.name(), "outcome" => outcome)
            .increment(1);
        let text = format!("{}\n", self.cause);
        let mut response = Response::new(ResponseBody::Local(Full::new(Bytes::from(text))));
        *response.status_mut() = self.cause.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        headers.insert(OUTCOME, HeaderValue::from_static(outcome));
        if self.cause.is_temporary() {
            let after = HeaderValue::from(jittered(&mut rand::rng(), self.backoff));
            headers.insert(RETRY_AFTER, after);
        }
        if let Some(id) = id {
            insert_text(headers, REQUEST_ID, id.as_str());
        }
        response
    }
}

/// Inserts a header whose text was validated before; invalid text is skipped.
pub fn insert_text(headers: &mut hyper::HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
