//! A small model of hosts, links and a table round the real rollout state machine, and a
//! breadth-first search through everything that can happen to it.

pub mod scenarios;
mod search;
mod state;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::configuration::ConfigVersion;
use borageladder_kernel::rollout::ChangeProgress;
use borageladder_kernel::rollout::HostReport;
use borageladder_kernel::rollout::Rollout;
use borageladder_kernel::rollout::RolloutAction;
use borageladder_kernel::rollout::RolloutTimes;
use state::Heartbeat;
use state::ModelHost;
use state::ModelState;
use state::datacenter_name;
use state::host_name;
use state::is_possible;
use state::is_sound;
use state::kill;
use state::reaches;
use state::running;
use state::write;

/// One unit of time, in which every host sends one heartbeat to every other.
pub const UNIT: Duration = Duration::from_millis(500);

/// The units that pass before the first event.
const WARM_UP_UNITS: u32 = 7;

/// Returns a whole number of units.
pub const fn units(count: u32) -> Duration {
    Duration::from_millis(500 * count as u64)
}

/// The bounds of the product in units, rounded so that few units are enough for every rule.
pub const TIMES: RolloutTimes = RolloutTimes {
    freshness: units(3),
    silence: units(4),
    settle: units(4),
    freeze_gap: units(2),
    fetch: units(1),
    deadline: units(11),
    memory: units(100),
};

/// Something that happens besides the passing of time, each at most as often as listed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultEvent {
    /// The operator at a host reads the version to change.
    Read(usize),
    /// The operator at a host writes a change by compare-and-set, and hears the outcome.
    Write(usize),
    /// The same, but the answer is lost.
    WriteUnheard(usize),
    /// The operator at a host finds out how a write ended whose answer was lost.
    Settle(usize),
    /// A host is frozen; what is sent to it waits.
    Freeze(usize),
    /// A frozen host goes on.
    Thaw(usize),
    /// A host dies.
    Kill(usize),
    /// A new process of the host starts.
    Start(usize),
    /// The data centre with this number loses all others and the table.
    Cut(usize),
    /// The data centre is reached again.
    Heal(usize),
    /// Two hosts lose each other.
    CutLink(usize, usize),
    /// The table stops answering.
    TableDown,
    /// The table answers again.
    TableUp,
}

/// One step from a state to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelStep {
    /// Something happens.
    Event(FaultEvent),
    /// A unit of time passes; each host reads what waits from the first host on.
    Pass,
    /// A unit of time passes; each host reads what waits from the last host on.
    PassReversed,
}

/// A rule that is broken on purpose, to show that the model finds what the rule prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// No rule is broken.
    None,
    /// A heartbeat counts as fresh from its arrival on, not from the question that it answers.
    ArrivalCounts,
    /// Hosts that may be outdated vouch for others.
    AnyoneVouches,
}

/// What the hosts are and what can happen to them.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of the data centre of each host.
    pub hosts: Vec<usize>,
    /// The hosts that do not run at first.
    pub stopped: Vec<usize>,
    /// The pairs of hosts that never reach each other.
    pub broken: Vec<(usize, usize)>,
    /// The hosts that look into the table by themselves.
    pub readers: Vec<usize>,
    /// What can happen, each entry once and in any order that makes sense.
    pub events: Vec<FaultEvent>,
    /// The units of time after the warm-up.
    pub horizon: u32,
    /// The bounds.
    pub times: RolloutTimes,
    /// The rule that is broken on purpose.
    pub mutation: Mutation,
}

impl Scenario {
    fn warm_up(&self) -> ModelState {
        let hosts = self.hosts.iter().enumerate().map(|(number, datacenter)| {
            let runs = !self.stopped.contains(&number);
            ModelHost {
                datacenter: *datacenter,
                incarnation: 1,
                process: runs.then(|| self.process(*datacenter, ClockTime::ZERO)),
                frozen: false,
                inbox: VecDeque::new(),
                heard: vec![None; self.hosts.len()],
                read: None,
                unheard: None,
            }
        });
        let mut state = ModelState {
            now: ClockTime::ZERO,
            hosts: hosts.collect(),
            table: 1,
            table_up: true,
            cut: BTreeSet::new(),
            broken: self.broken.iter().copied().collect(),
            left: self.events.clone(),
            accepted: 0,
            recorded: false,
        };
        // Every host reads the table once when it starts.
        for number in 0..state.hosts.len() {
            self.read_table(&mut state, number);
        }
        for _ in 0..WARM_UP_UNITS {
            assert!(self.pass_time(&mut state, false), "the warm-up is sound");
        }
        let runs = |host: &&ModelHost| host.process.is_some();
        let ready = state.hosts.iter().filter(runs).all(|host| {
            let process = host.process.as_ref();
            process.is_some_and(|process| process.may_take_work(state.now))
        });
        assert!(ready, "every host serves after the warm-up");
        state
    }

