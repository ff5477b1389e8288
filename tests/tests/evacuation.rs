//! Evacuated zones: no new flow reaches a target there, and everything else goes on.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_entry::pause::answered_at;
use bambooseam_entry::{Node, Source};
use bambooseam_replica::{Change, Changes};
use bambooseam_steer::{
    Decision, DropCause, Placement, ResetCause, Steering, SteeringSettings, Target,
};
use bambooseam_tests::steering::*;
use bambooseam_types::{Era, Revision, Token, ZoneId};

fn zone(name: &str) -> ZoneId {
    name.parse().expect("a zone")
}

/// Returns target `number` of `orders` in a zone.
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

fn evacuate(steering: &mut Steering, name: &str, now: u64) {
    assert!(steering.evacuate(zone(name), Revision::from(7), at(now)));
}

fn zone_of(steering: &Steering, token: Token) -> String {
    let index = steering.targets().with_token(token).next();
    let record = index.and_then(|index| steering.targets().get(index));
    record.expect("a target").target.zone.to_string()
}

fn placement_of(decision: Decision) -> Option<Placement> {
    match decision {
        Decision::Forward { placement, .. } => placement,
        _ => None,
    }
}

/// Opens flow `number` at `now`, and returns the zone of its target.
fn open(steering: &mut Steering, number: u16, now: u64) -> String {
    let decision = steering.decide(&opening_packet(flow(number, ORDERS), 0), at(now));
    zone_of(steering, token_of(decision))
}

/// Opens flow `number` at `now`, and lets the target answer.
fn open_answered(steering: &mut Steering, number: u16, now: u64) -> Token {
    let flow = flow(number, ORDERS);
    let token = token_of(steering.decide(&opening_packet(flow, 0), at(now)));
    steering.decide(&flow_packet(flow, token, 101, 1, 0), at(now + 1));
    token
}

#[test]
fn nothing_new_is_opened_in_an_evacuated_zone_until_it_returns() {
    let mut steering = steering(three_zones());
    assert_eq!(open(&mut steering, 1, 0), "a");
    evacuate(&mut steering, "a", 10);
    assert!(steering.is_evacuated(&zone("a")) && !steering.is_evacuated(&zone("b")));
    for number in 2..200 {
        let now = 10 + u64::from(number) * 20;
        open_answered(&mut steering, number, now);
        let flow = flow(number, ORDERS);
        let token = token_of(steering.decide(&opening_packet(flow, 1), at(now + 2)));
        assert_ne!(zone_of(&steering, token), "a", "flow {number}");
        steering.sweep(at(now + 3));
    }
    let evacuated = steering.readmit(&zone("a"), at(5_000));
    assert_eq!(evacuated.map(|time| time.as_millis()), Some(4_990));
    assert_eq!(open(&mut steering, 300, 5_001), "a");
    assert_eq!(steering.readmit(&zone("a"), at(5_002)), None);
}

#[test]
fn open_flows_of_an_evacuated_zone_continue_and_are_counted_by_zone() {
    let mut steering = steering(three_zones());
    let token = open_answered(&mut steering, 1, 0);
    evacuate(&mut steering, "a", 10);
    for step in 0..20 {
        let packet = flow_packet(flow(1, ORDERS), token, 101 + step, 1 + step, 1);
        let decision = steering.decide(&packet, at(100 + u64::from(step) * 300));
        assert_eq!(token_of(decision), token);
    }
    let count = |steering: &Steering, name: &str| {
        let zone = zone(name);
        let flows = steering.zone_flows();
        flows
            .iter()
            .find(|(other, _)| **other == zone)
            .expect("the zone")
            .1
    };
    assert_eq!((count(&steering, "a"), count(&steering, "b")), (1, 0));
    steering.decide(&fin_packet(flow(1, ORDERS), token, 30), at(7_000));
    assert_eq!(count(&steering, "a"), 0);
}

#[test]
fn callers_of_an_evacuated_zone_are_spread_over_all_other_zones() {
    let mut steering = steering(three_zones());
    evacuate(&mut steering, "a", 0);
    let mut counts = [0, 0];
    for number in 1..=40 {
        counts[usize::from(open(&mut steering, number, 10) == "c")] += 1;
    }
    assert_eq!(counts, [20, 20]);
}

