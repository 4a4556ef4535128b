//! Stored answers, which repeats of a non-idempotent request get.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::platform::PlatformError;

/// The byte between the JSON head of a stored answer and its body.
const HEAD_END: u8 = b'\n';

/// A header of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// The header name.
    pub name: String,
    /// The header value.
    pub value: String,
}

/// A complete answer of an upstream, stored under an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are forwarded to the caller and sent again to repeats.
    pub headers: Vec<StoredHeader>,
    /// The complete body.
    pub body: Bytes,
}

/// The reason why a stored answer can't be read or written.
#[derive(Debug, Error)]
pub enum StoredAnswerError {
    /// The object store does not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The object does not exist.
    #[error("the object of the answer does not exist")]
    Missing,
    /// The head does not end, or the body does not have the length that the head states.
    #[error("the object of the answer is truncated")]
    Truncated,
    /// The head is not valid JSON, or can't be written as JSON.
    #[error("the head of the answer is not valid: {0}")]
    Head(#[from] serde_json::Error),
}

#[derive(Deserialize, Serialize)]
struct AnswerHead {
    status: u16,
    headers: Vec<StoredHeader>,
    body_bytes: usize,
}

impl StoredAnswer {
    /// Encodes the answer as the bytes of an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the headers can't be written as JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder::claims::StoredAnswer;
    ///
    /// let answer = StoredAnswer { status: 201, headers: Vec::new(), body: "filed".into() };
    /// assert_eq!(StoredAnswer::from_object(&answer.to_object()?)?, answer);
    /// # Ok::<(), borageladder::claims::StoredAnswerError>(())
    /// ```
    pub fn to_object(&self) -> Result<Bytes, StoredAnswerError> {
        let head = AnswerHead {
            status: self.status,
            headers: self.headers.clone(),
            body_bytes: self.body.len(),
        };
        let mut object = serde_json::to_vec(&head)?;
        object.push(HEAD_END);
        object.extend_from_slice(&self.body);
        Ok(object.into())
    }

    /// Decodes the bytes of an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is not a stored answer or is truncated.
    pub fn from_object(object: &Bytes) -> Result<Self, StoredAnswerError> {
        let end = object.iter().position(|byte| *byte == HEAD_END);
        let end = end.ok_or(StoredAnswerError::Truncated)?;
        let head: AnswerHead = serde_json::from_slice(&object[..end])?;
        let body = object.slice(end + 1..);
        if body.len() != head.body_bytes {
            return Err(StoredAnswerError::Truncated);
        }
        Ok(Self {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
