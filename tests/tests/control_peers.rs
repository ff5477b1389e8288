//! Messages of peers, some of them bad, and a platform over HTTP.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_agent::{Agent, HttpPlatform, Shared};
use bambooseam_config::digest_of;
use bambooseam_peer::agent::{
    ConfigUpdate, DocumentVersion, Heartbeat, ListUpdate, Patch, PeerClient, Summary, Update,
    digest_prefix,
};
use bambooseam_standin::{Deployment, DeploymentKind, Mode as PlatformMode, Plan, Platform};
use bambooseam_types::{Incarnation, PresetName, Revision, VmId};
use bambooseam_view::{FlowKey, Ranking};
use fake::{Fake, Mode, has_event, revision, settings, wait_until};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

#[path = "control/fake.rs"]
#[allow(dead_code)]
mod fake;

/// Time in which something that must not happen would have happened.
const QUIET: Duration = Duration::from_millis(600);

/// Time for which a process is paused.
const PAUSE: Duration = Duration::from_secs(4);

/// Runs a test on a `LocalSet`.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn deployment() -> Deployment {
    Deployment::of(DeploymentKind::Cascade)
}

fn name(text: &str) -> PresetName {
    text.parse().expect("a name")
}

/// An agent, and a connection to it as a peer has one.
async fn start(fake: &Fake) -> (Arc<Shared>, PeerClient) {
    let mut settings = settings("vm-001", "skagit", &[]);
    let peers = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bound");
    let views = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bound");
    settings.agent.listen = peers.local_addr().expect("an address");
    let listen = settings.agent.listen;
    let agent = Agent::new(settings, peers, views);
    let shared = agent.shared();
    spawn_local(agent.run(fake.clone()));
    let link = PeerClient::connect(listen, listen.ip(), Arc::default()).await;
    wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
    (shared, link.expect("connected"))
}

fn now_ms() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().expect("a clock");
    u64::try_from(since.as_millis()).expect("a time")
}

fn summary(vm: &str, incarnation: u64, uptime_s: u64) -> Summary {
    Summary {
        vm: vm.parse().expect("a name"),
        heartbeat: Heartbeat {
            incarnation: Incarnation::from(incarnation),
            uptime_s,
        },
        known_incarnation: Incarnation::default(),
        config: DocumentVersion::default(),
        epoch: Revision::default(),
        index: 0,
        vms: DocumentVersion::default(),
        targets: DocumentVersion::default(),
        observations: Vec::new(),
        may_receive: true,
        has_preset: false,
    }
}

fn peer() -> VmId {
    "vm-002".parse().expect("a name")
}

/// An update that brings a configuration.
fn config_update(pointer: String, preset: &str) -> Update {
    Update {
        config: Some(ConfigUpdate {
            pointer,
            epoch: Revision::default(),
            index: 50,
            preset: Patch::full(preset),
        }),
        ..Update::default()
    }
}

#[test]
fn empty_peer_is_brought_everything() {
    run(async {
        let published = deployment();
        let (_shared, link) = start(&Fake::new(&published)).await;
        let answer = link.exchange(&summary("vm-002", now_ms(), 1)).await;
        let (theirs, update) = answer.expect("an answer");
        assert_eq!(theirs.config.generation, Revision::from(1));
        assert!(update.config.is_some() && update.vms.is_some() && update.targets.is_some());
        // One who holds all of it is brought nothing.
        let mut holding = summary("vm-002", now_ms(), 2);
        (holding.config, holding.vms, holding.targets) =
            (theirs.config, theirs.vms, theirs.targets);
        let (_, update) = link.exchange(&holding).await.expect("an answer");
        assert!(update.is_empty());
    });
}

