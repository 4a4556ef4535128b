//! Reading of request bodies with limits on size and time.

use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use thiserror::Error;

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Size limit, in bytes.
        limit: usize,
    },
    /// The connection was closed or violated the protocol before the body was complete.
    #[error("the body ended before it was complete")]
    Incomplete,
    /// The body was not complete within the time limit.
    #[error("the body was not complete within {timeout:?}")]
    TimedOut {
        /// Time limit for the complete body.
        timeout: Duration,
    },
}

/// Reads the complete body of a request.
///
/// # Errors
///
/// Returns an error if the body is larger than `limit` bytes, is not complete within `timeout` or
/// ends early. A body whose declared length is too large is rejected before any of it is read.
pub async fn read_body(
    request: &mut Request,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let read = tokio::time::timeout(timeout, read_bounded(request, limit)).await;
    read.unwrap_or(Err(BodyError::TimedOut { timeout }))
}

async fn read_bounded(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    if declared_length(request).is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return Err(BodyError::Incomplete);
        };
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn declared_length(request: &Request) -> Option<usize> {
    let value = request.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
