//! Tunnels: connections to workers that one host opens for another, over the port of the links.
//!
//! A tunnel begins with the handshake of a link, in which the dialer names the worker. The listener
//! then answers whether it connected to that worker. From there on, both directions carry the bytes
//! of the connection as they are.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::net::TcpStream;

use super::LinkSet;
use super::error::HandshakeError;
use super::error::LinkError;
use super::handshake;
use super::handshake::AuthenticatedPeer;
use super::handshake::LinkEnd;
use super::handshake::LinkStream;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkerName;

/// The time without received bytes after which the host at the other end of a tunnel is probed, and
/// the interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a tunnel is closed.
const PROBE_RETRIES: u32 = 4;

/// The reason why a host opens no tunnel.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TunnelDenial {
    /// The host could not connect to the worker, but has connected to others.
    #[error("the other host can't connect to the worker either")]
    Unreachable,
    /// The host has lost the path to all workers itself.
    #[error("the other host has no path to workers either")]
    Isolated,
    /// The host does not know the worker, serves as many tunnels as it can, or is stopping.
    #[error("the other host opens no tunnel to the worker")]
    Unavailable,
}

/// The reason why a tunnel was not opened.
#[derive(Debug, Error)]
pub enum TunnelError {
    /// The connection to the other host failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The other host answered that it opens no tunnel.
    #[error(transparent)]
    Denied(#[from] TunnelDenial),
}

/// The answer of the listener: `None` if the tunnel is open.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct TunnelAnswer {
    denial: Option<TunnelDenial>,
}

/// The callback for hosts that want a tunnel through this one.
pub type TunnelListener = Rc<dyn Fn(TunnelRequest)>;

/// The request of another host for a tunnel to a worker.
pub struct TunnelRequest {
    stream: LinkStream,
    /// The host that wants the tunnel.
    pub host: HostName,
    /// The worker.
    pub worker: WorkerName,
}

impl fmt::Debug for TunnelRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TunnelRequest")
            .field("host", &self.host)
            .field("worker", &self.worker)
            .finish_non_exhaustive()
    }
}

impl TunnelRequest {
    /// Accepts the request and returns the connection to the other host, which carries the bytes of
    /// the connection to the worker.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has failed.
    pub async fn accept(mut self) -> Result<TcpStream, LinkError> {
        self.answer(None).await?;
        into_connection(self.stream)
    }

    /// Denies the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has failed.
    pub async fn deny(mut self, denial: TunnelDenial) -> Result<(), LinkError> {
        self.answer(Some(denial)).await
    }

    async fn answer(&mut self, denial: Option<TunnelDenial>) -> Result<(), LinkError> {
        let mut bytes = Vec::new();
        let written = ciborium::into_writer(&TunnelAnswer { denial }, &mut bytes);
        written.map_err(malformed)?;
        handshake::send(&mut self.stream, bytes).await
    }
}

impl LinkSet {
    /// Sets the callback for hosts that want a tunnel; without one, their connections are closed.
    pub fn on_tunnel(&self, listener: TunnelListener) {
        *self.tunnel_listener.borrow_mut() = Some(listener);
    }

    /// Opens a connection to a worker through a linked host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host can't be reached or opens no tunnel to the worker.
    pub async fn open_tunnel(
        &self,
        host: &HostName,
        worker: &WorkerName,
    ) -> Result<TcpStream, TunnelError> {
        let address = self.address(host);
        let address = address.ok_or_else(|| LinkError::NotConnected(host.clone()))?;
        let connection = TcpStream::connect(address).await.map_err(LinkError::from)?;
        let (mut stream, peer) = self
            .authenticate(connection, LinkEnd::Dialer, Some(worker))
            .await?;
        if peer.host != *host {
            return Err(LinkError::NotConnected(host.clone()).into());
        }
        let bytes = handshake::receive(&mut stream).await?;
        let answer: Result<TunnelAnswer, _> = ciborium::from_reader(&bytes[..]);
        if answer.is_err() && peer.revision.is_none() {
            // A host that knows no tunnels takes the connection for a link.
            self.record_earliest(&peer);
        }
        let answer = answer.map_err(malformed)?;
        match answer.denial {
            None => Ok(into_connection(stream)?),
            Some(denial) => Err(denial.into()),
        }
    }

    /// Hands a request for a tunnel to the listener.
    pub(super) fn accept_tunnel(&self, stream: LinkStream, peer: AuthenticatedPeer) {
        let listener = self.tunnel_listener.borrow().clone();
        if let (Some(listener), Some(worker)) = (listener, peer.tunnel) {
            listener(TunnelRequest {
                stream,
                host: peer.host,
                worker,
            });
        }
    }
}

fn into_connection(stream: LinkStream) -> Result<TcpStream, LinkError> {
    let connection = stream.into_inner().into_inner();
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_RETRIES);
    SockRef::from(&connection).set_tcp_keepalive(&keepalive)?;
    Ok(connection)
}

fn malformed(error: impl fmt::Display) -> LinkError {
    LinkError::Handshake(HandshakeError::Malformed(error.to_string()))
}
