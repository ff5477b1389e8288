//! Changes that a VM applies from the store and from peers, in any order of arrival.

use std::net::SocketAddr;

use bambooseam_entry::{Node, Source};
use bambooseam_replica::{Change, Changes};
use bambooseam_steer::{Decision, DropCause, ResetCause, Steering, SteeringSettings, Target};
use bambooseam_tests::steering::*;
use bambooseam_types::{Incarnation, Revision, TargetId, Token};

fn node() -> Node {
    Node::new(Steering::new(SteeringSettings {
        zone: "a".parse().expect("a zone"),
        flow_limit: 1_000,
        cold_policy: None,
        target_speed: true,
        evacuated_last_resort: true,
    }))
}

/// Returns the change that writes the entry of target `number` at `revision`.
fn entry(number: u8, revision: u64) -> Change {
    let text = format!(
        r#"{{"service": "orders", "address": "10.0.0.{number}:8080", "zone": "a",
            "config_version": "v1", "capacity": 2, "state": "ready", "warmup_left_ms": 0,
            "sequence": 1, "born": 1790000000000}}"#
    );
    Change {
        key: format!("servers/i-{number:08x}").into(),
        revision: Revision::from(revision),
        value: Some(text.into_bytes().into()),
    }
}

fn full_copy(upto: u64, list: Vec<Change>) -> Changes {
    Changes {
        era: None,
        kept: Vec::new(),
        gap: None,
        after: None,
        upto: Revision::from(upto),
        list,
    }
}

/// Returns the entries of targets 1 to 4. Of four targets, the removal of a single one does not
/// count as a lapse.
fn four_targets() -> Vec<Change> {
    (1..=4).map(|number| entry(number, 5)).collect()
}

/// Returns the entries of targets 1 to 4 without target 2.
fn three_targets() -> Vec<Change> {
    [1, 3, 4].map(|number| entry(number, 5)).into()
}

fn id(number: u8) -> TargetId {
    format!("i-{number:08x}").parse().expect("an id")
}

/// Token of the target that [`entry`] describes.
fn entry_token(number: u8) -> Token {
    let target = Target {
        start: Incarnation::from(1_790_000_000_000),
        ..target(number)
    };
    target.token()
}

fn takes_flows(node: &Node, number: u8) -> bool {
    let targets = node.steering().targets();
    let record = targets.find(&id(number)).and_then(|at| targets.get(at));
    record.is_some_and(|record| record.is_open())
}

#[test]
fn early_target_that_a_newer_copy_lacks_gets_no_new_flows() {
    let mut node = node();
    node.apply_early(&four_targets(), at(10));
    assert!(*node.forwarding().borrow() && !*node.ready().borrow());
    assert!(takes_flows(&node, 1) && takes_flows(&node, 2));
    // A peer that knows of the removal answers before the read of the store is complete.
    let peer: SocketAddr = "10.1.0.1:8166".parse().expect("an address");
    let newer = full_copy(9, three_targets());
    assert!(node.apply(newer, at(20), at(20), Source::Peer(peer)));
    assert!(takes_flows(&node, 1) && !takes_flows(&node, 2));
    node.sweep(at(500));
    let unchanged = Changes {
        after: Some(Revision::from(9)),
        ..full_copy(9, Vec::new())
    };
    assert!(node.apply(unchanged, at(2_100), at(2_100), Source::Peer(peer)));
    node.sweep(at(2_520));
    assert!(node.steering().targets().find(&id(2)).is_none());
    // The older result of that read must not restore the removed target.
    assert!(node.apply(
        full_copy(7, four_targets()),
        at(10),
        at(2_600),
        Source::Store
    ));
    assert!(!takes_flows(&node, 2));
}

/// A VM that starts reads an entry from the store that its first copy, from a peer, does not contain
/// yet, and must not reset the flows of that target.
#[test]
fn early_target_that_an_older_copy_lacks_keeps_its_flows() {
    let mut node = node();
    let mut early = four_targets();
    early.push(entry(5, 12));
    node.apply_early(&early, at(10));
    let peer: SocketAddr = "10.1.0.1:8166".parse().expect("an address");
    let older = full_copy(9, four_targets());
    assert!(node.apply(older, at(5), at(20), Source::Peer(peer)));
    node.sweep(at(1_000));
    assert!(takes_flows(&node, 5));
    let change = Changes {
        after: Some(Revision::from(9)),
        ..full_copy(12, vec![entry(5, 12)])
    };
    assert!(node.apply(change, at(1_100), at(1_100), Source::Peer(peer)));
    node.sweep(at(2_000));
    assert!(takes_flows(&node, 5));
}

