//! Admission and withdrawal of asks, changes of the workers, and the estimates on which admission
//! is based.

use std::time::Duration;

use super::CellBroker;
use super::grants::GrantState;
use super::lanes::LaneKey;
use super::waiting::QueueKind;
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

/// The predicted time that a request holds a slot.
///
/// For a plain service, it is the estimated time of the answer instead of the sums below.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEstimate {
    /// The time to prefill the prompt and to generate an answer of typical length at the median
    /// speeds of the lane.
    pub work: Duration,
    /// The same with the low estimate of the length and at the highest speeds of the lane.
    pub quickest: Duration,
}

/// The limits on the wait of a request for a slot, from its arrival.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitLimits {
    /// The time after which the request is refused.
    pub actual: Duration,
    /// The longest predicted wait with which the request is not refused.
    pub predicted: Duration,
}

/// The minimum share of the slots that a tier is assumed to get under any load of higher tiers.
const MIN_SLOT_SHARE: f64 = 0.05;

impl CellBroker {
    pub(super) fn on_asked(
        &mut self,
        now: ClockTime,
        host: HostName,
        ask: Ask,
        actions: &mut Vec<BrokerAction>,
    ) {
        if self.waiting.get(ask.request).is_some() {
            self.shorten_deadline(now, &ask);
            return;
        }
        if self.answer_repeated_ask(now, &ask, actions) {
            return;
        }
        let any_version = LaneKey {
            model: ask.model.clone(),
            version: None,
        };
        let is_unknown = ask.model.is_some() && self.workers.find_lane(&any_version).is_none();
        if self.taken_over && is_unknown {
            Self::refuse_immediately(host, &ask, RefusalReason::NoWorker, actions);
            return;
        }
        let lane = self.workers.find_or_add_lane(now, LaneKey::of(&ask));
        if self.taken_over && !self.is_served(lane) {
            Self::refuse_immediately(host, &ask, RefusalReason::NoWorker, actions);
            return;
        }
        if ask.hedged_worker.is_some() {
            self.on_hedge_asked(now, host, ask, lane, actions);
            return;
        }
        self.admit(now, host, ask, lane, actions);
    }

    pub(super) fn on_withdrawn(&mut self, now: ClockTime, host: &HostName, request: RequestId) {
        let is_from_host = |record: &WaitingRecord| record.host == *host;
        if self.waiting.get(request).is_some_and(is_from_host) {
            self.remove_waiting(now, request);
        }
    }

    pub(super) fn on_workers_changed(
        &mut self,
        now: ClockTime,
        workers: &[CellWorker],
        actions: &mut Vec<BrokerAction>,
    ) {
        self.workers.replace(now, workers);
        self.adopt_orphans(now);
        for position in 0..self.workers.records.len() {
            if !self.workers.records[position].eligible() {
                self.wake_waiters(now, position);
            }
        }
        if self.taken_over {
            self.refuse_unserved(now, actions);
        }
    }

