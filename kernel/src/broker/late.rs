//! Late work: requests that can no longer meet their latency target, but can still be of use.
//!
//! They wait behind all requests that can be in time, and start only on slots that those leave idle.
//! A caller of a stream gives up after a gap without events, so a late request is of use only for
//! some time after its arrival.

use std::time::Duration;

use super::CellBroker;
use super::grants::GrantRecord;
use super::lanes::WorkLane;
use super::records::RunningTime;
use super::waiting::QueueKind;
use super::waiting::WaitingRecord;
use crate::ask::Ask;
use crate::ask::BrokerAction;
use crate::ask::RefusalReason;
use crate::clock::ClockTime;
use crate::name::RequestId;
use crate::policy::Choice;
use crate::policy::ChoiceReason;
use crate::policy::ChoiceView;
use crate::queue::QueueClass;
use crate::queue::QueueEntry;
use crate::queue::QueueKey;

/// The shortest gap without events after which callers abandon a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// The multiple of the latency target after which callers abandon a stream, if that is longer.
const TARGET_PATIENCE: u32 = 4;

/// The multiple of the gap target after which callers abandon a stream, if that is longer.
const GAP_PATIENCE: u32 = 8;

/// The part of a caller's patience within which a late request must start, in percent. The rest
/// covers the time to the first event and the errors of the estimates.
const USED_PATIENCE_PERCENT: u32 = 75;

/// The divisor of the time in which late work is of use that gives the maximum time that the lane's
/// slots need for the late work that waits.
const MAX_BACKLOG_DIVISOR: u32 = 2;

/// The divisor of a request's predicted slot time that gives the least remaining time assumed while
/// it runs. A request that runs longer than predicted is not about to end.
const MIN_RESIDUAL_DIVISOR: u32 = 4;

/// The divisor of the slots that gives those for which late work is admitted.
///
/// It spreads the admissions over time. Otherwise the requests that arrive first in an overload take
/// the whole backlog, and these are of no use any more when the overload ends.
const ADMISSION_DIVISOR: f64 = 2.0;

/// The time of the lane's slots by which admitted late work may be ahead of its rate.
const ADMISSION_BURST: Duration = Duration::from_millis(100);

/// The divisor of the time until slots are released in the predicted waits of requests that can be
/// in time. All of it would move some requests to the late class that could still be in time.
const OPEN_RELEASE_DIVISOR: u32 = 4;

/// The same while no late work is admitted, so that requests are refused that miss their target.
const CLOSED_RELEASE_DIVISOR: u32 = 2;

/// The admission of late work to a lane.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LateAdmission {
    /// Whether a late request had to be refused after its wait, and none could have started since.
    /// The slots are then assumed to stay in use for requests that can be in time.
    closed: bool,
    /// The slot time, in seconds, that may be admitted now; negative after work beyond the rate.
    room: f64,
    /// The time at which the room was computed.
    refilled_at: ClockTime,
}

impl LateAdmission {
    fn refill(&mut self, now: ClockTime, slots: u32) {
        let slots = f64::from(slots);
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let limit = slots * ADMISSION_BURST.as_secs_f64();
        self.room = (self.room + elapsed * slots / ADMISSION_DIVISOR).min(limit);
        self.refilled_at = now;
    }

    /// Returns whether a request may be admitted that is of use for a time after its arrival.
    ///
    /// Requests that are of use for longer than most streams are may come ahead of the rate, and those
    /// that have waited are not refused for it.
    fn admits(&self, slots: u32, useful: Duration, has_waited: bool) -> bool {
        let ahead = useful.saturating_sub(MIN_PATIENCE).as_secs_f64();
        let limit = -ahead * f64::from(slots) / ADMISSION_DIVISOR;
        !self.closed && (has_waited || self.room > limit)
    }

    fn charge(&mut self, work: Duration) {
        self.room -= work.as_secs_f64();
    }
}

/// The numbers of late requests that waited and were started or refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LateCounts {
    /// The late requests that were granted a slot.
    pub started: u64,
    /// The late requests that were refused after they had waited.
    pub refused: u64,
}

impl CellBroker {
    /// Returns the late requests started and refused since the last call.
    pub fn take_late_counts(&mut self) -> LateCounts {
        std::mem::take(&mut self.late_counts)
    }

    /// Returns the number of late requests that wait.
    #[must_use]
    pub fn late_waiting(&self) -> usize {
        let lanes = self.workers.lanes.iter();
        lanes.map(|lane| lane.tally.count(QueueClass::Late)).sum()
    }

