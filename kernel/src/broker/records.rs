//! What a broker knows of one worker.

use std::time::Duration;

use crate::ask::CellWorker;
use crate::ask::LoadReport;
use crate::clock::ClockTime;
use crate::estimate::SpeedEstimate;
use crate::fault::FaultRate;
use crate::limit::LimitMode;
use crate::limit::WorkerLimit;
use crate::name::ModelName;
use crate::name::RequestId;
use crate::name::TierRank;
use crate::name::WorkerName;
use crate::place::NetworkPlace;
use crate::prefix::PrefixCache;
use crate::queue::TierQueue;

/// The time that a slot is held while nothing is known, in microseconds.
const UNKNOWN_HOLD_MICROS: u64 = 1_000_000;

/// Whether a worker is fit for new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerHealth {
    /// The worker gets work up to its limit.
    Healthy,
    /// The worker failed and gets one request, as a probe, once the time has come.
    Held {
        /// The time of the probe.
        probe_at: ClockTime,
        /// The failures in a row.
        failures: u32,
    },
    /// The worker is far slower than the cell's median and gets one request as a probe.
    Straggler {
        /// The time of the probe.
        probe_at: ClockTime,
    },
}

/// A worker that the broker grants slots on.
#[derive(Clone, Debug)]
pub(super) struct WorkerRecord {
    pub worker: WorkerName,
    pub identity: u64,
    pub models: Vec<ModelName>,
    pub place: Option<NetworkPlace>,
    pub lanes: Vec<usize>,
    /// Whether the configuration lets the worker have new work.
    pub serving: bool,
    /// Whether the worker itself says that it is leaving.
    pub leaving: bool,
    /// Whether the worker may get a request now, as last refreshed.
    pub open: bool,
    pub health: WorkerHealth,
    pub limit: WorkerLimit,
    pub speed: SpeedEstimate,
    pub faults: FaultRate,
    pub cache: PrefixCache,
    pub load: Option<LoadReport>,
    /// The slots in use.
    pub used: u32,
    /// The uncached prompt tokens of requests without a first token.
    pub prefilling: u64,
    /// The mean time that a request holds a slot, in microseconds.
    pub hold_micros: Option<u64>,
    /// The suspect that runs alone, or for which the worker is kept free.
    pub alone: Option<RequestId>,
    /// The requests that wait for a slot of just this worker.
    pub waiters: TierQueue,
}

impl WorkerRecord {
    pub(super) fn new(position: usize, worker: &CellWorker, mode: LimitMode) -> Self {
        Self {
            worker: worker.worker.clone(),
            identity: identity(&worker.worker),
            models: worker.models.clone(),
            place: worker.location.clone(),
            lanes: Vec::new(),
            serving: true,
            leaving: false,
            open: false,
            health: WorkerHealth::Healthy,
            limit: WorkerLimit::new(mode, worker.max_running),
            speed: SpeedEstimate::default(),
            faults: FaultRate::default(),
            cache: PrefixCache::new(position),
            load: None,
            used: 0,
            prefilling: 0,
            hold_micros: None,
            alone: None,
            waiters: TierQueue::default(),
        }
    }

    /// Returns whether the worker may get new work at all.
    pub(super) const fn eligible(&self) -> bool {
        self.serving && !self.leaving
    }

    /// Returns the slots that the worker has at the time.
    pub(super) fn slots(&self, now: ClockTime) -> u32 {
        match self.health {
            _ if !self.eligible() => 0,
            WorkerHealth::Healthy => self.limit.slots(),
            WorkerHealth::Held { probe_at, .. } | WorkerHealth::Straggler { probe_at } => {
                u32::from(probe_at <= now)
            }
        }
    }

    /// Returns the mean time that a request holds a slot.
    pub(super) fn hold(&self) -> Duration {
        Duration::from_micros(self.hold_micros.unwrap_or(UNKNOWN_HOLD_MICROS))
    }

    /// Returns the predicted time until a slot is free for one more request of a tier.
    pub(super) fn slot_wait(&self, tier: TierRank) -> Duration {
        let ahead = self.waiters.len_up_to(tier).saturating_add(1);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.hold().saturating_mul(ahead) / self.limit.slots().max(1)
    }

    /// Notes how long a request held a slot.
    pub(super) fn record_hold(&mut self, hold: Duration) {
        let sample = u64::try_from(hold.as_micros()).unwrap_or(u64::MAX);
        let old = self.hold_micros.unwrap_or(sample);
        self.hold_micros = Some(old - old / 8 + sample / 8);
    }
}

fn identity(worker: &WorkerName) -> u64 {
    let digest = blake3::hash(worker.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
