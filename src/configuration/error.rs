//! Errors of configuration changes.

use thiserror::Error;

use super::store::ConfigurationStoreError;
use crate::kernel::configuration::ConfigVersion;

/// The reason why a change was not written to the platform's table, or is not known to have been.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeWriteError {
    /// Another change was written first, or the newest version is not the one that the operator
    /// named; this change was not written.
    #[error("the newest version is {newest}; not written: {text}", newest = newest.0)]
    Conflict {
        /// The newest version in the table.
        newest: ConfigVersion,
        /// The script that contains the change.
        text: String,
    },
    /// The change is not valid for the newest configuration; it was not written.
    #[error("{0}")]
    Rejected(String),
    /// The newest configuration could not be read, or the write did not reach the platform; the
    /// change was not written.
    #[error("not written: {0}")]
    Platform(#[from] ConfigurationStoreError),
    /// The platform's answer was lost or not valid, and further attempts did not show the outcome.
    #[error("it is unknown whether version {version} was written: {error}", version = version.0)]
    Unknown {
        /// The version that the change would have created.
        version: ConfigVersion,
        /// The last error of the platform.
        error: ConfigurationStoreError,
    },
    /// The configuration or its audit record can't be written as JSON or is too large.
    #[error("the configuration can't be stored: {0}")]
    Encoding(String),
}
