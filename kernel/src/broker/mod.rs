//! The broker of one cell: queues the waiting requests and grants slots on workers.
//!
//! A broker keeps soft state only, which entries and workers can rebuild. Their messages are passed
//! to [`CellBroker::handle`] and elapsed time to [`CellBroker::tick`]; both return the messages to
//! send. The broker itself does no I/O and reads no clock.
//!
//! A grant is the permission to dispatch one request once. Its slot counts as used until the entry
//! reports the end of the request or no longer declares it as running. If the entry's host is lost,
//! the slot is released some time after the grant has expired. One broker never grants a slot
//! twice. Two brokers that are active in a cell at the same time can waste capacity, but can't run
//! a request twice, because only the entry that holds a request dispatches it.

mod asks;
mod blame;
mod candidates;
mod fair_queue;
mod fairness;
mod granting;
mod grants;
mod health;
mod hedges;
mod lanes;
mod late;
mod pushback;
mod rates;
mod records;
mod reports;
mod settings;
mod shedding;
mod suspects;
mod timers;
mod views;
mod waiting;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use self::candidates::CandidateList;
pub use self::fairness::WorkspaceCounts;
pub use self::fairness::WorkspaceUsage;
use self::granting::PrefillKey;
use self::grants::GrantLedger;
pub use self::health::WorkerSuspension;
use self::lanes::LaneKey;
pub use self::late::LateCounts;
use self::records::WorkerHealth;
use self::records::WorkerRecord;
use self::reports::OrphanedWork;
pub use self::settings::BrokerError;
pub use self::settings::BrokerSettings;
pub use self::settings::SuspectPlacement;
use self::timers::TimerKey;
pub use self::views::BrokerSummary;
pub use self::views::WaitingView;
pub use self::views::WorkerView;
use self::waiting::QueueKind;
use self::waiting::WaitingRecord;
use self::waiting::WaitingTable;
use self::workers::WorkerTable;
use crate::ask::Ask;
use crate::ask::BrokerAction;
use crate::ask::BrokerEvent;
use crate::clock::ClockTime;
use crate::estimate::AnswerEstimator;
use crate::location::NetworkLocation;
use crate::name::HostName;
use crate::name::WorkspaceName;
use crate::policy;
use crate::policy::WorkerPolicy;
use crate::queue::QueueKey;
use crate::queue::TierQueue;

/// The assumed length of an answer while its tier has too few samples for an estimate, in tokens.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// The assumed time of an answer of a plain service while its tier has too few samples for an
/// estimate.
const DEFAULT_ANSWER_MILLIS: u32 = 100;

/// The broker of one cell.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::ask::Ask;
/// use borageladder_kernel::ask::BrokerAction;
/// use borageladder_kernel::ask::BrokerEvent;
/// use borageladder_kernel::ask::CellWorker;
/// use borageladder_kernel::broker::BrokerSettings;
/// use borageladder_kernel::broker::CellBroker;
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::name::RequestId;
/// use borageladder_kernel::name::TierRank;
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let now = ClockTime::ZERO;
/// let settings = BrokerSettings::default().with_takeover_time(Duration::ZERO);
/// let mut broker = CellBroker::new(settings, now)?;
/// let workers = vec![CellWorker {
///     worker: "engine-1".parse()?,
///     models: vec!["drafter-8b".parse()?],
///     version: None,
///     max_running: 4,
///     location: None,
/// }];
/// broker.handle(now, BrokerEvent::WorkersChanged { workers });
/// let ask = Ask {
///     request: RequestId { incarnation: 7, sequence: 1 },
///     service: "drafter".parse()?,
///     model: Some("drafter-8b".parse()?),
///     version: None,
///     workspace: "union".parse()?,
///     tier: TierRank(0),
///     budget: Duration::from_secs(30),
///     first_token_target: None,
///     token_gap_target: None,
///     prompt_tokens: 200,
///     max_answer_tokens: 100,
///     hinted_tokens: None,
///     prefix: Vec::new(),
///     suspect: false,
///     hedged_worker: None,
/// };
/// let host = "sapporo-1".parse()?;
/// let actions = broker.handle(now, BrokerEvent::Asked { host, ask });
/// assert!(matches!(actions[..], [BrokerAction::Grant { .. }]));
/// # Ok(())
/// # }
/// ```
pub struct CellBroker {
    settings: BrokerSettings,
    policy: &'static dyn WorkerPolicy,
    workers: WorkerTable,
    waiting: WaitingTable,
    grants: GrantLedger,
    prefill_waiters: BTreeMap<PrefillKey, TierQueue>,
    length_estimator: AnswerEstimator,
    time_estimator: AnswerEstimator,
    timers: BTreeSet<TimerKey>,
    takeover_until: ClockTime,
    taken_over: bool,
    next_sweep: ClockTime,
    /// The key of the request that the sweep checked last; `None` before the first.
    last_swept: Option<QueueKey>,
    arrivals: u64,
    grant_count: u64,
    orphans: Vec<OrphanedWork>,
    /// The number of slots that suspects hold.
    running_suspects: usize,
    /// The time from which the next suspect may be granted a slot, if they run one by one.
    next_suspect_at: ClockTime,
    /// The late requests started and refused that [`Self::take_late_counts`] has not returned yet.
    late_counts: LateCounts,
    /// The counts that [`Self::take_workspace_usage`] has not returned yet.
    workspace_counts: BTreeMap<WorkspaceName, WorkspaceCounts>,
    /// The suspensions that [`Self::take_suspensions`] has not returned yet.
    suspensions: Vec<WorkerSuspension>,
    /// The buffers of the last candidate list, kept to save allocations.
    scratch: CandidateList,
    host_locations: BTreeMap<HostName, NetworkLocation>,
}

