//! The attempts to take a claim and to give it back.

use crate::claim::ChangeEnd;
use crate::claim::ChangeStep;
use crate::claim::ClaimChange;
use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::claim::ClaimTicket;
use crate::claim::StoredClaim;
use crate::claim::TableCall;
use crate::claim::TableReply;
use crate::table::RowRevision;

/// The most changes that one attempt makes while others overtake it.
const MAX_CHANGES: u32 = 4;

/// How an attempt to take a claim ended.
#[derive(Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimEnd {
    /// The claim stands, and its holder alone may run the request.
    Held(ClaimTicket),
    /// The request ran before; its answer is kept under the object's key.
    Answered {
        /// The key of the object.
        object: String,
    },
    /// Another request with the same key may be running.
    InProgress(ClaimRow),
    /// Another request with the same key was dispatched, and nobody knows what became of it.
    Unknown(ClaimRow),
    /// The key was used for other content.
    Mismatch,
    /// The table does not answer, so the request is not run.
    Unavailable {
        /// The claim, if it may stand and has to be given back.
        abandoned: Option<ClaimRow>,
    },
}

/// What an attempt to take a claim does next.
#[derive(Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimStep {
    /// Make the call and pass its reply to [`ClaimAttempt::step`].
    Call(ClaimAttempt, TableCall),
    /// The attempt has ended.
    Done(ClaimEnd),
}

/// An attempt to take a claim.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::claim::ClaimAttempt;
/// use borageladder_kernel::claim::ClaimEnd;
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
/// assert!(matches!(step, ClaimStep::Done(ClaimEnd::Held(_))));
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimAttempt {
    row: ClaimRow,
    change: ClaimChange,
    changes: u32,
}

impl ClaimAttempt {
    /// Starts to write the claim where none stands.
    #[must_use]
    pub fn start(row: ClaimRow) -> ClaimStep {
        Self::write(row, None, 1)
    }

    /// Takes the reply to the call of the step before.
    #[must_use]
    pub fn step(self, reply: TableReply) -> ClaimStep {
        Self::follow(self.row, self.changes, self.change.step(reply))
    }

    fn write(row: ClaimRow, expected: Option<RowRevision>, changes: u32) -> ClaimStep {
        let change = ClaimChange::start(row.clone(), expected);
        Self::follow(row, changes, change)
    }

    fn follow(row: ClaimRow, changes: u32, step: ChangeStep) -> ClaimStep {
        match step {
            ChangeStep::Call(change, call) => {
                let attempt = Self {
                    row,
                    change,
                    changes,
                };
                ClaimStep::Call(attempt, call)
            }
            ChangeStep::Done(ChangeEnd::Applied { revision }) => {
                ClaimStep::Done(ClaimEnd::Held(ClaimTicket::new(row, revision)))
            }
            ChangeStep::Done(ChangeEnd::Overtaken(found)) => Self::look(row, changes, found),
            ChangeStep::Done(ChangeEnd::Unsettled { may_stand }) => {
                let abandoned = may_stand.then_some(row);
                ClaimStep::Done(ClaimEnd::Unavailable { abandoned })
            }
        }
    }

    fn look(row: ClaimRow, changes: u32, found: Option<StoredClaim>) -> ClaimStep {
        let free = found
            .as_ref()
            .is_none_or(|claim| claim.row.state == ClaimState::Released);
        match found {
            found if free && changes < MAX_CHANGES => {
                let revision = found.map(|claim| claim.revision);
                Self::write(row, revision, changes + 1)
            }
            Some(claim) if !free => ClaimStep::Done(repeat_end(&row, claim.row)),
            _ => ClaimStep::Done(ClaimEnd::Unavailable { abandoned: None }),
        }
    }
}

fn repeat_end(row: &ClaimRow, found: ClaimRow) -> ClaimEnd {
    if row.content != found.content {
        return ClaimEnd::Mismatch;
    }
    match found.state {
        ClaimState::Answered { object } => ClaimEnd::Answered { object },
        ClaimState::Unknown => ClaimEnd::Unknown(found),
        ClaimState::Claimed | ClaimState::Released => ClaimEnd::InProgress(found),
    }
}

/// How an attempt to give a claim back ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ReleaseEnd {
    /// The claim does not stand and never will.
    Released,
    /// The table does not answer, and the claim may stand.
    Unsettled,
}

/// What an attempt to give a claim back does next.
#[expect(
    clippy::large_enum_variant,
    reason = "a step is taken apart right where it is returned"
)]
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ReleaseStep {
    /// Make the call and pass its reply to [`ReleaseAttempt::step`].
    Call(ReleaseAttempt, TableCall),
    /// The attempt has ended.
    Done(ReleaseEnd),
}

/// An attempt to give back a claim whose request was not and will not be dispatched.
///
/// It also settles a claim that may not even stand: a released row is written in its place, so
/// that the lost write finds its condition gone if it arrives later.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReleaseAttempt {
    row: ClaimRow,
    change: ClaimChange,
    changes: u32,
}

impl ReleaseAttempt {
    /// Starts to release the claim on condition of its last known revision.
    #[must_use]
    pub fn start(row: &ClaimRow, expected: Option<RowRevision>) -> ReleaseStep {
        Self::write(row.with_state(ClaimState::Released), expected, 1)
    }

    /// Takes the reply to the call of the step before.
    #[must_use]
    pub fn step(self, reply: TableReply) -> ReleaseStep {
        Self::follow(self.row, self.changes, self.change.step(reply))
    }

    fn write(row: ClaimRow, expected: Option<RowRevision>, changes: u32) -> ReleaseStep {
        let change = ClaimChange::start(row.clone(), expected);
        Self::follow(row, changes, change)
    }

    fn follow(row: ClaimRow, changes: u32, step: ChangeStep) -> ReleaseStep {
        match step {
            ChangeStep::Call(change, call) => {
                let attempt = Self {
                    row,
                    change,
                    changes,
                };
                ReleaseStep::Call(attempt, call)
            }
            ChangeStep::Done(ChangeEnd::Applied { .. }) => ReleaseStep::Done(ReleaseEnd::Released),
            ChangeStep::Done(ChangeEnd::Overtaken(found)) => Self::look(row, changes, found),
            ChangeStep::Done(ChangeEnd::Unsettled { .. }) => {
                ReleaseStep::Done(ReleaseEnd::Unsettled)
            }
        }
    }

    fn look(row: ClaimRow, changes: u32, found: Option<StoredClaim>) -> ReleaseStep {
        // A write of this claim may still be under way to a row that another request released.
        let open = found.filter(|claim| match claim.row.state {
            ClaimState::Released => true,
            ClaimState::Claimed => claim.row.number == row.number,
            ClaimState::Answered { .. } | ClaimState::Unknown => false,
        });
        match open {
            Some(_) if changes == MAX_CHANGES => ReleaseStep::Done(ReleaseEnd::Unsettled),
            Some(claim) => Self::write(row, Some(claim.revision), changes + 1),
            None => ReleaseStep::Done(ReleaseEnd::Released),
        }
    }
}
