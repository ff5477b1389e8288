//! What an agent knows of each VM's life.
//!
//! A sign of life is a start (incarnation) and the seconds since it, so a late packet or a woken
//! process can't undo newer news. A VM that does not answer is reported silent by the agents that
//! observe it; the suspicion takes effect when two of them say so, one of them in the VM's own
//! zone. A zone that is cut off as a whole is seen by observers outside it only, and so nobody in
//! it is suspected.

mod record;

use std::time::{Duration, Instant};

use bambooseam_config::{VmEntry, VmList, VmState};
use bambooseam_peer::agent::{Heartbeat, Observation};
use bambooseam_types::{Incarnation, VmId, ZoneId};
use derive_more::Display;

use crate::rumour::RumourQueue;
use record::Member;

/// Failed exchanges in a row after which a VM counts as one that does not answer.
const MISSES: u32 = 2;

/// Time without an answer before an observer reports a VM silent: an agent that restarts is back
/// by then.
const SILENT_TIME: Duration = Duration::from_secs(4);

/// Observers that a suspicion needs where there are that many.
const OBSERVERS: usize = 2;

/// Time after a direct sign of life in which reports of others do not count.
const DIRECT_TIME: Duration = Duration::from_secs(5);

/// Time after which a suspected VM counts as dead.
const DEAD_TIME: Duration = Duration::from_secs(30);

/// Time without any sign of life from a zone after which it may count as silent.
const ZONE_TIME: Duration = Duration::from_secs(10);

/// Zones of fewer VMs need observers from outside.
const SMALL_ZONE: usize = 3;

/// Failed exchanges, one report in so many is repeated.
const REPORT_EVERY: u32 = 16;

/// VMs kept that the platform does not list.
const UNLISTED_LIMIT: usize = 64;

/// Health of a VM as this agent sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Health {
    /// Announced, or heard and not listed yet.
    #[display("joining")]
    Joining,
    /// In service.
    #[display("live")]
    Live,
    /// Announced to stop.
    #[display("leaving")]
    Leaving,
    /// Silent towards enough observers.
    #[display("suspected")]
    Suspected,
    /// Suspected for long.
    #[display("dead")]
    Dead,
}

/// What a sign of life was worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatStatus {
    /// News.
    New,
    /// Nothing new.
    Unchanged,
    /// From an earlier start than the last one known.
    Stale,
}

/// A change that is worth an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthChange {
    /// A VM is suspected, by these observers.
    Suspected(VmId, Vec<VmId>),
    /// A suspected VM has been silent for long.
    Dead(VmId),
    /// A suspected VM is no longer.
    Recovered(VmId),
    /// No VM of a zone is heard.
    ZoneUnresponsive(ZoneId),
    /// A silent zone is heard.
    ZoneRecovered(ZoneId),
}

/// What is known of all VMs.
#[derive(Debug)]
pub struct Members {
    me: VmId,
    zone: ZoneId,
    members: Vec<Member>,
    silent: Vec<ZoneId>,
    observations: RumourQueue,
}

impl Members {
    /// Creates the table of the VM `me`.
    pub fn new(me: VmId, zone: ZoneId) -> Self {
        Self {
            me,
            zone,
            members: Vec::new(),
            silent: Vec::new(),
            observations: RumourQueue::default(),
        }
    }

