//! Tests of the model of cached prefixes: dispatches, cache events and gaps in their sequence
//! numbers.

use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CacheEvent;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::BlockDigest;
use borageladder_kernel::prefix::PrefixCache;
use borageladder_kernel::prefix::PrefixIndex;

const PREFIX: [BlockDigest; 3] = [BlockDigest(1), BlockDigest(2), BlockDigest(3)];
const WORKER: usize = 5;

fn stored(first: u64, digests: &[BlockDigest]) -> CacheBatch {
    let events = digests.iter().copied().map(CacheEvent::Stored).collect();
    CacheBatch { first, events }
}

fn empty_cache() -> (PrefixCache, PrefixIndex) {
    (PrefixCache::new(WORKER), PrefixIndex::new())
}

#[test]
fn a_dispatched_prefix_is_cached_after_its_first_token() {
    let (mut cache, mut index) = empty_cache();
    let ready_at = ClockTime::from_millis(300);
    cache.prefill_expected(&PREFIX, ready_at, &mut index);
    assert_eq!(cache.cached(&PREFIX), 0);
    let pending = cache.pending(&PREFIX, 0).expect("the prefix is computed");
    assert_eq!((pending.blocks, pending.ready_at), (3, ready_at));
    assert_eq!(index.computing(PREFIX[0]), [WORKER]);
    cache.prefilled(&PREFIX, &mut index);
    assert_eq!(cache.cached(&PREFIX), 3);
    assert_eq!(cache.pending(&PREFIX, 3), None);
    assert_eq!(index.holders(PREFIX[2]), [WORKER]);
    assert!(index.computing(PREFIX[0]).is_empty());
}

#[test]
fn an_abandoned_prefix_is_not_cached() {
    let (mut cache, mut index) = empty_cache();
    cache.prefill_expected(&PREFIX, ClockTime::ZERO, &mut index);
    cache.prefill_expected(&PREFIX, ClockTime::ZERO, &mut index);
    cache.abandoned(&PREFIX, &mut index);
    assert!(
        cache.pending(&PREFIX, 0).is_some(),
        "another request computes it"
    );
    cache.abandoned(&PREFIX, &mut index);
    assert_eq!(cache.pending(&PREFIX, 0), None);
    assert_eq!(cache.cached(&PREFIX), 0);
}

#[test]
fn an_evicted_block_is_not_cached() {
    let (mut cache, mut index) = empty_cache();
    cache.apply(&stored(1, &PREFIX), &mut index);
    let events = vec![CacheEvent::Evicted(PREFIX[2])];
    cache.apply(&CacheBatch { first: 4, events }, &mut index);
    assert_eq!(cache.cached(&PREFIX), 2);
    assert_eq!(index.held(&PREFIX), 2);
}

#[test]
fn a_gap_discards_unconfirmed_blocks() {
    let (mut cache, mut index) = empty_cache();
    cache.apply(&stored(1, &PREFIX[..2]), &mut index);
    cache.prefill_expected(&PREFIX, ClockTime::ZERO, &mut index);
    cache.prefilled(&PREFIX, &mut index);
    assert_eq!(cache.cached(&PREFIX), 3);
    cache.apply(&stored(9, &[]), &mut index);
    assert_eq!(cache.cached(&PREFIX), 2);
    cache.apply(&stored(19, &[]), &mut index);
    assert_eq!(
        cache.cached(&PREFIX),
        0,
        "a second gap leaves nothing confirmed"
    );
    assert_eq!(index.held(&PREFIX), 0);
}

#[test]
fn restarted_event_numbers_discard_all_blocks() {
    let (mut cache, mut index) = empty_cache();
    cache.apply(&stored(1, &PREFIX), &mut index);
    cache.apply(&stored(1, &PREFIX[..1]), &mut index);
    assert_eq!(cache.cached(&PREFIX), 1);
}
