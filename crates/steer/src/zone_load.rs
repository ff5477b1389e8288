//! Zone-wide load view: the requests in progress that other VMs have at the targets of the zone.
//!
//! Load pattern: a service near full load behind many VMs, each of which sees a small part of the
//! load. A VM that counts only its own requests places openings at targets that other VMs have
//! filled, although another target of the zone is idle.
//!
//! One VM of a zone acts as *coordinator* for a group of targets. The other VMs report their
//! requests in progress to it and ask it for the target of an opening. [`ZoneLoad`] is the
//! coordinator's record of the other VMs; [`demand`] decides when a VM asks; [`questions`] holds the
//! openings that wait for an answer; [`remote`] holds the loads of other zones. The state of a VM is lost when it ends: a coordinator without
//! reports decides by its own requests, as without this module.

pub mod demand;
pub mod questions;
pub mod remote;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, ServiceName, TargetLabel, Token};
use xxhash_rust::xxh3::xxh3_64;

use crate::FlowId;

/// Time after which the report of a VM that sends no other is discarded: five intervals of 200 ms.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which a granted opening counts unless a report covers it earlier. The asking VM has
/// applied the answer long before; requests of the deployments take 4 to 52 ms.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(100);

/// Largest number of VMs whose reports are kept. A zone of the intended fleet size has 142 VMs.
const MAX_VMS: usize = 512;

/// Largest number of targets in a report, so that it fits a datagram of 1,200 bytes together with a
/// question.
pub const MAX_COUNTS: usize = 200;

/// Largest number of grants and of unanswered questions: one VM handles a few thousand questions
/// per second, each of which is kept for 0.1 to 0.2 s.
const MAX_GRANTS: usize = 2_048;

/// Time for which the number of a question that waits at the coordinator is kept.
const WAITING_TIME: Duration = Duration::from_millis(200);

/// Number of targets per group; each group of a zone has its own coordinator.
const GROUP_SIZE: usize = 64;

/// Largest number of groups. A VM keeps the four lowest addresses of its zone, and a coordinator
/// for each group must be among them.
pub const MAX_GROUPS: u8 = 4;

/// Hash of the name of a service, as sent in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u32);

/// Load of a service in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceKey,
    /// Requests in progress in percent of the slots of the service's targets.
    pub percent: u16,
}

/// A group of targets of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Group {
    /// Number of the group, from 0.
    pub index: u8,
    /// Number of groups, from 1 to [`MAX_GROUPS`].
    pub count: u8,
}

/// Requests in progress of one VM at the targets of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number that increases with each report of the VM; it wraps around.
    pub sequence: u32,
    /// Number of the latest question whose answer the VM has applied.
    pub applied: u32,
    /// Number of requests in progress by the target's token; only counts above 0.
    pub counts: Vec<(Token, u8)>,
}

/// The coordinator's record of the other VMs.
#[derive(Debug, Default)]
pub struct ZoneLoad {
    /// Latest report of each VM, sorted by address.
    reports: Vec<(SocketAddrV4, ReceivedReport)>,
    /// No report expires before this time.
    next_expiry: Option<Moment>,
    /// Openings granted and not covered by a report, in order of time.
    grants: VecDeque<Grant>,
    /// Questions that are being answered, in order of time.
    waiting: VecDeque<Grant>,
    /// Sums of reports and grants.
    counts: HashMap<Token, Count>,
}

/// A report with the time of its arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReceivedReport {
    report: LoadReport,
    received: Moment,
    /// Whether the sender is the coordinator of another zone.
    is_remote: bool,
}

/// An opening that was granted to a VM, or that is being decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Grant {
    vm: SocketAddrV4,
    flow: FlowId,
    /// Number of the question.
    number: u32,
    /// Target; `None` while the opening is being decided.
    token: Option<Token>,
    time: Moment,
}

/// Requests in progress of other VMs at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// As last reported.
    pub reported: u32,
    /// Granted and not covered by a report.
    pub granted: u32,
}

impl ServiceKey {
    /// Key of a service.
    pub fn of(service: &ServiceName) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

impl Group {
    /// The only group of a zone with few targets.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// Number of groups of a zone with `targets` targets.
    pub fn count_for(targets: usize) -> u8 {
        targets.div_ceil(GROUP_SIZE).clamp(1, MAX_GROUPS.into()) as u8
    }

    /// Group of a target if there are `count` groups; identical on every VM.
    pub fn of(label: TargetLabel, count: u8) -> Self {
        let count = count.max(1);
        let index = match count {
            1 => 0,
            count => (xxh3_64(&label.get().to_le_bytes()) % u64::from(count)) as u8,
        };
        Self { index, count }
    }

    /// Whether the group contains a target.
    pub fn contains(self, label: TargetLabel) -> bool {
        Self::of(label, self.count) == self
    }
}

impl Count {
    /// Requests in progress of the other VMs.
    pub fn total(self) -> u32 {
        self.reported + self.granted
    }
}

impl ZoneLoad {
    /// Records the report of a VM. Returns false if a later report of the VM is known, or if there is
    /// no room for another VM.
    pub fn record_report(&mut self, vm: SocketAddrV4, report: &LoadReport, now: Moment) -> bool {
        self.insert_report(vm, report, false, now)
    }

