//! Failure detection: the health of every VM as this agent observes it.
//!
//! A heartbeat consists of an incarnation (the start of an agent) and the seconds since that start,
//! so that neither a delayed message nor a process that resumes after a pause can replace newer
//! state. The agents that observe a VM report it as unresponsive when its exchanges fail. The VM is
//! suspected once two observers report it, one of them in the VM's own zone. When a whole zone is
//! cut off, all reports come from observers outside the zone, and no VM in it is suspected.

mod record;

use std::time::{Duration, Instant};

use bambooseam_config::{VmEntry, VmList, VmState};
use bambooseam_peer::agent::{Heartbeat, Observation};
use bambooseam_types::{Incarnation, VmId, ZoneId};
use derive_more::Display;

use crate::gossip::GossipQueue;
use record::Member;

/// Consecutive failed exchanges after which a VM counts as unresponsive.
const FAILURE_LIMIT: u32 = 2;

/// Time without a response before an observer reports a VM as unresponsive. An agent that restarts
/// responds again within this time.
const REPORT_DELAY: Duration = Duration::from_secs(4);

/// Observers required for a suspicion, where the fleet has that many.
const OBSERVER_QUORUM: usize = 2;

/// Time after a heartbeat received from the VM itself during which reports of other observers do
/// not count.
const DIRECT_WINDOW: Duration = Duration::from_secs(5);

/// Time after which a suspected VM counts as dead.
const DEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without any heartbeat from a zone after which the zone may count as unresponsive.
const ZONE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of VMs below which a zone needs observers from outside the zone.
const SMALL_ZONE_SIZE: usize = 3;

/// Number of failed exchanges between two reports of the same VM.
const REPORT_INTERVAL: u32 = 16;

/// Most recorded VMs that the platform does not list.
const UNLISTED_LIMIT: usize = 64;

/// Health of a VM as this agent observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Health {
    /// Announced as joining, or a heartbeat was received before the platform listed the VM.
    #[display("joining")]
    Joining,
    /// In service.
    #[display("live")]
    Live,
    /// Announced as leaving.
    #[display("leaving")]
    Leaving,
    /// Reported as unresponsive by enough observers.
    #[display("suspected")]
    Suspected,
    /// Suspected for longer than the timeout for dead VMs.
    #[display("dead")]
    Dead,
}

/// How a received heartbeat compares with the last one known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatStatus {
    /// Newer than the last one known.
    New,
    /// Not newer than the last one known.
    Unchanged,
    /// From an earlier incarnation than the last one known.
    Stale,
}

/// A change of health that is recorded as an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthChange {
    /// A VM is suspected because of reports from these observers.
    Suspected(VmId, Vec<VmId>),
    /// A VM has been suspected for longer than the timeout for dead VMs.
    Dead(VmId),
    /// A VM is no longer suspected.
    Recovered(VmId),
    /// No VM of a zone responds.
    ZoneUnresponsive(ZoneId),
    /// A VM of an unresponsive zone responds again.
    ZoneRecovered(ZoneId),
}

/// Health records of all VMs except the local one.
#[derive(Debug)]
pub struct Members {
    local: VmId,
    zone: ZoneId,
    members: Vec<Member>,
    unresponsive: Vec<ZoneId>,
    observations: GossipQueue,
}

impl Members {
    /// Creates an empty table for the VM `local` in `zone`.
    pub fn new(local: VmId, zone: ZoneId) -> Self {
        Self {
            local,
            zone,
            members: Vec::new(),
            unresponsive: Vec::new(),
            observations: GossipQueue::default(),
        }
    }

    /// Records a heartbeat that was received from the VM itself.
    pub fn record_heartbeat(
        &mut self,
        vm: &VmId,
        heartbeat: Heartbeat,
        list: &VmList,
        now: Instant,
    ) -> HeartbeatStatus {
        if list.get(vm).is_none() && self.unlisted(list).len() >= UNLISTED_LIMIT {
            return HeartbeatStatus::Unchanged;
        }
        let Some(member) = self.member_or_insert(vm) else {
            return HeartbeatStatus::Unchanged;
        };
        if heartbeat.incarnation < member.latest.incarnation {
            return HeartbeatStatus::Stale;
        }
        if heartbeat <= member.latest {
            return HeartbeatStatus::Unchanged;
        }
        member.latest = heartbeat;
        member.last_seen = Some(now);
        member.reset_failures();
        let was_reported = !member.reports.is_empty();
        member.remove_refuted();
        let local = self.local.clone();
        if let Some(member) = self.member_mut(vm) {
            member.reports.retain(|report| report.observer != local);
        }
        if was_reported {
            let observation = Observation {
                vm: vm.clone(),
                heartbeat,
                observer: None,
            };
            self.observations.push(observation);
        }
        HeartbeatStatus::New
    }

    /// Records the response to an exchange that this agent began.
    pub fn record_response(&mut self, vm: &VmId) {
        if let Some(member) = self.member_mut(vm) {
            member.reset_failures();
        }
    }

