//! A single attempt to send a request to a target.

use std::time::Duration;

use bambooseam_view::Target;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::body::RequestBody;
use crate::head::{OUTCOME, REQUEST_ID, TARGET_SHED};
use crate::pool::{Connection, Pool};

/// Maximum idle time of a connection that is reused for a non-idempotent request.
///
/// A target may close an idle connection while a request is in flight, and such a request can't be
/// sent again.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(200);

/// Maximum idle time of a connection that is reused for an idempotent request.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Time without a response after which a repeatable request gives up a reused connection.
const REUSED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Result of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The target returned a response head.
    Responded(Box<Response<Incoming>>, Connection),
    /// The target reported that it did not run the request.
    Shed,
    /// No byte was sent; contains the unsent request.
    NotSent(Box<Request<RequestBody>>),
    /// The connection was lost after bytes may have been sent, and no response to this request
    /// arrived.
    Disconnected,
    /// A reused connection was lost, did not respond in time or returned the response to another
    /// request, although the target itself may be healthy.
    Unresponsive,
    /// No response arrived before the deadline.
    TimedOut,
}

/// Limits of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Instant by which the response head must arrive.
    pub deadline: Instant,
    /// Whether the request must not run twice.
    pub is_non_idempotent: bool,
    /// Whether the request can be sent again.
    pub is_repeatable: bool,
    /// Whether only a new connection may be used.
    pub is_pool_bypassed: bool,
}

/// Sends a request to a target and waits for the response head.
pub async fn send_to_target(
    pool: &Pool,
    target: &Target,
    request: Request<RequestBody>,
    limits: AttemptLimits,
) -> AttemptResult {
    let Some(mut connection) = connect(pool, target, limits).await else {
        return AttemptResult::NotSent(Box::new(request));
    };
    let id = request.headers().get(&REQUEST_ID).cloned();
    let may_resend = limits.is_repeatable && connection.is_reused;
    let reused_until = Instant::now() + REUSED_RESPONSE_TIMEOUT;
    let until = if may_resend {
        limits.deadline.min(reused_until)
    } else {
        limits.deadline
    };
    let sent = connection.sender.try_send_request(request);
    let response = match timeout_at(until, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            return match error.take_message() {
                Some(request) => AttemptResult::NotSent(Box::new(request)),
                None if may_resend => AttemptResult::Unresponsive,
                None => AttemptResult::Disconnected,
            };
        }
        Err(_) if may_resend && until < limits.deadline => return AttemptResult::Unresponsive,
        Err(_) => return AttemptResult::TimedOut,
    };
    let mut named = response.headers().get_all(&REQUEST_ID).iter();
    connection.names_request = response.headers().contains_key(&REQUEST_ID);
    if named.any(|named| Some(named) != id.as_ref()) {
        metrics::counter!("answers_crossed").increment(1);
        log::warn!(
            "event=answer_crossed target={} request={id:?} outcome=discarded",
            target.entry.id
        );
        return match may_resend {
            true => AttemptResult::Unresponsive,
            false => AttemptResult::Disconnected,
        };
    }
    if is_shed(&response) {
        return AttemptResult::Shed;
    }
    AttemptResult::Responded(Box::new(response), connection)
}

/// Whether the end of a response can be told from a truncation.
pub fn is_delimited(response: &Response<Incoming>, method: &Method) -> bool {
    let status = response.status();
    let has_body = *method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    !has_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether the target reported that it did not run the request.
///
/// A 503 without either header is no such report: a target may abort work that it has started.
fn is_shed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let has_value =
        |name: &HeaderName, value| headers.get(name).is_some_and(|found| found == value);
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && (has_value(&OUTCOME, "not-run") || has_value(&TARGET_SHED, "1"))
}

/// Returns a pooled connection if one is available, otherwise a new one.
async fn connect(pool: &Pool, target: &Target, limits: AttemptLimits) -> Option<Connection> {
    let (id, address) = (&target.entry.id, target.entry.requests);
    let max_idle = if limits.is_non_idempotent {
        NON_IDEMPOTENT_MAX_IDLE
    } else {
        MAX_IDLE
    };
    if !limits.is_pool_bypassed
        && let Some(connection) = pool.take(id, address, max_idle).await
    {
        return Some(connection);
    }
    let opened = timeout_at(limits.deadline, Connection::open(id, address)).await;
    match opened {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::debug!(
                "event=connect_failed target={id} cause={:?}",
                error.to_string()
            );
            None
        }
        Err(_) => None,
    }
}
