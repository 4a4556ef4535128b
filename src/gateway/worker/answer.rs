//! Answers of workers and how they end.

use std::collections::VecDeque;
use std::fmt;
use std::io;

use actix_codec::Decoder;
use actix_http::ConnectionType;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::error::ParseError;
use actix_http::error::PayloadError;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::MessageType;
use actix_http::header;
use bytes::Buf;
use bytes::Bytes;
use thiserror::Error;

use super::WorkerConnection;

/// Failure after a request was dispatched; the request may have run.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// Writing to or reading from the connection failed.
    #[error("connection to the worker failed: {0}")]
    Connection(#[from] io::Error),
    /// The connection was closed before the answer was complete.
    #[error("the worker closed the connection before the answer was complete")]
    Closed,
    /// The answer ended inside an event of its stream, whatever its framing says.
    #[error("the answer ended inside an event")]
    WithinEvent,
    /// The answer stated no length and ended with its connection before its first event.
    #[error("the worker closed the connection before the first event")]
    NoEvent,
    /// The answer stated no length and ended with its connection, as did its worker.
    #[error("the worker ended with the connection")]
    WorkerEnded,
    /// An event of the stream is longer than the host buffers.
    #[error("an event of the stream is too long")]
    EventTooLong,
    /// The received bytes are not a valid HTTP response.
    #[error("malformed HTTP response: {0}")]
    Malformed(#[from] ParseError),
    /// The body could not be decoded.
    #[error("malformed response body: {0}")]
    Body(PayloadError),
}

/// How the end of an answer's body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFraming {
    /// There is no body.
    Empty,
    /// By a content length.
    Length,
    /// By chunked encoding.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

impl AnswerFraming {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Empty => "none",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "close",
        }
    }
}

/// Returns the framing of an answer's body, from its head as decoded by the codec.
fn framing_of(codec: &ClientCodec, head: &ResponseHead) -> AnswerFraming {
    let headers = head.headers();
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let framed = chunked || headers.contains_key(header::CONTENT_LENGTH);
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    // The codec reports no body for a content length of zero and for any answer to a HEAD request.
    if bodiless || (framed && codec.message_type() == MessageType::None) {
        AnswerFraming::Empty
    } else if chunked {
        AnswerFraming::Chunked
    } else if framed {
        AnswerFraming::Length
    } else {
        AnswerFraming::UntilClose
    }
}

/// Returns whether the worker keeps the connection open after an answer to a request that allows it.
fn keeps_open(head: &ResponseHead, framing: AnswerFraming) -> bool {
    head.connection_type() == ConnectionType::KeepAlive && framing != AnswerFraming::UntilClose
}

/// What a connection can be used for after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FurtherUse {
    /// Nothing: it is closed.
    None,
    /// Reading further answers to requests that were sent before.
    Answers,
    /// Another request.
    Requests,
}

/// A worker's answer whose head has been read.
pub struct WorkerAnswer {
    head: ResponseHead,
    framing: AnswerFraming,
    codec: ClientPayloadCodec,
    connection: WorkerConnection,
    done: bool,
    /// What the connection can be used for after this answer.
    further_use: FurtherUse,
    to_head_request: bool,
    /// The parts of the body that were read ahead and not taken yet.
    ahead: VecDeque<Bytes>,
    /// The failure that ended the reading ahead.
    failure: Option<AnswerError>,
}

impl fmt::Debug for WorkerAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerAnswer")
            .field("status", &self.head.status)
            .field("framing", &self.framing)
            .finish_non_exhaustive()
    }
}

impl WorkerAnswer {
    /// Wraps the first answer to a request, whose head was read with `codec`.
    pub(super) fn first(
        mut connection: WorkerConnection,
        codec: ClientCodec,
        head: ResponseHead,
        to_head_request: bool,
    ) -> Self {
        let framing = if to_head_request {
            AnswerFraming::Empty
        } else {
            framing_of(&codec, &head)
        };
        let is_sent = !connection.unsent.has_remaining();
        connection.awaits_answer = framing != AnswerFraming::Empty || !is_sent;
        let further_use = if !keeps_open(&head, framing) {
            FurtherUse::None
        } else if is_sent {
            FurtherUse::Requests
        } else {
            FurtherUse::Answers
        };
        Self {
            head,
            framing,
            codec: codec.into_payload_codec(),
            connection,
            done: framing == AnswerFraming::Empty,
            further_use,
            to_head_request,
            ahead: VecDeque::new(),
            failure: None,
        }
    }

    /// Returns the head.
    #[must_use]
    pub const fn head(&self) -> &ResponseHead {
        &self.head
    }

    /// Returns how the end of the body is determined.
    #[must_use]
    pub const fn framing(&self) -> AnswerFraming {
        self.framing
    }

