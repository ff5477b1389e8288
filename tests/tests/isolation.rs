//! A zone that is evacuated and then cut off: its VMs open flows there as a last resort or reject
//! them at once, and no VM that reaches the store or another zone does either.

use bambooseam_steer::{Decision, ResetCause, Steering, SteeringEvent, SteeringSettings, Target};
use bambooseam_tests::inputs::for_each_input;
use bambooseam_tests::steering::*;
use bambooseam_types::{Moment, Revision, Token, ZoneId};
use bolero::generator::produce;

/// When the zone is cut off, in milliseconds.
const CUT: u64 = 1_000;

/// When a VM that is cut off notices it: its call to the store has failed.
const NOTICED: u64 = CUT + 1_800;

fn zone(name: &str) -> ZoneId {
    name.parse().expect("a zone")
}

fn target_in(name: &str, number: u8) -> Target {
    Target {
        zone: zone(name),
        ..target(number)
    }
}

/// Returns two targets in each of zones `a`, `b` and `c`.
fn three_zones() -> Vec<Target> {
    let zones = ["a", "a", "b", "b", "c", "c"];
    let targets = zones.iter().zip(1..);
    targets
        .map(|(zone, number)| target_in(zone, number))
        .collect()
}

/// A VM of the evacuated zone `a`.
struct Vm {
    steering: Steering,
    opened: u16,
    /// Latest flow that was opened outside the zone without an answer.
    unanswered: Option<(u16, Token)>,
}

impl Vm {
    fn new(evacuated_last_resort: bool) -> Self {
        let mut steering = Steering::new(SteeringSettings {
            zone: zone("a"),
            flow_limit: 100_000,
            cold_policy: None,
            target_speed: true,
            evacuated_last_resort,
        });
        steering.set_routes(routes());
        for target in three_zones() {
            steering.put_target(target, at(0));
        }
        steering.record_sync(at(0));
        steering.evacuate(zone("a"), Revision::from(7), at(0));
        Self {
            steering,
            opened: 0,
            unanswered: None,
        }
    }

    /// Decides about the opening packet of a new flow.
    fn open(&mut self, now: u64) -> Decision {
        self.opened += 1;
        let packet = opening_packet(flow(self.opened, ORDERS), 0);
        self.steering.decide(&packet, at(now))
    }

    /// Opens a flow, and lets the target answer.
    fn open_answered(&mut self, now: u64) {
        let token = token_of(self.open(now));
        self.answer(token, now + 1);
    }

    /// Lets the target of the latest flow answer, and ends the flow.
    fn answer(&mut self, token: Token, now: u64) {
        let packet = flow_packet(flow(self.opened, ORDERS), token, 101, 1, 0);
        self.steering.decide(&packet, at(now));
        let fin = fin_packet(flow(self.opened, ORDERS), token, 1);
        self.steering.decide(&fin, at(now + 1));
    }

    /// Opens flows every 20 ms while nothing outside the zone answers.
    fn run_cut_off(&mut self, from: u64, until: u64) {
        for now in (from..until).step_by(20) {
            let decision = self.open(now);
            assert_ne!(self.zone_of(decision), Some(zone("a")), "at {now} ms");
            self.unanswered = Some((self.opened, token_of(decision)));
            if now % 500 == 0 {
                self.steering.sweep(at(now));
            }
        }
    }

    /// Serves until the cut, and then runs until the VM has noticed it.
    fn cut_off(&mut self) {
        for now in (0..CUT).step_by(20) {
            self.open_answered(now);
        }
        self.steering.record_sync(at(CUT));
        self.run_cut_off(CUT, NOTICED);
        self.steering.record_outage(at(NOTICED));
    }

    fn zone_of(&self, decision: Decision) -> Option<ZoneId> {
        let (_, token) = decision.forwarded()?;
        Some(zone_of(&self.steering, token))
    }
}

fn zone_of(steering: &Steering, token: Token) -> ZoneId {
    let index = steering.targets().with_token(token).next();
    let record = index.and_then(|index| steering.targets().get(index));
    record.expect("a target").target.zone.clone()
}

