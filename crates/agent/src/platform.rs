//! The platform's configuration service, which is only read and watched.

mod http;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};

pub use http::HttpPlatform;

/// A watch: wait until the key's index is above one that was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongPoll {
    /// Index that was seen.
    pub index: u64,
    /// Longest wait.
    pub max_wait: Duration,
}

/// A value with its index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Index of the last write of the key.
    pub index: u64,
    /// The value.
    pub text: Arc<str>,
}

/// Why a read failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// No connection, or it broke, or no answer in time.
    #[display("unreachable: {cause}")]
    Unreachable {
        /// What happened.
        cause: String,
    },
    /// The key is not there.
    #[display("no such key: {key}")]
    NoKey {
        /// The key.
        key: String,
    },
    /// Too many reads for the platform's rate.
    #[display("refused by rate")]
    RateLimited {
        /// When to come back, if it was said.
        after: Option<Duration>,
    },
    /// An answer that is not what the protocol says.
    #[display("bad answer: {cause}")]
    BadAnswer {
        /// What was wrong.
        cause: String,
    },
}

/// Port towards the platform.
pub trait Platform: Clone + 'static {
    /// Reads a key, at once or when a watch ends.
    fn get(
        &self,
        key: &str,
        wait: Option<LongPoll>,
    ) -> impl Future<Output = Result<KeyValue, PlatformError>>;
}
