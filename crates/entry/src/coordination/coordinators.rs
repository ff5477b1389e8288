//! Choice of the coordinators: the VMs of the zone with the lowest addresses that are known to
//! respond.
//!
//! Each VM chooses by itself from the VMs that it knows. Two VMs that choose differently are
//! correct, and each coordinator sees less of the load then. A VM becomes known to respond when it
//! answers a report, so that no opening waits for a VM that has never answered.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_steer::Origin;
use bambooseam_types::Moment;

/// Least number of known VMs of a zone, including this one. With two VMs, each sees half of the
/// load, and a question gains less than it costs. VMs that have ended stay known for some time: a
/// zone of two VMs of which one was replaced has three.
const MIN_VMS: usize = 4;

/// Number of reports in a row without an answer after which a VM is excluded: 0.4 s.
const MAX_UNANSWERED: u32 = 2;

/// Time for which a failed VM is not used. It doubles with each failure in a row, at most four
/// times.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);
const MAX_DOUBLINGS: u32 = 4;

/// Time for which a VM counts that only another VM has named.
const REFERRAL_TIME: Duration = Duration::from_secs(30);

/// Largest number of VMs that are kept, and of those that a report is sent to at a time besides the
/// coordinators.
const MAX_KNOWN: usize = 64;
const MAX_PROBED: usize = 2;

/// The VMs of the zone, as candidates for coordinators.
#[derive(Debug)]
pub struct Coordinators {
    own: SocketAddrV4,
    /// Sorted by address, without this VM.
    known: Vec<Candidate>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Candidate {
    address: SocketAddrV4,
    /// Whether the VM has answered since it was last excluded.
    has_answered: bool,
    /// Number of reports in a row without an answer.
    unanswered: u32,
    /// Number of exclusions in a row.
    failures: u32,
    excluded_until: Option<Moment>,
    /// Until when the VM counts although it is not among the known peers.
    referred_until: Option<Moment>,
}

impl Coordinators {
    /// Creates the choice of the VM at `own`.
    pub fn new(own: SocketAddrV4) -> Self {
        Self {
            own,
            known: Vec::new(),
        }
    }

    /// Creates the choice among the VMs of another zone than that of this VM, which comes last.
    pub fn of_other_zone(port: u16) -> Self {
        Self::new(SocketAddrV4::new(Ipv4Addr::BROADCAST, port))
    }

    /// Whether a VM is known.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.find(address).is_ok()
    }

    /// Replaces the known VMs of the zone by the peers at `addresses`. VMs that remain keep their
    /// state.
    pub fn set_known(&mut self, addresses: impl IntoIterator<Item = SocketAddrV4>, now: Moment) {
        let mut known = Vec::new();
        for address in addresses {
            if address != self.own && known.len() < MAX_KNOWN {
                known.push(self.candidate(address));
            }
        }
        let is_referred =
            |candidate: &&Candidate| candidate.referred_until.is_some_and(|until| until > now);
        known.extend(self.known.iter().filter(is_referred).copied());
        known.sort_unstable_by_key(|candidate| candidate.address);
        known.dedup_by_key(|candidate| candidate.address);
        known.truncate(MAX_KNOWN);
        self.known = known;
    }

    /// Adds a VM that another VM has named as a better coordinator.
    pub fn add_referred(&mut self, address: SocketAddrV4, now: Moment) {
        if address == self.own {
            return;
        }
        let until = Some(now.after(REFERRAL_TIME));
        match self.find(address) {
            Ok(at) => self.known[at].referred_until = until,
            Err(_) if self.known.len() >= MAX_KNOWN => {}
            Err(at) => {
                let candidate = Candidate {
                    referred_until: until,
                    ..self.candidate(address)
                };
                self.known.insert(at, candidate);
            }
        }
    }

    /// Whether the zone has enough known VMs for a coordinator.
    pub fn is_used(&self) -> bool {
        self.known.len() + 1 >= MIN_VMS
    }

