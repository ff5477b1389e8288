//! Datagrams of openings that wait for their decision.

use std::time::Duration;

use bambooseam_steer::FlowId;
use bambooseam_types::Moment;

/// Largest number of waiting openings. Beyond this, an opening is dropped and the caller retransmits
/// it.
const MAX_HELD: usize = 1_024;

/// Longest time for which a datagram is kept: callers give up an opening after 1.4 s.
const MAX_HOLD_TIME: Duration = Duration::from_millis(1_400);

/// Datagrams of waiting openings, sorted by flow.
#[derive(Debug, Default)]
pub struct HeldOpenings {
    list: Vec<(FlowId, HeldOpening)>,
}

/// A waiting opening.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldOpening {
    /// When the first transmission was received.
    pub received: Moment,
    /// The datagram, with the space for the label before the packet.
    pub datagram: Vec<u8>,
}

impl HeldOpenings {
    /// Keeps the datagram of a flow; a retransmission replaces the datagram and keeps the time.
    /// Returns false if there is no room.
    pub fn put(&mut self, flow: FlowId, datagram: &[u8], now: Moment) -> bool {
        match self.find(&flow) {
            Ok(at) => self.list[at].1.datagram = datagram.to_vec(),
            Err(_) if self.list.len() >= MAX_HELD => return false,
            Err(at) => {
                let held = HeldOpening {
                    received: now,
                    datagram: datagram.to_vec(),
                };
                self.list.insert(at, (flow, held));
            }
        }
        true
    }

    /// Removes and returns the datagram of a flow.
    pub fn take(&mut self, flow: &FlowId) -> Option<HeldOpening> {
        let at = self.find(flow).ok()?;
        Some(self.list.remove(at).1)
    }

    /// Drops the datagrams whose callers have given up. Returns how many.
    pub fn expire(&mut self, now: Moment) -> usize {
        let before = self.list.len();
        self.list
            .retain(|(_, held)| now.since(held.received) <= MAX_HOLD_TIME);
        before - self.list.len()
    }

    /// Number of waiting openings.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether no opening waits.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn find(&self, flow: &FlowId) -> Result<usize, usize> {
        self.list.binary_search_by(|(other, _)| other.cmp(flow))
    }
}
