//! Overhead of the daemon: the same calls through one daemon and directly to the stand-in.
//!
//! Build the stand-ins with `cargo build --release --workspace` first; `cargo bench --bench path`
//! builds only the daemon. The figures depend on the machine and are printed with their targets.

#![expect(
    clippy::cast_precision_loss,
    reason = "the counts of a bench are far below 2^52"
)]

mod client;
#[path = "../../tests/harness/mod.rs"]
mod harness;
mod polling;
mod process;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use client::KeepAliveConnection;
use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::KEY;
use hdrhistogram::Histogram;
use process::ProcessUsage;

/// Sequential calls in a latency measurement.
const TIMED_CALLS: u64 = 3_000;

/// Concurrent connections in the throughput measurement.
const CONNECTIONS: usize = 32;

/// Calls on each connection in the throughput measurement.
const CALLS_PER_CONNECTION: u64 = 500;

/// Concurrent streams in the measurement of the CPU time of a token.
const STREAMS: usize = 8;

/// Tokens in each stream.
const STREAM_TOKENS: u32 = 2_000;

/// Open streams in the memory measurement.
const OPEN_STREAMS: usize = 200;

const DIRECT_PATH: &str = "/state";
const DAEMON_PATH: &str = "/services/casebook/state";

fn main() {
    let plan = DeploymentPlan {
        hosts: vec!["sapporo-a"],
        engines: vec![("sapporo-a", vec!["--gap-ms", "1", "--max-batch", "256"])],
        plain: vec!["sapporo-a"],
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan);
    lift_limits(&deployment);
    let daemon = deployment.hosts[0].entry;
    let standin = deployment.plain[0].address;
    let process = deployment.hosts[0]
        .process
        .as_ref()
        .expect("the host runs")
        .id();

    println!(
        "memory at rest: {} KiB",
        ProcessUsage::read(process).resident_kib
    );
    print_latency(daemon, standin);
    print_throughput(process, daemon, standin);
    print_tokens(process, daemon);
    print_stream_memory(process, daemon);
    drop(deployment);
    polling::print();
}

/// Raises the worker limits above the load of the bench, so that no request waits for a slot.
fn lift_limits(deployment: &Deployment) {
    let (plain, engine) = (deployment.plain[0].address, deployment.engines[0].address);
    let location = "datacenter sapporo-a";
    deployment.command(
        0,
        &format!(
            "set worker casebook-1 service casebook {location} address {plain} max-running 1000\n\
             set worker engine-1 service drafter {location} address {engine} max-running 1000"
        ),
    );
}

fn latencies(address: SocketAddr, path: &str) -> Histogram<u64> {
    let mut connection = KeepAliveConnection::open(address);
    let mut histogram = Histogram::new(3).expect("three digits are supported");
    for _ in 0..TIMED_CALLS / 10 {
        connection.get(path);
    }
    for _ in 0..TIMED_CALLS {
        let start = Instant::now();
        connection.get(path);
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram
            .record(micros.max(1))
            .expect("the histogram resizes itself");
    }
    histogram
}

/// Measures calls with a new connection each, which is how the daemon calls the upstream.
fn new_connection_latencies(address: SocketAddr, path: &str) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are supported");
    for _ in 0..TIMED_CALLS {
        let start = Instant::now();
        KeepAliveConnection::open(address).get(path);
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram
            .record(micros.max(1))
            .expect("the histogram resizes itself");
    }
    histogram
}

fn print_latency(daemon: SocketAddr, standin: SocketAddr) {
    let direct = latencies(standin, DIRECT_PATH);
    let through = latencies(daemon, DAEMON_PATH);
    let new_connection = new_connection_latencies(standin, DIRECT_PATH);
    println!(
        "time to answer on a connection of its own, direct: p50 {} us, p99 {} us",
        new_connection.value_at_quantile(0.5),
        new_connection.value_at_quantile(0.99),
    );
    for (name, quantile, target) in [("p50", 0.5, 300), ("p99", 0.99, 2_000)] {
        let (slow, fast) = (
            through.value_at_quantile(quantile),
            direct.value_at_quantile(quantile),
        );
        let added = slow.saturating_sub(fast);
        println!(
            "time to answer {name}: direct {fast} us, through {slow} us, ratio {:.2}, added {added} us \
             (target {target} us: {})",
            ratio(slow, fast),
            verdict(added <= target),
        );
    }
}

fn calls_per_second(address: SocketAddr, path: &'static str) -> f64 {
    let start = Instant::now();
    let run = move || {
        let mut connection = KeepAliveConnection::open(address);
        (0..CALLS_PER_CONNECTION).for_each(|_| connection.get(path));
    };
    let threads: Vec<_> = (0..CONNECTIONS).map(|_| std::thread::spawn(run)).collect();
    for thread in threads {
        thread.join().expect("a caller does not panic");
    }
    let calls = CONNECTIONS as f64 * CALLS_PER_CONNECTION as f64;
    calls / start.elapsed().as_secs_f64()
}

fn print_throughput(process: u32, daemon: SocketAddr, standin: SocketAddr) {
    let direct = calls_per_second(standin, DIRECT_PATH);
    let before = ProcessUsage::read(process);
    let through = calls_per_second(daemon, DAEMON_PATH);
    let used = ProcessUsage::read(process).cpu.saturating_sub(before.cpu);
    let calls = CONNECTIONS as f64 * CALLS_PER_CONNECTION as f64;
    println!(
        "calls a second: direct {direct:.0}, through {through:.0}, ratio {:.2} (target 3000: {})",
        direct / through,
        verdict(through >= 3_000.0),
    );
    println!("CPU a call: {:.0} us", micros(used) / calls);
}

fn print_tokens(process: u32, daemon: SocketAddr) {
    let before = ProcessUsage::read(process);
    let run = move || {
        Call::chat("quill-8b", "x", STREAM_TOKENS, true)
            .key(KEY)
            .send(daemon)
            .complete
    };
    let threads: Vec<_> = (0..STREAMS).map(|_| std::thread::spawn(run)).collect();
    let complete = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .filter(|complete| *complete)
        .count();
    let used = ProcessUsage::read(process).cpu.saturating_sub(before.cpu);
    let tokens = STREAMS as f64 * f64::from(STREAM_TOKENS);
    let cost = micros(used) / tokens;
    println!("complete streams: {complete} of {STREAMS}");
    println!(
        "CPU a token: {cost:.1} us (target 20 us: {})",
        verdict(cost <= 20.0)
    );
}

fn print_stream_memory(process: u32, daemon: SocketAddr) {
    let before = ProcessUsage::read(process).resident_kib;
    let call = Call::chat("quill-8b", "x", STREAM_TOKENS, true).key(KEY);
    let open = |_| call.open(daemon).expect("the daemon accepts");
    let streams: Vec<_> = (0..OPEN_STREAMS).map(open).collect();
    std::thread::sleep(Duration::from_secs(1));
    let grown = ProcessUsage::read(process)
        .resident_kib
        .saturating_sub(before);
    println!(
        "memory an open stream: {:.1} KiB",
        grown as f64 / streams.len() as f64
    );
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn ratio(slow: u64, fast: u64) -> f64 {
    slow as f64 / fast.max(1) as f64
}

const fn verdict(held: bool) -> &'static str {
    if held { "held" } else { "missed" }
}
