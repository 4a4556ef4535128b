//! The timers of a broker and its periodic sweep.

use std::time::Duration;

use super::CellBroker;
use super::grants::GrantState;
use super::waiting::QueueKind;
use crate::ask::BrokerAction;
use crate::clock::ClockTime;
use crate::name::GrantId;
use crate::name::RequestId;

/// The interval at which speeds, stragglers and predicted waits are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The resolution of [`ClockTime`]: a latest start has passed one step after it.
const CLOCK_RESOLUTION: Duration = Duration::from_micros(1);

/// The kinds of timers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum BrokerTimer {
    /// A grant expires, or its slot is released because its host was lost.
    Grant(GrantId),
    /// The wait of a request for one particular worker times out.
    Deferral(RequestId),
    /// The worker at the position may get a probe.
    Worker(usize),
}

/// A timer with its due time, ordered by time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TimerKey {
    pub at: ClockTime,
    pub timer: BrokerTimer,
}

impl CellBroker {
    /// Returns the time at which [`Self::tick`] must be called next; `None` if no call is needed.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        let timer = self.timers.first().map(|key| key.at);
        let start = self
            .waiting
            .next_latest_start()
            .map(|start| start + CLOCK_RESOLUTION);
        let takeover = (!self.taken_over).then_some(self.takeover_until);
        let sweep = (self.waiting.len() > 0).then_some(self.next_sweep);
        [timer, start, takeover, sweep].into_iter().flatten().min()
    }

    /// Adds a timer.
    pub(super) fn set_timer(&mut self, at: ClockTime, timer: BrokerTimer) {
        self.timers.insert(TimerKey { at, timer });
    }

    /// Runs the timers that are due, ends the takeover, refuses late requests and sweeps.
    pub(super) fn advance(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        while let Some(key) = self.timers.first().copied()
            && key.at <= now
        {
            self.timers.pop_first();
            self.timer_due(now, key);
        }
        if !self.taken_over && self.takeover_until <= now {
            self.taken_over = true;
            self.rebuild_shares(now);
            self.refuse_unserved(now, actions);
        }
        while let Some(request) = self.waiting.find_overdue(now) {
            self.refuse_or_demote(now, request, actions);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.measure_running(now);
            self.workers.measure(now);
            self.reopen_late(now);
            self.detect_stragglers(now);
            self.sweep_waiting(now, actions);
        }
    }

    fn timer_due(&mut self, now: ClockTime, key: TimerKey) {
        match key.timer {
            BrokerTimer::Grant(grant) => self.grant_due(now, grant),
            BrokerTimer::Deferral(request) => self.deferral_due(now, request),
            BrokerTimer::Worker(worker) => self.workers.refresh(now, worker),
        }
    }

    fn grant_due(&mut self, now: ClockTime, grant: GrantId) {
        let Some(record) = self.grants.get_mut(grant) else {
            return;
        };
        if record.state == GrantState::Issued && record.expires <= now {
            record.state = GrantState::Expired;
        }
        if record.release_at.is_some_and(|until| until <= now) {
            self.free_slot(now, grant);
        }
    }

    fn deferral_due(&mut self, now: ClockTime, request: RequestId) {
        let Some(record) = self.waiting.get_mut(request) else {
            return;
        };
        if record.deferred_until.is_none_or(|until| now < until) {
            return;
        }
        record.deferral_spent = true;
        self.requeue(now, request, QueueKind::Ready);
    }
}
