//! Checks the claim protocol over every order of events, with the kernel's own code.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use borageladder_kernel::claim::ChangeEnd;
use borageladder_kernel::claim::ChangeStep;
use borageladder_kernel::claim::ClaimAttempt;
use borageladder_kernel::claim::ClaimChange;
use borageladder_kernel::claim::ClaimEnd;
use borageladder_kernel::claim::ClaimNumber;
use borageladder_kernel::claim::ClaimRow;
use borageladder_kernel::claim::ClaimState;
use borageladder_kernel::claim::ClaimStep;
use borageladder_kernel::claim::ClaimTicket;
use borageladder_kernel::claim::ContentDigest;
use borageladder_kernel::claim::ReleaseAttempt;
use borageladder_kernel::claim::ReleaseEnd;
use borageladder_kernel::claim::ReleaseStep;
use borageladder_kernel::claim::Settlement;
use borageladder_kernel::claim::StoredClaim;
use borageladder_kernel::claim::TableCall;
use borageladder_kernel::claim::TableReply;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::table::RowRevision;
use yare::parameterized;

/// One entry that got a request with the key. A pause needs no state: any other may go first.
#[derive(Clone, Debug, Hash)]
enum Entry {
    Idle,
    Claiming(ClaimAttempt, TableCall),
    /// The attempt and the reply that made it hold the claim, since a ticket can't be cloned.
    Held(ClaimAttempt, TableReply),
    Dispatched(ClaimAttempt, TableReply),
    Recording(ClaimChange, TableCall),
    Releasing(ClaimRow, ReleaseAttempt, TableCall),
    Abandoned(ClaimRow),
    Released(ClaimNumber),
    Ended,
    Dead,
}

/// How many events of each kind may still come.
#[derive(Clone, Copy, Debug, Hash)]
struct EventBudget {
    lost: u8,
    deaths: u8,
    settlements: u8,
}

#[derive(Clone, Debug, Hash)]
struct World {
    claim: Option<StoredClaim>,
    revision: u64,
    /// Writes whose reply was lost and that are applied later, or never.
    delayed: Vec<TableCall>,
    entries: Vec<Entry>,
    runs: u8,
    answered_repeat: bool,
    budget: EventBudget,
}

#[derive(Debug)]
struct Path {
    event: String,
    before: Option<Rc<Self>>,
}

type Events = Vec<(String, World)>;

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
        ClaimStep::Done(ClaimEnd::Held(ticket)) => ticket,
        other => panic!("{other:?} is no ticket"),
    }
}

fn after_claim(step: ClaimStep, before: Option<(ClaimAttempt, TableReply)>) -> (Entry, bool) {
    let entry = match step {
        ClaimStep::Call(attempt, call) => Entry::Claiming(attempt, call),
        ClaimStep::Done(ClaimEnd::Held(_)) => {
            let (attempt, reply) = before.expect("a claim is held after a reply only");
            Entry::Held(attempt, reply)
        }
        ClaimStep::Done(ClaimEnd::Unavailable {
            abandoned: Some(row),
        }) => Entry::Abandoned(row),
        ClaimStep::Done(ClaimEnd::Answered { .. }) => return (Entry::Ended, true),
        ClaimStep::Done(_) => Entry::Ended,
    };
    (entry, false)
}

fn after_change(step: ChangeStep) -> Entry {
    match step {
        ChangeStep::Call(change, call) => Entry::Recording(change, call),
        ChangeStep::Done(
            ChangeEnd::Applied { .. } | ChangeEnd::Overtaken(_) | ChangeEnd::Unsettled { .. },
        ) => Entry::Ended,
    }
}

fn after_release(row: ClaimRow, step: ReleaseStep) -> Entry {
    match step {
        ReleaseStep::Call(attempt, call) => Entry::Releasing(row, attempt, call),
        ReleaseStep::Done(ReleaseEnd::Released) => Entry::Released(row.number),
        ReleaseStep::Done(ReleaseEnd::Unsettled) => Entry::Abandoned(row),
    }
}

impl World {
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

