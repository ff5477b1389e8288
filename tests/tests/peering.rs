//! Answers of a VM to the calls of its peers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_entry::peering::ReplicaServer;
use bambooseam_entry::{BootClock, Node, Peers, Source};
use bambooseam_peer::replica::{PeerInfo, ReplicaService, SyncRequest, TokenReading};
use bambooseam_replica::{Change, Changes, Held};
use bambooseam_tests::steering::steering;
use bambooseam_types::{Clock, Revision};

/// Size in bytes of a document that is kept although no target can be read from it.
const DOCUMENT: usize = 8_000;

/// Number of documents that are written after the first copy.
const LATER: u64 = 10;

/// Returns a server whose replica holds `documents` of [`DOCUMENT`] bytes.
fn server(documents: u64) -> ReplicaServer {
    let mut node = Node::new(steering([]));
    let change = |revision: u64| Change {
        key: format!("servers/x-{revision:04x}").into(),
        revision: revision.into(),
        value: Some(Arc::from(vec![0xa5; DOCUMENT])),
    };
    let first = documents - LATER;
    let now = BootClock.now();
    for (after, upto) in [(None, first), (Some(first), documents)] {
        let changes = Changes {
            after: after.map(Revision::from),
            upto: upto.into(),
            list: (after.unwrap_or(0) + 1..=upto).map(change).collect(),
            ..Changes::default()
        };
        assert!(node.apply(changes, now, now, Source::Store));
    }
    let own = PeerInfo {
        address: SocketAddr::from(([127, 0, 0, 2], 7_720)),
        zone: "a".parse().expect("a zone"),
    };
    let peers = Rc::new(RefCell::new(Peers::new(own, &[])));
    ReplicaServer::new(Rc::new(RefCell::new(node)), peers)
}

/// Returns the request of a VM that holds everything up to a revision.
fn request(upto: Option<u64>) -> SyncRequest {
    SyncRequest {
        requester: None,
        held: Held {
            upto: upto.map(Revision::from),
            knows_gaps: true,
            ..Held::default()
        },
        wait: Duration::ZERO,
        may_be_large: true,
        is_starting: false,
        accepts_referral: true,
        token_reading: TokenReading::default(),
    }
}

#[tokio::test]
async fn no_copy_is_built_that_no_peer_accepts() {
    let server = server(700);
    let response = server.sync(request(None)).await;
    assert_eq!(response.changes.map(|changes| changes.list.len()), None);
    // The differences are small.
    let response = server.sync(request(Some(700 - LATER))).await;
    assert_eq!(
        response.changes.map(|changes| changes.list.len()),
        Some(LATER as usize)
    );
}

#[tokio::test]
async fn copy_that_peers_accept_is_sent() {
    let response = server(400).sync(request(None)).await;
    assert_eq!(
        response.changes.map(|changes| changes.list.len()),
        Some(400)
    );
}