    /// The coordinator of each of `groups` groups.
    pub fn choose(&self, groups: u8, now: Moment) -> Vec<Option<Origin>> {
        if !self.is_used() {
            return Vec::new();
        }
        let usable = |candidate: &&Candidate| candidate.is_usable(now);
        let lower = self.known.iter().filter(|c| c.address < self.own);
        let higher = self.known.iter().filter(|c| c.address > self.own);
        let lower = lower.filter(usable).map(|c| Origin::Vm(c.address));
        let higher = higher.filter(usable).map(|c| Origin::Vm(c.address));
        let mut chosen = lower.chain([Origin::Local]).chain(higher);
        (0..groups).map(|_| chosen.next()).collect()
    }

    /// VMs that a report is due to, with the group that they coordinate, or may coordinate: the
    /// coordinators, and VMs with lower addresses that have not answered yet.
    pub fn report_receivers(&self, groups: u8, now: Moment) -> Vec<(SocketAddrV4, u8)> {
        let mut receivers = Vec::new();
        if !self.is_used() {
            return receivers;
        }
        let (mut group, mut probed, mut has_passed_own) = (0, 0, false);
        for candidate in &self.known {
            if !has_passed_own && candidate.address > self.own {
                has_passed_own = true;
                group += 1;
            }
            if group >= groups {
                break;
            }
            if candidate.is_usable(now) {
                receivers.push((candidate.address, group));
                group += 1;
            } else if !candidate.is_excluded(now) && probed < MAX_PROBED {
                receivers.push((candidate.address, group));
                probed += 1;
            }
        }
        receivers
    }

    /// The VM with the lowest address that is known to respond, if its address is lower than that
    /// of this VM.
    pub fn better(&self, now: Moment) -> Option<SocketAddrV4> {
        let mut lower = self.known.iter().filter(|c| c.address < self.own);
        lower.find(|c| c.is_usable(now)).map(|c| c.address)
    }

    /// Records that a report was sent that is to be answered.
    pub fn record_report(&mut self, address: SocketAddrV4) {
        if let Ok(at) = self.find(address) {
            self.known[at].unanswered += 1;
        }
    }

    /// Records an answer of a VM.
    pub fn record_answer(&mut self, address: SocketAddrV4, now: Moment) {
        if let Ok(at) = self.find(address) {
            let candidate = &mut self.known[at];
            candidate.unanswered = 0;
            if !candidate.is_excluded(now) {
                candidate.has_answered = true;
                candidate.failures = 0;
            }
        }
    }

    /// Excludes the VMs that have not answered several reports. Returns those that had answered
    /// before.
    pub fn exclude_unanswering(&mut self, now: Moment) -> Vec<SocketAddrV4> {
        let mut excluded = Vec::new();
        for candidate in &mut self.known {
            if candidate.unanswered < MAX_UNANSWERED {
                continue;
            }
            if candidate.has_answered {
                excluded.push(candidate.address);
            }
            candidate.exclude(now);
        }
        excluded
    }

    /// VMs that were excluded so often in a row that they have probably ended.
    pub fn lost(&self) -> impl Iterator<Item = SocketAddrV4> {
        let lost = self.known.iter().filter(|c| c.failures > MAX_DOUBLINGS);
        lost.map(|candidate| candidate.address)
    }

    /// Excludes a VM that has not answered a question.
    pub fn exclude(&mut self, address: SocketAddrV4, now: Moment) {
        if let Ok(at) = self.find(address) {
            self.known[at].exclude(now);
        }
    }

    /// Number of known VMs of the zone, without this one.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no other VM of the zone is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The state of a VM, or that of a VM that was not known before.
    fn candidate(&self, address: SocketAddrV4) -> Candidate {
        match self.find(address) {
            Ok(at) => self.known[at],
            Err(_) => Candidate {
                address,
                has_answered: false,
                unanswered: 0,
                failures: 0,
                excluded_until: None,
                referred_until: None,
            },
        }
    }

    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&address, |candidate| candidate.address)
    }
}

impl Candidate {
    fn is_excluded(&self, now: Moment) -> bool {
        self.excluded_until.is_some_and(|until| until > now)
    }

    /// Whether the VM is known to respond.
    fn is_usable(&self, now: Moment) -> bool {
        self.has_answered && !self.is_excluded(now)
    }

    fn exclude(&mut self, now: Moment) {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        self.excluded_until = Some(now.after(EXCLUSION_TIME * factor));
        self.failures += 1;
        self.unanswered = 0;
        self.has_answered = false;
    }
}