    fn process(&self, datacenter: usize, now: ClockTime) -> Rollout {
        let mut process = Rollout::new(datacenter_name(datacenter), self.times, now);
        let members = self.hosts.iter().filter(|other| **other == datacenter);
        process.set_alone(members.count() == 1);
        process
    }

    fn steps(&self, state: &ModelState) -> Vec<ModelStep> {
        let end = ClockTime::ZERO + units(WARM_UP_UNITS + self.horizon);
        let mut steps = Vec::new();
        if state.now < end {
            steps.push(ModelStep::Pass);
            if state.hosts.iter().any(ModelHost::has_backlog) {
                steps.push(ModelStep::PassReversed);
            }
        }
        let events: BTreeSet<FaultEvent> = state.left.iter().copied().collect();
        let events = events
            .into_iter()
            .filter(|event| is_possible(state, *event));
        steps.extend(events.map(ModelStep::Event));
        steps
    }

    /// Carries out a step and returns whether the invariant held all the time.
    fn apply(&self, state: &mut ModelState, step: ModelStep) -> bool {
        let event = match step {
            ModelStep::Event(event) => event,
            ModelStep::Pass => return self.pass_time(state, false),
            ModelStep::PassReversed => return self.pass_time(state, true),
        };
        let place = state.left.iter().position(|left| *left == event);
        state.left.remove(place.expect("the event is left"));
        self.happen(state, event);
        is_sound(state)
    }

    fn happen(&self, state: &mut ModelState, event: FaultEvent) {
        match event {
            FaultEvent::Read(host) => state.hosts[host].read = Some(state.table),
            FaultEvent::Write(host) => {
                if let Some(version) = write(state, host) {
                    self.hear_of_write(state, host, version);
                }
            }
            FaultEvent::WriteUnheard(host) => state.hosts[host].unheard = write(state, host),
            FaultEvent::Settle(host) => {
                if let Some(version) = state.hosts[host].unheard.take() {
                    self.hear_of_write(state, host, version);
                }
            }
            FaultEvent::Freeze(host) => state.hosts[host].frozen = true,
            FaultEvent::Thaw(host) => state.hosts[host].frozen = false,
            FaultEvent::Kill(host) => kill(&mut state.hosts[host]),
            FaultEvent::Start(host) => {
                let process = self.process(state.hosts[host].datacenter, state.now);
                state.hosts[host].process = Some(process);
                self.read_table(state, host);
            }
            FaultEvent::Cut(datacenter) => {
                state.cut.insert(datacenter);
            }
            FaultEvent::Heal(datacenter) => {
                state.cut.remove(&datacenter);
            }
            FaultEvent::CutLink(one, other) => {
                state.broken.insert((one, other));
            }
            FaultEvent::TableDown => state.table_up = false,
            FaultEvent::TableUp => state.table_up = true,
        }
    }

    fn hear_of_write(&self, state: &mut ModelState, host: usize, version: u64) {
        self.obtain(state, host, version);
        let now = state.now;
        let process = state.hosts[host].process.as_mut();
        let process = process.expect("only hosts that run hear answers");
        let actions = process.watch(now, now, ConfigVersion(version));
        self.perform(state, host, actions);
    }

    fn pass_time(&self, state: &mut ModelState, reversed: bool) -> bool {
        state.now = state.now + UNIT;
        // Whoever was frozen may take work before it looks at the clock or at its messages.
        let mut sound = is_sound(state);
        let late: Vec<bool> = state.hosts.iter().map(ModelHost::has_backlog).collect();
        for from in 0..state.hosts.len() {
            self.send_heartbeats(state, from);
        }
        for (host, late) in late.into_iter().enumerate() {
            sound &= self.run_host(state, host, late, reversed);
        }
        sound
    }

