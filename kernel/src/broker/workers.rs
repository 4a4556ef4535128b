//! The workers of a cell and the lanes of requests that they serve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::lanes::LaneKey;
use super::lanes::WorkLane;
use super::lanes::build_ring;
use super::lanes::measure_lane;
use super::records::WorkerRecord;
use crate::ask::CellWorker;
use crate::clock::ClockTime;
use crate::limit::LimitMode;
use crate::name::WorkerName;
use crate::prefix::PrefixIndex;

/// All workers and lanes of a cell.
#[derive(Clone, Debug)]
pub(super) struct WorkerTable {
    mode: LimitMode,
    /// The positions of the workers in `records`.
    names: BTreeMap<WorkerName, usize>,
    pub records: Vec<WorkerRecord>,
    pub lanes: Vec<WorkLane>,
    /// The positions of the lanes in `lanes`.
    lane_positions: BTreeMap<LaneKey, usize>,
    pub index: PrefixIndex,
    /// The workers with a free slot for which requests wait in the worker's own queue.
    pub awaited_workers: BTreeSet<usize>,
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
            awaited_workers: BTreeSet::new(),
        }
    }

    pub(super) fn position(&self, worker: &WorkerName) -> Option<usize> {
        self.names.get(worker).copied()
    }

    /// Returns the position of a lane if it exists.
    pub(super) fn find_lane(&self, key: &LaneKey) -> Option<usize> {
        self.lane_positions.get(key).copied()
    }

    /// Returns the position of a lane, and creates the lane if it is missing.
    pub(super) fn find_or_add_lane(&mut self, now: ClockTime, key: LaneKey) -> usize {
        if let Some(position) = self.find_lane(&key) {
            return position;
        }
        let position = self.lanes.len();
        self.lanes.push(WorkLane {
            key: key.clone(),
            ..WorkLane::default()
        });
        self.lane_positions.insert(key, position);
        self.update_lane(position);
        measure_lane(now, &mut self.lanes[position], &self.records);
        position
    }

    /// Applies a new list of the workers that may get new requests.
    pub(super) fn replace(&mut self, now: ClockTime, workers: &[CellWorker]) {
        let serving_before: BTreeSet<usize> = self.serving().collect();
        for record in &mut self.records {
            record.serving = false;
        }
        for worker in workers {
            self.add_or_update(worker);
        }
        let returned: Vec<usize> = self
            .serving()
            .filter(|position| !serving_before.contains(position))
            .collect();
        for position in returned {
            self.records[position].forget_statements();
        }
        for model in workers.iter().flat_map(|worker| &worker.models) {
            let key = LaneKey {
                model: Some(model.clone()),
                version: None,
            };
            self.find_or_add_lane(now, key);
        }
        for position in 0..self.lanes.len() {
            self.update_lane(position);
        }
        for position in 0..self.records.len() {
            self.refresh(now, position);
        }
        self.measure(now);
    }

    fn serving(&self) -> impl Iterator<Item = usize> {
        let records = self.records.iter().enumerate();
        let serving = records.filter(|(_, record)| record.serving);
        serving.map(|(position, _)| position)
    }

    fn add_or_update(&mut self, worker: &CellWorker) {
        if let Some(position) = self.position(&worker.worker) {
            let record = &mut self.records[position];
            record.serving = true;
            record.models.clone_from(&worker.models);
            record.version.clone_from(&worker.version);
            record.location.clone_from(&worker.location);
            record.limit.set_ceiling(worker.max_running);
            return;
        }
        let is_vacant = |record: &WorkerRecord| {
            !record.serving && record.used == 0 && record.exclusive_request.is_none()
        };
        let vacant = self.records.iter().position(is_vacant);
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

    /// Recomputes the workers that serve a lane and its hash ring.
    fn update_lane(&mut self, lane: usize) {
        let key = self.lanes[lane].key.clone();
        let mut workers = Vec::new();
        let mut available = BTreeSet::new();
        for position in self.names.values() {
            let record = &mut self.records[*position];
            let matches = key.matches(record);
            record.lanes.retain(|known| *known != lane);
            if record.serving && matches {
                record.lanes.push(lane);
                workers.push(*position);
                if record.available {
                    available.insert(*position);
                }
            }
        }
        self.lanes[lane].ring = build_ring(&workers, &self.records);
        self.lanes[lane].workers = workers;
        self.lanes[lane].available = available;
    }

    /// Recomputes whether a worker has a free slot at `now`, its rate and its rejections let a request
    /// be sent, and it is neither running a suspect nor reserved for one.
    pub(super) fn refresh(&mut self, now: ClockTime, position: usize) {
        let record = &mut self.records[position];
        record.expire_departure(now);
        let available = record.exclusive_request.is_none()
            && record.used < record.slots(now)
            && record.takes_requests(now);
        if available != record.available {
            record.available = available;
            for lane in &record.lanes {
                let work_lane = &mut self.lanes[*lane];
                if available {
                    work_lane.available.insert(position);
                } else {
                    work_lane.available.remove(&position);
                }
            }
        }
        if available && !self.records[position].waiters.is_empty() {
            self.awaited_workers.insert(position);
        } else {
            self.awaited_workers.remove(&position);
        }
    }

    /// Recomputes the speeds and the number of slots of all lanes.
    pub(super) fn measure(&mut self, now: ClockTime) {
        for lane in &mut self.lanes {
            measure_lane(now, lane, &self.records);
        }
    }

    /// Returns the number of free slots in the cell, without workers that run a suspect or are
    /// reserved for one.
    pub(super) fn free_slots(&self, now: ClockTime) -> u32 {
        let free_slots = |record: &WorkerRecord| {
            let free = record.usable_slots(now).saturating_sub(record.used);
            if record.exclusive_request.is_some() || !record.takes_requests(now) {
                0
            } else {
                free
            }
        };
        self.records
            .iter()
            .map(free_slots)
            .fold(0, u32::saturating_add)
    }
}
