//! Rules for dispatching a request to a worker again.
//!
//! A [`RepeatPermit`] for a further dispatch requires either a [`Repeatable`], which only work that
//! may run more than once provides, or a [`NotExecuted`], the statement of a worker that it did not
//! run the request. The types make any other second dispatch impossible to express.

use serde::Deserialize;
use serde::Serialize;

/// The kind of work of a request, which determines whether it may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum WorkKind {
    /// Idempotent work, which may run any number of times.
    Safe,
    /// Non-idempotent work, which runs at most once.
    Unsafe,
    /// Work whose answer is a stream of events.
    Stream {
        /// Whether another worker may resume the stream after the last event.
        resumable: bool,
    },
}

impl WorkKind {
    /// Returns the right to repeat the work, or `None` if it may run at most once.
    #[must_use]
    pub const fn repeatable(self) -> Option<Repeatable> {
        match self {
            Self::Safe | Self::Stream { resumable: true } => Some(Repeatable(())),
            Self::Unsafe | Self::Stream { resumable: false } => None,
        }
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The proof that work may run again, created by [`WorkKind::repeatable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Repeatable(());

/// A worker's statement that it did not run a request that was dispatched to it.
#[derive(Debug, Eq, PartialEq)]
pub struct NotExecuted(());

impl NotExecuted {
    /// Creates the proof; call this only after the worker has made the statement.
    #[must_use]
    pub const fn stated() -> Self {
        Self(())
    }
}

/// The permit for one further dispatch.
#[derive(Debug, Eq, PartialEq)]
pub struct RepeatPermit(());

/// Counts the dispatches of one request, and those of them that may have run.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::attempt::AttemptLedger;
/// use borageladder_kernel::attempt::WorkKind;
///
/// let mut attempts = AttemptLedger::new(2);
/// attempts.record_dispatch();
/// let right = WorkKind::Safe.repeatable().expect("safe work may be repeated");
/// assert!(attempts.permit_repeat(right).is_some());
/// attempts.record_dispatch();
/// assert!(attempts.permit_repeat(right).is_none());
/// assert!(WorkKind::Unsafe.repeatable().is_none());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptLedger {
    max_runs: u32,
    runs: u32,
    dispatches: u32,
}

/// The maximum number of dispatches of one request, including those that workers rejected.
const MAX_DISPATCHES: u32 = 4;

impl AttemptLedger {
    /// Creates the ledger of a request that may run at most `max_runs` times.
    #[must_use]
    pub const fn new(max_runs: u32) -> Self {
        Self {
            max_runs,
            runs: 0,
            dispatches: 0,
        }
    }

    /// Counts a dispatch, and a run unless the worker states later that it did not run the request.
    pub const fn record_dispatch(&mut self) {
        self.runs += 1;
        self.dispatches += 1;
    }

    /// Returns the number of dispatches, including rejected ones.
    #[must_use]
    pub const fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Returns whether nothing has been dispatched yet.
    #[must_use]
    pub const fn is_undispatched(&self) -> bool {
        self.dispatches == 0
    }

    /// Returns whether at least one dispatch may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Permits a further run of repeatable work; `None` once its runs or dispatches are used up.
    pub const fn permit_repeat(&mut self, _right: Repeatable) -> Option<RepeatPermit> {
        if self.runs < self.max_runs && self.dispatches < MAX_DISPATCHES {
            Some(RepeatPermit(()))
        } else {
            None
        }
    }

    /// Permits a further dispatch after a worker stated that it did not run the last one.
    ///
    /// That dispatch no longer counts as a run. Returns `None` once the dispatches are used up.
    pub const fn permit_after_rejection(&mut self, _proof: &NotExecuted) -> Option<RepeatPermit> {
        self.runs = self.runs.saturating_sub(1);
        if self.dispatches < MAX_DISPATCHES {
            Some(RepeatPermit(()))
        } else {
            None
        }
    }
}
