//! Reasons for which the gateway answers a request itself.

use std::time::Duration;

use actix_http::StatusCode;
use thiserror::Error;

use crate::kernel::name::WorkspaceName;
use crate::kernel::quota::QuotaShortage;

/// Retry-after time of a host that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Reason why the gateway answers a request itself; the text is the body of the answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallError {
    /// The host has no configuration that is recent enough to act on.
    #[error("not run: this host has no configuration that is recent enough")]
    NotReady,
    /// The request carries no attempt identifier.
    #[error("the request has no identifier")]
    NoIdentifier,
    /// No route matches the host name and the path.
    #[error("no route matches this host name and path")]
    NoRoute,
    /// The key is missing or belongs to no workspace.
    #[error("the key is missing or belongs to no workspace")]
    UnknownKey,
    /// The workspace has exceeded its quota.
    #[error("not run: the quota of workspace {workspace} is used up")]
    OverQuota {
        /// The workspace.
        workspace: WorkspaceName,
        /// What the quota lacks, and what the host knows of its use.
        shortage: QuotaShortage,
    },
    /// The request got no slot on a worker, could not use a granted one, or was not run by the
    /// worker.
    #[error("not run: {reason}")]
    Refused {
        /// Reason that is stated to the caller.
        reason: String,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// Requests with the same content crashed too many workers.
    #[error("not run: requests with the same content crashed workers")]
    Quarantined {
        /// Time until the quarantine ends.
        retry_after: Duration,
    },
    /// Requests that share a part of their prompt with this one crashed too many workers.
    #[error("not run: requests with a part of this prompt crashed workers")]
    PartQuarantined {
        /// Time until the quarantine ends.
        retry_after: Duration,
    },
    /// No usable answer of the worker was received, and the request may have run.
    #[error("the worker's answer was lost; the request may have run")]
    Lost,
    /// The host stopped before a worker had answered, and the request may have run.
    #[error("the host stopped before the worker answered; the request may have run")]
    Interrupted,
    /// The worker did not answer before the deadline, and the request may have run.
    #[error("the worker did not answer before the deadline; the request may have run")]
    TimedOut,
}

impl CallError {
    /// Returns the HTTP status of the answer.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::NoIdentifier => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady
            | Self::Refused { .. }
            | Self::Quarantined { .. }
            | Self::PartQuarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost | Self::Interrupted => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the time after which the caller should retry, or `None` if the answer states none.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotReady => Some(NOT_READY_RETRY),
            Self::OverQuota { shortage, .. } => Some(shortage.wait),
            Self::Refused { retry_after, .. }
            | Self::Quarantined { retry_after }
            | Self::PartQuarantined { retry_after } => Some(*retry_after),
            Self::NoIdentifier
            | Self::NoRoute
            | Self::UnknownKey
            | Self::Lost
            | Self::Interrupted
            | Self::TimedOut => None,
        }
    }
}
