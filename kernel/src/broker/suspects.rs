//! Requests that may have crashed a worker and run alone on one.

use super::CellBroker;
use super::records::WorkerHealth;
use crate::ask::BrokerAction;
use crate::clock::ClockTime;
use crate::name::RequestId;
use crate::policy::ChoiceReason;
use crate::queue::QueueEntry;

impl CellBroker {
    /// Grants idle workers to suspects, or keeps a worker free for one; returns whether a worker
    /// was given back to other requests.
    pub(super) fn place_suspects(
        &mut self,
        now: ClockTime,
        actions: &mut Vec<BrokerAction>,
    ) -> bool {
        let mut given_back = false;
        for lane in 0..self.workers.lanes.len() {
            given_back |= self.place_suspects_of(now, lane, actions);
        }
        given_back
    }

    fn place_suspects_of(
        &mut self,
        now: ClockTime,
        lane: usize,
        actions: &mut Vec<BrokerAction>,
    ) -> bool {
        while let Some(suspect) = self.workers.lanes[lane].suspects.first() {
            if self.higher_waits(lane, suspect) {
                return self.give_back(now, lane);
            }
            let Some(worker) = self.worker_alone(lane) else {
                return false;
            };
            if self.workers.records[worker].used > 0 {
                self.reserve(now, lane, worker, suspect.request);
                return false;
            }
            self.give_back(now, lane);
            self.grant(now, suspect.request, worker, ChoiceReason::Alone, actions);
        }
        self.give_back(now, lane)
    }

    /// Returns whether a request that comes before the suspect waits for any worker.
    fn higher_waits(&self, lane: usize, suspect: QueueEntry) -> bool {
        let first = self.workers.lanes[lane].ready.first();
        first.is_some_and(|first| first.key < suspect.key)
    }

    /// Returns the worker kept free, or the one with the fewest running requests.
    fn worker_alone(&self, lane: usize) -> Option<usize> {
        let lane = &self.workers.lanes[lane];
        if lane.reserved.is_some() {
            return lane.reserved;
        }
        let records = &self.workers.records;
        let fit = |worker: &usize| {
            let record = &records[*worker];
            let healthy = record.health == WorkerHealth::Healthy;
            record.eligible() && healthy && record.alone.is_none()
        };
        let workers = lane.workers.iter().copied().filter(fit);
        workers.min_by_key(|worker| records[*worker].used)
    }

    fn reserve(&mut self, now: ClockTime, lane: usize, worker: usize, request: RequestId) {
        self.workers.lanes[lane].reserved = Some(worker);
        self.workers.records[worker].alone = Some(request);
        self.workers.refresh(now, worker);
    }

    /// Gives the worker that is kept free back to other requests; returns whether there was one.
    fn give_back(&mut self, now: ClockTime, lane: usize) -> bool {
        let Some(worker) = self.workers.lanes[lane].reserved.take() else {
            return false;
        };
        self.workers.records[worker].alone = None;
        self.workers.refresh(now, worker);
        true
    }

    /// Gives back the worker that is kept free for a request that no longer waits.
    pub(super) fn end_reservation(&mut self, now: ClockTime, lane: usize, request: RequestId) {
        let reserved = self.workers.lanes[lane].reserved;
        let kept_for_it = |worker: usize| self.workers.records[worker].alone == Some(request);
        if reserved.is_some_and(kept_for_it) {
            self.give_back(now, lane);
        }
    }
}