#[test]
fn retransmission_stays_where_the_first_transmission_was_placed_before_the_evacuation() {
    // If two targets accepted the packet, the reset of one would break the flow at the other.
    let mut steering = steering(three_zones());
    let flow = flow(1, ORDERS);
    let token = token_of(steering.decide(&opening_packet(flow, 0), at(0)));
    assert_eq!(zone_of(&steering, token), "a");
    evacuate(&mut steering, "a", 50);
    for (retransmission, now) in [(1, 200), (2, 600), (3, 1_999)] {
        let decision = steering.decide(&opening_packet(flow, retransmission), at(now));
        assert_eq!(token_of(decision), token);
    }
    // After 2 s the same ports belong to another flow.
    let decision = steering.decide(&opening_packet(flow, 0), at(2_001));
    assert_ne!(zone_of(&steering, token_of(decision)), "a");
}

#[test]
fn retransmission_never_moves_into_an_evacuated_zone() {
    let mut steering = steering([target_in("a", 1), target_in("b", 2)]);
    evacuate(&mut steering, "b", 0);
    // Two flows find the only other target unresponsive.
    for number in [1, 2] {
        assert_eq!(open(&mut steering, number, 0), "a");
    }
    for (retransmission, now) in [(1, 200), (2, 600)] {
        for number in [1, 2] {
            let packet = opening_packet(flow(number, ORDERS), retransmission);
            let decision = steering.decide(&packet, at(now));
            assert_eq!(zone_of(&steering, token_of(decision)), "a");
            // A packet that counts as moved would begin the flow anew.
            assert_eq!(placement_of(decision), Some(Placement::Retransmitted));
        }
    }
    // Once the zone has returned, the retransmissions move.
    steering.readmit(&zone("b"), at(700));
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 3), at(701));
    assert_eq!(placement_of(decision), Some(Placement::Moved));
}

#[test]
fn retransmission_leaves_an_unresponsive_target_of_an_evacuated_zone() {
    let mut steering = steering(
        three_zones()
            .into_iter()
            .filter(|target| target.zone == zone("b") || target.id == target_in("a", 1).id),
    );
    for number in [1, 2, 3] {
        assert_eq!(open(&mut steering, number, 0), "a");
    }
    evacuate(&mut steering, "a", 10);
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 1), at(200));
    assert_eq!(zone_of(&steering, token_of(decision)), "b");
}

#[test]
fn targets_and_zones_that_do_not_answer_are_not_probed_while_evacuated() {
    let mut steering = steering([target_in("b", 1), target_in("b", 2), target_in("c", 3)]);
    // The targets of zone b leave flows unanswered, so that the zone is unresponsive.
    for number in 1..=20 {
        open(&mut steering, number, 0);
    }
    steering.sweep(at(500));
    evacuate(&mut steering, "b", 600);
    let mut number = 100;
    for now in (700..20_000).step_by(100) {
        number += 1;
        assert_eq!(open(&mut steering, number, now), "c", "at {now} ms");
        steering.sweep(at(now + 1));
    }
}

#[test]
fn fallback_targets_of_an_evacuated_zone_take_nothing() {
    let mut steering = steering([target_in("b", 1)]);
    steering.record_sync(at(5_000));
    // The entry is removed without notice: the target is the last resort of its service.
    let removed = steering.remove_targets(&[target_in("b", 1).id], at(5_000));
    assert_eq!(removed.len(), 1);
    assert_eq!(open(&mut steering, 1, 5_010), "b");
    evacuate(&mut steering, "b", 5_020);
    let decision = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(5_030));
    assert_eq!(decision, Decision::Reset(ResetCause::NoTarget));
}

#[test]
fn service_with_evacuated_targets_only_is_reset_at_once() {
    let mut steering = steering([target_in("b", 1), target_in("c", 2)]);
    evacuate(&mut steering, "b", 0);
    evacuate(&mut steering, "c", 0);
    let packet = opening_packet(flow(1, ORDERS), 0);
    // A VM that has just started cannot know whether other targets are about to be published.
    assert_eq!(
        steering.decide(&packet, at(10)),
        Decision::Drop(DropCause::ViewNotCurrent)
    );
    steering.record_sync(at(3_000));
    assert_eq!(
        steering.decide(&packet, at(3_010)),
        Decision::Reset(ResetCause::NoTarget)
    );
    steering.readmit(&zone("c"), at(3_020));
    assert_eq!(open(&mut steering, 2, 3_030), "c");
}

