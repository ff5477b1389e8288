//! Bodies that stream through, frame by frame, and what their ends mean.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::exchange::ActiveRequest;

/// Time in which the next frame of a request body must arrive.
const REQUEST_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time in which the next frame of an answer must arrive.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a body ended before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The sender closed or broke the connection.
    #[display("body cut")]
    Truncated,
    /// No frame arrived in time.
    #[display("body stalled")]
    Stalled,
}

/// Body of a request on its way to a target.
#[derive(Debug)]
pub enum RequestBody {
    /// There is none.
    Empty,
    /// Streams from the caller.
    Stream(CallerBody),
}

/// Body that a caller sends.
#[derive(Debug)]
pub struct CallerBody {
    frames: FrameReader,
    fault: CallerFault,
}

/// Tells that a caller's body failed, so that its target is not blamed.
#[derive(Debug, Clone, Default)]
pub struct CallerFault(Arc<AtomicBool>);

/// Body of an answer on its way to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// Made by the proxy.
    Local(Full<Bytes>),
    /// Streams from a target.
    Stream(Box<TargetBody>),
}

/// Body that a target sends, and the work that ends with it.
#[derive(Debug)]
pub struct TargetBody {
    frames: FrameReader,
    request: Option<ActiveRequest>,
}

/// FrameReader that must keep coming.
#[derive(Debug)]
struct FrameReader {
    body: Incoming,
    stall: Duration,
    /// Made when a frame is first awaited.
    timer: Option<Pin<Box<Sleep>>>,
    /// Instant after which no frame is taken.
    deadline: Option<Instant>,
    /// Whether the limit was armed for the frame that is awaited.
    is_armed: bool,
}

impl FrameReader {
    fn new(body: Incoming, stall: Duration, deadline: Option<Instant>) -> Self {
        Self {
            body,
            stall,
            timer: None,
            deadline,
            is_armed: false,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(frame) => {
                self.is_armed = false;
                Poll::Ready(frame.map(|frame| frame.map_err(|_| BodyError::Truncated)))
            }
            Poll::Pending => {
                let until = Instant::now() + self.stall;
                let until = self.deadline.map_or(until, |deadline| until.min(deadline));
                let timer = self
                    .timer
                    .get_or_insert_with(|| Box::pin(sleep_until(until)));
                if !self.is_armed {
                    timer.as_mut().reset(until);
                    self.is_armed = true;
                }
                ready!(timer.as_mut().poll(cx));
                Poll::Ready(Some(Err(BodyError::Stalled)))
            }
        }
    }
}

impl RequestBody {
    /// Wraps a caller's body.
    pub fn new(body: Incoming) -> (Self, CallerFault) {
        let fault = CallerFault::default();
        if body.is_end_stream() {
            return (Self::Empty, fault);
        }
        let body = CallerBody {
            frames: FrameReader::new(body, REQUEST_STALL_TIMEOUT, None),
            fault: fault.clone(),
        };
        (Self::Stream(body), fault)
    }

    /// Whether there is no body.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }
}

impl CallerFault {
    /// Whether the caller's body failed.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Self::Stream(body) = self.get_mut() else {
            return Poll::Ready(None);
        };
        let frame = ready!(body.frames.poll(cx));
        if matches!(frame, Some(Err(_))) {
            body.fault.0.store(true, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Stream(body) => body.frames.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Stream(body) => body.frames.body.size_hint(),
        }
    }
}

impl ResponseBody {
    /// Wraps a target's body; `running` ends with it.
    pub fn stream(body: Incoming, mut request: ActiveRequest, deadline: Option<Instant>) -> Self {
        if body.is_end_stream() {
            request.complete();
            return Self::Local(Full::default());
        }
        Self::Stream(Box::new(TargetBody {
            frames: FrameReader::new(body, RESPONSE_STALL_TIMEOUT, deadline),
            request: Some(request),
        }))
    }
}

impl TargetBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(self.frames.poll(cx));
        let is_end = frame.is_none() || self.frames.body.is_end_stream();
        match &frame {
            Some(Err(error)) => {
                if let Some(mut request) = self.request.take() {
                    request.abort(*error);
                }
            }
            _ if is_end => {
                if let Some(mut request) = self.request.take() {
                    request.complete();
                }
            }
            _ => {}
        }
        Poll::Ready(frame)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Local(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Stream(body) => body.frames.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Stream(body) => body.frames.body.size_hint(),
        }
    }
}
