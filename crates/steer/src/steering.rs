//! The decisions on each packet, tied together.

mod belief;

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, ServiceName, TargetId, Token, ZoneId};

use crate::absence::{Absence, RETURN_TIME};
use crate::flows::{Flows, Forgotten, Signals};
use crate::place::{Candidate, place};
use crate::stranger::Strangers;
use crate::target_table::{TargetIndex, TargetRecord, TargetTable};
use crate::zone::SilentZones;
use crate::{Decision, DropCause, PacketHeader, Placement, ResetCause, Route, Routes};

/// Age up to which the view counts as current: that of a copy which is followed (1.15 s), a round
/// that fails, and one more try.
const CURRENT_TIME: Duration = Duration::from_millis(2_500);

/// Longest time of a request on a route that is not known here.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Times of answers kept until they are asked for: half a second of a VM that serves 8,000 requests
/// a second.
const PROGRESS_LIMIT: usize = 4_096;

/// What steering needs from the settings.
#[derive(Debug, Clone)]
pub struct SteeringSettings {
    /// Availability zone of this VM.
    pub zone: ZoneId,
    /// Most flows to remember.
    pub flow_limit: usize,
}

/// How current the view is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// When everything published was last known to be here.
    pub synced: Option<Moment>,
    /// When that was known first.
    pub first: Option<Moment>,
}

/// Decides what becomes of each packet.
#[derive(Debug)]
pub struct Steering {
    settings: SteeringSettings,
    routes: Option<Routes>,
    /// Entrances whose route was removed, sorted.
    removed: Vec<SocketAddrV4>,
    roster: TargetTable,
    /// Targets that have ended since the last sweep.
    ended: Vec<TargetId>,
    /// Times from requests to answers since they were last taken.
    progress: Vec<(TargetIndex, Duration)>,
    flows: Flows,
    freshness: Freshness,
    absence: Absence,
    strangers: Strangers,
    zones: SilentZones,
}

impl Freshness {
    /// Whether what is known can be taken for all there is.
    pub fn is_current(&self, now: Moment) -> bool {
        self.synced
            .is_some_and(|synced| now.since(synced) <= CURRENT_TIME)
    }

    /// Whether entries that had lapsed before the first view would be here by now.
    pub fn is_settled(&self) -> bool {
        let span = self.first.zip(self.synced);
        span.is_some_and(|(first, synced)| synced >= first.after(RETURN_TIME))
    }
}

impl Steering {
    /// Creates steering that knows nothing yet.
    pub fn new(settings: SteeringSettings) -> Self {
        Self {
            flows: Flows::new(settings.flow_limit),
            settings,
            routes: None,
            removed: Vec::new(),
            roster: TargetTable::default(),
            ended: Vec::new(),
            progress: Vec::new(),
            freshness: Freshness::default(),
            absence: Absence::default(),
            strangers: Strangers::default(),
            zones: SilentZones::default(),
        }
    }

