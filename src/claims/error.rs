//! Errors of claims.

use thiserror::Error;

use crate::claims::StoredAnswerError;
use crate::kernel::claim::SettleError;
use crate::platform::PlatformError;

/// The reason why a claim could not be made, recorded, released or settled.
#[derive(Debug, Error)]
pub enum ClaimError {
    /// The platform does not answer, or concurrent writes kept superseding the claim; the request
    /// was not run.
    #[error("the platform did not confirm the claim, so the request was not run")]
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
    #[error("the request ran, but its stored answer can't be read or written: {0}")]
    Answer(#[from] StoredAnswerError),
    /// The row of the claim can't be decoded, or the row or its audit record can't be encoded.
    #[error("the row of the claim is not valid: {0}")]
    Row(#[source] serde_json::Error),
    /// The platform does not answer or its answer is not valid.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}
