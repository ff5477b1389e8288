//! Use of admission control by the steering: openings that wait until a target has room.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, ServiceName};
use bambooseam_view::FlowKey;

use super::Steering;
use crate::admission::{
    AdmissionQueue, Opening, OverloadChange, RejectCause, Rejection, ServiceLoad, Verdict, Waiting,
};
use crate::flows::Flows;
use crate::zone_load::Group;
use crate::{
    Decision, DropCause, FlowId, Origin, PacketHeader, Released, ResetCause, Routes, SteeringEvent,
};

/// Largest number of openings that wait for all services together. The entry program keeps 1,024
/// datagrams; the rest is for openings that are added while targets have room.
const MAX_ALL_WAITING: usize = 768;

/// Largest number of rejections reported by one sweep. The statistics count all of them.
const MAX_REJECTION_EVENTS: usize = 32;

/// Largest number of waiting times kept until they are drained.
const MAX_WAIT_TIMES: usize = 4_096;

/// Admission queues of all services, and what they have decided since the last report.
#[derive(Debug, Default)]
pub(super) struct Admissions {
    /// Whether this VM alone sees the load of its zone.
    sees_zone: bool,
    /// Sorted by service.
    queues: Vec<(ServiceName, AdmissionQueue)>,
    /// Openings that left their queue before a target had room.
    withdrawn: Vec<Released>,
    /// Rejections since the last sweep.
    events: Vec<SteeringEvent>,
    stats: AdmissionStats,
}

/// Decisions of the admission control since the last drain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdmissionStats {
    /// Openings that were placed after they had waited.
    pub admitted: u64,
    /// Times for which these openings waited.
    pub waits: Vec<Duration>,
    /// Rejected openings by frontend and cause, sorted.
    pub rejected: Vec<((SocketAddrV4, RejectCause), u64)>,
}

impl Steering {
    /// Sets whether this VM sees the load of its zone without reports of other VMs.
    pub fn set_zone_view(&mut self, sees_zone: bool) {
        self.admissions.sees_zone = sees_zone;
    }

    /// Whether this VM knows the requests in progress of its whole zone, or of a group of its targets
    /// that it coordinates. Without that knowledge no opening waits, and none is rejected because its
    /// service is full.
    pub fn has_zone_view(&self) -> bool {
        self.admissions.sees_zone || self.is_coordinating()
    }

    /// Decides whether an opening is placed now: returns `None` if it is. Otherwise returns the
    /// decision.
    pub(super) fn offer_opening(
        &mut self,
        header: &PacketHeader,
        origin: Origin,
        group: Option<Group>,
        now: Moment,
    ) -> Option<Decision> {
        // An opening that a target was sent before is neither held nor rejected.
        if !self.has_zone_view() || self.flows.earlier_target(header, now).is_some() {
            return None;
        }
        let route = self.routes.as_ref()?.find(header.flow.frontend)?;
        let opening = Opening {
            header: *header,
            origin,
            priority: route.priority,
            latency_goal: route.latency_goal?,
        };
        let key = header.flow.key();
        let service = route.service_of(key)?;
        let load = self.selector((service, key), group, now).load()?;
        self.admissions
            .offer(service, opening, &load, &self.flows, now)
    }

