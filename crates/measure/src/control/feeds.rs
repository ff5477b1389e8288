//! When each agent had which revision in force, as a program beside it sees it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bambooseam_peer::feed::subscribe;
use bambooseam_types::Revision;
use tokio::task::JoinSet;

/// A view that came into force.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    pub(crate) time: Instant,
    pub(crate) revision: Revision,
    pub(crate) preset: String,
    pub(crate) targets: usize,
}

/// All views that came into force, for each agent.
#[derive(Debug)]
pub(crate) struct Feeds {
    seen: Arc<Mutex<Vec<Vec<InForce>>>>,
    _tasks: JoinSet<()>,
}

impl Feeds {
    /// Follows the agents that serve views at these addresses.
    pub(crate) fn start(addresses: &[std::net::SocketAddr]) -> std::io::Result<Self> {
        let seen = Arc::new(Mutex::new(vec![Vec::new(); addresses.len()]));
        let mut tasks = JoinSet::new();
        for (index, address) in addresses.iter().enumerate() {
            let mut receiver = subscribe(*address, "forwarder")?;
            let seen = Arc::clone(&seen);
            tasks.spawn(async move {
                while receiver.changed().await.is_ok() {
                    let Some(view) = receiver.borrow_and_update().clone() else {
                        continue;
                    };
                    let in_force = InForce {
                        time: Instant::now(),
                        revision: view.revision(),
                        preset: view.pointer.digest.to_string(),
                        targets: view.targets.iter().filter(|t| t.is_open()).count(),
                    };
                    lock(&seen)[index].push(in_force);
                }
            });
        }
        Ok(Self {
            seen,
            _tasks: tasks,
        })
    }

    /// First time at which an agent had a revision, or a later one, in force.
    pub(crate) fn since(&self, agent: usize, revision: Revision) -> Option<Instant> {
        let seen = lock(&self.seen);
        let found = seen[agent].iter().find(|s| s.revision >= revision);
        found.map(|in_force| in_force.time)
    }

    /// First time after `start` at which an agent's view came into force with a revision or a later
    /// one; `start` itself when it was in force then.
    pub(crate) fn current_since(
        &self,
        agent: usize,
        start: Instant,
        revision: Revision,
    ) -> Option<Instant> {
        let seen = lock(&self.seen);
        let last = seen[agent].iter().rfind(|s| s.time <= start);
        if last.is_some_and(|s| s.revision >= revision) {
            return Some(start);
        }
        let mut later = seen[agent].iter().filter(|s| s.time > start);
        later.find(|s| s.revision >= revision).map(|s| s.time)
    }

    /// First time after `start` at which an agent's view came into force.
    pub(crate) fn next(&self, agent: usize, start: Instant) -> Option<Instant> {
        let seen = lock(&self.seen);
        seen[agent]
            .iter()
            .map(|s| s.time)
            .find(|time| *time > start)
    }

    /// First time after `start` at which an agent had so many open targets in force.
    pub(crate) fn targets_since(
        &self,
        agent: usize,
        start: Instant,
        open: usize,
    ) -> Option<Instant> {
        let seen = lock(&self.seen);
        let found = seen[agent]
            .iter()
            .find(|s| s.time >= start && s.targets == open);
        found.map(|in_force| in_force.time)
    }

    /// Times that a revision fell, and revisions that came with two presets.
    pub(crate) fn faults(&self) -> (usize, usize) {
        let seen = lock(&self.seen);
        let mut reverts = 0;
        let mut presets: Vec<(Revision, String)> = Vec::new();
        for agent in seen.iter() {
            reverts += agent
                .windows(2)
                .filter(|w| w[1].revision < w[0].revision)
                .count();
            presets.extend(agent.iter().map(|s| (s.revision, s.preset.clone())));
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
