//! Runs the measurement: start, rest, changes with faults, and the report.

use std::time::{Duration, Instant};

use bambooseam_config::TargetState;
use bambooseam_standin::platform::{Platform, Stats};
use bambooseam_types::{PresetName, Revision};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::{sleep, timeout};

use super::Options;
use super::faults::{Fault, Faults};
use super::feeds::Feeds;
use super::fleet::{Fleet, PREFIX, Usage};

/// Error that ends the measurement.
pub(crate) type AnyError = Box<dyn std::error::Error>;

/// Timeout for the fleet to start, and for all agents to have the last revision in force.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Time within which a change must be in force everywhere; agents affected by a fault in this
/// time are left out.
const EVERYWHERE_LIMIT: Duration = Duration::from_secs(8);

/// Interval at which faults are started and ended.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// One change in this many changes the list of targets; all other changes switch the preset.
const LIST_CHANGE_EVERY: usize = 4;

/// A change that was published.
#[derive(Debug, Clone, Copy)]
struct Change {
    time: Instant,
    kind: ChangeKind,
}

#[derive(Debug, Clone, Copy)]
enum ChangeKind {
    /// A preset switch with this revision.
    Preset(Revision),
    /// A list with this number of open targets.
    Targets(usize),
}

/// Runs the measurement on a new runtime.
pub(crate) fn run(options: &Options) -> Result<(), AnyError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure(options))
}

async fn measure(options: &Options) -> Result<(), AnyError> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).await?;
    let mut fleet = Fleet::plan(options, platform.address()).await?;
    platform.publish(PREFIX, &fleet.deployment);
    println!(
        "measurement=control agents={} zones={} targets={} services={} seed={} reach={} \
         list_bytes={} preset_bytes={}",
        options.agents,
        options.zones,
        options.targets,
        options.services,
        options.seed,
        options.reaching_zones,
        fleet.deployment.targets.to_text().len() + fleet.deployment.vms.to_text().len(),
        fleet.deployment.presets[0].1.len(),
    );
    let feeds = Feeds::start(&fleet.views())?;
    let start = Instant::now();
    fleet.start()?;
    let first = Revision::from(1);
    wait_for(&feeds, options.agents, first).await?;
    println!("start_all_s={:.3}", start.elapsed().as_secs_f64());
    sleep(Duration::from_secs(options.warm_s)).await;

    let before = Sample::take(&fleet, &platform).await;
    sleep(Duration::from_secs(options.rest_s)).await;
    let after = Sample::take(&fleet, &platform).await;
    after.print("rest_", &before);

    let time = Duration::from_millis(options.interval_ms) * options.changes as u32;
    let mut faults = Faults::plan(options, time, &mut rng);
    let changes = publish(options, &mut fleet, &platform, &mut faults, &mut rng).await?;
    let end = Sample::take(&fleet, &platform).await;
    end.print("", &after);
    settle(&mut fleet, &feeds, &mut faults, &changes).await?;
    print_times(&fleet, &feeds, &faults, &changes);
    print_violations(&fleet, &feeds, &faults).await;
    print_recovery(&feeds, &faults, &changes);
    Ok(())
}

/// Prints the time until restarted agents had a view in force, and until resumed agents had the
/// newest revision in force.
fn print_recovery(feeds: &Feeds, faults: &Faults, changes: &[Change]) {
    let mut restarts = Vec::new();
    let mut pauses = Vec::new();
    let mut never_recovered = 0;
    for period in &faults.periods {
        let (times, found) = match period.fault {
            Fault::Kill(agent) => (&mut restarts, feeds.next(agent, period.end)),
            Fault::Freeze(agent) => {
                let newest = newest_at(changes, period.end);
                (&mut pauses, feeds.current_since(agent, period.end, newest))
            }
            Fault::Partition(_) | Fault::Region | Fault::Rack(_) => continue,
        };
        match found {
            Some(time) => times.push(time.saturating_duration_since(period.end)),
            None => never_recovered += 1,
        }
    }
    if restarts.is_empty() && pauses.is_empty() && never_recovered == 0 {
        return;
    }
    print_percentiles("serving_after_restart", &mut restarts);
    print_percentiles("current_after_pause", &mut pauses);
    println!("never_recovered={never_recovered}");
}

/// Returns the newest revision published by a time.
fn newest_at(changes: &[Change], time: Instant) -> Revision {
    let published = changes.iter().filter(|change| change.time <= time);
    let revisions = published.filter_map(|change| match change.kind {
        ChangeKind::Preset(revision) => Some(revision),
        ChangeKind::Targets(_) => None,
    });
    revisions.max().unwrap_or_default()
}

