//! A loopback network of one's own.

use std::net::{Ipv4Addr, TcpListener};

use crate::deployment::AGENT_PORT;
use crate::site::STORE_PORT;

/// First network that is tried.
const FIRST: u8 = 120;

/// Port whose listener marks a network as taken.
const MARK_PORT: u16 = 6999;

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
    pub fn take() -> Self {
        for second in FIRST..=u8::MAX {
            let address = Ipv4Addr::new(127, second, 0, 200);
            let Ok(mark) = TcpListener::bind((address, MARK_PORT)) else {
                continue;
            };
            // A fleet that was given its network by hand has no mark, and the doors of a site
            // close a moment after it.
            let in_use = [
                ([127, second, 1, 1], AGENT_PORT),
                ([127, second, 9, 1], STORE_PORT),
            ];
            let is_free = |(address, port)| TcpListener::bind((Ipv4Addr::from(address), port));
            if in_use.map(is_free).iter().any(Result::is_err) {
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
