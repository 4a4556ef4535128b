//! The right to run a non-idempotent request, as its holder has it.

use crate::claim::ChangeStep;
use crate::claim::ClaimChange;
use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::claim::ReleaseAttempt;
use crate::claim::ReleaseStep;
use crate::table::RowRevision;

/// A claim that stands, for a request of which nothing was written to an upstream yet.
#[derive(Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[must_use = "a ticket that is dropped leaves its claim in progress for good"]
pub struct ClaimTicket {
    row: ClaimRow,
    revision: RowRevision,
}

impl ClaimTicket {
    pub(in crate::claim) fn new(row: ClaimRow, revision: RowRevision) -> Self {
        Self { row, revision }
    }

    /// Returns the claim.
    #[must_use]
    pub const fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Gives up the right to undo the claim, right before the first byte is written.
    pub fn dispatch(self) -> DispatchedClaim {
        DispatchedClaim {
            row: self.row,
            revision: self.revision,
        }
    }

    /// Starts to give the claim back, because the request did not run and will not.
    #[must_use]
    pub fn release(self) -> ReleaseStep {
        ReleaseAttempt::start(&self.row, Some(self.revision))
    }
}

/// A claim whose request may have reached an upstream.
#[derive(Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[must_use = "a dispatched claim that is dropped stays in progress for good"]
pub struct DispatchedClaim {
    row: ClaimRow,
    revision: RowRevision,
}

impl DispatchedClaim {
    /// Returns the claim.
    #[must_use]
    pub const fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Starts to record that the request ran and where its answer is kept.
    #[must_use]
    pub fn answer(&self, object: String) -> ChangeStep {
        let row = self.row.with_state(ClaimState::Answered { object });
        ClaimChange::start(row, Some(self.revision))
    }

    /// Starts to record that it is not known whether the request ran.
    #[must_use]
    pub fn unknown(&self) -> ChangeStep {
        let row = self.row.with_state(ClaimState::Unknown);
        ClaimChange::start(row, Some(self.revision))
    }
}