    /// Records a failed exchange; after several of them, this agent reports the VM as unresponsive.
    pub fn record_failure(&mut self, vm: &VmId, list: &VmList, now: Instant) {
        let local = self.local.clone();
        let Some(member) = self.member_or_insert(vm) else {
            return;
        };
        member.failures = member.failures.saturating_add(1);
        let since = *member.failing_since.get_or_insert(now);
        let is_overdue = now.saturating_duration_since(since) >= REPORT_DELAY;
        let is_reported = member.reports.iter().any(|report| report.observer == local);
        let is_due = !is_reported || member.failures.is_multiple_of(REPORT_INTERVAL);
        if member.failures < FAILURE_LIMIT || !is_overdue || !is_due {
            return;
        }
        let heartbeat = member.latest;
        member.report(local.clone(), heartbeat, now);
        if !self.may_gossip(vm, list) {
            return;
        }
        self.observations.push(Observation {
            vm: vm.clone(),
            heartbeat,
            observer: Some(local),
        });
    }

    /// Applies an observation of a VM that a peer passed on.
    pub fn apply_observation(&mut self, observation: &Observation, list: &VmList, now: Instant) {
        let is_local =
            observation.vm == self.local || observation.observer.as_ref() == Some(&self.local);
        let is_listed = list.get(&observation.vm).is_some();
        if is_local || !is_listed {
            return;
        }
        let Some(member) = self.member_or_insert(&observation.vm) else {
            return;
        };
        let is_new = match &observation.observer {
            None => {
                let is_new = observation.heartbeat > member.latest;
                member.latest = member.latest.max(observation.heartbeat);
                member.remove_refuted();
                is_new
            }
            Some(observer) if list.get(observer).is_some() && *observer != observation.vm => {
                member.report(observer.clone(), observation.heartbeat, now)
            }
            Some(_) => false,
        };
        if is_new {
            self.observations.push(observation.clone());
        }
    }

