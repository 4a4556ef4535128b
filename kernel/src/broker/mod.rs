//! The broker of one cell: orders what waits and grants slots on workers.
//!
//! A broker keeps soft state only. What it hears from entries and workers goes into
//! [`CellBroker::handle`]; time passes in [`CellBroker::tick`]; both return what has to be sent.
//!
//! A grant is the permission to dispatch one request once. Its slot counts as used until the entry
//! reports the end, or until the entry's host is lost and the grant has expired. The broker never
//! issues two grants for one slot; that two brokers of a cell waste no more than capacity is ensured
//! by the entries, which alone dispatch.

mod asks;
mod candidates;
mod granting;
mod grants;
mod health;
mod lanes;
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
use self::granting::PrefillKey;
use self::grants::GrantLedger;
use self::records::WorkerHealth;
use self::records::WorkerRecord;
use self::reports::StrayWork;
pub use self::settings::BrokerError;
pub use self::settings::BrokerSettings;
use self::timers::TimerKey;
pub use self::views::BrokerSummary;
pub use self::views::WaitingView;
pub use self::views::WorkerView;
use self::waiting::WaitPlace;
use self::waiting::WaitingRecord;
use self::waiting::WaitingTable;
use self::workers::WorkerTable;
use crate::ask::Ask;
use crate::ask::BrokerAction;
use crate::ask::BrokerEvent;
use crate::clock::ClockTime;
use crate::estimate::AnswerEstimator;
use crate::name::HostName;
use crate::place::NetworkPlace;
use crate::policy;
use crate::policy::WorkerPolicy;
use crate::queue::QueueKey;
use crate::queue::TierQueue;

/// The length of an answer while none of its tier is known, in tokens.
const UNKNOWN_ANSWER_TOKENS: u32 = 256;

/// The time of a plain answer while none of its tier is known, in milliseconds.
const UNKNOWN_ANSWER_MILLIS: u32 = 100;

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
///     max_running: 4,
///     location: None,
/// }];
/// broker.handle(now, BrokerEvent::WorkersChanged { workers });
/// let ask = Ask {
///     request: RequestId { incarnation: 7, sequence: 1 },
///     service: "drafter".parse()?,
///     model: Some("drafter-8b".parse()?),
///     workspace: "union".parse()?,
///     tier: TierRank(0),
///     budget: Duration::from_secs(30),
///     target: None,
///     pause: None,
///     prompt_tokens: 200,
///     max_answer_tokens: 100,
///     hinted_tokens: None,
///     prefix: Vec::new(),
///     suspect: false,
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
    lengths: AnswerEstimator,
    times: AnswerEstimator,
    timers: BTreeSet<TimerKey>,
    takeover_until: ClockTime,
    taken_over: bool,
    next_sweep: ClockTime,
    swept: Option<QueueKey>,
    arrivals: u64,
    granted: u64,
    strays: Vec<StrayWork>,
    scratch: CandidateList,
    places: BTreeMap<HostName, NetworkPlace>,
}

impl fmt::Debug for CellBroker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CellBroker")
            .field("policy", &self.policy.name())
            .field("waiting", &self.waiting.len())
            .field("granted", &self.granted)
            .finish_non_exhaustive()
    }
}

impl CellBroker {
    /// Creates a broker that takes over a cell at the time.
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
            lengths: AnswerEstimator::new(UNKNOWN_ANSWER_TOKENS),
            times: AnswerEstimator::new(UNKNOWN_ANSWER_MILLIS),
            timers: BTreeSet::new(),
            takeover_until: now + settings.takeover_time,
            taken_over: false,
            next_sweep: now,
            swept: None,
            arrivals: 0,
            granted: 0,
            strays: Vec::new(),
            scratch: CandidateList::default(),
            places: BTreeMap::new(),
        })
    }

    /// Handles an event and returns what has to be sent.
    pub fn handle(&mut self, now: ClockTime, event: BrokerEvent) -> Vec<BrokerAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        match event {
            BrokerEvent::Asked { host, ask } => self.asked(now, host, ask, &mut actions),
            BrokerEvent::Withdrawn { host, request } => self.withdrawn(now, &host, request),
            BrokerEvent::Reported { host, report } => self.reported(now, &host, &report),
            BrokerEvent::Declared { host, running } => self.declared(now, &host, &running),
            BrokerEvent::HostLost { host } => self.host_lost(now, &host),
            BrokerEvent::WorkersChanged { workers } => {
                self.workers_changed(now, &workers, &mut actions);
            }
            BrokerEvent::LoadReported { worker, load } => self.load_reported(now, &worker, load),
            BrokerEvent::CacheReported { worker, batch } => self.cache_reported(&worker, &batch),
        }
        self.grant_slots(now, &mut actions);
        actions
    }

    /// Handles the passing of time and returns what has to be sent.
    pub fn tick(&mut self, now: ClockTime) -> Vec<BrokerAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        self.grant_slots(now, &mut actions);
        actions
    }

    /// Iterates over the waiting requests in the order in which they are served.
    pub fn waiting(&self) -> impl Iterator<Item = WaitingView<'_>> {
        self.waiting.iter().map(|record| self.waiting_view(record))
    }

    /// Returns the free slots and the waiting requests by tier.
    #[must_use]
    pub fn summary(&self, now: ClockTime) -> BrokerSummary {
        BrokerSummary {
            free_slots: self.workers.free_slots(now),
            waiting: self.waiting.counts(),
        }
    }

    /// Iterates over the workers of the cell, with those that no longer get work but still run some.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView<'_>> {
        let records = self.workers.records.iter();
        records
            .filter(|record| record.serving || record.used > 0)
            .map(worker_view)
    }

    /// Notes where a host stands, to choose workers near it.
    pub fn host_seen(&mut self, host: &HostName, place: NetworkPlace) {
        if self.places.get(host) != Some(&place) {
            self.places.insert(host.clone(), place);
        }
    }

    /// Returns the best predicted time until an answer would be whole, or `None` if no worker serves
    /// the request.
    #[must_use]
    pub fn predicted_finish(&self, now: ClockTime, ask: &Ask) -> Option<Duration> {
        let lane = self.workers.known_lane(ask.model.as_ref())?;
        if self.workers.lanes[lane].slots == 0 {
            return None;
        }
        let deadline = now + ask.budget;
        let key = QueueKey::new(self.policy.order(), ask.tier, deadline, self.arrivals);
        Some(self.predicted_wait(now, lane, &key) + self.service_estimate(lane, ask).quickest)
    }

    fn waiting_view<'a>(&'a self, record: &'a WaitingRecord) -> WaitingView<'a> {
        let awaited = match record.place {
            WaitPlace::Slot { worker } | WaitPlace::Prefill { worker, .. } => {
                Some(&self.workers.records[worker].worker)
            }
            WaitPlace::Alone | WaitPlace::Ready => None,
        };
        WaitingView {
            ask: &record.ask,
            host: &record.host,
            since: record.since,
            deadline: record.deadline,
            awaited,
        }
    }
}

fn worker_view(record: &WorkerRecord) -> WorkerView<'_> {
    WorkerView {
        worker: &record.worker,
        limit: record.limit.slots(),
        running: record.used,
        serving: record.eligible(),
        straggler: matches!(record.health, WorkerHealth::Straggler { .. }),
        held: matches!(record.health, WorkerHealth::Held { .. }),
        cached_blocks: record.cache.len(),
        token_gap: record.speed.gap_micros().map(Duration::from_micros),
    }
}
