//! What the keeper needs of the platform's table.

use futures_util::future::LocalBoxFuture;
use thiserror::Error;

/// The key of the row that holds the configuration in force.
pub const CURRENT_KEY: &str = "configuration/current";

/// Returns the key of the audit record of a version.
#[must_use]
pub fn audit_key(version: u64) -> String {
    format!("audit/{version:020}")
}

/// The reason why the table did not answer as asked.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The request was certainly not carried out.
    #[error("the platform does not answer: {0}")]
    Unreachable(String),
    /// The request may have been carried out.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The answer makes no sense.
    #[error("the platform's answer is not valid: {0}")]
    Protocol(String),
}

/// A row of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRow {
    /// The text.
    pub value: String,
    /// The revision, which never repeats.
    pub revision: u64,
}

/// The write of a new version together with its audit record, all or nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionWrite {
    /// The revision that the current row must have; `None` if it must be absent.
    pub expected: Option<u64>,
    /// The new text of the current row.
    pub current: String,
    /// The key of the audit record, which must be absent.
    pub audit_key: String,
    /// The text of the audit record.
    pub audit: String,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// A row was not as expected, so nothing was written.
    Conflict,
}

/// The table in which versions and their audit records are kept.
pub trait ConfigurationStore {
    /// Reads a row.
    fn row<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<StoreRow>, StoreError>>;

    /// Writes a version.
    fn write<'a>(
        &'a self,
        write: &'a VersionWrite,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome, StoreError>>;
}
