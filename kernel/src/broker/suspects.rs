//! Suspects: requests that may crash their worker and therefore run alone on one, or one by one.

use std::time::Duration;

use super::CellBroker;
use super::records::WorkerHealth;
use super::records::WorkerRecord;
use super::settings::SuspectPlacement;
use crate::ask::BrokerAction;
use crate::clock::ClockTime;
use crate::name::RequestId;
use crate::policy::ChoiceReason;
use crate::queue::QueueEntry;

/// The time after a suspect has failed in which the entries of the others hear of the crash.
const SUSPECT_PAUSE: Duration = Duration::from_millis(250);

impl CellBroker {
    /// Grants idle workers to suspects, or reserves a worker for one; returns whether a reservation
    /// ended without a grant, so that other requests may use the worker.
    pub(super) fn assign_suspects(
        &mut self,
        now: ClockTime,
        actions: &mut Vec<BrokerAction>,
    ) -> bool {
        if self.settings.suspects == SuspectPlacement::OneByOne {
            self.assign_next_suspect(now, actions);
            return false;
        }
        let mut released = false;
        for lane in 0..self.workers.lanes.len() {
            released |= self.assign_lane_suspects(now, lane, actions);
        }
        released
    }

    /// Grants a slot to the first suspect of the cell, unless one holds a slot or has just failed.
    fn assign_next_suspect(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        if self.running_suspects > 0 || now < self.next_suspect_at {
            return;
        }
        let lanes = self.workers.lanes.iter();
        let open = lanes.filter(|lane| !lane.available.is_empty());
        let first = open.filter_map(|lane| Some((lane.suspects.first()?, lane)));
        let Some((suspect, lane)) = first.min_by_key(|(suspect, _)| suspect.key) else {
            return;
        };
        let used = |worker: &usize| self.workers.records[*worker].used;
        let Some(worker) = lane.available.iter().copied().min_by_key(used) else {
            return;
        };
        self.grant(now, suspect.request, worker, ChoiceReason::Alone, actions);
    }

    /// Delays the next suspect after one has failed on its worker.
    pub(super) fn delay_next_suspect(&mut self, now: ClockTime) {
        self.next_suspect_at = now + SUSPECT_PAUSE;
    }

    fn assign_lane_suspects(
        &mut self,
        now: ClockTime,
        lane: usize,
        actions: &mut Vec<BrokerAction>,
    ) -> bool {
        while let Some(suspect) = self.workers.lanes[lane].suspects.first() {
            if self.has_earlier_request(lane, suspect) {
                return self.release_reservation(now, lane);
            }
            let Some(worker) = self.exclusive_worker(now, lane) else {
                return false;
            };
            let record = &self.workers.records[worker];
            if record.used > 0 || !record.takes_requests(now) {
                self.reserve(now, lane, worker, suspect.request);
                return false;
            }
            self.release_reservation(now, lane);
            self.grant(now, suspect.request, worker, ChoiceReason::Alone, actions);
        }
        self.release_reservation(now, lane)
    }

    /// Returns whether a request that precedes the suspect in queue order waits for any worker.
    fn has_earlier_request(&self, lane: usize, suspect: QueueEntry) -> bool {
        let first = self.workers.lanes[lane].ready.first();
        first.is_some_and(|first| first.key < suspect.key)
    }

    /// Returns the reserved worker of the lane, or else the healthy one with the fewest slots in
    /// use. The reservation of a worker that failed or leaves ends.
    fn exclusive_worker(&mut self, now: ClockTime, lane: usize) -> Option<usize> {
        let is_usable =
            |record: &WorkerRecord| record.eligible() && record.health == WorkerHealth::Healthy;
        if let Some(reserved) = self.workers.lanes[lane].reserved {
            if is_usable(&self.workers.records[reserved]) {
                return Some(reserved);
            }
            self.release_reservation(now, lane);
        }
        let work_lane = &self.workers.lanes[lane];
        let records = &self.workers.records;
        let suitable = |worker: &usize| {
            let record = &records[*worker];
            is_usable(record) && record.exclusive_request.is_none()
        };
        let workers = work_lane.workers.iter().copied().filter(suitable);
        workers.min_by_key(|worker| records[*worker].used)
    }

    fn reserve(&mut self, now: ClockTime, lane: usize, worker: usize, request: RequestId) {
        self.workers.lanes[lane].reserved = Some(worker);
        self.workers.records[worker].exclusive_request = Some(request);
        self.workers.refresh(now, worker);
    }

    /// Ends the reservation of a worker in the lane; returns whether there was one.
    fn release_reservation(&mut self, now: ClockTime, lane: usize) -> bool {
        let Some(worker) = self.workers.lanes[lane].reserved.take() else {
            return false;
        };
        self.workers.records[worker].exclusive_request = None;
        self.workers.refresh(now, worker);
        true
    }

    /// Ends the reservation for a request that no longer waits.
    pub(super) fn cancel_reservation(&mut self, now: ClockTime, lane: usize, request: RequestId) {
        let reserved = self.workers.lanes[lane].reserved;
        let is_for_request =
            |worker: usize| self.workers.records[worker].exclusive_request == Some(request);
        if reserved.is_some_and(is_for_request) {
            self.release_reservation(now, lane);
        }
    }
}
