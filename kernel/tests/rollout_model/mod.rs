//! A model of hosts, links and a table that drives the real rollout state machine, and a
//! breadth-first search through all orders of the events of a scenario.

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

/// The time before the first event, in units.
const WARM_UP_UNITS: u32 = 7;

/// Returns the duration of `count` units.
pub const fn units(count: u32) -> Duration {
    Duration::from_millis(500 * count as u64)
}

/// Times of the rollout in the same order as the default ones, but in whole units and shorter, so
/// that the rules take effect within few units.
pub const TIMES: RolloutTimes = RolloutTimes {
    freshness: units(3),
    heartbeat_timeout: units(4),
    acceptance_delay: units(4),
    pause_gap: units(2),
    fetch_timeout: units(1),
    deadline: units(11),
    retention: units(100),
};

/// An event other than the passing of time; each occurs at most as often as the scenario lists it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ModelEvent {
    /// The operator at this host reads the version to change.
    Read(usize),
    /// The operator at this host writes a change by compare-and-set and receives the outcome.
    Write(usize),
    /// The operator at this host writes a change, but the reply is lost.
    WriteReplyLost(usize),
    /// The operator at this host finds out the outcome of a write whose reply was lost.
    ResolveWrite(usize),
    /// The process of this host is suspended; messages to it are queued.
    Suspend(usize),
    /// The suspended process of this host resumes.
    Resume(usize),
    /// The process of this host is killed.
    Kill(usize),
    /// A new process of this host starts.
    Start(usize),
    /// The data centre with this number is cut off from all others and from the table.
    Cut(usize),
    /// The data centre is connected again.
    Heal(usize),
    /// The link between two hosts breaks permanently.
    CutLink(usize, usize),
    /// The table stops answering.
    TableDown,
    /// The table answers again.
    TableUp,
}

/// A transition from one state to the next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelStep {
    /// An event occurs.
    Event(ModelEvent),
    /// One unit of time passes; each host reads its queued messages in ascending order of the
    /// sender.
    Advance,
    /// One unit of time passes; each host reads its queued messages in descending order of the
    /// sender.
    AdvanceReversed,
}

/// A rule of the rollout that is broken on purpose, to show that the search finds the violation
/// that the rule prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// No rule is broken.
    None,
    /// Freshness counts from the arrival of a heartbeat instead of from the send time that it
    /// echoes.
    FreshFromArrival,
    /// Hosts that are not fresh themselves verify the versions of other hosts.
    StaleHostsVerify,
}

