//! Caller connections of the gateway.
//!
//! A request is read completely before it is planned. If the caller disconnects while its request is
//! served, the request is cancelled.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::Decoder;
use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::bodies::BodyReservation;
use super::caller::CallerWriter;
use super::caller::ConnectionUse;
use super::connections::ConnectionLease;
use super::document::CallerLimits;
use super::exchange;
use super::expectation::CONTINUE;
use super::expectation::expects_continue;
use super::host::GatewayHost;
use super::plan;
use super::read_ahead::READ_BYTES;
use super::read_ahead::wait_for_disconnect;
use super::read_error::ReadError;
use crate::event::LogEvent;
use crate::kernel::memory::BodyClaim;
use crate::kernel::memory::MAX_SHORT_BODY;
use crate::kernel::name::TierRank;
use crate::listener::accept_connections;
use crate::log_event;

/// The factor by which the claim of a body of unknown length grows.
const CLAIM_GROWTH: usize = 8;

/// The longest time for which a request waits for memory before its body is read. A caller gives an
/// attempt up if the host does not read its request within a second, or a third of its own time.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(800);

/// The divisor of the time that the caller waits which limits that time as well.
const MEMORY_WAIT_DIVISOR: u32 = 4;

/// The time limit for reading a long body of a caller that does not say how long it waits.
const MAX_BODY_TIME: Duration = Duration::from_mins(1);

/// Upper bound on the bytes of an answer that the kernel takes and has not sent yet. With it, the kernel takes
/// more as soon as the caller has taken some bytes, and not only once much of its buffer is free.
const MAX_UNSENT_BYTES: u32 = 1 << 20;

/// Time for which the host keeps reading after it has shut down its side of a connection.
///
/// Closing a socket with unread data resets the connection, which can discard an answer that the
/// caller has not read yet.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct CallerRequest {
    /// The request line and the headers.
    pub head: Request,
    /// The body without its transfer encoding; empty if the request has none.
    pub body: Bytes,
    /// The memory reserved for the body; `None` if the request has none.
    pub reservation: Option<BodyReservation>,
}

/// Accepts and serves caller connections until the host stops accepting requests.
pub async fn accept_callers(host: Rc<GatewayHost>, listener: TcpListener) {
    let closing = host.closing.clone();
    accept_connections(listener, &closing, |stream, _| {
        match host.connections.accept() {
            Ok(lease) => {
                actix_rt::spawn(serve_connection(Rc::clone(&host), stream, lease));
            }
            // The connection is closed with its request unread, so the caller can conclude that the
            // request did not run.
            Err(error) => {
                host.metrics.connection_refused();
                log_event!(host.log, LogEvent::ConnectionRefused, "reason" => error.to_string());
            }
        }
    })
    .await;
}

async fn serve_connection(host: Rc<GatewayHost>, stream: TcpStream, lease: ConnectionLease) {
    // If the options can't be set, answers are merely delayed, or the kernel holds more of them.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let mut connection = CallerConnection {
        codec: Codec::new(host.http.clone()),
        host,
        stream,
        lease,
        received: BytesMut::new(),
    };
    connection.run().await;
}

struct CallerConnection {
    host: Rc<GatewayHost>,
    stream: TcpStream,
    lease: ConnectionLease,
    codec: Codec,
    received: BytesMut,
}

impl CallerConnection {
    async fn run(&mut self) {
        loop {
            let request = match self.read_next_request().await {
                Ok(read) => read,
                // A request that arrives during the close stays unread, so the connection is reset
                // without an answer and the caller can conclude that the request did not run.
                Err(ReadError::Closed | ReadError::Idle) => return,
                Err(error) => {
                    self.reject(&error).await;
                    break;
                }
            };
            let _in_flight = self.host.track_request();
            match self.serve_request(request).await {
                ConnectionUse::Continue => (),
                ConnectionUse::Close => break,
                ConnectionUse::Reset => return,
            }
        }
        self.linger().await;
    }