#[test]
fn rewritten_evacuation_keeps_its_time() {
    let mut steering = steering(three_zones());
    evacuate(&mut steering, "b", 10);
    assert!(!steering.evacuate(zone("b"), Revision::from(9), at(90)));
    let evacuations: Vec<_> = steering.evacuations().iter().cloned().collect();
    assert_eq!(evacuations.len(), 1);
    assert_eq!(
        (evacuations[0].revision.get(), evacuations[0].since),
        (9, at(10))
    );
}

/// A VM in zone `a` with documents from the store or from peers.
struct Vm {
    node: Node,
    opened: u16,
}

const PEER: &str = "10.1.0.1:8166";

impl Vm {
    fn new() -> Self {
        Self {
            node: Node::new(Steering::new(SteeringSettings {
                zone: zone("a"),
                flow_limit: 1_000,
                cold_policy: None,
                target_speed: true,
                evacuated_last_resort: true,
            })),
            opened: 0,
        }
    }

    fn apply(&mut self, changes: Changes, now: u64, source: Source) {
        assert!(self.node.apply(changes, at(now), at(now), source));
    }

    fn is_evacuated(&self, name: &str) -> bool {
        self.node.steering().is_evacuated(&zone(name))
    }

    /// Opens a flow, and returns the zone of its target.
    fn open(&mut self, now: u64) -> String {
        self.opened += 1;
        open(self.node.steering_mut(), self.opened, now)
    }

    /// Answers the request of another VM for changes, as a peer.
    fn answer(&self, other: &Self) -> Changes {
        let held = other.node.replica().held();
        self.node.replica().changes_since(&held).expect("a copy")
    }
}

fn peer() -> Source {
    Source::Peer(PEER.parse::<SocketAddr>().expect("an address"))
}

fn change(key: &str, revision: u64, value: Option<&str>) -> Change {
    Change {
        key: key.into(),
        revision: Revision::from(revision),
        value: value.map(|value| value.as_bytes().into()),
    }
}

fn changes(era: u64, after: Option<u64>, upto: u64, list: Vec<Change>) -> Changes {
    Changes {
        era: Some(Era::from(era)),
        after: after.map(Revision::from),
        upto: Revision::from(upto),
        list,
        kept: Vec::new(),
        gap: None,
    }
}

/// Returns the documents of a configuration and a target in each of zones `a` and `b`.
fn documents() -> Vec<Change> {
    let entry = |number: u8, zone: &str, revision: u64| {
        let text = format!(
            r#"{{"service": "orders", "address": "10.0.0.{number}:8080", "zone": "{zone}",
                "config_version": "v1", "capacity": 2, "state": "ready", "warmup_left_ms": 0,
                "sequence": 1, "born": 1790000000000}}"#
        );
        change(&format!("servers/i-{number:08x}"), revision, Some(&text))
    };
    let config = r#"{"config_version": 3, "routes": [{"name": "r", "host": "198.18.0.1",
        "prefix": "/443/", "timeout_ms": 1000, "service": "orders"}]}"#;
    vec![
        change("op/config", 3, Some(config)),
        entry(1, "a", 4),
        entry(2, "b", 5),
    ]
}

/// Returns the documents with an evacuation of zone `a`.
fn evacuated_documents() -> Vec<Change> {
    let mut list = documents();
    list.insert(1, change("op/evacuate/a", 6, Some("{}")));
    list
}

#[test]
fn evacuation_of_the_first_copy_is_in_force_before_the_first_opening() {
    for source in [Source::Store, peer()] {
        let mut vm = Vm::new();
        vm.node.apply_early(&documents()[1..], at(5));
        let decision = vm
            .node
            .steering_mut()
            .decide(&opening_packet(flow(900, ORDERS), 0), at(6));
        assert_eq!(decision, Decision::Drop(DropCause::ViewNotCurrent));
        vm.apply(changes(0, None, 6, evacuated_documents()), 10, source);
        assert!(vm.is_evacuated("a"));
        assert_eq!(vm.open(11), "b");
    }
}

