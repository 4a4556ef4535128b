//! Pushback of workers: requests that they turn away for want of room.
//!
//! A worker that turns a request away gets none for a while, which doubles with each further
//! rejection in a row. Afterwards it gets as many at once as it had then, and one more with each
//! answer, up to its limit.
//!
//! A worker can name a rest in its rejection, for which it gets nothing. The host that was asked for it
//! remembers it too, since a broker that takes over does not know it.
//!
//! A worker can name the number of rejections in a second beyond which it ends. It then has at most
//! as many unanswered requests, so that it can't turn more away at once, and gets none for a second
//! after a rejection.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::name::WorkerName;

/// The time for which a worker gets no requests after its first rejection in a row.
const MIN_HOLD: Duration = Duration::from_millis(100);

/// The maximum number of times that rejections in a row double that time.
const MAX_DOUBLINGS: u32 = 4;

/// The time for which a worker that tolerates few rejections gets no requests after one.
const BRITTLE_HOLD: Duration = Duration::from_secs(1);

/// The time for which a named tolerance holds after the answer that named it.
const TOLERANCE_TIME: Duration = Duration::from_secs(10);

/// The maximum time of a rest.
pub const MAX_REST: Duration = Duration::from_hours(1);

/// The number of remembered rests from which those that have ended are forgotten at each new one.
const MAX_CURRENT_RESTS: usize = 1_024;

/// A number of rejections in a second that a worker tolerates.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RejectionTolerance(pub u32);

/// What a worker's rejections say about the requests that it takes.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::pushback::WorkerPushback;
///
/// let mut pushback = WorkerPushback::default();
/// let now = ClockTime::ZERO;
/// pushback.record_rejection(now, 3, Duration::ZERO);
/// assert_eq!(pushback.wait(now), Duration::from_millis(100));
/// assert_eq!(pushback.room(10), 3);
/// pushback.record_answer(ClockTime::from_millis(200));
/// assert_eq!(pushback.room(10), 4);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerPushback {
    /// The time until which the worker gets no requests.
    held_until: ClockTime,
    /// The rejections since the last answer to a request that was granted after the last one.
    rejections: u32,
    /// The number of requests that the worker gets at once; `None` if only its limit counts.
    room: Option<u32>,
    /// The tolerance that the worker named, and the time of the answer; `None` if it named none.
    tolerance: Option<(RejectionTolerance, ClockTime)>,
}

impl WorkerPushback {
    /// Records that the worker turned a request away while it held `running` others, and asked for
    /// a rest; zero if it asked for none.
    pub fn record_rejection(&mut self, now: ClockTime, running: u32, rest: Duration) {
        let hold = MIN_HOLD * (1 << self.rejections.min(MAX_DOUBLINGS));
        let hold = match self.tolerance(now) {
            Some(_) => hold.max(BRITTLE_HOLD),
            None => hold,
        };
        let hold = hold.max(rest.min(MAX_REST));
        self.held_until = self.held_until.max(now + hold);
        self.rejections += 1;
        let room = self.room.unwrap_or(u32::MAX);
        self.room = Some(room.min(running).max(1));
    }

    /// Records an answer to a request that was granted at `granted_at`.
    pub fn record_answer(&mut self, granted_at: ClockTime) {
        // An earlier request may have been taken just before the worker was full.
        if granted_at < self.held_until {
            return;
        }
        self.rejections = 0;
        self.room = self.room.map(|room| room.saturating_add(1));
    }

    /// Records the tolerance that a worker named in an answer; returns the time at which it is
    /// forgotten unless it is named again.
    pub fn name_tolerance(&mut self, now: ClockTime, tolerance: RejectionTolerance) -> ClockTime {
        self.tolerance = Some((tolerance, now));
        now + TOLERANCE_TIME
    }

    /// Returns the number of unanswered requests that the worker may have at most.
    #[must_use]
    pub fn max_unanswered(&self, now: ClockTime) -> u32 {
        let tolerance = self.tolerance(now);
        tolerance.map_or(u32::MAX, |tolerance| tolerance.0.max(1))
    }

    fn tolerance(&self, now: ClockTime) -> Option<RejectionTolerance> {
        let (tolerance, named_at) = self.tolerance?;
        (now.since(named_at) < TOLERANCE_TIME).then_some(tolerance)
    }

    /// Returns the time until the worker gets requests again; zero if it gets them now.
    #[must_use]
    pub fn wait(&self, now: ClockTime) -> Duration {
        self.held_until.since(now)
    }

    /// Returns how many requests a worker with the limit gets at once.
    #[must_use]
    pub fn room(&self, limit: u32) -> u32 {
        self.room.map_or(limit, |room| room.min(limit))
    }
}

/// The rests that workers asked one host for.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::pushback::RestTable;
///
/// let mut rests = RestTable::default();
/// let worker = "drafter-1".parse()?;
/// rests.record(ClockTime::ZERO, &worker, Duration::from_secs(3));
/// assert_eq!(rests.remaining(ClockTime::from_millis(1_000), &worker), Duration::from_secs(2));
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct RestTable {
    rests: BTreeMap<WorkerName, WorkerRest>,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkerRest {
    ends_at: ClockTime,
    recorded_at: ClockTime,
    /// Whether the worker may have started again since it asked for the rest.
    is_unconfirmed: bool,
}

impl RestTable {
    /// Records a rest; of several wishes, the one that ends last holds, unless the earlier one is
    /// unconfirmed.
    pub fn record(&mut self, now: ClockTime, worker: &WorkerName, rest: Duration) {
        if self.rests.len() >= MAX_CURRENT_RESTS {
            self.rests.retain(|_, rest| now < rest.ends_at);
        }
        let known = self.rests.entry(worker.clone()).or_default();
        let ends_at = now + rest.min(MAX_REST);
        *known = WorkerRest {
            ends_at: if known.is_unconfirmed {
                ends_at
            } else {
                known.ends_at.max(ends_at)
            },
            recorded_at: now,
            is_unconfirmed: false,
        };
    }

    /// Returns the time until the end of a worker's rest; zero if it asked for none.
    #[must_use]
    pub fn remaining(&self, now: ClockTime, worker: &WorkerName) -> Duration {
        let rest = self.rests.get(worker);
        rest.map_or(Duration::ZERO, |rest| rest.ends_at.since(now))
    }

    /// Records that a worker has registered another start. Its rest holds until a health check shows that
    /// this start takes requests, since it may be the one that asked for it.
    pub fn mark_unconfirmed(&mut self, worker: &WorkerName) {
        if let Some(rest) = self.rests.get_mut(worker) {
            rest.is_unconfirmed = true;
        }
    }

    /// Returns whether a worker rests, and a health check would show whether it still does.
    #[must_use]
    pub fn is_unconfirmed(&self, now: ClockTime, worker: &WorkerName) -> bool {
        let rest = self.rests.get(worker);
        rest.is_some_and(|rest| rest.is_unconfirmed && now < rest.ends_at)
    }

    /// Returns the workers whose rest is unconfirmed.
    pub fn unconfirmed(&self, now: ClockTime) -> impl Iterator<Item = &WorkerName> {
        let workers = self.rests.keys();
        workers.filter(move |worker| self.is_unconfirmed(now, worker))
    }

    /// Forgets the rest of a worker that answered a health check sent at `checked_at` as sound.
    pub fn settle(&mut self, worker: &WorkerName, checked_at: ClockTime) {
        let rest = self.rests.get(worker);
        if rest.is_some_and(|rest| rest.recorded_at <= checked_at) {
            self.rests.remove(worker);
        }
    }
}
