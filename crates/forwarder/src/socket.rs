//! UDP with batched receives and sends.
//!
//! Receives take many datagrams in one call. Sends collect what goes to the same address with the
//! same length, and let the kernel cut it into datagrams.

use std::io::{self, IoSliceMut};
use std::net::SocketAddr;

use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

use crate::Output;
use crate::geneve::Header;

/// Bytes of one receive buffer: as much as the kernel coalesces.
const BUFFER_BYTES: usize = 65_536;
/// Most bytes that go to the kernel in one call.
const SEND_LIMIT_BYTES: usize = 65_000;
/// Bytes of the socket's buffers in the kernel.
const KERNEL_BUFFER_BYTES: usize = 4 << 20;

/// A UDP socket with batched receives.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
    state: UdpSocketState,
    buffers: Vec<u8>,
    metas: Vec<RecvMeta>,
}

/// Datagrams collected until they are sent together.
#[derive(Debug)]
pub struct SendBatch {
    runs: Vec<GsoRun>,
    /// Runs in use; those behind keep their memory.
    used: usize,
    segments: usize,
    sent: u64,
    failed: u64,
}

/// Datagrams of one length for one address.
#[derive(Debug)]
struct GsoRun {
    to: SocketAddr,
    bytes: Vec<u8>,
    segment: usize,
    count: usize,
    is_closed: bool,
}

impl Socket {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// An error when the address is taken or the system refuses.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        let state = UdpSocketState::new((&socket).into())?;
        // The kernel may grant less; that costs losses at a crest, nothing else.
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

    /// The address that is bound.
    ///
    /// # Errors
    ///
    /// An error when the system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// An empty batch for this socket.
    pub fn batch(&self) -> SendBatch {
        SendBatch {
            runs: Vec::new(),
            used: 0,
            segments: self.state.max_gso_segments().max(1),
            sent: 0,
            failed: 0,
        }
    }

    /// Waits until a datagram is there.
    ///
    /// # Errors
    ///
    /// An error of the system.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Takes what has arrived, at most one batch, and hands over each datagram with its sender.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] when nothing is there, or an error of the system.
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

    /// Sends a batch and empties it; what the system does not take is counted as failed.
    pub fn flush(&self, batch: &mut SendBatch) {
        for run in &mut batch.runs[..batch.used] {
            let transmit = Transmit {
                destination: run.to,
                ecn: None,
                contents: &run.bytes,
                segment_size: (run.count > 1).then_some(run.segment),
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
    /// Datagrams that the system did not take.
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// Datagrams that the system took.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Adds a datagram made of two parts.
    #[inline]
    pub fn push(&mut self, to: SocketAddr, head: &[u8], payload: &[u8]) {
        let len = head.len() + payload.len();
        let segments = self.segments;
        let has_address = |run: &&mut GsoRun| run.to == to;
        let latest = self.runs[..self.used].iter_mut().rev().find(has_address);
        let open = latest.filter(|run| run.has_room(len, segments));
        let run = match open {
            Some(run) => run,
            None => self.start_run(to, len),
        };
        run.bytes.extend_from_slice(head);
        run.bytes.extend_from_slice(payload);
        run.count += 1;
        // Only the last datagram of a run may be shorter than the others.
        run.is_closed = len < run.segment;
    }

    /// Opens a run, in the memory of an earlier one if there is any.
    fn start_run(&mut self, to: SocketAddr, segment: usize) -> &mut GsoRun {
        if self.used == self.runs.len() {
            self.runs.push(GsoRun {
                to,
                bytes: Vec::new(),
                segment,
                count: 0,
                is_closed: false,
            });
        }
        let run = &mut self.runs[self.used];
        self.used += 1;
        run.to = to;
        run.bytes.clear();
        run.segment = segment;
        run.count = 0;
        run.is_closed = false;
        run
    }
}

impl GsoRun {
    /// Whether a datagram of `len` bytes fits.
    #[inline]
    fn has_room(&self, len: usize, segments: usize) -> bool {
        !self.is_closed
            && len <= self.segment
            && self.count < segments
            && self.bytes.len() + len <= SEND_LIMIT_BYTES
    }
}

impl Output for SendBatch {
    fn send(&mut self, to: SocketAddr, head: &Header, payload: &[u8]) {
        self.push(to, head.as_bytes(), payload);
    }
}
