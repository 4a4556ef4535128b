//! Seeded runs of a broker under load: callers, workers and the clock are simulated.

use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::ops::Range;
use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::broker::BrokerSettings;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::policy::FIRST_TOKEN_POLICY;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::harness::BrokerHarness;

/// The latency target of all requests.
pub(crate) const TARGET: Duration = Duration::from_millis(400);
/// The shortest gap after which callers give up.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// The multiple of the gap target after which callers give up.
const GAP_PATIENCE: u32 = 8;
const PREFILL: Duration = Duration::from_millis(20);
const TOKEN_GAP: Duration = Duration::from_millis(5);
/// A gap target that workers meet and that does not lengthen the patience of callers.
pub(crate) const GAP_TARGET: Duration = Duration::from_millis(10);
/// The lengths of answers, in tokens; a request holds its slot for about a second.
const TOKENS: Range<u32> = 100..300;

/// Requests of a workspace that arrive at random times in an interval.
pub(crate) struct LoadPhase {
    pub(crate) workspace: &'static str,
    pub(crate) millis: Range<u64>,
    pub(crate) per_second: u64,
    pub(crate) budget: Duration,
    pub(crate) gap_target: Duration,
}

/// What became of the requests of one workspace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct LoadOutcome {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    /// Granted a slot after the caller had given up, or too late for the deadline.
    pub(crate) useless: u32,
    pub(crate) refused: u32,
    /// Refused after a wait.
    pub(crate) held_refused: u32,
}

impl AddAssign for LoadOutcome {
    fn add_assign(&mut self, rhs: Self) {
        self.in_time += rhs.in_time;
        self.late += rhs.late;
        self.useless += rhs.useless;
        self.refused += rhs.refused;
        self.held_refused += rhs.held_refused;
    }
}

#[derive(Clone, Copy)]
struct Call {
    workspace: &'static str,
    at: ClockTime,
    budget: Duration,
    gap_target: Duration,
    tokens: u32,
}

enum LoadEvent {
    Arrival(Call),
    End(Grant),
}

pub(crate) struct LoadRun {
    pub(crate) harness: BrokerHarness,
    rng: StdRng,
    events: BTreeMap<(ClockTime, u64), LoadEvent>,
    calls: BTreeMap<RequestId, Call>,
    outcomes: BTreeMap<&'static str, LoadOutcome>,
}

impl LoadRun {
    /// Creates a run with workers whose speeds are measured.
    pub(crate) fn new(settings: BrokerSettings, workers: &[(&str, u32)], seed: u64) -> Self {
        let slots: u32 = workers.iter().map(|(_, slots)| slots).sum();
        let mut run = Self {
            harness: BrokerHarness::new(settings.with_policy(FIRST_TOKEN_POLICY), workers),
            rng: StdRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            calls: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        };
        run.add(&[LoadPhase {
            workspace: "warm-up",
            millis: 0..10_000,
            per_second: u64::from(slots.div_ceil(4)),
            budget: Duration::from_secs(12),
            gap_target: GAP_TARGET,
        }]);
        run.advance_to(ClockTime::from_millis(20_000));
        run.outcomes.clear();
        run.harness.broker.take_late_counts();
        run
    }

    /// Adds the arrivals of phases, whose times count from now.
    pub(crate) fn add(&mut self, phases: &[LoadPhase]) {
        for phase in phases {
            let millis = phase.millis.end - phase.millis.start;
            for _ in 0..millis * phase.per_second / 1_000 {
                let after = self.rng.random_range(phase.millis.clone());
                let call = Call {
                    workspace: phase.workspace,
                    at: self.harness.now + Duration::from_millis(after),
                    budget: phase.budget,
                    gap_target: phase.gap_target,
                    tokens: self.rng.random_range(TOKENS),
                };
                self.push(call.at, LoadEvent::Arrival(call));
            }
        }
    }

    pub(crate) fn advance_to(&mut self, end: ClockTime) {
        loop {
            let event = self.events.keys().next().map(|(at, _)| *at);
            let wake = self.harness.broker.next_wake();
            let Some(next) = event.into_iter().chain(wake).min().filter(|at| *at <= end) else {
                self.harness.now = end;
                return;
            };
            self.harness.now = next.max(self.harness.now);
            let actions = if event == Some(next) {
                let (_, event) = self.events.pop_first().expect("an event is due");
                self.apply(event)
            } else {
                self.harness.advance(Duration::ZERO)
            };
            self.record(&actions);
        }
    }

    /// Returns the outcomes of a workspace so far.
    pub(crate) fn outcome(&self, workspace: &str) -> LoadOutcome {
        self.outcomes.get(workspace).copied().unwrap_or_default()
    }

    /// Runs until all requests have ended and returns the outcome of one workspace.
    pub(crate) fn finish(&mut self, workspace: &str) -> LoadOutcome {
        self.advance_to(self.harness.now + Duration::from_mins(2));
        self.outcome(workspace)
    }

    fn push(&mut self, at: ClockTime, event: LoadEvent) {
        let number = self.rng.random();
        self.events.insert((at, number), event);
    }

    fn apply(&mut self, event: LoadEvent) -> Vec<BrokerAction> {
        match event {
            LoadEvent::Arrival(call) => {
                let ask = self.ask(call);
                self.calls.insert(ask.request, call);
                self.harness.send(&ask)
            }
            LoadEvent::End(grant) => {
                let answer_tokens = self.calls[&grant.request].tokens;
                let token_gap = TOKEN_GAP;
                let finished = WorkProgress::Finished {
                    answer_tokens,
                    token_gap,
                };
                self.harness.report(&grant, finished)
            }
        }
    }

    fn ask(&mut self, call: Call) -> Ask {
        let hint = call.tokens * self.rng.random_range(70..140) / 100;
        Ask {
            workspace: call.workspace.parse().expect("a valid name"),
            first_token_target: Some(TARGET),
            token_gap_target: Some(call.gap_target),
            max_answer_tokens: 0,
            hinted_tokens: Some(hint),
            ..self.harness.ask(0, call.budget)
        }
    }

    fn record(&mut self, actions: &[BrokerAction]) {
        for action in actions {
            match action {
                BrokerAction::Grant { grant, .. } => self.start(grant),
                BrokerAction::Refuse { refusal, .. } => {
                    let call = self.calls[&refusal.request];
                    let outcome = self.outcomes.entry(call.workspace).or_default();
                    if call.at < self.harness.now {
                        outcome.held_refused += 1;
                    } else {
                        outcome.refused += 1;
                    }
                }
            }
        }
    }

    fn start(&mut self, grant: &Grant) {
        let call = self.calls[&grant.request];
        let first = self.harness.now.since(call.at) + PREFILL;
        let run = PREFILL + TOKEN_GAP * call.tokens;
        let end = self.harness.now + run;
        let patience = MIN_PATIENCE.max(call.gap_target * GAP_PATIENCE);
        let outcome = self.outcomes.entry(call.workspace).or_default();
        if first <= TARGET + PREFILL {
            outcome.in_time += 1;
        } else if first <= patience && end.since(call.at) <= call.budget {
            outcome.late += 1;
        } else {
            outcome.useless += 1;
        }
        let actions = self.harness.report(grant, WorkProgress::Dispatched);
        let after = PREFILL;
        let more = self
            .harness
            .report(grant, WorkProgress::FirstToken { after });
        self.push(end, LoadEvent::End(grant.clone()));
        self.record(&actions);
        self.record(&more);
    }
}
