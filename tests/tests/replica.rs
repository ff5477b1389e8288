//! Copies of the published documents never return to an older state, in whichever order and from
//! whichever source changes arrive.

use std::sync::Arc;

use bambooseam_replica::{ApplyOutcome, Change, Changes, Content, ContentAge, Held, Replica};
use bambooseam_types::{Era, Revision};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Documents without an age of their own.
#[derive(Debug, Clone, Copy)]
struct Unaged;

impl Content for Unaged {
    fn age(&self, _: &str, _: &[u8]) -> Option<ContentAge> {
        None
    }
}

/// Documents of which those with more than four bytes can't be used.
#[derive(Debug, Clone, Copy)]
struct Small;

impl Content for Small {
    fn max_bytes(&self, _: &str) -> usize {
        4
    }

    fn age(&self, _: &str, _: &[u8]) -> Option<ContentAge> {
        None
    }
}

/// What a peer without eras holds.
fn held(upto: Option<u64>) -> Held {
    Held {
        upto: upto.map(Revision::from),
        knows_gaps: true,
        ..Held::default()
    }
}

fn change(key: &str, revision: u64, value: Option<&str>) -> Change {
    Change {
        key: key.into(),
        revision: revision.into(),
        value: value.map(|value| Arc::from(value.as_bytes())),
    }
}

fn changes(after: Option<u64>, upto: u64, list: Vec<Change>) -> Changes {
    Changes {
        era: None,
        kept: Vec::new(),
        gap: None,
        after: after.map(Revision::from),
        upto: upto.into(),
        list,
    }
}

fn full(upto: u64, list: Vec<Change>) -> Changes {
    changes(None, upto, list)
}

fn revision_of(replica: &Replica<Unaged>, key: &str) -> Option<u64> {
    replica.get(key).map(|document| document.revision.get())
}

#[test]
fn older_changes_are_not_applied() {
    let mut replica = Replica::new(Unaged);
    replica.apply(full(5, vec![change("a", 5, Some("new"))]));
    let outcome = replica.apply(changes(Some(2), 4, vec![change("a", 4, Some("old"))]));
    assert_eq!(outcome, ApplyOutcome::Newer(vec![]));
    assert_eq!(revision_of(&replica, "a"), Some(5));
    assert_eq!(replica.upto(), Some(5.into()));
}

#[test]
fn changes_after_a_gap_are_not_applied() {
    let mut replica = Replica::new(Unaged);
    assert_eq!(
        replica.apply(changes(Some(3), 4, vec![])),
        ApplyOutcome::Gap
    );
    replica.apply(full(5, vec![]));
    let later = changes(Some(6), 7, vec![change("a", 7, Some("x"))]);
    assert_eq!(replica.apply(later), ApplyOutcome::Gap);
    assert_eq!(revision_of(&replica, "a"), None);
}

#[test]
fn full_copy_removes_documents_that_it_lacks() {
    let mut replica = Replica::new(Unaged);
    replica.apply(full(
        3,
        vec![change("a", 1, Some("x")), change("b", 3, Some("x"))],
    ));
    let outcome = replica.apply(full(9, vec![change("b", 3, Some("x"))]));
    assert_eq!(outcome, ApplyOutcome::Newer(vec![change("a", 9, None)]));
    assert_eq!(revision_of(&replica, "a"), None);
}

#[test]
fn documents_too_large_to_be_used_are_not_passed_on() {
    let mut replica = Replica::new(Small);
    replica.apply(full(3, vec![change("a", 1, Some("1234"))]));
    let larger = changes(Some(3), 5, vec![change("a", 5, Some("12345"))]);
    // The document still counts as written, by a writer that is not its owner.
    let written = change("a", 5, Some(""));
    assert_eq!(
        replica.apply(larger),
        ApplyOutcome::Newer(vec![written.clone()])
    );
    let copy = replica.changes_since(&held(None)).expect("a copy");
    assert_eq!(copy.list, [written]);
}

#[test]
fn older_full_copy_removes_nothing() {
    let mut replica = Replica::new(Unaged);
    replica.apply(full(9, vec![change("a", 9, Some("x"))]));
    assert_eq!(replica.apply(full(4, vec![])), ApplyOutcome::Newer(vec![]));
    assert_eq!(revision_of(&replica, "a"), Some(9));
}

#[test]
fn older_full_copy_restores_nothing() {
    let mut replica = Replica::new(Unaged);
    let newer = full(9, vec![change("a", 5, Some("1"))]);
    assert!(matches!(replica.apply(newer), ApplyOutcome::Newer(list) if list.len() == 1));
    // "b" was removed after revision 7. The newer copy lacks "b" and does not list the removal.
    let older = vec![change("a", 5, Some("1")), change("b", 6, Some("2"))];
    assert!(matches!(replica.apply(full(7, older)), ApplyOutcome::Newer(list) if list.is_empty()));
    assert_eq!(revision_of(&replica, "b"), None);
    // A document written after the revision of the copy is applied.
    let later = full(8, vec![change("c", 10, Some("3"))]);
    assert!(matches!(replica.apply(later), ApplyOutcome::Newer(list) if list.len() == 1));
}

