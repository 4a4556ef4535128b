//! The state that a broker keeps for one worker.

use std::ops::AddAssign;
use std::time::Duration;

use super::blame::FailureBlame;
use crate::ask::CellWorker;
use crate::ask::LoadReport;
use crate::clock::ClockTime;
use crate::estimate::SpeedEstimate;
use crate::failure::FailureRate;
use crate::limit::LimitMode;
use crate::limit::WorkerLimit;
use crate::location::NetworkLocation;
use crate::name::ModelName;
use crate::name::RequestId;
use crate::name::TierRank;
use crate::name::WorkerName;
use crate::name::WorkerVersion;
use crate::pace::RequestPace;
use crate::prefix::PrefixCache;
use crate::pushback::WorkerPushback;
use crate::queue::TierQueue;

/// The assumed time that a request holds a slot before any was observed.
const DEFAULT_HOLD_MICROS: u64 = 1_000_000;

/// The health of a worker, which decides how many slots it offers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerHealth {
    /// The worker gets requests up to its limit.
    Healthy,
    /// The worker failed and gets no requests before the probe.
    Failed {
        /// The time from which the worker gets a probe.
        probe_at: ClockTime,
        /// The number of consecutive failures after the first.
        failures: u32,
    },
    /// The worker is far slower than the median of its lane and gets no requests before the probe.
    Straggler {
        /// The time from which the worker gets a probe.
        probe_at: ClockTime,
    },
}

/// The predicted slot time of running requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningTime {
    /// The time from their start to their end.
    pub whole: Duration,
    /// The part of it that is left.
    pub left: Duration,
}

impl AddAssign for RunningTime {
    fn add_assign(&mut self, rhs: Self) {
        self.whole += rhs.whole;
        self.left += rhs.left;
    }
}

/// A worker that the broker grants slots on.
#[derive(Clone, Debug)]
pub(super) struct WorkerRecord {
    pub worker: WorkerName,
    /// The hash of the worker's name, which is the same in every broker.
    pub identity: u64,
    pub models: Vec<ModelName>,
    pub version: Option<WorkerVersion>,
    pub location: Option<NetworkLocation>,
    /// The positions of the lanes that the worker serves.
    pub lanes: Vec<usize>,
    /// Whether the worker is in the latest list of workers that may get new requests.
    pub serving: bool,
    /// Whether the last load report of the worker stated that it is shutting down.
    pub leaving: bool,
    /// The time until which the worker gets nothing, since a host reported that it is leaving; `None` if
    /// none did.
    pub leaving_until: Option<ClockTime>,
    /// Whether the worker had a free slot at the last refresh and neither ran a suspect nor was
    /// reserved for one.
    pub available: bool,
    pub health: WorkerHealth,
    pub limit: WorkerLimit,
    pub speed: SpeedEstimate,
    pub failures: FailureRate,
    /// What speaks for and against a reported failure of the worker.
    pub blame: FailureBlame,
    pub cache: PrefixCache,
    pub load: Option<LoadReport>,
    /// The number of slots in use.
    pub used: u32,
    /// The number of slots in use by requests whose answer has not begun.
    pub unanswered: u32,
    /// The uncached prompt tokens of the requests that have not produced a first token.
    pub prefilling: u64,
    /// The predicted slot time of the running requests.
    pub running: RunningTime,
    /// The moving average of the time that a request holds a slot; `None` before the first one.
    pub mean_hold_micros: Option<u64>,
    /// The pace of a worker that names a rate; `None` if it takes requests at any rate.
    pub pace: Option<RequestPace>,
    /// What the worker's rejections say about the requests that it takes.
    pub pushback: WorkerPushback,
    /// The suspect that runs alone on the worker, or for which the worker is reserved.
    pub exclusive_request: Option<RequestId>,
    /// The requests that wait for a slot on this worker only.
    pub waiters: TierQueue,
}