/// Publishes the changes and injects faults meanwhile.
async fn publish(
    options: &Options,
    fleet: &mut Fleet,
    platform: &Platform,
    faults: &mut Faults,
    rng: &mut StdRng,
) -> Result<Vec<Change>, AnyError> {
    let start = Instant::now();
    let mut changes = Vec::new();
    for index in 0..options.changes {
        let due = Duration::from_millis(options.interval_ms) * index as u32;
        while start.elapsed() < due {
            faults.step(fleet, start.elapsed())?;
            sleep(FAULT_CHECK_INTERVAL.min(due.saturating_sub(start.elapsed()))).await;
        }
        let kind = match index % LIST_CHANGE_EVERY {
            0 => change_target(fleet, platform, rng),
            _ => switch_preset(fleet, platform, rng),
        };
        changes.push(Change {
            time: Instant::now(),
            kind,
        });
    }
    let end = start + Duration::from_millis(options.interval_ms) * options.changes as u32;
    while Instant::now() < end || !faults.is_over() {
        faults.step(fleet, start.elapsed())?;
        sleep(FAULT_CHECK_INTERVAL).await;
    }
    Ok(changes)
}

/// Switches to another preset.
fn switch_preset(fleet: &mut Fleet, platform: &Platform, rng: &mut StdRng) -> ChangeKind {
    let deployment = &mut fleet.deployment;
    let candidates: Vec<PresetName> = deployment
        .presets
        .iter()
        .map(|(name, _)| name.clone())
        .filter(|name| *name != deployment.pointer.name)
        .collect();
    if let Some(name) = candidates.choose(rng) {
        deployment.switch(name);
    }
    let pointer = deployment.pointer.to_text();
    let revision = deployment.pointer.revision;
    platform.put(&format!("{PREFIX}/preset-in-force"), pointer);
    ChangeKind::Preset(revision)
}

/// Changes the state of one target from live to leaving or back.
fn change_target(fleet: &mut Fleet, platform: &Platform, rng: &mut StdRng) -> ChangeKind {
    let targets = &mut fleet.deployment.targets.targets;
    let index = rng.random_range(0..targets.len());
    let target = &mut targets[index];
    target.state = match target.state {
        TargetState::Live => TargetState::Leaving,
        TargetState::Leaving => TargetState::Live,
    };
    let open = targets
        .iter()
        .filter(|t| t.state == TargetState::Live)
        .count();
    let text = fleet.deployment.targets.to_text();
    platform.put(&format!("{PREFIX}/targets"), text);
    ChangeKind::Targets(open)
}

/// Waits until all faults are over and all agents have the last preset in force.
async fn settle(
    fleet: &mut Fleet,
    feeds: &Feeds,
    faults: &mut Faults,
    changes: &[Change],
) -> Result<(), AnyError> {
    let start = Instant::now();
    while !faults.is_over() {
        faults.step(fleet, Duration::MAX)?;
        sleep(FAULT_CHECK_INTERVAL).await;
    }
    let last = changes.iter().rev().find_map(|change| match change.kind {
        ChangeKind::Preset(revision) => Some(revision),
        ChangeKind::Targets(_) => None,
    });
    if let Some(last) = last {
        wait_for(feeds, fleet.agents.len(), last).await?;
    }
    println!("settled_s={:.3}", start.elapsed().as_secs_f64());
    Ok(())
}

/// Waits until all agents have a revision in force.
async fn wait_for(feeds: &Feeds, agents: usize, revision: Revision) -> Result<(), AnyError> {
    let wait = async {
        while (0..agents).any(|agent| feeds.since(agent, revision).is_none()) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SETTLE_LIMIT, wait).await.map_err(|_| {
        format!("revision {revision} is not in force on all agents after {SETTLE_LIMIT:?}").into()
    })
}

/// Prints the times until changes were in force on all agents that no fault affected.
fn print_times(fleet: &Fleet, feeds: &Feeds, faults: &Faults, changes: &[Change]) {
    let mut everywhere = Vec::new();
    let mut lists = Vec::new();
    let mut missed = 0;
    for (index, change) in changes.iter().enumerate() {
        let mut slowest = Duration::ZERO;
        for agent in 0..fleet.agents.len() {
            let to = change.time + EVERYWHERE_LIMIT;
            if faults.affects(fleet, agent, change.time, to) {
                continue;
            }
            let since = match change.kind {
                ChangeKind::Preset(revision) => feeds.since(agent, revision),
                ChangeKind::Targets(open) => feeds.targets_since(agent, change.time, open),
            };
            let Some(since) = since else {
                // A list that was replaced soon after may never have been in force.
                let is_last = changes.len() - index <= LIST_CHANGE_EVERY;
                missed += usize::from(matches!(change.kind, ChangeKind::Preset(_)) || is_last);
                continue;
            };
            slowest = slowest.max(since.saturating_duration_since(change.time));
        }
        match change.kind {
            ChangeKind::Preset(_) => everywhere.push(slowest),
            ChangeKind::Targets(_) => lists.push(slowest),
        }
    }
    print_percentiles("everywhere", &mut everywhere);
    print_percentiles("list_everywhere", &mut lists);
    println!("changes={} never_in_force={missed}", changes.len());
}

