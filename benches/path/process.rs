//! CPU time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// The clock ticks per second, the unit in which Linux reports CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The CPU time and the memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// The CPU time used, in user and system mode.
    pub cpu: Duration,
    /// The resident memory, in KiB.
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with the given id; panics if it does not run.
    pub fn read(process: u32) -> Self {
        let read = |name: &str| {
            fs::read_to_string(format!("/proc/{process}/{name}")).expect("the process runs")
        };
        let stat = read("stat");
        // The process name in parentheses may contain spaces, so the fields are split after it.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks: f64 = fields[11..13]
            .iter()
            .map(|field| field.parse::<f64>().unwrap_or_default())
            .sum();
        let status = read("status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|value| value.split_whitespace().next()?.parse().ok());
        Self {
            cpu: Duration::from_secs_f64(ticks / TICKS_PER_SECOND),
            resident_kib: resident.unwrap_or_default(),
        }
    }
}
