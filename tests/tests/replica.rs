//! Copies of the published documents only get newer, whoever brings the changes.

use std::sync::Arc;

use bambooseam_replica::{ApplyOutcome, Change, Changes, Replica};
use bambooseam_types::Revision;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

fn change(key: &str, revision: u64, value: Option<&str>) -> Change {
    Change {
        key: key.into(),
        revision: revision.into(),
        value: value.map(|value| Arc::from(value.as_bytes())),
    }
}

fn changes(after: Option<u64>, upto: u64, list: Vec<Change>) -> Changes {
    Changes {
        after: after.map(Revision::from),
        upto: upto.into(),
        list,
    }
}

fn whole(upto: u64, list: Vec<Change>) -> Changes {
    changes(None, upto, list)
}

fn revision_of(replica: &Replica, key: &str) -> Option<u64> {
    replica.get(key).map(|held| held.revision.get())
}

#[test]
fn older_changes_are_not_taken() {
    let mut replica = Replica::new();
    replica.apply(whole(5, vec![change("a", 5, Some("new"))]));
    let taken = replica.apply(changes(Some(2), 4, vec![change("a", 4, Some("old"))]));
    assert_eq!(taken, ApplyOutcome::Newer(vec![]));
    assert_eq!(revision_of(&replica, "a"), Some(5));
    assert_eq!(replica.upto(), Some(5.into()));
}

#[test]
fn changes_behind_a_gap_are_not_taken() {
    let mut replica = Replica::new();
    assert_eq!(
        replica.apply(changes(Some(3), 4, vec![])),
        ApplyOutcome::Gap
    );
    replica.apply(whole(5, vec![]));
    let later = changes(Some(6), 7, vec![change("a", 7, Some("x"))]);
    assert_eq!(replica.apply(later), ApplyOutcome::Gap);
    assert_eq!(revision_of(&replica, "a"), None);
}

#[test]
fn whole_copy_removes_what_it_lacks() {
    let mut replica = Replica::new();
    replica.apply(whole(
        3,
        vec![change("a", 1, Some("x")), change("b", 3, Some("x"))],
    ));
    let taken = replica.apply(whole(9, vec![change("b", 3, Some("x"))]));
    assert_eq!(taken, ApplyOutcome::Newer(vec![change("a", 9, None)]));
    assert_eq!(revision_of(&replica, "a"), None);
}

#[test]
fn older_whole_copy_removes_nothing() {
    let mut replica = Replica::new();
    replica.apply(whole(9, vec![change("a", 9, Some("x"))]));
    assert_eq!(replica.apply(whole(4, vec![])), ApplyOutcome::Newer(vec![]));
    assert_eq!(revision_of(&replica, "a"), Some(9));
}

#[test]
fn older_whole_copy_brings_nothing_back() {
    let mut replica = Replica::new();
    let newer = whole(9, vec![change("a", 5, Some("1"))]);
    assert!(matches!(replica.apply(newer), ApplyOutcome::Newer(list) if list.len() == 1));
    // "b" was removed at 8 or so; the copy that lacks it has no word of it.
    let older = vec![change("a", 5, Some("1")), change("b", 6, Some("2"))];
    assert!(matches!(replica.apply(whole(7, older)), ApplyOutcome::Newer(list) if list.is_empty()));
    assert_eq!(revision_of(&replica, "b"), None);
    // One that is written after all that was held is news.
    let later = whole(8, vec![change("c", 10, Some("3"))]);
    assert!(matches!(replica.apply(later), ApplyOutcome::Newer(list) if list.len() == 1));
}

#[test]
fn written_between_two_pages_stays() {
    // The second page shows a document that is newer than the revision of the first.
    let mut replica = Replica::new();
    replica.apply(whole(10, vec![change("a", 12, Some("x"))]));
    // Another whole copy began before that write and ended before it too.
    replica.apply(whole(11, vec![]));
    assert_eq!(revision_of(&replica, "a"), Some(12));
}