    /// Updates which VMs are suspected and which zones are unresponsive; returns the changes.
    pub fn evaluate(&mut self, list: &VmList, now: Instant) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        self.members
            .retain(|member| list.get(&member.vm).is_some() || member.is_recent(now));
        for index in 0..self.members.len() {
            let observers = self.observers(&self.members[index], list, now);
            let member = &mut self.members[index];
            let is_suspected = observers.is_some();
            match (is_suspected, member.suspected_since) {
                (true, None) => {
                    member.suspected_since = Some(now);
                    let observers = observers.unwrap_or_default();
                    changes.push(HealthChange::Suspected(member.vm.clone(), observers));
                }
                (true, Some(since)) if !member.is_dead && now - since >= DEAD_TIMEOUT => {
                    member.is_dead = true;
                    changes.push(HealthChange::Dead(member.vm.clone()));
                }
                (false, Some(_)) => {
                    member.suspected_since = None;
                    member.is_dead = false;
                    // A VM that the platform no longer lists has left the fleet and did not
                    // recover.
                    if list.get(&member.vm).is_some() {
                        changes.push(HealthChange::Recovered(member.vm.clone()));
                    }
                }
                _ => {}
            }
            if member.suspected_since.is_none() {
                member.remove_expired(now);
            }
        }
        self.evaluate_zones(list, now, &mut changes);
        changes
    }

    /// Clears all failures and this agent's own reports after a pause of this process, so that
    /// every VM has time to respond again.
    pub fn clear_failures(&mut self) {
        let local = self.local.clone();
        for member in &mut self.members {
            member.reset_failures();
            member.reports.retain(|report| report.observer != local);
        }
    }

    /// Suspected VMs, sorted by identifier.
    pub fn suspects(&self) -> Vec<VmId> {
        let suspected = self.members.iter().filter(|m| m.suspected_since.is_some());
        suspected.map(|member| member.vm.clone()).collect()
    }

    /// Health of a listed VM, and the cause.
    pub fn health(&self, vm: &VmEntry) -> (Health, String) {
        let member = self.member(&vm.id);
        if let Some(member) = member
            && member.suspected_since.is_some()
        {
            let health = match member.is_dead {
                true => Health::Dead,
                false => Health::Suspected,
            };
            return (health, member.cause());
        }
        let health = match vm.state {
            VmState::Joining => Health::Joining,
            VmState::Live => Health::Live,
            VmState::Leaving => Health::Leaving,
        };
        if self.unresponsive.contains(&vm.zone) {
            return (
                health,
                format!("listed; no VM in zone {} responds", vm.zone),
            );
        }
        let cause = match member {
            Some(member) if member.failures >= FAILURE_LIMIT => {
                "listed; does not respond to this VM"
            }
            Some(member) if member.last_seen.is_some() => "listed; heartbeat received",
            _ => "listed",
        };
        (health, cause.into())
    }

    /// VMs from which a heartbeat was received and that the platform does not list.
    pub fn unlisted(&self, list: &VmList) -> Vec<VmId> {
        let unlisted = self.members.iter().filter(|m| list.get(&m.vm).is_none());
        unlisted.map(|member| member.vm.clone()).collect()
    }

    /// Whether at least the last two exchanges with a VM have failed.
    pub fn is_unresponsive(&self, vm: &VmId) -> bool {
        self.member(vm)
            .is_some_and(|member| member.failures >= FAILURE_LIMIT)
    }

    /// Last known incarnation of a VM.
    pub fn incarnation(&self, vm: &VmId) -> Incarnation {
        self.member(vm)
            .map_or(Incarnation::default(), |member| member.latest.incarnation)
    }

    /// Observations for the next summary; `fleet_size` is the number of VMs in the fleet.
    pub fn next_observations(&mut self, fleet_size: usize) -> Vec<Observation> {
        self.observations.take(fleet_size)
    }

    /// Observers whose reports make a VM suspected; `None` when they are too few.
    fn observers(&self, member: &Member, list: &VmList, now: Instant) -> Option<Vec<VmId>> {
        let entry = list.get(&member.vm)?;
        let was_seen_directly = member
            .last_seen
            .is_some_and(|last_seen| now.saturating_duration_since(last_seen) < DIRECT_WINDOW);
        if was_seen_directly || member.reports.is_empty() {
            return None;
        }
        let listed = |id: &VmId| list.get(id);
        let observers: Vec<&VmEntry> = member
            .reports
            .iter()
            .filter_map(|report| listed(&report.observer))
            .collect();
        let required = OBSERVER_QUORUM.min(list.0.len().saturating_sub(1));
        let has_zone_peers = list
            .0
            .iter()
            .any(|vm| vm.zone == entry.zone && vm.id != entry.id);
        let has_zone_observer = observers.iter().any(|vm| vm.zone == entry.zone);
        if observers.len() < required || (has_zone_peers && !has_zone_observer) {
            return None;
        }
        Some(observers.into_iter().map(|vm| vm.id.clone()).collect())
    }

    /// Updates which zones are unresponsive and appends the changes.
    fn evaluate_zones(&mut self, list: &VmList, now: Instant, changes: &mut Vec<HealthChange>) {
        let mut zones: Vec<&ZoneId> = list.0.iter().map(|vm| &vm.zone).collect();
        zones.sort();
        zones.dedup();
        for zone in zones {
            if *zone == self.zone {
                continue;
            }
            let is_zone_unresponsive = self.is_zone_unresponsive(zone, list, now);
            let was_unresponsive = self.unresponsive.contains(zone);
            if is_zone_unresponsive && !was_unresponsive {
                self.unresponsive.push(zone.clone());
                changes.push(HealthChange::ZoneUnresponsive(zone.clone()));
            }
            if !is_zone_unresponsive && was_unresponsive {
                self.unresponsive.retain(|other| other != zone);
                changes.push(HealthChange::ZoneRecovered(zone.clone()));
            }
        }
    }

    /// Whether at least two VMs of a zone fail to respond and no heartbeat was received from the
    /// zone within [`ZONE_TIMEOUT`].
    fn is_zone_unresponsive(&self, zone: &ZoneId, list: &VmList, now: Instant) -> bool {
        let mut listed = 0;
        let mut failing = 0;
        for vm in list.0.iter().filter(|vm| vm.zone == *zone) {
            listed += 1;
            let Some(member) = self.member(&vm.id) else {
                continue;
            };
            let is_alive = member
                .last_seen
                .is_some_and(|last_seen| now.saturating_duration_since(last_seen) < ZONE_TIMEOUT);
            if is_alive {
                return false;
            }
            failing += usize::from(member.failures >= FAILURE_LIMIT);
        }
        listed >= 2 && failing >= 2
    }

    /// Whether this agent's reports about a VM are passed on to peers. A zone with enough VMs
    /// relies on observers inside the zone.
    fn may_gossip(&self, vm: &VmId, list: &VmList) -> bool {
        let Some(entry) = list.get(vm) else {
            return false;
        };
        let size = list.0.iter().filter(|vm| vm.zone == entry.zone).count();
        entry.zone == self.zone || size < SMALL_ZONE_SIZE
    }

    fn member(&self, vm: &VmId) -> Option<&Member> {
        let index = self.members.binary_search_by(|m| m.vm.cmp(vm)).ok()?;
        self.members.get(index)
    }

    fn member_mut(&mut self, vm: &VmId) -> Option<&mut Member> {
        let index = self.members.binary_search_by(|m| m.vm.cmp(vm)).ok()?;
        self.members.get_mut(index)
    }

    /// The record of a VM, created if absent; `None` for the local VM.
    fn member_or_insert(&mut self, vm: &VmId) -> Option<&mut Member> {
        if *vm == self.local {
            return None;
        }
        match self.members.binary_search_by(|m| m.vm.cmp(vm)) {
            Ok(index) => self.members.get_mut(index),
            Err(index) => {
                self.members.insert(index, Member::new(vm.clone()));
                self.members.get_mut(index)
            }
        }
    }
}
