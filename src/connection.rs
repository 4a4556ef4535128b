//! Connections to upstreams, each opened separately. An HTTP client created from one sends a single
//! request.
//!
//! An HTTP client with a connection pool may write a request to a dead connection, report the loss
//! as a connect error, or send the request again. The connection is therefore opened before the
//! request counts as dispatched, and is passed to the client by a connector that returns it once.
//! The client can't open a connection itself.

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
use nix::errno::Errno;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// The timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound on the bytes of a request that the kernel takes and has not sent yet. Without it, the kernel
/// took an upload of 3 MiB whole while the worker read none of it, so the upload counted as written.
const MAX_UNSENT_BYTES: u32 = 128 << 10;

/// The reason why a connection could not be opened; nothing was written to the upstream.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The upstream refused the connection or is unreachable, or the socket failed.
    #[error("can't connect to {address}: {source}")]
    Refused {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection did not open within [`CONNECT_TIMEOUT`].
    #[error("no connection to {address} within {CONNECT_TIMEOUT:?}")]
    TimedOut {
        /// The address.
        address: SocketAddr,
    },
}

impl OpenError {
    /// Returns whether this host lacks what a connection needs: descriptors, memory for sockets or
    /// ports. Nothing is known of the upstream then.
    #[must_use]
    pub fn is_local_shortage(&self) -> bool {
        let Self::Refused { source, .. } = self else {
            return false;
        };
        let code = source.raw_os_error().map(Errno::from_raw);
        matches!(
            code,
            Some(
                Errno::EMFILE
                    | Errno::ENFILE
                    | Errno::ENOBUFS
                    | Errno::ENOMEM
                    | Errno::EADDRNOTAVAIL
            )
        )
    }
}

/// An open connection to an upstream to which nothing has been written yet.
#[derive(Debug)]
pub struct FreshConnection {
    stream: TcpStream,
}

impl FreshConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or does not open within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> Result<Self, OpenError> {
        let connect = TcpStream::connect(address);
        let Ok(opened) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
            return Err(OpenError::TimedOut { address });
        };
        let stream = opened.map_err(|source| OpenError::Refused { address, source })?;
        let options = SockRef::from(&stream);
        options
            .set_tcp_nodelay(true)
            .map_err(|source| OpenError::Refused { address, source })?;
        // Where the option is not supported, a worker that closes early during an upload is noticed later.
        let _ = options.set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Ok(Self { stream })
    }

    /// Returns the TCP stream, for use with a codec instead of an HTTP client.
    #[must_use]
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Converts the connection into an HTTP client that can send one request.
    #[must_use]
    pub fn into_client(self) -> Client {
        self.into_watched_client().0
    }

    /// Converts the connection into an HTTP client that can send one request, and a flag that is set
    /// when the upstream closes the connection.
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

/// A flag that is set when the upstream has closed its side of a connection.
///
/// The HTTP client treats the end of a connection as the end of a chunked body. Such a body is
/// complete only if the connection is still open at its end.
#[derive(Clone, Debug, Default)]
pub struct ClosedFlag(Rc<Cell<bool>>);

impl ClosedFlag {
    /// Returns whether the end of the stream was read.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.get()
    }
}

/// A TCP stream that sets a flag when its end is read.
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
        let has_space = buf.remaining() > 0;
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(()))) && has_space && buf.filled().len() == before {
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

/// A connector that returns one open connection, once.
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
        let already_used = || ConnectError::Io(io::ErrorKind::NotConnected.into());
        let stream = self.stream.take().ok_or_else(already_used);
        future::ready(stream.map(|stream| Connection::new(req.request().clone(), stream)))
    }
}
