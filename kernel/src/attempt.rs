//! Rules for dispatching a request to a worker again.
//!
//! A [`RetryPermit`] for a further dispatch requires either a [`Retryable`], which only work that
//! may run more than once provides, or a [`NotRunProof`], the statement of a worker that it did not
//! run the request. The types make any other second dispatch impossible to express.

use serde::Deserialize;
use serde::Serialize;

/// The kind of work of a request, which determines whether it may be retried.
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
    /// Returns the right to retry the work, or `None` if it may run at most once.
    #[must_use]
    pub const fn retryable(self) -> Option<Retryable> {
        match self {
            Self::Safe | Self::Stream { resumable: true } => Some(Retryable(())),
            Self::Unsafe | Self::Stream { resumable: false } => None,
        }
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The proof that work may run again, created by [`WorkKind::retryable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retryable(());

/// A worker's statement that it did not run a request that was dispatched to it.
#[derive(Debug, Eq, PartialEq)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Creates the proof; call this only after the worker has made the statement.
    #[must_use]
    pub const fn stated() -> Self {
        Self(())
    }
}

/// The permit for one further dispatch.
#[derive(Debug, Eq, PartialEq)]
pub struct RetryPermit(());

/// Counts the dispatches of one request, and those of them that may have run.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::attempt::DispatchTally;
/// use borageladder_kernel::attempt::WorkKind;
///
/// let mut dispatches = DispatchTally::new(2);
/// dispatches.record_dispatch();
/// let right = WorkKind::Safe.retryable().expect("safe work may be retried");
/// assert!(dispatches.permit_retry(right).is_some());
/// dispatches.record_dispatch();
/// assert!(dispatches.permit_retry(right).is_none());
/// assert!(WorkKind::Unsafe.retryable().is_none());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchTally {
    max_runs: u32,
    runs: u32,
    dispatches: u32,
}

/// The maximum number of dispatches of one request, including those that workers rejected.
const MAX_DISPATCHES: u32 = 4;

impl DispatchTally {
    /// Creates the tally of a request that may run at most `max_runs` times.
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
    pub const fn count(&self) -> u32 {
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

    /// Permits a further run of retryable work; `None` once its runs or dispatches are used up.
    pub const fn permit_retry(&mut self, _right: Retryable) -> Option<RetryPermit> {
        if self.runs < self.max_runs && self.dispatches < MAX_DISPATCHES {
            Some(RetryPermit(()))
        } else {
            None
        }
    }

    /// Permits a further dispatch after a worker stated that it did not run the last one.
    ///
    /// That dispatch no longer counts as a run. Returns `None` once the dispatches are used up.
    pub const fn permit_after_rejection(&mut self, _proof: &NotRunProof) -> Option<RetryPermit> {
        self.runs = self.runs.saturating_sub(1);
        if self.dispatches < MAX_DISPATCHES {
            Some(RetryPermit(()))
        } else {
            None
        }
    }
}
