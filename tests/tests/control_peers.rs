//! Valid and invalid messages of peers, and a platform over HTTP.

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
use fake::{FakePlatform, Mode, has_event, revision, settings, wait_until};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

#[path = "control/fake.rs"]
#[allow(dead_code)]
mod fake;

/// Time for which a test watches that a forbidden change does not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(600);

/// Time for which the agent process is paused.
const PAUSE: Duration = Duration::from_secs(4);

/// Runs a test on a `LocalSet`, which the tasks of an agent need.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime built");
    LocalSet::new().block_on(&runtime, test);
}

fn deployment() -> Deployment {
    Deployment::of(DeploymentKind::Cascade)
}

fn name(text: &str) -> PresetName {
    text.parse().expect("valid name")
}

/// Starts an agent and connects to the agent as a peer does.
async fn start(fake: &FakePlatform) -> (Arc<Shared>, PeerClient) {
    let mut settings = settings("vm-001", "skagit", &[]);
    let peers = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener bound");
    let views = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener bound");
    settings.agent.listen = peers.local_addr().expect("socket address");
    let listen = settings.agent.listen;
    let agent = Agent::new(settings, peers, views);
    let shared = agent.shared();
    spawn_local(agent.run(fake.clone()));
    let client = PeerClient::connect(listen, listen.ip(), Arc::default()).await;
    wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
    (shared, client.expect("connected"))
}

fn now_ms() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().expect("clock is past 1970");
    u64::try_from(since.as_millis()).expect("time fits into 64 bits")
}

fn summary(vm: &str, incarnation: u64, uptime_s: u64) -> Summary {
    Summary {
        vm: vm.parse().expect("valid name"),
        heartbeat: Heartbeat {
            incarnation: Incarnation::from(incarnation),
            uptime_s,
        },
        known_incarnation: Incarnation::default(),
        config: DocumentVersion::default(),
        era: Revision::default(),
        index: 0,
        vms: DocumentVersion::default(),
        targets: DocumentVersion::default(),
        observations: Vec::new(),
        may_receive: true,
        has_preset: false,
    }
}

fn peer() -> VmId {
    "vm-002".parse().expect("valid name")
}

/// An update that carries a configuration.
fn config_update(pointer: String, preset: &str) -> Update {
    Update {
        config: Some(ConfigUpdate {
            pointer,
            era: Revision::default(),
            index: 50,
            preset: Patch::full(preset),
        }),
        ..Update::default()
    }
}

#[test]
fn peer_without_documents_receives_all_documents() {
    run(async {
        let published = deployment();
        let (_shared, client) = start(&FakePlatform::new(&published)).await;
        let response = client.exchange(&summary("vm-002", now_ms(), 1)).await;
        let (reply, update) = response.expect("response received");
        assert_eq!(reply.config.generation, Revision::from(1));
        assert!(update.config.is_some() && update.vms.is_some() && update.targets.is_some());
        // A peer that has all documents receives an empty update.
        let mut current = summary("vm-002", now_ms(), 2);
        (current.config, current.vms, current.targets) = (reply.config, reply.vms, reply.targets);
        let (_, update) = client.exchange(&current).await.expect("response received");
        assert!(update.is_empty());
    });
}

#[test]
fn preset_that_a_peer_keeps_is_not_sent_again() {
    run(async {
        let mut published = deployment();
        let fake = FakePlatform::new(&published);
        let (shared, client) = start(&fake).await;
        for (preset, expected) in [("peak-season", 2), ("ordinary", 3)] {
            published.switch(&name(preset));
            fake.edit(|store| store.publish(&published));
            wait_until(&shared, "switched", |shared| revision(shared) == expected).await;
        }
        let text = published
            .preset_text(&name("ordinary"))
            .expect("preset exists");
        let mut outdated = summary("vm-002", now_ms(), 1);
        outdated.config.generation = Revision::from(2);
        let (_, full) = client.exchange(&outdated).await.expect("response received");
        assert!(full.config.expect("configuration received").preset.size() >= text.len());
        outdated.has_preset = true;
        outdated.heartbeat.uptime_s = 2;
        let (reply, unchanged) = client.exchange(&outdated).await.expect("response received");
        let patch = unchanged.config.expect("configuration received").preset;
        assert!(patch.size() < 100);
        assert_eq!(patch.base, reply.config.prefix);
        assert_eq!(patch.apply(text).as_deref(), Ok(text));
        // The agent itself keeps presets that were in force before.
        let mut newer = summary("vm-003", now_ms(), 1);
        let peak = published
            .preset_text(&name("peak-season"))
            .expect("preset exists");
        newer.config.prefix = digest_prefix(&digest_of(peak));
        let (reply, _) = client.exchange(&newer).await.expect("response received");
        assert!(reply.has_preset);
    });
}