    /// Moves a request to the late class if it is predicted to start while it is of use; returns
    /// whether it was moved.
    pub(super) fn make_late(&mut self, now: ClockTime, record: &mut WaitingRecord) -> bool {
        if !self.settings.late_work || record.ask.suspect || record.key.is_late() {
            return false;
        }
        let latest_start = self.latest_useful_start(record);
        let useful = latest_start.since(record.arrived_at);
        let lane = &mut self.workers.lanes[record.lane];
        lane.late.refill(now, lane.slots);
        let has_waited = record.arrived_at < now;
        let max_backlog = useful.saturating_mul(lane.slots) / MAX_BACKLOG_DIVISOR;
        let is_full = lane.tally.total(QueueClass::Late) >= max_backlog;
        if is_full || !lane.late.admits(lane.slots, useful, has_waited) {
            return false;
        }
        let key = QueueKey::late(record.key.tier, latest_start, record.key.sequence);
        if latest_start < now + self.late_wait(now, record.lane, &key) {
            return false;
        }
        self.workers.lanes[record.lane].late.charge(record.work);
        record.key = key;
        record.latest_start = latest_start;
        true
    }

    /// Returns the time after which a start of the request is of no use: the caller would have given
    /// up, or the answer would be predicted to miss its deadline.
    pub(super) fn latest_useful_start(&self, record: &WaitingRecord) -> ClockTime {
        let quickest = self.service_estimate(record.lane, &record.ask).quickest;
        let run = record.work.max(quickest);
        let budget = record.deadline.since(record.arrived_at);
        let by_deadline = budget.saturating_sub(run);
        let by_patience = patience(&record.ask).map(|time| time * USED_PATIENCE_PERCENT / 100);
        record.arrived_at + by_patience.map_or(by_deadline, |time| time.min(by_deadline))
    }

    /// Returns an upper estimate of the time until a late request with the key gets a slot.
    fn late_wait(&self, now: ClockTime, lane: usize, key: &QueueKey) -> Duration {
        let work_lane = &self.workers.lanes[lane];
        let reserve = self.late_reserve(now, lane);
        let slots = work_lane.slots.saturating_sub(reserve).max(1);
        let ahead = work_lane.tally.before(key) + until_release(work_lane);
        ahead.div_f64(f64::from(slots)) + self.pushback_wait(now, lane)
    }

    /// Returns the part of the slot time until slots are released that counts in the predicted wait
    /// of a new request that can be in time; zero without late work.
    pub(super) fn release_wait(&self, lane: usize) -> Duration {
        if !self.settings.late_work {
            return Duration::ZERO;
        }
        let lane = &self.workers.lanes[lane];
        let divisor = if lane.late.closed {
            CLOSED_RELEASE_DIVISOR
        } else {
            OPEN_RELEASE_DIVISOR
        };
        until_release(lane) / divisor
    }

