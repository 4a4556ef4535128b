//! Listening on an address, and the accept loop of a listener with graceful shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::event::LogEvent;
use crate::log_event;
use crate::server::StopSignal;

/// Delay after a failed accept, which can be caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The delay after the first failed attempt to listen on an address; it doubles with each further one.
const MIN_LISTEN_DELAY: Duration = Duration::from_millis(100);

/// The longest delay between two attempts to listen on an address.
const MAX_LISTEN_DELAY: Duration = Duration::from_secs(1);

/// Listens on an address, and tries again until that succeeds: a process that is ending or suspended
/// may still hold the address.
///
/// # Examples
///
/// ```
/// use borageladder::listener::listen;
///
/// # actix_rt::System::new().block_on(async {
/// let log = slog::Logger::root(slog::Discard, slog::o!());
/// let listener = listen(([127, 0, 0, 1], 0).into(), &log).await;
/// assert!(listener.local_addr().is_ok());
/// # });
/// ```
pub async fn listen(address: SocketAddr, log: &Logger) -> TcpListener {
    let mut delay = MIN_LISTEN_DELAY;
    let mut was_unavailable = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) if was_unavailable => {
                log_event!(log, LogEvent::AddressAvailable, "address" => address.to_string());
                return listener;
            }
            Ok(listener) => return listener,
            Err(error) => log_event!(log, LogEvent::AddressUnavailable,
                "address" => address.to_string(),
                "error" => error.to_string()),
        }
        was_unavailable = true;
        actix_rt::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_LISTEN_DELAY);
    }
}

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
