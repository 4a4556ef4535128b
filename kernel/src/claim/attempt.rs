//! Attempts to make a claim and to release it.

use crate::claim::ChangeStep;
use crate::claim::ClaimChange;
use crate::claim::ClaimChangeOutcome;
use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::claim::ClaimTicket;
use crate::claim::StoredClaim;
use crate::claim::TableCall;
use crate::claim::TableReply;
use crate::table::RowRevision;

/// The maximum number of conditional writes of one attempt, each after a concurrent write
/// superseded the one before.
const MAX_CHANGES: u32 = 4;

/// The outcome of an attempt to make a claim.
#[derive(Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimAttemptOutcome {
    /// The claim is held; only its holder may run the request.
    Held(ClaimTicket),
    /// The request has already run, and its answer is stored.
    Answered {
        /// The key of the object that stores the answer.
        object: String,
    },
    /// Another request with the same key may be running.
    InProgress(ClaimRow),
    /// Another request with the same key was dispatched, and its outcome is unknown.
    Unknown(ClaimRow),
    /// The key was used for a request with other content.
    Mismatch,
    /// The claim could not be made, because the table did not answer or concurrent writes kept
    /// superseding it; the request must not run.
    Unavailable {
        /// The claim to release, because its row may have been written; `None` if it was not.
        abandoned: Option<ClaimRow>,
    },
}

/// The next step of an attempt to make a claim.
#[derive(Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimStep {
    /// The table call must be made and its reply passed to [`ClaimAttempt::step`].
    Call(ClaimAttempt, TableCall),
    /// The attempt has ended.
    Done(ClaimAttemptOutcome),
}

/// An attempt to make a claim, as a state machine without I/O.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::claim::ClaimAttempt;
/// use borageladder_kernel::claim::ClaimAttemptOutcome;
/// use borageladder_kernel::claim::ClaimNumber;
/// use borageladder_kernel::claim::ClaimRow;
/// use borageladder_kernel::claim::ClaimState;
/// use borageladder_kernel::claim::ClaimStep;
/// use borageladder_kernel::claim::ContentDigest;
/// use borageladder_kernel::claim::TableReply;
/// use borageladder_kernel::name::RequestId;
/// use borageladder_kernel::table::RowRevision;
///
/// let row = ClaimRow {
///     number: ClaimNumber(7),
///     content: ContentDigest(1),
///     host: "host-1".parse()?,
///     request: RequestId { incarnation: 1, sequence: 1 },
///     since_ms: 0,
///     state: ClaimState::Claimed,
/// };
/// let ClaimStep::Call(attempt, _) = ClaimAttempt::start(row) else { unreachable!() };
/// let step = attempt.step(TableReply::Committed { revision: RowRevision(1) });
/// assert!(matches!(step, ClaimStep::Done(ClaimAttemptOutcome::Held(_))));
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimAttempt {
    row: ClaimRow,
    change: ClaimChange,
    changes: u32,
}

impl ClaimAttempt {
    /// Starts an attempt by writing the claim on condition that no row exists for its key.
    #[must_use]
    pub fn start(row: ClaimRow) -> ClaimStep {
        Self::write(row, None, 1)
    }

    /// Processes the reply to the table call of the previous step.
    #[must_use]
    pub fn step(self, reply: TableReply) -> ClaimStep {
        Self::advance(self.row, self.changes, self.change.step(reply))
    }

    fn write(row: ClaimRow, expected: Option<RowRevision>, changes: u32) -> ClaimStep {
        let change = ClaimChange::start(row.clone(), expected);
        Self::advance(row, changes, change)
    }

    fn advance(row: ClaimRow, changes: u32, step: ChangeStep) -> ClaimStep {
        match step {
            ChangeStep::Call(change, call) => {
                let attempt = Self {
                    row,
                    change,
                    changes,
                };
                ClaimStep::Call(attempt, call)
            }
            ChangeStep::Done(ClaimChangeOutcome::Written { revision }) => {
                ClaimStep::Done(ClaimAttemptOutcome::Held(ClaimTicket::new(row, revision)))
            }
            ChangeStep::Done(ClaimChangeOutcome::Superseded(found)) => {
                Self::resolve_conflict(row, changes, found)
            }
            ChangeStep::Done(ClaimChangeOutcome::Unresolved { may_be_written }) => {
                let abandoned = may_be_written.then_some(row);
                ClaimStep::Done(ClaimAttemptOutcome::Unavailable { abandoned })
            }
        }
    }

