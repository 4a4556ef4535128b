//! What operators can settle about a claim.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::name::HostName;

/// What operators found out about a request whose outcome is unknown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settlement {
    /// The request ran.
    Ran,
    /// The request did not run, so it may be sent again.
    NotRun,
}

/// The reason why a claim can't be settled.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettleError {
    /// The outcome of the request is known.
    #[error("the outcome of the request is known already")]
    Known,
    /// The holder may be paused and run the request later.
    #[error("host {host} holds the claim and may still run the request")]
    HolderMayRun {
        /// The host that holds the claim.
        host: HostName,
    },
}

impl Settlement {
    /// Returns the claim as it stands after the settlement.
    ///
    /// A claim whose holder has said nothing can be settled only as run, since a holder that is
    /// merely paused would otherwise run the request beside its repeat.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is known, or if the holder could still run the request.
    pub fn apply(self, claim: &ClaimRow, object: String) -> Result<ClaimRow, SettleError> {
        match (self, &claim.state) {
            (_, ClaimState::Released | ClaimState::Answered { .. }) => Err(SettleError::Known),
            (Self::Ran, ClaimState::Claimed | ClaimState::Unknown) => {
                Ok(claim.with_state(ClaimState::Answered { object }))
            }
            (Self::NotRun, ClaimState::Unknown) => Ok(claim.with_state(ClaimState::Released)),
            (Self::NotRun, ClaimState::Claimed) => Err(SettleError::HolderMayRun {
                host: claim.host.clone(),
            }),
        }
    }
}
