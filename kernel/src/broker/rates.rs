//! Workers that name the rate of requests that they take from all hosts together.
//!
//! The broker counts each request that it grants or that another broker of the cell granted, and
//! grants no further one before the rate lets it be sent. A limit ends with the first answer that
//! names none to a request that this broker granted after the limit was named; an answer that was on
//! its way at that time says nothing.

use std::time::Duration;

use super::CellBroker;
use super::timers::BrokerTimer;
use crate::clock::ClockTime;
use crate::name::GrantId;
use crate::pace::NamedRate;
use crate::pace::RequestPace;
use crate::pace::RequestRate;

impl CellBroker {
    /// Applies the rate that a worker named in the head of an answer.
    pub(super) fn on_rate_named(&mut self, now: ClockTime, worker: usize, rate: RequestRate) {
        self.apply_rate(now, worker, rate, now);
    }

    /// Applies the rates that an entry remembers, where they are newer than those known here.
    pub(super) fn on_rates_declared(&mut self, now: ClockTime, rates: &[NamedRate]) {
        for named in rates {
            if let Some(worker) = self.workers.position(&named.worker) {
                let age = u64::try_from(named.age.as_micros()).unwrap_or(u64::MAX);
                let named_at = ClockTime::from_micros(now.as_micros().saturating_sub(age));
                self.apply_rate(now, worker, named.rate, named_at);
            }
        }
    }

    fn apply_rate(
        &mut self,
        now: ClockTime,
        worker: usize,
        rate: RequestRate,
        named_at: ClockTime,
    ) {
        match &mut self.workers.records[worker].pace {
            Some(pace) => pace.name(rate, named_at),
            pace @ None => *pace = Some(RequestPace::new(rate, named_at)),
        }
        self.refresh_pace(now, worker);
    }

    /// Counts a request that is sent to a worker.
    pub(super) fn count_sent(&mut self, now: ClockTime, worker: usize) {
        if let Some(pace) = &mut self.workers.records[worker].pace {
            pace.sent(now);
            self.refresh_pace(now, worker);
        }
    }

    /// Returns the time until the rates and the rejections of a lane's workers let a request be sent;
    /// zero if a worker takes one now.
    pub(super) fn pushback_wait(&self, now: ClockTime, lane: usize) -> Duration {
        let lane = &self.workers.lanes[lane];
        if !lane.available.is_empty() {
            return Duration::ZERO;
        }
        let reopening = lane.reopens_at.since(now);
        if !lane.paced {
            return reopening;
        }
        let records = lane
            .workers
            .iter()
            .map(|worker| &self.workers.records[*worker]);
        let paces = records.filter_map(|record| record.pace);
        let by_rate = paces.map(|pace| pace.wait(now)).min().unwrap_or_default();
        by_rate.max(reopening)
    }

    /// Ends the limit of a worker that answered a later request without naming one, and records that
    /// it took the request.
    pub(super) fn on_answered(&mut self, now: ClockTime, grant: GrantId) {
        let Some(record) = self.grants.get(grant) else {
            return;
        };
        let Some(issued_at) = record.issued_at else {
            return;
        };
        let worker = record.worker;
        let rate_named = record.rate_named;
        let worker_record = &mut self.workers.records[worker];
        worker_record.pushback.record_answer(issued_at);
        let pace = &mut worker_record.pace;
        if !rate_named && pace.is_some_and(|pace| issued_at > pace.named_at()) {
            *pace = None;
        }
        self.workers.refresh(now, worker);
    }

    /// Recomputes whether the worker gets requests now, and sets the timer for the next one.
    fn refresh_pace(&mut self, now: ClockTime, worker: usize) {
        self.workers.refresh(now, worker);
        let wait = self.workers.records[worker].pace.map(|pace| pace.wait(now));
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            self.set_timer(now + wait, BrokerTimer::Worker(worker));
        }
    }
}
