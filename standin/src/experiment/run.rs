//! The simulation loop of an experiment: state, event handling and the broker.

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
use super::measure::RunCounts;
use super::measure::measure;
use super::record::RequestPhase;
use super::record::RequestRecord;
use super::worker::WorkerFleet;
use crate::trace::DeploymentKind;
use crate::trace::TIER_COUNT;
use crate::trace::Trace;
use crate::trace::TraceRequest;
use crate::trace::TraceSpec;
use crate::trace::fleet_profiles;

/// Number of hosts; requests are balanced over their entries.
const HOSTS: usize = 6;

/// Number of workspaces of each deployment.
const WORKSPACES: usize = 5;

/// Time after which an unused grant expires.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which a new broker collects declarations of running work.
const TAKEOVER_TIME: Duration = Duration::from_millis(500);

/// Time from the failure of a broker to the start of its successor.
const BROKER_DETECTION_TIME: Duration = Duration::from_millis(1_500);

/// Minimum delay before the next scheduled wake-up of the broker.
const MIN_BROKER_WAKE: Duration = Duration::from_millis(1);

/// Interval at which loads and cache events are polled.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an experiment continues after the trace; exceeds the longest budget of 5 min.
const DRAIN_TIME: Duration = Duration::from_secs(310);

/// Names of the service, hosts and workspaces used in messages.
pub(super) struct RunNames {
    pub(super) service: ServiceName,
    pub(super) hosts: Vec<HostName>,
    pub(super) workspaces: Vec<WorkspaceName>,
}

impl RunNames {
    fn new(deployment: DeploymentKind) -> Result<Self, NameError> {
        let hosts = (0..HOSTS).map(|host| HostName::try_from(format!("host-{host}")));
        let workspaces = (0..WORKSPACES).map(|index| WorkspaceName::try_from(format!("w{index}")));
        Ok(Self {
            service: ServiceName::try_from(deployment.service())?,
            hosts: hosts.collect::<Result<_, _>>()?,
            workspaces: workspaces.collect::<Result<_, _>>()?,
        })
    }
}

/// The current broker, if any, and its generation.
///
/// Messages to a broker of an earlier generation are dropped. `waiting` counts the pending asks per
/// tier.
pub(super) struct BrokerState {
    broker: Option<CellBroker>,
    pub(super) generation: u64,
    wake_at: Option<ClockTime>,
    waiting: [usize; TIER_COUNT],
}

