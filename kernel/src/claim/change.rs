//! A conditional write of a claim's row, which reads the row back if the reply is lost.

use crate::claim::ClaimRow;
use crate::claim::StoredClaim;
use crate::table::RowRevision;

/// The maximum number of table calls per change.
pub const MAX_TABLE_CALLS: u32 = 4;

/// A call to the platform's table for the row of one claim.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum TableCall {
    /// Writes the row if it has the expected revision.
    Write {
        /// The revision that the row must have; `None` means that it must be absent.
        expected: Option<RowRevision>,
        /// The value to write.
        row: ClaimRow,
    },
    /// Reads the row.
    Read,
}

/// The result of a table call.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum TableReply {
    /// The row was written.
    Committed {
        /// The revision of the row.
        revision: RowRevision,
    },
    /// The row was not written, because it does not have the expected revision; holds the
    /// current row, or `None` if it is absent.
    Conflict(Option<StoredClaim>),
    /// The current row, or `None` if it is absent.
    Row(Option<StoredClaim>),
    /// The call was not sent, because the table could not be reached.
    Unreachable,
    /// No usable reply arrived; the row may have been written or may still be written.
    Lost,
}

/// The outcome of a change.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimChangeOutcome {
    /// The row was written, as the table confirmed or as the row that was read back shows.
    Written {
        /// The revision of the row.
        revision: RowRevision,
    },
    /// Another write changed the row, so this one will not take effect any more; it may have
    /// taken effect and been overwritten. Holds the current row, or `None` if it is absent.
    Superseded(Option<StoredClaim>),
    /// The outcome could not be determined, because the table did not answer within
    /// [`MAX_TABLE_CALLS`] calls or could not be reached.
    Unresolved {
        /// Whether the row may have been written or may still be written.
        may_be_written: bool,
    },
}

/// The next step of a change.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChangeStep {
    /// The table call must be made and its reply passed to [`ClaimChange::step`].
    Call(ClaimChange, TableCall),
    /// The change has ended.
    Done(ClaimChangeOutcome),
}

/// A conditional write of a claim's row, as a state machine without I/O.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimChange {
    row: ClaimRow,
    expected: Option<RowRevision>,
    calls: u32,
    may_be_written: bool,
}

impl ClaimChange {
    /// Starts to write the row on condition that its current revision is `expected`; `None` means
    /// that the row must be absent.
    #[must_use]
    pub fn start(row: ClaimRow, expected: Option<RowRevision>) -> ChangeStep {
        let change = Self {
            row,
            expected,
            calls: 0,
            may_be_written: false,
        };
        change.write()
    }

    /// Processes the reply to the table call of the previous step.
    #[must_use]
    pub fn step(mut self, reply: TableReply) -> ChangeStep {
        match reply {
            TableReply::Committed { revision } => {
                ChangeStep::Done(ClaimChangeOutcome::Written { revision })
            }
            TableReply::Conflict(found) => ChangeStep::Done(self.compare(found)),
            TableReply::Row(found) => {
                let revision = found.as_ref().map(|claim| claim.revision);
                if revision == self.expected {
                    return self.write();
                }
                ChangeStep::Done(self.compare(found))
            }
            TableReply::Lost => {
                self.may_be_written = true;
                self.read()
            }
            TableReply::Unreachable if self.may_be_written => self.read(),
            TableReply::Unreachable => self.give_up(),
        }
    }

    fn compare(&self, found: Option<StoredClaim>) -> ClaimChangeOutcome {
        match found {
            Some(claim) if claim.row == self.row => ClaimChangeOutcome::Written {
                revision: claim.revision,
            },
            found => ClaimChangeOutcome::Superseded(found),
        }
    }

    fn write(mut self) -> ChangeStep {
        if self.calls == MAX_TABLE_CALLS {
            return self.give_up();
        }
        self.calls += 1;
        let call = TableCall::Write {
            expected: self.expected,
            row: self.row.clone(),
        };
        ChangeStep::Call(self, call)
    }

    fn read(mut self) -> ChangeStep {
        if self.calls == MAX_TABLE_CALLS {
            return self.give_up();
        }
        self.calls += 1;
        ChangeStep::Call(self, TableCall::Read)
    }

    fn give_up(self) -> ChangeStep {
        ChangeStep::Done(ClaimChangeOutcome::Unresolved {
            may_be_written: self.may_be_written,
        })
    }
}