impl fmt::Debug for CellBroker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CellBroker")
            .field("policy", &self.policy.name())
            .field("waiting", &self.waiting.len())
            .field("granted", &self.grant_count)
            .finish_non_exhaustive()
    }
}

impl CellBroker {
    /// Creates a broker that takes over a cell at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if no policy with the name in the settings is registered.
    pub fn new(settings: BrokerSettings, now: ClockTime) -> Result<Self, BrokerError> {
        let policy = policy::find(settings.policy).ok_or_else(|| BrokerError::UnknownPolicy {
            name: settings.policy.to_owned(),
        })?;
        Ok(Self {
            settings,
            policy,
            workers: WorkerTable::new(policy.limits()),
            waiting: WaitingTable::default(),
            grants: GrantLedger::default(),
            prefill_waiters: BTreeMap::new(),
            length_estimator: AnswerEstimator::new(DEFAULT_ANSWER_TOKENS),
            time_estimator: AnswerEstimator::new(DEFAULT_ANSWER_MILLIS),
            timers: BTreeSet::new(),
            takeover_until: now + settings.takeover_time,
            taken_over: false,
            next_sweep: now,
            last_swept: None,
            arrivals: 0,
            grant_count: 0,
            orphans: Vec::new(),
            running_suspects: 0,
            next_suspect_at: now,
            late_counts: LateCounts::default(),
            workspace_counts: BTreeMap::new(),
            suspensions: Vec::new(),
            scratch: CandidateList::default(),
            host_locations: BTreeMap::new(),
        })
    }

    /// Handles an event and returns the messages to send.
    pub fn handle(&mut self, now: ClockTime, event: BrokerEvent) -> Vec<BrokerAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        match event {
            BrokerEvent::Asked { host, ask } => self.on_asked(now, host, ask, &mut actions),
            BrokerEvent::Withdrawn { host, request } => self.on_withdrawn(now, &host, request),
            BrokerEvent::Reported { host, report } => self.on_reported(now, &host, &report),
            BrokerEvent::Declared { host, running } => self.on_declared(now, &host, &running),
            BrokerEvent::WorkspacesDeclared { host, running } => {
                self.on_workspaces_declared(&host, &running);
            }
            BrokerEvent::RatesDeclared { rates } => self.on_rates_declared(now, &rates),
            BrokerEvent::HostLost { host } => self.on_host_lost(now, &host),
            BrokerEvent::WorkersChanged { workers } => {
                self.on_workers_changed(now, &workers, &mut actions);
            }
            BrokerEvent::LoadReported { worker, load } => self.on_load_reported(now, &worker, load),
            BrokerEvent::CacheReported { worker, batch } => self.on_cache_reported(&worker, &batch),
        }
        self.grant_slots(now, &mut actions);
        actions
    }

    /// Runs the timers that are due at `now` and returns the messages to send.
    pub fn tick(&mut self, now: ClockTime) -> Vec<BrokerAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        self.grant_slots(now, &mut actions);
        actions
    }

    /// Iterates over the waiting requests in queue order.
    pub fn waiting(&self) -> impl Iterator<Item = WaitingView<'_>> {
        self.waiting.iter().map(|record| self.waiting_view(record))
    }

    /// Returns the number of free slots at `now` and of waiting requests in each tier.
    #[must_use]
    pub fn summary(&self, now: ClockTime) -> BrokerSummary {
        BrokerSummary {
            free_slots: self.workers.free_slots(now),
            waiting: self.waiting.counts(),
        }
    }

    /// Iterates over the workers of the cell, including removed workers that still run requests.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView<'_>> {
        let records = self.workers.records.iter();
        records
            .filter(|record| record.serving || record.used > 0)
            .map(worker_view)
    }

    /// Sets the location of a host, from which the distance to workers is computed.
    pub fn set_host_location(&mut self, host: &HostName, location: NetworkLocation) {
        if self.host_locations.get(host) != Some(&location) {
            self.host_locations.insert(host.clone(), location);
        }
    }

    /// Returns the predicted time until the answer would be complete, based on the low estimate of
    /// its length and the highest speeds of the lane.
    ///
    /// Returns `None` if no worker that serves the request had slots at the last measurement.
    #[must_use]
    pub fn predicted_finish(&self, now: ClockTime, ask: &Ask) -> Option<Duration> {
        let lane = self.workers.find_lane(&LaneKey::of(ask))?;
        if self.workers.lanes[lane].slots == 0 {
            return None;
        }
        let deadline = now + ask.budget;
        let key = self.queue_key(lane, ask, deadline, self.arrivals);
        Some(self.predicted_wait(now, lane, &key) + self.service_estimate(lane, ask).quickest)
    }

    fn waiting_view<'a>(&'a self, record: &'a WaitingRecord) -> WaitingView<'a> {
        let awaited_worker = match record.queue {
            QueueKind::Slot { worker } | QueueKind::Prefill { worker, .. } => {
                Some(&self.workers.records[worker].worker)
            }
            QueueKind::Exclusive | QueueKind::Ready => None,
        };
        WaitingView {
            ask: &record.ask,
            host: &record.host,
            arrived_at: record.arrived_at,
            deadline: record.deadline,
            awaited_worker,
        }
    }
}

fn worker_view(record: &WorkerRecord) -> WorkerView<'_> {
    WorkerView {
        worker: &record.worker,
        limit: record.limit.slots(),
        running: record.used,
        eligible: record.eligible(),
        straggler: matches!(record.health, WorkerHealth::Straggler { .. }),
        failed: matches!(record.health, WorkerHealth::Failed { .. }),
        cached_blocks: record.cache.len(),
        token_gap: record.speed.gap_micros().map(Duration::from_micros),
    }
}