/// State of a running experiment.
pub(super) struct ExperimentRun {
    pub(super) spec: ExperimentSpec,
    pub(super) queue: EventQueue,
    pub(super) random: StdRng,
    pub(super) trace: Vec<TraceRequest>,
    pub(super) names: RunNames,
    pub(super) fleet: WorkerFleet,
    pub(super) broker_state: BrokerState,
    pub(super) records: Vec<RequestRecord>,
    pub(super) hosts_alive: [bool; HOSTS],
    pub(super) crashes: CrashRegister,
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
            broker_state: BrokerState {
                broker: None,
                generation: 0,
                wake_at: None,
                waiting: [0; TIER_COUNT],
            },
            records: Vec::with_capacity(trace.requests.len()),
            trace: trace.requests,
            hosts_alive: [true; HOSTS],
            crashes: CrashRegister::default(),
            counts: RunCounts::default(),
        };
        run.install_broker(Duration::ZERO)?;
        run.schedule();
        Ok(run)
    }

    /// Processes all events until the end of the drain time and returns the measures.
    pub(super) fn run_to_end(mut self) -> ExperimentResult {
        let end = ClockTime::ZERO + self.spec.length + DRAIN_TIME;
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > end {
                break;
            }
            self.handle(event);
        }
        measure(self.spec, &self.records, self.counts)
    }

    pub(super) fn latency(&self) -> Duration {
        self.spec.deployment.latency()
    }

    /// Schedules an event after the latency of one message.
    pub(super) fn send(&mut self, event: ExperimentEvent) {
        let at = self.queue.now() + self.latency();
        self.queue.push(at, event);
    }

    /// Sends a message to the current broker; it is dropped if the broker fails before delivery.
    pub(super) fn send_broker(&mut self, event: BrokerEvent) {
        self.send_broker_after(self.latency(), event);
    }

    pub(super) fn send_broker_after(&mut self, lag: Duration, event: BrokerEvent) {
        let at = self.queue.now() + lag;
        let generation = self.broker_state.generation;
        let event = Box::new(event);
        self.queue
            .push(at, ExperimentEvent::BrokerReached { generation, event });
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
            ExperimentEvent::Arrived { position } => self.handle_arrival(position),
            ExperimentEvent::DeadlinePassed { record } => self.expire_request(record),
            ExperimentEvent::BrokerReached { generation, event } => {
                self.deliver_to_broker(generation, *event);
            }
            ExperimentEvent::BrokerWoke => self.wake_broker(),
            ExperimentEvent::EntryReached(action) => self.deliver_to_entry(*action),
            ExperimentEvent::WorkerReached { worker, record } => {
                self.deliver_to_worker(worker, record);
            }
            ExperimentEvent::CancelReached { worker, record } => self.cancel(worker, record),
            ExperimentEvent::WorkerWoke(worker) => self.wake_worker(worker),
            ExperimentEvent::ProgressReported { record, progress } => {
                self.handle_progress(record, progress);
            }
            ExperimentEvent::WorkersPolled => self.poll_workers(),
            ExperimentEvent::WorkersListed => self.list_workers(),
            ExperimentEvent::WorkerSlowed { worker, factor } => self.slow_worker(worker, factor),
            ExperimentEvent::WorkerDied(worker) => self.kill_worker(worker),
            ExperimentEvent::WorkerRestarted(worker) => self.restart_worker(worker),
            ExperimentEvent::CrashingRequestSent { attempt } => self.send_crashing_request(attempt),
            ExperimentEvent::CrashTriggered { worker, record } => {
                self.trigger_crash(worker, record);
            }
            ExperimentEvent::BrokerDied => self.kill_broker(),
            ExperimentEvent::BrokerStarted => self.start_broker(),
            ExperimentEvent::HostDied(host) => self.kill_host(host),
        }
    }

    fn install_broker(&mut self, takeover_time: Duration) -> Result<(), BrokerError> {
        let generation = self.broker_state.generation;
        let settings = BrokerSettings::default()
            .with_incarnation(generation + 1)
            .with_policy(self.spec.policy)
            .with_grant_lifetime(GRANT_LIFETIME)
            .with_max_waiting(self.spec.max_waiting)
            .with_takeover_time(takeover_time)
            .with_seed(self.spec.seed.wrapping_add(generation));
        let broker = CellBroker::new(settings, self.queue.now())?;
        self.broker_state.broker = Some(broker);
        let workers = self.fleet.live_workers();
        self.deliver_to_broker(generation, BrokerEvent::WorkersChanged { workers });
        Ok(())
    }

    fn deliver_to_broker(&mut self, generation: u64, event: BrokerEvent) {
        if generation != self.broker_state.generation {
            return;
        }
        match &event {
            BrokerEvent::Asked { ask, .. } => self.set_waiting(ask.request.sequence, true),
            BrokerEvent::Withdrawn { request, .. } => self.set_waiting(request.sequence, false),
            BrokerEvent::HostLost { host } => self.clear_waiting_of_host(&host.clone()),
            _ => {}
        }
        let now = self.queue.now();
        let Some(broker) = &mut self.broker_state.broker else {
            return;
        };
        let actions = broker.handle(now, event);
        self.execute_actions(actions);
    }

    fn wake_broker(&mut self) {
        let now = self.queue.now();
        if self.broker_state.wake_at.is_some_and(|at| at <= now) {
            self.broker_state.wake_at = None;
        }
        let Some(broker) = &mut self.broker_state.broker else {
            return;
        };
        let actions = broker.tick(now);
        self.execute_actions(actions);
    }

    fn execute_actions(&mut self, actions: Vec<BrokerAction>) {
        for action in &actions {
            let request = match action {
                BrokerAction::Grant { grant, .. } => grant.request,
                BrokerAction::Refuse { refusal, .. } => refusal.request,
            };
            self.set_waiting(request.sequence, false);
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
        let wake = self
            .broker_state
            .broker
            .as_ref()
            .and_then(CellBroker::next_wake);
        let Some(wake) = wake else {
            return;
        };
        let wake = wake.max(self.queue.now() + MIN_BROKER_WAKE);
        if self.broker_state.wake_at.is_none_or(|at| wake < at) {
            self.broker_state.wake_at = Some(wake);
            self.queue.push(wake, ExperimentEvent::BrokerWoke);
        }
    }

    /// Counts a refusal for lack of capacity if a request of a lower tier waits.
    fn check_shed(&mut self, refusal: &Refusal) {
        if refusal.reason != RefusalReason::Capacity {
            return;
        }
        let Some(record) = self.record(refusal.request.sequence) else {
            return;
        };
        let tier = usize::from(self.records[record].request.tier.0);
        if self.broker_state.waiting[tier + 1..]
            .iter()
            .any(|count| *count > 0)
        {
            self.counts.higher_tier_sheds += 1;
        }
    }

    /// Returns the index of a request's record, or `None` if no request has this sequence number.
    pub(super) fn record(&self, sequence: u64) -> Option<usize> {
        let position = usize::try_from(sequence).ok()?;
        (position < self.records.len()).then_some(position)
    }

    fn set_waiting(&mut self, sequence: u64, waits: bool) {
        let Some(record) = self.record(sequence) else {
            return;
        };
        let record = &mut self.records[record];
        let tier = usize::from(record.request.tier.0);
        if record.waiting_at_broker == waits {
            return;
        }
        record.waiting_at_broker = waits;
        if waits {
            self.broker_state.waiting[tier] += 1;
        } else {
            self.broker_state.waiting[tier] -= 1;
        }
    }

    fn clear_waiting_of_host(&mut self, host: &HostName) {
        for position in 0..self.records.len() {
            if self.names.hosts[self.records[position].host] == *host {
                self.set_waiting(self.records[position].id.sequence, false);
            }
        }
    }

    fn kill_broker(&mut self) {
        self.broker_state.broker = None;
        self.broker_state.generation += 1;
        self.broker_state.wake_at = None;
        self.broker_state.waiting = [0; TIER_COUNT];
        for record in &mut self.records {
            record.waiting_at_broker = false;
        }
        let at = self.queue.now() + BROKER_DETECTION_TIME;
        self.queue.push(at, ExperimentEvent::BrokerStarted);
    }

    /// Starts the successor of a failed broker.
    ///
    /// All live entries declare their running work to it and resend their pending asks.
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
        for record in 0..self.records.len() {
            if self.records[record].phase == RequestPhase::Waiting {
                self.send_ask(record);
            }
        }
    }

    fn running_work(&self, host: usize) -> Vec<RunningWork> {
        let records = self.records.iter();
        let records =
            records.filter(|record| record.host == host && record.phase == RequestPhase::Running);
        records
            .filter_map(|record| {
                let grant = record.grant.as_ref()?;
                Some(RunningWork {
                    request: record.id,
                    grant: grant.grant,
                    worker: grant.worker.clone(),
                    tier: record.request.tier,
                    prompt_tokens: record.request.prompt_tokens,
                })
            })
            .collect()
    }
}
