//! Messages of the platform's transactional table and host list.

use serde::Deserialize;
use serde::Serialize;

use crate::name::WorkerName;

/// The revision of a row: the unique number of the transaction that last wrote it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RowRevision(pub u64);

/// A row of the platform's table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// The key, unique in the table.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision of the row.
    pub revision: RowRevision,
}

/// A page of rows in the order of their keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// A condition on the revision of one row, which must hold for a transaction to be committed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowCheck {
    /// The key of the row.
    pub key: String,
    /// The revision that the row must have; `None` means that the row must be absent.
    pub revision: Option<RowRevision>,
}

/// A new value for one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowWrite {
    /// The key of the row.
    pub key: String,
    /// The new value.
    pub value: String,
}

/// Writes and deletes that are committed atomically if every check holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableTransaction {
    /// The conditions that must all hold.
    pub checks: Vec<RowCheck>,
    /// The rows to write.
    pub writes: Vec<RowWrite>,
    /// The keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// The answer to a transaction that was committed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransactReceipt {
    /// The revision of every row that the transaction wrote.
    pub revision: RowRevision,
}

/// The answer to a transaction that was not committed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowConflict {
    /// The key of the first check that failed.
    pub key: String,
    /// The current row, or `None` if it is absent.
    pub row: Option<TableRow>,
}

/// The state of a worker's machine in the platform's host list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The machine accepts work.
    Live,
    /// The machine is about to shut down.
    Leaving,
}

/// One machine in the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// The worker that runs on the machine.
    pub worker: WorkerName,
    /// The state of the machine.
    pub state: ListedState,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// The machines on which workers run.
    pub hosts: Vec<ListedHost>,
}
