//! What a VM takes over from the store and from peers, and in which order.

use std::net::SocketAddr;

use bambooseam_entry::{Node, Source};
use bambooseam_replica::{Change, Changes};
use bambooseam_steer::{Steering, SteeringSettings};
use bambooseam_tests::steering::*;
use bambooseam_types::{Revision, TargetId};

fn node() -> Node {
    Node::new(Steering::new(SteeringSettings {
        zone: "a".parse().expect("a zone"),
        flow_limit: 1_000,
    }))
}

/// The entry of target `number`.
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

fn whole(upto: u64, list: Vec<Change>) -> Changes {
    Changes {
        after: None,
        upto: Revision::from(upto),
        list,
    }
}

/// Entries of targets 1 to 4, so that one of them that goes is no lapse; or without target 2.
fn four() -> Vec<Change> {
    (1..=4).map(|number| entry(number, 5)).collect()
}

fn three() -> Vec<Change> {
    [1, 3, 4].map(|number| entry(number, 5)).into()
}

fn id(number: u8) -> TargetId {
    format!("i-{number:08x}").parse().expect("an id")
}

fn takes_flows(node: &Node, number: u8) -> bool {
    let roster = node.steering().targets();
    let slot = roster.find(&id(number)).and_then(|at| roster.get(at));
    slot.is_some_and(|slot| slot.is_open())
}

#[test]
fn target_seen_early_that_a_newer_copy_lacks_gets_no_new_flows() {
    let mut node = node();
    node.apply_early(&four(), at(10));
    assert!(*node.forwarding().borrow() && !*node.ready().borrow());
    assert!(takes_flows(&node, 1) && takes_flows(&node, 2));
    // A peer that has heard of the removal is faster than the rest of the reading.
    let peer: SocketAddr = "10.1.0.1:8166".parse().expect("an address");
    let newer = whole(9, three());
    assert!(node.apply(newer, at(20), at(20), Source::Peer(peer)));
    assert!(takes_flows(&node, 1) && !takes_flows(&node, 2));
    node.sweep(at(500));
    assert!(node.steering().targets().find(&id(2)).is_none());
    // The reading that was begun before brings nothing back.
    assert!(node.apply(whole(7, four()), at(10), at(600), Source::Store));
    assert!(!takes_flows(&node, 2));
}

#[test]
fn early_targets_are_ignored_once_a_copy_is_there() {
    let mut node = node();
    assert!(node.apply(whole(9, vec![entry(1, 5)]), at(20), at(20), Source::Store));
    node.apply_early(&[entry(2, 6)], at(30));
    assert!(node.steering().targets().find(&id(2)).is_none());
}

#[test]
fn reading_that_is_begun_twice_leaves_what_it_holds() {
    let mut node = node();
    node.apply_early(&four(), at(10));
    node.apply_early(&three(), at(50));
    assert!(node.apply(whole(9, three()), at(60), at(60), Source::Store));
    assert!(takes_flows(&node, 1) && !takes_flows(&node, 2));
}
