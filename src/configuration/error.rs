//! Errors of configuration changes.

use thiserror::Error;

use super::store::StoreError;
use crate::kernel::configuration::ConfigVersion;

/// The reason why a change was not applied, or is not known to have been.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// Another change was written first; this one was not applied.
    #[error("version {newest} is newer; not applied: {text}", newest = newest.0)]
    Conflict {
        /// The newest version.
        newest: ConfigVersion,
        /// The change that was not applied.
        text: String,
    },
    /// The change is not valid for the configuration; it was not applied.
    #[error("{0}")]
    Rejected(String),
    /// The platform did not answer; the change was not applied.
    #[error("not applied: {0}")]
    Platform(#[from] StoreError),
    /// The platform's answer was lost, and the outcome could not be resolved in time.
    #[error("it is unknown whether version {version} was written: {error}", version = version.0)]
    Unknown {
        /// The version that the change would have created.
        version: ConfigVersion,
        /// The last error of the platform.
        error: StoreError,
    },
    /// The configuration can't be written as JSON or is too large.
    #[error("the configuration can't be stored: {0}")]
    Encoding(String),
}