#[test]
fn early_target_that_no_later_copy_contains_is_removed() {
    let mut node = node();
    let mut early = four_targets();
    early.push(entry(5, 12));
    node.apply_early(&early, at(10));
    let peer: SocketAddr = "10.1.0.1:8166".parse().expect("an address");
    let older = full_copy(9, four_targets());
    assert!(node.apply(older, at(5), at(20), Source::Peer(peer)));
    // The entry was removed between revisions 12 and 15.
    let later = full_copy(15, four_targets());
    assert!(node.apply(later, at(1_100), at(1_100), Source::Peer(peer)));
    assert!(!takes_flows(&node, 5));
    node.sweep(at(1_500));
    assert!(node.apply(
        full_copy(15, four_targets()),
        at(3_100),
        at(3_100),
        Source::Peer(peer)
    ));
    node.sweep(at(3_599));
    assert!(node.steering().targets().find(&id(5)).is_some());
    node.sweep(at(3_600));
    assert!(node.steering().targets().find(&id(5)).is_none());
}

/// A VM that follows a peer learns of a short outage only from its view, which is not confirmed
/// meanwhile. Targets whose entries lapsed before its first view publish them 2 s after the outage, and
/// their flows must not be reset before that.
#[test]
fn gap_after_the_first_view_postpones_the_reset_of_unknown_tokens() {
    let mut node = node();
    let peer: SocketAddr = "10.1.0.1:8166".parse().expect("an address");
    let confirm = |node: &mut Node, time| {
        let copy = full_copy(9, vec![entry(1, 5)]);
        assert!(node.apply(copy, at(time), at(time), Source::Peer(peer)));
        let packet = flow_packet(flow(1, ORDERS), target(2).token(), 101, 501, 30);
        node.steering_mut().decide(&packet, at(time))
    };
    let not_known_yet = Decision::Drop(DropCause::TokenNotKnownYet);
    for time in [0, 300].into_iter().chain((2_800..5_300).step_by(100)) {
        assert_eq!(confirm(&mut node, time), not_known_yet, "at {time}");
    }
    let unknown = Decision::Reset(ResetCause::UnknownToken);
    assert_eq!(confirm(&mut node, 5_300), unknown);
}

/// A VM that follows a peer learns of a second outage, before removed entries are back, only from its
/// view, which is not confirmed meanwhile.
#[test]
fn gap_in_the_view_postpones_the_end_of_targets_without_an_entry() {
    let mut node = node();
    let peer: SocketAddr = "10.1.0.1:8166".parse().expect("an address");
    let confirm = |node: &mut Node, time, list| {
        let copy = full_copy(5 + time, list);
        assert!(node.apply(copy, at(time), at(time), Source::Peer(peer)));
        node.sweep(at(time));
    };
    confirm(&mut node, 0, four_targets());
    for time in (1_000..=1_700).step_by(100) {
        confirm(&mut node, time, three_targets());
    }
    confirm(&mut node, 3_600, three_targets());
    let token = entry_token(2);
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    let decision = node.steering_mut().decide(&packet, at(3_610));
    assert!(decision.forwarded().is_some(), "{decision:?}");
}

#[test]
fn early_targets_are_ignored_once_a_copy_is_applied() {
    let mut node = node();
    assert!(node.apply(
        full_copy(9, vec![entry(1, 5)]),
        at(20),
        at(20),
        Source::Store
    ));
    node.apply_early(&[entry(2, 6)], at(30));
    assert!(node.steering().targets().find(&id(2)).is_none());
}

#[test]
fn restarted_read_keeps_only_the_targets_of_its_result() {
    let mut node = node();
    node.apply_early(&four_targets(), at(10));
    node.apply_early(&three_targets(), at(50));
    assert!(node.apply(full_copy(9, three_targets()), at(60), at(60), Source::Store));
    assert!(takes_flows(&node, 1) && !takes_flows(&node, 2));
}
