//! Settlement of claims by operators.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::name::HostName;

/// The outcome that an operator has established for a request whose outcome is unknown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settlement {
    /// The request ran.
    Ran,
    /// The request did not run, so it may be sent again.
    NotRun,
}

/// The reason why a settlement is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettleError {
    /// The outcome of the request is already known.
    #[error("the outcome of the request is already known")]
    Known,
    /// The holder may be paused and may still run the request.
    #[error("host {host} holds the claim and may still run the request")]
    HolderMayRun {
        /// The host that holds the claim.
        host: HostName,
    },
}

impl Settlement {
    /// Returns the claim after the settlement; `object` is the key of the object that stores the
    /// answer if the request ran.
    ///
    /// A claim whose holder has recorded no outcome can be settled only as run, because a holder
    /// that is only paused could otherwise run the request in addition to a repeat.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is already known, or if the request is to be settled as not
    /// run while the holder could still run it.
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
