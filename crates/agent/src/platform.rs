//! Interface to the platform's configuration service, which agents only read and watch.

mod http;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};

pub use http::HttpPlatform;

/// A long poll: waits until the index of the key exceeds `index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongPoll {
    /// Index that the platform returned last.
    pub index: u64,
    /// Longest wait.
    pub max_wait: Duration,
}

/// A value with its index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Index of the last write to the key.
    pub index: u64,
    /// The value.
    pub text: Arc<str>,
}

/// Why a read failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The connection failed or broke, or no response arrived in time.
    #[display("unreachable: {cause}")]
    Unreachable {
        /// Error of the connection, or the timeout.
        cause: String,
    },
    /// The key does not exist.
    #[display("no such key: {key}")]
    NoKey {
        /// The key.
        key: String,
    },
    /// The platform rejected the read because of its rate limit.
    #[display("too many reads for the rate limit of the platform")]
    RateLimited {
        /// Time after which to retry, if the platform named one.
        after: Option<Duration>,
    },
    /// The response violates the protocol.
    #[display("invalid response: {cause}")]
    InvalidResponse {
        /// The violation.
        cause: String,
    },
}

/// Read access to the platform.
pub trait Platform: Clone + 'static {
    /// Reads a key. Returns immediately without `wait`; otherwise when the long poll ends.
    fn get(
        &self,
        key: &str,
        wait: Option<LongPoll>,
    ) -> impl Future<Output = Result<KeyValue, PlatformError>>;
}
