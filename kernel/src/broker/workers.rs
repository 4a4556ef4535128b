//! The workers of a cell and the lanes of requests that they serve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::lanes::WorkLane;
use super::lanes::measure_lane;
use super::lanes::ring;
use super::records::WorkerRecord;
use crate::ask::CellWorker;
use crate::clock::ClockTime;
use crate::limit::LimitMode;
use crate::name::ModelName;
use crate::name::WorkerName;
use crate::prefix::PrefixIndex;

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
            record.place.clone_from(&worker.location);
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
