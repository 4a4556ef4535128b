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
use crate::name::TierRank;
use crate::policy::ChoiceView;
use crate::prefix::block_tokens;
use crate::queue::QueueKey;

/// The slot time that a request is expected to need.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEstimate {
    /// The likely time at a worker of typical speed.
    pub work: Duration,
    /// The time of a short answer at the fastest worker.
    pub quickest: Duration,
}

/// The part of the slots that a tier is taken to get however much arrives above it.
const LEFT_SHARE: f64 = 0.05;

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
            let wait = self.predicted_wait(now, lane, &key);
            let most = self.longest_wait(&ask, ask.budget, estimate.quickest);
            let waits = wait > most && !self.starts_at_once(now, &host, &ask, lane, &key);
            if waits || estimate.quickest > ask.budget {
                let excess = wait.saturating_sub(most);
                let after = self.return_after(now, lane, &ask, ask.budget, excess);
                Self::refuse_ask(host, &ask, RefusalReason::Deadline, after, actions);
                return;
            }
        }
        self.workers.lanes[lane]
            .load
            .arrived(now, ask.tier, estimate.work);
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
            latest_start: now + self.longest_wait(&ask, ask.budget, estimate.quickest),
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

    /// Returns whether an ask gets a free slot at once, on a worker that suits it.
    ///
    /// What waits for one certain worker leaves the free slots of the others alone.
    fn starts_at_once(
        &mut self,
        now: ClockTime,
        host: &HostName,
        ask: &Ask,
        lane: usize,
        key: &QueueKey,
    ) -> bool {
        if !self.workers.lanes[lane].comes_first(key) {
            return false;
        }
        let mut list = std::mem::take(&mut self.scratch);
        self.list_candidates(now, lane, ask, self.places.get(host), &mut list);
        let view = ChoiceView {
            ask,
            remaining: ask.budget,
            deferral_spent: false,
            grants: self.granted,
            holders: 0,
            candidates: &list.candidates,
        };
        let suits = self.policy.has_suitable_worker(&view);
        self.scratch = list;
        suits
    }

    /// Returns the longest time that a request may wait for a slot, with the time that was left when
    /// it arrived.
    pub(super) fn longest_wait(&self, ask: &Ask, budget: Duration, quickest: Duration) -> Duration {
        if !self.policy.refuses_early() {
            return budget;
        }
        let by_deadline = budget.saturating_sub(quickest);
        if !self.measured(ask) {
            return by_deadline;
        }
        let aim = ask.target.zip(self.policy.max_wait_percent());
        let by_aim = aim.map(|(target, percent)| target * percent / 100);
        by_aim.map_or(by_deadline, |by_aim| by_aim.min(by_deadline))
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
            let estimate = AnswerEstimate::from_hint(hint);
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
                work: Duration::from_millis(u64::from(answer.typical)),
                quickest: Duration::from_millis(u64::from(answer.low)),
            };
        }
        let lane = &self.workers.lanes[lane];
        let held = block_tokens(self.workers.index.held(&ask.prefix));
        let uncached = ask.prompt_tokens.saturating_sub(held);
        ServiceEstimate {
            work: lane.typical.prefill(uncached) + lane.typical.decode(answer.typical),
            quickest: lane.fastest.prefill(uncached) + lane.fastest.decode(answer.low),
        }
    }

    /// Returns the predicted time until a request with the key gets a slot.
    ///
    /// Work of higher tiers that arrives meanwhile goes first, so only what it leaves counts.
    pub(super) fn predicted_wait(&self, now: ClockTime, lane: usize, key: &QueueKey) -> Duration {
        let slots = self.left_slots(now, lane, key.tier);
        let before = self.workers.lanes[lane].tally.before(key);
        before.div_f64(slots)
    }

    /// Returns the predicted time until a request that waits gets a slot.
    pub(super) fn remaining_wait(&self, now: ClockTime, record: &WaitingRecord) -> Duration {
        let slots = self.left_slots(now, record.lane, record.key.tier);
        let wait = self.predicted_wait(now, record.lane, &record.key);
        wait.saturating_sub(record.work.div_f64(slots))
    }

    /// Returns whether a wait can be predicted from measured speeds.
    fn measured(&self, ask: &Ask) -> bool {
        let lane = self.workers.known_lane(ask.model.as_ref());
        lane.is_some_and(|lane| self.workers.lanes[lane].measured)
    }

    /// Returns the slots that higher tiers leave to a tier, and a few in any case.
    fn left_slots(&self, now: ClockTime, lane: usize, tier: TierRank) -> f64 {
        let lane = &self.workers.lanes[lane];
        if lane.slots == 0 {
            // Nothing is predicted while no worker is known.
            return f64::INFINITY;
        }
        let slots = f64::from(lane.slots);
        let above = if self.policy.max_wait_percent().is_some() {
            lane.load.above(now, tier)
        } else {
            0.0
        };
        (slots - above).max(slots * LEFT_SHARE)
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
