//! Exhaustive search through a model of the claim protocol that drives the real state machines.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use borageladder_kernel::claim::ChangeStep;
use borageladder_kernel::claim::ClaimAttempt;
use borageladder_kernel::claim::ClaimAttemptOutcome;
use borageladder_kernel::claim::ClaimChange;
use borageladder_kernel::claim::ClaimChangeOutcome;
use borageladder_kernel::claim::ClaimNumber;
use borageladder_kernel::claim::ClaimRow;
use borageladder_kernel::claim::ClaimState;
use borageladder_kernel::claim::ClaimStep;
use borageladder_kernel::claim::ClaimTicket;
use borageladder_kernel::claim::ContentDigest;
use borageladder_kernel::claim::ReleaseAttempt;
use borageladder_kernel::claim::ReleaseOutcome;
use borageladder_kernel::claim::ReleaseStep;
use borageladder_kernel::claim::Settlement;
use borageladder_kernel::claim::StoredClaim;
use borageladder_kernel::claim::TableCall;
use borageladder_kernel::claim::TableReply;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::table::RowRevision;
use yare::parameterized;

/// The state of one entry that received a request with the idempotency key.
///
/// A paused entry needs no state of its own, because the search covers all orders of events.
#[derive(Clone, Debug, Hash)]
enum Entry {
    Idle,
    Claiming(ClaimAttempt, TableCall),
    /// The attempt and the reply that completed it; both are kept because a ticket can't be cloned.
    Held(ClaimAttempt, TableReply),
    Dispatched(ClaimAttempt, TableReply),
    Recording(ClaimChange, TableCall),
    Releasing(ClaimRow, ReleaseAttempt, TableCall),
    Abandoned(ClaimRow),
    Released(ClaimNumber),
    Ended,
    Dead,
}

/// The number of events of each kind that may still occur.
#[derive(Clone, Copy, Debug, Hash)]
struct EventBudget {
    lost: u8,
    deaths: u8,
    settlements: u8,
}

#[derive(Clone, Debug, Hash)]
struct ModelState {
    claim: Option<StoredClaim>,
    revision: u64,
    /// Writes without a reply that are applied later or never.
    delayed: Vec<TableCall>,
    entries: Vec<Entry>,
    /// The number of times the request ran.
    runs: u8,
    /// Whether a repeat was answered with the stored answer.
    answered_repeat: bool,
    budget: EventBudget,
}

/// An event and the path of events that precede it.
#[derive(Debug)]
struct Path {
    event: String,
    before: Option<Rc<Self>>,
}

type Events = Vec<(String, ModelState)>;

fn claim_row(entry: usize) -> ClaimRow {
    let number = u64::try_from(entry).unwrap();
    ClaimRow {
        number: ClaimNumber(number),
        content: ContentDigest(1),
        host: format!("host-{entry}").parse().unwrap(),
        request: RequestId {
            incarnation: number,
            sequence: 1,
        },
        since_ms: 0,
        state: ClaimState::Claimed,
    }
}

fn ticket(attempt: &ClaimAttempt, reply: &TableReply) -> ClaimTicket {
    match attempt.clone().step(reply.clone()) {
        ClaimStep::Done(ClaimAttemptOutcome::Held(ticket)) => ticket,
        other => panic!("{other:?} is not a held claim"),
    }
}

/// Returns the entry after a step of its attempt, and whether it got the stored answer of a repeat.
fn after_claim(step: ClaimStep, before: Option<(ClaimAttempt, TableReply)>) -> (Entry, bool) {
    let entry = match step {
        ClaimStep::Call(attempt, call) => Entry::Claiming(attempt, call),
        ClaimStep::Done(ClaimAttemptOutcome::Held(_)) => {
            let (attempt, reply) = before.expect("a claim is held after a reply only");
            Entry::Held(attempt, reply)
        }
        ClaimStep::Done(ClaimAttemptOutcome::Unavailable {
            abandoned: Some(row),
        }) => Entry::Abandoned(row),
        ClaimStep::Done(ClaimAttemptOutcome::Answered { .. }) => return (Entry::Ended, true),
        ClaimStep::Done(_) => Entry::Ended,
    };
    (entry, false)
}

fn after_change(step: ChangeStep) -> Entry {
    match step {
        ChangeStep::Call(change, call) => Entry::Recording(change, call),
        ChangeStep::Done(
            ClaimChangeOutcome::Written { .. }
            | ClaimChangeOutcome::Superseded(_)
            | ClaimChangeOutcome::Unresolved { .. },
        ) => Entry::Ended,
    }
}

