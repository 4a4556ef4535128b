//! One conditional write of a claim's row, whose lost reply is settled by reading the row back.

use crate::claim::ClaimRow;
use crate::claim::StoredClaim;
use crate::table::RowRevision;

/// The most calls that one change makes before it gives up.
pub const MAX_TABLE_CALLS: u32 = 4;

/// A call to the platform's table about one claim.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum TableCall {
    /// Write the row if it has the expected revision.
    Write {
        /// The revision that the row must have; `None` means that it must be absent.
        expected: Option<RowRevision>,
        /// The value to write.
        row: ClaimRow,
    },
    /// Read the row.
    Read,
}

/// What came of a call to the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum TableReply {
    /// The write was applied.
    Committed {
        /// The revision of the row.
        revision: RowRevision,
    },
    /// The write was not applied, because the row is another than expected.
    Conflict(Option<StoredClaim>),
    /// The row as it was read.
    Row(Option<StoredClaim>),
    /// Nothing was sent.
    Unreachable,
    /// The call may have been applied, now or later.
    Lost,
}

/// How a change ended.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChangeEnd {
    /// The row was written.
    Applied {
        /// The revision of the row.
        revision: RowRevision,
    },
    /// The row was not and will not be written, because it has become another than expected.
    Overtaken(Option<StoredClaim>),
    /// The table does not answer.
    Unsettled {
        /// Whether the row may have been written, or may be written later.
        may_stand: bool,
    },
}

/// What a change does next.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChangeStep {
    /// Make the call and pass its reply to [`ClaimChange::step`].
    Call(ClaimChange, TableCall),
    /// The change has ended.
    Done(ChangeEnd),
}

/// One conditional write of a claim's row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimChange {
    row: ClaimRow,
    expected: Option<RowRevision>,
    calls: u32,
    may_stand: bool,
}

impl ClaimChange {
    /// Starts to write the row on condition of the revision that it has now.
    #[must_use]
    pub fn start(row: ClaimRow, expected: Option<RowRevision>) -> ChangeStep {
        let change = Self {
            row,
            expected,
            calls: 0,
            may_stand: false,
        };
        change.write()
    }

    /// Takes the reply to the call of the step before.
    #[must_use]
    pub fn step(mut self, reply: TableReply) -> ChangeStep {
        match reply {
            TableReply::Committed { revision } => ChangeStep::Done(ChangeEnd::Applied { revision }),
            TableReply::Conflict(found) => ChangeStep::Done(self.compare(found)),
            TableReply::Row(found) => {
                let revision = found.as_ref().map(|claim| claim.revision);
                if revision == self.expected {
                    return self.write();
                }
                ChangeStep::Done(self.compare(found))
            }
            TableReply::Lost => {
                self.may_stand = true;
                self.read()
            }
            TableReply::Unreachable if self.may_stand => self.read(),
            TableReply::Unreachable => self.give_up(),
        }
    }

    fn compare(&self, found: Option<StoredClaim>) -> ChangeEnd {
        match found {
            Some(claim) if claim.row == self.row => ChangeEnd::Applied {
                revision: claim.revision,
            },
            found => ChangeEnd::Overtaken(found),
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
        ChangeStep::Done(ChangeEnd::Unsettled {
            may_stand: self.may_stand,
        })
    }
}
