//! Opening links, and reopening them with back-off after they ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::LinkSet;
use super::error::HandshakeError;
use super::error::LinkError;
use super::handshake::HANDSHAKE_TIMEOUT;
use super::handshake::LinkEnd;
use crate::kernel::name::HostName;

/// The initial back-off between two attempts to open a link, and the delay after a failed accept.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The upper bound of the back-off between two attempts to open a link.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Opens a link to an address and reopens it whenever it ends, unless the peer has opened one.
///
/// Returns after [`LinkSet::stop_dialing`] or [`LinkSet::stop`], or if the host at the address has
/// the name of this host.
pub async fn maintain_link(set: Rc<LinkSet>, address: SocketAddr) {
    let mut backoff = MIN_BACKOFF;
    let mut peer_name = None;
    while !set.is_stopped() && set.dialed.borrow().contains(&address) {
        // The peer may have opened a link from its side in the meantime.
        let linked = peer_name
            .as_ref()
            .is_some_and(|name| set.is_connected(name));
        if !linked {
            match dial_once(&set, address, &mut peer_name).await {
                Ok(()) => backoff = MIN_BACKOFF,
                Err(LinkError::Handshake(HandshakeError::SameName)) => break,
                Err(error) => set.log_rejection(&error),
            }
        }
        tokio::select! {
            () = sleep(jitter(backoff)) => {}
            () = set.wait_until_stopped() => {}
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    set.dialed.borrow_mut().remove(&address);
}

/// Opens a link and runs it until it ends; stores the name of the peer after the handshake.
async fn dial_once(
    set: &LinkSet,
    address: SocketAddr,
    peer_name: &mut Option<HostName>,
) -> Result<(), LinkError> {
    let connection = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address)).await;
    let connection = connection
        .map_err(|_elapsed| LinkError::Handshake(HandshakeError::Timeout))
        .and_then(|connected| connected.map_err(LinkError::from));
    if connection.is_err() {
        set.traffic.record_activity(|activity| activity.failed += 1);
    }
    let connection = connection?;
    let (stream, peer) = set.authenticate(connection, LinkEnd::Dialer, None).await?;
    *peer_name = Some(peer.host.clone());
    set.run(stream, peer, set.settings.host.clone()).await;
    Ok(())
}

/// Returns a random time between half of the back-off and all of it, so that hosts do not reconnect
/// in lockstep.
fn jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::random_range(0.5..=1.0))
}
