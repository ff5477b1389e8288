//! Combines the parts of steering into one decision for each packet.
//!
//! [`Steering`] owns the routes, the target table, the flow table and the state of the failure
//! detectors. This module handles packets; the submodule `update` handles published documents and
//! the passing of time.

mod admitting;
mod asking;
mod coordination;
mod isolated;
mod opening;
mod signals;
mod speed;
mod stalled;
mod update;

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, TargetId, Token, ZoneId};

pub use self::admitting::AdmissionStats;
use self::admitting::Admissions;
pub use self::asking::AnswerOutcome;
use self::coordination::Coordination;
use self::opening::{select, select_below_limit};
use self::signals::apply_signals;
pub use self::speed::SpeedSummary;
use self::speed::Speeds;
use crate::cold_budget::{ColdBudgets, ColdPolicy};
use crate::evacuation::Evacuations;
use crate::flows::{FlowState, Flows};
use crate::isolation::Isolation;
use crate::missing_entry::{DELIVERY_TIME, REREGISTRATION_TIME, StoreOutage};
use crate::path::PathRecord;
use crate::resumption::Resumption;
use crate::target_table::{EntryStatus, TargetIndex, TargetRecord, TargetTable};
use crate::timing::ServiceTimings;
use crate::unknown_token::UnknownTokens;
use crate::zone::UnresponsiveZones;
use crate::zone_load::{Group, ZoneLoad};
use crate::{
    Decision, DropCause, Origin, PacketHeader, Placement, ResetCause, Route, Routes, SteeringEvent,
    Target, TokenForm,
};

/// Largest age at which a view counts as current: the largest age of a replica that may be followed
/// (1.15 s), plus one failed synchronisation round and one retry.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);

/// Request timeout on a route that this VM does not know.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest number of response times kept until they are drained: half a second of a VM that serves
/// 8,000 requests per second.
const MAX_RESPONSE_TIMES: usize = 4_096;

/// Settings of steering.
#[derive(Debug, Clone)]
pub struct SteeringSettings {
    /// Availability zone of this VM.
    pub zone: ZoneId,
    /// Largest number of flows in the flow table.
    pub flow_limit: usize,
    /// Margins of the limit on openings at cold targets; without them there is no limit.
    pub cold_policy: Option<ColdPolicy>,
    /// Whether placement follows the learned speeds of targets.
    pub target_speed: bool,
    /// Whether an isolated VM opens flows at the targets of its own zone if the zone is evacuated;
    /// otherwise it rejects them.
    pub evacuated_last_resort: bool,
}

/// How current the view is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Latest time up to which this VM has received everything published.
    pub synced: Option<Moment>,
    /// Value of `synced` after the first synchronisation, or after a later store outage.
    pub first_synced: Option<Moment>,
}

/// Steering state; decides for each packet whether it is forwarded, reset or dropped.
#[derive(Debug)]
pub struct Steering {
    settings: SteeringSettings,
    /// Form of the tokens that this VM writes.
    token_form: TokenForm,
    routes: Option<Routes>,
    /// Frontends whose route was removed, sorted.
    removed_frontends: Vec<SocketAddrV4>,
    targets: TargetTable,
    /// Targets that have ended since the last sweep.
    ended: Vec<TargetId>,
    /// Events since the last sweep.
    events: Vec<SteeringEvent>,
    /// Times from requests to the first sign of a response, since the last drain.
    response_times: Vec<(TargetIndex, Duration)>,
    flows: Flows,
    freshness: Freshness,
    outage: StoreOutage,
    unknown_tokens: UnknownTokens,
    zones: UnresponsiveZones,
    evacuations: Evacuations,
    isolation: Isolation,
    resumption: Resumption,
    paths: PathRecord,
    timings: ServiceTimings,
    cold_budgets: ColdBudgets,
    speeds: Speeds,
    /// Requests in progress of other VMs.
    zone_load: ZoneLoad,
    coordination: Coordination,
    admissions: Admissions,
    /// When flows that pass through other VMs were last looked for.
    moved_checked: Moment,
    /// End of the time in which large transfers may have filled the link of this VM.
    quiet_since: Moment,
}