    /// Notes a sign of life that came from the VM itself.
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
        let Some(member) = self.entry(vm) else {
            return HeartbeatStatus::Unchanged;
        };
        if heartbeat.incarnation < member.last.incarnation {
            return HeartbeatStatus::Stale;
        }
        if heartbeat <= member.last {
            return HeartbeatStatus::Unchanged;
        }
        member.last = heartbeat;
        member.heard = Some(now);
        member.clear_misses();
        let was_reported = !member.reports.is_empty();
        member.drop_refuted();
        let me = self.me.clone();
        if let Some(member) = self.member_mut(vm) {
            member.reports.retain(|report| report.observer != me);
        }
        if was_reported {
            let rumour = Observation {
                vm: vm.clone(),
                heartbeat,
                observer: None,
            };
            self.observations.push(rumour);
        }
        HeartbeatStatus::New
    }

    /// Notes an answer to an exchange that this agent began.
    pub fn record_response(&mut self, vm: &VmId) {
        if let Some(member) = self.member_mut(vm) {
            member.clear_misses();
        }
    }

    /// Notes an exchange that failed; after some, this agent reports the VM silent.
    pub fn record_failure(&mut self, vm: &VmId, list: &VmList, now: Instant) {
        let me = self.me.clone();
        let Some(member) = self.entry(vm) else {
            return;
        };
        member.misses = member.misses.saturating_add(1);
        let since = *member.missed.get_or_insert(now);
        let is_long = now.saturating_duration_since(since) >= SILENT_TIME;
        let is_reported = member.reports.iter().any(|report| report.observer == me);
        let is_due = !is_reported || member.misses.is_multiple_of(REPORT_EVERY);
        if member.misses < MISSES || !is_long || !is_due {
            return;
        }
        let heartbeat = member.last;
        member.report(me.clone(), heartbeat, now);
        if !self.is_spread(vm, list) {
            return;
        }
        self.observations.push(Observation {
            vm: vm.clone(),
            heartbeat,
            observer: Some(me),
        });
    }

    /// Takes news of a VM from a peer.
    pub fn apply_observation(&mut self, rumour: &Observation, list: &VmList, now: Instant) {
        let is_own = rumour.vm == self.me || rumour.observer.as_ref() == Some(&self.me);
        let is_listed = list.get(&rumour.vm).is_some();
        if is_own || !is_listed {
            return;
        }
        let Some(member) = self.entry(&rumour.vm) else {
            return;
        };
        let is_news = match &rumour.observer {
            None => {
                let is_news = rumour.heartbeat > member.last;
                member.last = member.last.max(rumour.heartbeat);
                member.drop_refuted();
                is_news
            }
            Some(observer) if list.get(observer).is_some() && *observer != rumour.vm => {
                member.report(observer.clone(), rumour.heartbeat, now)
            }
            Some(_) => false,
        };
        if is_news {
            self.observations.push(rumour.clone());
        }
    }

    /// Decides who is suspected and which zones are silent; gives what has changed.
    pub fn evaluate(&mut self, list: &VmList, now: Instant) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        self.members
            .retain(|member| list.get(&member.vm).is_some() || member.is_fresh(now));
        for index in 0..self.members.len() {
            let observers = self.observers(&self.members[index], list, now);
            let member = &mut self.members[index];
            let is_suspected = observers.is_some();
            match (is_suspected, member.suspected) {
                (true, None) => {
                    member.suspected = Some(now);
                    let observers = observers.unwrap_or_default();
                    changes.push(HealthChange::Suspected(member.vm.clone(), observers));
                }
                (true, Some(since)) if !member.is_dead && now - since >= DEAD_TIME => {
                    member.is_dead = true;
                    changes.push(HealthChange::Dead(member.vm.clone()));
                }
                (false, Some(_)) => {
                    member.suspected = None;
                    member.is_dead = false;
                    // A VM that the platform dropped is gone, not heard again.
                    if list.get(&member.vm).is_some() {
                        changes.push(HealthChange::Recovered(member.vm.clone()));
                    }
                }
                _ => {}
            }
            if member.suspected.is_none() {
                member.drop_old(now);
            }
        }
        self.judge_zones(list, now, &mut changes);
        changes
    }

    /// Gives everyone time to be heard again after this process was paused.
    pub fn clear_failures(&mut self) {
        let me = self.me.clone();
        for member in &mut self.members {
            member.clear_misses();
            member.reports.retain(|report| report.observer != me);
        }
    }

    /// Suspected VMs, sorted.
    pub fn suspects(&self) -> Vec<VmId> {
        let suspected = self.members.iter().filter(|m| m.suspected.is_some());
        suspected.map(|member| member.vm.clone()).collect()
    }

    /// Health of a listed VM and its cause.
    pub fn health(&self, vm: &VmEntry) -> (Health, String) {
        let member = self.member(&vm.id);
        if let Some(member) = member
            && member.suspected.is_some()
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
        if self.silent.contains(&vm.zone) {
            return (health, format!("listed; zone {} is silent", vm.zone));
        }
        let cause = match member {
            Some(member) if member.misses >= MISSES => "listed; silent towards this VM",
            Some(member) if member.heard.is_some() => "listed; heard",
            _ => "listed",
        };
        (health, cause.into())
    }

    /// VMs that were heard and that the platform does not list.
    pub fn unlisted(&self, list: &VmList) -> Vec<VmId> {
        let unlisted = self.members.iter().filter(|m| list.get(&m.vm).is_none());
        unlisted.map(|member| member.vm.clone()).collect()
    }

    /// Whether exchanges with a VM have failed lately.
    pub fn is_unresponsive(&self, vm: &VmId) -> bool {
        self.member(vm)
            .is_some_and(|member| member.misses >= MISSES)
    }

    /// Last start of a VM that is known.
    pub fn incarnation(&self, vm: &VmId) -> Incarnation {
        self.member(vm)
            .map_or(Incarnation::default(), |member| member.last.incarnation)
    }

    /// News for the next summary; `fleet` is the number of VMs.
    pub fn next_observations(&mut self, fleet: usize) -> Vec<Observation> {
        self.observations.take(fleet)
    }

    /// Observers by which a VM is suspected; `None` when they are too few.
    fn observers(&self, member: &Member, list: &VmList, now: Instant) -> Option<Vec<VmId>> {
        let entry = list.get(&member.vm)?;
        let is_direct = member
            .heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < DIRECT_TIME);
        if is_direct || member.reports.is_empty() {
            return None;
        }
        let listed = |id: &VmId| list.get(id);
        let found: Vec<&VmEntry> = member
            .reports
            .iter()
            .filter_map(|report| listed(&report.observer))
            .collect();
        let wanted = OBSERVERS.min(list.0.len().saturating_sub(1));
        let has_mates = list
            .0
            .iter()
            .any(|vm| vm.zone == entry.zone && vm.id != entry.id);
        let has_insider = found.iter().any(|vm| vm.zone == entry.zone);
        if found.len() < wanted || (has_mates && !has_insider) {
            return None;
        }
        Some(found.into_iter().map(|vm| vm.id.clone()).collect())
    }

    /// Finds zones of which nobody is heard.
    fn judge_zones(&mut self, list: &VmList, now: Instant, changes: &mut Vec<HealthChange>) {
        let mut zones: Vec<&ZoneId> = list.0.iter().map(|vm| &vm.zone).collect();
        zones.sort();
        zones.dedup();
        for zone in zones {
            if *zone == self.zone {
                continue;
            }
            let is_silent = self.is_silent(zone, list, now);
            let was_silent = self.silent.contains(zone);
            if is_silent && !was_silent {
                self.silent.push(zone.clone());
                changes.push(HealthChange::ZoneUnresponsive(zone.clone()));
            }
            if !is_silent && was_silent {
                self.silent.retain(|held| held != zone);
                changes.push(HealthChange::ZoneRecovered(zone.clone()));
            }
        }
    }

    /// Whether some VMs of a zone do not answer and none was heard lately.
    fn is_silent(&self, zone: &ZoneId, list: &VmList, now: Instant) -> bool {
        let mut listed = 0;
        let mut missed = 0;
        for vm in list.0.iter().filter(|vm| vm.zone == *zone) {
            listed += 1;
            let Some(member) = self.member(&vm.id) else {
                continue;
            };
            let is_heard = member
                .heard
                .is_some_and(|heard| now.saturating_duration_since(heard) < ZONE_TIME);
            if is_heard {
                return false;
            }
            missed += usize::from(member.misses >= MISSES);
        }
        listed >= 2 && missed >= 2
    }

    /// Whether this agent's reports of a VM go to others: zones with enough VMs judge themselves.
    fn is_spread(&self, vm: &VmId, list: &VmList) -> bool {
        let Some(entry) = list.get(vm) else {
            return false;
        };
        let size = list.0.iter().filter(|vm| vm.zone == entry.zone).count();
        entry.zone == self.zone || size < SMALL_ZONE
    }

    fn member(&self, vm: &VmId) -> Option<&Member> {
        let index = self.members.binary_search_by(|m| m.vm.cmp(vm)).ok()?;
        self.members.get(index)
    }

    fn member_mut(&mut self, vm: &VmId) -> Option<&mut Member> {
        let index = self.members.binary_search_by(|m| m.vm.cmp(vm)).ok()?;
        self.members.get_mut(index)
    }

    /// The entry of a VM, made when there is room; `None` for this VM itself.
    fn entry(&mut self, vm: &VmId) -> Option<&mut Member> {
        if *vm == self.me {
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
