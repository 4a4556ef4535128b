//! The messages of the platform's transactional table.

use serde::Deserialize;
use serde::Serialize;

use crate::name::WorkerName;

/// The number of the transaction that wrote a row; no two transactions share one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RowRevision(pub u64);

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// The key, unique in the table.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision that wrote the value.
    pub revision: RowRevision,
}

/// Rows in the order of their keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// A condition on one row, under which a transaction is applied.
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

/// Writes and deletes that are applied all together, if every check holds, or not at all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableTransaction {
    /// The conditions.
    pub checks: Vec<RowCheck>,
    /// The rows to write.
    pub writes: Vec<RowWrite>,
    /// The keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// The answer to a transaction that was applied.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransactReceipt {
    /// The revision of every row that the transaction wrote.
    pub revision: RowRevision,
}

/// The answer to a transaction that was not applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowConflict {
    /// The key of the first check that failed.
    pub key: String,
    /// The row as it stands, or `None` if it is absent.
    pub row: Option<TableRow>,
}

/// The state of an upstream host in the platform's host list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The host takes work.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// One upstream host in the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// The worker that runs on the host.
    pub worker: WorkerName,
    /// The state of the host.
    pub state: ListedState,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<ListedHost>,
}
