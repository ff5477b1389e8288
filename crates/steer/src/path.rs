//! Health of the paths from this VM to the targets of each availability zone.
//!
//! If the link of this VM is full, packets to all targets are late or lost, and callers retransmit.
//! A single target that does not answer then proves nothing. The record counts the opening packets
//! and requests sent to each zone in short intervals, and those answered without a retransmission.

use std::time::Duration;

use bambooseam_types::{Moment, ZoneId};

/// Length of an interval.
const INTERVAL: Duration = Duration::from_millis(100);

/// Number of recorded intervals, which cover more than the 1.4 s after which callers retransmit a
/// third time.
const INTERVALS: usize = 24;

/// Time in which an answer without a retransmission arrives: callers retransmit after 200 ms.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Minimum number of prompt answers that show that a path works.
const MIN_ANSWERS: u32 = 2;

/// Packets sent to each zone, and their answers.
#[derive(Debug, Default)]
pub struct PathRecord {
    /// Sorted by zone.
    zones: Vec<(ZoneId, [Count; INTERVALS])>,
}

/// Packets of one interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Count {
    /// Number of the interval since the origin of the clock.
    interval: u64,
    sent: u32,
    /// Packets answered without a retransmission.
    answered: u32,
}

impl PathRecord {
    /// Records that an opening packet or a request was sent for the first time.
    pub fn record_sent(&mut self, zone: &ZoneId, now: Moment) {
        if let Some(count) = self.count(zone, now) {
            count.sent += 1;
        }
    }

    /// Records that a packet sent at `sent` was answered without a retransmission.
    pub fn record_answered(&mut self, zone: &ZoneId, sent: Moment) {
        if let Some(count) = self.count(zone, sent) {
            count.answered += 1;
        }
    }

    /// Whether most packets sent to a zone since `from` were answered without a retransmission, as
    /// far as there was time for an answer.
    pub fn is_working(&self, zone: &ZoneId, from: Moment, now: Moment) -> bool {
        let Ok(at) = self.find(zone) else {
            return false;
        };
        let answer_time = ANSWER_TIME.as_millis() as u64;
        let last = Moment::from_millis(now.as_millis().saturating_sub(answer_time));
        let span = interval_of(from)..=interval_of(last);
        let (mut sent, mut answered) = (0, 0);
        for count in &self.zones[at].1 {
            if span.contains(&count.interval) {
                sent += count.sent;
                answered += count.answered;
            }
        }
        answered >= MIN_ANSWERS && 2 * answered > sent
    }

    /// Count of the interval that contains `at`; `None` if that interval is no longer recorded.
    fn count(&mut self, zone: &ZoneId, at: Moment) -> Option<&mut Count> {
        let index = match self.find(zone) {
            Ok(index) => index,
            Err(index) => {
                let counts = [Count::default(); INTERVALS];
                self.zones.insert(index, (zone.clone(), counts));
                index
            }
        };
        let interval = interval_of(at);
        let count = &mut self.zones[index].1[interval as usize % INTERVALS];
        if count.interval > interval {
            return None;
        }
        if count.interval < interval {
            *count = Count {
                interval,
                ..Count::default()
            };
        }
        Some(count)
    }

    fn find(&self, zone: &ZoneId) -> Result<usize, usize> {
        self.zones.binary_search_by(|(other, _)| other.cmp(zone))
    }
}

fn interval_of(at: Moment) -> u64 {
    at.as_millis() / INTERVAL.as_millis() as u64
}