    /// The same world with one entry changed by the reply to its call.
    fn replied(&self, entry: usize, reply: TableReply) -> Self {
        let mut world = self.clone();
        world.entries[entry] = match self.entries[entry].clone() {
            Entry::Claiming(attempt, _) => {
                let before = Some((attempt.clone(), reply.clone()));
                let (next, answered) = after_claim(attempt.step(reply), before);
                world.answered_repeat |= answered;
                next
            }
            Entry::Recording(change, _) => after_change(change.step(reply)),
            Entry::Releasing(row, attempt, _) => after_release(row, attempt.step(reply)),
            other => panic!("{other:?} made no call"),
        };
        world
    }

    fn call_events(&self, entry: usize, call: &TableCall, events: &mut Events) {
        let mut applied = self.clone();
        let reply = applied.apply(call);
        let mut add = |event: &str, world: Self| events.push((format!("{entry} {event}"), world));
        add("is answered", applied.replied(entry, reply));
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
        add("gets no reply while the call is under way", late);
    }

    fn entry_events(&self, entry: usize, events: &mut Events) {
        let mut add = |event: &str, next: Entry, runs: u8| {
            let mut world = self.clone();
            world.entries[entry] = next;
            world.runs += runs;
            events.push((format!("{entry} {event}"), world));
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
                add("dispatches, and it runs", dispatched.clone(), 1);
                add("dispatches, and it gets lost", dispatched, 0);
                let held = ticket(attempt, reply);
                let row = held.row().clone();
                add("gives back", after_release(row, held.release()), 0);
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
                add("sweeps", after_release(row.clone(), step), 0);
            }
            Entry::Released(_) | Entry::Ended | Entry::Dead => {}
        }
    }

    fn death_events(&self, entry: usize, events: &mut Events) {
        let over = matches!(
            self.entries[entry],
            Entry::Idle | Entry::Released(_) | Entry::Ended | Entry::Dead
        );
        if over || self.budget.deaths == 0 {
            return;
        }
        let mut world = self.clone();
        world.budget.deaths -= 1;
        world.entries[entry] = Entry::Dead;
        events.push((format!("{entry} dies"), world));
    }

    /// The operators look at the upstream and settle the claim by what they see there.
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
        let mut world = self.clone();
        world.budget.settlements -= 1;
        let expected = Some(claim.revision);
        world.apply(&TableCall::Write { expected, row });
        events.push((format!("operators settle: {settlement:?}"), world));
    }

    fn events(&self) -> Events {
        let mut events = Vec::new();
        for entry in 0..self.entries.len() {
            self.entry_events(entry, &mut events);
            self.death_events(entry, &mut events);
        }
        for index in 0..self.delayed.len() {
            let mut world = self.clone();
            let call = world.delayed.remove(index);
            world.apply(&call);
            events.push(("a delayed write arrives".to_owned(), world));
        }
        self.settle_events(&mut events);
        events
    }

    /// Returns the rule that is broken, if one is.
    fn violation(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("the request ran twice");
        }
        let stands = |number: ClaimNumber| {
            let claim = self.claim.as_ref().map(|claim| &claim.row);
            claim.is_some_and(|row| row.number == number && row.state == ClaimState::Claimed)
        };
        let stuck = |entry: &Entry| matches!(entry, Entry::Released(number) if stands(*number));
        let stuck = self.entries.iter().any(stuck);
        stuck.then_some("a claim that was given back stands")
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
    worlds: usize,
    ran: bool,
    ran_after_release: bool,
    answered_repeat: bool,
}

impl SearchReport {
    fn note(&mut self, world: &World) {
        self.worlds += 1;
        self.ran |= world.runs == 1;
        self.answered_repeat |= world.answered_repeat;
        let released = |entry: &Entry| matches!(entry, Entry::Released(_));
        self.ran_after_release |= world.runs == 1 && world.entries.iter().any(released);
    }
}

fn search(start: World) -> SearchReport {
    let mut report = SearchReport::default();
    let mut seen = HashSet::from([start.fingerprint()]);
    let root = Rc::new(Path {
        event: "start".to_owned(),
        before: None,
    });
    let mut queue = VecDeque::from([(start, root)]);
    while let Some((world, path)) = queue.pop_front() {
        if let Some(rule) = world.violation() {
            panic!("{rule}: {:#?}", events_of(&path));
        }
        report.note(&world);
        for (event, next) in world.events() {
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
    let report = search(World::new(entries, budget));
    println!("{report:?}");
    assert!(report.ran);
    assert!(report.ran_after_release);
    assert!(report.answered_repeat);
}