impl WorkerRecord {
    pub(super) fn new(position: usize, worker: &CellWorker, mode: LimitMode) -> Self {
        Self {
            worker: worker.worker.clone(),
            identity: identity(&worker.worker),
            models: worker.models.clone(),
            version: worker.version.clone(),
            location: worker.location.clone(),
            lanes: Vec::new(),
            serving: true,
            leaving: false,
            leaving_until: None,
            available: false,
            health: WorkerHealth::Healthy,
            limit: WorkerLimit::new(mode, worker.max_running),
            speed: SpeedEstimate::default(),
            failures: FailureRate::default(),
            blame: FailureBlame::default(),
            cache: PrefixCache::new(position),
            load: None,
            used: 0,
            unanswered: 0,
            prefilling: 0,
            running: RunningTime::default(),
            mean_hold_micros: None,
            pace: None,
            pushback: WorkerPushback::default(),
            exclusive_request: None,
            waiters: TierQueue::default(),
        }
    }

    /// Forgets what the worker said of itself before it was taken from the list and put back; its
    /// rate ends by an answer that names none.
    pub(super) fn forget_statements(&mut self) {
        self.leaving = false;
        self.leaving_until = None;
        self.pushback = WorkerPushback::default();
    }

    /// Forgets at `now` that a host reported the worker as leaving, once that no longer holds.
    pub(super) fn expire_departure(&mut self, now: ClockTime) {
        self.leaving_until = self.leaving_until.filter(|until| now < *until);
    }

    /// Returns whether the worker may get new requests, regardless of its health and load.
    pub(super) const fn eligible(&self) -> bool {
        self.serving && !self.leaving && self.leaving_until.is_none()
    }

    /// Returns the number of slots at `now`, used or free.
    pub(super) fn slots(&self, now: ClockTime) -> u32 {
        match self.health {
            _ if !self.eligible() => 0,
            WorkerHealth::Healthy => self.pushback.room(self.limit.slots()),
            WorkerHealth::Failed { probe_at, .. } | WorkerHealth::Straggler { probe_at } => {
                u32::from(probe_at <= now)
            }
        }
    }

    /// Returns the number of slots at `now` that the worker's rate lets requests use.
    pub(super) fn usable_slots(&self, now: ClockTime) -> u32 {
        let slots = self.slots(now);
        let by_rate = |pace: &RequestPace| pace.rate().concurrency(self.mean_hold());
        self.pace
            .as_ref()
            .map_or(slots, |pace| slots.min(by_rate(pace)))
    }

    /// Returns whether the worker's rate and its rejections let a request be sent now.
    pub(super) fn takes_requests(&self, now: ClockTime) -> bool {
        let keeps_pace = self.pace.is_none_or(|pace| pace.wait(now).is_zero());
        let tolerates = self.unanswered < self.pushback.max_unanswered(now);
        keeps_pace && tolerates && self.pushback.wait(now).is_zero()
    }

    /// Returns the mean time that a request holds a slot, or a default before the first one.
    pub(super) fn mean_hold(&self) -> Duration {
        Duration::from_micros(self.mean_hold_micros.unwrap_or(DEFAULT_HOLD_MICROS))
    }

    /// Returns the predicted time until one more request of the tier would get a slot.
    pub(super) fn slot_wait(&self, now: ClockTime, tier: TierRank) -> Duration {
        let ahead = u32::try_from(self.waiters.len_up_to(tier)).unwrap_or(u32::MAX);
        let by_rate = self
            .pace
            .map_or(Duration::ZERO, |pace| pace.wait_behind(now, ahead));
        let by_worker = by_rate.max(self.pushback.wait(now));
        if self.exclusive_request.is_none() && self.used < self.slots(now) {
            return by_worker;
        }
        let turns = self.mean_hold().saturating_mul(ahead.saturating_add(1));
        (turns / self.limit.slots().max(1)).max(by_worker)
    }

    /// Updates the mean hold time, in which a new sample has the weight 1/8.
    pub(super) fn record_hold(&mut self, hold: Duration) {
        let sample = u64::try_from(hold.as_micros()).unwrap_or(u64::MAX);
        let old = self.mean_hold_micros.unwrap_or(sample);
        self.mean_hold_micros = Some(old - old / 8 + sample / 8);
    }
}

fn identity(worker: &WorkerName) -> u64 {
    let digest = blake3::hash(worker.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
