//! A fake of the platform that an agent reads, and helpers of the control tests.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_agent::{KeyValue, LongPoll, Platform, PlatformError, Shared};
use bambooseam_config::{Document, Settings};
use bambooseam_standin::Deployment;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest time that a test waits for an expected condition.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// How a platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Reads return the current documents.
    Available,
    /// Reads fail at once.
    Unreachable,
    /// Reads fail after 1 s, like reads that time out.
    Unresponsive,
    /// Reads are rejected by the rate limit.
    RateLimited,
    /// Reads return the documents that the platform held when this mode was set.
    Stale,
}

/// Value of a key and the index of its last write.
#[derive(Debug, Clone)]
struct Value {
    key: String,
    text: Arc<str>,
    index: u64,
}

/// Documents that one or more fake platforms serve.
#[derive(Debug, Clone, Default)]
pub struct Store {
    values: Vec<Value>,
    index: u64,
}

/// Client of one agent to the fake platform.
#[derive(Debug, Clone)]
pub struct FakePlatform {
    store: Rc<RefCell<Store>>,
    mode: Rc<RefCell<Mode>>,
    stale_store: Rc<RefCell<Option<Store>>>,
    changed: watch::Sender<u64>,
    reads: Rc<RefCell<u64>>,
}

impl Store {
    /// Writes a key.
    pub fn put(&mut self, key: &str, text: &str) {
        self.index += 1;
        self.values.retain(|value| value.key != key);
        self.values.push(Value {
            key: key.into(),
            text: text.into(),
            index: self.index,
        });
    }

    /// Sets the index of the last write; the next write gets the following index.
    pub fn count_from(&mut self, index: u64) {
        self.index = index;
    }

    /// Writes all documents of a deployment, the preset pointer last.
    pub fn publish(&mut self, deployment: &Deployment) {
        for (name, text) in &deployment.presets {
            self.put(&format!("presets/{name}"), text);
        }
        self.put("vms", &deployment.vms.to_text());
        self.put("targets", &deployment.targets.to_text());
        self.put("preset-in-force", &deployment.pointer.to_text());
    }

    fn get(&self, key: &str) -> Option<&Value> {
        self.values.iter().find(|value| value.key == key)
    }
}

impl FakePlatform {
    /// Creates a platform that holds a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let mut store = Store::default();
        store.publish(deployment);
        Self {
            store: Rc::new(RefCell::new(store)),
            mode: Rc::new(RefCell::new(Mode::Available)),
            stale_store: Rc::default(),
            changed: watch::Sender::new(0),
            reads: Rc::default(),
        }
    }

    /// Returns a client of another agent to the same platform, with its own mode.
    pub fn new_client(&self) -> Self {
        Self {
            mode: Rc::new(RefCell::new(Mode::Available)),
            stale_store: Rc::default(),
            ..self.clone()
        }
    }

    /// Changes the documents of the platform and wakes waiting reads.
    pub fn edit<T>(&self, edit: impl FnOnce(&mut Store) -> T) -> T {
        let value = edit(&mut self.store.borrow_mut());
        self.changed.send_modify(|count| *count += 1);
        value
    }

    /// Sets the behaviour of the platform towards this client.
    pub fn set_mode(&self, mode: Mode) {
        *self.stale_store.borrow_mut() = match mode {
            Mode::Stale => Some(self.snapshot()),
            _ => None,
        };
        *self.mode.borrow_mut() = mode;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a copy of the documents, which a test may restore later.
    pub fn snapshot(&self) -> Store {
        self.store.borrow().clone()
    }

    /// Number of reads by all clients of the platform so far.
    pub fn reads(&self) -> u64 {
        *self.reads.borrow()
    }

    /// Reads a key from the current documents, or from the stored ones if the platform is stale.
    fn read(&self, key: &str) -> Result<KeyValue, PlatformError> {
        match *self.mode.borrow() {
            Mode::Available | Mode::Stale => {}
            Mode::RateLimited => return Err(PlatformError::RateLimited { after: None }),
            Mode::Unreachable | Mode::Unresponsive => {
                return Err(PlatformError::Unreachable {
                    cause: "unreachable".into(),
                });
            }
        }
        let stale_store = self.stale_store.borrow();
        let newest = self.store.borrow();
        let store = stale_store.as_ref().unwrap_or(&newest);
        let value = store
            .get(key)
            .ok_or_else(|| PlatformError::NoKey { key: key.into() })?;
        Ok(KeyValue {
            index: value.index,
            text: Arc::clone(&value.text),
        })
    }
}

impl Platform for FakePlatform {
    async fn get(&self, key: &str, wait: Option<LongPoll>) -> Result<KeyValue, PlatformError> {
        *self.reads.borrow_mut() += 1;
        let mut changed = self.changed.subscribe();
        let wait_time = wait.map_or(Duration::ZERO, |wait| wait.max_wait);
        let end = tokio::time::Instant::now() + wait_time;
        loop {
            if *self.mode.borrow() == Mode::Unresponsive {
                sleep(Duration::from_secs(1)).await;
                return self.read(key);
            }
            let value = self.read(key)?;
            if wait.is_none_or(|wait| value.index > wait.index) {
                return Ok(value);
            }
            if timeout(end - tokio::time::Instant::now(), changed.changed())
                .await
                .is_err()
            {
                return Ok(value);
            }
        }
    }
}

/// Settings of VM `vm` whose agent starts with `peers`.
pub fn settings(vm: &str, zone: &str, peers: &[std::net::SocketAddr]) -> Settings {
    let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let mut text = format!(
        "[vm]\nid = {vm}\nzone = {zone}\naddress = 127.0.0.1\n\
         [platform]\naddresses = 127.0.0.1:1\nwatch-time = 2s\npoll-time = 2s\n\
         [agent]\nlisten = 127.0.0.1:0\nviews = 127.0.0.1:0\nbudget = 64KiB/s\nexchanges = 10/s\n"
    );
    if !peers.is_empty() {
        text.push_str(&format!("peers = {}\n", peers.join(", ")));
    }
    let document = Document::parse("settings", &text).expect("valid INI");
    Settings::try_from(&document).expect("valid settings")
}

/// Waits until `is_met` returns true for an agent.
///
/// # Panics
///
/// Panics with the status of the agent after [`WAIT_LIMIT`].
pub async fn wait_until(shared: &Shared, condition: &str, is_met: impl Fn(&Shared) -> bool) {
    let wait = async {
        while !is_met(shared) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    if timeout(WAIT_LIMIT, wait).await.is_err() {
        panic!(
            "{condition}: condition not met within {WAIT_LIMIT:?}: {:#}",
            shared.status()
        );
    }
}

/// Revision that an agent serves; 0 while the agent has no configuration.
pub fn revision(shared: &Shared) -> u64 {
    shared.status()["revision"]
        .as_u64()
        .expect("revision is a number")
}

/// Whether the agent recorded an event of this kind.
pub fn has_event(shared: &Shared, kind: &str) -> bool {
    let status = shared.status();
    let events = status["events"].as_array().expect("list of events");
    events.iter().any(|event| event["kind"] == kind)
}
