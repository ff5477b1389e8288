//! Which form of token a VM writes while VMs of different versions run side by side.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bambooseam_entry::peering::ReplicaServer;
use bambooseam_entry::{Node, Peers};
use bambooseam_peer::replica::{
    PeerInfo, ReplicaService, SyncRequest, SyncResponse, TokenReading, TokenSupport,
};
use bambooseam_replica::Held;
use bambooseam_steer::TokenForm::{self, Numbered, Start};
use bambooseam_tests::steering::*;
use bambooseam_types::{Incarnation, TargetLabel, Token};

/// What a VM of an earlier version answers.
const OLDER: TokenSupport = TokenSupport {
    reads_numbered: false,
    older_age: None,
};

/// What a VM says in its requests that reads numbered tokens and knows of no other.
const NEWER: TokenReading = TokenReading {
    reads_numbered: true,
    knows_older: false,
};

/// Returns what a VM answers that heard of an earlier version some seconds ago, or never.
fn reads_numbered(older: Option<u64>) -> TokenSupport {
    TokenSupport {
        reads_numbered: true,
        older_age: older.map(Duration::from_secs),
    }
}

/// Returns a node that has just started and awaits the answers of others.
fn node() -> Node {
    let mut node = Node::new(steering([target(1), target(2)]));
    node.sweep(at(0));
    node
}

/// Returns the form that a node writes at `millis`.
fn form(node: &mut Node, millis: u64) -> TokenForm {
    node.sweep(at(millis));
    node.steering().token_form()
}

#[test]
fn vm_writes_what_all_versions_read_until_another_vm_has_answered() {
    let mut node = node();
    assert_eq!(form(&mut node, 2_900), Start);
    node.record_token_support(reads_numbered(None), at(2_900), at(2_901));
    assert_eq!(node.steering().token_form(), Numbered);
}

/// The VM that starts first is called by others before it can reach any.
#[test]
fn request_of_another_vm_counts_unless_that_knows_of_an_earlier_version() {
    let mut node = node();
    let reading = TokenReading {
        knows_older: true,
        ..NEWER
    };
    node.record_token_request(reading, at(1));
    assert_eq!(node.steering().token_form(), Start);
    node.record_token_request(NEWER, at(2));
    assert_eq!(node.steering().token_form(), Numbered);
    node.record_token_support(OLDER, at(2), at(3));
    assert!(node.token_reading(at(4)).knows_older);
    assert!(!node.token_reading(at(60_003)).knows_older);
}

#[test]
fn vm_without_other_vms_writes_numbered_tokens() {
    let mut alone = node();
    alone.record_alone(at(0));
    assert_eq!(form(&mut alone, 1), Numbered);
    let mut unanswered = node();
    assert_eq!(form(&mut unanswered, 3_000), Numbered);
}

/// Guards against a fleet that goes over to numbered tokens while one VM of an earlier version still
/// receives packets.
#[test]
fn vm_of_an_earlier_version_counts_for_a_minute_after_it_was_last_heard_of() {
    for is_request in [false, true] {
        let mut node = node();
        node.record_token_support(reads_numbered(None), at(0), at(1));
        match is_request {
            true => node.record_token_request(TokenReading::default(), at(100)),
            false => node.record_token_support(OLDER, at(0), at(100)),
        }
        assert_eq!(node.steering().token_form(), Start);
        node.record_token_request(NEWER, at(200));
        node.record_token_support(reads_numbered(None), at(200), at(201));
        assert_eq!(form(&mut node, 60_099), Start);
        assert_eq!(form(&mut node, 60_100), Numbered);
    }
}

/// A VM need not meet the VM of the earlier version itself.
#[test]
fn vms_pass_on_that_they_have_heard_of_an_earlier_version() {
    let (mut first, mut second, mut third) = (node(), node(), node());
    first.record_token_support(OLDER, at(0), at(100));
    second.record_token_support(first.token_support(at(1_100)), at(1_050), at(1_150));
    third.record_token_support(second.token_support(at(2_100)), at(2_050), at(2_150));
    assert_eq!(third.steering().token_form(), Start);
    assert_eq!(form(&mut third, 59_000), Start);
    assert_eq!(form(&mut third, 60_100), Numbered);
}

/// Guards against VMs that keep the news of an earlier version alive among themselves.
#[test]
fn passing_on_does_not_renew_what_was_heard() {
    let (mut first, mut second) = (node(), node());
    first.record_token_support(OLDER, at(0), at(0));
    for sent in (0..60_000).step_by(50) {
        // Each answer takes 40 ms.
        let answer = first.token_support(at(sent + 20));
        second.record_token_support(answer, at(sent), at(sent + 40));
        std::mem::swap(&mut first, &mut second);
    }
    assert_eq!(form(&mut first, 60_000), Numbered);
    assert_eq!(form(&mut second, 60_000), Numbered);
}

/// Returns the answers of a VM with `count` targets to `calls` calls.
async fn answers(count: u64, is_older: bool, calls: usize) -> Vec<SyncResponse> {
    let targets = (1..=count).map(|start| {
        let mut target = target(1);
        target.id = format!("i-{start:08x}").parse().expect("an id");
        target.label = TargetLabel::new(start).expect("a label");
        target.start = Incarnation::from(start);
        target
    });
    let node = Rc::new(RefCell::new(Node::new(steering(targets))));
    let own = PeerInfo {
        address: SocketAddr::from(([127, 0, 0, 2], 7_720)),
        zone: "a".parse().expect("a zone"),
    };
    let server = ReplicaServer::new(node, Rc::new(RefCell::new(Peers::new(own, &[]))));
    let mut answers = Vec::new();
    for _ in 0..calls {
        let request = SyncRequest {
            requester: None,
            held: Held::default(),
            wait: Duration::ZERO,
            may_be_large: true,
            is_starting: false,
            accepts_referral: true,
            token_reading: TokenReading {
                reads_numbered: !is_older,
                knows_older: false,
            },
        };
        answers.push(server.sync(request).await);
    }
    answers
}

/// Guards against resets by a VM that is set back to an earlier version: flows that were opened before
/// carry numbered tokens, which that version takes for those of earlier starts.
#[tokio::test]
async fn vm_of_an_earlier_version_is_told_the_numbered_tokens_of_all_targets() {
    let answers = answers(3, true, 1).await;
    let starts = &answers[0].earlier_starts;
    assert_eq!(starts.len(), 3);
    let mut expected = target(1);
    expected.start = Incarnation::from(1);
    assert_eq!(starts[0].token, expected.numbered_token());
    assert_eq!(starts[0].target, expected.id);
    assert_eq!(starts[0].address, expected.address);
    assert_eq!(starts[0].service, expected.service);
    assert!(answers[0].token_support.reads_numbered);
}

#[tokio::test]
async fn vm_that_reads_numbered_tokens_is_told_none() {
    let answers = answers(3, false, 1).await;
    assert_eq!(answers[0].earlier_starts, []);
}

/// A response holds 512 starts; a fleet may have more targets.
#[tokio::test]
async fn several_answers_together_tell_the_tokens_of_many_targets() {
    let mut told: Vec<Token> = Vec::new();
    for answer in answers(1_500, true, 40).await {
        let sent = answer.earlier_starts.iter().take(512);
        told.extend(sent.map(|start| start.token));
    }
    told.sort_unstable();
    told.dedup();
    assert!(told.len() > 1_450, "{} of 1500 tokens", told.len());
}
