//! Tests of the engine model: step times, batching, prefix cache, cancellation and crashes.

use std::time::Duration;

use borageladder_kernel::ask::CacheEvent;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::BlockDigest;
use borageladder_kernel::name::RequestId;
use borageladder_standin::model::EngineJob;
use borageladder_standin::model::EngineModel;
use borageladder_standin::model::EngineOutput;
use borageladder_standin::model::EngineProfile;
use yare::parameterized;

fn profile() -> EngineProfile {
    EngineProfile {
        prefill_tokens_per_second: 1_000.0,
        decode_gap: Duration::from_millis(10),
        batch_slowdown: 0.5,
        max_batch: 2,
        cache_blocks: 4,
    }
}

fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: 1,
        sequence,
    }
}

fn job(sequence: u64, blocks: &[u64], answer_tokens: u32) -> EngineJob {
    EngineJob {
        request: request(sequence),
        prompt_tokens: 64 * u32::try_from(blocks.len()).expect("a few blocks") + 36,
        blocks: blocks.iter().copied().map(BlockDigest).collect(),
        answer_tokens,
    }
}

fn finish_times(outputs: &[EngineOutput]) -> Vec<(u64, u64)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            EngineOutput::Finished { request, at } => Some((request.sequence, at.as_micros())),
            _ => None,
        })
        .collect()
}

#[test]
fn a_prefill_delays_the_tokens_of_the_batch() {
    let mut model = EngineModel::new(profile());
    model.admit(ClockTime::ZERO, job(1, &[1], 3));
    model.admit(ClockTime::from_millis(50), job(2, &[2], 1));
    let outputs = model.advance(ClockTime::from_millis(1_000));
    // Request 1 gets its first token at 100 ms. Its second token takes 110 ms, because the step
    // includes the prefill of request 2; the third token takes 10 ms.
    assert_eq!(finish_times(&outputs), [(2, 210_000), (1, 220_000)]);
}

#[test]
fn requests_beyond_the_batch_wait_in_arrival_order() {
    let mut model = EngineModel::new(profile());
    for sequence in 1..=4 {
        model.admit(ClockTime::ZERO, job(sequence, &[sequence], 1));
    }
    assert_eq!(model.load().running, 2);
    assert_eq!(model.load().waiting, 2);
    let outputs = model.advance(ClockTime::from_millis(1_000));
    let order: Vec<u64> = finish_times(&outputs).iter().map(|pair| pair.0).collect();
    assert_eq!(order, [1, 2, 3, 4]);
}

#[test]
fn a_block_counts_as_cached_once_its_prefill_is_done() {
    let mut model = EngineModel::new(profile());
    model.admit(ClockTime::ZERO, job(1, &[1, 2], 1));
    assert_eq!(model.cached_blocks(&[BlockDigest(1)]), 0);
    model.advance(ClockTime::from_millis(500));
    model.admit(ClockTime::from_millis(500), job(2, &[1, 2], 1));
    let outputs = model.advance(ClockTime::from_millis(1_000));
    let started = EngineOutput::Started {
        request: request(2),
        cached_tokens: 128,
        uncached_tokens: 36,
    };
    assert_eq!(outputs[0], started);
}

#[test]
fn the_least_recently_used_blocks_are_evicted_and_reported() {
    let mut model = EngineModel::new(profile());
    model.admit(ClockTime::ZERO, job(1, &[1, 2, 3], 1));
    model.admit(ClockTime::ZERO, job(2, &[7, 8], 1));
    model.advance(ClockTime::from_millis(1_000));
    let batch = model.cache_events(3);
    assert_eq!(batch.first, 4);
    let expected = [
        CacheEvent::Stored(BlockDigest(7)),
        CacheEvent::Stored(BlockDigest(8)),
        CacheEvent::Evicted(BlockDigest(3)),
    ];
    assert_eq!(batch.events, expected);
}

#[test]
fn a_crash_discards_requests_and_cache_and_leaves_a_sequence_gap() {
    let mut model = EngineModel::new(profile());
    for sequence in 1..=3 {
        model.admit(ClockTime::ZERO, job(sequence, &[sequence], 5));
    }
    let lost = model.crash(ClockTime::from_millis(150));
    assert_eq!(lost, [request(1), request(2), request(3)]);
    assert_eq!(model.next_wake(), None);
    assert_eq!(model.cached_blocks(&[BlockDigest(1)]), 0);
    assert!(model.cache_events(1).first > 2);
}

#[parameterized(
    waiting = { 3 },
    running = { 1 },
)]
fn a_cancelled_request_produces_nothing_more(sequence: u64) {
    let mut model = EngineModel::new(profile());
    for number in 1..=3 {
        model.admit(ClockTime::ZERO, job(number, &[number], 5));
    }
    model.cancel(ClockTime::from_millis(50), request(sequence));
    let outputs = model.advance(ClockTime::from_millis(2_000));
    let finished = finish_times(&outputs);
    assert_eq!(finished.len(), 2);
    assert!(finished.iter().all(|pair| pair.0 != sequence));
}

#[test]
fn a_slowdown_applies_to_the_following_steps() {
    let mut model = EngineModel::new(profile());
    model.set_slowdown(ClockTime::ZERO, 3.0);
    model.admit(ClockTime::ZERO, job(1, &[1], 2));
    let outputs = model.advance(ClockTime::from_millis(2_000));
    assert_eq!(finish_times(&outputs), [(1, 330_000)]);
}
