//! Opening of connections to workers, directly or through another host.
//!
//! [`crate::kernel::reachability`] says when another host is asked and which.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpStream;

use super::host::GatewayHost;
use super::worker::ConnectionNumber;
use super::worker::ConnectionOpening;
use super::worker::ConnectionTunnel;
use super::worker::WorkerConnection;
use super::worker::WorkerEndpoint;
use crate::connection::FreshConnection;
use crate::connection::OpenError;
use crate::kernel::location::NetworkLocation;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkerName;
use crate::kernel::reachability::CONFIRMING_PEERS;
use crate::kernel::reachability::PeerCandidate;
use crate::kernel::reachability::ReachabilityTable;
use crate::kernel::roster::UpstreamRecord;
use crate::link::TunnelDenial;
use crate::link::TunnelError;
use crate::wire::WireRevision;

/// The time limit for a tunnel through one host.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(700);

/// The time limit for a direct connection that does not serve a request of this host. It leaves the
/// host that asks for a tunnel time to ask another one.
pub(super) const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The connections to workers that a host failed to open, and the tunnels that it serves.
#[derive(Debug, Default)]
pub(super) struct ConnectorState {
    pub(super) reachability: RefCell<ReachabilityTable>,
    /// The number of connections to workers that the host has opened.
    opened_connections: Cell<u64>,
    /// The number of tunnels that the host serves for others.
    pub(super) served_tunnels: Cell<usize>,
}

/// The delay before a request that got no connection, since this host lacks descriptors, asks again.
const SHORTAGE_DELAY: Duration = Duration::from_millis(50);

/// No connection to a worker could be opened, in any way; nothing was written to it.
#[derive(Debug, Error)]
#[error("{}", describe(*.address, .direct.as_ref()))]
pub(super) struct ConnectError {
    address: SocketAddr,
    /// The failure of the direct connection; `None` if it was given up.
    #[source]
    direct: Option<OpenError>,
    /// Whether the worker is at fault, as far as this host can find out: other hosts can't connect to
    /// it either, or there are none and this host can connect to other workers.
    pub(super) blames_worker: bool,
}

fn describe(address: SocketAddr, direct: Option<&OpenError>) -> String {
    match direct {
        Some(error) if error.is_local_shortage() => format!("this host {error}"),
        _ => format!("no connection to {address}, directly or through another host"),
    }
}

impl ConnectError {
    /// Returns whether this host lacks what a connection needs, so that nothing is known of the worker.
    pub(super) fn is_local_shortage(&self) -> bool {
        let direct = self.direct.as_ref();
        direct.is_some_and(OpenError::is_local_shortage)
    }

    async fn of_shortage(address: SocketAddr, error: OpenError) -> Self {
        // The request may be granted the same worker again at once.
        actix_rt::time::sleep(SHORTAGE_DELAY).await;
        Self {
            address,
            direct: Some(error),
            blames_worker: false,
        }
    }
}

/// The reason why no other host opened a connection.
struct TunnelFailure {
    /// Whether other hosts that have a path to workers failed to connect to this one.
    is_confirmed: bool,
    had_peers: bool,
}

