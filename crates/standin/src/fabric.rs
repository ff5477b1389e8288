//! A simulated fabric that distributes encapsulated packets at random over the live forwarders.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Mutex, PoisonError};

use etherparse::PacketBuilder;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::geneve;

/// Network identifier of packets that the fabric sends to forwarders.
const FABRIC_VNI: u32 = 0;
/// Hop limit of inner packets.
const HOP_LIMIT: u8 = 64;

/// Sends each packet to a forwarder that is picked at random.
#[derive(Debug)]
pub struct Fabric {
    socket: UdpSocket,
    choice: Mutex<Choice>,
}

#[derive(Debug)]
struct Choice {
    forwarders: Vec<SocketAddr>,
    random: StdRng,
}

impl Fabric {
    /// Opens the fabric's socket at `address`; `seed` determines the choice of forwarders.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn open(
        address: SocketAddr,
        forwarders: Vec<SocketAddr>,
        seed: u64,
    ) -> io::Result<Self> {
        let choice = Choice {
            forwarders,
            random: StdRng::seed_from_u64(seed),
        };
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            choice: Mutex::new(choice),
        })
    }

    /// Sets the forwarders that receive packets from now on.
    pub fn set_forwarders(&self, forwarders: Vec<SocketAddr>) {
        self.lock().forwarders = forwarders;
    }

    /// Sends a UDP packet of a flow through a forwarder that is picked at random.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no forwarder or if the operating system refuses to send.
    pub async fn send(
        &self,
        caller: SocketAddrV4,
        service: SocketAddrV4,
        payload: &[u8],
    ) -> io::Result<()> {
        let to = self.pick().ok_or(io::ErrorKind::HostUnreachable)?;
        let packet = geneve::wrap(FABRIC_VNI, &udp_packet(caller, service, payload)?);
        self.socket.send_to(&packet, to).await?;
        Ok(())
    }

    fn pick(&self) -> Option<SocketAddr> {
        let Choice { forwarders, random } = &mut *self.lock();
        forwarders.choose(random).copied()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Choice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Builds an inner IPv4 packet that holds a UDP datagram.
fn udp_packet(from: SocketAddrV4, to: SocketAddrV4, payload: &[u8]) -> io::Result<Vec<u8>> {
    let builder = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), HOP_LIMIT)
        .udp(from.port(), to.port());
    let mut packet = Vec::with_capacity(builder.size(payload.len()));
    builder
        .write(&mut packet, payload)
        .map_err(io::Error::other)?;
    Ok(packet)
}
