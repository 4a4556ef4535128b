//! Test of the graceful shutdown of a listener.
//!
//! Closing a listener resets the connections in its queue, so a request that a peer has already sent
//! would be lost. The accept loop therefore drains the queue before the listener is closed.

use std::cell::Cell;
use std::time::Duration;

use actix_rt::System;
use borageladder::listener::accept_connections;
use borageladder::server::StopSignal;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit that is reached only if the accept loop does not end.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn queued_connections_are_served_before_the_listener_closes() {
    System::new().block_on(serve_queued());
}

async fn serve_queued() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let mut clients = Vec::new();
    for _ in 0..5 {
        clients.push(TcpStream::connect(address).await.expect("a listener"));
    }
    let stop = StopSignal::default();
    stop.stop();
    let served = Cell::new(0);
    let accepting = accept_connections(listener, &stop, |_, _| served.set(served.get() + 1));
    timeout(TEST_TIMEOUT, accepting)
        .await
        .expect("the accept loop ends");
    assert_eq!(served.get(), clients.len());
}