    fn run_host(&self, state: &mut ModelState, host: usize, late: bool, reversed: bool) -> bool {
        let mut sound = self.tick(state, host);
        if self.readers.contains(&host) {
            self.read_table(state, host);
            sound &= is_sound(state);
        }
        if state.hosts[host].frozen {
            return sound;
        }
        // Only the order within one link is certain.
        let mut waiting: Vec<Heartbeat> = state.hosts[host].inbox.drain(..).collect();
        waiting.sort_by_key(|heartbeat| heartbeat.from);
        let senders: BTreeSet<usize> = waiting.iter().map(|heartbeat| heartbeat.from).collect();
        let mut senders: Vec<usize> = senders.into_iter().collect();
        if reversed {
            senders.reverse();
        }
        for sender in senders {
            let heartbeats = waiting.iter().filter(|heartbeat| heartbeat.from == sender);
            for heartbeat in heartbeats.cloned() {
                self.deliver(state, host, heartbeat);
                sound &= is_sound(state);
            }
            if late {
                self.send_heartbeats(state, host);
            }
        }
        sound & self.tick(state, host)
    }

    fn tick(&self, state: &mut ModelState, host: usize) -> bool {
        let now = state.now;
        if let Some(process) = running(state, host) {
            let actions = process.tick(now);
            self.perform(state, host, actions);
        }
        is_sound(state)
    }

    fn send_heartbeats(&self, state: &mut ModelState, from: usize) {
        let now = state.now;
        let Some(process) = running(state, from) else {
            return;
        };
        let own = process.report(now);
        for to in 0..state.hosts.len() {
            if to == from || !reaches(state, from, to) || state.hosts[to].process.is_none() {
                continue;
            }
            let incarnation = state.hosts[to].incarnation;
            let echo = state.hosts[from].heard[to];
            let echo = echo.filter(|(heard, _)| *heard == incarnation);
            let report = HostReport {
                datacenter: datacenter_name(state.hosts[from].datacenter),
                applied: own.applied,
                known: own.known,
                confirmed: own.confirmed,
                fresh: own.fresh || self.mutation == Mutation::AnyoneVouches,
                echo: echo.map(|(_, sent)| sent),
                stopping: false,
            };
            let from_incarnation = state.hosts[from].incarnation;
            state.hosts[to].inbox.push_back(Heartbeat {
                from,
                from_incarnation,
                to_incarnation: incarnation,
                sent: now,
                report,
            });
        }
    }

    fn deliver(&self, state: &mut ModelState, to: usize, heartbeat: Heartbeat) {
        let now = state.now;
        let from = heartbeat.from;
        if heartbeat.to_incarnation != state.hosts[to].incarnation {
            return;
        }
        state.hosts[to].heard[from] = Some((heartbeat.from_incarnation, heartbeat.sent));
        let mut report = heartbeat.report;
        if self.mutation == Mutation::ArrivalCounts {
            report.echo = Some(now);
        }
        if let Some(process) = running(state, to) {
            let actions = process.heard(now, &host_name(from), report);
            self.perform(state, to, actions);
        }
    }

    fn perform(&self, state: &mut ModelState, host: usize, actions: Vec<RolloutAction>) {
        for action in actions {
            match action {
                // Heartbeats go out in every unit anyway.
                RolloutAction::Announce => {}
                RolloutAction::FetchFrom(name) => {
                    let from = (0..state.hosts.len()).find(|from| host_name(*from) == name);
                    let from = from.expect("a known host");
                    if reaches(state, from, host)
                        && let Some(process) = running(state, from)
                    {
                        let version = process.applied().0;
                        self.obtain(state, host, version);
                    }
                }
                RolloutAction::FetchFromTable => self.read_table(state, host),
                RolloutAction::Report { version, progress } => match progress {
                    ChangeProgress::Accepted => state.accepted = state.accepted.max(version.0),
                    ChangeProgress::Recorded { .. } => state.recorded = true,
                },
            }
        }
    }

    fn obtain(&self, state: &mut ModelState, host: usize, version: u64) {
        let now = state.now;
        let required = self.hosts.iter().map(|number| datacenter_name(*number));
        let required = required.collect();
        if let Some(process) = running(state, host) {
            let version = ConfigVersion(version);
            let (_, actions) = process.obtained(now, version, required, BTreeSet::new());
            self.perform(state, host, actions);
        }
    }

    fn read_table(&self, state: &mut ModelState, host: usize) {
        let reached = state.table_up && !state.cut.contains(&state.hosts[host].datacenter);
        if !reached || running(state, host).is_none() {
            return;
        }
        let (now, version) = (state.now, state.table);
        self.obtain(state, host, version);
        if let Some(process) = running(state, host) {
            let actions = process.table_read(now, now, ConfigVersion(version));
            self.perform(state, host, actions);
        }
    }
}