#[test]
fn preset_that_a_peer_keeps_is_not_sent_again() {
    run(async {
        let mut published = deployment();
        let fake = Fake::new(&published);
        let (shared, link) = start(&fake).await;
        for (preset, expected) in [("peak-season", 2), ("ordinary", 3)] {
            published.switch(&name(preset));
            fake.edit(|store| store.publish(&published));
            wait_until(&shared, "switched", |shared| revision(shared) == expected).await;
        }
        let text = published.preset_text(&name("ordinary")).expect("a preset");
        let mut behind = summary("vm-002", now_ms(), 1);
        behind.config.generation = Revision::from(2);
        let (_, whole) = link.exchange(&behind).await.expect("an answer");
        assert!(whole.config.expect("a configuration").preset.size() >= text.len());
        behind.has_preset = true;
        behind.heartbeat.uptime_s = 2;
        let (theirs, copied) = link.exchange(&behind).await.expect("an answer");
        let patch = copied.config.expect("a configuration").preset;
        assert!(patch.size() < 100);
        assert_eq!(patch.base, theirs.config.prefix);
        assert_eq!(patch.apply(text).as_deref(), Ok(text));
        // The agent itself keeps presets that were in force before.
        let mut newer = summary("vm-003", now_ms(), 1);
        let peak = published
            .preset_text(&name("peak-season"))
            .expect("a preset");
        newer.config.prefix = digest_prefix(&digest_of(peak));
        let (theirs, _) = link.exchange(&newer).await.expect("an answer");
        assert!(theirs.has_preset);
    });
}

#[test]
fn polling_agent_reads_at_once_when_a_peer_holds_something_newer() {
    run(async {
        // Nine VMs of one zone; the one under test is not among the two that watch a key.
        let mut plan = Plan::of(DeploymentKind::Cascade);
        plan.zones = vec!["skagit"];
        let mut published = plan.with_vms(9).with_network([127, 69]).build();
        let names = published.vms.0.iter().map(|vm| vm.id.as_str()).enumerate();
        let ranking = Ranking::new(names);
        let watches = |index: usize| {
            let keys = ["preset-in-force", "vms", "targets"].map(FlowKey::from_name);
            let tops = keys.map(|key| ranking.top::<2>(key));
            tops.iter().any(|top| top.contains(&Some(index)))
        };
        let polling = (0..9).find(|index| !watches(*index));
        let vm = published.vms.0[polling.expect("a VM")].id.to_string();
        let fake = Fake::new(&published);
        let mut settings = settings(&vm, "skagit", &[]);
        settings.platform.poll_time = Duration::from_secs(3_600);
        settings.platform.watch_time = Duration::from_millis(100);
        let peers = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bound");
        let views = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bound");
        let listen = peers.local_addr().expect("an address");
        let agent = Agent::new(settings, peers, views);
        let shared = agent.shared();
        spawn_local(agent.run(fake.clone()));
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
        // The watches that began before the list of VMs was known end meanwhile.
        sleep(4 * QUIET).await;
        published.switch(&name("peak-season"));
        fake.edit(|store| store.publish(&published));
        sleep(QUIET).await;
        assert_eq!(revision(&shared), 1);
        let link = PeerClient::connect(listen, listen.ip(), Arc::default()).await;
        let mut newer = summary("vm-100", now_ms(), 1);
        newer.config.generation = Revision::from(2);
        let link = link.expect("connected");
        link.exchange(&newer).await.expect("an answer");
        wait_until(&shared, "switched", |shared| revision(shared) == 2).await;
        // A false word costs one read, not one after the other.
        newer.config.generation = Revision::from(9);
        newer.heartbeat.uptime_s = 2;
        link.exchange(&newer).await.expect("an answer");
        sleep(4 * QUIET).await;
        let reads = fake.reads();
        sleep(4 * QUIET).await;
        assert_eq!(fake.reads(), reads);
    });
}

#[test]
fn sender_of_an_earlier_start_is_told_and_changes_nothing() {
    run(async {
        let (shared, link) = start(&Fake::new(&deployment())).await;
        let now = now_ms();
        link.exchange(&summary("vm-002", now, 5))
            .await
            .expect("an answer");
        let late = summary("vm-002", now - 1_000, 900);
        let (theirs, update) = link.exchange(&late).await.expect("an answer");
        assert_eq!(theirs.known_incarnation, Incarnation::from(now));
        assert!(update.is_empty());
        assert!(has_event(&shared, "peer_refused"));
        // A start far in the future is refused, too, and does not shut the VM out.
        let future = summary("vm-002", u64::MAX, 1);
        link.exchange(&future).await.expect("an answer");
        let next = summary("vm-002", now + 10, 1);
        let (theirs, update) = link.exchange(&next).await.expect("an answer");
        assert_eq!(theirs.known_incarnation, Incarnation::from(now + 10));
        assert!(!update.is_empty());
    });
}

