//! Records when each agent put which view in force, as seen by a subscriber to its view feed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bambooseam_peer::feed::subscribe;
use bambooseam_types::Revision;
use tokio::task::JoinSet;

/// A view that came into force.
#[derive(Debug, Clone)]
pub(crate) struct ViewRecord {
    pub(crate) time: Instant,
    pub(crate) revision: Revision,
    pub(crate) preset: String,
    pub(crate) targets: usize,
}

/// All views that came into force on each agent.
#[derive(Debug)]
pub(crate) struct Feeds {
    views: Arc<Mutex<Vec<Vec<ViewRecord>>>>,
    _tasks: JoinSet<()>,
}

impl Feeds {
    /// Subscribes to the view feeds at these addresses, one for each agent.
    pub(crate) fn start(addresses: &[std::net::SocketAddr]) -> std::io::Result<Self> {
        let views = Arc::new(Mutex::new(vec![Vec::new(); addresses.len()]));
        let mut tasks = JoinSet::new();
        for (index, address) in addresses.iter().enumerate() {
            let mut receiver = subscribe(*address, "forwarder")?;
            let views = Arc::clone(&views);
            tasks.spawn(async move {
                while receiver.changed().await.is_ok() {
                    let Some(view) = receiver.borrow_and_update().clone() else {
                        continue;
                    };
                    let record = ViewRecord {
                        time: Instant::now(),
                        revision: view.revision(),
                        preset: view.pointer.digest.to_string(),
                        targets: view.targets.iter().filter(|t| t.is_open()).count(),
                    };
                    lock(&views)[index].push(record);
                }
            });
        }
        Ok(Self {
            views,
            _tasks: tasks,
        })
    }

    /// Returns the first time at which an agent had a revision, or a later one, in force.
    pub(crate) fn since(&self, agent: usize, revision: Revision) -> Option<Instant> {
        let views = lock(&self.views);
        let found = views[agent]
            .iter()
            .find(|record| record.revision >= revision);
        found.map(|record| record.time)
    }

    /// Returns the first time from `start` at which an agent had a revision, or a later one, in
    /// force; `start` itself when the revision was in force by then.
    pub(crate) fn current_since(
        &self,
        agent: usize,
        start: Instant,
        revision: Revision,
    ) -> Option<Instant> {
        let views = lock(&self.views);
        let last = views[agent].iter().rfind(|record| record.time <= start);
        if last.is_some_and(|record| record.revision >= revision) {
            return Some(start);
        }
        let mut later = views[agent].iter().filter(|record| record.time > start);
        later
            .find(|record| record.revision >= revision)
            .map(|record| record.time)
    }

    /// Returns the first time after `start` at which a view came into force on an agent.
    pub(crate) fn next(&self, agent: usize, start: Instant) -> Option<Instant> {
        let views = lock(&self.views);
        views[agent]
            .iter()
            .map(|record| record.time)
            .find(|time| *time > start)
    }

    /// Returns the first time from `start` at which an agent put a view with `open` open targets in
    /// force.
    pub(crate) fn targets_since(
        &self,
        agent: usize,
        start: Instant,
        open: usize,
    ) -> Option<Instant> {
        let views = lock(&self.views);
        let found = views[agent]
            .iter()
            .find(|record| record.time >= start && record.targets == open);
        found.map(|record| record.time)
    }

    /// Counts the times that an agent's revision fell, and the revisions seen with two presets.
    pub(crate) fn violations(&self) -> (usize, usize) {
        let views = lock(&self.views);
        let mut reverts = 0;
        let mut presets: Vec<(Revision, String)> = Vec::new();
        for agent in views.iter() {
            reverts += agent
                .windows(2)
                .filter(|w| w[1].revision < w[0].revision)
                .count();
            presets.extend(
                agent
                    .iter()
                    .map(|record| (record.revision, record.preset.clone())),
            );
        }
        presets.sort();
        presets.dedup();
        let conflicts = presets.windows(2).filter(|w| w[0].0 == w[1].0).count();
        (reverts, conflicts)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
