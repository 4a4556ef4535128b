//! Accepting connections until a host stops.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::server::StopSignal;

/// The pause after a failed accept, such as when file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the signal is given, and then those that already wait.
///
/// Closing a listener resets the connections in its queue, whose peers may have sent a request.
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
            Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        serve(stream, peer);
    }
}
