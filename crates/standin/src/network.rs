//! A loopback network of one's own.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::deployment::AGENT_PORT;

/// First network that is tried.
const FIRST: u8 = 120;

/// Port whose listener marks a network as taken.
const MARK_PORT: u16 = 6999;

/// Time that an earlier run has to leave its addresses, and the pause between two looks.
const BIND_TIME: Duration = Duration::from_secs(2);
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// A network `127.x` that no other run uses while this value lives.
#[derive(Debug)]
pub struct Network {
    second: u8,
    _mark: TcpListener,
}

impl Network {
    /// Takes a free network.
    ///
    /// # Panics
    ///
    /// When all networks are taken.
    pub fn reserve() -> Self {
        for second in FIRST..=u8::MAX {
            let address = Ipv4Addr::new(127, second, 0, 200);
            let Ok(mark) = TcpListener::bind((address, MARK_PORT)) else {
                continue;
            };
            // A fleet that was given its network by hand has no mark.
            if TcpListener::bind((Ipv4Addr::new(127, second, 1, 1), AGENT_PORT)).is_err() {
                continue;
            }
            return Self {
                second,
                _mark: mark,
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
    let deadline = Instant::now() + BIND_TIME;
    loop {
        match bind().await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                sleep(BIND_PAUSE).await;
            }
            result => return result,
        }
    }
}
