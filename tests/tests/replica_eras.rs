//! Copies of the published documents after the store has returned from an older copy of its own.
//! Within an era revisions decide, and across eras the content.

use std::collections::BTreeMap;
use std::sync::Arc;

use bambooseam_replica::{ApplyOutcome, Change, Changes, Content, ContentAge, Key, Replica};
use bambooseam_types::{Era, Incarnation, Revision};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Reads `v VERSION`, `START SEQUENCE ready|leaving`, and `z` for a document that counts by its
/// presence.
#[derive(Debug, Clone, Copy)]
struct Words;

impl Content for Words {
    fn age(&self, _: &str, value: &[u8]) -> Option<ContentAge> {
        let text = std::str::from_utf8(value).ok()?;
        let words: Vec<&str> = text.split(' ').collect();
        Some(match words[..] {
            ["z"] => ContentAge::Presence,
            ["v", version] => ContentAge::Version(version.parse().ok()?),
            [start, sequence, state] => ContentAge::Entry {
                start: Incarnation::from(start.parse::<u64>().ok()?),
                sequence: sequence.parse().ok()?,
                is_leaving: state == "leaving",
            },
            _ => return None,
        })
    }
}

fn change(key: &str, revision: u64, value: Option<&str>) -> Change {
    Change {
        key: key.into(),
        revision: revision.into(),
        value: value.map(|value| Arc::from(value.as_bytes())),
    }
}

fn changes(era: u64, after: Option<u64>, upto: u64, list: Vec<Change>) -> Changes {
    Changes {
        era: Some(Era::from(era)),
        after: after.map(Revision::from),
        upto: upto.into(),
        list,
        kept: Vec::new(),
        gap: None,
    }
}

/// Returns a replica of era 0 at revision 20 with a configuration and two targets.
fn replica() -> Replica<Words> {
    let mut replica = Replica::new(Words);
    let list = vec![
        change("config", 20, Some("v 7")),
        change("t1", 3, Some("1 5 ready")),
        change("t2", 4, Some("1 5 ready")),
    ];
    replica.apply(changes(0, None, 20, list));
    replica
}

fn content(replica: &Replica<Words>, key: &str) -> Option<String> {
    let value = replica.content(key)?;
    Some(String::from_utf8_lossy(value).into_owned())
}

fn newer(outcome: ApplyOutcome) -> Vec<Change> {
    match outcome {
        ApplyOutcome::Newer(newer) => newer,
        other => panic!("{other:?}"),
    }
}

/// Whether the document is published and was not held back.
fn is_accepted(replica: &Replica<Words>, key: &str) -> bool {
    replica.get(key).is_some() && !replica.is_unrenewed(key)
}

#[test]
fn changes_of_a_later_era_need_a_snapshot_and_those_of_an_earlier_one_are_ignored() {
    let mut replica = replica();
    let later = changes(1, Some(20), 22, vec![change("config", 22, Some("v 9"))]);
    assert_eq!(replica.apply(later), ApplyOutcome::Gap);
    replica.apply(changes(
        1,
        None,
        12,
        vec![change("config", 12, Some("v 9"))],
    ));
    assert_eq!(replica.upto(), Some(12.into()));
    let earlier = changes(0, None, 30, vec![change("config", 30, Some("v 8"))]);
    assert_eq!(replica.apply(earlier), ApplyOutcome::Outdated);
    assert_eq!(content(&replica, "config").as_deref(), Some("v 9"));
}

#[test]
fn older_configuration_of_the_copy_is_never_in_force() {
    let mut replica = replica();
    let copy = vec![
        change("config", 9, Some("v 5")),
        change("t1", 3, Some("1 5 ready")),
    ];
    let applied = newer(replica.apply(changes(1, None, 12, copy)));
    assert!(applied.iter().all(|change| change.key.as_ref() != "config"));
    assert_eq!(content(&replica, "config").as_deref(), Some("v 7"));
    // The operator writes what was lost again, one version after the other.
    for (revision, version, expected) in
        [(13, "v 6", "v 7"), (14, "v 7", "v 7"), (15, "v 8", "v 8")]
    {
        let list = vec![change("config", revision, Some(version))];
        replica.apply(changes(1, Some(revision - 1), revision, list));
        assert_eq!(content(&replica, "config").as_deref(), Some(expected));
    }
    assert_eq!(replica.kept_count(), 0);
}

