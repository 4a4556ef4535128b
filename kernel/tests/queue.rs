//! Compares the prefix sums of `WorkTally` with a linear sum over all entries.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::queue::QueueKey;
use borageladder_kernel::queue::QueueOrder;
use borageladder_kernel::queue::WorkTally;
use proptest::prelude::*;

fn key(tier: u8, due_millis: u64) -> QueueKey {
    let due = ClockTime::from_millis(due_millis);
    QueueKey::new(QueueOrder::TierDeadline, TierRank(tier), due, 1)
}

fn linear_sum(entries: &[(u8, u64, u64)], tier: u8, due: u64) -> Duration {
    let before = |entry: &&(u8, u64, u64)| (entry.0, entry.1) <= (tier, due);
    let micros = entries.iter().filter(before).map(|entry| entry.2).sum();
    Duration::from_micros(micros)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_tally_equals_a_linear_sum(
        entries in prop::collection::vec((0_u8..4, 0_u64..100_000_000, 1_u64..10_000_000), 1..60),
        removed in 0_usize..60,
        tier in 0_u8..4,
        due in 0_u64..100_000_000,
    ) {
        let mut tally = WorkTally::default();
        for (tier, due, work) in &entries {
            tally.add(&key(*tier, *due), Duration::from_micros(*work));
        }
        prop_assert_eq!(tally.before(&key(tier, due)), linear_sum(&entries, tier, due));
        let (removed, left) = entries.split_at(removed.min(entries.len()));
        for (tier, due, work) in removed {
            tally.remove(&key(*tier, *due), Duration::from_micros(*work));
        }
        prop_assert_eq!(tally.before(&key(tier, due)), linear_sum(left, tier, due));
    }
}
