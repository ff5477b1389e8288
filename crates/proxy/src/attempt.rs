//! One try of a request on one target.

use std::time::Duration;

use bambooseam_view::Target;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::body::RequestBody;
use crate::head::{OUTCOME, TARGET_SHED};
use crate::pool::{Connection, Pool};

/// Idle time up to which a connection may carry a request that must not run twice.
///
/// A target may close an idle connection while a request is on its way; such a request can't be
/// sent again.
const ONCE_IDLE_TIME: Duration = Duration::from_millis(200);

/// Idle time up to which a connection may carry other requests.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Silence after which an idempotent request leaves a connection that had been idle.
const SILENCE_TIME: Duration = Duration::from_millis(1_000);

/// How one try went.
#[derive(Debug)]
pub enum Tried {
    /// The target answered.
    Answered(Box<Response<Incoming>>, Connection),
    /// The target said that it did not run the request.
    Shed,
    /// No byte was sent; the request comes back.
    NotSent(Box<Request<RequestBody>>),
    /// Bytes may have been sent and no answer came.
    Broken,
    /// A connection that had been idle is silent; the target may be well.
    Silent,
    /// No answer came before the deadline.
    Late,
}

/// What a try needs to know.
#[derive(Debug, Clone, Copy)]
pub struct TryLimits {
    /// Instant at which the answer's head must be there.
    pub deadline: Instant,
    /// Whether the request must not run twice.
    pub is_once: bool,
    /// Whether the request can be sent again.
    pub is_repeatable: bool,
    /// Whether only a new connection may be used.
    pub is_fresh: bool,
}

/// Sends a request to a target and waits for the head of the answer.
pub async fn try_target(
    pool: &Pool,
    target: &Target,
    request: Request<RequestBody>,
    limits: TryLimits,
) -> Tried {
    let Some(mut connection) = connect(pool, target, limits).await else {
        return Tried::NotSent(Box::new(request));
    };
    let may_leave = limits.is_repeatable && connection.is_reused;
    let patience = Instant::now() + SILENCE_TIME;
    let until = if may_leave {
        limits.deadline.min(patience)
    } else {
        limits.deadline
    };
    let sent = connection.sender.try_send_request(request);
    let response = match timeout_at(until, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            return match error.take_message() {
                Some(request) => Tried::NotSent(Box::new(request)),
                None if may_leave => Tried::Silent,
                None => Tried::Broken,
            };
        }
        Err(_) if may_leave && until < limits.deadline => return Tried::Silent,
        Err(_) => return Tried::Late,
    };
    if is_shed(&response) {
        return Tried::Shed;
    }
    Tried::Answered(Box::new(response), connection)
}

/// Whether the end of an answer can be told from a cut.
pub fn has_end(response: &Response<Incoming>, method: &Method) -> bool {
    let status = response.status();
    let has_body = *method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    !has_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether the target said that it did not run the request.
///
/// A bare 503 does not say so: a target may give up on work that it has begun.
fn is_shed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let says = |name: &HeaderName, value| headers.get(name).is_some_and(|held| held == value);
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && (says(&OUTCOME, "not-run") || says(&TARGET_SHED, "1"))
}

/// A pooled connection, else a new one.
async fn connect(pool: &Pool, target: &Target, limits: TryLimits) -> Option<Connection> {
    let (id, address) = (&target.entry.id, target.entry.requests);
    let most = if limits.is_once {
        ONCE_IDLE_TIME
    } else {
        IDLE_TIME
    };
    if !limits.is_fresh
        && let Some(connection) = pool.take(id, address, most).await
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