#[test]
fn configuration_that_the_copy_lacks_stays_in_force() {
    let mut replica = replica();
    newer(replica.apply(changes(1, None, 2, vec![])));
    assert_eq!(content(&replica, "config").as_deref(), Some("v 7"));
    // The store returns a second time, and a peer that starts from the copy.
    newer(replica.apply(changes(2, None, 2, vec![change("config", 1, Some("v 3"))])));
    assert_eq!(content(&replica, "config").as_deref(), Some("v 7"));
    let mut peer = Replica::new(Words);
    peer.apply(changes(2, None, 2, vec![change("config", 1, Some("v 3"))]));
    let update = replica.changes_since(&peer.held()).expect("changes");
    let applied = newer(peer.apply(update));
    assert_eq!(applied, [change("config", 1, Some("v 7"))]);
    assert_eq!(content(&peer, "config").as_deref(), Some("v 7"));
    // A peer that knows the same receives nothing.
    let update = replica.changes_since(&peer.held()).expect("changes");
    assert!(
        update.kept.is_empty() && update.list.is_empty(),
        "{update:?}"
    );
}

#[test]
fn announcement_that_the_copy_lacks_is_not_undone() {
    let mut replica = replica();
    let leaving = vec![change("t1", 21, Some("1 6 leaving"))];
    replica.apply(changes(0, Some(20), 21, leaving));
    let copy = vec![
        change("config", 9, Some("v 7")),
        change("t1", 3, Some("1 5 ready")),
        change("t2", 4, Some("1 5 ready")),
    ];
    let applied = newer(replica.apply(changes(1, None, 12, copy)));
    let keys: Vec<&str> = applied.iter().map(|change| change.key.as_ref()).collect();
    assert_eq!(keys, ["config", "t2"]);
    assert_eq!(content(&replica, "t1").as_deref(), Some("1 6 leaving"));
    // The target writes its state anew.
    let list = vec![change("t1", 13, Some("1 7 leaving"))];
    let applied = newer(replica.apply(changes(1, Some(12), 13, list.clone())));
    assert_eq!(applied, list);
    assert_eq!(replica.kept_count(), 0);
}

#[test]
fn removed_entry_that_the_copy_brings_back_waits_for_its_writer() {
    let mut replica = replica();
    replica.apply(changes(0, Some(20), 21, vec![change("t1", 21, None)]));
    let copy = vec![
        change("t1", 3, Some("1 5 ready")),
        change("t2", 4, Some("1 5 ready")),
    ];
    newer(replica.apply(changes(1, None, 12, copy.clone())));
    assert!(!is_accepted(&replica, "t1") && is_accepted(&replica, "t2"));
    // A peer without an own copy learns of it.
    let mut peer = Replica::new(Words);
    peer.apply(changes(1, None, 12, copy));
    assert!(is_accepted(&peer, "t1"));
    let update = replica.changes_since(&peer.held()).expect("changes");
    newer(peer.apply(update));
    assert!(!is_accepted(&peer, "t1"));
    // The target lives after all, and writes anew, even if it writes the same.
    let list = vec![change("t1", 13, Some("1 5 ready"))];
    newer(replica.apply(changes(1, Some(12), 13, list)));
    assert!(is_accepted(&replica, "t1"));
    let update = replica.changes_since(&peer.held()).expect("changes");
    newer(peer.apply(update));
    assert!(is_accepted(&peer, "t1"));
}

#[test]
fn entry_written_anew_before_the_first_read_is_accepted() {
    let mut replica = replica();
    replica.apply(changes(0, Some(20), 21, vec![change("t1", 21, None)]));
    let copy = vec![change("t1", 13, Some("1 6 ready"))];
    newer(replica.apply(changes(1, None, 13, copy)));
    assert!(is_accepted(&replica, "t1"));
}