    /// Reads the next request.
    ///
    /// The head must be complete within a fixed time after its first bytes, or after this call if
    /// they were received before it. The body only has to keep arriving: its time limit applies to
    /// each read.
    async fn read_next_request(&mut self) -> Result<CallerRequest, ReadError> {
        let limits = self.host.limits();
        if self.received.is_empty() {
            self.lease.rest();
            let closer = self.lease.closer();
            let closing = self.host.closing.clone();
            tokio::select! {
                biased;
                () = closer.closed() => return Err(ReadError::Idle),
                read = timeout(limits.idle_time, self.read_first()) => {
                    read.map_err(|_elapsed| ReadError::Idle)??;
                }
                () = closing.stopped() => return Err(ReadError::Idle),
            }
        }
        self.charge()?;
        let head = timeout(limits.head_time, self.read_head(limits.head_bytes)).await;
        let head = head.map_err(|_elapsed| ReadError::TimedOut)??;
        let (body, reservation) = match self.codec.message_type() {
            MessageType::None => (Bytes::new(), None),
            MessageType::Payload | MessageType::Stream => {
                let reading = self.read_reserved_body(&head, &limits);
                let (body, reservation) = reading.await?;
                (body, Some(reservation))
            }
        };
        Ok(CallerRequest {
            head,
            body,
            reservation,
        })
    }

    /// Reserves memory for a body and reads it.
    ///
    /// A body of unknown length is read as a short one at first, and claims more as it goes on. A long
    /// body has to arrive within the time that the caller waits for its answer.
    async fn read_reserved_body(
        &mut self,
        head: &Request,
        limits: &CallerLimits,
    ) -> Result<(Bytes, BodyReservation), ReadError> {
        let stated = stated_length(head);
        if stated.is_some_and(|length| length > limits.body_bytes) {
            return Err(ReadError::BodyTooLarge);
        }
        let short = usize::try_from(MAX_SHORT_BODY).unwrap_or(usize::MAX);
        let mut capacity = stated.unwrap_or(short).min(limits.body_bytes);
        let longest = self.host.bodies.longest(limits.body_bytes);
        let mut reservation = self.reserve(head, capacity).await?;
        if expects_continue(head) && self.received.is_empty() {
            self.stream.write_all(CONTINUE).await?;
        }
        let mut body = BytesMut::with_capacity(stated.map_or(0, |_| capacity));
        while !self.read_body(head, &mut body, capacity, limits).await? {
            if capacity >= longest {
                return Err(ReadError::BodyTooLarge);
            }
            capacity = capacity.saturating_mul(CLAIM_GROWTH).min(longest);
            // What has been read stays reserved until it is copied.
            let larger = self.reserve(head, capacity).await?;
            body.reserve(capacity.saturating_sub(body.len()));
            reservation = larger;
        }
        reservation.shrink(body.len() as u64);
        Ok((body.freeze(), reservation))
    }

    /// Charges the connection for a request, of whose head the received bytes are the beginning.
    fn charge(&self) -> Result<(), ReadError> {
        let charged = self.lease.charge(self.received.len());
        if let Err(error) = &charged {
            self.host.metrics.connection_refused();
            log_event!(self.host.log, LogEvent::ConnectionRefused, "reason" => error.to_string());
        }
        Ok(charged?)
    }

    /// Reserves memory for a body of a request.
    async fn reserve(&self, head: &Request, bytes: usize) -> Result<BodyReservation, ReadError> {
        let bytes = bytes as u64;
        let (workspace, tier) = if bytes > MAX_SHORT_BODY {
            plan::request_owner(&self.host, head)
        } else {
            (None, TierRank::default())
        };
        let claim = BodyClaim {
            workspace,
            tier,
            bytes,
        };
        let limit = || MAX_MEMORY_WAIT.min(self.caller_timeout(head) / MEMORY_WAIT_DIVISOR);
        let reserved = self.host.bodies.reserve(claim, limit).await;
        if let Err(error) = &reserved {
            self.host.metrics.body_refused();
            let metadata = self.host.dialect.call_metadata(head.headers());
            log_event!(self.host.log, LogEvent::BodyRefused,
                "id" => metadata.attempt_id,
                "bytes" => bytes,
                "reason" => error.to_string());
        }
        Ok(reserved?)
    }

    /// Returns the time that the caller waits for its answer.
    fn caller_timeout(&self, head: &Request) -> Duration {
        let metadata = self.host.dialect.call_metadata(head.headers());
        metadata.timeout.unwrap_or(MAX_BODY_TIME)
    }