#[test]
fn bad_updates_change_nothing() {
    run(async {
        let mut published = deployment();
        let (shared, link) = start(&Fake::new(&published)).await;
        let before = shared.sources().borrow().clone();
        let old = published.clone();
        published.switch(&name("peak-season"));
        let pointer = published.pointer.to_text();
        let other = published
            .preset_text(&name("maintenance"))
            .expect("a preset");
        let good = published
            .preset_text(&name("peak-season"))
            .expect("a preset");
        let list = |text: &str, generation: u64, prefix: u64| Update {
            targets: Some(ListUpdate {
                version: DocumentVersion {
                    generation: Revision::from(generation),
                    index: 1_000_000,
                    prefix,
                },
                patch: Patch::full(text),
            }),
            ..Update::default()
        };
        let bad_target = "[target a]\nservice = none\n";
        let mark = |text: &str| digest_prefix(&digest_of(text));
        let mut no_base = config_update(pointer.clone(), good);
        if let Some(config) = &mut no_base.config {
            config.preset.base = 99;
        }
        let bad = [
            config_update(pointer.clone(), other),
            config_update(pointer.replace("revision = 2", "revision = two"), good),
            config_update(old.pointer.to_text(), "[preset]\n"),
            no_base,
            list("", 0, 5),
            list(bad_target, 0, mark(bad_target)),
            // An era that no revision in force has proved.
            list("", 77, mark("")),
        ];
        for update in &bad {
            link.deliver(&peer(), update).await.expect("an answer");
        }
        assert_eq!(shared.sources().borrow().clone(), before);
        assert!(has_event(&shared, "peer_refused"));
        // The good one is taken, and the old one after it is not.
        let good = config_update(pointer, good);
        link.deliver(&peer(), &good).await.expect("an answer");
        assert_eq!(revision(&shared), 2);
        let text = old.preset_text(&old.pointer.name).expect("a preset");
        let old = config_update(old.pointer.to_text(), text);
        link.deliver(&peer(), &old).await.expect("an answer");
        assert_eq!(revision(&shared), 2);
    });
}

#[test]
fn joiner_that_the_platform_does_not_list_yet_gets_the_view_and_is_shown() {
    run(async {
        let mut published = deployment();
        published.vms.0.truncate(1);
        let fake = Fake::new(&published);
        let (shared, _link) = start(&fake).await;
        let known = shared.settings().agent.listen;
        let joiner = Agent::bind(settings("vm-009", "yakima", &[known])).await;
        let joiner = joiner.expect("bound");
        let joined = joiner.shared();
        let platform = fake.another();
        platform.set(Mode::Down);
        spawn_local(joiner.run(platform));
        wait_until(&joined, "serving", |shared| revision(shared) == 1).await;
        wait_until(&shared, "shown", |shared| {
            let vms = shared.status()["vms"].to_string();
            vms.contains("vm-009") && vms.contains("joining")
        })
        .await;
    });
}

