//! Workers that turn requests away.

use std::time::Duration;

use super::CellBroker;
use super::timers::BrokerTimer;
use crate::clock::ClockTime;
use crate::pushback::RejectionTolerance;

impl CellBroker {
    /// Records the number of rejections in a second that a worker tolerates.
    pub(super) fn on_tolerance_named(
        &mut self,
        now: ClockTime,
        worker: usize,
        tolerance: RejectionTolerance,
    ) {
        let pushback = &mut self.workers.records[worker].pushback;
        let forgotten_at = pushback.name_tolerance(now, tolerance);
        self.workers.refresh(now, worker);
        self.set_timer(forgotten_at, BrokerTimer::Worker(worker));
    }

    /// Records that a worker turned a request away, and the rest that it asked for; the request's slot
    /// is free again.
    pub(super) fn on_rejected(&mut self, now: ClockTime, worker: usize, rest: Duration) {
        let record = &mut self.workers.records[worker];
        record.pushback.record_rejection(now, record.used, rest);
        let wait = record.pushback.wait(now);
        self.workers.refresh(now, worker);
        self.set_timer(now + wait, BrokerTimer::Worker(worker));
    }
}