    async fn read_head(&mut self, limit: usize) -> Result<Request, ReadError> {
        loop {
            let buffered = self.received.len();
            match self.codec.decode(&mut self.received) {
                Ok(Some(Message::Item(_))) if buffered - self.received.len() > limit => {
                    return Err(ReadError::HeadTooLarge);
                }
                Ok(Some(Message::Item(head))) => return Ok(head),
                Ok(Some(Message::Chunk(_))) => (),
                Ok(None) if self.received.len() > limit => return Err(ReadError::HeadTooLarge),
                Ok(None) => {
                    self.charge()?;
                    self.read_more().await?;
                }
                Err(ParseError::TooLarge) => return Err(ReadError::HeadTooLarge),
                Err(error) => return Err(ReadError::Malformed(error)),
            }
        }
    }

    /// Reads a body to its end, or until it is longer than the limit; returns whether it is complete.
    async fn read_body(
        &mut self,
        head: &Request,
        body: &mut BytesMut,
        limit: usize,
        limits: &CallerLimits,
    ) -> Result<bool, ReadError> {
        let time = if limit as u64 > MAX_SHORT_BODY {
            self.caller_timeout(head)
        } else {
            Duration::MAX
        };
        let reading = async {
            loop {
                match self.codec.decode(&mut self.received) {
                    Ok(Some(Message::Chunk(Some(bytes)))) => body.extend_from_slice(&bytes),
                    Ok(Some(Message::Chunk(None) | Message::Item(_))) => return Ok(true),
                    Ok(None) => {
                        let read = timeout(limits.idle_time, self.read_more()).await;
                        read.map_err(|_elapsed| ReadError::TimedOut)??;
                    }
                    Err(error) => return Err(ReadError::Malformed(error)),
                }
                if body.len() > limit {
                    return Ok(false);
                }
            }
        };
        timeout(time, reading)
            .await
            .map_err(|_elapsed| ReadError::TimedOut)?
    }

    /// Reads the first bytes of a request; no buffer is held until they have arrived.
    async fn read_first(&mut self) -> Result<(), ReadError> {
        loop {
            self.received = BytesMut::new();
            self.stream.readable().await?;
            self.received.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.received) {
                Ok(0) => return Err(ReadError::Closed),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                Err(error) => return Err(error.into()),
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        self.received.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.received).await? {
            0 => Err(ReadError::Closed),
            _ => Ok(()),
        }
    }

    /// Serves a request; returns what is done with the connection afterwards.
    async fn serve_request(&mut self, request: CallerRequest) -> ConnectionUse {
        let (mut reader, writer) = self.stream.split();
        let version = request.head.version();
        let caller = CallerWriter::new(writer, &mut self.codec, &self.host);
        let mut caller = caller.with_version(version);
        // On the heap, so that a connection that waits for a request doesn't hold its space.
        let exchange = Box::pin(exchange::serve(&self.host, request, &mut caller));
        let served = tokio::select! {
            biased;
            served = exchange => served,
            // Dropping the exchange closes the connection to the worker, which cancels the work.
            () = wait_for_disconnect(&mut reader, &mut self.received) => false,
        };
        caller.connection_use(served)
    }

    /// Answers a request that could not be read, if its error has a status.
    async fn reject(&mut self, error: &ReadError) {
        let Some(status) = error.status() else { return };
        let (_, writer) = self.stream.split();
        let mut caller = CallerWriter::new(writer, &mut self.codec, &self.host);
        let retry_after = error.retry_after();
        let retry_after = retry_after.map(|time| self.host.dialect.retry_after(time));
        // The connection is closed next, so a failed write needs no handling.
        let _ = caller.reject(status, retry_after.as_deref()).await;
    }

    /// Shuts down the sending side and discards further input for up to [`LINGER_TIME`].
    async fn linger(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let closer = self.lease.closer();
        let mut discarded = self.received.len();
        let drain = async {
            self.received = BytesMut::new();
            while self.read_more().await.is_ok() {
                discarded += self.received.len();
                self.received.clear();
            }
        };
        // A caller that is still sending after the time limit, or whose request was not read while
        // there is no room for others, gets a reset.
        tokio::select! {
            _ = timeout(LINGER_TIME, drain) => (),
            () = closer.closed() => (),
        }
        if discarded > 0 {
            log_event!(self.host.log, LogEvent::BytesDiscarded, "bytes" => discarded);
        }
    }
}

/// Returns the length of the body that the head states, if it does.
fn stated_length(head: &Request) -> Option<usize> {
    let value = head.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