#[test]
fn document_written_between_two_pages_is_kept() {
    // The second page of a read contains a document newer than the revision of the first page.
    let mut replica = Replica::new(Unaged);
    replica.apply(full(10, vec![change("a", 12, Some("x"))]));
    // Another full read began and ended before that write.
    replica.apply(full(11, vec![]));
    assert_eq!(revision_of(&replica, "a"), Some(12));
}

#[test]
fn removal_is_not_undone_by_an_older_write() {
    let mut replica = Replica::new(Unaged);
    replica.apply(full(3, vec![change("a", 3, Some("x"))]));
    replica.apply(changes(Some(3), 5, vec![change("a", 5, None)]));
    replica.apply(changes(Some(2), 4, vec![change("a", 4, Some("late"))]));
    assert_eq!(revision_of(&replica, "a"), None);
    replica.apply(changes(Some(5), 6, vec![change("a", 6, Some("again"))]));
    assert_eq!(revision_of(&replica, "a"), Some(6));
}

#[test]
fn peer_older_than_a_full_copy_gets_a_full_copy() {
    // Documents removed before the full copy are not listed in the copy, and the peer may still
    // hold "b".
    let mut replica = Replica::new(Unaged);
    replica.apply(full(10, vec![change("a", 4, Some("x"))]));
    let update = replica.changes_since(&held(Some(7))).expect("changes");
    assert_eq!(update.after, None);
    let mut peer = Replica::new(Unaged);
    peer.apply(full(
        7,
        vec![change("a", 4, Some("x")), change("b", 7, Some("x"))],
    ));
    peer.apply(update);
    assert_eq!(revision_of(&peer, "b"), None);
    // After the full copy, changes suffice.
    let update = replica.changes_since(&held(Some(10))).expect("changes");
    let expected = Changes {
        era: Some(Era::default()),
        ..changes(Some(10), 10, vec![])
    };
    assert_eq!(update, expected);
}

#[test]
fn peer_that_holds_the_state_before_a_full_copy_gets_differences() {
    let mut replica = Replica::new(Unaged);
    let documents = ["a", "b", "c"].map(|key| change(key, 4, Some("x")));
    replica.apply(full(6, documents.to_vec()));
    replica.confirm_exact(6.into());
    // The store dropped its history, so everything was read again: "b" is gone, "d" is new.
    let documents = ["a", "c"].map(|key| change(key, 4, Some("x")));
    let added = change("d", 9, Some("x"));
    replica.apply(full(10, [documents.to_vec(), vec![added.clone()]].concat()));
    let update = replica.changes_since(&held(Some(6))).expect("changes");
    assert_eq!(update.after, Some(6.into()));
    assert_eq!(update.list, vec![added, change("b", 10, None)]);
    // A peer in between may hold a document that this replica never saw.
    let update = replica.changes_since(&held(Some(8))).expect("changes");
    assert_eq!(update.after, None);
    // A program that does not know gaps could not pass on that this replica has one.
    let unaware = Held {
        knows_gaps: false,
        ..held(Some(6))
    };
    let update = replica.changes_since(&unaware).expect("changes");
    assert_eq!(update.after, None);
}

#[test]
fn document_read_ahead_and_removed_since_is_removed_by_differences() {
    // "d" was written after the first page of the peer's read, and removed before the replica
    // read everything again.
    let mut peer = Replica::new(Unaged);
    peer.apply(full(
        6,
        vec![change("a", 4, Some("x")), change("d", 8, Some("x"))],
    ));
    let mut replica = Replica::new(Unaged);
    replica.apply(full(6, vec![change("a", 4, Some("x"))]));
    replica.confirm_exact(6.into());
    replica.apply(full(10, vec![change("a", 4, Some("x"))]));
    let update = replica.changes_since(&held(Some(6))).expect("changes");
    peer.apply(update);
    assert_eq!(revision_of(&peer, "d"), None);
}

#[test]
fn watch_that_ends_before_a_full_copy_does_not_confirm_it() {
    let mut replica = Replica::new(Unaged);
    replica.apply(full(6, vec![change("a", 4, Some("x"))]));
    replica.confirm_exact(6.into());
    // A peer's copy arrives while the watch is on its way. The copy may lack a document that was
    // removed while it was read.
    replica.apply(full(10, vec![change("a", 4, Some("x"))]));
    replica.apply(changes(Some(6), 8, vec![]));
    replica.confirm_exact(8.into());
    replica.apply(full(15, vec![change("a", 4, Some("x"))]));
    let update = replica.changes_since(&held(Some(10))).expect("changes");
    assert_eq!(update.after, None);
}