    /// Records the report of the coordinator of another zone about the targets of this zone.
    pub fn record_remote_report(
        &mut self,
        vm: SocketAddrV4,
        report: &LoadReport,
        now: Moment,
    ) -> bool {
        self.insert_report(vm, report, true, now)
    }

    fn insert_report(
        &mut self,
        vm: SocketAddrV4,
        report: &LoadReport,
        is_remote: bool,
        now: Moment,
    ) -> bool {
        self.expire(now);
        let at = self.reports.binary_search_by_key(&vm, |(other, _)| *other);
        match at {
            Ok(at) if !is_after(report.sequence, self.reports[at].1.report.sequence) => {
                return false;
            }
            Err(_) if self.reports.len() >= MAX_VMS => return false,
            _ => {}
        }
        let received = ReceivedReport {
            report: report.clone(),
            received: now,
            is_remote,
        };
        for &(token, count) in &report.counts {
            self.counts.entry(token).or_default().reported += u32::from(count);
        }
        match at {
            Ok(at) => {
                let replaced = std::mem::replace(&mut self.reports[at].1, received);
                self.subtract(&replaced.report);
            }
            Err(at) => self.reports.insert(at, (vm, received)),
        }
        self.next_expiry.get_or_insert(now.after(REPORT_LIFETIME));
        let counts = &mut self.counts;
        self.grants.retain(|grant| {
            let is_covered = grant.vm == vm && !is_after(grant.number, report.applied);
            if is_covered {
                remove_grant(counts, grant);
            }
            !is_covered
        });
        true
    }

    /// Records that the question `number` of a VM about `flow` is being answered.
    pub fn begin_answer(&mut self, vm: SocketAddrV4, number: u32, flow: FlowId, now: Moment) {
        if self.waiting.len() >= MAX_GRANTS {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Grant {
            vm,
            flow,
            number,
            token: None,
            time: now,
        });
    }

    /// Records that the opening of `flow`, about which a VM has asked, was placed at a target.
    pub fn grant(&mut self, vm: SocketAddrV4, flow: &FlowId, token: Token, now: Moment) {
        let is_asked = |question: &Grant| question.vm == vm && question.flow == *flow;
        let Some(at) = self.waiting.iter().rposition(is_asked) else {
            return;
        };
        let Some(question) = self.waiting.remove(at) else {
            return;
        };
        if self.grants.len() >= MAX_GRANTS {
            return;
        }
        self.counts.entry(token).or_default().granted += 1;
        self.grants.push_back(Grant {
            token: Some(token),
            time: now,
            ..question
        });
    }

    /// Discards reports and grants whose lifetime has passed.
    pub fn expire(&mut self, now: Moment) {
        while let Some(grant) = self.grants.front()
            && now.since(grant.time) > GRANT_LIFETIME
        {
            remove_grant(&mut self.counts, grant);
            self.grants.pop_front();
        }
        while let Some(question) = self.waiting.front()
            && now.since(question.time) > WAITING_TIME
        {
            self.waiting.pop_front();
        }
        if self.next_expiry.is_none_or(|expiry| now <= expiry) {
            return;
        }
        let is_expired = |report: &ReceivedReport| now.since(report.received) > REPORT_LIFETIME;
        let expired: Vec<_> = self
            .reports
            .extract_if(.., |(_, report)| is_expired(report))
            .collect();
        for (_, expired) in expired {
            self.subtract(&expired.report);
        }
        let oldest = self.reports.iter().map(|(_, report)| report.received).min();
        self.next_expiry = oldest.map(|oldest| oldest.after(REPORT_LIFETIME));
    }

    /// Requests in progress of other VMs at a target.
    pub fn count(&self, token: Token) -> Count {
        match self.counts.is_empty() {
            true => Count::default(),
            false => self.counts.get(&token).copied().unwrap_or_default(),
        }
    }

    /// Requests in progress of other VMs at all targets.
    pub fn total(&self) -> Count {
        let mut total = Count::default();
        for count in self.counts.values() {
            total.reported += count.reported;
            total.granted += count.granted;
        }
        total
    }

    /// Number of VMs whose reports are known, including the coordinators of other zones.
    pub fn vm_count(&self) -> usize {
        self.reports.len()
    }

    /// Whether the report of a VM of this zone is known.
    pub fn has_local_report(&self) -> bool {
        self.reports.iter().any(|(_, report)| !report.is_remote)
    }

    fn subtract(&mut self, report: &LoadReport) {
        for &(token, count) in &report.counts {
            update(&mut self.counts, token, |sum| {
                sum.reported = sum.reported.saturating_sub(count.into());
            });
        }
    }
}

/// Subtracts a grant from the sums.
fn remove_grant(counts: &mut HashMap<Token, Count>, grant: &Grant) {
    if let Some(token) = grant.token {
        update(counts, token, |sum| {
            sum.granted = sum.granted.saturating_sub(1);
        });
    }
}

/// Changes the sum of a target, and removes it if it is zero.
fn update(counts: &mut HashMap<Token, Count>, token: Token, change: impl FnOnce(&mut Count)) {
    if let Some(sum) = counts.get_mut(&token) {
        change(sum);
        if *sum == Count::default() {
            counts.remove(&token);
        }
    }
}

/// Whether a number is after another; numbers wrap around.
pub(crate) fn is_after(number: u32, other: u32) -> bool {
    let distance = number.wrapping_sub(other);
    distance != 0 && distance < 1 << 31
}