#[test]
fn paused_process_checks_before_it_serves_again() {
    run(async {
        let mut published = deployment();
        let platform = Platform::start(([127, 0, 0, 1], 0).into())
            .await
            .expect("bound");
        platform.publish("bambooseam", &published);
        let mut settings = settings("vm-001", "skagit", &[]);
        settings.platform.addresses = vec![platform.address()];
        let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
        // The agent has a thread of its own, which is blocked as a stopped process would be.
        std::thread::spawn(move || {
            run(async move {
                let agent = Agent::bind(settings.clone()).await.expect("bound");
                let shared = agent.shared();
                let meter = Arc::clone(shared.platform_meter());
                spawn_local(agent.run(HttpPlatform::new(&settings.platform, meter)));
                wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
                sender.send(Arc::clone(&shared)).expect("a receiver");
                std::thread::sleep(PAUSE);
                sender.send(shared).expect("a receiver");
                std::future::pending::<()>().await;
            });
        });
        let mut receive = async || receiver.recv().await.expect("an agent");
        let shared = receive().await;
        published.switch(&name("maintenance"));
        platform.publish("bambooseam", &published);
        receive().await;
        let woken = Instant::now();
        wait_until(&shared, "current", |shared| revision(shared) == 2).await;
        assert!(
            woken.elapsed() < Duration::from_secs(5),
            "{:?}",
            woken.elapsed()
        );
        wait_until(&shared, "checked", |shared| {
            has_event(shared, "pause_checked")
        })
        .await;
        assert!(has_event(&shared, "pause_found"));
    });
}

#[test]
fn http_platform_with_each_fault_reverts_nothing_and_recovers() {
    run(async {
        let mut published = deployment();
        let platform = Platform::start(([127, 0, 0, 1], 0).into())
            .await
            .expect("bound");
        platform.publish("bambooseam", &published);
        let mut settings = settings("vm-001", "skagit", &[]);
        settings.platform.addresses = vec![platform.address()];
        let agent = Agent::bind(settings.clone()).await.expect("bound");
        let shared = agent.shared();
        let meter = Arc::clone(shared.platform_meter());
        spawn_local(agent.run(HttpPlatform::new(&settings.platform, meter)));
        let mut expected = 1;
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
        for mode in [
            PlatformMode::Slow(Duration::from_millis(300)),
            PlatformMode::Stale,
            PlatformMode::Refusing,
            PlatformMode::Down,
        ] {
            platform.set_mode(mode);
            published.switch(&name(["ordinary", "peak-season"][expected as usize % 2]));
            platform.publish("bambooseam", &published);
            sleep(QUIET).await;
            assert!(revision(&shared) >= expected, "{mode}");
            expected += 1;
            platform.set_mode(PlatformMode::Ok);
            wait_until(&shared, "current", |shared| revision(shared) == expected).await;
        }
        assert!(has_event(&shared, "platform_refused"));
        // A list that lags behind the pointer stays as it was until it is shown.
        platform.set_lag("bambooseam/vms", Duration::from_secs(3));
        published.vms.0.truncate(3);
        published.switch(&name("maintenance"));
        platform.publish("bambooseam", &published);
        wait_until(&shared, "switched", |s| revision(s) == expected + 1).await;
        assert!(shared.sources().borrow().vms.contains("vm-005"));
        wait_until(&shared, "listed", |s| {
            !s.sources().borrow().vms.contains("vm-005")
        })
        .await;
    });
}

#[test]
fn one_of_two_racing_operators_wins_everywhere() {
    run(async {
        let published = deployment();
        let platform = Platform::start(([127, 0, 0, 1], 0).into())
            .await
            .expect("bound");
        platform.publish("bambooseam", &published);
        let mut agents = Vec::new();
        for vm in ["vm-001", "vm-002"] {
            let mut settings = settings(vm, "skagit", &[]);
            settings.platform.addresses = vec![platform.address()];
            let agent = Agent::bind(settings.clone()).await.expect("bound");
            let shared = agent.shared();
            let meter = Arc::clone(shared.platform_meter());
            spawn_local(agent.run(HttpPlatform::new(&settings.platform, meter)));
            wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
            agents.push(shared);
        }
        let key = "bambooseam/preset-in-force";
        let index = platform.get(key).expect("a pointer").index;
        let mut taken = Vec::new();
        for preset in ["peak-season", "maintenance"] {
            let mut switched = published.clone();
            switched.switch(&name(preset));
            taken.push(platform.cas(key, switched.pointer.to_text(), index));
        }
        assert_eq!(taken, [true, false]);
        for shared in &agents {
            wait_until(shared, "switched", |shared| revision(shared) == 2).await;
            // The loser's preset is not the one that status shows.
            assert_eq!(shared.status()["preset"], "peak-season");
            assert!(!has_event(shared, "revision_conflict"));
        }
    });
}
