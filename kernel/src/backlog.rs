//! The bytes of an answer that its caller has not taken yet, and when the host stops reading from the
//! worker or cuts the caller off.
//!
//! A worker cuts off an answer that stays unread for some seconds, so a caller that reads slowly must not
//! stop the reading of its answer at once.

use std::time::Duration;

use crate::clock::ClockTime;

/// The unread bytes of one answer at which reading from the worker stops.
pub const MAX_BACKLOG_BYTES: u64 = 256 << 10;

/// The time after which a caller is cut off that takes nothing while reading is stopped for it.
pub const STALL_TIME: Duration = Duration::from_secs(5);

/// The same once the answer has ended, when no worker waits. TCP tells the host of what a caller has read in
/// steps of up to a segment, 64 KiB on loopback, so one that reads 1 KiB a second seems idle for a minute.
pub const ENDING_STALL_TIME: Duration = Duration::from_mins(1);

/// What is done next for an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BacklogStep {
    /// Further bytes are read from the worker.
    Read,
    /// Nothing is read; the caller is cut off at this time if it has taken nothing until then.
    Wait(ClockTime),
    /// The caller's connection is reset and the request cancelled.
    CutOff,
}

/// The bytes of one answer that its caller has not taken yet.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::backlog::AnswerBacklog;
/// use borageladder_kernel::backlog::BacklogStep;
/// use borageladder_kernel::backlog::MAX_BACKLOG_BYTES;
/// use borageladder_kernel::backlog::STALL_TIME;
/// use borageladder_kernel::clock::ClockTime;
///
/// let mut backlog = AnswerBacklog::default();
/// backlog.add(ClockTime::ZERO, MAX_BACKLOG_BYTES, true);
/// let limit = ClockTime::ZERO + STALL_TIME;
/// assert_eq!(backlog.step(ClockTime::ZERO), BacklogStep::Wait(limit));
/// assert_eq!(backlog.step(limit), BacklogStep::CutOff);
/// backlog.take(limit, 1, true);
/// assert_eq!(backlog.step(limit), BacklogStep::Read);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerBacklog {
    held: u64,
    /// Whether the memory of the host allows more than is held.
    has_memory: bool,
    /// The time at which the caller last took bytes, or at which bytes began to wait for it or reading
    /// stopped, if that was later.
    idle_since: ClockTime,
}

impl AnswerBacklog {
    /// Returns the bytes that the caller has not taken.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Records bytes that the caller has not taken, and whether the host has memory for what is held.
    pub fn add(&mut self, now: ClockTime, bytes: u64, has_memory: bool) {
        let is_new = self.held == 0;
        let was_stopped = self.is_stopped();
        self.held += bytes;
        self.has_memory = has_memory;
        if is_new || self.is_stopped() && !was_stopped {
            self.idle_since = now;
        }
    }

    /// Records that the caller has taken bytes, and whether the host has memory for the rest.
    pub fn take(&mut self, now: ClockTime, bytes: u64, has_memory: bool) {
        self.held = self.held.saturating_sub(bytes);
        self.has_memory = has_memory;
        if bytes > 0 {
            self.idle_since = now;
        }
    }

    /// Returns what is done while the worker writes the answer. One chunk is read in any case once the
    /// caller has taken all, so that answers go on at a host without memory.
    #[must_use]
    pub fn step(&self, now: ClockTime) -> BacklogStep {
        if self.is_stopped() {
            wait_until(now, self.idle_since + STALL_TIME)
        } else {
            BacklogStep::Read
        }
    }

    /// Returns what is done once the answer has ended: its caller has until the deadline of its request to
    /// begin, and is not cut off while it takes bytes.
    #[must_use]
    pub fn ending_step(&self, now: ClockTime, deadline: ClockTime) -> BacklogStep {
        wait_until(now, deadline.max(self.idle_since + ENDING_STALL_TIME))
    }

    const fn is_stopped(&self) -> bool {
        self.held >= MAX_BACKLOG_BYTES || (self.held > 0 && !self.has_memory)
    }
}

fn wait_until(now: ClockTime, limit: ClockTime) -> BacklogStep {
    if now < limit {
        BacklogStep::Wait(limit)
    } else {
        BacklogStep::CutOff
    }
}
