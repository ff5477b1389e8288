//! A loopback network of one's own.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::deployment::AGENT_PORT;

/// First network that is tried.
const FIRST_NETWORK: u8 = 120;

/// Port whose listener marks a network as taken.
const LOCK_PORT: u16 = 6999;

/// Time that an earlier run has to leave its addresses, and the pause between two looks.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A network `127.x` that no other run uses while this value lives.
#[derive(Debug)]
pub struct Network {
    second: u8,
    _lock: TcpListener,
}

impl Network {
    /// Takes a free network.
    ///
    /// # Panics
    ///
    /// When all networks are taken.
    pub fn reserve() -> Self {
        for second in FIRST_NETWORK..=u8::MAX {
            let address = Ipv4Addr::new(127, second, 0, 200);
            let Ok(lock) = TcpListener::bind((address, LOCK_PORT)) else {
                continue;
            };
            // A fleet that was given its network by hand has no mark.
            if TcpListener::bind((Ipv4Addr::new(127, second, 1, 1), AGENT_PORT)).is_err() {
                continue;
            }
            return Self {
                second,
                _lock: lock,
            };
        }
        panic!("no free loopback network");
    }

    /// First two bytes of its addresses.
    pub fn prefix(&self) -> [u8; 2] {
        [127, self.second]
    }
}

/// Binds an address that an earlier run or target may be about to leave.
///
/// # Errors
///
/// An error when it is still taken after two seconds, or can't be bound at all.
pub async fn bind_with_retry<T, F>(bind: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match bind().await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