#[test]
fn evacuation_and_return_are_applied_in_one_batch_with_other_documents() {
    let mut vm = Vm::new();
    vm.apply(changes(0, None, 5, documents()), 10, Source::Store);
    assert_eq!(vm.open(11), "a");
    let list = vec![change("op/evacuate/a", 6, Some("nonsense"))];
    vm.apply(changes(0, Some(5), 6, list), 20, Source::Store);
    assert_eq!(vm.open(21), "b");
    // Removed and written again: the last change of the batch counts.
    let list = vec![
        change("op/evacuate/a", 7, None),
        change("op/evacuate/b", 8, Some("")),
        change("op/evacuate/b", 9, None),
    ];
    vm.apply(changes(0, Some(6), 9, list), 30, peer());
    assert!(!vm.is_evacuated("a") && !vm.is_evacuated("b"));
    assert_eq!(vm.open(31), "a");
}

#[test]
fn invalid_zone_names_are_ignored() {
    let mut vm = Vm::new();
    let mut list = documents();
    list.push(change("op/evacuate/", 6, Some("{}")));
    list.push(change("op/evacuate/a b", 7, Some("{}")));
    list.push(change("op/other", 8, Some("{}")));
    vm.apply(changes(0, None, 8, list), 10, Source::Store);
    assert_eq!(vm.node.steering().evacuations().iter().count(), 0);
    assert_eq!(vm.open(11), "a");
}

#[test]
fn vm_that_starts_from_a_lagging_peer_learns_of_the_evacuation_later() {
    let mut ahead = Vm::new();
    ahead.apply(
        changes(0, None, 6, evacuated_documents()),
        10,
        Source::Store,
    );
    let mut behind = Vm::new();
    behind.apply(changes(0, None, 5, documents()), 10, Source::Store);
    let mut started = Vm::new();
    started.apply(behind.answer(&started), 20, peer());
    assert!(!started.is_evacuated("a"));
    started.apply(ahead.answer(&started), 30, peer());
    assert!(started.is_evacuated("a"));
    // An answer of the lagging peer does not readmit the zone.
    let held = Default::default();
    let late = behind.node.replica().changes_since(&held).expect("a copy");
    started.apply(late, 40, peer());
    assert!(started.is_evacuated("a"));
    assert_eq!(started.open(41), "b");
}

#[test]
fn return_reaches_a_vm_that_lags_behind_the_kept_removals() {
    let mut reader = Vm::new();
    reader.apply(
        changes(0, None, 6, evacuated_documents()),
        10,
        Source::Store,
    );
    let mut lagging = Vm::new();
    lagging.apply(reader.answer(&lagging), 20, peer());
    assert!(lagging.is_evacuated("a"));
    // More removals than a replica keeps follow the return, so that a full copy is needed.
    let mut list = vec![change("op/evacuate/a", 7, None)];
    for number in 0..2_000 {
        list.push(change(
            &format!("servers/i-1{number:07x}"),
            8 + number,
            None,
        ));
    }
    reader.apply(changes(0, Some(6), 2_007, list), 30, Source::Store);
    let update = reader.answer(&lagging);
    assert_eq!(update.after, None);
    lagging.apply(update, 40, peer());
    assert!(!lagging.is_evacuated("a"));
    assert_eq!(lagging.open(41), "a");
}

#[test]
fn store_from_an_older_copy_readmits_no_zone_for_a_limited_time() {
    let mut vm = Vm::new();
    vm.apply(
        changes(0, None, 6, evacuated_documents()),
        10,
        Source::Store,
    );
    vm.apply(changes(1, None, 5, documents()), 100, Source::Store);
    assert!(vm.is_evacuated("a"));
    // A VM that starts from the copy learns of the evacuation from a peer, and forgets it as well.
    let mut started = Vm::new();
    started.apply(changes(1, None, 5, documents()), 200, Source::Store);
    assert!(!started.is_evacuated("a"));
    started.apply(vm.answer(&started), 300, peer());
    assert!(started.is_evacuated("a"));
    for now in (400..10_000).step_by(400) {
        for vm in [&mut vm, &mut started] {
            vm.node.sweep(at(now));
            assert!(vm.is_evacuated("a"), "at {now} ms");
        }
    }
    for vm in [&mut vm, &mut started] {
        vm.node.sweep(at(10_400));
        assert!(!vm.is_evacuated("a"));
        assert_eq!(vm.open(10_401), "a");
    }
}

