//! The first-token policy: latency targets, workers of unequal speed and refusals.

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
use borageladder_kernel::location::NetworkLocation;
use borageladder_kernel::name::HostName;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::policy::FIRST_TOKEN_POLICY;

const MODEL: &str = "m";
const SLOTS: u32 = 4;
const TARGET: Duration = Duration::from_millis(800);
const TOKEN_GAP: Duration = Duration::from_millis(50);

/// A broker of a cell with measured worker speeds, and its current time.
struct TargetHarness {
    broker: CellBroker,
    now: ClockTime,
    sequence: u64,
}

fn host() -> HostName {
    "h1".parse().expect("a valid name")
}

fn location(datacenter: &str) -> NetworkLocation {
    NetworkLocation {
        datacenter: datacenter.parse().expect("a valid name"),
        region: Some(datacenter.parse().expect("a valid name")),
    }
}

fn worker(name: &str, datacenter: &str) -> CellWorker {
    CellWorker {
        worker: name.parse().expect("a valid name"),
        models: vec![MODEL.parse().expect("a valid name")],
        version: None,
        max_running: SLOTS,
        location: Some(location(datacenter)),
    }
}

impl TargetHarness {
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
            version: None,
            workspace: "union".parse().expect("a valid name"),
            tier: TierRank(tier),
            budget: Duration::from_secs(12),
            first_token_target: Some(TARGET),
            token_gap_target: Some(TOKEN_GAP),
            prompt_tokens: prompt,
            max_answer_tokens: 3_000,
            hinted_tokens: Some(hint),
            prefix: Vec::new(),
            suspect: false,
            hedged_worker: None,
        }
    }

    fn asked(&mut self, ask: Ask) -> Vec<BrokerAction> {
        let host = host();
        self.broker
            .handle(self.now, BrokerEvent::Asked { host, ask })
    }

    /// Fills all slots of two workers and finishes all requests, so that the speeds of the workers
    /// are measured.
    fn measure_speeds(&mut self, gap_of: impl Fn(&str) -> Duration) {
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

fn fast_and_slow_worker() -> TargetHarness {
    let mut harness = TargetHarness::new(vec![worker("fast", "d1"), worker("slow", "d1")]);
    harness.measure_speeds(|worker| Duration::from_millis(if worker == "fast" { 3 } else { 16 }));
    harness
}

#[test]
fn an_answer_too_long_for_the_slow_worker_goes_to_the_fast_one() {
    let mut harness = fast_and_slow_worker();
    for _ in 0..SLOTS {
        assert_eq!(harness.granted(0, 1_000, 600).as_deref(), Some("fast"));
    }
}

#[test]
fn a_long_answer_waits_a_little_for_a_fast_worker_and_a_short_one_does_not() {
    let mut harness = fast_and_slow_worker();
    for _ in 0..SLOTS {
        assert_eq!(harness.granted(0, 1_000, 600).as_deref(), Some("fast"));
    }
    assert_eq!(harness.granted(0, 1_000, 700), None);
    assert_eq!(harness.granted(0, 1_000, 20).as_deref(), Some("slow"));
}

#[test]
fn a_near_worker_is_preferred_to_a_distant_one() {
    let mut harness = TargetHarness::new(vec![worker("far", "d1"), worker("near", "d2")]);
    harness.measure_speeds(|_| Duration::from_millis(4));
    harness.broker.set_host_location(&host(), location("d2"));
    for _ in 0..SLOTS {
        assert_eq!(harness.granted(0, 1_000, 100).as_deref(), Some("near"));
    }
    assert_eq!(harness.granted(0, 1_000, 100).as_deref(), Some("far"));
}

#[test]
fn a_worker_that_returns_errors_is_chosen_last() {
    let mut harness = TargetHarness::new(vec![worker("a", "d1"), worker("b", "d1")]);
    let first = harness.granted(0, 1_000, 100).expect("a slot is free");
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
        harness.broker.handle(harness.now, event);
    }
    for _ in 0..SLOTS {
        assert_ne!(harness.granted(0, 1_000, 100), Some(first.clone()));
    }
}

