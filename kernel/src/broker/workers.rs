//! The workers of a cell and the lanes of requests that they serve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::lanes::WorkLane;
use super::lanes::measure_lane;
use super::lanes::ring;
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
use crate::prefix::PrefixIndex;
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
    fn new(position: usize, worker: &CellWorker, mode: LimitMode) -> Self {
        Self {
            worker: worker.worker.clone(),
            identity: identity(&worker.worker),
            models: worker.models.clone(),
            place: worker.place.clone(),
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

/// All workers and lanes of a cell.
#[derive(Clone, Debug)]
pub(super) struct WorkerTable {
    mode: LimitMode,
    names: BTreeMap<WorkerName, usize>,
    pub records: Vec<WorkerRecord>,
    pub lanes: Vec<WorkLane>,
    lane_positions: BTreeMap<Option<ModelName>, usize>,
    pub index: PrefixIndex,
    /// The open workers that have requests waiting for just them.
    pub awaited: BTreeSet<usize>,
}

impl WorkerTable {
    pub(super) fn new(mode: LimitMode) -> Self {
        Self {
            mode,
            names: BTreeMap::new(),
            records: Vec::new(),
            lanes: Vec::new(),
            lane_positions: BTreeMap::new(),
            index: PrefixIndex::new(),
            awaited: BTreeSet::new(),
        }
    }

    pub(super) fn position(&self, worker: &WorkerName) -> Option<usize> {
        self.names.get(worker).copied()
    }

    /// Returns the lane of a model if there is one.
    pub(super) fn known_lane(&self, model: Option<&ModelName>) -> Option<usize> {
        self.lane_positions.get(&model.cloned()).copied()
    }

    /// Returns the lane of a model, creating it if needed.
    pub(super) fn lane_of(&mut self, model: Option<&ModelName>) -> usize {
        let model = model.cloned();
        if let Some(position) = self.lane_positions.get(&model) {
            return *position;
        }
        let position = self.lanes.len();
        self.lanes.push(WorkLane {
            model: model.clone(),
            ..WorkLane::default()
        });
        self.lane_positions.insert(model, position);
        self.connect(position);
        position
    }

    /// Applies the list of workers that may get new work.
    pub(super) fn replace(&mut self, now: ClockTime, workers: &[CellWorker]) {
        for record in &mut self.records {
            record.serving = false;
        }
        for worker in workers {
            self.serve(worker);
        }
        for model in workers.iter().flat_map(|worker| &worker.models) {
            self.lane_of(Some(model));
        }
        for position in 0..self.lanes.len() {
            self.connect(position);
        }
        for position in 0..self.records.len() {
            self.refresh(now, position);
        }
        self.measure(now);
    }

    fn serve(&mut self, worker: &CellWorker) {
        if let Some(position) = self.position(&worker.worker) {
            let record = &mut self.records[position];
            record.serving = true;
            record.models.clone_from(&worker.models);
            record.place.clone_from(&worker.place);
            record.limit.set_ceiling(worker.max_running);
            return;
        }
        let vacant =
            |record: &WorkerRecord| !record.serving && record.used == 0 && record.alone.is_none();
        let vacant = self.records.iter().position(vacant);
        let position = vacant.unwrap_or(self.records.len());
        let fresh = WorkerRecord::new(position, worker, self.mode);
        if let Some(old) = self.records.get_mut(position) {
            old.cache.clear(&mut self.index);
            self.names.remove(&old.worker);
            *old = fresh;
        } else {
            self.records.push(fresh);
        }
        self.names.insert(worker.worker.clone(), position);
    }

    /// Recomputes which workers serve a lane.
    fn connect(&mut self, lane: usize) {
        let model = self.lanes[lane].model.clone();
        let mut workers = Vec::new();
        let mut open = BTreeSet::new();
        for position in self.names.values() {
            let record = &mut self.records[*position];
            let matches = model
                .as_ref()
                .is_none_or(|model| record.models.contains(model));
            record.lanes.retain(|known| *known != lane);
            if record.serving && matches {
                record.lanes.push(lane);
                workers.push(*position);
                if record.open {
                    open.insert(*position);
                }
            }
        }
        self.lanes[lane].ring = ring(&workers, &self.records);
        self.lanes[lane].workers = workers;
        self.lanes[lane].open = open;
    }

    /// Recomputes whether a worker may get a request now.
    pub(super) fn refresh(&mut self, now: ClockTime, position: usize) {
        let record = &mut self.records[position];
        let open = record.alone.is_none() && record.used < record.slots(now);
        if open != record.open {
            record.open = open;
            for lane in &record.lanes {
                let lane = &mut self.lanes[*lane];
                if open {
                    lane.open.insert(position);
                } else {
                    lane.open.remove(&position);
                }
            }
        }
        if open && !self.records[position].waiters.is_empty() {
            self.awaited.insert(position);
        } else {
            self.awaited.remove(&position);
        }
    }

    /// Measures the speeds and the slots of all lanes.
    pub(super) fn measure(&mut self, now: ClockTime) {
        for lane in &mut self.lanes {
            measure_lane(now, lane, &self.records);
        }
    }

    /// Returns the slots that are free in the cell.
    pub(super) fn free_slots(&self, now: ClockTime) -> u32 {
        let free = |record: &WorkerRecord| {
            let free = record.slots(now).saturating_sub(record.used);
            if record.alone.is_some() { 0 } else { free }
        };
        self.records.iter().map(free).fold(0, u32::saturating_add)
    }
}
