//! What published documents and the passing of time change.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, ServiceName, TargetId};

use super::{Steering, release};
use crate::absence::Removal;
use crate::target_table::{EntryStatus, TargetIndex};
use crate::{Routes, SteeringEvent, Target};

/// Silence after which a flow may be forgotten when the configuration names no time.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Entrances remembered after their route was removed.
const REMOVED_LIMIT: usize = 4_096;

impl Steering {
    /// Takes the routes of a newer configuration; gives the entrances that it removed.
    pub fn set_routes(&mut self, routes: Routes) -> Vec<SocketAddrV4> {
        let mut gone = Vec::new();
        for route in self.routes.iter().flat_map(Routes::iter) {
            if routes.find(route.frontend).is_none() {
                gone.push(route.frontend);
            }
        }
        self.removed.extend(&gone);
        self.removed.sort_unstable();
        self.removed.dedup();
        self.removed
            .retain(|removed| routes.find(*removed).is_none());
        self.removed.truncate(REMOVED_LIMIT);
        self.routes = Some(routes);
        gone
    }

    /// Takes a target as its entry says.
    pub fn put_target(&mut self, target: Target, now: Moment) {
        self.roster.put(target, now);
    }

    /// Notes that an entry no longer names a target: it keeps its flows and takes no new ones.
    pub fn invalidate_target(&mut self, id: &TargetId) {
        if let Some(number) = self.roster.find(id) {
            self.roster.set_standing(number, EntryStatus::Unreadable);
        }
    }

    /// Takes the removals of one batch; gives what became of each known target.
    ///
    /// A target that had announced that it leaves has ended, unless the store was away lately. Any
    /// other is kept for a while: its entry may have lapsed.
    pub fn remove_targets(
        &mut self,
        ids: &[TargetId],
        now: Moment,
    ) -> Vec<(TargetId, EntryStatus)> {
        let mut outcomes = Vec::new();
        let numbers: Vec<_> = ids.iter().filter_map(|id| self.roster.find(id)).collect();
        for &number in &numbers {
            let Some(slot) = self.roster.get(number) else {
                continue;
            };
            let (id, service) = (slot.target.id.clone(), slot.target.service.clone());
            if slot.target.is_leaving && !self.absence.is_recent(now) {
                self.roster.end(number, now);
                continue;
            }
            let removal = self.removal_of(&service, &numbers);
            let status = self.absence.judge(now, removal);
            if let EntryStatus::Lapsed { until } = status {
                self.roster.trust_doubted(&service, until);
            }
            self.roster.set_standing(number, status);
            outcomes.push((id, status));
        }
        outcomes
    }

    /// Notes that everything published up to `at` is here.
    pub fn record_sync(&mut self, at: Moment) {
        self.freshness.first.get_or_insert(at);
        self.freshness.synced = self.freshness.synced.max(Some(at));
    }

    /// Notes that the store is away, or has answered again after it was.
    pub fn record_outage(&mut self, now: Moment) {
        self.absence.record_outage(now);
    }

    /// Forgets what is over; gives what was found out since the last sweep.
    pub fn sweep(&mut self, now: Moment) -> Vec<SteeringEvent> {
        let mut notices = Vec::new();
        let idle_time = self.routes.as_ref().and_then(|routes| routes.idle_time);
        let roster = &mut self.roster;
        self.flows
            .sweep(now, idle_time.unwrap_or(IDLE_TIME), |&flow, forgotten| {
                if let Some(busy) = forgotten.busy {
                    notices.push(SteeringEvent::TimedOut {
                        flow,
                        token: forgotten.token,
                        waited: now.since(busy),
                    });
                }
                release(roster, forgotten);
            });
        let roster = &self.roster;
        self.strangers
            .sweep(now, |token| roster.with_token(token).next().is_some());
        notices.extend(self.roster.note_silence(now));
        let own = &self.settings.zone;
        let slots = self.roster.iter().map(|(_, slot)| slot);
        let far = slots.filter(|slot| slot.target.zone != *own);
        let loads = far.map(|slot| (&slot.target.zone, &slot.load));
        notices.extend(self.zones.judge(loads, now));
        self.ended.extend(self.roster.expire(now));
        notices.extend(self.ended.drain(..).map(SteeringEvent::Ended));
        notices
    }

    /// Gives each time from a request to the first sign of its answer, with the target's service,
    /// since this was last asked for.
    pub fn drain_response_times(&mut self, mut take: impl FnMut(&ServiceName, Duration)) {
        for (number, time) in self.progress.drain(..) {
            if let Some(slot) = self.roster.get(number) {
                take(&slot.target.service, time);
            }
        }
    }

    /// How many targets of a service have gone, with a batch that is being removed.
    fn removal_of(&self, service: &ServiceName, numbers: &[TargetIndex]) -> Removal {
        let (mut total, mut gone) = (0, 0);
        for (number, slot) in self.roster.of_service(service) {
            if slot.target.is_leaving {
                continue;
            }
            total += 1;
            let has_gone = slot.status.until().is_some();
            gone += usize::from(has_gone || numbers.contains(&number));
        }
        Removal { gone, total }
    }
}