    /// Removes and returns the held openings that have been decided.
    pub fn take_released(&mut self, now: Moment) -> Vec<Released> {
        self.expire_load(now);
        let mut released = self.coordination.take_released();
        released.append(&mut self.admissions.withdrawn);
        let waiting = self.admissions.queues.iter();
        let waiting = waiting.filter(|(_, queue)| !queue.is_empty());
        let services: Vec<_> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.release_service(&service, &mut released, now);
        }
        released
    }

    /// Number of openings that wait for a target with room.
    pub fn waiting_count(&self) -> usize {
        let queues = self.admissions.queues.iter();
        queues.map(|(_, queue)| queue.len()).sum()
    }

    /// Returns the decisions of the admission control since the last call.
    pub fn drain_admission_stats(&mut self) -> AdmissionStats {
        std::mem::take(&mut self.admissions.stats)
    }

    /// Returns the events of the admission control since the last sweep.
    pub(super) fn sweep_admissions(&mut self, now: Moment) -> Vec<SteeringEvent> {
        let targets = &self.targets;
        let mut events = std::mem::take(&mut self.admissions.events);
        self.admissions.queues.retain_mut(|(service, queue)| {
            match queue.update(now) {
                Some(OverloadChange::Began) => events.push(SteeringEvent::OverloadBegan {
                    service: service.clone(),
                    waiting: queue.len(),
                }),
                Some(OverloadChange::Ended { elapsed, rejected }) => {
                    events.push(SteeringEvent::OverloadEnded {
                        service: service.clone(),
                        elapsed,
                        rejected,
                    });
                }
                None => {}
            }
            let has_targets = targets.of_service(service).next().is_some();
            has_targets || !queue.is_empty() || queue.is_overloaded()
        });
        events
    }

    /// Decides the openings of one service that can be decided now.
    fn release_service(
        &mut self,
        service: &ServiceName,
        released: &mut Vec<Released>,
        now: Moment,
    ) {
        let Some(queue) = self.admissions.find_mut(service) else {
            return;
        };
        let stale = queue.take_stale(now);
        released.extend(stale.iter().map(release_late));
        let moved = queue.extract(|waiting| !is_admitted_to(&self.routes, service, waiting));
        let room = self.room(service, now);
        let mut admitted = Vec::new();
        if let Some(queue) = self.admissions.find_mut(service) {
            // Without a limit, all openings are placed like those of a VM without admission control.
            let limit = room.map_or(usize::MAX, |load| load.room as usize);
            while admitted.len() < limit
                && let Some(waiting) = queue.pop()
            {
                admitted.push(waiting);
            }
        }
        self.admissions.stats.record_admitted(&admitted, now);
        for waiting in moved.into_iter().chain(admitted) {
            let Opening { header, origin, .. } = waiting.opening;
            let group = self.own_group(&header);
            released.push(Released {
                flow: header.flow,
                origin,
                decision: self.place_admitted(&header, origin, group, now),
            });
        }
        let load = room.unwrap_or_default();
        let flows = &self.flows;
        let Some(queue) = self.admissions.find_mut(service) else {
            return;
        };
        for (waiting, rejection) in queue.take_overdue(&load, now) {
            released.push(
                self.admissions
                    .reject_waiting(&waiting, rejection, flows, now),
            );
        }
    }

    /// Load of the service if its openings are subject to admission control at present.
    fn room(&self, service: &ServiceName, now: Moment) -> Option<ServiceLoad> {
        if !self.has_zone_view() {
            return None;
        }
        self.selector((service, FlowKey::from(0)), None, now).load()
    }
}

impl Admissions {
    /// Decides whether an opening is placed now: returns `None` if it is. Otherwise returns the
    /// decision.
    pub(super) fn offer(
        &mut self,
        service: &ServiceName,
        opening: Opening,
        load: &ServiceLoad,
        flows: &Flows,
        now: Moment,
    ) -> Option<Decision> {
        let at = match self.find(service) {
            Ok(at) => at,
            Err(at) => {
                let queue = AdmissionQueue::default();
                self.queues.insert(at, (service.clone(), queue));
                at
            }
        };
        let waiting: usize = self.queues.iter().map(|(_, queue)| queue.len()).sum();
        let spare = MAX_ALL_WAITING.saturating_sub(waiting);
        let (verdict, displaced) = self.queues[at].1.offer(opening, load, spare, now);
        if let Some((displaced, rejection)) = displaced {
            let released = self.reject_waiting(&displaced, rejection, flows, now);
            self.withdrawn.push(released);
        }
        match verdict {
            Verdict::Place => None,
            Verdict::Wait => Some(Decision::Hold),
            Verdict::Reject(rejection) => {
                self.record_rejection(&opening.header.flow, rejection);
                Some(rejected(opening.is_unsent()))
            }
        }
    }

