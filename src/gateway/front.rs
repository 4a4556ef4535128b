//! Connections of callers: requests are read whole, and a caller who leaves ends its request.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::Decoder;
use actix_http::Request;
use actix_http::StatusCode;
use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::timeout;

use super::caller::CallerWriter;
use super::exchange;
use super::host::GatewayHost;
use crate::event::LogEvent;
use crate::listener::accept_connections;
use crate::log_event;

/// The first size of the buffer for requests, in bytes.
const READ_BYTES: usize = 4 << 10;

/// The most bytes of a next request that are read while one is answered.
const MAX_AHEAD: usize = 64 << 10;

/// The time for which a closed connection is read on, so that the answer is not lost by a reset.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// A request of a caller, with its whole body.
#[derive(Debug)]
pub struct IncomingCall {
    /// The head.
    pub head: Request,
    /// The body.
    pub body: Bytes,
}

/// The reason why the next request of a connection can't be read.
#[derive(Debug, Error)]
enum ReadError {
    /// The caller closed the connection, or it failed.
    #[error("the connection ended")]
    Ended,
    /// No request came while one was waited for.
    #[error("no request came while one was waited for")]
    Idle,
    /// The request did not come in time.
    #[error("the request did not come in time")]
    Slow,
    /// The body is too large.
    #[error("the body is too large")]
    TooLarge,
    /// The head is too large.
    #[error("the head is too large")]
    HeadTooLarge,
    /// What arrived is not a request.
    #[error("what arrived is not a request: {0}")]
    Malformed(ParseError),
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        Self::Ended
    }
}

impl ReadError {
    const fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Ended | Self::Idle => None,
            Self::Slow => Some(StatusCode::REQUEST_TIMEOUT),
            Self::TooLarge => Some(StatusCode::PAYLOAD_TOO_LARGE),
            Self::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Self::Malformed(_) => Some(StatusCode::BAD_REQUEST),
        }
    }
}

/// Accepts callers until the host takes no further requests.
pub async fn accept_callers(host: Rc<GatewayHost>, listener: TcpListener) {
    let closing = host.closing.clone();
    accept_connections(listener, &closing, |stream, _| {
        actix_rt::spawn(serve_connection(Rc::clone(&host), stream));
    })
    .await;
}

async fn serve_connection(host: Rc<GatewayHost>, stream: TcpStream) {
    // Without it answers are only slower.
    let _ = stream.set_nodelay(true);
    let mut connection = CallerConnection {
        codec: Codec::new(host.http.clone()),
        host,
        stream,
        received: BytesMut::new(),
    };
    connection.run().await;
}

struct CallerConnection {
    host: Rc<GatewayHost>,
    stream: TcpStream,
    codec: Codec,
    received: BytesMut,
}

impl CallerConnection {
    async fn run(&mut self) {
        loop {
            let call = match self.read_call().await {
                Ok(call) => call,
                // A request that crosses the close stays unread, which tells the caller that it did
                // not run.
                Err(ReadError::Ended | ReadError::Idle) => return,
                Err(error) => {
                    self.reject(&error).await;
                    break;
                }
            };
            let _held = self.host.track_request();
            if !self.answer(call).await {
                break;
            }
        }
        self.linger().await;
    }

    async fn read_call(&mut self) -> Result<IncomingCall, ReadError> {
        let limits = self.host.limits();
        if self.received.is_empty() {
            let closing = self.host.closing.clone();
            tokio::select! {
                biased;
                read = timeout(limits.idle_time, self.read_more()) => {
                    read.map_err(|_elapsed| ReadError::Idle)??;
                }
                () = closing.stopped() => return Err(ReadError::Idle),
            }
        }
        let head = timeout(limits.head_time, self.read_head(limits.head_bytes)).await;
        let head = head.map_err(|_elapsed| ReadError::Slow)??;
        let body = match self.codec.message_type() {
            MessageType::None => Bytes::new(),
            MessageType::Payload | MessageType::Stream => {
                self.read_body(limits.body_bytes, limits.idle_time).await?
            }
        };
        Ok(IncomingCall { head, body })
    }

    async fn read_head(&mut self, most: usize) -> Result<Request, ReadError> {
        loop {
            match self.codec.decode(&mut self.received) {
                Ok(Some(Message::Item(head))) => return Ok(head),
                Ok(Some(Message::Chunk(_))) => (),
                Ok(None) if self.received.len() > most => return Err(ReadError::HeadTooLarge),
                Ok(None) => self.read_more().await?,
                Err(ParseError::TooLarge) => return Err(ReadError::HeadTooLarge),
                Err(error) => return Err(ReadError::Malformed(error)),
            }
        }
    }

    async fn read_body(&mut self, most: usize, idle: Duration) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.received) {
                Ok(Some(Message::Chunk(Some(bytes)))) => body.extend_from_slice(&bytes),
                Ok(Some(Message::Chunk(None) | Message::Item(_))) => return Ok(body.freeze()),
                Ok(None) => {
                    let read = timeout(idle, self.read_more()).await;
                    read.map_err(|_elapsed| ReadError::Slow)??;
                }
                Err(error) => return Err(ReadError::Malformed(error)),
            }
            if body.len() > most {
                return Err(ReadError::TooLarge);
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        self.received.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.received).await? {
            0 => Err(ReadError::Ended),
            _ => Ok(()),
        }
    }

    /// Answers a request; returns whether the connection can be used for another one.
    async fn answer(&mut self, call: IncomingCall) -> bool {
        let (mut reader, writer) = self.stream.split();
        let mut caller = CallerWriter::new(writer, &mut self.codec, &self.host.draining);
        let served = exchange::serve(&self.host, call, &mut caller);
        tokio::select! {
            biased;
            keeps = served => keeps,
            // Dropping the exchange closes the connection to the worker, which stops the work.
            () = caller_left(&mut reader, &mut self.received) => false,
        }
    }

    async fn reject(&mut self, error: &ReadError) {
        let Some(status) = error.status() else { return };
        let (_, writer) = self.stream.split();
        let mut caller = CallerWriter::new(writer, &mut self.codec, &self.host.draining);
        // The connection ends either way.
        let _ = caller.reject(status).await;
    }

    /// Ends the connection without a reset that could overtake the last answer.
    async fn linger(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut discarded = self.received.len();
        let drain = async {
            self.received.clear();
            while self.read_more().await.is_ok() {
                discarded += self.received.len();
                self.received.clear();
            }
        };
        // What a caller sends after the end is not read.
        let _ = timeout(LINGER_TIME, drain).await;
        if discarded > 0 {
            log_event!(self.host.log, LogEvent::BytesDiscarded, "bytes" => discarded);
        }
    }
}

/// Waits until the caller closes its connection.
async fn caller_left(reader: &mut ReadHalf<'_>, received: &mut BytesMut) {
    while received.len() < MAX_AHEAD {
        received.reserve(READ_BYTES);
        match reader.read_buf(received).await {
            Ok(0) | Err(_) => return,
            Ok(_) => (),
        }
    }
    std::future::pending::<()>().await;
}
