//! Faults while changes are published, and which agents they touch when.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use super::Options;
use super::fleet::Fleet;

/// For how long a killed agent stays away.
const AWAY_TIME: Duration = Duration::from_secs(3);

/// For how long a zone or region is cut off.
const CUT_TIME: Duration = Duration::from_secs(12);

/// For how long a rack stays away.
const RACK_TIME: Duration = Duration::from_secs(20);

/// What is done to agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Killed and started again.
    Kill(usize),
    /// Stopped and woken.
    Freeze(usize),
    /// A zone cut off from the others.
    Cut(usize),
    /// The first half of the zones cut off from the others.
    Region,
    /// Every second VM of a zone killed and started again.
    Rack(usize),
}

/// A fault that is under way or over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spell {
    pub(crate) fault: Fault,
    pub(crate) start: Instant,
    pub(crate) end: Instant,
    pub(crate) is_over: bool,
}

/// Faults to come, under way and over.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    planned: Vec<(Duration, Fault, Duration)>,
    pub(crate) spells: Vec<Spell>,
}

impl Faults {
    /// Spreads the faults that are asked for over `time`.
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
        add(options.kills, AWAY_TIME, &mut |rng| {
            Fault::Kill(rng.random_range(0..agents))
        });
        let freeze = Duration::from_secs(options.freeze);
        add(options.freezes, freeze, &mut |rng| {
            Fault::Freeze(rng.random_range(0..agents))
        });
        let zones = options.zones;
        add(options.cuts, CUT_TIME, &mut |rng| {
            Fault::Cut(rng.random_range(0..zones))
        });
        add(options.regions, CUT_TIME, &mut |_| Fault::Region);
        add(options.racks, RACK_TIME, &mut |rng| {
            Fault::Rack(rng.random_range(0..zones))
        });
        planned.sort_by_key(|planned| planned.0);
        Self {
            planned,
            spells: Vec::new(),
        }
    }

    /// Begins and ends faults that are due `passed` after the start.
    pub(crate) fn step(&mut self, fleet: &mut Fleet, passed: Duration) -> std::io::Result<()> {
        let now = Instant::now();
        while let Some((start, fault, length)) = self.planned.first().copied() {
            if start > passed {
                break;
            }
            self.planned.remove(0);
            if self.is_busy(fault) {
                continue;
            }
            begin(fleet, fault)?;
            self.spells.push(Spell {
                fault,
                start: now,
                end: now + length,
                is_over: false,
            });
        }
        for spell in &mut self.spells {
            if spell.is_over || spell.end > now {
                continue;
            }
            spell.is_over = true;
            spell.end = now;
            end(fleet, spell.fault)?;
        }
        Ok(())
    }

    /// Whether all faults are over.
    pub(crate) fn is_over(&self) -> bool {
        self.planned.is_empty() && self.spells.iter().all(|spell| spell.is_over)
    }

    /// Whether a fault touched an agent between two times.
    pub(crate) fn touches(&self, fleet: &Fleet, agent: usize, from: Instant, to: Instant) -> bool {
        self.spells.iter().any(|spell| {
            let is_touched = match spell.fault {
                Fault::Kill(index) | Fault::Freeze(index) => index == agent,
                Fault::Cut(zone) => fleet.agents[agent].zone == zone,
                Fault::Region => fleet.is_first_region(agent),
                Fault::Rack(zone) => fleet.rack(zone).contains(&agent),
            };
            is_touched && spell.start <= to && from <= spell.end
        })
    }

    /// Whether another fault that can't go on beside this one is under way.
    fn is_busy(&self, fault: Fault) -> bool {
        use Fault::{Cut, Freeze, Kill, Rack, Region};
        let mut under_way = self.spells.iter().filter(|spell| !spell.is_over);
        under_way.any(|spell| match (spell.fault, fault) {
            (Cut(_) | Region, Cut(_) | Region) => true,
            (Cut(_) | Region, _) | (_, Cut(_) | Region) => false,
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
        Fault::Cut(zone) => {
            let (inside, outside) = fleet.sides(zone);
            fleet.partitions.add(&inside, &outside);
            Ok(())
        }
        Fault::Region => {
            let (inside, outside) = fleet.regions();
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
        Fault::Cut(_) | Fault::Region => {
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