fn print_percentiles(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let at = |share: f64| {
        let index = (times.len() as f64 * share).ceil() as usize;
        let time = times.get(index.saturating_sub(1)).copied();
        time.unwrap_or_default().as_secs_f64()
    };
    println!(
        "{name}_p50_s={:.3} {name}_p99_s={:.3} {name}_max_s={:.3}",
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

/// Prints the violations, which must all be zero, and the numbers of suspicions and faults.
async fn print_violations(fleet: &Fleet, feeds: &Feeds, faults: &Faults) {
    let (reverts, conflicts) = feeds.violations();
    let mut broken = 0;
    for agent in &fleet.agents {
        let metrics = agent.get("/metrics").await.unwrap_or_default();
        broken += metrics
            .lines()
            .filter(|line| line.starts_with("invariants_broken"))
            .count();
    }
    println!("reverts={reverts} two_presets={conflicts} invariants_broken={broken}");
    let mut suspected = 0;
    let mut suspicions = 0;
    let mut unresponsive_zones = 0;
    for agent in &fleet.agents {
        let status = agent.status().await.unwrap_or_default();
        let count_of = |list: &str, key: &str, values: &[&str]| {
            let all = status[list].as_array().cloned().unwrap_or_default();
            let found = all.iter().filter_map(|item| item[key].as_str());
            found.filter(|value| values.contains(value)).count()
        };
        suspected += count_of("vms", "health", &["suspected", "dead"]);
        suspicions += count_of("events", "kind", &["vm_suspected"]);
        unresponsive_zones += count_of("events", "kind", &["zone_silent"]);
    }
    println!(
        "suspected_at_end={suspected} suspicions={suspicions} zones_silent={unresponsive_zones}"
    );
    let count = |matches_kind: &dyn Fn(Fault) -> bool| {
        faults
            .periods
            .iter()
            .filter(|period| matches_kind(period.fault))
            .count()
    };
    println!(
        "kills={} freezes={} cuts={} regions={} racks={}",
        count(&|fault| matches!(fault, Fault::Kill(_))),
        count(&|fault| matches!(fault, Fault::Freeze(_))),
        count(&|fault| matches!(fault, Fault::Partition(_))),
        count(&|fault| matches!(fault, Fault::Region)),
        count(&|fault| matches!(fault, Fault::Rack(_))),
    );
}

/// Usage of all agents and statistics of the platform at one time.
struct Sample {
    time: Instant,
    usage: Vec<Usage>,
    stats: Stats,
}

impl Sample {
    async fn take(fleet: &Fleet, platform: &Platform) -> Self {
        Self {
            usage: fleet.usage().await,
            time: Instant::now(),
            stats: platform.stats(),
        }
    }

    /// Prints the rates since an earlier sample.
    fn print(&self, prefix: &str, before: &Self) {
        let time = (self.time - before.time).as_secs_f64();
        let pairs = || before.usage.iter().zip(&self.usage);
        // A restarted agent counts from zero again and is left out.
        let sent = pairs().filter(|(b, a)| a.sent >= b.sent);
        let mut sent: Vec<f64> = sent.map(|(b, a)| (a.sent - b.sent) as f64 / time).collect();
        let received = pairs().filter(|(b, a)| a.received >= b.received);
        let mut received: Vec<f64> = received
            .map(|(b, a)| (a.received - b.received) as f64 / time)
            .collect();
        let cpu = pairs().filter(|(b, a)| a.cost.cpu_s >= b.cost.cpu_s);
        let mut cpu: Vec<f64> = cpu
            .map(|(b, a)| (a.cost.cpu_s - b.cost.cpu_s) / time)
            .collect();
        let mut memory: Vec<f64> = self
            .usage
            .iter()
            .map(|usage| usage.cost.memory_kib as f64 / 1024.0)
            .collect();
        let reads = (self.stats.reads - before.stats.reads) as f64 / time;
        let refused = self.stats.refused - before.stats.refused;
        println!("{prefix}seconds={time:.1}");
        print_mean_max(prefix, "control_bytes_per_s", &mut sent, 0);
        print_mean_max(prefix, "received_bytes_per_s", &mut received, 0);
        println!("{prefix}reads_per_s={reads:.2} {prefix}reads_refused={refused}");
        print_mean_max(prefix, "cpu_fraction", &mut cpu, 5);
        print_mean_max(prefix, "rss_mb", &mut memory, 1);
    }
}

fn print_mean_max(prefix: &str, name: &str, values: &mut [f64], digits: usize) {
    values.sort_by(f64::total_cmp);
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let max = values.last().copied().unwrap_or_default();
    println!("{prefix}{name}={mean:.digits$} {prefix}{name}_max={max:.digits$}");
}
