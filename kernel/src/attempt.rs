//! Rules for dispatching a request to a worker again.
//!
//! A [`RetryPermit`] for a further dispatch requires either a [`Retryable`], which only work that
//! may run more than once provides, or a [`NotRunProof`], the statement of a worker that it did not
//! run the request. The types make any other second dispatch impossible to express. As the
//! configuration can change after a permit was given, [`DispatchTally::record_dispatch`] checks each
//! dispatch against the route to which the request belongs then.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

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

/// Returns whether a worker's or the store's answer with a status counts. Any other status than one of
/// a final answer (RFC 9110, section 15) is treated like an answer that was lost.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::attempt::is_final_status;
///
/// assert!(is_final_status(200) && is_final_status(599));
/// assert!(!is_final_status(101) && !is_final_status(600));
/// ```
#[must_use]
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// The proof that work may run again, created by [`WorkKind::retryable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retryable(());

/// A worker's statement that it did not run a request that was dispatched to it.
#[derive(Debug, Eq, PartialEq)]
pub struct NotRunProof(());

/// What an answer on the connection of a dispatch says about the run of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunStatement {
    /// Whether it states that the worker did not run the request.
    pub not_run: bool,
    /// Whether it names the request; one that names none may have been written before the request was
    /// read.
    pub names_request: bool,
}

impl NotRunProof {
    /// Returns the proof if the answer is one to this request and states that it did not run.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::attempt::NotRunProof;
    /// use borageladder_kernel::attempt::RunStatement;
    ///
    /// let anonymous = RunStatement { not_run: true, names_request: false };
    /// assert!(NotRunProof::of(anonymous).is_none());
    /// ```
    #[must_use]
    pub const fn of(statement: RunStatement) -> Option<Self> {
        if statement.not_run && statement.names_request {
            Some(Self(()))
        } else {
            None
        }
    }
}

/// The permit for one further dispatch.
#[derive(Debug, Eq, PartialEq)]
pub struct RetryPermit(());

/// What a route allows of repeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepeatLimits {
    /// The kind of work.
    pub kind: WorkKind,
    /// The maximum number of runs of one request.
    pub max_runs: u32,
}

impl RepeatLimits {
    /// Returns the right to a further run after `runs` runs, or `None` if the limits allow none.
    const fn retryable_after(self, runs: u32) -> Option<Retryable> {
        if runs < self.max_runs {
            self.kind.retryable()
        } else {
            None
        }
    }
}

/// A request that may have run must not be sent again, by the limits of its route.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the request may have run, and its route does not allow a further run")]
pub struct RepeatError;

/// Counts the dispatches of one request, and those of them that may have run.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::attempt::DispatchTally;
/// use borageladder_kernel::attempt::RepeatLimits;
/// use borageladder_kernel::attempt::WorkKind;
///
/// let safe = RepeatLimits { kind: WorkKind::Safe, max_runs: 2 };
/// let mut dispatches = DispatchTally::default();
/// dispatches.record_dispatch(safe).expect("the first dispatch is allowed");
/// assert!(dispatches.permit_retry(safe).is_some());
///
/// let unsafe_now = RepeatLimits { kind: WorkKind::Unsafe, max_runs: 2 };
/// assert!(dispatches.record_dispatch(unsafe_now).is_err());
/// assert!(dispatches.record_dispatch(safe).is_ok());
/// assert!(dispatches.permit_retry(safe).is_none());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DispatchTally {
    runs: u32,
    dispatches: u32,
}

/// The maximum number of dispatches of one request, including those that workers rejected.
const MAX_DISPATCHES: u32 = 4;

impl DispatchTally {
    /// Counts a dispatch, and a run unless the worker states later that it did not run the request.
    ///
    /// # Errors
    ///
    /// Returns an error if an earlier dispatch may have run and the limits, those of the route at the
    /// time of this dispatch, allow no further run; it is not counted then.
    pub const fn record_dispatch(&mut self, limits: RepeatLimits) -> Result<(), RepeatError> {
        if self.may_have_run() && limits.retryable_after(self.runs).is_none() {
            return Err(RepeatError);
        }
        self.runs += 1;
        self.dispatches += 1;
        Ok(())
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

    /// Permits a further run within the limits; `None` once its runs or dispatches are used up, or if
    /// the work may run at most once.
    #[must_use]
    pub const fn permit_retry(&self, limits: RepeatLimits) -> Option<RetryPermit> {
        if limits.retryable_after(self.runs).is_some() && self.dispatches < MAX_DISPATCHES {
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
