//! Injects faults while changes are published, and records which agents were affected when.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use super::Options;
use super::fleet::Fleet;

/// Time for which a killed agent stays down.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Time for which a zone or region is partitioned.
const PARTITION_TIME: Duration = Duration::from_secs(12);

/// Time for which a rack stays down.
const RACK_TIME: Duration = Duration::from_secs(20);

/// A kind of fault and the agents that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// An agent is killed and restarted.
    Kill(usize),
    /// An agent is suspended with SIGSTOP and resumed with SIGCONT.
    Freeze(usize),
    /// A zone is partitioned from all other zones.
    Partition(usize),
    /// The first half of the zones is partitioned from all other zones.
    Region,
    /// Every second agent of a zone is killed and restarted.
    Rack(usize),
}

/// The period of a fault that is active or over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultPeriod {
    pub(crate) fault: Fault,
    pub(crate) start: Instant,
    pub(crate) end: Instant,
    pub(crate) is_over: bool,
}

/// Faults that are planned, active and over.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Start, kind and length of each fault that has not started yet.
    planned: Vec<(Duration, Fault, Duration)>,
    pub(crate) periods: Vec<FaultPeriod>,
}

impl Faults {
    /// Plans the faults that the options ask for, each starting in the first 80 % of `time`.
    pub(crate) fn plan(options: &Options, time: Duration, rng: &mut StdRng) -> Self {
        let mut planned = Vec::new();
        let mut add =
            |count: usize, length: Duration, make: &mut dyn FnMut(&mut StdRng) -> Fault| {
                for _ in 0..count {
                    let start = time.mul_f64(rng.random_range(0.0..0.8));
                    planned.push((start, make(rng), length));
                }
            };
        let agents = options.agents;
        add(options.kills, DOWN_TIME, &mut |rng| {
            Fault::Kill(rng.random_range(0..agents))
        });
        let freeze = Duration::from_secs(options.freeze_s);
        add(options.freezes, freeze, &mut |rng| {
            Fault::Freeze(rng.random_range(0..agents))
        });
        let zones = options.zones;
        add(options.cuts, PARTITION_TIME, &mut |rng| {
            Fault::Partition(rng.random_range(0..zones))
        });
        add(options.regions, PARTITION_TIME, &mut |_| Fault::Region);
        add(options.racks, RACK_TIME, &mut |rng| {
            Fault::Rack(rng.random_range(0..zones))
        });
        planned.sort_by_key(|planned| planned.0);
        Self {
            planned,
            periods: Vec::new(),
        }
    }

    /// Starts and ends the faults that are due when `elapsed` has passed since the start.
    pub(crate) fn step(&mut self, fleet: &mut Fleet, elapsed: Duration) -> std::io::Result<()> {
        let now = Instant::now();
        while let Some((start, fault, length)) = self.planned.first().copied() {
            if start > elapsed {
                break;
            }
            self.planned.remove(0);
            if self.conflicts(fault) {
                continue;
            }
            begin(fleet, fault)?;
            self.periods.push(FaultPeriod {
                fault,
                start: now,
                end: now + length,
                is_over: false,
            });
        }
        for period in &mut self.periods {
            if period.is_over || period.end > now {
                continue;
            }
            period.is_over = true;
            period.end = now;
            end(fleet, period.fault)?;
        }
        Ok(())
    }

    /// Whether all faults are over.
    pub(crate) fn is_over(&self) -> bool {
        self.planned.is_empty() && self.periods.iter().all(|period| period.is_over)
    }

    /// Whether a fault affected an agent between two times.
    pub(crate) fn affects(&self, fleet: &Fleet, agent: usize, from: Instant, to: Instant) -> bool {
        self.periods.iter().any(|period| {
            let is_affected = match period.fault {
                Fault::Kill(index) | Fault::Freeze(index) => index == agent,
                Fault::Partition(zone) => fleet.agents[agent].zone == zone,
                Fault::Region => fleet.is_first_region(agent),
                Fault::Rack(zone) => fleet.rack(zone).contains(&agent),
            };
            is_affected && period.start <= to && from <= period.end
        })
    }

    /// Whether an active fault excludes this one.
    fn conflicts(&self, fault: Fault) -> bool {
        use Fault::{Freeze, Kill, Partition, Rack, Region};
        let mut active = self.periods.iter().filter(|period| !period.is_over);
        active.any(|period| match (period.fault, fault) {
            (Partition(_) | Region, Partition(_) | Region) => true,
            (Partition(_) | Region, _) | (_, Partition(_) | Region) => false,
            (Rack(_), _) | (_, Rack(_)) => true,
            (Kill(one) | Freeze(one), Kill(other) | Freeze(other)) => one == other,
        })
    }
}

fn begin(fleet: &mut Fleet, fault: Fault) -> std::io::Result<()> {
    match fault {
        Fault::Kill(index) => {
            fleet.agents[index].kill();
            Ok(())
        }
        Fault::Freeze(index) => fleet.agents[index].signal("STOP"),
        Fault::Partition(zone) => {
            let (inside, outside) = fleet.split_by_zone(zone);
            fleet.partitions.add(&inside, &outside);
            Ok(())
        }
        Fault::Region => {
            let (inside, outside) = fleet.split_by_region();
            fleet.partitions.add(&inside, &outside);
            Ok(())
        }
        Fault::Rack(zone) => {
            for index in fleet.rack(zone) {
                fleet.agents[index].kill();
            }
            Ok(())
        }
    }
}

fn end(fleet: &mut Fleet, fault: Fault) -> std::io::Result<()> {
    match fault {
        Fault::Kill(index) => fleet.agents[index].start(),
        Fault::Freeze(index) => fleet.agents[index].signal("CONT"),
        Fault::Partition(_) | Fault::Region => {
            fleet.partitions.heal();
            Ok(())
        }
        Fault::Rack(zone) => {
            for index in fleet.rack(zone) {
                fleet.agents[index].start()?;
            }
            Ok(())
        }
    }
}
