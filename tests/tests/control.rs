//! One agent and its platform: which documents the agent applies, which ones the agent refuses,
//! and which configuration stays in force.

use std::sync::Arc;
use std::time::Duration;

use bambooseam_agent::{Agent, Shared};
use bambooseam_peer::feed::subscribe;
use bambooseam_standin::{Deployment, DeploymentKind};
use bambooseam_types::{PresetName, Revision};
use fake::{FakePlatform, Mode, WAIT_LIMIT, has_event, revision, settings, wait_until};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

#[path = "control/fake.rs"]
#[allow(dead_code)]
mod fake;

/// Time for which a test watches that a forbidden change does not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(600);

fn deployment() -> Deployment {
    Deployment::of(DeploymentKind::Cascade)
}

fn name(text: &str) -> PresetName {
    text.parse().expect("valid name")
}

/// Starts an agent without peers.
async fn start(fake: &FakePlatform) -> Arc<Shared> {
    let agent = Agent::bind(settings("vm-001", "skagit", &[])).await;
    let agent = agent.expect("listener bound");
    let shared = agent.shared();
    spawn_local(agent.run(fake.clone()));
    shared
}

/// Runs a test on a `LocalSet`, which the tasks of an agent need.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime built");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn view_reaches_a_program_and_is_acknowledged() {
    run(async {
        let fake = FakePlatform::new(&deployment());
        let agent = Agent::bind(settings("vm-001", "skagit", &[])).await;
        let agent = agent.expect("listener bound");
        let views = agent.views().expect("socket address");
        let shared = agent.shared();
        spawn_local(agent.run(fake.clone()));
        let mut receiver = subscribe(views, "forwarder").expect("thread started");
        let arrived = tokio::time::timeout(WAIT_LIMIT, receiver.wait_for(Option::is_some)).await;
        let view = arrived
            .expect("view received in time")
            .expect("feed still open")
            .clone();
        let view = view.expect("view received");
        assert_eq!(view.revision(), Revision::from(1));
        wait_until(&shared, "acknowledged", |shared| {
            let status = shared.status();
            status["programs"][0]["view"].as_u64() == Some(view.number.get())
        })
        .await;
    });
}

#[test]
fn preset_switch_is_applied_and_shown() {
    run(async {
        let mut published = deployment();
        let fake = FakePlatform::new(&published);
        let shared = start(&fake).await;
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
        published.switch(&name("peak-season"));
        fake.edit(|store| store.publish(&published));
        wait_until(&shared, "switched", |shared| revision(shared) == 2).await;
        assert_eq!(shared.status()["preset"], "peak-season");
        assert!(has_event(&shared, "preset_switched"));
    });
}

#[test]
fn invalid_documents_are_refused_and_the_last_valid_ones_stay() {
    run(async {
        let mut published = deployment();
        let fake = FakePlatform::new(&published);
        let shared = start(&fake).await;
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
        let before = shared.sources().borrow().clone();
        // A list with one invalid entry, and a pointer whose digest matches no preset.
        fake.edit(|store| {
            let vms = published.vms.to_text();
            store.put("vms", &vms.replacen("state = live", "state = alive", 1));
            let text = published.preset_text(&name("maintenance"));
            let text = text
                .expect("preset exists")
                .replace("slots = 2", "slots = 3");
            store.put("presets/maintenance", &text);
        });
        published.switch(&name("maintenance"));
        fake.edit(|store| store.put("preset-in-force", &published.pointer.to_text()));
        wait_until(&shared, "two documents refused", |shared| {
            let status = shared.status();
            status["refused"].as_array().map(Vec::len) == Some(2)
        })
        .await;
        assert_eq!(shared.sources().borrow().clone(), before);
        let status = shared.status();
        let findings = status["refused"].to_string();
        assert!(findings.contains("vms:3: vm vm-001.state"), "{findings}");
        assert!(findings.contains("in-force.digest"), "{findings}");
        // The matching preset ends the refusal without another switch.
        fake.edit(|store| store.publish(&published));
        wait_until(&shared, "switched", |shared| revision(shared) == 2).await;
        wait_until(&shared, "no document refused", |shared| {
            shared.status()["refused"].as_array().map(Vec::len) == Some(0)
        })
        .await;
    });
}

#[test]
fn stale_platform_reverts_nothing() {
    run(async {
        let mut published = deployment();
        let fake = FakePlatform::new(&published);
        let old = fake.snapshot();
        let shared = start(&fake).await;
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
        published.switch(&name("peak-season"));
        published.vms.0.truncate(4);
        fake.edit(|store| store.publish(&published));
        wait_until(&shared, "switched", |shared| {
            revision(shared) == 2 && shared.sources().borrow().vms == published.vms.to_text()
        })
        .await;
        let before = shared.sources().borrow().clone();
        fake.edit(|store| *store = old);
        wait_until(&shared, "stale platform reported", |shared| {
            has_event(shared, "platform_stale")
        })
        .await;
        sleep(OBSERVATION_TIME).await;
        assert_eq!(shared.sources().borrow().clone(), before);
    });
}

