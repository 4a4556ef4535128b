//! Accept loop of a listener with graceful shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::server::StopSignal;

/// Delay after a failed accept, which can be caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is signalled, then those still in the listen queue, until it is
/// empty or an accept fails.
///
/// The queue is drained because closing a listener resets the connections in it, whose peers may
/// already have sent a request.
pub async fn accept_connections(
    listener: TcpListener,
    stop: &StopSignal,
    serve: impl Fn(TcpStream, SocketAddr),
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => break,
        };
        match accepted {
            Ok((stream, peer)) => serve(stream, peer),
            Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        serve(stream, peer);
    }
}