    /// Returns the length of the body in bytes, or `None` if the head does not state it.
    #[must_use]
    pub fn declared_length(&self) -> Option<u64> {
        if self.framing == AnswerFraming::Empty {
            return Some(0);
        }
        self.stated_length()
    }

    /// Returns the length that the head states, in bytes; that of the answer to a HEAD request is
    /// the length of a body that is not sent.
    #[must_use]
    pub fn stated_length(&self) -> Option<u64> {
        let value = self.head.headers().get(header::CONTENT_LENGTH)?;
        value.to_str().ok()?.parse().ok()
    }

    /// Returns whether this is the answer to a HEAD request, which has no body.
    #[must_use]
    pub const fn is_to_head_request(&self) -> bool {
        self.to_head_request
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or closes before the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        if let Some(bytes) = self.ahead.pop_front() {
            return Ok(Some(bytes));
        }
        match self.failure.take() {
            Some(error) => Err(error),
            None => self.receive_chunk().await,
        }
    }

    /// Reads the beginning of the body, which [`Self::next_chunk`] returns later: until `is_enough`
    /// returns true for the bytes that arrived, the body ends or its reading fails.
    pub async fn read_ahead(&mut self, mut is_enough: impl FnMut(&Bytes) -> bool) {
        while self.failure.is_none() {
            match self.receive_chunk().await {
                Ok(Some(bytes)) => {
                    let stops = is_enough(&bytes);
                    self.ahead.push_back(bytes);
                    if stops {
                        return;
                    }
                }
                Ok(None) => return,
                Err(error) => self.failure = Some(error),
            }
        }
    }

    /// Returns whether reading ahead has failed.
    #[must_use]
    pub const fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Takes the failure of the reading ahead.
    pub const fn take_failure(&mut self) -> Option<AnswerError> {
        self.failure.take()
    }

    async fn receive_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        if self.framing == AnswerFraming::UntilClose {
            return self.next_unframed_chunk().await;
        }
        while !self.done {
            let item = self.codec.decode(&mut self.connection.received);
            match item.map_err(AnswerError::Body)? {
                Some(Some(bytes)) if bytes.is_empty() => (),
                Some(Some(bytes)) => return Ok(Some(bytes)),
                Some(None) => self.end_answer(),
                None => self.connection.read_more().await?,
            }
        }
        Ok(None)
    }

    /// Reads the next bytes of a body that ends with the connection; a reset is an error, and so is an end
    /// before the whole request was written: the worker can't have answered what it has not read.
    async fn next_unframed_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        while !self.done && self.connection.received.is_empty() {
            match self.connection.read_more().await {
                Ok(()) => (),
                Err(AnswerError::Closed) if !self.connection.unsent.has_remaining() => {
                    self.end_answer();
                }
                Err(error) => return Err(error),
            }
        }
        let bytes = self.connection.received.split().freeze();
        Ok((!bytes.is_empty()).then_some(bytes))
    }

    fn end_answer(&mut self) {
        self.done = true;
        self.connection.awaits_answer = false;
    }

    /// Returns the connection for another request, or `None` if it can't be reused.
    ///
    /// The body must be read to its end, and no unread bytes may follow it.
    #[must_use]
    pub fn into_connection(self) -> Option<WorkerConnection> {
        let reusable = self.done
            && self.ahead.is_empty()
            && self.further_use == FurtherUse::Requests
            && self.connection.received.is_empty();
        reusable.then_some(self.connection)
    }

    /// Skips the rest of this answer and reads the head of the next one on the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, can't be reused, or ends before a further answer.
    pub async fn next_answer(mut self) -> Result<Self, AnswerError> {
        while self.next_chunk().await?.is_some() {}
        if self.further_use == FurtherUse::None {
            return Err(AnswerError::Closed);
        }
        self.connection.awaits_answer = true;
        let mut codec = ClientCodec::new(self.connection.config.clone());
        let head = self.connection.read_head(&mut codec).await?;
        let framing = if self.to_head_request {
            AnswerFraming::Empty
        } else {
            framing_of(&codec, &head)
        };
        let is_unsent = self.connection.unsent.has_remaining();
        self.connection.awaits_answer = framing != AnswerFraming::Empty || is_unsent;
        // After one surplus answer, another may follow, so the connection gets no further request.
        let further_use = if keeps_open(&head, framing) {
            FurtherUse::Answers
        } else {
            FurtherUse::None
        };
        Ok(Self {
            head,
            framing,
            codec: codec.into_payload_codec(),
            connection: self.connection,
            done: framing == AnswerFraming::Empty,
            further_use,
            to_head_request: self.to_head_request,
            ahead: VecDeque::new(),
            failure: None,
        })
    }
}