impl Freshness {
    /// Whether the view is current, so that missing routes and targets do not exist.
    pub fn is_current(&self, now: Moment) -> bool {
        self.synced
            .is_some_and(|synced| now.since(synced) <= MAX_VIEW_AGE)
    }

    /// Whether an entry that was published half a second before `time` would have been received.
    pub(crate) fn would_show_return(&self, time: Moment) -> bool {
        self.synced
            .is_some_and(|synced| synced >= time.before(DELIVERY_TIME))
    }

    /// Whether entries that had lapsed before the first synchronisation, or in an outage soon after it,
    /// would have been published again and received by now.
    pub fn is_settled(&self) -> bool {
        let span = self.first_synced.zip(self.synced);
        span.is_some_and(|(first, synced)| synced >= first.after(REREGISTRATION_TIME))
    }
}

impl Steering {
    /// Creates steering without any routes or targets.
    pub fn new(settings: SteeringSettings) -> Self {
        Self {
            flows: Flows::new(settings.flow_limit),
            settings,
            token_form: TokenForm::default(),
            routes: None,
            removed_frontends: Vec::new(),
            targets: TargetTable::default(),
            ended: Vec::new(),
            events: Vec::new(),
            response_times: Vec::new(),
            freshness: Freshness::default(),
            outage: StoreOutage::default(),
            unknown_tokens: UnknownTokens::default(),
            zones: UnresponsiveZones::default(),
            evacuations: Evacuations::default(),
            isolation: Isolation::default(),
            resumption: Resumption::default(),
            paths: PathRecord::default(),
            timings: ServiceTimings::default(),
            cold_budgets: ColdBudgets::default(),
            speeds: Speeds::default(),
            zone_load: ZoneLoad::default(),
            coordination: Coordination::default(),
            admissions: Admissions::default(),
            moved_checked: Moment::default(),
            quiet_since: Moment::default(),
        }
    }

