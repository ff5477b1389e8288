//! Randomised runs of a fleet with switches, crashes, platform faults and network partitions.
//!
//! After each step the test checks two invariants: the revision that a process serves never
//! decreases, and no two presets are in force under one revision. After the last step all faults
//! end, and every agent must reach the latest revision.
//! `BAMBOOSEAM_CONTROL_STEPS` sets the number of steps, `BAMBOOSEAM_CONTROL_SEED` the seed.

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

/// Number of steps unless the environment sets another one.
const STEPS: u64 = 60;

/// Seed unless the environment sets another one.
const SEED: u64 = 20_261_203;

/// Number of agents in the fleet.
const AGENTS: usize = 6;

/// Longest pause between two steps, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Presets that a step may switch to.
const PRESETS: [&str; 3] = ["ordinary", "peak-season", "maintenance"];

/// Zones that a step may cut off.
const ZONES: [&str; 3] = ["skagit", "yakima", "palouse"];

/// Revisions and digests that the agents have served so far.
#[derive(Default)]
struct History {
    /// Last revision of each running process.
    revisions: [Revision; AGENTS],
    /// Digest of each revision that was in force on any VM.
    digests: Vec<(Revision, Digest)>,
}

impl History {
    /// Checks the revision and digest that each agent serves against the earlier ones.
    fn check(&mut self, fleet: &Fleet, context: &str) {
        for (index, node) in fleet.nodes.iter().enumerate() {
            let sources = node.shared.sources();
            let source = sources.borrow().clone();
            if !node.is_running() || source.pointer.is_empty() {
                continue;
            }
            let document = Document::parse("pointer", &source.pointer).expect("valid INI");
            let pointer = PresetPointer::try_from(&document).expect("valid pointer");
            let before = self.revisions[index];
            assert!(
                pointer.revision >= before,
                "{context}: revision of {} fell below {before}",
                node.vm
            );
            self.revisions[index] = pointer.revision;
            let known = self
                .digests
                .iter()
                .find(|known| known.0 == pointer.revision);
            match known {
                Some((revision, digest)) => {
                    assert_eq!(
                        *digest, pointer.digest,
                        "{context}: two presets under revision {revision}"
                    );
                }
                None => self.digests.push((pointer.revision, pointer.digest)),
            }
        }
    }
}

/// Applies one random action to the fleet and returns the name of the action.
async fn step(fleet: &mut Fleet, history: &mut History, rng: &mut StdRng) -> &'static str {
    let index = rng.random_range(0..AGENTS);
    match rng.random_range(0..10) {
        0..=2 => {
            let name = PRESETS.choose(rng).expect("preset exists");
            fleet.switch(name);
            "switch"
        }
        3 | 4 => {
            fleet.nodes[index].kill().await;
            history.revisions[index] = Revision::default();
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
                Mode::Available,
                Mode::Unreachable,
                Mode::Unresponsive,
                Mode::RateLimited,
                Mode::Stale,
            ];
            fleet.nodes[index]
                .platform
                .set_mode(*modes.choose(rng).expect("mode exists"));
            "mode"
        }
        8 => {
            let zone = ZONES.choose(rng).expect("zone exists");
            fleet
                .partitions
                .add(&fleet.zone(zone), &fleet.outside_zone(zone));
            "cut"
        }
        _ => {
            fleet.partitions.heal();
            "heal"
        }
    }
}

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("variable is a number"))
}

#[test]
fn no_revision_falls_and_no_two_presets_are_in_force() {
    let steps = from_environment("BAMBOOSEAM_CONTROL_STEPS", STEPS);
    let seed = from_environment("BAMBOOSEAM_CONTROL_SEED", SEED);
    println!("seed={seed} steps={steps}");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime built");
    LocalSet::new().block_on(&runtime, async {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::start([127, 68], AGENTS, Mode::Available).await;
        let mut history = History::default();
        for index in 0..steps {
            let action = step(&mut fleet, &mut history, &mut rng).await;
            sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
            history.check(&fleet, &format!("seed {seed} step {index} {action}"));
        }
        // After all faults have ended, every agent gets the latest revision.
        fleet.partitions.heal();
        for index in 0..AGENTS {
            fleet.nodes[index].platform.set_mode(Mode::Available);
            if !fleet.nodes[index].is_running() {
                fleet.nodes[index].restart().await;
                history.revisions[index] = Revision::default();
            }
        }
        let expected = fleet.switch("ordinary");
        fleet.wait_for_revision(expected).await;
        history.check(&fleet, &format!("seed {seed} end"));
    });
}
