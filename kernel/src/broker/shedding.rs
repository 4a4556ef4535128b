//! Refusals: which request, for which reason, and when to come back.
//!
//! A refusal for lack of room takes the lowest tier that waits in the cell. A refusal for a deadline
//! counts only the work that is served before the request, all of it of the same or a higher tier, so
//! that refusing a lower tier instead could not help.

use std::time::Duration;

use super::CellBroker;
use super::waiting::WaitingRecord;
use crate::ask::Ask;
use crate::ask::BrokerAction;
use crate::ask::Refusal;
use crate::ask::RefusalReason;
use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::RequestId;
use crate::queue::QueueOrder;
use crate::returns::ReturnRequest;
use crate::returns::SHORTEST_RETURN;

/// The longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_mins(5);

/// The number of waiting requests whose prediction is renewed in one sweep.
const SWEEP_SIZE: usize = 256;

impl CellBroker {
    /// Refuses requests until no more than the bound wait.
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
    /// Within the tier the one with the earliest latest start and the one served last are compared.
    fn shedding_victim(&self, now: ClockTime) -> Option<RequestId> {
        let last = self.waiting.last()?;
        if self.policy.order() == QueueOrder::Arrival {
            return Some(last);
        }
        let tightest = self.waiting.tightest_of_lowest()?;
        if self.slack(now, tightest) < self.slack(now, last) {
            Some(tightest)
        } else {
            Some(last)
        }
    }

    /// Returns the time by which a request is predicted to start before its latest start, in
    /// microseconds; negative if it starts too late.
    fn slack(&self, now: ClockTime, request: RequestId) -> i64 {
        let Some(record) = self.waiting.get(request) else {
            return i64::MAX;
        };
        let start = now + self.remaining_wait(now, record);
        signed(record.latest_start) - signed(start)
    }

    /// Refuses requests that can no longer finish in time, looking at some in each call.
    pub(super) fn sweep_waiting(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        if !self.policy.refuses_early() || !self.taken_over {
            return;
        }
        for _ in 0..SWEEP_SIZE.min(self.waiting.len()) {
            let Some(entry) = self.waiting.before_or_last(self.swept) else {
                return;
            };
            self.swept = Some(entry.key);
            self.renew_start(entry.request);
            if self.slack(now, entry.request) < 0 {
                self.refuse_waiting(now, entry.request, RefusalReason::Deadline, actions);
            }
        }
    }

    /// Computes the latest start of a waiting request again, from what is known now.
    fn renew_start(&mut self, request: RequestId) {
        let Some(record) = self.waiting.get(request) else {
            return;
        };
        let quickest = self.service_estimate(record.lane, &record.ask).quickest;
        let budget = record.deadline.since(record.since);
        let latest_start = record.since + self.longest_wait(&record.ask, budget, quickest);
        self.waiting.set_latest_start(request, latest_start);
    }

    /// Refuses the requests of lanes that no worker serves.
    pub(super) fn refuse_unserved(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        let unserved: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|record| !self.served(record.lane))
            .map(|record| record.ask.request)
            .collect();
        for request in unserved {
            self.refuse_waiting(now, request, RefusalReason::NoWorker, actions);
        }
    }

    /// Refuses a waiting request.
    pub(super) fn refuse_waiting(
        &mut self,
        now: ClockTime,
        request: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<BrokerAction>,
    ) {
        let Some(record) = self.take_waiting(now, request) else {
            return;
        };
        let late = self.lateness(now, &record);
        let remaining = record.deadline.since(now);
        let after = self.return_after(now, record.lane, &record.ask, remaining, late);
        Self::refuse_ask(record.host, &record.ask, reason, after, actions);
    }

    /// Refuses an ask that never waited.
    pub(super) fn refuse_at_once(
        host: HostName,
        ask: &Ask,
        reason: RefusalReason,
        actions: &mut Vec<BrokerAction>,
    ) {
        Self::refuse_ask(host, ask, reason, SHORTEST_RETURN, actions);
    }

    /// Returns the time after which the caller of a refused ask is to come back, with the time that it
    /// has left and the time before which there is no room for certain.
    pub(super) fn return_after(
        &mut self,
        now: ClockTime,
        lane: usize,
        ask: &Ask,
        remaining: Duration,
        earliest: Duration,
    ) -> Duration {
        if !self.policy.staggers_retries() {
            return earliest.clamp(SHORTEST_RETURN, LONGEST_RETRY);
        }
        let work = self.service_estimate(lane, ask).work;
        let lane = &mut self.workers.lanes[lane];
        let refused = ReturnRequest {
            tier: ask.tier,
            earliest,
            remaining,
            work,
            slots: lane.slots,
        };
        lane.returns.book(now, &refused)
    }

    /// Refuses an ask whose caller may come back after a time.
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

    /// Returns the time until the work before a request is done.
    fn lateness(&self, now: ClockTime, record: &WaitingRecord) -> Duration {
        let start = now + self.predicted_wait(now, record.lane, &record.key);
        start.since(record.latest_start).max(start.since(now))
    }
}

fn signed(time: ClockTime) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