#[test]
fn removal_is_not_undone_by_an_older_write() {
    let mut replica = Replica::new();
    replica.apply(whole(3, vec![change("a", 3, Some("x"))]));
    replica.apply(changes(Some(3), 5, vec![change("a", 5, None)]));
    replica.apply(changes(Some(2), 4, vec![change("a", 4, Some("late"))]));
    assert_eq!(revision_of(&replica, "a"), None);
    replica.apply(changes(Some(5), 6, vec![change("a", 6, Some("again"))]));
    assert_eq!(revision_of(&replica, "a"), Some(6));
}

#[test]
fn peer_behind_a_whole_copy_gets_a_whole_copy() {
    // What came and went before the whole copy is not in it: the peer may still hold "b".
    let mut replica = Replica::new();
    replica.apply(whole(10, vec![change("a", 4, Some("x"))]));
    let given = replica.changes_since(Some(7.into())).expect("held");
    assert_eq!(given.after, None);
    let mut peer = Replica::new();
    peer.apply(whole(
        7,
        vec![change("a", 4, Some("x")), change("b", 7, Some("x"))],
    ));
    peer.apply(given);
    assert_eq!(revision_of(&peer, "b"), None);
    // From there on differences do.
    let given = replica.changes_since(Some(10.into())).expect("held");
    assert_eq!(given, changes(Some(10), 10, vec![]));
}

#[test]
fn document_that_comes_back_within_one_list_is_not_removed() {
    let mut replica = Replica::new();
    replica.apply(whole(3, vec![change("a", 3, Some("x"))]));
    let back = change("a", 5, Some("x"));
    let list = vec![change("a", 4, None), back.clone()];
    let taken = replica.apply(changes(Some(3), 5, list));
    assert_eq!(taken, ApplyOutcome::Newer(vec![back]));
    let gone = change("a", 7, None);
    let list = vec![change("a", 6, Some("y")), gone.clone()];
    assert_eq!(
        replica.apply(changes(Some(5), 7, list)),
        ApplyOutcome::Newer(vec![gone])
    );
}

/// A store as a list of all changes ever made.
struct History(Vec<Change>);

impl History {
    fn upto(&self) -> u64 {
        self.0.len() as u64
    }

    fn whole(&self) -> Changes {
        let mut last: Vec<&Change> = Vec::new();
        for change in &self.0 {
            last.retain(|held| held.key != change.key);
            last.push(change);
        }
        let list = last.into_iter().filter(|change| change.value.is_some());
        whole(self.upto(), list.cloned().collect())
    }

    fn since(&self, after: u64) -> Changes {
        let list = self.0[after as usize..].to_vec();
        changes(Some(after), self.upto(), list)
    }
}

#[test]
fn chance_orders_of_bringers_end_alike() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut history = History(Vec::new());
        let mut replicas = [Replica::new(), Replica::new(), Replica::new()];
        let keys = ["a", "b", "c", "d"];
        for _ in 0..120 {
            match random.random_range(0..4) {
                0 => {
                    let key = keys.choose(&mut random).expect("a key");
                    let value = random.random_bool(0.6).then_some("x");
                    let revision = history.upto() + 1;
                    history.0.push(change(key, revision, value));
                }
                1 => {
                    let at = random.random_range(0..3);
                    replicas[at].apply(history.whole());
                }
                2 => {
                    let at = random.random_range(0..3);
                    let upto = replicas[at].upto();
                    let after = upto.map_or(0, Revision::get);
                    let taken = replicas[at].apply(history.since(after));
                    assert_eq!(taken == ApplyOutcome::Gap, upto.is_none(), "seed {seed}");
                }
                _ => {
                    let (from, to) = (random.random_range(0..3), random.random_range(0..3));
                    let upto = replicas[to].upto();
                    if let Some(given) = replicas[from].changes_since(upto) {
                        replicas[to].apply(given);
                    }
                }
            }
            for replica in &replicas {
                check_against(replica, &history, seed);
            }
        }
    }
}

/// A copy holds what the store held at its revision.
fn check_against(replica: &Replica, history: &History, seed: u64) {
    let Some(upto) = replica.upto() else {
        return;
    };
    let then = History(history.0[..upto.get() as usize].to_vec());
    let mut expected = then.whole().list;
    expected.sort_by(|a, b| a.key.cmp(&b.key));
    let held: Vec<Change> = replica.iter().cloned().collect();
    assert_eq!(held, expected, "seed {seed}");
}
