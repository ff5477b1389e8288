//! Updates of the steering state from published documents and from the passing of time.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{EarlierStart, Moment, Revision, ServiceName, TargetId, ZoneId};

use super::Steering;
use super::signals::release;
use crate::evacuation::Evacuations;
use crate::missing_entry::{REREGISTRATION_TIME, RemovalCount};
use crate::target_speed::Outcome;
use crate::target_table::{EntryStatus, TargetIndex};
use crate::{Routes, SteeringEvent, Target, TokenForm};

/// Idle time after which a flow may be removed if the configuration does not set one.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);

/// Rate of the narrowest links, 10 Mbit/s, in bytes per second.
const LINK_RATE: f64 = 1_250_000.0;

/// Share of the link that a transfer gets beside packets.
const TRANSFER_SHARE: f64 = 0.5;

/// Longest time for which transfers count as filling the link.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(2);

/// Largest number of remembered frontends whose route was removed.
const MAX_REMOVED_FRONTENDS: usize = 4_096;

impl Steering {
    /// Applies the routes of a newer configuration. Returns the frontends whose route it removed.
    pub fn set_routes(&mut self, routes: Routes) -> Vec<SocketAddrV4> {
        let mut removed = Vec::new();
        for route in self.routes.iter().flat_map(Routes::iter) {
            if routes.find(route.frontend).is_none() {
                removed.push(route.frontend);
            }
        }
        self.removed_frontends.extend(&removed);
        self.removed_frontends.sort_unstable();
        self.removed_frontends.dedup();
        self.removed_frontends
            .retain(|removed| routes.find(*removed).is_none());
        self.removed_frontends.truncate(MAX_REMOVED_FRONTENDS);
        self.cold_budgets
            .set_rates(&routes, self.settings.cold_policy);
        self.routes = Some(routes);
        removed
    }

    /// Adds or updates a target from its published entry.
    pub fn put_target(&mut self, target: Target, now: Moment) {
        self.targets.put(target, self.routes.as_ref(), now);
    }

    /// Records that an entry no longer describes a valid target. The target keeps its flows and
    /// takes no new flows.
    pub fn invalidate_target(&mut self, id: &TargetId) {
        if let Some(index) = self.targets.find(id) {
            self.targets.set_status(index, EntryStatus::Unreadable);
        }
    }

    /// Records that the entry of a target comes from an older copy of the store, although it had
    /// been removed. The target keeps its flows, and takes new flows only as a last resort.
    pub fn hold_back_target(&mut self, id: &TargetId) {
        let Some(index) = self.targets.find(id) else {
            return;
        };
        let record = self.targets.get(index);
        if record.is_some_and(|record| record.status.is_foreign()) {
            return;
        }
        self.targets.set_status(index, EntryStatus::Unrenewed);
    }

    /// Accepts an entry that was held back.
    pub fn renew_target(&mut self, id: &TargetId) {
        let Some(index) = self.targets.find(id) else {
            return;
        };
        let status = self.targets.get(index).map(|record| record.status);
        if status == Some(EntryStatus::Unrenewed) {
            self.targets.set_status(index, EntryStatus::Published);
        }
    }

    /// Sets the form of the tokens that this VM writes. Returns the form before.
    pub fn set_token_form(&mut self, form: TokenForm) -> TokenForm {
        std::mem::replace(&mut self.token_form, form)
    }

    /// Form of the tokens that this VM writes.
    pub fn token_form(&self) -> TokenForm {
        self.token_form
    }

    /// The earlier starts of targets that ended lately, for other VMs.
    pub fn earlier_starts(&self, now: Moment) -> Vec<EarlierStart> {
        self.targets.earlier_starts(now)
    }

    /// Records earlier starts that another VM knows. Returns the number of those that were not known
    /// here.
    pub fn record_earlier_starts(&mut self, starts: Vec<EarlierStart>, now: Moment) -> usize {
        let mut count = 0;
        for start in starts {
            count += usize::from(self.targets.record_earlier(start, now));
        }
        count
    }

    /// Excludes the targets of a zone from new flows. Returns false if the zone was already
    /// evacuated.
    pub fn evacuate(&mut self, zone: ZoneId, revision: Revision, now: Moment) -> bool {
        self.evacuations.insert(zone, revision, now)
    }

    /// Readmits a zone, and returns the time for which it was evacuated; `None` if it was not.
    pub fn readmit(&mut self, zone: &ZoneId, now: Moment) -> Option<Duration> {
        let evacuation = self.evacuations.remove(zone)?;
        Some(now.since(evacuation.since))
    }