    /// How current the view is.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Whether routes and targets have been received, so that packets can be served.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && self.freshness.synced.is_some()
    }

    /// Table of the known targets.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Limits on openings at cold targets.
    pub fn cold_budgets(&self) -> &ColdBudgets {
        &self.cold_budgets
    }

    /// Number of flows in the flow table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Decides whether a packet is forwarded, reset or dropped.
    pub fn decide(&mut self, header: &PacketHeader, now: Moment) -> Decision {
        self.detect_pause(now);
        if header.is_forged() {
            return Decision::Drop(DropCause::Forged);
        }
        if header.is_opening() {
            return self.handle_opening(header, Origin::Local, now);
        }
        match header.token {
            Some(token) => self.handle_established(header, token, now),
            None if header.flags.rst => {
                self.admissions.withdraw(&header.flow, Origin::Local);
                Decision::Drop(DropCause::AlreadyEnded)
            }
            None => Decision::Reset(ResetCause::NoToken),
        }
    }

    /// Handles an opening packet that was received by this VM or by another one, which asks.
    fn handle_opening(&mut self, header: &PacketHeader, origin: Origin, now: Moment) -> Decision {
        if self.awaits_view(now) {
            return Decision::Drop(DropCause::ViewNotCurrent);
        }
        if origin == Origin::Local {
            if let Some(decision) = self.repeat_opening(header, now) {
                return decision;
            }
            if self.ask(header, now) {
                return Decision::Hold;
            }
        }
        let group = self.own_group(header);
        self.place_opening(header, origin, group, now)
    }

    /// Forwards a retransmitted opening packet to the target of the first transmission; `None` if it
    /// is not a retransmission, or if that target is unresponsive and there is another one.
    fn repeat_opening(&mut self, header: &PacketHeader, now: Moment) -> Option<Decision> {
        let (index, token) = self.flows.earlier_target(header, now)?;
        let route = self.routes.as_ref()?.find(header.flow.frontend)?;
        let service = route.service_of(header.flow.key())?;
        let record = self.targets.get(index)?;
        let selector = self.selector((service, header.flow.key()), None, now);
        let is_moved =
            record.load.responsiveness.is_confirmed(now) && selector.has_alternative(index);
        if record.token != token || is_moved {
            return None;
        }
        // The route may name another service than at the first transmission.
        let (service, budgets) = (&record.target.service, &mut self.cold_budgets);
        if record.load.is_cold(now) && !budgets.record_repeated(service, token, now) {
            return Some(Decision::Drop(DropCause::ColdLimit));
        }
        if let EntryStatus::Disputed { .. } = record.status {
            // The address may belong to a target of another service by now, while the target, if it
            // runs, has answered the first transmission.
            return Some(Decision::Drop(DropCause::EntryDisputed));
        }
        let decision = forward(record, self.token_form, Some(Placement::Retransmitted));
        let recounted = self.flows.record_repeated_opening(&header.flow);
        if let Some(record) = recounted.and_then(|index| self.targets.get_mut(index)) {
            record.load.busy += 1;
        }
        Some(decision)
    }

    /// Selects the target of a new flow, from one group of this zone's targets if `group` is set.
    /// The opening may wait, or is rejected, while its service is full.
    fn place_opening(
        &mut self,
        header: &PacketHeader,
        origin: Origin,
        group: Option<Group>,
        now: Moment,
    ) -> Decision {
        self.expire_load(now);
        let held = self.offer_opening(header, origin, group, now);
        held.unwrap_or_else(|| self.place_admitted(header, origin, group, now))
    }

    /// Selects the target of a new flow that neither waits nor is rejected because its service is
    /// full.
    fn place_admitted(
        &mut self,
        header: &PacketHeader,
        origin: Origin,
        group: Option<Group>,
        now: Moment,
    ) -> Decision {
        self.expire_load(now);
        let is_current = self.freshness.is_current(now);
        let Some(route) = self
            .routes
            .as_ref()
            .and_then(|r| r.find(header.flow.frontend))
        else {
            return reject(ResetCause::NoRoute, is_current);
        };
        // During a store outage target entries lapse, but routes do not.
        let is_settled = is_current && self.freshness.is_settled();
        let key = header.flow.key();
        let Some(service) = route.service_of(key) else {
            return reject(ResetCause::NoTarget, is_settled);
        };
        let selector = self.selector((service, key), group, now);
        let is_limited = route.latency_goal.is_some() && self.has_zone_view();
        let below_limit = is_limited.then(|| select_below_limit(&selector)).flatten();
        let Some(index) = below_limit.or_else(|| select(&selector)) else {
            return reject(ResetCause::NoTarget, is_settled);
        };
        if selector.is_out_of_reach(index)
            && header.is_first_opening()
            && self.rejects_isolated(now)
        {
            return Decision::Reset(ResetCause::Isolated);
        }
        match origin {
            Origin::Local => self.open_at(header, index, now),
            Origin::Vm(vm) => self.grant(vm, header, index, now),
        }
    }

    /// Opens a flow of this VM at a target.
    fn open_at(&mut self, header: &PacketHeader, index: TargetIndex, now: Moment) -> Decision {
        let earlier = self.flows.earlier_target(header, now);
        let route = self
            .routes
            .as_ref()
            .and_then(|r| r.find(header.flow.frontend));
        let timeout = route.map_or(DEFAULT_REQUEST_TIMEOUT, |route| route.timeout);
        // Elsewhere the counts say too little about how full a target is.
        let service = route.and_then(|route| route.service_of(header.flow.key()));
        let service = service.filter(|_| self.has_zone_view());
        let queue_timeout = service.and_then(|service| {
            let selector = self.selector((service, header.flow.key()), None, now);
            selector.queue_timeout(index)
        });
        self.record_isolated(index, now);
        let Some(record) = self.targets.get_mut(index) else {
            return Decision::Drop(DropCause::ViewNotCurrent);
        };
        if record.load.is_cold(now) {
            self.cold_budgets
                .record(&record.target.service, record.token, now);
        }
        record
            .load
            .responsiveness
            .record_opening(now, queue_timeout);
        record.speed.record_opening(now);
        self.zones.record_opening(&record.target.zone, now);
        if earlier.is_none() {
            self.paths.record_sent(&record.target.zone, now);
        }
        let placement = match earlier {
            Some(_) => Placement::Moved,
            None => Placement::Placed,
        };
        let decision = forward(record, self.token_form, Some(placement));
        let assigned = (index, record.token);
        let signals = self.flows.open(header, assigned, timeout, now);
        if earlier.is_some() {
            self.flows.record_repeated_opening(&header.flow);
        }
        apply_signals(&mut self.targets, index, signals, now);
        decision
    }

    /// Forwards a packet of an established flow to the target of its token.
    fn handle_established(&mut self, header: &PacketHeader, token: Token, now: Moment) -> Decision {
        let frontend = header.flow.frontend;
        let flow = self.flows.get(&header.flow);
        let token = self.start_token(header, flow, token);
        let opened = flow.and_then(|flow| flow.opened_token(token));
        let opened = opened.filter(|opened| *opened != token && self.targets.is_known(*opened));
        let token = opened.unwrap_or(token);
        let route = self.routes.as_ref().and_then(|r| r.find(frontend));
        let timeout = route.map_or(DEFAULT_REQUEST_TIMEOUT, |route| route.timeout);
        // By a view that is not current, the route may have been added again.
        if route.is_none()
            && self.removed_frontends.binary_search(&frontend).is_ok()
            && !header.flags.rst
            && self.freshness.is_current(now)
        {
            return Decision::Reset(ResetCause::RouteRemoved);
        }
        let mut resolved = self.resolve(header, token, route);
        if resolved.is_some_and(|index| self.targets.is_expired(index, self.freshness, now)) {
            // The next sweep would expire the target too late: the caller is waiting now.
            self.ended.extend(self.targets.expire(self.freshness, now));
            let route = self.routes.as_ref().and_then(|r| r.find(frontend));
            resolved = self.resolve(header, token, route);
        }
        if let Some(rival) = self.rival(token, frontend) {
            return forward_to_rival(rival, self.token_form);
        }
        let Some(index) = resolved else {
            return self.handle_unknown_token(header, token, now);
        };
        if let Some(record) = self.targets.get(index)
            && record.token != token
        {
            // The flow may have ended with an earlier start, so its packets are no load of the
            // target and no evidence about it. A target that holds the flow responds with the later
            // token, which the caller's next packets carry.
            return forward(record, self.token_form, Some(Placement::Continued));
        }
        let evidence_since = self.evidence_since(index);
        let signals =
            self.flows
                .record_packet(header, (index, token), timeout, evidence_since, now);
        if signals.was_busy && !signals.is_busy {
            self.coordination.record_ended();
        }
        self.report_stall_end(index, signals);
        apply_signals(&mut self.targets, index, signals, now);
        if self.is_stalled(header, index, signals, now) {
            self.reset_stalled(header, now);
            return Decision::Reset(ResetCause::TargetStalled);
        }
        if self.targets.is_expired(index, self.freshness, now) {
            // The packet is the retransmission that shows that a target without an entry has ended.
            self.ended.extend(self.targets.expire(self.freshness, now));
            if self.targets.get(index).is_none() {
                return self.handle_unknown_token(header, token, now);
            }
        }
        self.observe_speed(index, frontend, signals, now);
        self.observe(index, signals, now);
        let Some(record) = self.targets.get(index) else {
            return Decision::Drop(DropCause::TokenNotKnownYet);
        };
        let placement = opened.map(|_| Placement::Continued);
        forward(record, self.token_form, placement)
    }

    /// Token of the start that a packet names with `token`.
    pub(crate) fn named_start(&self, header: &PacketHeader, token: Token) -> Token {
        self.start_token(header, self.flows.get(&header.flow), token)
    }

    /// Token of the start that a token names, in the form in which VMs name starts; the token itself if
    /// that is not known. Two starts of a target may have the same numbered token, but the state of a
    /// flow that has passed through this VM names its start.
    fn start_token(&self, header: &PacketHeader, flow: Option<&FlowState>, token: Token) -> Token {
        if let Some(flow) = flow
            && self.targets.is_token_of(token, flow.target, flow.token)
        {
            return flow.token;
        }
        let routes = self.routes.as_ref();
        let route = routes.and_then(|routes| routes.find(header.flow.frontend));
        let named = self.resolve(header, token, route);
        let record = named.and_then(|index| self.targets.get(index));
        let record = record.filter(|record| record.has_token(token));
        record.map_or(token, |record| record.token)
    }

    /// Target of a token; of several targets, the one that has the flow at this VM, or the first one
    /// whose service belongs to the route. A target that has started again may hold flows with the
    /// token of another start, which this VM need not know.
    fn resolve(
        &self,
        header: &PacketHeader,
        token: Token,
        route: Option<&Route>,
    ) -> Option<TargetIndex> {
        let mut indexes = self.targets.with_token(token);
        let Some(first) = indexes.next() else {
            let is_match = |service: &_| route.is_none_or(|route| route.has_service(service));
            return self.targets.other_start(token, is_match);
        };
        if indexes.clone().next().is_some()
            && let Some(index) = self.flows.target_of(header, token)
            && self.targets.with_token(token).any(|other| other == index)
        {
            return Some(index);
        }
        let is_match = |index: &TargetIndex| {
            let record = self.targets.get(*index);
            record
                .zip(route)
                .is_some_and(|(record, route)| route.has_service(&record.target.service))
        };
        if is_match(&first) {
            return Some(first);
        }
        Some(indexes.find(is_match).unwrap_or(first))
    }

    /// Start with a token that contradicts the known start under its identifier. A known target with
    /// this token takes precedence if it has responded, or belongs to the route.
    fn rival(&self, token: Token, frontend: SocketAddrV4) -> Option<&Target> {
        let any = self.targets.rival(token, |_| true)?;
        let route = self.routes.as_ref().and_then(|r| r.find(frontend));
        let is_match = |service: &_| route.is_some_and(|route| route.has_service(service));
        let indexes = self.targets.with_token(token);
        let records = indexes.filter_map(|index| self.targets.get(index));
        let mut is_known = false;
        for record in records {
            if is_match(&record.target.service) || record.load.last_response.is_some() {
                return None;
            }
            is_known = true;
        }
        let rival = self.targets.rival(token, is_match);
        rival.or_else(|| (!is_known).then_some(any))
    }

    /// Handles a packet whose token belongs to no known target.
    fn handle_unknown_token(
        &mut self,
        header: &PacketHeader,
        token: Token,
        now: Moment,
    ) -> Decision {
        if header.flags.rst {
            return Decision::Drop(DropCause::AlreadyEnded);
        }
        if self.targets.is_gone(token) {
            return Decision::Reset(ResetCause::TargetGone);
        }
        match self.unknown_tokens.is_ended(token, now, self.freshness) {
            true => Decision::Reset(ResetCause::UnknownToken),
            false => Decision::Drop(DropCause::TokenNotKnownYet),
        }
    }
}

/// Rejects a new flow: with a reset if the view is complete enough to be certain (`is_certain`)
/// that the flow cannot be served. Otherwise the packet is dropped, so that the caller retransmits.
fn reject(cause: ResetCause, is_certain: bool) -> Decision {
    match is_certain {
        true => Decision::Reset(cause),
        false => Decision::Drop(DropCause::ViewNotCurrent),
    }
}

/// Forwards a packet to a target; `placement` tells how the target was found.
fn forward(record: &TargetRecord, form: TokenForm, placement: Option<Placement>) -> Decision {
    Decision::Forward {
        address: record.target.address,
        label: record.target.label,
        token: record.token_in(form),
        placement,
    }
}

/// Forwards a packet to a start that contradicts the known start under its identifier. Its response
/// times and load belong to no known target.
fn forward_to_rival(target: &Target, form: TokenForm) -> Decision {
    Decision::Forward {
        address: target.address,
        label: target.label,
        token: target.token_in(form),
        placement: None,
    }
}