#[test]
fn removed_entry_is_accepted_after_some_time() {
    let mut replica = replica();
    replica.apply(changes(0, Some(20), 21, vec![change("t1", 21, None)]));
    let copy = vec![change("t1", 3, Some("1 5 ready"))];
    newer(replica.apply(changes(1, None, 12, copy.clone())));
    assert_eq!(replica.release_unrenewed(), [Key::from("t1")]);
    assert!(is_accepted(&replica, "t1"));
    // A peer that has not released the entry yet holds nothing back here any more.
    let mut peer = self::replica();
    peer.apply(changes(0, Some(20), 21, vec![change("t1", 21, None)]));
    newer(peer.apply(changes(1, None, 12, copy)));
    let update = peer.changes_since(&replica.held()).expect("changes");
    newer(replica.apply(update));
    assert!(is_accepted(&replica, "t1"));
}

#[test]
fn entries_that_the_copy_lacks_are_removed_and_accepted_when_written_again() {
    let mut replica = replica();
    let applied = newer(replica.apply(changes(1, None, 12, vec![])));
    assert_eq!(applied, [change("t1", 12, None), change("t2", 12, None)]);
    // The next copy has one of them: its writer lives, as the removal was none.
    let list = vec![change("t1", 13, Some("1 5 ready"))];
    assert_eq!(
        newer(replica.apply(changes(1, Some(12), 13, list.clone()))),
        list
    );
    assert!(is_accepted(&replica, "t1"));
}

#[test]
fn programs_without_eras_exchange_changes_by_revision() {
    let mut replica = Replica::new(Words);
    replica.apply(changes(
        4,
        None,
        20,
        vec![change("t1", 3, Some("1 5 ready"))],
    ));
    let held = bambooseam_replica::Held {
        upto: Some(20.into()),
        ..Default::default()
    };
    assert!(!replica.is_ahead_of(&held));
    let update = replica.changes_since(&held).expect("changes");
    assert_eq!((update.after, update.list.len()), (Some(20.into()), 0));
    let mut old = changes(0, Some(20), 21, vec![change("t2", 21, Some("1 1 ready"))]);
    old.era = None;
    newer(replica.apply(old));
    assert!(is_accepted(&replica, "t2"));
    assert_eq!(replica.era(), Era::from(4));
}

#[test]
fn evacuation_that_the_copy_lacks_stays_in_force_for_a_limited_time() {
    // Without the rule, a store that returns from a copy would readmit a zone by itself.
    let mut replica = replica();
    let written = change("z", 21, Some("z"));
    replica.apply(changes(0, Some(20), 21, vec![written]));
    let applied = newer(replica.apply(changes(1, None, 12, vec![])));
    assert!(applied.iter().all(|change| change.key.as_ref() != "z"));
    assert!(content(&replica, "z").is_some() && replica.has_unrenewed());
    // A peer that started from the copy learns of it, also after a second return.
    for era in [1, 2] {
        replica.apply(changes(era, None, 12, vec![]));
        let mut peer = Replica::new(Words);
        peer.apply(changes(era, None, 12, vec![]));
        let update = replica.changes_since(&peer.held()).expect("changes");
        let applied = newer(peer.apply(update));
        assert!(applied.iter().any(|change| change.key.as_ref() == "z"));
        assert!(content(&peer, "z").is_some() && peer.has_unrenewed());
    }
    let kept = replica.changes_since(&Default::default()).expect("changes");
    let released = replica.release_unrenewed();
    assert!(released.iter().any(|key| key.as_ref() == "z"));
    assert_eq!(content(&replica, "z"), None);
    // A peer that has not released the document yet does not restore it.
    replica.apply(kept);
    assert_eq!(content(&replica, "z"), None);
}

#[test]
fn evacuation_kept_from_an_earlier_era_ends_with_its_removal() {
    let mut replica = replica();
    replica.apply(changes(0, Some(20), 21, vec![change("z", 21, Some("z"))]));
    replica.apply(changes(1, None, 12, vec![]));
    let late = replica.changes_since(&Default::default()).expect("changes");
    let removal = changes(1, Some(12), 14, vec![change("z", 14, None)]);
    let applied = newer(replica.apply(removal));
    assert_eq!(applied, [change("z", 14, None)]);
    assert_eq!(content(&replica, "z"), None);
    // An answer of a peer that lags behind the removal.
    replica.apply(late);
    assert_eq!(content(&replica, "z"), None);
    assert!(!replica.has_unrenewed());
}

