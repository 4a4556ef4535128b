//! Asks as they come in and go away.

use std::time::Duration;

use super::CellBroker;
use super::grants::GrantState;
use super::waiting::WaitPlace;
use super::waiting::WaitingRecord;
use crate::ask::Ask;
use crate::ask::BrokerAction;
use crate::ask::CellWorker;
use crate::ask::Grant;
use crate::ask::RefusalReason;
use crate::clock::ClockTime;
use crate::estimate::AnswerEstimate;
use crate::name::GrantId;
use crate::name::HostName;
use crate::name::RequestId;
use crate::prefix::BLOCK_TOKENS;
use crate::queue::QueueKey;

/// The slot time that a request is expected to need.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEstimate {
    /// The likely time at a worker of typical speed.
    pub work: Duration,
    /// The time of a short answer at the fastest worker.
    pub quickest: Duration,
}

impl CellBroker {
    pub(super) fn asked(
        &mut self,
        now: ClockTime,
        host: HostName,
        ask: Ask,
        actions: &mut Vec<BrokerAction>,
    ) {
        if self.waiting.get(ask.request).is_some() || self.repeated(now, &ask, actions) {
            return;
        }
        let lane = match self.workers.known_lane(ask.model.as_ref()) {
            Some(lane) => lane,
            None if self.taken_over && ask.model.is_some() => {
                Self::refuse_at_once(host, &ask, RefusalReason::NoWorker, actions);
                return;
            }
            None => self.workers.lane_of(ask.model.as_ref()),
        };
        if self.taken_over && !self.served(lane) {
            Self::refuse_at_once(host, &ask, RefusalReason::NoWorker, actions);
            return;
        }
        self.admit(now, host, ask, lane, actions);
    }

    pub(super) fn withdrawn(&mut self, now: ClockTime, host: &HostName, request: RequestId) {
        let held_there = |record: &WaitingRecord| record.host == *host;
        if self.waiting.get(request).is_some_and(held_there) {
            self.take_waiting(now, request);
        }
    }

    pub(super) fn workers_changed(
        &mut self,
        now: ClockTime,
        workers: &[CellWorker],
        actions: &mut Vec<BrokerAction>,
    ) {
        self.workers.replace(now, workers);
        self.adopt_strays(now);
        for position in 0..self.workers.records.len() {
            if !self.workers.records[position].eligible() {
                self.wake_waiters(now, position);
            }
        }
        if self.taken_over {
            self.refuse_unserved(now, actions);
        }
    }

    /// Answers a repeated ask with the grant that it already has; returns whether it has one.
    fn repeated(&self, now: ClockTime, ask: &Ask, actions: &mut Vec<BrokerAction>) -> bool {
        let Some(id) = self.grants.of_request(ask.request) else {
            return false;
        };
        let Some(record) = self.grants.get(id) else {
            return false;
        };
        if record.state == GrantState::Lapsed {
            return false;
        }
        if record.state == GrantState::Issued {
            let expires_in = record.expires.since(now);
            let worker = self.workers.records[record.worker].worker.clone();
            let grant = Grant {
                grant: id,
                request: ask.request,
                worker,
                expires_in,
                choice: record
                    .reason
                    .map_or_else(String::new, |reason| reason.to_string()),
            };
            let host = record.host.clone();
            actions.push(BrokerAction::Grant { host, grant });
        }
        true
    }

    fn admit(
        &mut self,
        now: ClockTime,
        host: HostName,
        ask: Ask,
        lane: usize,
        actions: &mut Vec<BrokerAction>,
    ) {
        self.arrivals += 1;
        let deadline = now + ask.budget;
        let key = QueueKey::new(self.policy.order(), ask.tier, deadline, self.arrivals);
        let estimate = self.service_estimate(lane, &ask);
        if self.policy.refuses_early() && self.taken_over {
            let needed = self.predicted_wait(lane, &key) + estimate.quickest;
            if needed > ask.budget {
                let excess = needed.saturating_sub(ask.budget);
                Self::refuse_ask(host, &ask, RefusalReason::Deadline, excess, actions);
                return;
            }
        }
        let place = if ask.suspect {
            WaitPlace::Alone
        } else {
            WaitPlace::Ready
        };
        let request = ask.request;
        self.waiting.insert(WaitingRecord {
            host,
            lane,
            key,
            since: now,
            deadline,
            latest_start: self.latest_start(now, ask.budget, estimate.quickest),
            work: estimate.work,
            place,
            patient_until: None,
            patience_spent: false,
            ask,
        });
        self.workers.lanes[lane].tally.add(&key, estimate.work);
        self.link(now, request);
        self.shed_excess(now, actions);
    }

    fn latest_start(&self, now: ClockTime, budget: Duration, quickest: Duration) -> ClockTime {
        if self.policy.refuses_early() {
            now + budget.saturating_sub(quickest)
        } else {
            now + budget
        }
    }

    /// Returns whether a worker may serve the lane.
    pub(super) fn served(&self, lane: usize) -> bool {
        let workers = &self.workers.lanes[lane].workers;
        workers
            .iter()
            .any(|worker| self.workers.records[*worker].eligible())
    }

    /// Returns the estimated length of the answer: tokens, or milliseconds for a plain service.
    pub(super) fn answer_estimate(&self, ask: &Ask) -> AnswerEstimate {
        if let Some(hint) = ask.hinted_tokens {
            let estimate = AnswerEstimate::hinted(hint);
            return estimate.capped(ask.max_answer_tokens);
        }
        if ask.model.is_some() {
            let estimate = self.lengths.estimate(&ask.workspace, ask.tier);
            estimate.capped(ask.max_answer_tokens)
        } else {
            self.times.estimate(&ask.workspace, ask.tier)
        }
    }

    /// Returns the slot time that a request is expected to need.
    pub(super) fn service_estimate(&self, lane: usize, ask: &Ask) -> ServiceEstimate {
        let answer = self.answer_estimate(ask);
        if ask.model.is_none() {
            return ServiceEstimate {
                work: Duration::from_millis(u64::from(answer.likely)),
                quickest: Duration::from_millis(u64::from(answer.short)),
            };
        }
        let lane = &self.workers.lanes[lane];
        let held = block_tokens(self.workers.index.held(&ask.prefix));
        let uncached = ask.prompt_tokens.saturating_sub(held);
        ServiceEstimate {
            work: lane.typical.prefill(uncached) + lane.typical.decode(answer.likely),
            quickest: lane.fastest.prefill(uncached) + lane.fastest.decode(answer.short),
        }
    }

    /// Returns the predicted time until a request with the key gets a slot.
    pub(super) fn predicted_wait(&self, lane: usize, key: &QueueKey) -> Duration {
        let lane = &self.workers.lanes[lane];
        if lane.slots == 0 {
            return Duration::ZERO;
        }
        lane.tally.before(key) / lane.slots
    }

    /// Returns the predicted time until a request that waits gets a slot.
    pub(super) fn remaining_wait(&self, record: &WaitingRecord) -> Duration {
        let slots = self.workers.lanes[record.lane].slots.max(1);
        let wait = self.predicted_wait(record.lane, &record.key);
        wait.saturating_sub(record.work / slots)
    }

    /// Returns the identifier of the next grant.
    pub(super) const fn next_grant(&mut self) -> GrantId {
        self.granted += 1;
        GrantId {
            broker: self.settings.incarnation,
            sequence: self.granted,
        }
    }
}

/// Returns the number of tokens in a number of blocks.
pub(super) fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks)
        .unwrap_or(u32::MAX)
        .saturating_mul(BLOCK_TOKENS)
}
