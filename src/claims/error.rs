//! The errors of claims.

use thiserror::Error;

use crate::claims::AnswerError;
use crate::kernel::claim::SettleError;
use crate::platform::PlatformError;

/// The reason why a claim could not be taken, recorded or settled.
#[derive(Debug, Error)]
pub enum ClaimError {
    /// The platform does not answer, so the request is not run.
    #[error("the platform does not answer, so the request was not run")]
    Unavailable,
    /// The platform does not confirm the new state of the claim yet.
    #[error("the platform does not confirm the state of the claim yet")]
    NotRecorded,
    /// No claim stands under the key.
    #[error("no claim stands under the key")]
    NoClaim,
    /// The claim changed while it was being settled.
    #[error("the claim changed while it was being settled")]
    Changed,
    /// The claim can't be settled in this way.
    #[error(transparent)]
    Settle(#[from] SettleError),
    /// The request ran, but its kept answer can't be read.
    #[error("the request ran, but its answer can't be read: {0}")]
    Answer(#[from] AnswerError),
    /// The row under the key is no claim.
    #[error("the row of the claim can't be read: {0}")]
    Row(#[source] serde_json::Error),
    /// The object store does not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}
