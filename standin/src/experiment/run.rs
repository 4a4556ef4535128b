//! The course of an experiment: its state, its events and its broker.

use std::time::Duration;

use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::Refusal;
use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::ask::RunningWork;
use borageladder_kernel::broker::BrokerError;
use borageladder_kernel::broker::BrokerSettings;
use borageladder_kernel::broker::CellBroker;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::HostName;
use borageladder_kernel::name::ModelName;
use borageladder_kernel::name::NameError;
use borageladder_kernel::name::ServiceName;
use borageladder_kernel::name::WorkspaceName;
use borageladder_kernel::quarantine::CrashRegister;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::ExperimentError;
use super::ExperimentResult;
use super::ExperimentSpec;
use super::event::EventQueue;
use super::event::ExperimentEvent;
use super::life::LifePhase;
use super::life::RequestLife;
use super::measure::RunCounts;
use super::measure::measure;
use super::worker::WorkerFleet;
use crate::trace::DeploymentKind;
use crate::trace::TIER_COUNT;
use crate::trace::Trace;
use crate::trace::TraceRequest;
use crate::trace::TraceSpec;
use crate::trace::fleet_profiles;

/// The hosts whose entries share the requests.
const HOSTS: usize = 6;

/// The workspaces of each deployment.
const WORKSPACES: usize = 5;

/// The time after which an unused grant lapses.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// The time for which a new broker collects what runs.
const TAKEOVER_TIME: Duration = Duration::from_millis(500);

/// The time from the death of a broker to the start of the next.
const BROKER_DETECTION: Duration = Duration::from_millis(1_500);

/// The shortest time between two wake-ups of the broker.
const MIN_BROKER_WAKE: Duration = Duration::from_millis(1);

/// The time between two readings of loads and cache events.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The time after the last arrival for which an experiment goes on.
const DRAIN_TIME: Duration = Duration::from_secs(310);

/// The names that messages carry.
pub(super) struct RunNames {
    pub(super) service: ServiceName,
    pub(super) hosts: Vec<HostName>,
    pub(super) workspaces: Vec<WorkspaceName>,
}

impl RunNames {
    fn new(deployment: DeploymentKind) -> Result<Self, NameError> {
        let hosts = (0..HOSTS).map(|host| HostName::try_from(format!("host-{host}")));
        let workspaces =
            (0..WORKSPACES).map(|number| WorkspaceName::try_from(format!("w{number}")));
        Ok(Self {
            service: ServiceName::try_from(deployment.service())?,
            hosts: hosts.collect::<Result<_, _>>()?,
            workspaces: workspaces.collect::<Result<_, _>>()?,
        })
    }
}

/// A broker and the number by which messages are told from those of earlier ones.
pub(super) struct BrokerSlot {
    broker: Option<CellBroker>,
    pub(super) number: u64,
    wake_at: Option<ClockTime>,
    waiting: [usize; TIER_COUNT],
}

/// An experiment under way.
pub(super) struct ExperimentRun {
    pub(super) spec: ExperimentSpec,
    pub(super) queue: EventQueue,
    pub(super) random: StdRng,
    pub(super) trace: Vec<TraceRequest>,
    pub(super) names: RunNames,
    pub(super) fleet: WorkerFleet,
    pub(super) slot: BrokerSlot,
    pub(super) lives: Vec<RequestLife>,
    pub(super) hosts_alive: [bool; HOSTS],
    pub(super) strikes: CrashRegister,
    pub(super) counts: RunCounts,
}

impl ExperimentRun {
    pub(super) fn new(spec: ExperimentSpec) -> Result<Self, ExperimentError> {
        let trace = Trace::new(&TraceSpec {
            deployment: spec.deployment,
            scale: spec.scale,
            length: spec.length,
            burst: spec.fault.burst(spec.length),
            seed: spec.seed,
        });
        let model = ModelName::try_from(spec.deployment.service())?;
        let mut run = Self {
            spec,
            queue: EventQueue::default(),
            random: StdRng::seed_from_u64(spec.seed.rotate_left(16)),
            names: RunNames::new(spec.deployment)?,
            fleet: WorkerFleet::new(fleet_profiles(trace.prefix_blocks), model)?,
            slot: BrokerSlot {
                broker: None,
                number: 0,
                wake_at: None,
                waiting: [0; TIER_COUNT],
            },
            lives: Vec::with_capacity(trace.requests.len()),
            trace: trace.requests,
            hosts_alive: [true; HOSTS],
            strikes: CrashRegister::default(),
            counts: RunCounts::default(),
        };
        run.install_broker(Duration::ZERO)?;
        run.schedule();
        Ok(run)
    }