#[test]
fn polling_agent_reads_at_once_when_a_peer_has_a_newer_document() {
    run(async {
        // Nine VMs of one zone; the VM under test is not among the two that watch each key.
        let mut plan = Plan::of(DeploymentKind::Cascade);
        plan.zones = vec!["skagit"];
        let mut published = plan.with_vms(9).with_network([127, 69]).build();
        let names = published.vms.0.iter().map(|vm| vm.id.as_str()).enumerate();
        let ranking = Ranking::new(names);
        let watches = |index: usize| {
            let keys = ["preset-in-force", "vms", "targets"].map(FlowKey::from_name);
            let ranked = keys.map(|key| ranking.top::<2>(key));
            ranked.iter().any(|top| top.contains(&Some(index)))
        };
        let poller = (0..9).find(|index| !watches(*index));
        let vm = published.vms.0[poller.expect("VM exists")].id.to_string();
        let fake = FakePlatform::new(&published);
        let mut settings = settings(&vm, "skagit", &[]);
        settings.platform.poll_time = Duration::from_secs(3_600);
        settings.platform.watch_time = Duration::from_millis(100);
        let peers = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("listener bound");
        let views = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("listener bound");
        let listen = peers.local_addr().expect("socket address");
        let agent = Agent::new(settings, peers, views);
        let shared = agent.shared();
        spawn_local(agent.run(fake.clone()));
        wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
        // Watches that began before the list of VMs was known end in this time.
        sleep(4 * OBSERVATION_TIME).await;
        published.switch(&name("peak-season"));
        fake.edit(|store| store.publish(&published));
        sleep(OBSERVATION_TIME).await;
        assert_eq!(revision(&shared), 1);
        let client = PeerClient::connect(listen, listen.ip(), Arc::default()).await;
        let mut newer = summary("vm-100", now_ms(), 1);
        newer.config.generation = Revision::from(2);
        let client = client.expect("connected");
        client.exchange(&newer).await.expect("response received");
        wait_until(&shared, "switched", |shared| revision(shared) == 2).await;
        // A peer that announces a revision which does not exist causes one read, not a series.
        newer.config.generation = Revision::from(9);
        newer.heartbeat.uptime_s = 2;
        client.exchange(&newer).await.expect("response received");
        sleep(4 * OBSERVATION_TIME).await;
        let reads = fake.reads();
        sleep(4 * OBSERVATION_TIME).await;
        assert_eq!(fake.reads(), reads);
    });
}

#[test]
fn message_of_an_earlier_incarnation_is_refused_and_answered() {
    run(async {
        let (shared, client) = start(&FakePlatform::new(&deployment())).await;
        let now = now_ms();
        client
            .exchange(&summary("vm-002", now, 5))
            .await
            .expect("response received");
        let stale = summary("vm-002", now - 1_000, 900);
        let (reply, update) = client.exchange(&stale).await.expect("response received");
        assert_eq!(reply.known_incarnation, Incarnation::from(now));
        assert!(update.is_empty());
        assert!(has_event(&shared, "peer_refused"));
        // An incarnation far in the future is refused too, and does not block later messages of the
        // VM.
        let future = summary("vm-002", u64::MAX, 1);
        client.exchange(&future).await.expect("response received");
        let next = summary("vm-002", now + 10, 1);
        let (reply, update) = client.exchange(&next).await.expect("response received");
        assert_eq!(reply.known_incarnation, Incarnation::from(now + 10));
        assert!(!update.is_empty());
    });
}

#[test]
fn invalid_updates_change_nothing() {
    run(async {
        let mut published = deployment();
        let (shared, client) = start(&FakePlatform::new(&published)).await;
        let before = shared.sources().borrow().clone();
        let old = published.clone();
        published.switch(&name("peak-season"));
        let pointer = published.pointer.to_text();
        let other_preset = published
            .preset_text(&name("maintenance"))
            .expect("preset exists");
        let preset = published
            .preset_text(&name("peak-season"))
            .expect("preset exists");
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
        let prefix_of = |text: &str| digest_prefix(&digest_of(text));
        let mut no_base = config_update(pointer.clone(), preset);
        if let Some(config) = &mut no_base.config {
            config.preset.base = 99;
        }
        let invalid = [
            config_update(pointer.clone(), other_preset),
            config_update(pointer.replace("revision = 2", "revision = two"), preset),
            config_update(old.pointer.to_text(), "[preset]\n"),
            no_base,
            list("", 0, 5),
            list(bad_target, 0, prefix_of(bad_target)),
            // An era that no revision in force has confirmed.
            list("", 77, prefix_of("")),
        ];
        for update in &invalid {
            client
                .deliver(&peer(), update)
                .await
                .expect("response received");
        }
        assert_eq!(shared.sources().borrow().clone(), before);
        assert!(has_event(&shared, "peer_refused"));
        // The valid update is applied; an older update after it is not.
        let valid = config_update(pointer, preset);
        client
            .deliver(&peer(), &valid)
            .await
            .expect("response received");
        assert_eq!(revision(&shared), 2);
        let text = old.preset_text(&old.pointer.name).expect("preset exists");
        let old = config_update(old.pointer.to_text(), text);
        client
            .deliver(&peer(), &old)
            .await
            .expect("response received");
        assert_eq!(revision(&shared), 2);
    });
}

