//! The life of one request, as a typestate.
//!
//! A request is placed, waits, is granted a slot and is dispatched. Only a granted request can be
//! dispatched, the dispatch consumes the grant, and only a [`RepeatPermit`] leads from a state after
//! the dispatch back to one before it. Such permits exist for work that may run twice and for work
//! that a worker said it did not run. So any other request crosses the line to an upstream at most
//! once, and only the states before that line can end as "not run".

use std::time::Duration;

use thiserror::Error;

use crate::ask::Grant;
use crate::attempt::RepeatPermit;
use crate::clock::ClockTime;
use crate::name::RequestId;
use crate::name::TierRank;

/// Whether a request ran, as its caller is told.
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
    /// Returns the outcome as callers read it.
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

/// A request in one state of its life.
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
    #[error("the deadline passed")]
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

    /// Returns the time at which the whole answer is due.
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

    /// Takes a grant that arrived at the given time.
    #[must_use]
    pub fn granted(self, grant: Grant, received: ClockTime) -> RequestLife<GrantedState> {
        self.with_state(GrantedState { grant, received })
    }

    /// Ends the request; it did not run.
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
    /// Returns the request in its waiting state if the grant has expired or the deadline has
    /// passed.
    pub fn dispatch(
        self,
        now: ClockTime,
    ) -> Result<RequestLife<DispatchedState>, (DispatchError, RequestLife<WaitingState>)> {
        let expiry = self.state.received + self.state.grant.expires_in;
        if now >= expiry {
            let error = DispatchError::GrantExpired {
                late: now.since(expiry),
            };
            return Err((error, self.give_back()));
        }
        if now >= self.deadline {
            return Err((DispatchError::DeadlinePassed, self.give_back()));
        }
        let grant = self.state.grant.clone();
        Ok(self.with_state(DispatchedState {
            grant,
            dispatched: now,
        }))
    }

    /// Gives the grant back without using it.
    #[must_use]
    pub fn give_back(self) -> RequestLife<WaitingState> {
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

    /// Takes the request back to where it waits for a slot, as far as the permit allows.
    #[must_use]
    pub fn repeat(self, _permit: RepeatPermit) -> RequestLife<WaitingState> {
        self.with_state(WaitingState(()))
    }

    /// Ends the request after its whole answer arrived.
    #[must_use]
    pub fn finish(self) -> RunOutcome {
        RunOutcome::Yes
    }

    /// Ends the request without a whole answer; whether it ran can't be told.
    #[must_use]
    pub fn lose(self) -> RunOutcome {
        RunOutcome::Unknown
    }
}