    /// Runs to the end.
    pub(super) fn finish(mut self) -> ExperimentResult {
        let end = ClockTime::ZERO + self.spec.length + DRAIN_TIME;
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > end {
                break;
            }
            self.handle(event);
        }
        measure(self.spec, &self.lives, self.counts)
    }

    pub(super) fn latency(&self) -> Duration {
        self.spec.deployment.latency()
    }

    /// Schedules an event after one message's latency.
    pub(super) fn send(&mut self, event: ExperimentEvent) {
        let at = self.queue.now() + self.latency();
        self.queue.push(at, event);
    }

    /// Sends a message to the broker of now, which may die before it arrives.
    pub(super) fn send_broker(&mut self, event: BrokerEvent) {
        self.send_broker_after(self.latency(), event);
    }

    pub(super) fn send_broker_after(&mut self, lag: Duration, event: BrokerEvent) {
        let at = self.queue.now() + lag;
        let broker = self.slot.number;
        let event = Box::new(event);
        self.queue
            .push(at, ExperimentEvent::BrokerReached { broker, event });
    }

    fn schedule(&mut self) {
        for (position, request) in self.trace.iter().enumerate() {
            self.queue
                .push(request.at, ExperimentEvent::Arrived { position });
        }
        for fault in self.spec.fault.events(self.spec.length) {
            self.queue.push(fault.at, fault.event);
        }
        self.queue
            .push(ClockTime::ZERO, ExperimentEvent::WorkersPolled);
    }

    fn handle(&mut self, event: ExperimentEvent) {
        match event {
            ExperimentEvent::Arrived { position } => self.arrive(position),
            ExperimentEvent::DeadlinePassed { life } => self.give_up(life),
            ExperimentEvent::BrokerReached { broker, event } => self.reach_broker(broker, *event),
            ExperimentEvent::BrokerWoke => self.wake_broker(),
            ExperimentEvent::EntryReached(action) => self.reach_entry(*action),
            ExperimentEvent::WorkerReached { worker, life } => self.reach_worker(worker, life),
            ExperimentEvent::CancelReached { worker, life } => self.cancel(worker, life),
            ExperimentEvent::WorkerWoke(worker) => self.wake_worker(worker),
            ExperimentEvent::EntryHeard { life, progress } => self.hear(life, progress),
            ExperimentEvent::WorkersPolled => self.poll_workers(),
            ExperimentEvent::WorkersListed => self.list_workers(),
            ExperimentEvent::WorkerSlowed { worker, factor } => self.slow_worker(worker, factor),
            ExperimentEvent::WorkerDied(worker) => self.kill_worker(worker),
            ExperimentEvent::WorkerRevived(worker) => self.revive_worker(worker),
            ExperimentEvent::PoisonSent { attempt } => self.send_poison(attempt),
            ExperimentEvent::PoisonActed { worker, life } => self.act_poison(worker, life),
            ExperimentEvent::BrokerDied => self.kill_broker(),
            ExperimentEvent::BrokerStarted => self.start_broker(),
            ExperimentEvent::HostDied(host) => self.kill_host(host),
        }
    }

    fn install_broker(&mut self, takeover_time: Duration) -> Result<(), BrokerError> {
        let number = self.slot.number;
        let settings = BrokerSettings::default()
            .with_incarnation(number + 1)
            .with_policy(self.spec.policy)
            .with_grant_lifetime(GRANT_LIFETIME)
            .with_max_waiting(self.spec.max_waiting)
            .with_takeover_time(takeover_time)
            .with_seed(self.spec.seed.wrapping_add(number));
        let broker = CellBroker::new(settings, self.queue.now())?;
        self.slot.broker = Some(broker);
        let workers = self.fleet.listed();
        self.reach_broker(number, BrokerEvent::WorkersChanged { workers });
        Ok(())
    }

    fn reach_broker(&mut self, number: u64, event: BrokerEvent) {
        if number != self.slot.number {
            return;
        }
        match &event {
            BrokerEvent::Asked { ask, .. } => self.mark_waiting(ask.request.sequence, true),
            BrokerEvent::Withdrawn { request, .. } => self.mark_waiting(request.sequence, false),
            BrokerEvent::HostLost { host } => self.forget_host(&host.clone()),
            _ => {}
        }
        let now = self.queue.now();
        let Some(broker) = &mut self.slot.broker else {
            return;
        };
        let actions = broker.handle(now, event);
        self.carry_out(actions);
    }

    fn wake_broker(&mut self) {
        let now = self.queue.now();
        if self.slot.wake_at.is_some_and(|at| at <= now) {
            self.slot.wake_at = None;
        }
        let Some(broker) = &mut self.slot.broker else {
            return;
        };
        let actions = broker.tick(now);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<BrokerAction>) {
        for action in &actions {
            let request = match action {
                BrokerAction::Grant { grant, .. } => grant.request,
                BrokerAction::Refuse { refusal, .. } => refusal.request,
            };
            self.mark_waiting(request.sequence, false);
        }
        for action in actions {
            if let BrokerAction::Refuse { refusal, .. } = &action {
                self.check_shed(refusal);
            }
            self.send(ExperimentEvent::EntryReached(Box::new(action)));
        }
        self.schedule_broker();
    }

    fn schedule_broker(&mut self) {
        let wake = self.slot.broker.as_ref().and_then(CellBroker::next_wake);
        let Some(wake) = wake else {
            return;
        };
        let wake = wake.max(self.queue.now() + MIN_BROKER_WAKE);
        if self.slot.wake_at.is_none_or(|at| wake < at) {
            self.slot.wake_at = Some(wake);
            self.queue.push(wake, ExperimentEvent::BrokerWoke);
        }
    }

    /// Counts a refusal for lack of room while a request of a lower tier waits.
    fn check_shed(&mut self, refusal: &Refusal) {
        if refusal.reason != RefusalReason::Capacity {
            return;
        }
        let Some(life) = self.life(refusal.request.sequence) else {
            return;
        };
        let tier = usize::from(self.lives[life].request.tier.0);
        if self.slot.waiting[tier + 1..].iter().any(|count| *count > 0) {
            self.counts.higher_tier_sheds += 1;
        }
    }

    /// Returns the position of a request among the lives.
    pub(super) fn life(&self, sequence: u64) -> Option<usize> {
        let position = usize::try_from(sequence).ok()?;
        (position < self.lives.len()).then_some(position)
    }

    fn mark_waiting(&mut self, sequence: u64, waits: bool) {
        let Some(life) = self.life(sequence) else {
            return;
        };
        let life = &mut self.lives[life];
        let tier = usize::from(life.request.tier.0);
        if life.at_broker == waits {
            return;
        }
        life.at_broker = waits;
        if waits {
            self.slot.waiting[tier] += 1;
        } else {
            self.slot.waiting[tier] -= 1;
        }
    }

    fn forget_host(&mut self, host: &HostName) {
        for position in 0..self.lives.len() {
            if self.names.hosts[self.lives[position].host] == *host {
                self.mark_waiting(self.lives[position].id.sequence, false);
            }
        }
    }

    fn kill_broker(&mut self) {
        self.slot.broker = None;
        self.slot.number += 1;
        self.slot.wake_at = None;
        self.slot.waiting = [0; TIER_COUNT];
        for life in &mut self.lives {
            life.at_broker = false;
        }
        let at = self.queue.now() + BROKER_DETECTION;
        self.queue.push(at, ExperimentEvent::BrokerStarted);
    }

    /// Starts the next broker, to which all entries declare what runs and ask again.
    fn start_broker(&mut self) {
        if self.install_broker(TAKEOVER_TIME).is_err() {
            return;
        }
        for host in 0..HOSTS {
            if self.hosts_alive[host] {
                let running = self.running_work(host);
                let host = self.names.hosts[host].clone();
                self.send_broker(BrokerEvent::Declared { host, running });
            }
        }
        for life in 0..self.lives.len() {
            if self.lives[life].phase == LifePhase::Waiting {
                self.ask(life);
            }
        }
    }

    fn running_work(&self, host: usize) -> Vec<RunningWork> {
        let lives = self.lives.iter();
        let lives = lives.filter(|life| life.host == host && life.phase == LifePhase::Running);
        lives
            .filter_map(|life| {
                let grant = life.grant.as_ref()?;
                Some(RunningWork {
                    request: life.id,
                    grant: grant.grant,
                    worker: grant.worker.clone(),
                    tier: life.request.tier,
                    prompt_tokens: life.request.prompt_tokens,
                })
            })
            .collect()
    }
}
