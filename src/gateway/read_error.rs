//! Reasons why a caller's request could not be read, and the answers to them.

use std::io;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::error::ParseError;
use thiserror::Error;

use super::bodies::BodyError;
use super::connections::ConnectionError;

/// The mean Retry-after time of a request for whose body there was no memory.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Reason why the next request of a connection could not be read.
#[derive(Debug, Error)]
pub(super) enum ReadError {
    /// The caller closed the connection, or reading from it failed.
    #[error("the connection was closed")]
    Closed,
    /// The connection was idle for too long, or the host stopped accepting requests.
    #[error("the connection was idle")]
    Idle,
    /// The request was not received within the time limits.
    #[error("the request timed out")]
    TimedOut,
    /// The body exceeds the size limit.
    #[error("the request body is too large")]
    BodyTooLarge,
    /// The host has no memory for the body.
    #[error(transparent)]
    Memory(#[from] BodyError),
    /// The requests of other connections take the memory for requests.
    #[error(transparent)]
    Crowded(#[from] ConnectionError),
    /// The head exceeds the size limit.
    #[error("the request head is too large")]
    HeadTooLarge,
    /// The received bytes are not a valid HTTP request.
    #[error("malformed HTTP request: {0}")]
    Malformed(ParseError),
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

impl ReadError {
    /// Returns the status to answer with, or `None` if the connection is closed without an answer.
    pub(super) const fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Closed | Self::Idle => None,
            Self::TimedOut => Some(StatusCode::REQUEST_TIMEOUT),
            Self::BodyTooLarge | Self::Memory(BodyError::TooLong { .. }) => {
                Some(StatusCode::PAYLOAD_TOO_LARGE)
            }
            Self::Memory(BodyError::NoMemory { .. }) | Self::Crowded(_) => {
                Some(StatusCode::SERVICE_UNAVAILABLE)
            }
            Self::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Self::Malformed(_) => Some(StatusCode::BAD_REQUEST),
        }
    }

    /// Returns the time after which the caller should retry, or `None` if the answer states none. It
    /// differs from answer to answer, so that callers do not return together.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let has_no_memory = matches!(
            self,
            Self::Memory(BodyError::NoMemory { .. }) | Self::Crowded(_)
        );
        has_no_memory.then(|| MEMORY_RETRY.mul_f64(rand::random_range(0.5..=1.5)))
    }
}
