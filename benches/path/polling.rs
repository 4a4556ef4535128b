//! Measures the cost of polling the workers of a cell on the host of its broker.

use std::fs;
use std::thread;
use std::time::Duration;

use crate::harness::Call;
use crate::harness::Deployment;
use crate::harness::DeploymentPlan;
use crate::process::ProcessUsage;

/// The numbers of workers of the two cells that are compared.
const CELL_SIZES: [usize; 2] = [1, 21];

/// The duration of the measurement of one cell.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);

/// The CPU time and loopback traffic per second of the broker's host while its cell has no requests.
#[derive(Clone, Copy, Debug)]
struct IdleCost {
    cpu_micros: f64,
    loopback_bytes: f64,
}

/// Prints the cost of polling one worker, computed from the difference between the two cells.
pub fn print() {
    let costs = CELL_SIZES.map(idle_cost);
    let workers = (CELL_SIZES[1] - CELL_SIZES[0]) as f64;
    let cpu = (costs[1].cpu_micros - costs[0].cpu_micros) / workers;
    let bytes = (costs[1].loopback_bytes - costs[0].loopback_bytes) / workers;
    println!(
        "a host with one idle cell of one worker: {:.2} ms CPU a second",
        costs[0].cpu_micros / 1e3
    );
    println!(
        "a further worker of the cell: {cpu:.0} us CPU and {bytes:.0} bytes on loopback a second"
    );
}

fn idle_cost(workers: usize) -> IdleCost {
    let plan = DeploymentPlan {
        hosts: vec!["sapporo-a"],
        engines: vec![("sapporo-a", Vec::new()); workers],
        plain: Vec::new(),
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan);
    // The first request starts the broker of the cell, which then polls the workers.
    deployment.call(0, &Call::chat("quill-8b", "x", 1, false));
    let process = deployment.hosts[0]
        .process
        .as_ref()
        .expect("the host runs")
        .id();
    let (before, bytes) = (ProcessUsage::read(process), loopback_bytes());
    thread::sleep(MEASUREMENT_TIME);
    let cpu = ProcessUsage::read(process).cpu.saturating_sub(before.cpu);
    let bytes = loopback_bytes().saturating_sub(bytes);
    IdleCost {
        cpu_micros: cpu.as_secs_f64() * 1e6 / MEASUREMENT_TIME.as_secs_f64(),
        loopback_bytes: bytes as f64 / MEASUREMENT_TIME.as_secs_f64(),
    }
}

/// Returns the number of bytes received on the loopback interface since boot, including headers.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").expect("the interfaces can be read");
    let line = text
        .lines()
        .find_map(|line| line.trim_start().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.unwrap_or_default()
}