    /// Returns the number of free slots that late work must leave to requests that can be in time.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a root of a number of slots is small and not negative"
    )]
    fn late_reserve(&self, now: ClockTime, lane: usize) -> u32 {
        // The number of slots that independent arrivals take varies by the root of its mean. One more
        // is for small lanes, in which the next slot is released late.
        let load = self.workers.lanes[lane].load.total(now);
        (load.sqrt() + load.min(1.0)).round() as u32
    }

    /// Grants a slot to the first late request that may start now; returns whether there was one.
    pub(super) fn assign_late(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) -> bool {
        let Some(entry) = self.next_late(now) else {
            return false;
        };
        self.assign_request(now, entry.request, actions);
        true
    }

    fn next_late(&self, now: ClockTime) -> Option<QueueEntry> {
        if !self.settings.late_work {
            return None;
        }
        let lanes = self.workers.lanes.iter().enumerate();
        let first = lanes.filter_map(|(position, lane)| {
            let first = lane.ready.first().filter(|first| first.key.is_late())?;
            self.has_idle_slot(now, position).then_some(first)
        });
        first.min_by_key(|entry| entry.key)
    }

    /// Admits late work again in the lanes in which it could start now.
    pub(super) fn reopen_late(&mut self, now: ClockTime) {
        for lane in 0..self.workers.lanes.len() {
            if self.workers.lanes[lane].late.closed && self.has_idle_slot(now, lane) {
                self.workers.lanes[lane].late.closed = false;
            }
        }
    }

    /// Returns whether no request that can be in time waits in the lane and more slots are free than
    /// the reserve.
    fn has_idle_slot(&self, now: ClockTime, lane: usize) -> bool {
        let work_lane = &self.workers.lanes[lane];
        // Suspects wait for each other rather than for a slot.
        let in_time = work_lane.tally.count(QueueClass::InTime);
        if in_time > work_lane.suspects.len() {
            return false;
        }
        let reserve = self.late_reserve(now, lane);
        let mut free = 0_u32;
        work_lane.available.iter().any(|worker| {
            let record = &self.workers.records[*worker];
            free = free.saturating_add(record.usable_slots(now).saturating_sub(record.used));
            free > reserve
        })
    }

    /// Refuses a waiting request that is too late for its class, or moves it to the late class.
    pub(super) fn refuse_or_demote(
        &mut self,
        now: ClockTime,
        request: RequestId,
        actions: &mut Vec<BrokerAction>,
    ) {
        if self.settings.late_work && self.demote(now, request) {
            return;
        }
        if let Some(record) = self.waiting.get(request)
            && record.key.is_late()
        {
            self.workers.lanes[record.lane].late.closed = true;
        }
        self.refuse_waiting(now, request, RefusalReason::Deadline, actions);
    }

    fn demote(&mut self, now: ClockTime, request: RequestId) -> bool {
        let Some(record) = self.waiting.get(request) else {
            return false;
        };
        let mut late = record.clone();
        if !self.make_late(now, &mut late) {
            return false;
        }
        self.remove_waiting(now, request);
        late.queue = QueueKind::Ready;
        late.deferred_until = None;
        self.insert_waiting(now, late);
        true
    }

    /// Counts a granted request among the work that runs on its worker.
    pub(super) fn count_granted(&mut self, worker: usize, waiting: &WaitingRecord) {
        if !self.settings.late_work {
            return;
        }
        self.late_counts.started += u64::from(waiting.key.is_late());
        let running = RunningTime {
            whole: waiting.work,
            left: waiting.work,
        };
        let record = &mut self.workers.records[worker];
        record.running += running;
        for lane in &record.lanes {
            self.workers.lanes[*lane].running += running;
        }
    }

    /// Recomputes the predicted slot time of the running requests.
    pub(super) fn measure_running(&mut self, now: ClockTime) {
        if !self.settings.late_work {
            return;
        }
        for record in &mut self.workers.records {
            record.running = RunningTime::default();
        }
        for grant in self.grants.iter() {
            self.workers.records[grant.worker].running += running_time(now, grant);
        }
    }
}

/// Returns the slot time that passes until the slots of a lane are released as evenly as they are
/// when requests have started at different times; zero if a slot is free.
///
/// Requests that started together, as in a burst, also end together.
fn until_release(lane: &WorkLane) -> Duration {
    if !lane.available.is_empty() {
        return Duration::ZERO;
    }
    let RunningTime { whole, left } = lane.running;
    let slots = lane.slots.max(1);
    let doubled = left.saturating_mul(2);
    let until_next = (whole / slots).min(doubled / slots);
    left.min(until_next + doubled.saturating_sub(whole))
}

/// Replaces the wait for one particular worker by a turn at an open one.
pub(super) fn without_wait(view: &ChoiceView<'_>, choice: Choice) -> Choice {
    match (choice, view.open().next()) {
        (Choice::Wait { .. }, Some(open)) => Choice::Worker {
            candidate: open.position,
            reason: ChoiceReason::Turn,
        },
        _ => choice,
    }
}

/// Returns the predicted slot time of a running request.
fn running_time(now: ClockTime, grant: &GrantRecord) -> RunningTime {
    let left = grant.work.saturating_sub(now.since(grant.started));
    RunningTime {
        whole: grant.work,
        left: left.max(grant.work / MIN_RESIDUAL_DIVISOR),
    }
}

/// Returns the gap without events after which the caller of a stream gives up; `None` if the request
/// is not a stream.
fn patience(ask: &Ask) -> Option<Duration> {
    let is_stream = ask.model.is_some() || ask.token_gap_target.is_some();
    let by_target = ask.first_token_target.unwrap_or_default() * TARGET_PATIENCE;
    let by_gap = ask.token_gap_target.unwrap_or_default() * GAP_PATIENCE;
    is_stream.then(|| MIN_PATIENCE.max(by_target).max(by_gap))
}
