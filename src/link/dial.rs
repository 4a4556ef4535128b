//! Opening links and opening them again after they ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::LinkSet;
use super::error::HandshakeFault;
use super::error::LinkError;
use super::handshake::HANDSHAKE_TIMEOUT;
use super::handshake::LinkEnd;
use crate::kernel::name::HostName;

/// The shortest time between two attempts to open a link.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest time between two attempts to open a link.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Keeps a link to an address until the address is forgotten or the set is stopped.
pub async fn keep_dialing(set: Rc<LinkSet>, address: SocketAddr) {
    let mut backoff = MIN_BACKOFF;
    let mut name = None;
    while !set.is_stopped() && set.dialed.borrow().contains(&address) {
        // The other end may have opened a link in the meantime.
        let linked = name.as_ref().is_some_and(|name| set.is_connected(name));
        if !linked {
            match dial_once(&set, address, &mut name).await {
                Ok(()) => backoff = MIN_BACKOFF,
                Err(LinkError::Handshake(HandshakeFault::SameName)) => break,
                Err(error) => set.log_refusal(&error),
            }
        }
        tokio::select! {
            () = sleep(jitter(backoff)) => {}
            () = set.until_stopped() => {}
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    set.dialed.borrow_mut().remove(&address);
}

/// Opens a link and runs it until it ends.
async fn dial_once(
    set: &LinkSet,
    address: SocketAddr,
    name: &mut Option<HostName>,
) -> Result<(), LinkError> {
    let connection = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address)).await;
    let connection =
        connection.map_err(|_elapsed| LinkError::Handshake(HandshakeFault::Timeout))??;
    let (stream, peer) = set.greet(connection, LinkEnd::Dialer).await?;
    *name = Some(peer.host.clone());
    set.run(stream, peer, set.settings.host.clone()).await;
    Ok(())
}

/// Returns between half of a time and all of it, so that hosts do not dial in step.
fn jitter(time: Duration) -> Duration {
    time.mul_f64(rand::random_range(0.5..=1.0))
}
