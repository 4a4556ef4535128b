//! The policy of the gateway: aims of callers, unlike workers, and who is refused.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::CellWorker;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::ask::WorkReport;
use borageladder_kernel::broker::BrokerSettings;
use borageladder_kernel::broker::CellBroker;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::HostName;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::place::NetworkPlace;
use borageladder_kernel::policy::FIRST_TOKEN_POLICY;

const MODEL: &str = "m";
const SLOTS: u32 = 4;
const AIM: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(50);

/// A cell of one fast and one slow worker whose speeds were measured.
struct AimBench {
    broker: CellBroker,
    now: ClockTime,
    sequence: u64,
}

fn host() -> HostName {
    "h1".parse().expect("a valid name")
}

fn place(datacenter: &str) -> NetworkPlace {
    NetworkPlace {
        datacenter: datacenter.parse().expect("a valid name"),
        region: Some(datacenter.parse().expect("a valid name")),
    }
}

fn worker(name: &str, datacenter: &str) -> CellWorker {
    CellWorker {
        worker: name.parse().expect("a valid name"),
        models: vec![MODEL.parse().expect("a valid name")],
        max_running: SLOTS,
        location: Some(place(datacenter)),
    }
}

impl AimBench {
    fn new(workers: Vec<CellWorker>) -> Self {
        let settings = BrokerSettings::default()
            .with_takeover_time(Duration::ZERO)
            .with_policy(FIRST_TOKEN_POLICY);
        let now = ClockTime::ZERO;
        let mut broker = CellBroker::new(settings, now).expect("the policy is registered");
        broker.handle(now, BrokerEvent::WorkersChanged { workers });
        Self {
            broker,
            now,
            sequence: 0,
        }
    }

    fn ask(&mut self, tier: u8, prompt: u32, hint: u32) -> Ask {
        self.sequence += 1;
        Ask {
            request: RequestId {
                incarnation: 1,
                sequence: self.sequence,
            },
            service: "drafter".parse().expect("a valid name"),
            model: Some(MODEL.parse().expect("a valid name")),
            workspace: "union".parse().expect("a valid name"),
            tier: TierRank(tier),
            budget: Duration::from_secs(12),
            target: Some(AIM),
            pause: Some(PAUSE),
            prompt_tokens: prompt,
            max_answer_tokens: 3_000,
            hinted_tokens: Some(hint),
            prefix: Vec::new(),
            suspect: false,
        }
    }

    fn asked(&mut self, ask: Ask) -> Vec<BrokerAction> {
        let host = host();
        self.broker
            .handle(self.now, BrokerEvent::Asked { host, ask })
    }

    /// Takes all slots and lets all answers end, so that the speeds of the workers are known.
    fn teach(&mut self, gap_of: impl Fn(&str) -> Duration) {
        let mut grants = Vec::new();
        for _ in 0..2 * SLOTS {
            let ask = self.ask(0, 4_000, 100);
            grants.extend(self.asked(ask));
        }
        for action in grants {
            let BrokerAction::Grant { grant, .. } = action else {
                panic!("a slot is free");
            };
            let after = Duration::from_millis(60);
            let finished = WorkProgress::Finished {
                answer_tokens: 200,
                token_gap: gap_of(grant.worker.as_str()),
            };
            let steps = [
                WorkProgress::Dispatched,
                WorkProgress::FirstToken { after },
                finished,
            ];
            for progress in steps {
                let report = WorkReport {
                    request: grant.request,
                    grant: grant.grant,
                    worker: grant.worker.clone(),
                    progress,
                };
                let host = host();
                let event = BrokerEvent::Reported { host, report };
                self.broker.handle(self.now, event);
            }
        }
        self.now = self.now + Duration::from_secs(20);
        self.broker.tick(self.now);
    }

    fn granted(&mut self, tier: u8, prompt: u32, hint: u32) -> Option<String> {
        let ask = self.ask(tier, prompt, hint);
        let request = ask.request;
        let grant = |action| match action {
            BrokerAction::Grant { grant, .. } if grant.request == request => {
                Some(grant.worker.to_string())
            }
            _ => None,
        };
        self.asked(ask).into_iter().find_map(grant)
    }
}

fn unlike_workers() -> AimBench {
    let mut bench = AimBench::new(vec![worker("fast", "d1"), worker("slow", "d1")]);
    bench.teach(|worker| Duration::from_millis(if worker == "fast" { 3 } else { 16 }));
    bench
}

