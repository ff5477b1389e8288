//! Byte counters for connections.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bambooseam_types::ByteCount;
use futures::{AsyncRead, AsyncWrite};

/// Bytes carried by a group of connections.
#[derive(Debug, Default)]
pub struct Meter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Time at which a connection last received a byte.
#[derive(Debug, Clone)]
pub struct Activity(Arc<Mutex<Instant>>);

/// A stream whose bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Arc<Meter>,
    activity: Activity,
}

impl Meter {
    /// Bytes sent so far.
    pub fn sent(&self) -> ByteCount {
        ByteCount::new(self.sent.load(Ordering::Relaxed))
    }

    /// Bytes received so far.
    pub fn received(&self) -> ByteCount {
        ByteCount::new(self.received.load(Ordering::Relaxed))
    }
}

impl Default for Activity {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(Instant::now())))
    }
}

impl Activity {
    /// Time at which the last byte was received.
    pub fn last(&self) -> Instant {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }
}

impl<S> Metered<S> {
    /// Wraps `stream` and counts its bytes on `meter`.
    pub fn new(stream: S, meter: Arc<Meter>, activity: Activity) -> Self {
        Self {
            stream,
            meter,
            activity,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if let Poll::Ready(Ok(count)) = &result {
            self.meter
                .received
                .fetch_add(*count as u64, Ordering::Relaxed);
            self.activity.record();
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &result {
            self.meter.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
