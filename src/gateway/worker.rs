//! HTTP/1.1 connections to workers, without pipelining.

use std::fmt;
use std::io;

use actix_codec::Decoder;
use actix_codec::Encoder;
use actix_http::ConnectionType;
use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::Version;
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::error::PayloadError;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use bytes::buf::Chain;
use http::Uri;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::kernel::clock::ClockTime;
use crate::kernel::name::HostName;
use crate::probe::ReceiveState;

/// Free space reserved in the receive buffer before each read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Length up to which a body is copied behind the head of its request, in bytes.
const MAX_COPIED_BYTES: usize = 16 << 10;

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

/// A request in the form in which it is sent to a worker.
#[derive(Debug)]
pub struct WorkerRequest {
    /// The method.
    pub method: Method,
    /// The path and the query string.
    pub target: Uri,
    /// The headers.
    pub headers: header::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// The way of a connection that another host opened for this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConnectionTunnel {
    /// The other host.
    pub host: HostName,
    /// The time at which the connection was opened.
    pub opened_at: ClockTime,
}

/// The number of a connection among those that a host has opened to workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionNumber(pub u64);

/// An open connection to a worker.
///
/// If it is dropped between a request and the end of the answer, the connection is reset. A plain
/// close would still deliver what the kernel has not sent yet, and the worker would run it.
#[derive(Debug)]
pub struct WorkerConnection {
    number: ConnectionNumber,
    stream: TcpStream,
    /// The tunnel that carries the connection; `None` if it is direct.
    tunnel: Option<ConnectionTunnel>,
    config: ServiceConfig,
    received: BytesMut,
    /// The rest of the request that has not been written yet: of its head, and of its body.
    unsent: Chain<Bytes, Bytes>,
    was_used: bool,
    /// Whether a request was sent whose answer has not been read to its end.
    awaits_answer: bool,
}

impl Drop for WorkerConnection {
    fn drop(&mut self) {
        if self.awaits_answer {
            // If the option can't be set, the connection is closed as usual.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl WorkerConnection {
    /// Wraps a connection on which nothing has been sent yet.
    #[must_use]
    pub fn new(
        number: ConnectionNumber,
        stream: TcpStream,
        tunnel: Option<ConnectionTunnel>,
        config: ServiceConfig,
    ) -> Self {
        Self {
            number,
            stream,
            tunnel,
            config,
            received: BytesMut::new(),
            unsent: Bytes::new().chain(Bytes::new()),
            was_used: false,
            awaits_answer: false,
        }
    }

    /// Returns the number of the connection.
    #[must_use]
    pub const fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Returns the tunnel that carries the connection; `None` if it is direct.
    #[must_use]
    pub const fn tunnel(&self) -> Option<&ConnectionTunnel> {
        self.tunnel.as_ref()
    }

    /// Returns whether a request was sent on the connection.
    #[must_use]
    pub const fn was_used(&self) -> bool {
        self.was_used
    }

    /// Returns whether the connection is open and holds no unread bytes.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.received.is_empty() && ReceiveState::of(&self.stream) == ReceiveState::Quiet
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the received head is not valid. The worker may
    /// have run the request nevertheless.
    pub async fn exchange(mut self, request: WorkerRequest) -> Result<WorkerAnswer, AnswerError> {
        let mut codec = ClientCodec::new(self.config.clone());
        let to_head_request = request.method == Method::HEAD;
        self.unsent = encode_request(&mut codec, request)?;
        self.awaits_answer = true;
        self.was_used = true;
        let head = self.read_head(&mut codec).await?;
        let framing = if to_head_request {
            AnswerFraming::Empty
        } else {
            framing_of(&codec, &head)
        };
        self.awaits_answer = framing != AnswerFraming::Empty || self.unsent.has_remaining();
        let further_use = match codec.keep_alive() && keeps_open(&head, framing) {
            true if !self.unsent.has_remaining() => FurtherUse::Requests,
            true => FurtherUse::Answers,
            false => FurtherUse::None,
        };
        Ok(WorkerAnswer {
            head,
            framing,
            codec: codec.into_payload_codec(),
            connection: self,
            done: framing == AnswerFraming::Empty,
            further_use,
            to_head_request,
        })
    }

    /// Reads the head of an answer, and writes what is left of the request meanwhile: a worker may
    /// answer before it has read the whole request.
    async fn read_head(&mut self, codec: &mut ClientCodec) -> Result<ResponseHead, AnswerError> {
        loop {
            if let Some(head) = codec.decode(&mut self.received)? {
                return Ok(head);
            }
            if !self.unsent.has_remaining() {
                self.read_more().await?;
                continue;
            }
            tokio::select! {
                written = self.stream.writable() => {
                    written?;
                    match self.stream.try_write(self.unsent.chunk()) {
                        Ok(count) => self.unsent.advance(count),
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                        Err(error) => return Err(error.into()),
                    }
                }
                readable = self.stream.readable() => {
                    readable?;
                    self.received.reserve(READ_BYTES);
                    match self.stream.try_read_buf(&mut self.received) {
                        Ok(0) => return Err(AnswerError::Closed),
                        Ok(_) => (),
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                        Err(error) => return Err(error.into()),
                    }
                }
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), AnswerError> {
        self.received.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.received).await? {
            0 => Err(AnswerError::Closed),
            _ => Ok(()),
        }
    }
}

/// Returns the bytes of a request. A long body is not copied; a short one is, so that one write sends
/// the whole request.
fn encode_request(
    codec: &mut ClientCodec,
    request: WorkerRequest,
) -> io::Result<Chain<Bytes, Bytes>> {
    let mut head = RequestHead::default();
    head.method = request.method;
    head.uri = request.target;
    head.version = Version::HTTP_11;
    head.headers = request.headers;
    let size = match request.body.len() {
        0 if matches!(head.method, Method::GET | Method::HEAD) => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    let mut out = BytesMut::new();
    let head = RequestHeadType::Owned(head);
    codec.encode(Message::Item((head, size)), &mut out)?;
    if request.body.len() > MAX_COPIED_BYTES {
        return Ok(out.freeze().chain(request.body));
    }
    out.extend_from_slice(&request.body);
    Ok(out.freeze().chain(Bytes::new()))
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

    /// Reads the next bytes of the body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or closes before the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
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

    /// Reads the next bytes of a body that ends with the connection; a reset is an error.
    async fn next_unframed_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        while !self.done && self.connection.received.is_empty() {
            match self.connection.read_more().await {
                Ok(()) => (),
                Err(AnswerError::Closed) => self.end_answer(),
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
        })
    }
}
