//! Held claims, before and after the dispatch of their requests.

use crate::claim::ChangeStep;
use crate::claim::ClaimChange;
use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::claim::ReleaseAttempt;
use crate::claim::ReleaseStep;
use crate::table::RowRevision;

/// A held claim whose request has not been written to an upstream.
#[derive(Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[must_use = "dropping a ticket leaves its claim in progress forever"]
pub struct ClaimTicket {
    row: ClaimRow,
    revision: RowRevision,
}

impl ClaimTicket {
    pub(in crate::claim) fn new(row: ClaimRow, revision: RowRevision) -> Self {
        Self { row, revision }
    }

    /// Returns the value of the row as it was when the claim was made.
    #[must_use]
    pub const fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Marks the request as dispatched, which must precede the first byte written to an upstream.
    ///
    /// The claim can't be released afterwards.
    pub fn dispatch(self) -> DispatchedTicket {
        DispatchedTicket {
            row: self.row,
            revision: self.revision,
        }
    }

    /// Starts to release the claim of a request that did not run and will not run.
    #[must_use]
    pub fn release(self) -> ReleaseStep {
        ReleaseAttempt::start(&self.row, Some(self.revision))
    }
}

/// A held claim whose request may have reached an upstream.
#[derive(Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[must_use = "dropping a dispatched claim leaves it in progress forever"]
pub struct DispatchedTicket {
    row: ClaimRow,
    revision: RowRevision,
}

impl DispatchedTicket {
    /// Returns the value of the row as it was when the claim was made.
    #[must_use]
    pub const fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Starts to record that the request ran and that its answer is stored under the key `object`.
    #[must_use]
    pub fn answer(&self, object: String) -> ChangeStep {
        let row = self.row.with_state(ClaimState::Answered { object });
        ClaimChange::start(row, Some(self.revision))
    }

    /// Starts to record that the outcome of the request is unknown.
    #[must_use]
    pub fn unknown(&self) -> ChangeStep {
        let row = self.row.with_state(ClaimState::Unknown);
        ClaimChange::start(row, Some(self.revision))
    }
}
