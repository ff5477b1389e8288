//! Reservation of loopback networks, so that runs on one machine don't share addresses.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::deployment::AGENT_PORT;

/// Second byte of the first network that is tried.
const FIRST_NETWORK: u8 = 120;

/// Port whose listener marks a network as reserved.
const LOCK_PORT: u16 = 6999;

/// Time for which a bind is retried while an earlier run releases the address, and the interval
/// between two attempts.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A loopback network `127.x.0.0/16` that no other run uses while this value lives.
#[derive(Debug)]
pub struct Network {
    second: u8,
    _lock: TcpListener,
}

impl Network {
    /// Reserves a free network.
    ///
    /// # Panics
    ///
    /// Panics if all networks are reserved.
    pub fn reserve() -> Self {
        for second in FIRST_NETWORK..=u8::MAX {
            let address = Ipv4Addr::new(127, second, 0, 200);
            let Ok(lock) = TcpListener::bind((address, LOCK_PORT)) else {
                continue;
            };
            // A fleet whose network was set by hand has no listener on the lock port, so the
            // address of its first agent is checked too.
            if TcpListener::bind((Ipv4Addr::new(127, second, 1, 1), AGENT_PORT)).is_err() {
                continue;
            }
            return Self {
                second,
                _lock: lock,
            };
        }
        panic!("no free loopback network from 127.120 to 127.255");
    }

    /// Returns the first two bytes of the network's addresses.
    pub fn prefix(&self) -> [u8; 2] {
        [127, self.second]
    }
}

/// Binds an address, and retries while an earlier run or target may still be releasing it.
///
/// # Errors
///
/// Returns an error if the address is still in use after two seconds, or if it can't be bound for
/// another reason.
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
