//! Refusals: load shedding, unreachable deadlines and retry-after times.
//!
//! When too many requests wait, a request of the lowest waiting tier is shed. A refusal for a
//! deadline depends only on the work that is served before the request. All of that work is of the
//! same or a higher tier, so refusing a request of a lower tier instead would not help.

use std::time::Duration;

use super::CellBroker;
use super::asks::WaitLimits;
use super::waiting::WaitingRecord;
use crate::ask::Ask;
use crate::ask::BrokerAction;
use crate::ask::Refusal;
use crate::ask::RefusalReason;
use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::RequestId;
use crate::queue::QueueOrder;
use crate::retry_after::MIN_RETRY_AFTER;
use crate::retry_after::RetryAfterRequest;

/// The maximum retry-after time where the policy does not stagger retries.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(5);

/// The maximum number of waiting requests that one sweep checks.
const SWEEP_SIZE: usize = 256;

impl CellBroker {
    /// Refuses requests until the number of waiting requests is within the limit.
    pub(super) fn shed_excess(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        while self.waiting.len() > self.settings.max_waiting {
            let Some(victim) = self.shedding_victim(now) else {
                return;
            };
            self.refuse_waiting(now, victim, RefusalReason::Capacity, actions);
        }
    }

    /// Returns the request of the lowest tier that is least likely to finish in time.
    ///
    /// Only two requests of the tier are compared: the one with the earliest latest start and the
    /// last one in queue order. Under arrival order, the last request is shed regardless of its
    /// tier. Late work is shed before any request that can be in time. With fair shares, the last
    /// request is of the workspace that is most above its share.
    fn shedding_victim(&self, now: ClockTime) -> Option<RequestId> {
        let last = self.waiting.last()?;
        if self.policy.order() == QueueOrder::Arrival {
            return Some(last);
        }
        if self.settings.fair_shares || self.waiting.get(last)?.key.is_late() {
            return Some(last);
        }
        let tightest = self.waiting.tightest_in_lowest_tier()?;
        if self.slack(now, tightest) < self.slack(now, last) {
            Some(tightest)
        } else {
            Some(last)
        }
    }

    /// Returns the time from the predicted start of a request to its latest start, in microseconds;
    /// negative if the request is predicted to start too late.
    fn slack(&self, now: ClockTime, request: RequestId) -> i64 {
        let Some(record) = self.waiting.get(request) else {
            return i64::MAX;
        };
        let start = now + self.remaining_wait(now, record);
        signed(record.latest_start) - signed(start)
    }

    /// Updates the latest starts of waiting requests and refuses those that are predicted to start
    /// too late.
    ///
    /// Each call checks a bounded number of requests, from the back of the queue to the front, and
    /// continues where the last call ended.
    pub(super) fn sweep_waiting(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        if !self.policy.refuses_early() || !self.taken_over {
            return;
        }
        for _ in 0..SWEEP_SIZE.min(self.waiting.len()) {
            let Some(entry) = self.waiting.before_or_last(self.last_swept) else {
                return;
            };
            self.last_swept = Some(entry.key);
            if entry.key.is_late() {
                continue;
            }
            self.update_latest_start(entry.request);
            if self.is_predicted_late(now, entry.request) {
                self.refuse_or_demote(now, entry.request, actions);
            }
        }
    }

    /// Recomputes the latest start of a waiting request from the current estimates.
    pub(super) fn update_latest_start(&mut self, request: RequestId) {
        let Some(record) = self.waiting.get(request) else {
            return;
        };
        let latest_start = if record.key.is_late() {
            self.latest_useful_start(record)
        } else {
            record.arrived_at + self.limits_of(record).actual
        };
        self.waiting.set_latest_start(request, latest_start);
    }

    /// Returns whether a waiting request is predicted to start too late.
    fn is_predicted_late(&self, now: ClockTime, request: RequestId) -> bool {
        self.waiting.get(request).is_some_and(|record| {
            let start = now + self.remaining_wait(now, record);
            start > record.arrived_at + self.limits_of(record).predicted
        })
    }

    /// Returns the limits on the wait of a waiting request by the current estimates.
    fn limits_of(&self, record: &WaitingRecord) -> WaitLimits {
        let quickest = self.service_estimate(record.lane, &record.ask).quickest;
        let budget = record.deadline.since(record.arrived_at);
        self.wait_limits(&record.ask, budget, quickest)
    }

    /// Refuses the waiting requests of lanes without a worker that may get new requests.
    pub(super) fn refuse_unserved(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        let unserved: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|record| !self.is_served(record.lane))
            .map(|record| record.ask.request)
            .collect();
        for request in unserved {
            self.refuse_waiting(now, request, RefusalReason::NoWorker, actions);
        }
    }

    /// Removes a waiting request and refuses it.
    pub(super) fn refuse_waiting(
        &mut self,
        now: ClockTime,
        request: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<BrokerAction>,
    ) {
        let Some(record) = self.remove_waiting(now, request) else {
            return;
        };
        self.late_counts.refused += u64::from(record.key.is_late());
        self.count_refused(&record.ask.workspace, reason);
        let delay = self.predicted_delay(now, &record);
        let remaining = record.deadline.since(now);
        let retry_after = self.retry_after_for(now, record.lane, &record.ask, remaining, delay);
        Self::refuse_ask(record.host, &record.ask, reason, retry_after, actions);
    }

    /// Refuses an ask that was not queued, with the shortest retry-after time.
    pub(super) fn refuse_immediately(
        host: HostName,
        ask: &Ask,
        reason: RefusalReason,
        actions: &mut Vec<BrokerAction>,
    ) {
        Self::refuse_ask(host, ask, reason, MIN_RETRY_AFTER, actions);
    }

    /// Returns the retry-after time of a refused ask.
    ///
    /// `remaining` is the time left until the deadline, `earliest` the predicted time before which
    /// a retry would be refused again.
    pub(super) fn retry_after_for(
        &mut self,
        now: ClockTime,
        lane: usize,
        ask: &Ask,
        remaining: Duration,
        earliest: Duration,
    ) -> Duration {
        if !self.policy.staggers_retries() {
            return earliest.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        }
        let work = self.service_estimate(lane, ask).work;
        let work_lane = &mut self.workers.lanes[lane];
        let refused = RetryAfterRequest {
            tier: ask.tier,
            earliest,
            remaining,
            work,
            slots: work_lane.slots,
        };
        work_lane.retry_schedule.book(now, &refused)
    }

    /// Adds the refusal of an ask to the actions.
    pub(super) fn refuse_ask(
        host: HostName,
        ask: &Ask,
        reason: RefusalReason,
        retry_after: Duration,
        actions: &mut Vec<BrokerAction>,
    ) {
        let refusal = Refusal {
            request: ask.request,
            reason,
            retry_after,
        };
        actions.push(BrokerAction::Refuse {
            host,
            refusal,
            tier: ask.tier,
        });
    }

    /// Returns the predicted time until a request would get a slot, counted from now or from its
    /// latest start if that has passed.
    fn predicted_delay(&self, now: ClockTime, record: &WaitingRecord) -> Duration {
        let start = now + self.predicted_wait(now, record.lane, &record.key);
        start.since(record.latest_start).max(start.since(now))
    }
}

fn signed(time: ClockTime) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
