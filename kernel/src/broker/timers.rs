//! What a broker does because time has passed.

use std::time::Duration;

use super::CellBroker;
use super::grants::GrantState;
use super::waiting::WaitPlace;
use crate::ask::BrokerAction;
use crate::ask::RefusalReason;
use crate::clock::ClockTime;
use crate::name::GrantId;
use crate::name::RequestId;

/// The time between two looks at speeds, stragglers and predicted waits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest time by which a clock differs.
const CLOCK_STEP: Duration = Duration::from_micros(1);

/// What is due at a certain time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum BrokerTimer {
    /// A grant expires, or its slot is free after its host was lost.
    Grant(GrantId),
    /// The patience of a request ends.
    Patience(RequestId),
    /// A worker may get a probe.
    Worker(usize),
}

/// A timer and its time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TimerKey {
    pub at: ClockTime,
    pub timer: BrokerTimer,
}

impl CellBroker {
    /// Returns the time at which [`Self::tick`] has something to do, if no event comes before.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        let timer = self.timers.first().map(|key| key.at);
        let start = self.waiting.first_start().map(|start| start + CLOCK_STEP);
        let takeover = (!self.taken_over).then_some(self.takeover_until);
        let sweep = (self.waiting.len() > 0).then_some(self.next_sweep);
        [timer, start, takeover, sweep].into_iter().flatten().min()
    }

    /// Sets a timer.
    pub(super) fn set_timer(&mut self, at: ClockTime, timer: BrokerTimer) {
        self.timers.insert(TimerKey { at, timer });
    }

    /// Carries out all that became due.
    pub(super) fn advance(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        while let Some(key) = self.timers.first().copied()
            && key.at <= now
        {
            self.timers.pop_first();
            self.timer_due(now, key);
        }
        if !self.taken_over && self.takeover_until <= now {
            self.taken_over = true;
            self.refuse_unserved(now, actions);
        }
        while let Some(request) = self.waiting.past_start(now) {
            self.refuse_waiting(now, request, RefusalReason::Deadline, actions);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.workers.measure(now);
            self.find_stragglers(now);
            self.sweep_waiting(now, actions);
        }
    }

    fn timer_due(&mut self, now: ClockTime, key: TimerKey) {
        match key.timer {
            BrokerTimer::Grant(grant) => self.grant_due(now, grant),
            BrokerTimer::Patience(request) => self.patience_due(now, request),
            BrokerTimer::Worker(worker) => self.workers.refresh(now, worker),
        }
    }

    fn grant_due(&mut self, now: ClockTime, grant: GrantId) {
        let Some(record) = self.grants.get_mut(grant) else {
            return;
        };
        if record.state == GrantState::Issued && record.expires <= now {
            record.state = GrantState::Lapsed;
        }
        if record.lost_until.is_some_and(|until| until <= now) {
            self.free_slot(now, grant);
        }
    }

    fn patience_due(&mut self, now: ClockTime, request: RequestId) {
        let Some(record) = self.waiting.get_mut(request) else {
            return;
        };
        if record.patient_until.is_none_or(|until| now < until) {
            return;
        }
        record.patience_spent = true;
        self.move_waiting(now, request, WaitPlace::Ready);
    }
}
