//! Times at which a host announces changes of its view of the membership.

use std::time::Duration;

use crate::clock::ClockTime;

/// The number of linked hosts up to which a change is announced to all of them.
///
/// Hosts with more links receive heartbeats of each other, so that lists tell most of them nothing,
/// while their number grows with the cube of that of the hosts that start or end together.
pub const MAX_LIST_RECIPIENTS: usize = 100;

/// The number of linked hosts that a change is announced to if there are more.
const SAMPLED_RECIPIENTS: usize = 8;

/// The schedule of the member lists that a host sends because of changes: at most one in each interval,
/// however many changes it covers.
///
/// Each list goes to every linked host. Without the limit, the failure of a part of the hosts makes
/// each of the others send as many lists as hosts failed, to all others.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::membership::HEARTBEAT_INTERVAL;
/// use borageladder_kernel::membership::ListSchedule;
///
/// let at = ClockTime::from_millis;
/// let mut schedule = ListSchedule::default();
/// assert!(schedule.record_change(at(1_000), HEARTBEAT_INTERVAL));
/// // The next changes share a list, which is due an interval after the first one.
/// assert!(!schedule.record_change(at(1_010), HEARTBEAT_INTERVAL));
/// assert!(!schedule.record_change(at(1_020), HEARTBEAT_INTERVAL));
/// assert!(!schedule.take_due(at(1_499), HEARTBEAT_INTERVAL));
/// assert!(schedule.take_due(at(1_500), HEARTBEAT_INTERVAL));
/// assert!(!schedule.take_due(at(2_500), HEARTBEAT_INTERVAL));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ListSchedule {
    sent_at: Option<ClockTime>,
    pending: bool,
    /// The position among the linked hosts from which the next recipients are taken.
    next_recipient: usize,
}

impl ListSchedule {
    /// Records a change and returns whether the list is to be sent now.
    pub fn record_change(&mut self, now: ClockTime, interval: Duration) -> bool {
        self.pending = true;
        self.take_due(now, interval)
    }

    /// Returns whether a list is to be sent now, because of changes that none has covered yet.
    pub fn take_due(&mut self, now: ClockTime, interval: Duration) -> bool {
        let is_due = self.pending
            && self
                .sent_at
                .is_none_or(|sent_at| now.since(sent_at) >= interval);
        if is_due {
            self.record_sent(now);
        }
        is_due
    }

    /// Returns the linked hosts that the next list goes to: all of them, or a few in turn if there
    /// are many.
    pub fn take_recipients<'a, T>(&mut self, linked: &'a [T]) -> Vec<&'a T> {
        if linked.len() <= MAX_LIST_RECIPIENTS {
            return linked.iter().collect();
        }
        let first = self.next_recipient % linked.len();
        self.next_recipient = first + SAMPLED_RECIPIENTS;
        let in_turn = linked.iter().cycle().skip(first);
        in_turn.take(SAMPLED_RECIPIENTS).collect()
    }

    /// Records that the list was sent for another reason.
    pub fn record_sent(&mut self, now: ClockTime) {
        self.sent_at = Some(now);
        self.pending = false;
    }
}