#[test]
fn evacuation_that_the_copy_contains_is_in_force_although_it_had_been_removed() {
    let mut replica = replica();
    let list = vec![change("z", 21, Some("z")), change("z", 22, None)];
    replica.apply(changes(0, Some(20), 22, list));
    assert_eq!(content(&replica, "z"), None);
    let copy = vec![change("z", 21, Some("z"))];
    let applied = newer(replica.apply(changes(1, None, 21, copy)));
    assert!(applied.contains(&change("z", 21, Some("z"))));
    assert!(content(&replica, "z").is_some() && !replica.is_unrenewed("z"));
}

/// Documents by key, with their revisions.
type Documents = BTreeMap<&'static str, (u64, String)>;

/// A store that returns from older copies, and its writers.
struct RestoredStore {
    era: u64,
    revision: u64,
    documents: Documents,
    /// Events of the current era, and the revision after which they are complete.
    events: Vec<Change>,
    first: u64,
    /// Copies, with the revision of each.
    copies: Vec<(u64, Documents)>,
    /// What the writers hold: the version of the operator; start, sequence and state of each target.
    version: u64,
    targets: BTreeMap<&'static str, (u64, u64, &'static str)>,
    is_evacuated: bool,
}

const TARGETS: [&str; 3] = ["t1", "t2", "t3"];

/// Key of the document that counts by its presence.
const ZONE: &str = "z";

impl RestoredStore {
    fn new() -> Self {
        let mut store = Self {
            era: 0,
            revision: 0,
            documents: BTreeMap::new(),
            events: Vec::new(),
            first: 0,
            copies: Vec::new(),
            version: 0,
            targets: BTreeMap::new(),
            is_evacuated: false,
        };
        store.write_config(1);
        store
    }

    fn write(&mut self, key: &'static str, value: Option<String>) {
        self.revision += 1;
        self.events
            .push(change(key, self.revision, value.as_deref()));
        match value {
            Some(value) => self.documents.insert(key, (self.revision, value)),
            None => self.documents.remove(key),
        };
    }

    fn write_config(&mut self, step: u64) {
        self.version += step;
        self.write("config", Some(format!("v {}", self.version)));
    }

    /// Evacuates the zone or readmits it.
    fn write_evacuation(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
        match is_evacuated {
            true => self.write(ZONE, Some("z".into())),
            false if self.documents.contains_key(ZONE) => self.write(ZONE, None),
            false => {}
        }
    }

    /// Writes the state of a target with the next sequence number.
    fn write_target(&mut self, key: &'static str) {
        let Some((start, sequence, state)) = self.targets.get_mut(key) else {
            return;
        };
        *sequence += 1;
        let value = format!("{start} {sequence} {state}");
        self.write(key, Some(value));
    }

    fn step(&mut self, rng: &mut StdRng) {
        if rng.random_bool(0.1) {
            return self.write_evacuation(!self.is_evacuated);
        }
        let key = *TARGETS.choose(rng).expect("a target");
        match (rng.random_range(0..10), self.targets.get(key)) {
            (0..2, _) => self.write_config(1),
            (2, _) => {
                let copy = (self.revision, self.documents.clone());
                self.copies.push(copy);
            }
            (_, None) => {
                let start = self.revision + 1_000 * self.era + 1;
                self.targets.insert(key, (start, 0, "ready"));
                self.write_target(key);
            }
            (3..6, Some((_, _, "ready"))) => {
                self.targets.get_mut(key).expect("the target").2 = "leaving";
                self.write_target(key);
            }
            (3..6, Some(_)) => {
                self.targets.remove(key);
                self.write(key, None);
            }
            _ => self.write_target(key),
        }
    }

    /// Returns to one of the copies.
    fn restore(&mut self, rng: &mut StdRng) {
        let Some((revision, documents)) = self.copies.choose(rng).cloned() else {
            return;
        };
        self.era += 1;
        (self.revision, self.documents) = (revision, documents);
        (self.first, self.events) = (revision, Vec::new());
    }

