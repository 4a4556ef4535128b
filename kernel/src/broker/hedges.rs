//! Slots for hedges, the second dispatches of slow requests.
//!
//! A hedge never waits: it is granted a slot at once or refused. It gets one only while no request
//! waits in the cell, and never on the worker that already has the request.

use super::CellBroker;
use super::candidates::CandidateList;
use super::records::WorkerHealth;
use super::records::WorkerRecord;
use super::waiting::QueueKind;
use super::waiting::WaitingRecord;
use crate::ask::Ask;
use crate::ask::BrokerAction;
use crate::ask::RefusalReason;
use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::WorkerName;
use crate::policy::Choice;
use crate::policy::ChoiceReason;
use crate::policy::ChoiceView;
use crate::queue::QueueKey;

/// The worker that a hedge is granted, and the reason for the choice.
type HedgeChoice = (usize, ChoiceReason);

impl CellBroker {
    /// Grants a slot to a hedge of a request that `first` has, or refuses it.
    pub(super) fn on_hedge_asked(
        &mut self,
        now: ClockTime,
        host: HostName,
        ask: Ask,
        lane: usize,
        actions: &mut Vec<BrokerAction>,
    ) {
        let is_idle = self.taken_over && self.waiting.len() == 0;
        let choice = is_idle
            .then(|| self.choose_hedge_worker(now, &host, &ask, lane))
            .flatten();
        let Some((worker, reason)) = choice else {
            Self::refuse_immediately(host, &ask, RefusalReason::Capacity, actions);
            return;
        };
        let request = ask.request;
        self.enqueue_hedge(now, host, ask, lane);
        self.grant(now, request, worker, reason, actions);
    }

    /// Adds a hedge to the waiting requests, which the grant takes it from.
    fn enqueue_hedge(&mut self, now: ClockTime, host: HostName, ask: Ask, lane: usize) {
        self.arrivals += 1;
        let deadline = now + ask.budget;
        let key = QueueKey::new(self.policy.order(), ask.tier, deadline, self.arrivals);
        let work = self.service_estimate(lane, &ask).work;
        let request = ask.request;
        self.waiting.insert(WaitingRecord {
            host,
            lane,
            key,
            arrived_at: now,
            deadline,
            latest_start: now,
            work,
            queue: QueueKind::Ready,
            deferred_until: None,
            deferral_spent: true,
            ask,
        });
        self.workers.lanes[lane].tally.add(&key, work);
        self.enqueue(now, request);
    }

    fn choose_hedge_worker(
        &mut self,
        now: ClockTime,
        host: &HostName,
        ask: &Ask,
        lane: usize,
    ) -> Option<HedgeChoice> {
        let mut list = std::mem::take(&mut self.scratch);
        self.list_candidates(now, lane, ask, self.host_locations.get(host), &mut list);
        let choice = self.choose_from(now, ask, &mut list);
        self.scratch = list;
        choice
    }

    fn choose_from(
        &self,
        now: ClockTime,
        ask: &Ask,
        list: &mut CandidateList,
    ) -> Option<HedgeChoice> {
        let first = ask.hedged_worker.as_ref();
        for (candidate, worker) in list.candidates.iter_mut().zip(&list.workers) {
            let record = &self.workers.records[*worker];
            candidate.open = candidate.open && takes_hedges(now, record, first);
        }
        let holders = ask.prefix.first();
        let holders = holders.map_or(0, |digest| self.workers.index.holders(*digest).len());
        let view = ChoiceView {
            ask,
            remaining: ask.budget,
            deferral_spent: true,
            grants: self.grant_count,
            holders,
            candidates: &list.candidates,
        };
        view.open().next()?;
        match self.policy.choose(&view) {
            Choice::Worker { candidate, reason } => Some((list.workers[candidate], reason)),
            Choice::Wait { .. } => None,
        }
    }
}

/// Returns whether a worker may get hedges of a request that `first` has. One that names a rate or
/// tolerates few rejections keeps what it takes for first dispatches.
fn takes_hedges(now: ClockTime, record: &WorkerRecord, first: Option<&WorkerName>) -> bool {
    first != Some(&record.worker)
        && record.health == WorkerHealth::Healthy
        && record.pace.is_none()
        && record.pushback.max_unanswered(now) == u32::MAX
        && record.takes_requests(now)
}
