//! HTTP/1.1 connections to workers, without pipelining.

mod answer;

use std::io;
use std::net::SocketAddr;

use actix_codec::Decoder;
use actix_codec::Encoder;
use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::Version;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::Message;
use actix_http::header;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use bytes::buf::Chain;
use http::Uri;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

pub use self::answer::AnswerError;
pub use self::answer::AnswerFraming;
pub use self::answer::WorkerAnswer;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::HostName;
use crate::kernel::roster::UpstreamRecord;
use crate::probe::ReceiveState;

/// Free space reserved in the receive buffer before each read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Length up to which a body is copied behind the head of its request, in bytes.
const MAX_COPIED_BYTES: usize = 16 << 10;

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
}

/// The number of a connection among those that a host has opened to workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionNumber(pub u64);

/// The process of one start of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerEndpoint {
    /// The address of the worker.
    pub address: SocketAddr,
    /// The time of its start, in Unix milliseconds; `None` if the registration states none.
    pub started_ms: Option<u64>,
}

impl From<&UpstreamRecord> for WorkerEndpoint {
    fn from(record: &UpstreamRecord) -> Self {
        Self {
            address: record.address,
            started_ms: record.started_ms,
        }
    }
}

/// What is known of a connection when it is opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionOpening {
    /// The number of the connection.
    pub number: ConnectionNumber,
    /// The process that it leads to.
    pub endpoint: WorkerEndpoint,
    /// The time at which it was opened.
    pub opened_at: ClockTime,
}

/// An open connection to a worker.
///
/// If it is dropped between a request and the end of the answer, the connection is reset. A plain
/// close would still deliver what the kernel has not sent yet, and the worker would run it.
#[derive(Debug)]
pub struct WorkerConnection {
    opening: ConnectionOpening,
    stream: TcpStream,
    /// The tunnel that carries the connection; `None` if it is direct.
    tunnel: Option<ConnectionTunnel>,
    config: ServiceConfig,
    received: BytesMut,
    /// The rest of the request that has not been written yet: of its head, and of its body.
    unsent: Chain<Bytes, Bytes>,
    /// Whether writing the rest of the request failed; what has arrived of the answer is still read.
    has_write_failed: bool,
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
        opening: ConnectionOpening,
        stream: TcpStream,
        tunnel: Option<ConnectionTunnel>,
        config: ServiceConfig,
    ) -> Self {
        Self {
            opening,
            stream,
            tunnel,
            config,
            received: BytesMut::new(),
            unsent: Bytes::new().chain(Bytes::new()),
            has_write_failed: false,
            was_used: false,
            awaits_answer: false,
        }
    }

    /// Returns the number of the connection.
    #[must_use]
    pub const fn number(&self) -> ConnectionNumber {
        self.opening.number
    }

    /// Returns the process that the connection leads to.
    #[must_use]
    pub const fn endpoint(&self) -> WorkerEndpoint {
        self.opening.endpoint
    }

    /// Returns the time at which the connection was opened.
    #[must_use]
    pub const fn opened_at(&self) -> ClockTime {
        self.opening.opened_at
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
        Ok(WorkerAnswer::first(self, codec, head, to_head_request))
    }

    /// Reads the head of an answer. Interim answers, which the final one follows, are skipped.
    async fn read_head(&mut self, codec: &mut ClientCodec) -> Result<ResponseHead, AnswerError> {
        loop {
            if let Some(head) = codec.decode(&mut self.received)? {
                if is_interim(head.status) {
                    *codec = ClientCodec::new(self.config.clone());
                    continue;
                }
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    /// Reads further bytes of an answer, and writes what is left of the request meanwhile: a worker may
    /// answer before it has read the whole request.
    async fn read_more(&mut self) -> Result<(), AnswerError> {
        self.received.reserve(READ_BYTES);
        while self.unsent.has_remaining() && !self.has_write_failed {
            // The request is written first, so that what a worker wrote before it read is not its answer.
            tokio::select! {
                biased;
                writable = self.stream.writable() => {
                    writable?;
                    self.write_unsent();
                }
                readable = self.stream.readable() => {
                    readable?;
                    match self.stream.try_read_buf(&mut self.received) {
                        Ok(0) => return Err(AnswerError::Closed),
                        Ok(_) => return Ok(()),
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                        Err(error) => return Err(error.into()),
                    }
                }
            }
        }
        match self.stream.read_buf(&mut self.received).await? {
            0 => Err(AnswerError::Closed),
            _ => Ok(()),
        }
    }

    fn write_unsent(&mut self) {
        match self.stream.try_write(self.unsent.chunk()) {
            Ok(count) => self.unsent.advance(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
            // The worker may have answered before it ended the connection.
            Err(_) => self.has_write_failed = true,
        }
    }
}

/// Returns whether another answer to the same request follows one with the status.
fn is_interim(status: StatusCode) -> bool {
    status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS
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
