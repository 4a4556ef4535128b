//! Work follows cached prefixes.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CacheChange;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::name::BlockDigest;

use crate::harness::BrokerBench;
use crate::harness::grants;
use crate::harness::only_grant;

fn prefixed(bench: &mut BrokerBench, tier: u8) -> Ask {
    let mut ask = bench.ask(tier, Duration::from_mins(2));
    ask.prompt_tokens = 4_000;
    ask.prefix = (1..=60).map(BlockDigest).collect();
    ask
}

#[test]
fn a_cold_prefix_gets_one_request_ahead() {
    let mut bench = BrokerBench::calm(&[("a", 4), ("b", 4)]);
    let ask = prefixed(&mut bench, 0);
    let ahead = only_grant(&bench.send(&ask));
    for _ in 0..2 {
        let ask = prefixed(&mut bench, 0);
        assert_eq!(bench.send(&ask), [], "waits for the prefill");
    }
    let after = Duration::from_millis(700);
    let woken = grants(&bench.report(&ahead, WorkProgress::FirstToken { after }));
    assert_eq!(woken.len(), 2);
    assert!(woken.iter().all(|grant| grant.worker == ahead.worker));
}

#[test]
fn cache_events_move_work() {
    let mut bench = BrokerBench::calm(&[("a", 4), ("b", 4)]);
    let batch = CacheBatch {
        first: 1,
        changes: (1..=60).map(BlockDigest).map(CacheChange::Stored).collect(),
    };
    let worker = "b".parse().expect("a valid name");
    bench.handle(BrokerEvent::CacheReported { worker, batch });
    let ask = prefixed(&mut bench, 0);
    assert_eq!(only_grant(&bench.send(&ask)).worker.as_str(), "b");
}
