//! What a process has cost so far.

use std::fs;

/// Clock ticks in a second, as the system counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cost {
    /// Seconds of processor time.
    pub(crate) cpu: f64,
    /// Resident memory in KiB.
    pub(crate) memory: u64,
}

impl Cost {
    /// Reads the cost of a process; zero when it has ended.
    pub(crate) fn of(pid: u32) -> Self {
        let cpu = fs::read_to_string(format!("/proc/{pid}/stat")).map_or(0.0, |s| cpu_of(&s));
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let memory = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().strip_suffix(" kB")?.trim().parse().ok());
        Self {
            cpu,
            memory: memory.unwrap_or_default(),
        }
    }
}

/// User and system time, fields 14 and 15; the command in field 2 may hold spaces.
fn cpu_of(stat: &str) -> f64 {
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = rest.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}
