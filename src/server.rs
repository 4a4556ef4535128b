//! An HTTP server on the current thread, with a connection limit and a graceful shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_rt::net::TcpListener;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::listener::accept_connections;
use crate::probe::ConnectionProbe;
use crate::unframed::adapt_response;

/// The timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The time for which an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_mins(1);

/// The reason why a server could not be started.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The address of the listener can't be read.
    #[error("can't read the address of the listener: {0}")]
    Address(#[source] std::io::Error),
    /// The HTTP service could not be created.
    #[error("can't create the HTTP service")]
    Service,
}

/// A shutdown signal that any number of tasks can wait for.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: Rc<watch::Sender<bool>>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self {
            sender: Rc::new(watch::Sender::new(false)),
        }
    }
}

impl StopSignal {
    /// Sends the signal.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the signal was sent.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the signal is sent.
    pub async fn stopped(&self) {
        let mut receiver = self.sender.subscribe();
        // Waiting fails only after the sender was dropped, and self holds the sender.
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}

/// The number of open connections, with a notification for each one that closes.
#[derive(Debug, Default)]
struct ConnectionCount {
    open: Cell<usize>,
    closed: Notify,
}

/// Decrements the count when it is dropped at the end of a connection.
#[derive(Debug)]
struct ConnectionGuard(Rc<ConnectionCount>);

impl ConnectionGuard {
    fn new(count: &Rc<ConnectionCount>) -> Self {
        count.open.set(count.open.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.closed.notify_waiters();
    }
}

/// A listening HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    count: Rc<ConnectionCount>,
    stop: StopSignal,
}

impl HttpServer {
    /// Serves the requests that arrive at the listener on the current thread.
    ///
    /// Connections above `max_connections` are closed at once. After the stop signal only
    /// connections in the listen queue are still accepted, and each open connection is closed after
    /// its current answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the listener can't be read or the HTTP service can't be
    /// created.
    pub async fn start<H, F>(
        listener: TcpListener,
        max_connections: usize,
        stop: StopSignal,
        handler: H,
    ) -> Result<Self, ServerError>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        let address = listener.local_addr().map_err(ServerError::Address)?;
        let signal = stop.clone();
        let factory = HttpService::build()
            .keep_alive(KEEP_ALIVE)
            .client_request_timeout(HEAD_TIMEOUT)
            .on_connect_ext(|stream: &TcpStream, data| {
                // Without a probe, a disconnect is detected when the runtime reports it.
                if let Ok(probe) = ConnectionProbe::new(stream) {
                    data.insert(Rc::new(probe));
                }
            })
            // A caller that disconnects must cancel the handler, also while the request waits.
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || {
                let signal = signal.clone();
                async move { signal.stopped().await }
            })
            .h1(fn_service(move |request: Request| {
                let version = request.version();
                let connection = request.conn_data::<Rc<ConnectionProbe>>().map(Rc::clone);
                let answer = handler(request);
                async move {
                    let answer = adapt_response(answer.await, version, connection.as_ref());
                    Ok::<_, Infallible>(answer)
                }
            }));
        let service = factory
            .new_service(())
            .await
            .map_err(|()| ServerError::Service)?;
        let service = Rc::new(service);
        let count = Rc::new(ConnectionCount::default());
        let serve = connection_server(service, Rc::clone(&count), max_connections);
        let signal = stop.clone();
        actix_rt::spawn(async move { accept_connections(listener, &signal, serve).await });
        Ok(Self {
            address,
            count,
            stop,
        })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the stop signal was sent and every connection has ended.
    pub async fn finished(&self) {
        self.stop.stopped().await;
        while self.count.open.get() > 0 {
            self.count.closed.notified().await;
        }
    }
}

fn connection_server<S>(
    service: Rc<S>,
    count: Rc<ConnectionCount>,
    max_connections: usize,
) -> impl Fn(TcpStream, SocketAddr)
where
    S: Service<(TcpStream, Option<SocketAddr>), Response = ()> + 'static,
{
    move |stream, peer| {
        if count.open.get() >= max_connections || stream.set_nodelay(true).is_err() {
            return;
        }
        let guard = ConnectionGuard::new(&count);
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            // An error means that the client broke the connection or violated the protocol.
            let _ = service.call((stream, Some(peer))).await;
            drop(guard);
        });
    }
}