    /// Whether the targets of a zone take no new flows because the zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuations.contains(zone)
    }

    /// The evacuated zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Number of open flows that pass through this VM, by zone of their target, sorted by zone. A
    /// zone is listed while a target of it is known.
    pub fn zone_flows(&self) -> Vec<(&ZoneId, u64)> {
        let mut zones: Vec<(&ZoneId, u64)> = Vec::new();
        for (_, record) in self.targets.iter() {
            let (zone, flows) = (&record.target.zone, u64::from(record.load.flows));
            match zones.binary_search_by(|(other, _)| (*other).cmp(zone)) {
                Ok(at) => zones[at].1 += flows,
                Err(at) => zones.insert(at, (zone, flows)),
            }
        }
        zones
    }

    /// Records that the view has to settle anew: entries that the store has lost may not have been
    /// published again yet.
    pub fn restart_settling(&mut self) {
        self.freshness.first_synced = None;
    }

    /// Records that a large transfer of `size` bytes has begun, which fills the link of this VM for a
    /// time.
    pub fn record_transfer(&mut self, size: usize, now: Moment) {
        let time = Duration::from_secs_f64(size as f64 / (LINK_RATE * TRANSFER_SHARE));
        let begun = self.quiet_since.max(now);
        self.quiet_since = begun.after(time).min(now.after(MAX_TRANSFER_TIME));
    }

    /// Applies the removals of one batch. Returns the new status of each target. All targets are kept
    /// for some time, also those that had announced that they leave, because the entries may have
    /// lapsed.
    pub fn remove_targets(
        &mut self,
        ids: &[TargetId],
        now: Moment,
    ) -> Vec<(TargetId, EntryStatus)> {
        let mut kept = Vec::new();
        let indexes: Vec<_> = ids.iter().filter_map(|id| self.targets.find(id)).collect();
        for &index in &indexes {
            let Some(record) = self.targets.get(index) else {
                continue;
            };
            let (id, service) = (record.target.id.clone(), record.target.service.clone());
            let removal = self.count_removals(&service, &indexes);
            let status = self.outage.status_after_removal(now, removal);
            if let EntryStatus::Lapsed { until } = status {
                self.targets.set_lapsed(&service, until);
            }
            self.targets.set_status(index, status);
            kept.push((id, status));
        }
        kept
    }

    /// Records that this VM has received everything published up to `at`.
    pub fn record_sync(&mut self, at: Moment) {
        self.freshness.first_synced.get_or_insert(at);
        self.freshness.synced = self.freshness.synced.max(Some(at));
    }

    /// Records that this process has resumed after a pause.
    pub fn record_resumption(&mut self, now: Moment) {
        self.resumption.record(now);
    }

    /// Whether openings are dropped because the view from before a pause has not been renewed yet.
    pub fn awaits_view(&self, now: Moment) -> bool {
        self.resumption.awaits_view(self.freshness, now)
    }

    /// Records that the store is unavailable, or that it has just become available again.
    pub fn record_outage(&mut self, now: Moment) {
        self.outage.record_outage(now);
        self.targets
            .extend_retention(now.after(REREGISTRATION_TIME));
        if !self.freshness.is_settled() {
            self.freshness.first_synced = self.freshness.first_synced.map(|first| first.max(now));
        }
    }

    /// Whether the store was unavailable to this VM lately, so that entries may have lapsed.
    pub fn is_outage_recent(&self, now: Moment) -> bool {
        self.outage.is_recent(now)
    }

    /// Removes expired flows, tokens and targets. Returns the events since the last sweep.
    pub fn sweep(&mut self, now: Moment) -> Vec<SteeringEvent> {
        self.detect_pause(now);
        let mut events = std::mem::take(&mut self.events);
        let idle_time = self.routes.as_ref().and_then(|routes| routes.idle_time);
        let targets = &mut self.targets;
        self.flows.sweep(
            now,
            idle_time.unwrap_or(DEFAULT_IDLE_TIME),
            |&flow, released| {
                if let Some(busy) = released.busy_since {
                    events.push(SteeringEvent::TimedOut {
                        flow,
                        token: released.token,
                        waited: now.since(busy),
                    });
                }
                release(targets, (released, Outcome::Abandoned), now);
            },
        );
        let targets = &self.targets;
        self.unknown_tokens
            .sweep(now, |token| targets.is_known(token));
        events.extend(self.sweep_admissions(now));
        events.extend(self.targets.update_responsiveness(now));
        events.extend(self.cold_budgets.update(&self.targets, &self.timings, now));
        events.extend(self.refresh_speeds(now));
        let local_zone = &self.settings.zone;
        let records = self.targets.iter().map(|(_, record)| record);
        let remote = records.filter(|record| record.target.zone != *local_zone);
        let loads = remote.map(|record| (&record.target.zone, &record.load));
        events.extend(self.zones.update(loads, now));
        events.extend(self.update_isolation(now));
        events.extend(self.settle_disputes(now));
        self.ended.extend(self.targets.expire(self.freshness, now));
        events.extend(self.ended.drain(..).map(SteeringEvent::Ended));
        events
    }

    /// Settles the disputes about entries whose known start has not written again.
    fn settle_disputes(&mut self, now: Moment) -> Vec<SteeringEvent> {
        let Some(routes) = &self.routes else {
            return Vec::new();
        };
        // Without the store no target can write its entry again.
        let synced = self.freshness.synced;
        let synced = synced.filter(|_| !self.outage.is_recent(now));
        let settled = self.targets.settle_disputes(routes, synced, now);
        let settled = settled.into_iter();
        settled
            .map(|target| SteeringEvent::DisputeSettled(target.id.clone(), target.token()))
            .collect()
    }

    /// Passes each time from a request to the first sign of its response to `report`, with the
    /// target's service, and clears the list.
    pub fn drain_response_times(&mut self, mut report: impl FnMut(&ServiceName, Duration)) {
        for (index, time) in self.response_times.drain(..) {
            if let Some(record) = self.targets.get(index) {
                report(&record.target.service, time);
            }
        }
    }

    /// Counts the targets of a service, and how many of these have no entry, including the batch
    /// `indexes`. Leaving targets are not counted, because their removal was announced.
    fn count_removals(&self, service: &ServiceName, indexes: &[TargetIndex]) -> RemovalCount {
        let (mut total, mut removed) = (0, 0);
        for (index, record) in self.targets.of_service(service) {
            if record.target.is_leaving {
                continue;
            }
            total += 1;
            let is_removed = record.status.until().is_some();
            removed += usize::from(is_removed || indexes.contains(&index));
        }
        RemovalCount { removed, total }
    }
}