impl GatewayHost {
    /// Returns whether the host has probably lost the path to all workers.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        let reachability = self.connector.reachability.borrow();
        reachability.is_isolated(self.clock.now())
    }

    /// Returns the number of connections that the host passes on for others.
    #[must_use]
    pub const fn served_tunnels(&self) -> usize {
        self.connector.served_tunnels.get()
    }

    /// Opens a connection to a worker: directly or, if that does not succeed soon, through another
    /// host.
    pub(super) async fn connect_worker(
        self: &Rc<Self>,
        worker: &WorkerName,
        endpoint: WorkerEndpoint,
    ) -> Result<WorkerConnection, ConnectError> {
        let address = endpoint.address;
        let mut direct = Box::pin(FreshConnection::open(address));
        let delay = self
            .connector
            .reachability
            .borrow()
            .tunnel_delay(self.clock.now(), worker);
        let mut refused = match tokio::time::timeout(delay, &mut direct).await {
            Ok(Ok(connection)) => return Ok(self.use_direct(worker, endpoint, connection)),
            // A tunnel would need a descriptor as well.
            Ok(Err(error)) if error.is_local_shortage() => {
                return Err(ConnectError::of_shortage(address, error).await);
            }
            Ok(Err(error)) => Some(error),
            Err(_elapsed) => None,
        };
        let mut tunnel = Box::pin(self.connect_through_peers(worker));
        let mut failure = None;
        loop {
            tokio::select! {
                biased;
                opened = &mut direct, if refused.is_none() => match opened {
                    Ok(connection) => return Ok(self.use_direct(worker, endpoint, connection)),
                    Err(error) => refused = Some(error),
                },
                opened = &mut tunnel, if failure.is_none() => match opened {
                    Ok((stream, host)) => {
                        return Ok(self.use_tunnel(worker, endpoint, stream, host));
                    }
                    Err(failed) => failure = Some(failed),
                },
            }
            // A host that has lost the path to workers does not hold a slot any longer.
            let gives_up = refused.is_some() || self.is_isolated();
            if let Some(failure) = failure.as_ref().filter(|_| gives_up) {
                self.check_path(worker).await;
                let is_sole_evidence = !failure.had_peers && !self.is_isolated();
                return Err(ConnectError {
                    address,
                    direct: refused,
                    blames_worker: failure.is_confirmed || is_sole_evidence,
                });
            }
        }
    }

    fn use_direct(
        &self,
        worker: &WorkerName,
        endpoint: WorkerEndpoint,
        connection: FreshConnection,
    ) -> WorkerConnection {
        let mut reachability = self.connector.reachability.borrow_mut();
        reachability.record_opened(worker);
        let (opening, http) = (self.connection_opening(endpoint), self.http.clone());
        WorkerConnection::new(opening, connection.into_stream(), None, http)
    }

    fn use_tunnel(
        self: &Rc<Self>,
        worker: &WorkerName,
        endpoint: WorkerEndpoint,
        stream: TcpStream,
        host: HostName,
    ) -> WorkerConnection {
        let checking = Rc::clone(self);
        let failed = worker.clone();
        actix_rt::spawn(async move { checking.check_path(&failed).await });
        let tunnel = ConnectionTunnel { host };
        let (opening, http) = (self.connection_opening(endpoint), self.http.clone());
        WorkerConnection::new(opening, stream, Some(tunnel), http)
    }

    /// Numbers a connection that was opened now.
    fn connection_opening(&self, endpoint: WorkerEndpoint) -> ConnectionOpening {
        let opened = &self.connector.opened_connections;
        opened.update(|count| count + 1);
        ConnectionOpening {
            number: ConnectionNumber(opened.get()),
            endpoint,
            opened_at: self.clock.now(),
        }
    }

    /// Keeps an idle connection for further requests if it leads to the present start of its worker.
    ///
    /// `idle_time` is the time for which the worker keeps it open, if the worker stated one.
    pub(super) fn keep_connection(
        &self,
        worker: &WorkerName,
        connection: WorkerConnection,
        idle_time: Option<Duration>,
    ) {
        let record = self.worker(worker);
        let present = record.as_ref().map(WorkerEndpoint::from);
        if present == Some(connection.endpoint()) {
            let now = self.clock.now();
            self.pool.put(now, worker, connection, idle_time);
        }
    }

    /// Records that no direct connection to a worker was opened in time, and connects to others to
    /// find out whether this host has lost its path.
    pub(super) async fn check_path(&self, worker: &WorkerName) {
        self.record_direct_failure(worker);
        let workers = self.state.registered_workers();
        let names = workers.iter().map(|record| record.worker.clone()).collect();
        let chosen = self
            .connector
            .reachability
            .borrow_mut()
            .choose_checks(self.clock.now(), names);
        let checked = workers
            .iter()
            .filter(|record| chosen.contains(&record.worker));
        let checks = checked.map(|record| self.check_worker(record));
        futures_util::future::join_all(checks).await;
    }

    async fn check_worker(&self, record: &UpstreamRecord) {
        let opening = FreshConnection::open(record.address);
        match tokio::time::timeout(DIRECT_TIMEOUT, opening).await {
            Ok(Ok(connection)) => {
                let endpoint = WorkerEndpoint::from(record);
                let connection = self.use_direct(&record.worker, endpoint, connection);
                self.keep_connection(&record.worker, connection, None);
            }
            Ok(Err(error)) if error.is_local_shortage() => (),
            Ok(Err(_)) | Err(_) => self.record_direct_failure(&record.worker),
        }
    }

    /// Records a failed direct connection, and closes the idle ones if the host has lost its path:
    /// requests on them would get no answer.
    fn record_direct_failure(&self, worker: &WorkerName) {
        let now = self.clock.now();
        let mut reachability = self.connector.reachability.borrow_mut();
        reachability.record_failure(now, worker);
        let is_isolated = reachability.is_isolated(now);
        drop(reachability);
        if is_isolated {
            self.pool.close_direct();
        }
    }

    /// Asks other hosts, one after the other, to open a connection to a worker.
    async fn connect_through_peers(
        &self,
        worker: &WorkerName,
    ) -> Result<(TcpStream, HostName), TunnelFailure> {
        let peers = self.choose_peers(worker);
        let needed = CONFIRMING_PEERS.min(peers.len());
        let mut unreachable = 0;
        for peer in &peers {
            let opening = self.links.open_tunnel(peer, worker);
            let opened = tokio::time::timeout(TUNNEL_TIMEOUT, opening).await;
            let now = self.clock.now();
            let mut reachability = self.connector.reachability.borrow_mut();
            match opened {
                Ok(Ok(stream)) => {
                    reachability.record_peer(now, peer, true);
                    return Ok((stream, peer.clone()));
                }
                Ok(Err(TunnelError::Denied(TunnelDenial::Unreachable))) => unreachable += 1,
                Ok(Err(_)) | Err(_) => reachability.record_peer(now, peer, false),
            }
            if unreachable >= needed {
                break;
            }
        }
        Err(TunnelFailure {
            is_confirmed: unreachable > 0 && unreachable >= needed,
            had_peers: !peers.is_empty(),
        })
    }

    fn choose_peers(&self, worker: &WorkerName) -> Vec<HostName> {
        let configuration = self.state.cell_configuration();
        let own = NetworkLocation::of(&configuration, &self.settings.datacenter);
        let peers = self.members.serving_peers().into_iter();
        let opens_tunnels = |host: &HostName| {
            let revision = self.links.peer_revision(host);
            revision.is_some_and(|revision| revision >= WireRevision::TUNNELS)
        };
        let linked = peers.filter(|(host, _)| opens_tunnels(host));
        let candidates = linked.map(|(host, datacenter)| {
            let location = NetworkLocation::of(&configuration, &datacenter);
            let distance = own.distance(&location);
            PeerCandidate { host, distance }
        });
        let candidates = candidates.collect();
        let reachability = self.connector.reachability.borrow();
        let (now, host) = (self.clock.now(), &self.settings.host);
        if self.host_count() > self.settings.direct_hosts {
            reachability.choose_peers_of_many(now, host, worker, candidates)
        } else {
            reachability.choose_peers(now, host, worker, candidates)
        }
    }
}