/// Opens 100 flows, one every 10 ms, of which only targets of zone `a` answer. Counts those in zone
/// `a`, in other zones, and reset ones.
fn count(vm: &mut Vm, from: u64) -> [u32; 3] {
    let mut counts = [0; 3];
    for step in 0..100 {
        let decision = vm.open(from + 10 * step);
        let at = match vm.zone_of(decision) {
            Some(opened) => usize::from(opened != zone("a")),
            None => 2,
        };
        if at == 0 {
            vm.answer(token_of(decision), from + 10 * step + 5);
        }
        counts[at] += 1;
    }
    counts
}

#[test]
fn isolated_vm_uses_its_evacuated_zone_as_a_last_resort() {
    let mut vm = Vm::new(true);
    vm.cut_off();
    assert!(vm.steering.is_isolated(at(NOTICED + 1)));
    let [own, others, reset] = count(&mut vm, NOTICED + 1);
    assert_eq!(reset, 0);
    assert!(others <= 1, "{others} probes in a second");
    assert!(own >= 99);
}

#[test]
fn isolated_vm_rejects_at_once_if_its_zone_is_no_last_resort() {
    let mut vm = Vm::new(false);
    vm.cut_off();
    let [own, others, reset] = count(&mut vm, NOTICED + 1);
    assert_eq!(own, 0);
    assert!(others <= 1 && reset >= 99, "{others} probes");
    let decision = vm.open(NOTICED + 1_100);
    assert_eq!(decision, Decision::Reset(ResetCause::Isolated));
}

#[test]
fn retransmission_moves_from_a_zone_out_of_reach_to_the_own_zone() {
    let mut vm = Vm::new(true);
    vm.cut_off();
    // Sent before the isolation was noticed.
    let number = vm.opened;
    let packet = opening_packet(flow(number, ORDERS), 1);
    let decision = vm.steering.decide(&packet, at(NOTICED + 180));
    assert_eq!(vm.zone_of(decision), Some(zone("a")));
}

#[test]
fn outage_of_the_store_alone_isolates_nobody() {
    let mut vm = Vm::new(true);
    for now in (0..20_000).step_by(50) {
        vm.open_answered(now);
        vm.steering.record_outage(at(now));
        if now % 500 == 0 {
            vm.steering.sweep(at(now));
        }
        assert!(!vm.steering.is_isolated(at(now)), "at {now} ms");
    }
}

#[test]
fn silent_zones_alone_isolate_nobody() {
    let mut vm = Vm::new(true);
    for now in (0..10_000).step_by(50) {
        vm.steering.record_sync(at(now));
        let decision = vm.open(now);
        assert_ne!(vm.zone_of(decision), Some(zone("a")), "at {now} ms");
        if now % 500 == 0 {
            vm.steering.sweep(at(now));
        }
    }
}

#[test]
fn isolation_ends_at_the_first_sign_from_outside() {
    let now = NOTICED + 100;
    type Sign = fn(&mut Vm, Moment);
    let synced: Sign = |vm, now| vm.steering.record_sync(now);
    let answered: Sign = |vm, now| vm.steering.record_outside_answer(now);
    let responded: Sign = |vm, now| {
        // A caller's packet shows that the target has answered its opening packet.
        let (number, token) = vm.unanswered.expect("a flow");
        let packet = flow_packet(flow(number, ORDERS), token, 101, 1, 0);
        vm.steering.decide(&packet, now);
    };
    for sign in [synced, answered, responded] {
        let mut vm = Vm::new(true);
        vm.cut_off();
        vm.open(now - 1);
        assert!(vm.steering.is_isolated(at(now)));
        sign(&mut vm, at(now));
        assert!(!vm.steering.is_isolated(at(now + 1)));
        let decision = vm.open(now + 1);
        assert_ne!(vm.zone_of(decision), Some(zone("a")));
    }
}

#[test]
fn isolation_is_reported_with_the_flows_that_it_opened() {
    let mut vm = Vm::new(true);
    vm.cut_off();
    let began = vm.steering.sweep(at(NOTICED + 1));
    let is_began = |event: &SteeringEvent| matches!(event, SteeringEvent::IsolationBegan { .. });
    assert!(began.iter().any(is_began));
    let [own, ..] = count(&mut vm, NOTICED + 2);
    vm.steering.record_sync(at(NOTICED + 1_100));
    let ended = vm.steering.sweep(at(NOTICED + 1_101));
    let opened = ended.iter().find_map(|event| match event {
        SteeringEvent::IsolationEnded { opened, .. } => Some(*opened),
        _ => None,
    });
    assert_eq!(opened, Some(own.into()));
}

