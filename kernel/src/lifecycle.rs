//! The life cycle of one request, as a typestate.
//!
//! A request is placed in a tier, waits, is granted a slot and is dispatched to an upstream. Only a
//! granted request can be dispatched, the dispatch consumes the grant, and only a [`RetryPermit`]
//! leads from the dispatched state back to the waiting one. Such permits exist for work that may
//! run twice and for work that the worker reported as not run. Any other request is therefore
//! dispatched at most once. Only a waiting request can end with [`RunOutcome::No`]; the types do
//! not exclude that an earlier dispatch of work that may run twice has run.

use std::time::Duration;

use thiserror::Error;

use crate::ask::Grant;
use crate::attempt::RetryPermit;
use crate::clock::ClockTime;
use crate::name::RequestId;
use crate::name::TierRank;

/// Whether a request ran, as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RunOutcome {
    /// The request certainly did not run.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Yes,
}

impl RunOutcome {
    /// Returns the outcome in the form that is sent to callers.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::lifecycle::RunOutcome;
    ///
    /// assert_eq!(RunOutcome::Unknown.as_str(), "unknown");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// The state of a request that waits for a slot.
#[derive(Debug)]
pub struct WaitingState(());

/// The state of a request that holds a grant and may be dispatched.
#[derive(Debug)]
pub struct GrantedState {
    grant: Grant,
    received: ClockTime,
}

/// The state of a request that was handed to an upstream.
#[derive(Debug)]
pub struct DispatchedState {
    grant: Grant,
    dispatched: ClockTime,
}

/// A request in one state of its life cycle.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::ask::Grant;
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::lifecycle::RequestLife;
/// use borageladder_kernel::name::GrantId;
/// use borageladder_kernel::name::RequestId;
/// use borageladder_kernel::name::TierRank;
///
/// let request = RequestId { incarnation: 1, sequence: 1 };
/// let grant = Grant {
///     grant: GrantId { broker: 1, sequence: 1 },
///     request,
///     worker: "drafter-1".parse()?,
///     expires_in: Duration::from_secs(1),
///     choice: String::new(),
/// };
/// let waiting = RequestLife::waiting(request, TierRank(0), ClockTime::MAX);
/// let granted = waiting.granted(grant, ClockTime::ZERO);
/// let dispatched = granted.dispatch(ClockTime::from_millis(10)).map_err(|(error, _)| error)?;
/// assert_eq!(dispatched.grant().worker.as_str(), "drafter-1");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct RequestLife<S> {
    request: RequestId,
    tier: TierRank,
    deadline: ClockTime,
    state: S,
}

/// The reason why a granted request can't be dispatched.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DispatchError {
    /// The grant expired before it was used.
    #[error("the grant expired {late:?} ago")]
    GrantExpired {
        /// The time since the expiry.
        late: Duration,
    },
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    DeadlinePassed,
}

impl<S> RequestLife<S> {
    /// Returns the identifier of the request.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the tier of the request.
    #[must_use]
    pub const fn tier(&self) -> TierRank {
        self.tier
    }

    /// Returns the time by which the complete answer is due.
    #[must_use]
    pub const fn deadline(&self) -> ClockTime {
        self.deadline
    }

    fn with_state<T>(self, state: T) -> RequestLife<T> {
        RequestLife {
            request: self.request,
            tier: self.tier,
            deadline: self.deadline,
            state,
        }
    }
}

impl RequestLife<WaitingState> {
    /// Creates a request that was placed in a tier and waits for a slot.
    #[must_use]
    pub const fn waiting(request: RequestId, tier: TierRank, deadline: ClockTime) -> Self {
        Self {
            request,
            tier,
            deadline,
            state: WaitingState(()),
        }
    }

    /// Accepts a grant that was received at the given time.
    #[must_use]
    pub fn granted(self, grant: Grant, received: ClockTime) -> RequestLife<GrantedState> {
        self.with_state(GrantedState { grant, received })
    }

    /// Ends the request as refused, without having run.
    #[must_use]
    pub fn refuse(self) -> RunOutcome {
        RunOutcome::No
    }
}

impl RequestLife<GrantedState> {
    /// Returns the grant.
    #[must_use]
    pub const fn grant(&self) -> &Grant {
        &self.state.grant
    }

    /// Uses the grant: after this call the request counts as handed to the upstream.
    ///
    /// # Errors
    ///
    /// Returns the reason and the request in its waiting state if the grant has expired or the
    /// deadline has passed.
    pub fn dispatch(
        self,
        now: ClockTime,
    ) -> Result<RequestLife<DispatchedState>, (DispatchError, RequestLife<WaitingState>)> {
        let expiry = self.state.received + self.state.grant.expires_in;
        if now >= expiry {
            let error = DispatchError::GrantExpired {
                late: now.since(expiry),
            };
            return Err((error, self.release_grant()));
        }
        if now >= self.deadline {
            return Err((DispatchError::DeadlinePassed, self.release_grant()));
        }
        let grant = self.state.grant.clone();
        Ok(self.with_state(DispatchedState {
            grant,
            dispatched: now,
        }))
    }

    /// Releases the grant unused and returns the request to its waiting state.
    #[must_use]
    pub fn release_grant(self) -> RequestLife<WaitingState> {
        self.with_state(WaitingState(()))
    }
}

impl RequestLife<DispatchedState> {
    /// Returns the grant that was used.
    #[must_use]
    pub const fn grant(&self) -> &Grant {
        &self.state.grant
    }

    /// Returns the time of the dispatch.
    #[must_use]
    pub const fn dispatched(&self) -> ClockTime {
        self.state.dispatched
    }

    /// Returns a second life of the request, under an identifier of its own, for a dispatch beside
    /// this one, which the permit allows.
    #[must_use]
    pub const fn hedge(
        &self,
        _permit: RetryPermit,
        request: RequestId,
    ) -> RequestLife<WaitingState> {
        RequestLife::waiting(request, self.tier, self.deadline)
    }

    /// Returns the request to its waiting state for a retry, which the permit allows.
    #[must_use]
    pub fn retry(self, _permit: RetryPermit) -> RequestLife<WaitingState> {
        self.with_state(WaitingState(()))
    }

    /// Ends the request after its complete answer was received.
    #[must_use]
    pub fn finish(self) -> RunOutcome {
        RunOutcome::Yes
    }

    /// Ends the request without a complete answer, so that it is unknown whether it ran.
    #[must_use]
    pub fn end_unknown(self) -> RunOutcome {
        RunOutcome::Unknown
    }
}
