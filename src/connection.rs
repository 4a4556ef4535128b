//! Connections to upstreams: opened as a step of their own and used for one request.
//!
//! An HTTP client with a pool may write a request on a connection that is dead, report the loss as
//! a failure to connect, or send the request again. So a connection is opened here, before the
//! request counts as dispatched, and the client gets it through a connector that hands it out once.
//! The client has no other way to reach the upstream.

use std::cell::Cell;
use std::future::Ready;
use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use awc::Client;
use awc::Connector;
use awc::http::Uri;
use thiserror::Error;

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

    /// Turns the connection into an HTTP client that can send one request.
    #[must_use]
    pub fn into_client(self) -> Client {
        let connector = SingleConnector {
            stream: Rc::new(Cell::new(Some(self.stream))),
        };
        Client::builder()
            .connector(Connector::new().connector(connector))
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish()
    }
}

/// A connector that hands out one open connection, once.
#[derive(Clone)]
struct SingleConnector {
    stream: Rc<Cell<Option<TcpStream>>>,
}

impl Service<ConnectInfo<Uri>> for SingleConnector {
    type Response = Connection<Uri, TcpStream>;
    type Error = ConnectError;
    type Future = Ready<Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, req: ConnectInfo<Uri>) -> Self::Future {
        let spent = || ConnectError::Io(io::ErrorKind::NotConnected.into());
        let stream = self.stream.take().ok_or_else(spent);
        ready(stream.map(|stream| Connection::new(req.request().clone(), stream)))
    }
}