#[test]
fn isolation_between_two_sweeps_is_reported_with_its_flows() {
    let mut vm = Vm::new(true);
    vm.cut_off();
    vm.open(NOTICED + 1);
    let decision = vm.open(NOTICED + 2);
    assert_eq!(vm.zone_of(decision), Some(zone("a")));
    vm.steering.record_sync(at(NOTICED + 10));
    let events = vm.steering.sweep(at(NOTICED + 20));
    let opened = events.iter().find_map(|event| match event {
        SteeringEvent::IsolationEnded { opened, .. } => Some(*opened),
        _ => None,
    });
    assert!(opened >= Some(1), "{events:?}");
}

#[test]
fn service_without_targets_in_the_zone_is_rejected_at_once() {
    let mut vm = Vm::new(true);
    for target in &three_zones()[..2] {
        vm.steering.invalidate_target(&target.id);
    }
    vm.cut_off();
    vm.open(NOTICED + 1);
    let decision = vm.open(NOTICED + 2);
    assert_eq!(decision, Decision::Reset(ResetCause::Isolated));
}

/// Time for which nothing may disturb a VM before evacuations bind it: the least of the users'
/// deployments.
const CONTACT_TIME: u64 = 4_000;

/// Longest time from the last confirmation of the view to the next one on a VM that reaches the
/// store: its follower notices after 1.15 s, and a call takes 50 ms.
const MAX_SYNC_INTERVAL: u64 = 1_200;

/// What happens in the next 100 ms.
#[derive(Debug, Clone, Copy)]
struct Turn {
    /// Whether the state of the cut, of the store and of the process changes; one in 32 does.
    cut: u8,
    store: u8,
    pause: u8,
    /// Whether the view is confirmed although it need not be yet.
    is_synced: bool,
    /// Whether an answer of the store that was on its way arrives after a cut has begun.
    is_late: bool,
    /// Whether a VM of another zone answers.
    is_called: bool,
}

type Draw = (u8, u8, u8, bool, bool, bool);

impl From<Draw> for Turn {
    fn from((cut, store, pause, is_synced, is_late, is_called): Draw) -> Self {
        Self {
            cut,
            store,
            pause,
            is_synced,
            is_late,
            is_called,
        }
    }
}

/// Plays turns on a VM of an evacuated zone, and returns the number of flows that it opened there.
fn play(turns: &[Draw]) -> u32 {
    let mut vm = Vm::new(true);
    let (mut now, mut synced, mut disturbed) = (0, 0, 0);
    let (mut is_cut, mut is_store_away, mut opened) = (false, false, 0);
    for turn in turns.iter().copied().map(Turn::from) {
        now += 100;
        if turn.pause < 4 {
            now += 1_000 + 1_000 * u64::from(turn.pause);
            disturbed = now;
            vm.steering.record_resumption(at(now));
        }
        if turn.cut < 8 {
            is_cut = !is_cut;
            if is_cut && turn.is_late {
                vm.steering.record_sync(at(now));
            }
        }
        if turn.store < 8 {
            is_store_away = !is_store_away;
        }
        let is_due = now - synced >= MAX_SYNC_INTERVAL;
        match is_cut || is_store_away {
            true if is_due => vm.steering.record_outage(at(now)),
            false if is_due || turn.is_synced => {
                synced = now;
                vm.steering.record_sync(at(now));
            }
            _ => {}
        }
        if is_cut {
            disturbed = now;
        } else if turn.is_called {
            vm.steering.record_outside_answer(at(now));
        }
        let decision = vm.open(now);
        if vm.zone_of(decision) == Some(zone("a")) {
            opened += 1;
            assert!(
                now - disturbed < CONTACT_TIME,
                "at {now} ms, last disturbed at {disturbed} ms"
            );
        }
        if let Some((_, token)) = decision.forwarded()
            && (!is_cut || zone_of(&vm.steering, token) == zone("a"))
        {
            vm.answer(token, now + 5);
        }
        if now % 500 == 0 {
            vm.steering.sweep(at(now + 10));
        }
    }
    opened
}

#[test]
fn no_vm_in_touch_opens_a_flow_in_an_evacuated_zone() {
    let generator = produce::<Vec<Draw>>().with().len(0..=400usize);
    let mut opened = 0;
    for_each_input(&generator, |turns| opened += play(turns));
    // The last resort is reached, so the check is not empty.
    assert!(opened > 100, "{opened} flows");
}
