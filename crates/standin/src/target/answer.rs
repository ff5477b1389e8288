//! Answers of a target's HTTP server.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_view::FlowKey;
use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::time::Instant;

use super::work::{RunOutcome, Running, Work};
use crate::http::{ServeError, plain};

/// Header of a refusal that says nothing ran.
pub const SHED_HEADER: &str = "Target-Shed";
/// Header with the checksum of the body.
pub const CHECKSUM_HEADER: &str = "Body-Checksum";
/// Start of paths with long work.
pub const LONG_PATH: &str = "/full/";
/// Header that names one attempt of a caller.
const REQUEST_HEADER: &str = "X-Request-Id";
/// Header that names one piece of work.
const KEY_HEADER: &str = "Idempotency-Key";
/// Header with the time left.
const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";
/// Bytes of a short answer.
const SHORT_BYTES: usize = 1 << 10;
/// Pieces in which a long answer is sent.
const LONG_PIECES: usize = 16;
/// Bytes of one piece.
const PIECE_BYTES: usize = 16 << 10;

type Answer = Response<BoxBody<Bytes, Infallible>>;

/// A long answer that is being sent.
struct Stream {
    running: Running,
    rest: Bytes,
    pause: Duration,
    deadline: Option<Instant>,
}

/// The body that answers request `id`: the id, over and over.
pub fn body_of(id: &str, is_long: bool) -> String {
    let bytes = if is_long {
        LONG_PIECES * PIECE_BYTES
    } else {
        SHORT_BYTES
    };
    let line = format!("{id}\n");
    let mut body = line.repeat(bytes / line.len() + 1);
    body.truncate(bytes);
    body
}

/// Checksum of a body.
pub fn checksum_of(body: &str) -> String {
    FlowKey::from_name(body).to_string()
}

/// Answers one request.
pub(super) async fn answer(
    work: Arc<Work>,
    request: Request<Incoming>,
) -> Result<Answer, ServeError> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => return Ok(whole(plain(StatusCode::OK, "healthy\n"))),
        "/load" => {
            let text = work.stats().to_string();
            return Ok(whole(plain(StatusCode::OK, text)));
        }
        _ => {}
    }
    let headers = request.headers();
    let id = text(headers, REQUEST_HEADER).to_owned();
    let deadline = deadline(headers);
    let begun = work.begin(&id, text(headers, KEY_HEADER), request.method().as_str());
    let Some(running) = begun else {
        return Ok(shed());
    };
    let _taken = request.into_body().collect().await?;
    let is_long = path.starts_with(LONG_PATH);
    let body = body_of(&id, is_long);
    let checksum = checksum_of(&body);
    let time = work.service_time(is_long);
    let mut response = if is_long {
        stream_answer(running, body, time, deadline)
    } else {
        short_answer(running, body, time, deadline).await
    };
    if response.status() == StatusCode::OK {
        let value = HeaderValue::from_str(&checksum)?;
        response.headers_mut().insert(CHECKSUM_HEADER, value);
    }
    Ok(response)
}

/// Works, then answers in one piece.
async fn short_answer(
    running: Running,
    body: String,
    time: Duration,
    deadline: Option<Instant>,
) -> Answer {
    let end = Instant::now() + time;
    if let Some(deadline) = deadline
        && deadline < end
    {
        tokio::time::sleep_until(deadline).await;
        running.end(RunOutcome::Expired);
        return whole(plain(StatusCode::GATEWAY_TIMEOUT, "deadline\n"));
    }
    tokio::time::sleep_until(end).await;
    running.end(RunOutcome::Finished);
    whole(plain(StatusCode::OK, body))
}

/// Answers at once and sends the body over the time of the work.
fn stream_answer(
    running: Running,
    body: String,
    time: Duration,
    deadline: Option<Instant>,
) -> Answer {
    let length = body.len();
    let start = Stream {
        running,
        rest: Bytes::from(body),
        pause: time / u32::try_from(LONG_PIECES).unwrap_or(u32::MAX),
        deadline,
    };
    let body = StreamBody::new(stream::unfold(Some(start), next_piece));
    let mut response = Response::new(BodyExt::boxed(body));
    response.headers_mut().insert(CONTENT_LENGTH, length.into());
    response
}

/// The next piece of a long answer; past the deadline the answer is cut.
async fn next_piece(
    state: Option<Stream>,
) -> Option<(Result<Frame<Bytes>, Infallible>, Option<Stream>)> {
    let mut state = state?;
    tokio::time::sleep(state.pause).await;
    if state
        .deadline
        .is_some_and(|deadline| deadline < Instant::now())
    {
        state.running.end(RunOutcome::Expired);
        return None;
    }
    let piece = state.rest.split_to(PIECE_BYTES.min(state.rest.len()));
    let frame = Ok(Frame::data(piece));
    if state.rest.is_empty() {
        state.running.end(RunOutcome::Finished);
        return Some((frame, None));
    }
    Some((frame, Some(state)))
}

/// A refusal that says nothing ran.
fn shed() -> Answer {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "shed\n");
    let headers = response.headers_mut();
    headers.insert(SHED_HEADER, 1.into());
    headers.insert(RETRY_AFTER, 0.into());
    whole(response)
}

/// Boxes the body of a whole answer.
fn whole(response: Response<Full<Bytes>>) -> Answer {
    response.map(BodyExt::boxed)
}

/// Text of a header; empty when absent.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// When the caller gives up.
fn deadline(headers: &HeaderMap) -> Option<Instant> {
    let left = text(headers, TIMEOUT_HEADER).parse().ok()?;
    Some(Instant::now() + Duration::from_millis(left))
}