    /// Lets every writer write its state again, and entries without a writer expire.
    fn rewrite(&mut self) {
        self.write_config(0);
        self.write_evacuation(self.is_evacuated);
        for key in TARGETS {
            match self.targets.contains_key(key) {
                true => self.write_target(key),
                false if self.documents.contains_key(key) => self.write(key, None),
                false => {}
            }
        }
    }

    fn full(&self) -> Changes {
        let list = self.documents.iter();
        let list = list.map(|(key, (revision, value))| change(key, *revision, Some(value)));
        changes(self.era, None, self.revision, list.collect())
    }

    /// Answer to a reader at `upto`: the events since, or everything if the store has no history.
    fn answer(&self, replica: &Replica<Words>) -> Changes {
        let after = replica.upto().map(Revision::get);
        match after {
            Some(after)
                if replica.era() == Era::from(self.era)
                    && (self.first..=self.revision).contains(&after) =>
            {
                let events = self.events.iter();
                let list = events.filter(|event| event.revision > after.into());
                changes(
                    self.era,
                    Some(after),
                    self.revision,
                    list.cloned().collect(),
                )
            }
            _ => self.full(),
        }
    }
}

/// Runs one random interleaving; returns the number of steps.
fn run_interleaving(seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = RestoredStore::new();
    let mut replicas = [
        Replica::new(Words),
        Replica::new(Words),
        Replica::new(Words),
    ];
    let mut highest = [0; 3];
    // Answers that are delivered late, repeatedly or never.
    let mut in_flight: Vec<(usize, Changes)> = Vec::new();
    let steps = rng.random_range(20..80);
    for _ in 0..steps {
        match rng.random_range(0..12) {
            0..4 => store.step(&mut rng),
            4 => store.restore(&mut rng),
            5 => store.rewrite(),
            6..8 => {
                let at = rng.random_range(0..3);
                in_flight.push((at, store.answer(&replicas[at])));
            }
            8..10 => {
                let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
                let update = replicas[from].changes_since(&replicas[to].held());
                in_flight.extend(update.map(|update| (to, update)));
            }
            _ if !in_flight.is_empty() => {
                let at = rng.random_range(0..in_flight.len());
                let (to, update) = match rng.random_bool(0.8) {
                    true => in_flight.swap_remove(at),
                    false => in_flight[at].clone(),
                };
                replicas[to].apply(update);
            }
            _ => {}
        }
        for (replica, highest) in replicas.iter().zip(&mut highest) {
            let version = content(replica, "config");
            let version = version.and_then(|text| text.strip_prefix("v ")?.parse().ok());
            let version: u64 = version.unwrap_or(*highest);
            assert!(
                version >= *highest,
                "seed {seed}: version {version} after {highest}"
            );
            *highest = version;
        }
    }
    store.rewrite();
    // Everyone hears the last era, from the store or from a peer that did.
    let update = store.answer(&replicas[0]);
    replicas[0].apply(update);
    for to in [1, 2] {
        let update = replicas[to - 1].changes_since(&replicas[to].held());
        replicas[to].apply(update.expect("changes"));
    }
    let expected = store.full().list;
    for replica in &mut replicas {
        // An evacuation that the store lacks stays in force for a limited time only.
        replica.release_unrenewed();
        let in_force = content(replica, ZONE).is_some();
        assert_eq!(in_force, store.is_evacuated, "seed {seed}");
        let documents: Vec<Change> = replica.iter().cloned().collect();
        assert_eq!(documents, expected, "seed {seed}");
        for document in &expected {
            let in_force = replica.content(&document.key);
            assert_eq!(in_force, document.value.as_ref(), "seed {seed}");
            assert!(
                !replica.is_unrenewed(&document.key),
                "seed {seed}\n{replica:#?}\n{expected:?}"
            );
        }
    }
    steps
}

#[test]
fn random_interleavings_of_eras_converge_and_never_go_back() {
    const INTERLEAVINGS: u64 = 20_000;
    let steps: usize = (0..INTERLEAVINGS).map(run_interleaving).sum();
    println!("interleavings={INTERLEAVINGS} steps={steps}");
}
