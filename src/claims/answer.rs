//! The answer that is kept for repeats of a non-idempotent request.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::platform::PlatformError;

/// The byte between the head of a kept answer and its body.
const HEAD_END: u8 = b'\n';

/// A header of a kept answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptHeader {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
}

/// A whole answer of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that repeats get too.
    pub headers: Vec<KeptHeader>,
    /// The body.
    pub body: Bytes,
}

/// The reason why an object is no kept answer.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The object store does not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The object is gone.
    #[error("the object is gone")]
    Missing,
    /// The object was not read whole.
    #[error("the object was not read whole")]
    Cut,
    /// The head is not what was written.
    #[error("the head can't be read: {0}")]
    Head(#[from] serde_json::Error),
}

#[derive(Deserialize, Serialize)]
struct AnswerHead {
    status: u16,
    headers: Vec<KeptHeader>,
    body_bytes: usize,
}

impl KeptAnswer {
    /// Returns the bytes of the object that keeps the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the headers can't be written as JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder::claims::KeptAnswer;
    ///
    /// let answer = KeptAnswer { status: 201, headers: Vec::new(), body: "filed".into() };
    /// assert_eq!(KeptAnswer::from_object(&answer.to_object()?)?, answer);
    /// # Ok::<(), borageladder::claims::AnswerError>(())
    /// ```
    pub fn to_object(&self) -> Result<Bytes, AnswerError> {
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

    /// Reads the bytes of an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is no kept answer, or was cut.
    pub fn from_object(object: &Bytes) -> Result<Self, AnswerError> {
        let end = object.iter().position(|byte| *byte == HEAD_END);
        let end = end.ok_or(AnswerError::Cut)?;
        let head: AnswerHead = serde_json::from_slice(&object[..end])?;
        let body = object.slice(end + 1..);
        if body.len() != head.body_bytes {
            return Err(AnswerError::Cut);
        }
        Ok(Self {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
