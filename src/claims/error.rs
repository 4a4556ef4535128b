//! Errors of claims.

use thiserror::Error;

use crate::claims::StoredAnswerError;
use crate::kernel::claim::SettleError;
use crate::platform::PlatformError;

/// The reason why a claim could not be taken, recorded or settled.
#[derive(Debug, Error)]
pub enum ClaimError {
    /// The platform does not answer; the request was not run.
    #[error("the platform does not answer, so the request was not run")]
    Unavailable,
    /// The platform has not confirmed the new state of the claim.
    #[error("the platform has not confirmed the new state of the claim yet")]
    NotRecorded,
    /// The key has no claim.
    #[error("the key has no claim")]
    NoClaim,
    /// The claim changed while it was being settled.
    #[error("the claim changed while it was being settled")]
    Changed,
    /// The state of the claim does not allow the settlement.
    #[error(transparent)]
    Settle(#[from] SettleError),
    /// The request ran, but its stored answer can't be read or written.
    #[error("the request ran, but its answer can't be read: {0}")]
    Answer(#[from] StoredAnswerError),
    /// The row of the claim or its audit record is not valid JSON, or can't be written as JSON.
    #[error("the row of the claim is not valid: {0}")]
    Row(#[source] serde_json::Error),
    /// The platform does not answer or its answer is not valid.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}