#[test]
fn joiner_that_the_platform_does_not_list_yet_gets_the_view_and_is_shown() {
    run(async {
        let mut published = deployment();
        published.vms.0.truncate(1);
        let fake = FakePlatform::new(&published);
        let (shared, _client) = start(&fake).await;
        let known = shared.settings().agent.listen;
        let joiner = Agent::bind(settings("vm-009", "yakima", &[known])).await;
        let joiner = joiner.expect("listener bound");
        let joined = joiner.shared();
        let platform = fake.new_client();
        platform.set_mode(Mode::Unreachable);
        spawn_local(joiner.run(platform));
        wait_until(&joined, "serving", |shared| revision(shared) == 1).await;
        wait_until(&shared, "joining VM in the status", |shared| {
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
            .expect("listener bound");
        platform.publish("bambooseam", &published);
        let mut settings = settings("vm-001", "skagit", &[]);
        settings.platform.addresses = vec![platform.address()];
        let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
        // The agent runs on its own thread, which is blocked like a stopped process.
        std::thread::spawn(move || {
            run(async move {
                let agent = Agent::bind(settings.clone()).await.expect("listener bound");
                let shared = agent.shared();
                let meter = Arc::clone(shared.platform_meter());
                spawn_local(agent.run(HttpPlatform::new(&settings.platform, meter)));
                wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
                sender
                    .send(Arc::clone(&shared))
                    .expect("receiver still open");
                std::thread::sleep(PAUSE);
                sender.send(shared).expect("receiver still open");
                std::future::pending::<()>().await;
            });
        });
        let mut receive = async || receiver.recv().await.expect("agent started");
        let shared = receive().await;
        published.switch(&name("maintenance"));
        platform.publish("bambooseam", &published);
        receive().await;
        let resumed = Instant::now();
        wait_until(&shared, "latest revision in force", |shared| {
            revision(shared) == 2
        })
        .await;
        assert!(
            resumed.elapsed() < Duration::from_secs(5),
            "the agent reached the latest revision {:?} after the pause, less than 5 s allowed",
            resumed.elapsed()
        );
        wait_until(&shared, "configuration checked after the pause", |shared| {
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
            .expect("listener bound");
        platform.publish("bambooseam", &published);
        let mut settings = settings("vm-001", "skagit", &[]);
        settings.platform.addresses = vec![platform.address()];
        let agent = Agent::bind(settings.clone()).await.expect("listener bound");
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
            sleep(OBSERVATION_TIME).await;
            assert!(revision(&shared) >= expected, "{mode}");
            expected += 1;
            platform.set_mode(PlatformMode::Ok);
            wait_until(&shared, "latest revision in force", |shared| {
                revision(shared) == expected
            })
            .await;
        }
        assert!(has_event(&shared, "platform_refused"));
        // While the platform returns a list of VMs that is older than the pointer, the agent keeps
        // the list that is in force.
        platform.set_lag("bambooseam/vms", Duration::from_secs(3));
        published.vms.0.truncate(3);
        published.switch(&name("maintenance"));
        platform.publish("bambooseam", &published);
        wait_until(&shared, "switched", |s| revision(s) == expected + 1).await;
        assert!(shared.sources().borrow().vms.contains("vm-005"));
        wait_until(&shared, "latest list in force", |s| {
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
            .expect("listener bound");
        platform.publish("bambooseam", &published);
        let mut agents = Vec::new();
        for vm in ["vm-001", "vm-002"] {
            let mut settings = settings(vm, "skagit", &[]);
            settings.platform.addresses = vec![platform.address()];
            let agent = Agent::bind(settings.clone()).await.expect("listener bound");
            let shared = agent.shared();
            let meter = Arc::clone(shared.platform_meter());
            spawn_local(agent.run(HttpPlatform::new(&settings.platform, meter)));
            wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
            agents.push(shared);
        }
        let key = "bambooseam/preset-in-force";
        let index = platform.get(key).expect("pointer exists").index;
        let mut accepted = Vec::new();
        for preset in ["peak-season", "maintenance"] {
            let mut switched = published.clone();
            switched.switch(&name(preset));
            accepted.push(platform.cas(key, switched.pointer.to_text(), index));
        }
        assert_eq!(accepted, [true, false]);
        for shared in &agents {
            wait_until(shared, "switched", |shared| revision(shared) == 2).await;
            // The status shows the preset of the operator whose write was accepted.
            assert_eq!(shared.status()["preset"], "peak-season");
            assert!(!has_event(shared, "revision_conflict"));
        }
    });
}