    /// Sends the unused grant of a repeated ask again; returns whether the request has a grant that
    /// did not expire unused.
    fn answer_repeated_ask(
        &self,
        now: ClockTime,
        ask: &Ask,
        actions: &mut Vec<BrokerAction>,
    ) -> bool {
        let Some(id) = self.grants.of_request(ask.request) else {
            return false;
        };
        let Some(record) = self.grants.get(id) else {
            return false;
        };
        if record.state == GrantState::Expired {
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

    /// Takes over the deadline of a repeated ask if it is earlier; a stopping host shortens the time of
    /// its asks. The request keeps its place in the queue.
    fn shorten_deadline(&mut self, now: ClockTime, ask: &Ask) {
        let deadline = now + ask.budget;
        let Some(record) = self.waiting.get_mut(ask.request) else {
            return;
        };
        if deadline < record.deadline {
            record.deadline = deadline;
            self.update_latest_start(ask.request);
        }
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
        let estimate = self.service_estimate(lane, &ask);
        let limits = self.wait_limits(&ask, ask.budget, estimate.quickest);
        let mut record = WaitingRecord {
            host,
            lane,
            key: self.queue_key(lane, &ask, deadline, self.arrivals),
            arrived_at: now,
            deadline,
            latest_start: now + limits.actual,
            work: estimate.work,
            queue: if ask.suspect {
                QueueKind::Exclusive
            } else {
                QueueKind::Ready
            },
            deferred_until: None,
            deferral_spent: false,
            ask,
        };
        if self.policy.refuses_early() && self.taken_over {
            let slots = self.available_slots(now, lane, record.key.tier);
            let wait = self.predicted_wait(now, lane, &record.key)
                + self.release_wait(lane).div_f64(slots);
            let wait = wait.max(self.share_wait(now, &record));
            let too_late = wait > limits.predicted && !self.can_start_now(now, &record);
            if (too_late || estimate.quickest > record.ask.budget)
                && !self.make_late(now, &mut record)
            {
                let ask = &record.ask;
                let excess = wait.saturating_sub(limits.predicted);
                let retry_after = self.retry_after_for(now, lane, ask, ask.budget, excess);
                let reason = RefusalReason::Deadline;
                self.count_refused(&record.ask.workspace, reason);
                Self::refuse_ask(record.host, &record.ask, reason, retry_after, actions);
                return;
            }
        }
        if !record.key.is_late() {
            let load = &mut self.workers.lanes[lane].load;
            load.arrived(now, record.ask.tier, estimate.work);
            self.count_arrived(now, &record);
        }
        self.insert_waiting(now, record);
        self.shed_excess(now, actions);
    }

    /// Adds a request to the waiting ones and to the queue in which it waits.
    pub(super) fn insert_waiting(&mut self, now: ClockTime, mut record: WaitingRecord) {
        self.join_shares(now, &mut record);
        let request = record.ask.request;
        let lane = &mut self.workers.lanes[record.lane];
        lane.tally.add(&record.key, record.work);
        self.waiting.insert(record);
        self.enqueue(now, request);
    }

    /// Returns whether an ask can get a free slot immediately on a worker that the policy accepts.
    ///
    /// Requests that wait for one particular worker are ignored: they don't take the free slots of
    /// other workers.
    fn can_start_now(&mut self, now: ClockTime, record: &WaitingRecord) -> bool {
        let WaitingRecord { ask, lane, .. } = record;
        if !self.workers.lanes[*lane].is_next(&record.key) {
            return false;
        }
        let mut list = std::mem::take(&mut self.scratch);
        let host_location = self.host_locations.get(&record.host);
        self.list_candidates(now, *lane, ask, host_location, &mut list);
        let view = ChoiceView {
            ask,
            remaining: ask.budget,
            deferral_spent: false,
            grants: self.grant_count,
            holders: 0,
            candidates: &list.candidates,
        };
        let suits = self.policy.has_suitable_worker(&view);
        self.scratch = list;
        suits
    }

    /// Returns how long a request may wait for a slot; `budget` is the time from its arrival to its
    /// deadline.
    ///
    /// If the policy refuses early, the wait must leave the time `quickest` for the service. Under
    /// policies with a maximum wait, the first-token target bounds it too. While the lane's speeds are
    /// not measured, predicted waits are compared with the deadline only.
    pub(super) fn wait_limits(
        &self,
        ask: &Ask,
        budget: Duration,
        quickest: Duration,
    ) -> WaitLimits {
        if !self.policy.refuses_early() {
            return WaitLimits {
                actual: budget,
                predicted: budget,
            };
        }
        let by_deadline = budget.saturating_sub(quickest);
        let target = ask.first_token_target.zip(self.policy.max_wait_percent());
        let by_target = target.map(|(target, percent)| target * percent / 100);
        let actual = by_target.map_or(by_deadline, |by_target| by_target.min(by_deadline));
        let predicted = if self.has_measured_speeds(ask) {
            actual
        } else {
            by_deadline
        };
        WaitLimits { actual, predicted }
    }

    /// Returns whether at least one worker of the lane may get new requests.
    pub(super) fn is_served(&self, lane: usize) -> bool {
        let workers = &self.workers.lanes[lane].workers;
        workers
            .iter()
            .any(|worker| self.workers.records[*worker].eligible())
    }

    /// Returns the estimated length of the answer, in tokens or, for a plain service, milliseconds.
    pub(super) fn answer_estimate(&self, ask: &Ask) -> AnswerEstimate {
        if ask.model.is_none() {
            return self.time_estimator.estimate(&ask.workspace, ask.tier);
        }
        let estimate = match ask.hinted_tokens {
            Some(hint) => AnswerEstimate::from_hint(hint),
            None => self.length_estimator.estimate(&ask.workspace, ask.tier),
        };
        match ask.max_answer_tokens {
            0 => estimate,
            limit => estimate.capped(limit),
        }
    }

    /// Returns the predicted time that a request holds a slot.
    pub(super) fn service_estimate(&self, lane: usize, ask: &Ask) -> ServiceEstimate {
        let answer = self.answer_estimate(ask);
        if ask.model.is_none() {
            return ServiceEstimate {
                work: Duration::from_millis(u64::from(answer.typical)),
                quickest: Duration::from_millis(u64::from(answer.low)),
            };
        }
        let work_lane = &self.workers.lanes[lane];
        let cached = block_tokens(self.workers.index.held(&ask.prefix));
        let uncached = ask.prompt_tokens.saturating_sub(cached);
        ServiceEstimate {
            work: work_lane.typical.prefill(uncached) + work_lane.typical.decode(answer.typical),
            quickest: work_lane.fastest.prefill(uncached) + work_lane.fastest.decode(answer.low),
        }
    }

    /// Returns the predicted time until a request with the key gets a slot.
    ///
    /// Requests of higher tiers that arrive during the wait are served first. Under policies that
    /// limit the wait by a latency target, only the slots that they are expected to leave count.
    pub(super) fn predicted_wait(&self, now: ClockTime, lane: usize, key: &QueueKey) -> Duration {
        let slots = self.available_slots(now, lane, key.tier);
        let before = self.workers.lanes[lane].tally.before(key);
        before.div_f64(slots) + self.pushback_wait(now, lane)
    }

    /// Returns the predicted time until a waiting request gets a slot.
    ///
    /// The work ahead includes the request itself, so its own part is subtracted.
    pub(super) fn remaining_wait(&self, now: ClockTime, record: &WaitingRecord) -> Duration {
        let slots = self.available_slots(now, record.lane, record.key.tier);
        let wait = self.predicted_wait(now, record.lane, &record.key);
        wait.saturating_sub(record.work.div_f64(slots))
    }

    /// Returns whether the speeds in the lane of an ask are measured rather than defaults.
    fn has_measured_speeds(&self, ask: &Ask) -> bool {
        let position = self.workers.find_lane(&LaneKey::of(ask));
        position.is_some_and(|lane| self.workers.lanes[lane].measured)
    }

    /// Returns the slots that higher tiers are expected to leave to a tier, at least a small share.
    ///
    /// The load of higher tiers counts only under policies that limit the wait by a latency target.
    pub(super) fn available_slots(&self, now: ClockTime, lane: usize, tier: TierRank) -> f64 {
        let work_lane = &self.workers.lanes[lane];
        if work_lane.slots == 0 {
            // The predicted wait becomes zero while no worker of the lane has slots.
            return f64::INFINITY;
        }
        let slots = f64::from(work_lane.slots);
        let above = if self.policy.max_wait_percent().is_some() {
            work_lane.load.above(now, tier)
        } else {
            0.0
        };
        (slots - above).max(slots * MIN_SLOT_SHARE)
    }

    /// Counts a grant and returns its identifier.
    pub(super) const fn next_grant(&mut self) -> GrantId {
        self.grant_count += 1;
        GrantId {
            broker: self.settings.incarnation,
            sequence: self.grant_count,
        }
    }
}
