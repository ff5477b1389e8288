//! Randomised runs of a fleet: whatever happens, no revision falls and no two presets are in force.
//!
//! `BAMBOOSEAM_CONTROL_STEPS` makes a run longer, `BAMBOOSEAM_CONTROL_SEED` sets another seed.

use std::time::Duration;

use bambooseam_config::{Document, PresetPointer};
use bambooseam_types::{Digest, Revision};
use fake::Mode;
use fleet::Fleet;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::LocalSet;
use tokio::time::sleep;

#[path = "control/fake.rs"]
#[allow(dead_code)]
mod fake;
#[path = "control/fleet.rs"]
#[allow(dead_code)]
mod fleet;

/// Steps when the environment sets none.
const STEPS: u64 = 60;

/// Seed when the environment sets none.
const SEED: u64 = 20_261_203;

/// Agents of the fleet.
const AGENTS: usize = 6;

/// Longest pause between two steps, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Presets among which is switched.
const PRESETS: [&str; 3] = ["ordinary", "peak-season", "maintenance"];

/// Zones that are cut off.
const ZONES: [&str; 3] = ["skagit", "yakima", "palouse"];

/// What has been seen so far.
#[derive(Default)]
struct Seen {
    /// Revision of each running process.
    revisions: [Revision; AGENTS],
    /// Digest of each revision that was in force anywhere.
    digests: Vec<(Revision, Digest)>,
}

impl Seen {
    /// Checks what each agent serves now against all that was seen before.
    fn check(&mut self, fleet: &Fleet, place: &str) {
        for (index, node) in fleet.nodes.iter().enumerate() {
            let sources = node.shared.sources();
            let source = sources.borrow().clone();
            if !node.is_running() || source.pointer.is_empty() {
                continue;
            }
            let document = Document::parse("pointer", &source.pointer).expect("INI");
            let pointer = PresetPointer::try_from(&document).expect("a checked pointer");
            let before = self.revisions[index];
            assert!(
                pointer.revision >= before,
                "{place}: {} fell from {before}",
                node.vm
            );
            self.revisions[index] = pointer.revision;
            let found = self.digests.iter().find(|seen| seen.0 == pointer.revision);
            match found {
                Some((revision, digest)) => {
                    assert_eq!(
                        *digest, pointer.digest,
                        "{place}: two presets of {revision}"
                    );
                }
                None => self.digests.push((pointer.revision, pointer.digest)),
            }
        }
    }
}

/// Does one random thing to the fleet.
async fn step(fleet: &mut Fleet, seen: &mut Seen, rng: &mut StdRng) -> &'static str {
    let index = rng.random_range(0..AGENTS);
    match rng.random_range(0..10) {
        0..=2 => {
            let name = PRESETS.choose(rng).expect("a preset");
            fleet.switch(name);
            "switch"
        }
        3 | 4 => {
            fleet.nodes[index].kill().await;
            seen.revisions[index] = Revision::default();
            "kill"
        }
        5 => {
            if !fleet.nodes[index].is_running() {
                fleet.nodes[index].restart().await;
            }
            "restart"
        }
        6 | 7 => {
            let modes = [
                Mode::Good,
                Mode::Down,
                Mode::Silent,
                Mode::Refusing,
                Mode::Stale,
            ];
            fleet.nodes[index]
                .platform
                .set(*modes.choose(rng).expect("a mode"));
            "mode"
        }
        8 => {
            let zone = ZONES.choose(rng).expect("a zone");
            fleet
                .partitions
                .add(&fleet.zone(zone), &fleet.outside(zone));
            "cut"
        }
        _ => {
            fleet.partitions.heal();
            "heal"
        }
    }
}

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_revision_falls_and_no_two_presets_are_in_force() {
    let steps = from_environment("BAMBOOSEAM_CONTROL_STEPS", STEPS);
    let seed = from_environment("BAMBOOSEAM_CONTROL_SEED", SEED);
    println!("seed={seed} steps={steps}");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::start([127, 68], AGENTS, Mode::Good).await;
        let mut seen = Seen::default();
        for number in 0..steps {
            let done = step(&mut fleet, &mut seen, &mut rng).await;
            sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
            seen.check(&fleet, &format!("seed {seed} step {number} {done}"));
        }
        // When all is well again, everyone gets the newest.
        fleet.partitions.heal();
        for index in 0..AGENTS {
            fleet.nodes[index].platform.set(Mode::Good);
            if !fleet.nodes[index].is_running() {
                fleet.nodes[index].restart().await;
                seen.revisions[index] = Revision::default();
            }
        }
        let expected = fleet.switch("ordinary");
        fleet.wait_for(expected).await;
        seen.check(&fleet, &format!("seed {seed} end"));
    });
}
