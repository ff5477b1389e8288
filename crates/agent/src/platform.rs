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
    /// Last index seen.
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
        /// What happened.
        cause: String,
    },
    /// The key does not exist.
    #[display("no such key: {key}")]
    NoKey {
        /// The key.
        key: String,
    },
    /// Too many reads for the platform's rate limit.
    #[display("too many reads for the rate limit of the platform")]
    RateLimited {
        /// Time after which to retry, if the platform named one.
        after: Option<Duration>,
    },
    /// The response violates the protocol.
    #[display("bad answer: {cause}")]
    BadAnswer {
        /// What was wrong.
        cause: String,
    },
}

/// Read access to the platform.
pub trait Platform: Clone + 'static {
    /// Reads a key, immediately or when the long poll ends.
    fn get(
        &self,
        key: &str,
        wait: Option<LongPoll>,
    ) -> impl Future<Output = Result<KeyValue, PlatformError>>;
}
