//! Listeners of hosts that stop.

use std::cell::Cell;
use std::time::Duration;

use actix_rt::System;
use borageladder::listener::accept_connections;
use borageladder::server::StopSignal;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A bound that only a hanging test reaches.
const HANG_TIME: Duration = Duration::from_secs(20);

#[test]
fn connections_that_wait_when_the_listener_closes_are_served() {
    System::new().block_on(serve_waiting());
}

async fn serve_waiting() {
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
    timeout(HANG_TIME, accepting).await.expect("it ends");
    assert_eq!(served.get(), clients.len());
}
