//! Responses of a target's HTTP server.

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

use super::worker::{RunGuard, RunOutcome, Worker};
use crate::http::{ServeError, text_response};

/// Header of a refusal which states that the request did not run.
pub const SHED_HEADER: &str = "Target-Shed";
/// Header that holds the checksum of the body.
pub const CHECKSUM_HEADER: &str = "Body-Checksum";
/// Path prefix of long requests.
pub const LONG_PATH: &str = "/full/";
/// Header that identifies one attempt of a caller.
const REQUEST_HEADER: &str = "x-request-id";
/// Header that identifies a request over all its attempts.
const KEY_HEADER: &str = "Idempotency-Key";
/// Header that holds the remaining time of the caller, in milliseconds.
const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";
/// Length of a short response body in bytes.
const SHORT_BYTES: usize = 1 << 10;
/// Number of chunks of a long response body.
const LONG_CHUNKS: usize = 16;
/// Length of a chunk in bytes.
const CHUNK_BYTES: usize = 16 << 10;

type HttpResponse = Response<BoxBody<Bytes, Infallible>>;

/// State of a long response that is being streamed.
struct StreamState {
    guard: RunGuard,
    rest: Bytes,
    pause: Duration,
    deadline: Option<Instant>,
}

/// Returns the response body of a request: its id, repeated up to the length of the body.
pub fn body_of(id: &str, is_long: bool) -> String {
    let bytes = if is_long {
        LONG_CHUNKS * CHUNK_BYTES
    } else {
        SHORT_BYTES
    };
    let line = format!("{id}\n");
    let mut body = line.repeat(bytes / line.len() + 1);
    body.truncate(bytes);
    body
}

/// Returns the checksum of a body.
pub fn checksum_of(body: &str) -> String {
    FlowKey::from_name(body).to_string()
}

/// Handles a request.
pub(super) async fn handle(
    worker: Arc<Worker>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ServeError> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => return Ok(boxed(text_response(StatusCode::OK, "healthy\n"))),
        "/load" => {
            let text = worker.stats().to_string();
            return Ok(boxed(text_response(StatusCode::OK, text)));
        }
        _ => {}
    }
    let headers = request.headers();
    let id = header_text(headers, REQUEST_HEADER).to_owned();
    let deadline = deadline(headers);
    let started = worker.start_run(
        &id,
        header_text(headers, KEY_HEADER),
        request.method().as_str(),
    );
    let Some(guard) = started else {
        return Ok(shed_response());
    };
    let _body = request.into_body().collect().await?;
    let is_long = path.starts_with(LONG_PATH);
    let body = body_of(&id, is_long);
    let checksum = checksum_of(&body);
    let time = worker.service_time(is_long);
    let mut response = if is_long {
        stream_response(guard, body, time, deadline)
    } else {
        short_response(guard, body, time, deadline).await
    };
    if !id.is_empty() {
        let value = HeaderValue::from_str(&id)?;
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    if response.status() == StatusCode::OK {
        let value = HeaderValue::from_str(&checksum)?;
        response.headers_mut().insert(CHECKSUM_HEADER, value);
    }
    Ok(response)
}

/// Waits for the service time, then responds with the complete body.
async fn short_response(
    guard: RunGuard,
    body: String,
    time: Duration,
    deadline: Option<Instant>,
) -> HttpResponse {
    let end = Instant::now() + time;
    if let Some(deadline) = deadline
        && deadline < end
    {
        tokio::time::sleep_until(deadline).await;
        guard.end(RunOutcome::Expired);
        return boxed(text_response(StatusCode::GATEWAY_TIMEOUT, "deadline\n"));
    }
    tokio::time::sleep_until(end).await;
    guard.end(RunOutcome::Finished);
    boxed(text_response(StatusCode::OK, body))
}

/// Responds at once and streams the body over the service time.
fn stream_response(
    guard: RunGuard,
    body: String,
    time: Duration,
    deadline: Option<Instant>,
) -> HttpResponse {
    let length = body.len();
    let start = StreamState {
        guard,
        rest: Bytes::from(body),
        pause: time / u32::try_from(LONG_CHUNKS).unwrap_or(u32::MAX),
        deadline,
    };
    let body = StreamBody::new(stream::unfold(Some(start), next_chunk));
    let mut response = Response::new(BodyExt::boxed(body));
    response.headers_mut().insert(CONTENT_LENGTH, length.into());
    response
}

/// Returns the next chunk of a long response; after the deadline the response is truncated.
async fn next_chunk(
    state: Option<StreamState>,
) -> Option<(Result<Frame<Bytes>, Infallible>, Option<StreamState>)> {
    let mut state = state?;
    tokio::time::sleep(state.pause).await;
    if state
        .deadline
        .is_some_and(|deadline| deadline < Instant::now())
    {
        state.guard.end(RunOutcome::Expired);
        return None;
    }
    let chunk = state.rest.split_to(CHUNK_BYTES.min(state.rest.len()));
    let frame = Ok(Frame::data(chunk));
    if state.rest.is_empty() {
        state.guard.end(RunOutcome::Finished);
        return Some((frame, None));
    }
    Some((frame, Some(state)))
}

/// Builds a refusal which states that the request did not run.
fn shed_response() -> HttpResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "shed\n");
    let headers = response.headers_mut();
    headers.insert(SHED_HEADER, 1.into());
    headers.insert(RETRY_AFTER, 0.into());
    boxed(response)
}

/// Boxes the body of a complete response.
fn boxed(response: Response<Full<Bytes>>) -> HttpResponse {
    response.map(BodyExt::boxed)
}

/// Returns the text of a header; empty if the header is absent.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// Returns the time at which the caller gives up.
fn deadline(headers: &HeaderMap) -> Option<Instant> {
    let left = header_text(headers, TIMEOUT_HEADER).parse().ok()?;
    Some(Instant::now() + Duration::from_millis(left))
}