fn after_release(row: ClaimRow, step: ReleaseStep) -> Entry {
    match step {
        ReleaseStep::Call(attempt, call) => Entry::Releasing(row, attempt, call),
        ReleaseStep::Done(ReleaseOutcome::Released) => Entry::Released(row.number),
        ReleaseStep::Done(ReleaseOutcome::Unresolved) => Entry::Abandoned(row),
    }
}

impl ModelState {
    fn new(entries: usize, budget: EventBudget) -> Self {
        Self {
            claim: None,
            revision: 0,
            delayed: Vec::new(),
            entries: vec![Entry::Idle; entries],
            runs: 0,
            answered_repeat: false,
            budget,
        }
    }

    fn apply(&mut self, call: &TableCall) -> TableReply {
        let TableCall::Write { expected, row } = call else {
            return TableReply::Row(self.claim.clone());
        };
        if self.claim.as_ref().map(|claim| claim.revision) != *expected {
            return TableReply::Conflict(self.claim.clone());
        }
        self.revision += 1;
        let revision = RowRevision(self.revision);
        self.claim = Some(StoredClaim {
            row: row.clone(),
            revision,
        });
        TableReply::Committed { revision }
    }

    /// Returns a copy of the state in which one entry has processed the reply to its call.
    fn replied(&self, entry: usize, reply: TableReply) -> Self {
        let mut state = self.clone();
        state.entries[entry] = match self.entries[entry].clone() {
            Entry::Claiming(attempt, _) => {
                let before = Some((attempt.clone(), reply.clone()));
                let (next, answered) = after_claim(attempt.step(reply), before);
                state.answered_repeat |= answered;
                next
            }
            Entry::Recording(change, _) => after_change(change.step(reply)),
            Entry::Releasing(row, attempt, _) => after_release(row, attempt.step(reply)),
            other => panic!("{other:?} made no call"),
        };
        state
    }

    fn call_events(&self, entry: usize, call: &TableCall, events: &mut Events) {
        let mut applied = self.clone();
        let reply = applied.apply(call);
        let mut add = |event: &str, state: Self| events.push((format!("{entry} {event}"), state));
        add("receives a reply", applied.replied(entry, reply));
        if self.budget.lost == 0 {
            return;
        }
        applied.budget.lost -= 1;
        add("loses a reply", applied.replied(entry, TableReply::Lost));
        let mut untouched = self.clone();
        untouched.budget.lost -= 1;
        let unreachable = untouched.replied(entry, TableReply::Unreachable);
        add("can't reach the table", unreachable);
        let mut late = untouched.replied(entry, TableReply::Lost);
        if matches!(call, TableCall::Write { .. }) {
            late.delayed.push(call.clone());
        }
        add("receives no reply and its call is delayed", late);
    }

    fn entry_events(&self, entry: usize, events: &mut Events) {
        let mut add = |event: &str, next: Entry, runs: u8| {
            let mut state = self.clone();
            state.entries[entry] = next;
            state.runs += runs;
            events.push((format!("{entry} {event}"), state));
        };
        match &self.entries[entry] {
            Entry::Idle => {
                let (next, _) = after_claim(ClaimAttempt::start(claim_row(entry)), None);
                add("starts to claim", next, 0);
            }
            Entry::Claiming(_, call) | Entry::Recording(_, call) | Entry::Releasing(_, _, call) => {
                self.call_events(entry, call, events);
            }
            Entry::Held(attempt, reply) => {
                let dispatched = Entry::Dispatched(attempt.clone(), reply.clone());
                add("dispatches, and the request runs", dispatched.clone(), 1);
                add("dispatches, and the request is lost", dispatched, 0);
                let held = ticket(attempt, reply);
                let row = held.row().clone();
                add("releases the claim", after_release(row, held.release()), 0);
            }
            Entry::Dispatched(attempt, reply) => {
                let claim = ticket(attempt, reply).dispatch();
                let answer = claim.answer("answer".to_owned());
                add("records an answer", after_change(answer), 0);
                add(
                    "records an unknown outcome",
                    after_change(claim.unknown()),
                    0,
                );
            }
            Entry::Abandoned(row) => {
                let step = ReleaseAttempt::start(row, None);
                add(
                    "releases an abandoned claim",
                    after_release(row.clone(), step),
                    0,
                );
            }
            Entry::Released(_) | Entry::Ended | Entry::Dead => {}
        }
    }

