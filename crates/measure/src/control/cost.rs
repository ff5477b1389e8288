//! Reads the processor time and memory of a process from `/proc`.

use std::fs;

/// Clock ticks per second in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cost {
    /// Seconds of processor time.
    pub(crate) cpu_s: f64,
    /// Resident memory in KiB.
    pub(crate) memory_kib: u64,
}

impl Cost {
    /// Reads the cost of a process so far; zero when the process has ended.
    pub(crate) fn of(pid: u32) -> Self {
        let cpu_s = fs::read_to_string(format!("/proc/{pid}/stat")).map_or(0.0, |s| parse_cpu(&s));
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let memory_kib = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().strip_suffix(" kB")?.trim().parse().ok());
        Self {
            cpu_s,
            memory_kib: memory_kib.unwrap_or_default(),
        }
    }
}

/// Parses the sum of user and system time, fields 14 and 15 of `/proc/PID/stat`.
///
/// The command in field 2 may contain spaces, so fields are counted from its closing bracket.
fn parse_cpu(stat: &str) -> f64 {
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = rest.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}