#[test]
fn rewritten_evacuation_stays_in_force_after_the_time_limit() {
    let mut vm = Vm::new();
    vm.apply(
        changes(0, None, 6, evacuated_documents()),
        10,
        Source::Store,
    );
    vm.apply(changes(1, None, 5, documents()), 100, Source::Store);
    let list = vec![change("op/evacuate/a", 6, Some("{}"))];
    vm.apply(changes(1, Some(5), 6, list), 2_000, Source::Store);
    vm.node.sweep(at(30_000));
    assert!(vm.is_evacuated("a"));
    let list = vec![change("op/evacuate/a", 7, None)];
    vm.apply(changes(1, Some(6), 7, list), 31_000, Source::Store);
    assert!(!vm.is_evacuated("a"));
}

#[test]
fn removal_after_the_return_of_the_store_ends_a_kept_evacuation() {
    let mut vm = Vm::new();
    vm.apply(
        changes(0, None, 6, evacuated_documents()),
        10,
        Source::Store,
    );
    vm.apply(changes(1, None, 5, documents()), 100, Source::Store);
    let list = vec![change("op/evacuate/a", 6, None)];
    vm.apply(changes(1, Some(5), 6, list), 200, Source::Store);
    assert!(!vm.is_evacuated("a"));
}

#[test]
fn stale_vm_keeps_the_evacuation_and_the_return_that_it_knows() {
    let mut vm = Vm::new();
    vm.apply(
        changes(0, None, 6, evacuated_documents()),
        10,
        Source::Store,
    );
    vm.node.record_outage(at(20));
    for now in (1_000..60_000).step_by(1_000) {
        vm.node.sweep(at(now));
        assert_eq!(vm.open(now), "b");
    }
}

/// Returns a VM that was paused from 1 s to 7 s, with a view of 900 ms.
fn paused_vm() -> Vm {
    let mut vm = Vm::new();
    vm.apply(changes(0, None, 5, documents()), 900, Source::Store);
    vm.node.sweep(at(1_000));
    assert_eq!(vm.open(1_001), "a");
    vm.node.record_turn(at(7_000));
    vm
}

#[test]
fn answer_that_waited_during_a_pause_confirms_nothing_later_than_its_call() {
    let max_time = Duration::from_millis(1_400);
    for (elapsed, expected) in [(0, 0), (800, 800), (1_450, 1_450), (1_601, 0), (6_000, 0)] {
        let answered = answered_at(at(500), at(500 + elapsed), max_time);
        assert_eq!(answered, at(500 + expected), "{elapsed} ms");
    }
}

#[test]
fn openings_wait_for_a_current_view_after_a_pause() {
    // Otherwise a VM would place what it received meanwhile by the view from before the pause.
    let mut vm = paused_vm();
    let opening = opening_packet(flow(500, ORDERS), 0);
    let decide = |vm: &mut Vm, now| vm.node.steering_mut().decide(&opening, at(now));
    let dropped = Decision::Drop(DropCause::ViewNotCurrent);
    assert_eq!(decide(&mut vm, 7_000), dropped);
    // An answer from before the pause does not renew the view.
    let none = changes(0, Some(5), 5, Vec::new());
    assert!(vm.node.apply(none, at(1_000), at(7_001), Source::Store));
    assert_eq!(decide(&mut vm, 7_002), dropped);
    let list = vec![change("op/evacuate/a", 6, Some("{}"))];
    vm.apply(changes(0, Some(5), 6, list), 7_010, Source::Store);
    assert_eq!(vm.open(7_011), "b");
}

#[test]
fn vm_without_a_current_view_places_openings_again_after_a_time() {
    let mut vm = paused_vm();
    vm.node.sweep(at(7_500));
    assert!(vm.node.steering().awaits_view(at(7_999)));
    assert_eq!(vm.open(8_000), "a");
}

#[test]
fn short_pause_and_open_flows_are_served_at_once() {
    let mut vm = Vm::new();
    vm.apply(changes(0, None, 5, documents()), 900, Source::Store);
    vm.node.sweep(at(1_000));
    let token = open_answered(vm.node.steering_mut(), 400, 1_001);
    vm.node.record_turn(at(2_400));
    assert_eq!(vm.open(2_400), "a");
    vm.node.record_turn(at(9_000));
    let packet = flow_packet(flow(400, ORDERS), token, 101, 1, 1);
    let decision = vm.node.steering_mut().decide(&packet, at(9_000));
    assert_eq!(token_of(decision), token);
}
