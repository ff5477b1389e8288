//! Messages between agents that are well-formed but have arbitrary contents.

use std::sync::Arc;

use bambooseam_agent::{Agent, Shared};
use bambooseam_peer::agent::{
    ConfigUpdate, DocumentVersion, Heartbeat, ListUpdate, Observation, Patch, PeerClient, Step,
    Summary, Update,
};
use bambooseam_standin::{Deployment, DeploymentKind};
use bambooseam_tests::inputs::{for_each_bytes, for_each_input};
use bambooseam_types::{Incarnation, Revision, VmId};
use bolero::generator::produce;
use fake::{FakePlatform, revision, settings, wait_until};
use tokio::task::{LocalSet, spawn_local};

#[path = "control/fake.rs"]
#[allow(dead_code)]
mod fake;

/// Number of messages that are sent to one agent.
const MESSAGES: usize = 400;

/// Longest input in bytes.
const LIMIT: usize = 256;

/// Numbers at the limits of the field types, and small ones.
const NUMBERS: [u64; 8] = [0, 1, 2, 77, 1 << 31, 1 << 32, u64::MAX - 1, u64::MAX];

/// Fragments of documents, some of them truncated or invalid.
const FRAGMENTS: [&str; 12] = [
    "[in-force]\n",
    "revision = 2\n",
    "revision = 18446744073709551615\n",
    "name = ordinary\n",
    "digest = 00\n",
    "[preset]\n",
    "[vm vm-001]\n",
    "zone = skagit\n",
    "address = 10.0.0.1\n",
    "[target a]\n",
    "service = fill-orders\n",
    "é\0",
];

/// Draws numbers, texts and messages from random bytes.
struct Choices<'a>(std::slice::Iter<'a, u8>);

impl Choices<'_> {
    fn choose(&mut self, limit: usize) -> usize {
        usize::from(self.0.next().copied().unwrap_or_default()) % limit
    }

    fn number(&mut self) -> u64 {
        NUMBERS[self.choose(NUMBERS.len())]
    }

    fn text(&mut self) -> String {
        let count = self.choose(5);
        (0..count)
            .map(|_| FRAGMENTS[self.choose(FRAGMENTS.len())])
            .collect()
    }

    fn vm(&mut self) -> VmId {
        let names = ["vm-001", "vm-002", "vm-003", "vm-999", "x"];
        names[self.choose(names.len())].parse().expect("valid name")
    }

    fn heartbeat(&mut self) -> Heartbeat {
        Heartbeat {
            incarnation: Incarnation::from(self.number()),
            uptime_s: self.number(),
        }
    }

    fn version(&mut self) -> DocumentVersion {
        DocumentVersion {
            generation: Revision::from(self.number()),
            index: self.number(),
            prefix: self.number(),
        }
    }

    fn patch(&mut self) -> Patch {
        let count = self.choose(4);
        let step = |choices: &mut Self| Step {
            start: choices.number() as u32,
            count: choices.number() as u32,
            text: choices.text(),
        };
        Patch {
            base: self.number(),
            steps: (0..count).map(|_| step(self)).collect(),
        }
    }

    fn list(&mut self) -> Option<ListUpdate> {
        let update = ListUpdate {
            version: self.version(),
            patch: self.patch(),
        };
        (self.choose(2) == 0).then_some(update)
    }

    fn update(&mut self) -> Update {
        let config = ConfigUpdate {
            pointer: self.text(),
            era: Revision::from(self.number()),
            index: self.number(),
            preset: self.patch(),
        };
        Update {
            config: (self.choose(2) == 0).then_some(config),
            vms: self.list(),
            targets: self.list(),
        }
    }

    fn summary(&mut self) -> Summary {
        let observations = self.choose(5);
        let observation = |choices: &mut Self| Observation {
            vm: choices.vm(),
            heartbeat: choices.heartbeat(),
            observer: Some(choices.vm()).filter(|_| choices.choose(2) == 0),
        };
        Summary {
            vm: self.vm(),
            heartbeat: self.heartbeat(),
            known_incarnation: Incarnation::from(self.number()),
            config: self.version(),
            era: Revision::from(self.number()),
            index: self.number(),
            vms: self.version(),
            targets: self.version(),
            observations: (0..observations).map(|_| observation(self)).collect(),
            may_receive: self.choose(2) == 0,
            has_preset: self.choose(2) == 0,
        }
    }
}

/// Starts an agent, connects to the agent as a peer does, and waits until the agent serves.
async fn start(fake: &FakePlatform) -> (Arc<Shared>, PeerClient) {
    let mut settings = settings("vm-001", "skagit", &[]);
    let bind = || tokio::net::TcpListener::bind("127.0.0.1:0");
    let peers = bind().await.expect("listener bound");
    let views = bind().await.expect("listener bound");
    settings.agent.listen = peers.local_addr().expect("socket address");
    let listen = settings.agent.listen;
    let agent = Agent::new(settings, peers, views);
    let shared = agent.shared();
    spawn_local(agent.run(fake.clone()));
    let client = PeerClient::connect(listen, listen.ip(), Arc::default()).await;
    wait_until(&shared, "serving", |shared| revision(shared) == 1).await;
    (shared, client.expect("connected"))
}

#[test]
fn invalid_messages_change_no_document() {
    let mut inputs = Vec::new();
    for_each_bytes(LIMIT, |bytes| {
        if inputs.len() < MESSAGES {
            inputs.push(bytes.to_vec());
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime built");
    LocalSet::new().block_on(&runtime, async {
        let mut published = Deployment::of(DeploymentKind::Cascade);
        let fake = FakePlatform::new(&published);
        let (shared, client) = start(&fake).await;
        let before = shared.sources().borrow().clone();
        for bytes in &inputs {
            let mut choices = Choices(bytes.iter());
            // Any answer or error is allowed; the checks below compare the documents of the agent.
            let _ = client.exchange(&choices.summary()).await;
            let _ = client.deliver(&choices.vm(), &choices.update()).await;
        }
        let after = shared.sources().borrow().clone();
        assert_eq!(after.pointer, before.pointer);
        assert_eq!(after.preset, before.preset);
        assert_eq!(after.vms, before.vms);
        assert_eq!(after.targets, before.targets);
        // The agent still applies documents that the platform publishes later.
        published.switch(&"peak-season".parse().expect("valid name"));
        fake.edit(|store| store.publish(&published));
        wait_until(&shared, "next revision in force", |shared| {
            revision(shared) == 2
        })
        .await;
    });
}

#[test]
fn patch_of_any_texts_restores_the_text() {
    let texts = produce::<(Vec<u8>, Vec<u8>)>();
    for_each_input(&texts, |(base, text)| {
        let join = |choices: &[u8]| -> String {
            let fragments = choices
                .iter()
                .map(|c| FRAGMENTS[usize::from(*c) % FRAGMENTS.len()]);
            fragments.collect()
        };
        let (base, text) = (join(base), join(text));
        let patch = Patch::between(7, &base, &text);
        assert_eq!(patch.apply(&base).as_deref(), Ok(text.as_str()));
    });
}

#[test]
fn arbitrary_patches_are_refused_or_give_a_bounded_text() {
    for_each_bytes(LIMIT, |bytes| {
        let mut choices = Choices(bytes.iter());
        let base = choices.text();
        let patch = choices.patch();
        if let Ok(text) = patch.apply(&base) {
            assert!(text.len() <= 1 << 20);
        }
    });
}
