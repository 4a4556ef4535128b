//! Upper bounds of the bytes that messages take on a link.

mod link_support;

use std::sync::Arc;
use std::time::Duration;

use borageladder::kernel::configuration::ConfigVersion;
use borageladder::kernel::configuration::WorkerState;
use borageladder::kernel::delta::ConfigurationDelta;
use borageladder::kernel::stream::StreamKey;
use borageladder::wire::FrameEncoder;
use borageladder::wire::LinkMessage;
use borageladder::wire::UsageReport;
use borageladder::wire::WorkspaceUsage;
use link_support::samples::TO_BROKER;
use link_support::samples::TO_ENTRY;
use link_support::samples::ask;
use link_support::samples::grant;
use link_support::samples::heartbeat;
use link_support::samples::large_configuration;
use link_support::samples::reports;

/// Returns the length of the WebSocket header of a frame from a dialer, in bytes.
///
/// The mask of the dialer takes four of them. A frame of 64 KiB or more counts with 8 bytes, although
/// its header has 14.
fn header_bytes(frame: &[u8]) -> usize {
    const LONGEST_SHORT_FRAME: usize = 125;
    if frame.len() <= LONGEST_SHORT_FRAME {
        6
    } else {
        8
    }
}

/// Appends the messages to one frame and returns its length with its header, in bytes.
fn encoded_bytes(encoder: &mut FrameEncoder, messages: &[LinkMessage]) -> usize {
    let mut frame = Vec::new();
    for message in messages {
        encoder
            .encode(message, &mut frame)
            .expect("a short message");
    }
    frame.len() + header_bytes(&frame)
}

/// Returns the mean bytes of the ask, the grant and the reports of one request, where each frame
/// carries the messages of `batch` requests.
fn bytes_per_request(batch: u64) -> usize {
    const REQUESTS: u64 = 1_000;
    let mut forward = FrameEncoder::new(TO_BROKER);
    let mut back = FrameEncoder::new(TO_ENTRY);
    let mut bytes = 0;
    for first in (0..REQUESTS).step_by(usize::try_from(batch).expect("a small number")) {
        let sequences = first + 4_000_000_000..first + batch + 4_000_000_000;
        let asks = sequences
            .clone()
            .map(|sequence| LinkMessage::Ask(Box::new(ask(sequence))));
        let grants = sequences
            .clone()
            .map(|sequence| LinkMessage::Grant(grant(sequence)));
        let reports = sequences.flat_map(reports);
        bytes += encoded_bytes(&mut forward, &asks.collect::<Vec<_>>());
        bytes += encoded_bytes(&mut back, &grants.collect::<Vec<_>>());
        for kind in 0..3 {
            let kinds = reports.clone().skip(kind).step_by(3);
            bytes += encoded_bytes(&mut forward, &kinds.collect::<Vec<_>>());
        }
    }
    bytes / usize::try_from(REQUESTS).expect("a small number")
}

#[test]
fn a_request_takes_at_most_a_hundred_bytes() {
    let batched = bytes_per_request(8);
    let single = bytes_per_request(1);
    println!("bytes for each request: {batched} in frames of 8, {single} in frames of 1");
    assert!(batched <= 100, "{batched} bytes");
}

#[test]
fn heartbeats_fit_the_budget_of_a_host() {
    const LOCAL_PEERS: usize = 33;
    const REMOTE_LINKS: usize = 2 * 2 * 10;
    const HEARTBEATS_PER_SECOND: usize = 2;
    const PACKET_HEADER_BYTES: usize = 40;
    const HOST_BYTES_PER_SECOND: usize = 24_000;
    let mut encoder = FrameEncoder::new(TO_BROKER);
    let first = encoded_bytes(&mut encoder, &[LinkMessage::Heartbeat(heartbeat(0))]);
    let mut largest = 0;
    for number in 1..100 {
        let beat = LinkMessage::Heartbeat(heartbeat(number));
        largest = largest.max(encoded_bytes(&mut encoder, &[beat]));
    }
    let packets_per_second = (LOCAL_PEERS + REMOTE_LINKS) * HEARTBEATS_PER_SECOND;
    let rate = packets_per_second * (largest + PACKET_HEADER_BYTES);
    println!("heartbeat: {first} bytes first, then {largest}; {rate} bytes a second and host");
    assert!(rate <= HOST_BYTES_PER_SECOND, "{rate} bytes a second");
}

#[test]
fn a_change_is_sent_as_a_delta() {
    const WORKERS: u32 = 7_900;
    const MAX_DELTA_BYTES: usize = 400;
    let before = large_configuration(WORKERS);
    let mut after = before.clone();
    after.version = ConfigVersion(2);
    let worker = after.workers.values_mut().next().expect("a worker");
    worker.state = WorkerState::Draining;
    let delta = ConfigurationDelta::between(&before, &after);
    let mut encoder = FrameEncoder::new(TO_BROKER);
    let deltas = LinkMessage::ConfigurationDeltas(vec![Arc::new(delta)]);
    let small = encoded_bytes(&mut encoder, &[deltas]);
    let whole = encoded_bytes(&mut encoder, &[LinkMessage::Configuration(Arc::new(after))]);
    println!("configuration of {WORKERS} workers: {whole} bytes, delta: {small} bytes");
    assert!(small <= MAX_DELTA_BYTES, "{small} bytes");
}

#[test]
fn a_usage_report_of_sixteen_quotas_takes_few_bytes() {
    const WORKSPACES: usize = 16;
    const WORKSPACE_BYTES: usize = 12;
    const HEAD_BYTES: usize = 16;
    let mut encoder = FrameEncoder::new(TO_BROKER);
    let mut largest = 0;
    for turn in 0..50_u32 {
        let uses = (0..WORKSPACES).map(|number| WorkspaceUsage {
            workspace: format!("workspace-{number}").parse().expect("a name"),
            units: f64::from(40_000_000 + turn * 1_700),
        });
        let report = UsageReport {
            age: Duration::from_millis(250 * u64::from(turn) + 90_000_000),
            uses: uses.collect(),
        };
        let bytes = encoded_bytes(&mut encoder, &[LinkMessage::Usage(report)]);
        if turn > 0 {
            largest = largest.max(bytes);
        }
    }
    println!("quotas of {WORKSPACES} workspaces: {largest} bytes");
    assert!(
        largest <= WORKSPACES * WORKSPACE_BYTES + HEAD_BYTES,
        "{largest} bytes"
    );
}

/// The bytes for which `docs/CAPACITY.md` counts the version of a stream, sent to two replicas.
#[test]
fn the_version_of_a_stream_takes_few_bytes() {
    const MESSAGE_BYTES: usize = 24;
    let mut encoder = FrameEncoder::new(TO_BROKER);
    let message = LinkMessage::StreamVersion {
        stream: StreamKey(u64::MAX),
        version: "v1.2".parse().ok(),
    };
    let bytes = encoded_bytes(&mut encoder, &[message]);
    println!("version of a stream: {bytes} bytes");
    assert!(bytes <= MESSAGE_BYTES, "{bytes} bytes");
}
