//! The platform's host list, which shows leaving workers with a delay.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use borageladder_kernel::name::WorkerName;
use borageladder_kernel::table::HostList;
use borageladder_kernel::table::ListedHost;
use borageladder_kernel::table::ListedState;
use futures_util::future::LocalBoxFuture;

use crate::control::FaultState;
use crate::server;
use crate::server::CallHandler;
use crate::server::ServerState;
use crate::server::ServiceCall;
use crate::server::json_answer;
use crate::server::text_answer;

/// The host list and the delay with which it shows leaving workers.
#[derive(Debug, Default)]
pub struct HostListing {
    workers: Vec<WorkerName>,
    leaving_delay: Duration,
    leaving_since: RefCell<BTreeMap<WorkerName, Instant>>,
}

impl HostListing {
    /// Creates a list that shows `workers` as live and a leaving worker as leaving only after
    /// `leaving_delay`.
    ///
    /// A leaving worker that is not one of `workers` is absent from the list until then.
    #[must_use]
    pub fn new(workers: Vec<WorkerName>, leaving_delay: Duration) -> Self {
        Self {
            workers,
            leaving_delay,
            leaving_since: RefCell::default(),
        }
    }

    /// Records the current time for workers that are newly marked as leaving, and removes the
    /// recorded time of workers that are no longer marked.
    pub fn record_leaving(&self, faults: &FaultState) {
        let workers = faults.leaving_workers();
        let mut leaving_since = self.leaving_since.borrow_mut();
        leaving_since.retain(|worker, _| workers.contains(worker));
        for worker in workers {
            leaving_since.entry(worker).or_insert_with(Instant::now);
        }
    }

    /// Answers `GET /hosts`.
    #[must_use]
    pub fn answer(&self, faults: &FaultState) -> Response<BoxBody> {
        self.record_leaving(faults);
        json_answer(StatusCode::OK, &self.list())
    }

    fn list(&self) -> HostList {
        let leaving_since = self.leaving_since.borrow();
        let live = self
            .workers
            .iter()
            .map(|worker| (worker, ListedState::Live));
        let mut states: BTreeMap<&WorkerName, ListedState> = live.collect();
        for (worker, since) in leaving_since.iter() {
            if since.elapsed() >= self.leaving_delay {
                states.insert(worker, ListedState::Leaving);
            }
        }
        let hosts = states.into_iter().map(|(worker, state)| ListedHost {
            worker: worker.clone(),
            state,
        });
        HostList {
            hosts: hosts.collect(),
        }
    }
}

/// The HTTP service of a host list without the rest of the platform.
#[derive(Debug)]
pub struct HostsService {
    state: Rc<ServerState>,
    hosts: HostListing,
}

impl HostsService {
    /// Serves the list on the current thread and returns its bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, hosts: HostListing) -> io::Result<SocketAddr> {
        let state = Rc::new(ServerState::default());
        let service = Rc::new(Self {
            state: Rc::clone(&state),
            hosts,
        });
        server::start(address, state, service)
    }
}

impl CallHandler for HostsService {
    fn answer(self: Rc<Self>, call: ServiceCall) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move {
            match (call.method.as_str(), call.path.as_str()) {
                ("GET", "/hosts") => self.hosts.answer(&self.state.faults),
                _ => text_answer(StatusCode::NOT_FOUND, "no such call"),
            }
        })
    }

    fn faults_changed(&self) {
        self.hosts.record_leaving(&self.state.faults);
    }
}
