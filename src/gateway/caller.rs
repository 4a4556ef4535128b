//! Writes answers to caller connections.

use std::io;

use actix_codec::Encoder;
use actix_http::ConnectionType;
use actix_http::Response;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::header;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;

use crate::probe::ReceiveState;
use crate::server::StopSignal;
use crate::upstream::is_forwarded;

/// Writer for the answer to one request.
#[derive(Debug)]
pub struct CallerWriter<'a> {
    writer: WriteHalf<'a>,
    codec: &'a mut Codec,
    stopping: &'a StopSignal,
    started: bool,
}

impl<'a> CallerWriter<'a> {
    /// Creates the writer for the next answer on a connection.
    ///
    /// If `stopping` is set when the head is written, the answer closes the connection.
    #[must_use]
    pub const fn new(
        writer: WriteHalf<'a>,
        codec: &'a mut Codec,
        stopping: &'a StopSignal,
    ) -> Self {
        Self {
            writer,
            codec,
            stopping,
            started: false,
        }
    }

    /// Returns whether writing the answer has begun.
    #[must_use]
    pub const fn has_started(&self) -> bool {
        self.started
    }

    /// Returns whether the caller has closed the connection, as far as the kernel knows.
    #[must_use]
    pub fn has_disconnected(&self) -> bool {
        ReceiveState::of(self.writer.as_ref()) == ReceiveState::Closed
    }

    /// Returns whether the connection can be used for another request after this answer.
    #[must_use]
    pub fn keep_alive(&self) -> bool {
        // The codec tracks the connection header of the request and of the written answer.
        self.codec.keep_alive()
    }

    /// Writes the head of a worker's answer with those headers that [`is_forwarded`] permits.
    ///
    /// The body is sent with chunked encoding if `length` is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub async fn relay_head(&mut self, head: &ResponseHead, length: Option<u64>) -> io::Result<()> {
        let mut response = Response::with_body(head.status, ());
        for (name, value) in head.headers() {
            if is_forwarded(name) {
                response.headers_mut().append(name.clone(), value.clone());
            }
        }
        let size = length.map_or(BodySize::Stream, BodySize::Sized);
        self.write_head(response, size).await
    }

    /// Writes the next part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub async fn write_body(&mut self, bytes: Bytes) -> io::Result<()> {
        let mut out = BytesMut::with_capacity(bytes.len() + 16);
        self.codec.encode(Message::Chunk(Some(bytes)), &mut out)?;
        self.writer.write_all(&out).await
    }

    /// Ends a body with chunked encoding.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub async fn finish_body(&mut self) -> io::Result<()> {
        let mut out = BytesMut::new();
        self.codec.encode(Message::Chunk(None), &mut out)?;
        self.writer.write_all(&out).await
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
        self.write_head(response, size).await?;
        self.write_body(Bytes::from(body)).await
    }

    /// Answers a request that could not be read; the answer closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection failed.
    pub async fn reject(&mut self, status: StatusCode) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        self.write_head(response, BodySize::Sized(0)).await
    }

    async fn write_head(&mut self, mut response: Response<()>, size: BodySize) -> io::Result<()> {
        if self.stopping.is_stopped() {
            let close = ConnectionType::Close;
            response.head_mut().set_connection_type(close);
        }
        let mut out = BytesMut::with_capacity(512);
        self.codec
            .encode(Message::Item((response, size)), &mut out)?;
        self.started = true;
        self.writer.write_all(&out).await
    }
}
