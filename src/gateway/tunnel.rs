//! Tunnels that a host serves: it connects to a worker for another host and passes the bytes on.
//!
//! An orderly close and a reset are passed on as such. If this host ends, both connections are
//! reset, so that no truncated answer looks complete and no request runs for nobody.
//!
//! This host sends requests of its own to the same workers, so it watches the answers for one that
//! states that its worker leaves.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

use super::connector::DIRECT_TIMEOUT;
use super::host::GatewayHost;
use super::watched::HeaderScanner;
use super::watched::WatchedStream;
use crate::connection::FreshConnection;
use crate::link::TunnelDenial;
use crate::link::TunnelRequest;

/// The maximum number of tunnels that a host serves at once.
const MAX_SERVED_TUNNELS: usize = 256;

/// Counts a tunnel as served until dropped.
struct TunnelGuard {
    host: Rc<GatewayHost>,
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        let served = &self.host.connector.served_tunnels;
        served.set(served.get() - 1);
    }
}

impl TunnelGuard {
    /// Returns `None` if the host serves no further tunnel.
    fn acquire(host: &Rc<GatewayHost>) -> Option<Self> {
        let served = &host.connector.served_tunnels;
        if served.get() >= MAX_SERVED_TUNNELS || host.closing.is_stopped() {
            return None;
        }
        served.set(served.get() + 1);
        let host = Rc::clone(host);
        Some(Self { host })
    }
}

/// Serves the requests of other hosts for tunnels.
pub(super) fn serve_tunnels(host: &Rc<GatewayHost>) {
    let weak = Rc::downgrade(host);
    host.links.on_tunnel(Rc::new(move |request| {
        if let Some(host) = weak.upgrade() {
            actix_rt::spawn(serve(host, request));
        }
    }));
}

async fn serve(host: Rc<GatewayHost>, request: TunnelRequest) {
    let Some(_guard) = TunnelGuard::acquire(&host) else {
        // The other host asks the next one also without an answer.
        let _ = request.deny(TunnelDenial::Unavailable).await;
        return;
    };
    match connect(&host, &request).await {
        Ok(worker) => {
            let scanner = HeaderScanner::new(host.dialect.leaving_header());
            let (observing, name) = (Rc::clone(&host), request.worker.clone());
            let on_leaving = || observing.observe_leaving(&name);
            let worker = WatchedStream::new(worker, scanner, on_leaving);
            if let Ok(peer) = request.accept().await {
                // Errors are passed on as resets of the other connection.
                let _ = pass_on(peer, worker).await;
            }
        }
        Err(denial) => {
            let _ = request.deny(denial).await;
        }
    }
}

/// Connects to the worker directly; a tunnel never leads through a third host.
async fn connect(host: &GatewayHost, request: &TunnelRequest) -> Result<TcpStream, TunnelDenial> {
    let worker = &request.worker;
    let record = host.worker(worker).ok_or(TunnelDenial::Unavailable)?;
    let opening = FreshConnection::open(record.address);
    match tokio::time::timeout(DIRECT_TIMEOUT, opening).await {
        Ok(Ok(connection)) => {
            let mut reachability = host.connector.reachability.borrow_mut();
            reachability.record_opened(worker);
            return Ok(connection.into_stream());
        }
        Ok(Err(error)) if error.is_local_shortage() => return Err(TunnelDenial::Unavailable),
        Ok(Err(_)) | Err(_) => (),
    }
    host.check_path(worker).await;
    if host.is_isolated() {
        Err(TunnelDenial::Isolated)
    } else {
        Err(TunnelDenial::Unreachable)
    }
}

/// Passes bytes on in both directions until both connections are closed or one fails.
async fn pass_on(
    mut peer: TcpStream,
    mut worker: WatchedStream<impl FnMut() + Unpin>,
) -> io::Result<()> {
    let streams = [&peer, worker.stream()];
    for stream in streams {
        SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    }
    tokio::io::copy_bidirectional(&mut peer, &mut worker).await?;
    for stream in [&peer, worker.stream()] {
        SockRef::from(stream).set_linger(None)?;
    }
    Ok(())
}