    /// Removes an opening whose caller has given up.
    pub(super) fn withdraw(&mut self, flow: &FlowId, origin: Origin) {
        for (_, queue) in &mut self.queues {
            if queue.is_empty() {
                continue;
            }
            let given_up = queue.extract(|waiting| {
                waiting.opening.header.flow == *flow && waiting.opening.origin == origin
            });
            self.withdrawn.extend(given_up.iter().map(|_| Released {
                flow: *flow,
                origin,
                decision: Decision::Drop(DropCause::AlreadyEnded),
            }));
        }
    }

    fn reject_waiting(
        &mut self,
        waiting: &Waiting,
        rejection: Rejection,
        flows: &Flows,
        now: Moment,
    ) -> Released {
        let flow = waiting.opening.header.flow;
        self.record_rejection(&flow, rejection);
        // A packet inside the flow may show that another VM has sent the opening to a target.
        let is_unsent = waiting.may_reset(now) && !flows.has_begun(&flow, waiting.arrived);
        Released {
            flow,
            origin: waiting.opening.origin,
            decision: rejected(is_unsent),
        }
    }

    fn record_rejection(&mut self, flow: &FlowId, rejection: Rejection) {
        self.stats.record_rejected((flow.frontend, rejection.cause));
        if self.events.len() < MAX_REJECTION_EVENTS {
            let flow = *flow;
            self.events
                .push(SteeringEvent::Rejected { flow, rejection });
        }
    }

    fn find_mut(&mut self, service: &ServiceName) -> Option<&mut AdmissionQueue> {
        let at = self.find(service).ok()?;
        Some(&mut self.queues[at].1)
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.queues
            .binary_search_by(|(other, _)| other.cmp(service))
    }
}

impl AdmissionStats {
    fn record_admitted(&mut self, admitted: &[Waiting], now: Moment) {
        self.admitted += admitted.len() as u64;
        let room = MAX_WAIT_TIMES.saturating_sub(self.waits.len());
        let waits = admitted.iter().map(|waiting| now.since(waiting.arrived));
        self.waits.extend(waits.take(room));
    }

    fn record_rejected(&mut self, key: (SocketAddrV4, RejectCause)) {
        match self
            .rejected
            .binary_search_by_key(&key, |(other, _)| *other)
        {
            Ok(at) => self.rejected[at].1 += 1,
            Err(at) => self.rejected.insert(at, (key, 1)),
        }
    }
}

/// Whether the openings of a waiting opening's route still go to the service, and are subject to
/// admission control.
fn is_admitted_to(routes: &Option<Routes>, service: &ServiceName, waiting: &Waiting) -> bool {
    let flow = &waiting.opening.header.flow;
    let route = routes.as_ref().and_then(|r| r.find(flow.frontend));
    route.is_some_and(|route| {
        route.latency_goal.is_some() && route.service_of(flow.key()) == Some(service)
    })
}

/// Decision about an opening that is rejected. A reset says that the request has not run, so it is
/// given only if no target can have been sent the opening. Otherwise the packet is dropped, so that
/// the caller retransmits.
fn rejected(is_unsent: bool) -> Decision {
    match is_unsent {
        true => Decision::Reset(ResetCause::Overloaded),
        false => Decision::Drop(DropCause::NotAdmitted),
    }
}

/// Decision about an opening whose caller has retransmitted it in the meantime, possibly to another
/// VM.
fn release_late(waiting: &Waiting) -> Released {
    Released {
        flow: waiting.opening.header.flow,
        origin: waiting.opening.origin,
        decision: Decision::Drop(DropCause::NotAdmitted),
    }
}
