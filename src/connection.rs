//! Connections to upstreams: opened as a step of their own and used for one request.
//!
//! An HTTP client with a pool may write a request on a connection that is dead, report the loss as
//! a failure to connect, or send the request again. So a connection is opened here, before the
//! request counts as dispatched, and the client gets it through a connector that hands it out once.
//! The client has no other way to reach the upstream.

use std::cell::Cell;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use awc::Client;
use awc::Connector;
use awc::http::Uri;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// The time within which a connection must open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection could not be opened, so nothing was written to the upstream.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The upstream refused the connection or can't be reached.
    #[error("can't connect to {address}: {source}")]
    Refused {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The upstream did not answer within [`CONNECT_TIMEOUT`].
    #[error("no connection to {address} within {CONNECT_TIMEOUT:?}")]
    TimedOut {
        /// The address.
        address: SocketAddr,
    },
}

/// An open connection to an upstream on which nothing was written yet.
#[derive(Debug)]
pub struct FreshConnection {
    stream: TcpStream,
}

impl FreshConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection does not open within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> Result<Self, OpenError> {
        let connect = TcpStream::connect(address);
        let Ok(opened) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
            return Err(OpenError::TimedOut { address });
        };
        let stream = opened.map_err(|source| OpenError::Refused { address, source })?;
        stream
            .set_nodelay(true)
            .map_err(|source| OpenError::Refused { address, source })?;
        Ok(Self { stream })
    }

    /// Returns the stream, for a codec that writes one request at a time on it.
    #[must_use]
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Turns the connection into an HTTP client that can send one request.
    #[must_use]
    pub fn into_client(self) -> Client {
        self.into_watched_client().0
    }

    /// Turns the connection into an HTTP client that can send one request, with a view of whether
    /// the upstream has closed the connection.
    #[must_use]
    pub fn into_watched_client(self) -> (Client, ClosedFlag) {
        let closed = ClosedFlag::default();
        let stream = WatchedStream {
            stream: self.stream,
            closed: closed.clone(),
        };
        let connector = SingleConnector {
            stream: Rc::new(Cell::new(Some(stream))),
        };
        let client = Client::builder()
            .connector(Connector::new().connector(connector))
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish();
        (client, closed)
    }
}

/// Whether an upstream has closed its side of a connection.
///
/// The HTTP client takes the end of a connection for the end of a chunked body, so the end of such
/// a body counts only while the connection is open.
#[derive(Clone, Debug, Default)]
pub struct ClosedFlag(Rc<Cell<bool>>);

impl ClosedFlag {
    /// Returns whether the end of the connection was read.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.get()
    }
}

/// A stream that notes when its end was read.
#[derive(Debug)]
struct WatchedStream {
    stream: TcpStream,
    closed: ClosedFlag,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let room = buf.remaining() > 0;
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(()))) && room && buf.filled().len() == before {
            self.closed.0.set(true);
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for WatchedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// A connector that hands out one open connection, once.
#[derive(Clone)]
struct SingleConnector {
    stream: Rc<Cell<Option<WatchedStream>>>,
}

impl Service<ConnectInfo<Uri>> for SingleConnector {
    type Response = Connection<Uri, WatchedStream>;
    type Error = ConnectError;
    type Future = future::Ready<Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, req: ConnectInfo<Uri>) -> Self::Future {
        let spent = || ConnectError::Io(io::ErrorKind::NotConnected.into());
        let stream = self.stream.take().ok_or_else(spent);
        future::ready(stream.map(|stream| Connection::new(req.request().clone(), stream)))
    }
}