/// The hosts of a model and the events that can occur.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of the data centre of each host.
    pub hosts: Vec<usize>,
    /// The hosts that do not run at the start.
    pub stopped: Vec<usize>,
    /// The pairs of hosts without a link.
    pub cut_links: Vec<(usize, usize)>,
    /// The hosts that read the table in every unit of time.
    pub table_readers: Vec<usize>,
    /// The events; each entry occurs at most once, in any possible order.
    pub events: Vec<ModelEvent>,
    /// The length of the search after the warm-up, in units.
    pub horizon: u32,
    /// The times of the rollout.
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
                suspended: false,
                inbox: VecDeque::new(),
                last_heartbeats: vec![None; self.hosts.len()],
                read: None,
                unacked: None,
            }
        });
        let mut state = ModelState {
            now: ClockTime::ZERO,
            hosts: hosts.collect(),
            table: 1,
            table_up: true,
            cut_datacenters: BTreeSet::new(),
            cut_links: self.cut_links.iter().copied().collect(),
            remaining: self.events.clone(),
            accepted: 0,
            recorded: false,
        };
        // Every host reads the table once when it starts.
        for number in 0..state.hosts.len() {
            self.read_table(&mut state, number);
        }
        for _ in 0..WARM_UP_UNITS {
            assert!(
                self.advance_time(&mut state, false),
                "the invariant is violated during the warm-up"
            );
        }
        let runs = |host: &&ModelHost| host.process.is_some();
        let ready = state.hosts.iter().filter(runs).all(|host| {
            let process = host.process.as_ref();
            process.is_some_and(|process| process.may_take_work(state.now))
        });
        assert!(ready, "a host does not serve after the warm-up");
        state
    }

    fn process(&self, datacenter: usize, now: ClockTime) -> Rollout {
        let mut process = Rollout::new(datacenter_name(datacenter), self.times, now);
        let members = self.hosts.iter().filter(|other| **other == datacenter);
        process.set_sole_host(members.count() == 1);
        process
    }

    fn steps(&self, state: &ModelState) -> Vec<ModelStep> {
        let end = ClockTime::ZERO + units(WARM_UP_UNITS + self.horizon);
        let mut steps = Vec::new();
        if state.now < end {
            steps.push(ModelStep::Advance);
            if state.hosts.iter().any(ModelHost::has_backlog) {
                steps.push(ModelStep::AdvanceReversed);
            }
        }
        let events: BTreeSet<ModelEvent> = state.remaining.iter().copied().collect();
        let events = events
            .into_iter()
            .filter(|event| is_possible(state, *event));
        steps.extend(events.map(ModelStep::Event));
        steps
    }

    /// Applies a step and returns whether the invariant held throughout.
    fn apply(&self, state: &mut ModelState, step: ModelStep) -> bool {
        let event = match step {
            ModelStep::Event(event) => event,
            ModelStep::Advance => return self.advance_time(state, false),
            ModelStep::AdvanceReversed => return self.advance_time(state, true),
        };
        let index = state
            .remaining
            .iter()
            .position(|remaining| *remaining == event);
        state
            .remaining
            .remove(index.expect("the event can still occur"));
        self.apply_event(state, event);
        is_sound(state)
    }

    fn apply_event(&self, state: &mut ModelState, event: ModelEvent) {
        match event {
            ModelEvent::Read(host) => state.hosts[host].read = Some(state.table),
            ModelEvent::Write(host) => {
                if let Some(version) = write(state, host) {
                    self.acknowledge_write(state, host, version);
                }
            }
            ModelEvent::WriteReplyLost(host) => state.hosts[host].unacked = write(state, host),
            ModelEvent::ResolveWrite(host) => {
                if let Some(version) = state.hosts[host].unacked.take() {
                    self.acknowledge_write(state, host, version);
                }
            }
            ModelEvent::Suspend(host) => state.hosts[host].suspended = true,
            ModelEvent::Resume(host) => state.hosts[host].suspended = false,
            ModelEvent::Kill(host) => kill(&mut state.hosts[host]),
            ModelEvent::Start(host) => {
                let process = self.process(state.hosts[host].datacenter, state.now);
                state.hosts[host].process = Some(process);
                self.read_table(state, host);
            }
            ModelEvent::Cut(datacenter) => {
                state.cut_datacenters.insert(datacenter);
            }
            ModelEvent::Heal(datacenter) => {
                state.cut_datacenters.remove(&datacenter);
            }
            ModelEvent::CutLink(one, other) => {
                state.cut_links.insert((one, other));
            }
            ModelEvent::TableDown => state.table_up = false,
            ModelEvent::TableUp => state.table_up = true,
        }
    }

    fn acknowledge_write(&self, state: &mut ModelState, host: usize, version: u64) {
        self.receive_configuration(state, host, version);
        let now = state.now;
        let process = state.hosts[host].process.as_mut();
        let process = process.expect("only running hosts receive replies");
        let actions = process.track_change(now, now, ConfigVersion(version));
        self.perform(state, host, actions);
    }

    /// Lets one unit of time pass and returns whether the invariant held throughout.
    fn advance_time(&self, state: &mut ModelState, reversed: bool) -> bool {
        state.now = state.now + UNIT;
        // A process may take work before its next tick and before it reads its messages.
        let mut sound = is_sound(state);
        let backlogs: Vec<bool> = state.hosts.iter().map(ModelHost::has_backlog).collect();
        for from in 0..state.hosts.len() {
            self.send_heartbeats(state, from);
        }
        for (host, backlog) in backlogs.into_iter().enumerate() {
            sound &= self.run_host(state, host, backlog, reversed);
        }
        sound
    }

    /// Runs the tick, the read of the table and the queued messages of a host, and returns whether
    /// the invariant held throughout.
    ///
    /// `backlog` is whether the host had unread messages from before this unit. It then sends
    /// heartbeats after the messages of each sender, as a resumed process may.
    fn run_host(&self, state: &mut ModelState, host: usize, backlog: bool, reversed: bool) -> bool {
        let mut sound = self.tick(state, host);
        if self.table_readers.contains(&host) {
            self.read_table(state, host);
            sound &= is_sound(state);
        }
        if state.hosts[host].suspended {
            return sound;
        }
        // Messages are ordered within one link only.
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
            if backlog {
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
            let echo = state.hosts[from].last_heartbeats[to];
            let echo = echo.filter(|(received, _)| *received == incarnation);
            let report = HostReport {
                datacenter: datacenter_name(state.hosts[from].datacenter),
                applied: own.applied,
                known: own.known,
                confirmed: own.confirmed,
                fresh: own.fresh || self.mutation == Mutation::StaleHostsVerify,
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
        state.hosts[to].last_heartbeats[from] = Some((heartbeat.from_incarnation, heartbeat.sent));
        let mut report = heartbeat.report;
        if self.mutation == Mutation::FreshFromArrival {
            report.echo = Some(now);
        }
        if let Some(process) = running(state, to) {
            let actions = process.heartbeat_received(now, &host_name(from), report);
            self.perform(state, to, actions);
        }
    }

    fn perform(&self, state: &mut ModelState, host: usize, actions: Vec<RolloutAction>) {
        for action in actions {
            match action {
                // Heartbeats are sent in every unit anyway.
                RolloutAction::Announce => {}
                RolloutAction::FetchFrom(name) => {
                    let from = (0..state.hosts.len()).find(|from| host_name(*from) == name);
                    let from = from.expect("a known host");
                    if reaches(state, from, host)
                        && let Some(process) = running(state, from)
                    {
                        let version = process.applied().0;
                        self.receive_configuration(state, host, version);
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

    fn receive_configuration(&self, state: &mut ModelState, host: usize, version: u64) {
        let now = state.now;
        let required = self.hosts.iter().map(|number| datacenter_name(*number));
        let required = required.collect();
        if let Some(process) = running(state, host) {
            let version = ConfigVersion(version);
            let (_, actions) =
                process.configuration_received(now, version, required, BTreeSet::new());
            self.perform(state, host, actions);
        }
    }

    fn read_table(&self, state: &mut ModelState, host: usize) {
        let reached = state.table_up
            && !state
                .cut_datacenters
                .contains(&state.hosts[host].datacenter);
        if !reached || running(state, host).is_none() {
            return;
        }
        let (now, version) = (state.now, state.table);
        self.receive_configuration(state, host, version);
        if let Some(process) = running(state, host) {
            let actions = process.table_read(now, now, ConfigVersion(version));
            self.perform(state, host, actions);
        }
    }
}