    fn death_events(&self, entry: usize, events: &mut Events) {
        let is_inactive = matches!(
            self.entries[entry],
            Entry::Idle | Entry::Released(_) | Entry::Ended | Entry::Dead
        );
        if is_inactive || self.budget.deaths == 0 {
            return;
        }
        let mut state = self.clone();
        state.budget.deaths -= 1;
        state.entries[entry] = Entry::Dead;
        events.push((format!("{entry} dies"), state));
    }

    /// Adds the settlement of the claim by an operator who checked whether the upstream ran the
    /// request.
    fn settle_events(&self, events: &mut Events) {
        let Some(claim) = self.claim.as_ref().filter(|_| self.budget.settlements > 0) else {
            return;
        };
        let settlement = if self.runs > 0 {
            Settlement::Ran
        } else {
            Settlement::NotRun
        };
        let Ok(row) = settlement.apply(&claim.row, "settled".to_owned()) else {
            return;
        };
        let mut state = self.clone();
        state.budget.settlements -= 1;
        let expected = Some(claim.revision);
        state.apply(&TableCall::Write { expected, row });
        events.push((format!("operators settle: {settlement:?}"), state));
    }

    fn events(&self) -> Events {
        let mut events = Vec::new();
        for entry in 0..self.entries.len() {
            self.entry_events(entry, &mut events);
            self.death_events(entry, &mut events);
        }
        for index in 0..self.delayed.len() {
            let mut state = self.clone();
            let call = state.delayed.remove(index);
            state.apply(&call);
            events.push(("a delayed write arrives".to_owned(), state));
        }
        self.settle_events(&mut events);
        events
    }

    /// Returns a description of the violated invariant, or `None` if all hold.
    fn violation(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("the request ran twice");
        }
        let is_held = |number: ClaimNumber| {
            let claim = self.claim.as_ref().map(|claim| &claim.row);
            claim.is_some_and(|row| row.number == number && row.state == ClaimState::Claimed)
        };
        let is_stuck = |entry: &Entry| matches!(entry, Entry::Released(number) if is_held(*number));
        let any_stuck = self.entries.iter().any(is_stuck);
        any_stuck.then_some("a released claim is still held")
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

fn events_of(path: &Rc<Path>) -> Vec<String> {
    let mut events = Vec::new();
    let mut next = Some(path);
    while let Some(path) = next {
        events.push(path.event.clone());
        next = path.before.as_ref();
    }
    events.reverse();
    events
}

#[derive(Debug, Default)]
struct SearchReport {
    states: usize,
    ran: bool,
    ran_after_release: bool,
    answered_repeat: bool,
}

impl SearchReport {
    fn record(&mut self, state: &ModelState) {
        self.states += 1;
        self.ran |= state.runs == 1;
        self.answered_repeat |= state.answered_repeat;
        let released = |entry: &Entry| matches!(entry, Entry::Released(_));
        self.ran_after_release |= state.runs == 1 && state.entries.iter().any(released);
    }
}

fn search(start: ModelState) -> SearchReport {
    let mut report = SearchReport::default();
    let mut seen = HashSet::from([start.fingerprint()]);
    let root = Rc::new(Path {
        event: "start".to_owned(),
        before: None,
    });
    let mut queue = VecDeque::from([(start, root)]);
    while let Some((state, path)) = queue.pop_front() {
        if let Some(violation) = state.violation() {
            panic!("{violation}: {:#?}", events_of(&path));
        }
        report.record(&state);
        for (event, next) in state.events() {
            if seen.insert(next.fingerprint()) {
                let before = Some(Rc::clone(&path));
                queue.push_back((next, Rc::new(Path { event, before })));
            }
        }
    }
    report
}

#[parameterized(
    two_entries_and_many_losses = { 2, EventBudget { lost: 3, deaths: 1, settlements: 1 } },
    three_entries_and_two_losses = { 3, EventBudget { lost: 2, deaths: 1, settlements: 1 } },
)]
fn a_request_runs_at_most_once(entries: usize, budget: EventBudget) {
    let report = search(ModelState::new(entries, budget));
    println!("{report:?}");
    assert!(report.ran);
    assert!(report.ran_after_release);
    assert!(report.answered_repeat);
}