#[test]
fn in_a_burst_requests_that_would_miss_their_latency_target_are_refused_immediately() {
    let mut harness = fast_and_slow_worker();
    let mut refused = 0;
    let mut granted = 0;
    for _ in 0..60 {
        let ask = harness.ask(0, 1_000, 300);
        for action in harness.asked(ask) {
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
    assert!(refused > 30, "only {refused} were refused immediately");
    // No request waits past the time at which its first token is due.
    harness.now = harness.now + TARGET + Duration::from_millis(200);
    let late = harness.broker.tick(harness.now);
    let late = late
        .iter()
        .filter(|action| matches!(action, BrokerAction::Refuse { .. }));
    assert_eq!(late.count() + refused, 60 - granted as usize);
}

#[test]
fn waiting_requests_of_lower_tiers_do_not_cause_refusals_of_a_higher_tier() {
    let mut harness = fast_and_slow_worker();
    for _ in 0..40 {
        let ask = harness.ask(2, 1_000, 300);
        harness.asked(ask);
    }
    let ask = harness.ask(0, 1_000, 300);
    let actions = harness.asked(ask);
    assert!(
        actions
            .iter()
            .all(|action| !matches!(action, BrokerAction::Refuse { tier, .. } if tier.0 == 0))
    );
}

#[test]
fn a_free_slot_on_an_unsuitable_worker_does_not_admit_a_request() {
    let mut harness = fast_and_slow_worker();
    for _ in 0..SLOTS {
        assert_eq!(harness.granted(0, 1_000, 600).as_deref(), Some("fast"));
    }
    // The slow worker is idle, and long answers wait for the fast one.
    let mut refused = 0;
    for _ in 0..8 {
        let ask = harness.ask(0, 1_000, 700);
        let actions = harness.asked(ask);
        let is_refusal = |action: &BrokerAction| matches!(action, BrokerAction::Refuse { .. });
        refused += actions.into_iter().filter(is_refusal).count();
    }
    assert!(refused >= 4, "only {refused} of 8 were refused immediately");
    assert_eq!(harness.granted(0, 1_000, 20).as_deref(), Some("slow"));
}

// Guards against a request that states no limit on its answer and is planned as if it had none.
#[test]
fn a_hint_counts_although_the_request_states_no_limit() {
    let mut harness = fast_and_slow_worker();
    let limited = harness.ask(0, 100, 1_000);
    let unlimited = Ask {
        max_answer_tokens: 0,
        ..limited.clone()
    };
    let finish = |ask: &Ask| harness.broker.predicted_finish(harness.now, ask);
    assert_eq!(finish(&unlimited), finish(&limited));
}

// Guards against a hint in tokens that is taken for the time of a plain request.
#[test]
fn a_hint_says_nothing_about_the_time_of_a_plain_request() {
    let mut harness = fast_and_slow_worker();
    let hinted = Ask {
        model: None,
        ..harness.ask(0, 100, 3_000)
    };
    let plain = Ask {
        hinted_tokens: None,
        ..hinted.clone()
    };
    harness.asked(plain.clone());
    let finish = |ask: &Ask| harness.broker.predicted_finish(harness.now, ask);
    assert!(finish(&plain).is_some());
    assert_eq!(finish(&hinted), finish(&plain));
}

// Guards against a broker that has just taken over and lets requests wait until their deadlines, since no
// answer has ended at it.
#[test]
fn requests_wait_no_longer_than_their_latency_target_before_a_speed_is_measured() {
    let mut harness = TargetHarness::new(vec![worker("a", "d1")]);
    for _ in 0..SLOTS {
        assert!(harness.granted(0, 1_000, 100).is_some());
    }
    // The default speeds are no reason to refuse requests that may still get a slot in time.
    for _ in 0..2 * SLOTS {
        let ask = harness.ask(0, 1_000, 100);
        assert_eq!(harness.asked(ask), []);
    }
    harness.now = harness.now + TARGET / 2;
    assert_eq!(harness.broker.tick(harness.now), []);
    harness.now = harness.now + TARGET / 2 + Duration::from_millis(1);
    let refused = harness.broker.tick(harness.now);
    let is_refusal = |action: &BrokerAction| matches!(action, BrokerAction::Refuse { .. });
    assert!(refused.iter().all(is_refusal), "{refused:?}");
    assert_eq!(refused.len(), 2 * SLOTS as usize);
}

// Guards against a stopping host whose requests wait for slots that can't be used to the end.
#[test]
fn a_waiting_request_is_refused_as_soon_as_its_host_can_not_serve_it_before_it_ends() {
    let mut harness = fast_and_slow_worker();
    for _ in 0..2 * SLOTS {
        assert!(harness.granted(0, 1_000, 100).is_some());
    }
    let mut ask = harness.ask(0, 1_000, 300);
    ask.first_token_target = None;
    assert_eq!(harness.asked(ask.clone()), []);
    harness.now = harness.now + Duration::from_millis(100);
    assert_eq!(harness.broker.tick(harness.now), []);
    // The low estimate of the answer is half of the hint: 150 tokens of 3 ms at the fast worker.
    ask.budget = Duration::from_millis(300);
    harness.asked(ask);
    harness.now = harness.now + Duration::from_millis(100);
    let refused = harness.broker.tick(harness.now);
    assert!(
        matches!(refused.as_slice(), [BrokerAction::Refuse { .. }]),
        "{refused:?}"
    );
}