#[test]
fn failing_platform_leaves_the_view_in_force_and_is_read_again_later() {
    for (mode, event) in [
        (Mode::Unreachable, "platform_lost"),
        (Mode::Unresponsive, "platform_lost"),
        (Mode::RateLimited, "platform_refused"),
    ] {
        run(async {
            let mut published = deployment();
            let fake = FakePlatform::new(&published);
            let shared = start(&fake).await;
            wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
            fake.set_mode(mode);
            wait_until(&shared, event, |shared| has_event(shared, event)).await;
            let reads = fake.reads();
            sleep(OBSERVATION_TIME).await;
            // Each of the three documents is read again after a growing pause of at least 200 ms.
            assert!(
                fake.reads() - reads <= 12,
                "{} reads while the platform fails",
                fake.reads() - reads
            );
            assert_eq!(revision(&shared), 1);
            published.switch(&name("peak-season"));
            fake.edit(|store| store.publish(&published));
            fake.set_mode(Mode::Available);
            wait_until(&shared, "switched", |shared| revision(shared) == 2).await;
            assert!(has_event(&shared, "platform_found"));
        });
    }
}

#[test]
fn flapping_platform_does_not_stop_a_change() {
    run(async {
        let mut published = deployment();
        let fake = FakePlatform::new(&published);
        let shared = start(&fake).await;
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
        for (round, preset) in ["peak-season", "maintenance", "ordinary"]
            .iter()
            .enumerate()
        {
            fake.set_mode(Mode::Unreachable);
            published.switch(&name(preset));
            fake.edit(|store| store.publish(&published));
            sleep(Duration::from_millis(100)).await;
            fake.set_mode(Mode::Available);
            let expected = round as u64 + 2;
            wait_until(&shared, "switched", |shared| revision(shared) == expected).await;
        }
    });
}

#[test]
fn nothing_is_served_before_a_configuration_is_known() {
    run(async {
        let fake = FakePlatform::new(&deployment());
        fake.set_mode(Mode::Unreachable);
        let shared = start(&fake).await;
        wait_until(&shared, "event serving_nothing recorded", |shared| {
            has_event(shared, "serving_nothing")
        })
        .await;
        assert_eq!(shared.status()["serving"], false);
        assert!(!*shared.ready().borrow());
        fake.set_mode(Mode::Available);
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
    });
}

#[test]
fn two_presets_under_one_revision_are_decided_by_digest() {
    run(async {
        let published = deployment();
        let mut versions = Vec::new();
        for preset in ["peak-season", "maintenance"] {
            let mut version = published.clone();
            version.switch(&name(preset));
            versions.push(version);
        }
        versions.sort_by_key(|version| version.pointer.digest);
        for order in [[0, 1], [1, 0]] {
            let fake = FakePlatform::new(&published);
            let shared = start(&fake).await;
            for version in order {
                fake.edit(|store| store.publish(&versions[version]));
                sleep(OBSERVATION_TIME).await;
            }
            wait_until(&shared, "conflict reported", |shared| {
                has_event(shared, "revision_conflict")
            })
            .await;
            let winner = versions[1].pointer.name.as_str();
            wait_until(
                &shared,
                "preset with the higher digest in force",
                |shared| shared.status()["preset"] == winner,
            )
            .await;
        }
    });
}

#[test]
fn lists_of_a_rebuilt_platform_apply_from_the_next_revision_on() {
    run(async {
        let mut published = deployment();
        let fake = FakePlatform::new(&published);
        fake.edit(|store| {
            store.count_from(1_000);
            store.publish(&published);
        });
        let shared = start(&fake).await;
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
        let mut rebuilt = fake::Store::default();
        published.targets.targets.truncate(10);
        rebuilt.publish(&published);
        fake.edit(|store| *store = rebuilt);
        sleep(OBSERVATION_TIME).await;
        assert_ne!(
            shared.sources().borrow().targets,
            published.targets.to_text()
        );
        published.switch(&name("ordinary"));
        fake.edit(|store| store.publish(&published));
        wait_until(
            &shared,
            "lists of the rebuilt platform in force",
            |shared| {
                revision(shared) == 2
                    && shared.sources().borrow().targets == published.targets.to_text()
            },
        )
        .await;
        assert!(has_event(&shared, "platform_rebuilt"));
    });
}