    /// How current the view is.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Whether packets can be served.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && self.freshness.synced.is_some()
    }

    /// The targets.
    pub fn targets(&self) -> &TargetTable {
        &self.roster
    }

    /// Number of flows remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Decides what becomes of a packet.
    pub fn decide(&mut self, head: &PacketHeader, now: Moment) -> Decision {
        if head.is_forged() {
            return Decision::Drop(DropCause::Forged);
        }
        if head.is_opening() {
            return self.open(head, now);
        }
        match head.token {
            Some(token) => self.pass(head, token, now),
            None if head.flags.rst => Decision::Drop(DropCause::AlreadyEnded),
            None => Decision::Reset(ResetCause::NoToken),
        }
    }

    /// An opening packet: its flow gets a target.
    fn open(&mut self, head: &PacketHeader, now: Moment) -> Decision {
        let is_current = self.freshness.is_current(now);
        let Some(route) = self
            .routes
            .as_ref()
            .and_then(|r| r.find(head.flow.frontend))
        else {
            return refuse(ResetCause::NoRoute, is_current);
        };
        // Targets lapse with the store away, routes do not.
        let is_whole = is_current && self.freshness.is_settled();
        let key = head.flow.key();
        let Some(service) = route.service_of(key) else {
            return refuse(ResetCause::NoTarget, is_whole);
        };
        let earlier = self.flows.earlier(head, now);
        if let Some((number, token)) = earlier
            && let Some(slot) = self.roster.get(number)
            && slot.token == token
            && !(slot.load.silence.is_confirmed(now)
                && has_other(&self.roster, service, number, now))
        {
            return forward(slot, Placement::Retransmitted);
        }
        let (zone, zones) = (&self.settings.zone, &self.zones);
        let choose = |is_wanted: fn(&TargetRecord) -> bool| {
            let held = self.roster.of_service(service);
            let candidates = held.filter(|(_, held)| is_wanted(held));
            let candidates = candidates.map(|(slot, held)| Candidate {
                slot,
                load: &held.load,
                capacity: held.target.capacity,
                is_near: held.target.zone == *zone,
                is_silent: held.load.silence.is_silent(now)
                    || zones.is_silent(&held.target.zone, now),
            });
            place(candidates, key.get(), now)
        };
        let chosen = choose(TargetRecord::is_open).or_else(|| choose(TargetRecord::is_last_resort));
        let Some(number) = chosen else {
            return refuse(ResetCause::NoTarget, is_whole);
        };
        let timeout = route.timeout;
        let Some(slot) = self.roster.get_mut(number) else {
            return refuse(ResetCause::NoTarget, is_whole);
        };
        slot.load.silence.note_opening(now);
        self.zones.note_opening(&slot.target.zone, now);
        let placement = match earlier {
            Some(_) => Placement::Moved,
            None => Placement::Placed,
        };
        let verdict = forward(slot, placement);
        let place = (number, slot.token);
        let signals = self.flows.open(head, place, timeout, now);
        apply(&mut self.roster, number, signals, now);
        verdict
    }

    /// A packet inside a flow: it goes where its token says.
    fn pass(&mut self, head: &PacketHeader, token: Token, now: Moment) -> Decision {
        let frontend = head.flow.frontend;
        let route = self.routes.as_ref().and_then(|r| r.find(frontend));
        let timeout = route.map_or(REQUEST_TIMEOUT, |route| route.timeout);
        if route.is_none() && self.removed.binary_search(&frontend).is_ok() && !head.flags.rst {
            return Decision::Reset(ResetCause::RouteRemoved);
        }
        let mut resolved = self.resolve(token, route);
        if resolved.is_some_and(|number| self.roster.is_over(number, now)) {
            // The sweep comes later; the caller waits now.
            self.ended.extend(self.roster.expire(now));
            let route = self.routes.as_ref().and_then(|r| r.find(frontend));
            resolved = self.resolve(token, route);
        }
        let Some(number) = resolved else {
            return self.pass_unknown(head, token, now);
        };
        let signals = self.flows.note(head, (number, token), timeout, now);
        apply(&mut self.roster, number, signals, now);
        if let Some(time) = signals.progress
            && self.progress.len() < PROGRESS_LIMIT
        {
            self.progress.push((number, time));
        }
        let Some(slot) = self.roster.get(number) else {
            return Decision::Drop(DropCause::TokenNotKnownYet);
        };
        Decision::Forward {
            address: slot.target.address,
            label: slot.target.label,
            token,
            placement: None,
        }
    }

    /// The target of a token; of several, the one whose service the route has.
    fn resolve(&self, token: Token, route: Option<&Route>) -> Option<TargetIndex> {
        let mut numbers = self.roster.with_token(token);
        let first = numbers.next()?;
        let fits = |number: &TargetIndex| {
            let slot = self.roster.get(*number);
            slot.zip(route)
                .is_some_and(|(slot, route)| route.has_service(&slot.target.service))
        };
        if fits(&first) {
            return Some(first);
        }
        Some(numbers.find(fits).unwrap_or(first))
    }

    /// A packet whose token no known target has.
    fn pass_unknown(&mut self, head: &PacketHeader, token: Token, now: Moment) -> Decision {
        if head.flags.rst {
            return Decision::Drop(DropCause::AlreadyEnded);
        }
        if self.roster.is_ended(token) {
            return Decision::Reset(ResetCause::TargetGone);
        }
        match self.strangers.is_dead(token, now, self.freshness) {
            true => Decision::Reset(ResetCause::UnknownToken),
            false => Decision::Drop(DropCause::TokenNotKnownYet),
        }
    }
}

/// Whether a service has another target that takes new flows and is not silent.
fn has_other(
    roster: &TargetTable,
    service: &ServiceName,
    number: TargetIndex,
    now: Moment,
) -> bool {
    roster
        .of_service(service)
        .any(|(other, slot)| other != number && slot.is_open() && !slot.load.silence.is_silent(now))
}

/// Refuses a new flow; only a current view knows that it can't be served.
fn refuse(cause: ResetCause, is_current: bool) -> Decision {
    match is_current {
        true => Decision::Reset(cause),
        false => Decision::Drop(DropCause::ViewNotCurrent),
    }
}

/// Passes an opening packet on.
fn forward(slot: &TargetRecord, placement: Placement) -> Decision {
    Decision::Forward {
        address: slot.target.address,
        label: slot.target.label,
        token: slot.token,
        placement: Some(placement),
    }
}

/// Takes over what a packet shows of its target.
fn apply(roster: &mut TargetTable, number: TargetIndex, signals: Signals, now: Moment) {
    if let Some(before) = signals.before {
        release(roster, before);
    }
    let Some(slot) = roster.get_mut(number) else {
        return;
    };
    let load = &mut slot.load;
    if signals.is_new {
        load.flows += 1;
    }
    if signals.is_ended {
        load.flows = load.flows.saturating_sub(1);
    }
    match (signals.was_busy, signals.is_busy) {
        (false, true) => load.busy += 1,
        (true, false) => load.busy = load.busy.saturating_sub(1),
        _ => {}
    }
    if signals.is_opened || signals.progress.is_some() {
        load.note_life(now);
    }
    if signals.has_request {
        load.silence.note_request(now);
    }
}

/// Gives back the load of a flow that was forgotten.
fn release(roster: &mut TargetTable, forgotten: Forgotten) {
    let Some(slot) = roster.get_mut(forgotten.slot) else {
        return;
    };
    if slot.token != forgotten.token {
        return;
    }
    if forgotten.busy.is_some() {
        slot.load.busy = slot.load.busy.saturating_sub(1);
    }
    if forgotten.is_removed && !forgotten.was_ended {
        slot.load.flows = slot.load.flows.saturating_sub(1);
    }
}
