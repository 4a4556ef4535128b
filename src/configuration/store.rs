//! The interface to the platform's table in which configuration versions are stored.

use futures_util::future::LocalBoxFuture;
use thiserror::Error;

/// The key of the row that holds the newest configuration.
pub const CURRENT_KEY: &str = "configuration/current";

/// Returns the key of the audit record of a version.
#[must_use]
pub fn audit_key(version: u64) -> String {
    format!("audit/{version:020}")
}

/// The reason why a call to the platform's table failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigurationStoreError {
    /// The call certainly had no effect.
    #[error("the platform does not answer: {0}")]
    Unreachable(String),
    /// The call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The answer is not valid, or the row in it can't be parsed.
    #[error("the platform's answer is not valid: {0}")]
    Protocol(String),
}

/// A row of the platform's table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRow {
    /// The text of the row.
    pub value: String,
    /// The revision, which is never reused.
    pub revision: u64,
}

/// The atomic write of a new version together with its audit record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionWrite {
    /// The revision that the row of the newest configuration must have; `None` if it must be
    /// absent.
    pub expected_revision: Option<u64>,
    /// The new text of that row.
    pub current: String,
    /// The key of the audit record, which must be absent.
    pub audit_key: String,
    /// The text of the audit record.
    pub audit: String,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// A row had another revision or existed already; nothing was written.
    Conflict,
}

/// The platform's table, in which versions and their audit records are stored.
pub trait ConfigurationStore {
    /// Reads a row; `None` if it does not exist.
    fn row<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<StoreRow>, ConfigurationStoreError>>;

    /// Writes a version and its audit record atomically.
    fn write<'a>(
        &'a self,
        write: &'a VersionWrite,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome, ConfigurationStoreError>>;
}
