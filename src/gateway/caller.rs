//! Writes answers to caller connections.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;

use actix_codec::Encoder;
use actix_http::ConnectionType;
use actix_http::Response;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::Version;
use actix_http::body::BodySize;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::header;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;

use super::host::GatewayHost;
use super::unread::UnreadAnswer;
use crate::event::LogEvent;
use crate::kernel::backlog::BacklogStep;
use crate::kernel::clock::ClockTime;
use crate::log_event;
use crate::probe::ReceiveState;
use crate::upstream::is_forwarded;

/// What is done with a caller's connection after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    /// It serves further requests.
    Continue,
    /// It is closed in an orderly way.
    Close,
    /// It is reset, since the caller would take an orderly close for the end of a truncated answer.
    Reset,
}

/// How the connection ends the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerEnd {
    /// The answer ends before the connection does.
    Framed,
    /// Only the close of the connection ends the body, which is not complete.
    Close,
    /// The same, and the last part of the body has been passed to the writer.
    LastPart,
    /// The caller was cut off within the answer.
    CutOff,
}

/// Writer for the answer to one request.
///
/// What the caller doesn't take at once is kept, and is written by [`Self::run_while`] and
/// [`Self::flush`].
#[derive(Debug)]
pub struct CallerWriter<'a> {
    unread: UnreadAnswer<'a>,
    codec: &'a mut Codec,
    host: &'a GatewayHost,
    version: Version,
    started: Rc<Cell<bool>>,
    end: AnswerEnd,
}

impl<'a> CallerWriter<'a> {
    /// Creates the writer for the next answer on a connection.
    ///
    /// If the host is stopping when the head is written, the answer closes the connection.
    #[must_use]
    pub fn new(writer: WriteHalf<'a>, codec: &'a mut Codec, host: &'a GatewayHost) -> Self {
        Self {
            unread: UnreadAnswer::new(writer, host),
            codec,
            host,
            version: Version::HTTP_11,
            started: Rc::default(),
            end: AnswerEnd::Framed,
        }
    }