    fn resolve_conflict(row: ClaimRow, changes: u32, found: Option<StoredClaim>) -> ClaimStep {
        let free = found
            .as_ref()
            .is_none_or(|claim| claim.row.state == ClaimState::Released);
        match found {
            found if free && changes < MAX_CHANGES => {
                let revision = found.map(|claim| claim.revision);
                Self::write(row, revision, changes + 1)
            }
            Some(claim) if !free => ClaimStep::Done(repeat_outcome(&row, claim.row)),
            _ => ClaimStep::Done(ClaimAttemptOutcome::Unavailable { abandoned: None }),
        }
    }
}

fn repeat_outcome(row: &ClaimRow, found: ClaimRow) -> ClaimAttemptOutcome {
    if row.content != found.content {
        return ClaimAttemptOutcome::Mismatch;
    }
    match found.state {
        ClaimState::Answered { object } => ClaimAttemptOutcome::Answered { object },
        ClaimState::Unknown => ClaimAttemptOutcome::Unknown(found),
        ClaimState::Claimed | ClaimState::Released => ClaimAttemptOutcome::InProgress(found),
    }
}

/// The outcome of an attempt to release a claim.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ReleaseOutcome {
    /// The claim is not held, and no delayed write can establish it.
    Released,
    /// The release could not be completed, and the claim may still be held.
    Unresolved,
}

/// The next step of an attempt to release a claim.
#[expect(
    clippy::large_enum_variant,
    reason = "a step is destructured right where it is returned"
)]
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ReleaseStep {
    /// The table call must be made and its reply passed to [`ReleaseAttempt::step`].
    Call(ReleaseAttempt, TableCall),
    /// The attempt has ended.
    Done(ReleaseOutcome),
}

/// An attempt to release a claim whose request was not and will not be dispatched.
///
/// It also resolves a claim whose row may or may not have been written: it writes a released row
/// in its place, so that a delayed write of the claim fails its revision check.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReleaseAttempt {
    row: ClaimRow,
    change: ClaimChange,
    changes: u32,
}

impl ReleaseAttempt {
    /// Starts to release the claim; `expected` is the last known revision of its row, or `None` if
    /// it is unknown whether the claim was written.
    #[must_use]
    pub fn start(row: &ClaimRow, expected: Option<RowRevision>) -> ReleaseStep {
        Self::write(row.with_state(ClaimState::Released), expected, 1)
    }

    /// Processes the reply to the table call of the previous step.
    #[must_use]
    pub fn step(self, reply: TableReply) -> ReleaseStep {
        Self::advance(self.row, self.changes, self.change.step(reply))
    }

    fn write(row: ClaimRow, expected: Option<RowRevision>, changes: u32) -> ReleaseStep {
        let change = ClaimChange::start(row.clone(), expected);
        Self::advance(row, changes, change)
    }

    fn advance(row: ClaimRow, changes: u32, step: ChangeStep) -> ReleaseStep {
        match step {
            ChangeStep::Call(change, call) => {
                let attempt = Self {
                    row,
                    change,
                    changes,
                };
                ReleaseStep::Call(attempt, call)
            }
            ChangeStep::Done(ClaimChangeOutcome::Written { .. }) => {
                ReleaseStep::Done(ReleaseOutcome::Released)
            }
            ChangeStep::Done(ClaimChangeOutcome::Superseded(found)) => {
                Self::resolve_conflict(row, changes, found)
            }
            ChangeStep::Done(ClaimChangeOutcome::Unresolved { .. }) => {
                ReleaseStep::Done(ReleaseOutcome::Unresolved)
            }
        }
    }

    fn resolve_conflict(row: ClaimRow, changes: u32, found: Option<StoredClaim>) -> ReleaseStep {
        // A delayed write of this claim may expect the revision of a row that another request
        // released, so such a row is overwritten too.
        let overwritable = found.filter(|claim| match claim.row.state {
            ClaimState::Released => true,
            ClaimState::Claimed => claim.row.number == row.number,
            ClaimState::Answered { .. } | ClaimState::Unknown => false,
        });
        match overwritable {
            Some(_) if changes == MAX_CHANGES => ReleaseStep::Done(ReleaseOutcome::Unresolved),
            Some(claim) => Self::write(row, Some(claim.revision), changes + 1),
            None => ReleaseStep::Done(ReleaseOutcome::Released),
        }
    }
}