#[test]
fn an_answer_too_long_for_the_slow_worker_goes_to_the_fast_one() {
    let mut bench = unlike_workers();
    for _ in 0..SLOTS {
        assert_eq!(bench.granted(0, 1_000, 600).as_deref(), Some("fast"));
    }
}

#[test]
fn a_long_answer_waits_a_little_for_a_fast_worker_and_a_short_one_does_not() {
    let mut bench = unlike_workers();
    for _ in 0..SLOTS {
        assert_eq!(bench.granted(0, 1_000, 600).as_deref(), Some("fast"));
    }
    assert_eq!(bench.granted(0, 1_000, 700), None);
    assert_eq!(bench.granted(0, 1_000, 20).as_deref(), Some("slow"));
}

#[test]
fn a_worker_nearby_goes_before_one_far_away() {
    let mut bench = AimBench::new(vec![worker("far", "d1"), worker("near", "d2")]);
    bench.teach(|_| Duration::from_millis(4));
    bench.broker.host_seen(&host(), place("d2"));
    for _ in 0..SLOTS {
        assert_eq!(bench.granted(0, 1_000, 100).as_deref(), Some("near"));
    }
    assert_eq!(bench.granted(0, 1_000, 100).as_deref(), Some("far"));
}

#[test]
fn a_worker_that_fails_what_it_runs_comes_last() {
    let mut bench = AimBench::new(vec![worker("a", "d1"), worker("b", "d1")]);
    let first = bench.granted(0, 1_000, 100).expect("a slot is free");
    for sequence in 0..20 {
        let report = WorkReport {
            request: RequestId {
                incarnation: 9,
                sequence,
            },
            grant: borageladder_kernel::name::GrantId {
                broker: 9,
                sequence,
            },
            worker: first.parse().expect("a valid name"),
            progress: WorkProgress::Erred,
        };
        let event = BrokerEvent::Reported {
            host: host(),
            report,
        };
        bench.broker.handle(bench.now, event);
    }
    for _ in 0..SLOTS {
        assert_ne!(bench.granted(0, 1_000, 100), Some(first.clone()));
    }
}

#[test]
fn in_a_burst_what_can_not_start_within_its_aim_is_refused_at_once() {
    let mut bench = unlike_workers();
    let mut refused = 0;
    let mut granted = 0;
    for _ in 0..60 {
        let ask = bench.ask(0, 1_000, 300);
        for action in bench.asked(ask) {
            match action {
                BrokerAction::Grant { .. } => granted += 1,
                BrokerAction::Refuse { refusal, .. } => {
                    assert!(refusal.retry_after >= Duration::from_secs(1));
                    refused += 1;
                }
            }
        }
    }
    assert_eq!(granted, 2 * SLOTS);
    assert!(refused > 30, "only {refused} were refused at once");
    // Nothing waits longer than until its first token is due.
    bench.now = bench.now + AIM + Duration::from_millis(200);
    let late = bench.broker.tick(bench.now);
    let late = late
        .iter()
        .filter(|action| matches!(action, BrokerAction::Refuse { .. }));
    assert_eq!(late.count() + refused, 60 - granted as usize);
}

#[test]
fn a_higher_tier_is_not_refused_for_what_waits_below_it() {
    let mut bench = unlike_workers();
    for _ in 0..40 {
        let ask = bench.ask(2, 1_000, 300);
        bench.asked(ask);
    }
    let ask = bench.ask(0, 1_000, 300);
    let actions = bench.asked(ask);
    assert!(
        actions
            .iter()
            .all(|action| !matches!(action, BrokerAction::Refuse { tier, .. } if tier.0 == 0))
    );
}

#[test]
fn a_free_slot_that_does_not_suit_a_request_does_not_let_it_in() {
    let mut bench = unlike_workers();
    for _ in 0..SLOTS {
        assert_eq!(bench.granted(0, 1_000, 600).as_deref(), Some("fast"));
    }
    // The slow worker stands free, and long answers wait for the fast one.
    let mut refused = 0;
    for _ in 0..8 {
        let ask = bench.ask(0, 1_000, 700);
        let actions = bench.asked(ask);
        let is_refusal = |action: &BrokerAction| matches!(action, BrokerAction::Refuse { .. });
        refused += actions.into_iter().filter(is_refusal).count();
    }
    assert!(refused >= 4, "only {refused} of 8 were refused at once");
    assert_eq!(bench.granted(0, 1_000, 20).as_deref(), Some("slow"));
}