    /// Sets the version of the request, on which the framing of the answer depends; HTTP/1.1 by
    /// default.
    #[must_use]
    pub const fn with_version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// Returns whether writing the answer has begun.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Returns a value that is true once writing the answer has begun.
    #[must_use]
    pub fn start_flag(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.started)
    }

    /// Returns whether the caller has closed the connection, as far as the kernel knows.
    #[must_use]
    pub fn has_disconnected(&self) -> bool {
        ReceiveState::of(self.stream()) == ReceiveState::Closed
    }

    /// Returns whether the connection can be used for another request after this answer.
    #[must_use]
    pub fn keep_alive(&self) -> bool {
        // The codec tracks the connection header of the request and of the written answer.
        self.codec.keep_alive()
    }

    /// Returns what is done with the connection, given whether the answer was served to its end.
    #[must_use]
    pub fn connection_use(&self, served: bool) -> ConnectionUse {
        if self.end != AnswerEnd::Framed {
            ConnectionUse::Reset
        } else if served && self.keep_alive() {
            ConnectionUse::Continue
        } else {
            ConnectionUse::Close
        }
    }

    /// Writes the head of a worker's answer with those headers that [`is_forwarded`] permits.
    ///
    /// If `length` is `None`, the body is sent with chunked encoding, or until the close of the
    /// connection to callers of HTTP/1.0, which has no such encoding.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub fn relay_head(&mut self, head: &ResponseHead, length: Option<u64>) -> io::Result<()> {
        let mut response = Response::with_body(head.status, ());
        for (name, value) in head.headers() {
            if is_forwarded(name) {
                response.headers_mut().append(name.clone(), value.clone());
            }
        }
        let size = length.map_or(BodySize::Stream, BodySize::Sized);
        if length.is_none() && self.version < Version::HTTP_11 {
            self.begin_body_until_close(&mut response)?;
        }
        self.write_head(response, size)
    }

    /// Writes the next part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub fn write_body(&mut self, bytes: Bytes) -> io::Result<()> {
        let mut out = BytesMut::with_capacity(bytes.len() + 16);
        self.codec.encode(Message::Chunk(Some(bytes)), &mut out)?;
        self.unread.push(&out)
    }

    /// Ends a body without a length.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub fn finish_body(&mut self) -> io::Result<()> {
        let mut out = BytesMut::new();
        self.codec.encode(Message::Chunk(None), &mut out)?;
        if self.end == AnswerEnd::Close {
            self.end = AnswerEnd::LastPart;
        }
        self.unread.push(&out)
    }

    /// Returns whether the host has memory to hold the beginning of an answer back.
    pub fn reserve_beginning(&mut self, bytes: usize) -> bool {
        self.unread.reserve(bytes)
    }

    /// Runs a step that brings further bytes of the answer, and writes what the caller takes meanwhile.
    /// The step doesn't begin while too much is unread.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed, or was reset because it took nothing for too
    /// long.
    pub async fn run_while<T>(&mut self, step: impl Future<Output = T>) -> io::Result<T> {
        let mut step = pin!(step);
        loop {
            match self.unread.step() {
                BacklogStep::CutOff => return Err(self.cut_off()),
                BacklogStep::Wait(limit) => self.unread.drain_until(limit).await?,
                BacklogStep::Read => tokio::select! {
                    biased;
                    done = &mut step => return Ok(done),
                    drained = self.unread.drain() => drained?,
                },
            }
        }
    }

    /// Writes what is left of the answer. The caller is cut off if it takes nothing for too long after the
    /// deadline of its request.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed or was reset.
    pub async fn flush(&mut self, deadline: ClockTime) -> io::Result<()> {
        while let Some(step) = self.unread.ending_step(deadline) {
            match step {
                BacklogStep::CutOff => return Err(self.cut_off()),
                BacklogStep::Wait(limit) => self.unread.drain_until(limit).await?,
                BacklogStep::Read => (),
            }
        }
        if self.end == AnswerEnd::LastPart {
            SockRef::from(self.stream()).set_linger(None)?;
            self.end = AnswerEnd::Framed;
        }
        Ok(())
    }

    /// Resets the connection once it is dropped, and discards what the caller has not taken.
    fn cut_off(&mut self) -> io::Error {
        // If the option can't be set, the connection is closed in an orderly way, within the answer.
        let _ = self.stream().set_zero_linger();
        self.end = AnswerEnd::CutOff;
        self.host.metrics.caller_cut_off();
        let unread = self.unread.held();
        log_event!(self.host.log, LogEvent::CallerCutOff, "bytes" => unread);
        io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller took nothing for too long",
        )
    }

    fn stream(&self) -> &TcpStream {
        self.unread.writer().as_ref()
    }

    /// Prepares a body that the close of the connection ends.
    ///
    /// Until the body is complete, any close resets the connection, also one by the kernel after the
    /// end of the process.
    fn begin_body_until_close(&mut self, response: &mut Response<()>) -> io::Result<()> {
        let head = response.head_mut();
        head.no_chunking(true);
        head.set_connection_type(ConnectionType::Close);
        self.stream().set_zero_linger()?;
        self.end = AnswerEnd::Close;
        Ok(())
    }

    /// Writes a complete plain-text answer of the gateway itself.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub async fn write_local_answer(
        &mut self,
        status: StatusCode,
        retry_after: Option<&str>,
        reason: &str,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        if let Some(Ok(value)) = retry_after.map(HeaderValue::from_str) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        let body = format!("{reason}\n");
        let size = BodySize::Sized(body.len() as u64);
        self.write_head(response, size)?;
        self.write_body(Bytes::from(body))?;
        self.flush(ClockTime::ZERO).await
    }

    /// Answers a request that was not read; the answer closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub async fn reject(
        &mut self,
        status: StatusCode,
        retry_after: Option<&str>,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        if let Some(Ok(value)) = retry_after.map(HeaderValue::from_str) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        self.write_head(response, BodySize::Sized(0))?;
        self.flush(ClockTime::ZERO).await
    }

    fn write_head(&mut self, mut response: Response<()>, size: BodySize) -> io::Result<()> {
        if self.host.stopping.is_stopped() {
            let close = ConnectionType::Close;
            response.head_mut().set_connection_type(close);
        }
        let mut out = BytesMut::with_capacity(512);
        self.codec
            .encode(Message::Item((response, size)), &mut out)?;
        self.started.set(true);
        self.unread.push(&out)
    }
}
