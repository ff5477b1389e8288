//! UDP socket with batched receives and sends.
//!
//! A receive reads many datagrams in one system call (GRO). Sends are collected per address and
//! length, and the kernel splits each run into datagrams (GSO).

use std::io::{self, IoSliceMut};
use std::net::SocketAddr;

use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

use crate::Output;
use crate::geneve::Header;

/// Bytes of one receive buffer: the most that the kernel coalesces.
const BUFFER_BYTES: usize = 65_536;
/// Most bytes in one send call.
const SEND_LIMIT_BYTES: usize = 65_000;
/// Bytes of the socket's send and receive buffers in the kernel.
const KERNEL_BUFFER_BYTES: usize = 4 << 20;

/// A UDP socket with batched receives.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
    state: UdpSocketState,
    buffers: Vec<u8>,
    metas: Vec<RecvMeta>,
}

/// Datagrams collected to be sent together.
#[derive(Debug)]
pub struct SendBatch {
    runs: Vec<GsoRun>,
    /// Number of runs in use; the remaining runs keep their allocations.
    used: usize,
    max_segments: usize,
    sent: u64,
    failed: u64,
}

/// Datagrams of one length for one address.
#[derive(Debug)]
struct GsoRun {
    to: SocketAddr,
    bytes: Vec<u8>,
    segment_len: usize,
    count: usize,
    is_closed: bool,
}

impl Socket {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// An error when the address is in use or the operating system refuses to bind it.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        let state = UdpSocketState::new((&socket).into())?;
        // The kernel may grant smaller buffers; the only effect is packet loss at a crest.
        let _ = state.set_recv_buffer_size((&socket).into(), KERNEL_BUFFER_BYTES);
        let _ = state.set_send_buffer_size((&socket).into(), KERNEL_BUFFER_BYTES);
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            state,
            buffers: vec![0; BATCH_SIZE * BUFFER_BYTES],
            metas: vec![RecvMeta::default(); BATCH_SIZE],
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// An error when the operating system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Creates an empty batch for this socket.
    pub fn batch(&self) -> SendBatch {
        SendBatch {
            runs: Vec::new(),
            used: 0,
            max_segments: self.state.max_gso_segments().max(1),
            sent: 0,
            failed: 0,
        }
    }

    /// Waits until a datagram can be received.
    ///
    /// # Errors
    ///
    /// An error of the operating system.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives at most one batch of datagrams and passes each to `handle` with its sender.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] when no datagram has arrived, or an error of the operating
    /// system.
    pub fn receive(&mut self, mut handle: impl FnMut(SocketAddr, &[u8])) -> io::Result<usize> {
        let (socket, state, metas) = (&self.socket, &self.state, &mut self.metas);
        let mut slices: Vec<IoSliceMut<'_>> = self
            .buffers
            .chunks_mut(BUFFER_BYTES)
            .map(IoSliceMut::new)
            .collect();
        let count = socket.try_io(Interest::READABLE, || {
            state.recv(socket.into(), &mut slices, metas)
        })?;
        let mut datagrams = 0;
        for (meta, buffer) in self.metas[..count]
            .iter()
            .zip(self.buffers.chunks(BUFFER_BYTES))
        {
            for bytes in buffer[..meta.len].chunks(meta.stride.max(1)) {
                handle(meta.addr, bytes);
                datagrams += 1;
            }
        }
        Ok(datagrams)
    }

    /// Sends a batch and empties it; datagrams that the operating system refuses count as failed.
    pub fn flush(&self, batch: &mut SendBatch) {
        for run in &mut batch.runs[..batch.used] {
            let transmit = Transmit {
                destination: run.to,
                ecn: None,
                contents: &run.bytes,
                segment_size: (run.count > 1).then_some(run.segment_len),
                src_ip: None,
            };
            let result = self.socket.try_io(Interest::WRITABLE, || {
                self.state.try_send((&self.socket).into(), &transmit)
            });
            match result {
                Ok(()) => batch.sent += run.count as u64,
                Err(_) => batch.failed += run.count as u64,
            }
        }
        batch.used = 0;
    }
}

impl SendBatch {
    /// Number of datagrams that the operating system refused.
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// Number of datagrams that the operating system accepted.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Adds a datagram that consists of two parts.
    #[inline]
    pub fn push(&mut self, to: SocketAddr, header: &[u8], payload: &[u8]) {
        let len = header.len() + payload.len();
        let max_segments = self.max_segments;
        let has_address = |run: &&mut GsoRun| run.to == to;
        let latest = self.runs[..self.used].iter_mut().rev().find(has_address);
        let open = latest.filter(|run| run.has_room(len, max_segments));
        let run = match open {
            Some(run) => run,
            None => self.start_run(to, len),
        };
        run.bytes.extend_from_slice(header);
        run.bytes.extend_from_slice(payload);
        run.count += 1;
        // With GSO only the last datagram of a run may be shorter than the segment size.
        run.is_closed = len < run.segment_len;
    }

    /// Starts a run, reusing the allocation of an earlier run if there is one.
    fn start_run(&mut self, to: SocketAddr, segment_len: usize) -> &mut GsoRun {
        if self.used == self.runs.len() {
            self.runs.push(GsoRun {
                to,
                bytes: Vec::new(),
                segment_len,
                count: 0,
                is_closed: false,
            });
        }
        let run = &mut self.runs[self.used];
        self.used += 1;
        run.to = to;
        run.bytes.clear();
        run.segment_len = segment_len;
        run.count = 0;
        run.is_closed = false;
        run
    }
}

impl GsoRun {
    /// Whether a datagram of `len` bytes fits.
    #[inline]
    fn has_room(&self, len: usize, max_segments: usize) -> bool {
        !self.is_closed
            && len <= self.segment_len
            && self.count < max_segments
            && self.bytes.len() + len <= SEND_LIMIT_BYTES
    }
}

impl Output for SendBatch {
    fn send(&mut self, to: SocketAddr, header: &Header, payload: &[u8]) {
        self.push(to, header.as_bytes(), payload);
    }
}