#[test]
fn document_restored_within_one_update_is_not_removed() {
    let mut replica = Replica::new(Unaged);
    replica.apply(full(3, vec![change("a", 3, Some("x"))]));
    let restored = change("a", 5, Some("x"));
    let list = vec![change("a", 4, None), restored.clone()];
    let outcome = replica.apply(changes(Some(3), 5, list));
    assert_eq!(outcome, ApplyOutcome::Newer(vec![restored]));
    let removed = change("a", 7, None);
    let list = vec![change("a", 6, Some("y")), removed.clone()];
    assert_eq!(
        replica.apply(changes(Some(5), 7, list)),
        ApplyOutcome::Newer(vec![removed])
    );
}

/// All changes ever made to a store, in the order of their revisions.
struct History(Vec<Change>);

impl History {
    /// Writes or removes a random document.
    fn write(&mut self, rng: &mut StdRng, keys: &[&str]) {
        let key = keys.choose(rng).expect("a key");
        let value = rng.random_bool(0.6).then_some("x");
        let revision = self.upto() + 1;
        self.0.push(change(key, revision, value));
    }

    fn upto(&self) -> u64 {
        self.0.len() as u64
    }

    fn full(&self) -> Changes {
        let mut last: Vec<&Change> = Vec::new();
        for change in &self.0 {
            last.retain(|document| document.key != change.key);
            last.push(change);
        }
        let list = last.into_iter().filter(|change| change.value.is_some());
        full(self.upto(), list.cloned().collect())
    }

    fn since(&self, after: u64) -> Changes {
        let list = self.0[after as usize..].to_vec();
        changes(Some(after), self.upto(), list)
    }
}

#[test]
fn random_sources_and_orders_converge() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut history = History(Vec::new());
        let mut replicas = std::array::from_fn(|_| Replica::new(Unaged));
        let keys = ["a", "b", "c", "d"];
        for _ in 0..120 {
            match rng.random_range(0..4) {
                0 => history.write(&mut rng, &keys),
                1 => {
                    let at = rng.random_range(0..3);
                    replicas[at].apply(history.full());
                }
                2 => {
                    let at = rng.random_range(0..3);
                    let upto = replicas[at].upto();
                    let after = upto.map_or(0, Revision::get);
                    let outcome = replicas[at].apply(history.since(after));
                    assert_eq!(outcome == ApplyOutcome::Gap, upto.is_none(), "seed {seed}");
                }
                _ => {
                    let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
                    update_from(&mut replicas, from, to);
                }
            }
            for replica in &replicas {
                check_against(replica, &history, seed);
            }
        }
    }
}

#[test]
fn random_reads_in_pages_converge() {
    for seed in 0..6_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut history = History(Vec::new());
        let mut replicas = std::array::from_fn(|_| Replica::new(Unaged));
        let keys = ["a", "b", "c", "d"];
        for _ in 0..60 {
            match rng.random_range(0..5) {
                0 | 1 => history.write(&mut rng, &keys),
                2 => {
                    // Each page is read at a later revision than the one before.
                    let upto = history.upto();
                    let mut list = Vec::new();
                    for key in keys {
                        let page = history.full().list;
                        list.extend(page.into_iter().filter(|change| *change.key == *key));
                        if rng.random_bool(0.4) {
                            history.write(&mut rng, &keys);
                        }
                    }
                    replicas[rng.random_range(0..3)].apply(full(upto, list));
                }
                3 => {
                    let replica = &mut replicas[rng.random_range(0..3)];
                    if let Some(upto) = replica.upto() {
                        replica.apply(history.since(upto.get()));
                        replica.confirm_exact(history.upto().into());
                    }
                }
                _ => {
                    let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
                    update_from(&mut replicas, from, to);
                }
            }
        }
        replicas[0].apply(history.full());
        for to in [1, 2] {
            update_from(&mut replicas, 0, to);
        }
        for replica in &replicas {
            check_against(replica, &history, seed);
        }
    }
}

/// Applies what one replica lacks of another.
fn update_from(replicas: &mut [Replica<Unaged>; 3], from: usize, to: usize) {
    let upto = replicas[to].upto().map(Revision::get);
    if let Some(update) = replicas[from].changes_since(&held(upto)) {
        replicas[to].apply(update);
    }
}

/// Asserts that a copy equals the store's contents at the copy's revision.
fn check_against(replica: &Replica<Unaged>, history: &History, seed: u64) {
    let Some(upto) = replica.upto() else {
        return;
    };
    let past = History(history.0[..upto.get() as usize].to_vec());
    let mut expected = past.full().list;
    expected.sort_by(|a, b| a.key.cmp(&b.key));
    let documents: Vec<Change> = replica.iter().cloned().collect();
    assert_eq!(documents, expected, "seed {seed}");
}
