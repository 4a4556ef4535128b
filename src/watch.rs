//! Polls of worker load, cache events and the host list.
//!
//! The broker and the deputy of a cell poll the cell's workers; every host polls the platform's host
//! list. Poll results may be out of date, so they only reduce the work that a worker gets: a
//! reported load lowers its limit, and a worker that is leaving according to its own report or the
//! host list gets no new requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use futures_util::future::join_all;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::cell::CellId;
use crate::connection::FreshConnection;
use crate::context::HostContext;
use crate::event::LogEvent;
use crate::kernel::ask::CacheBatch;
use crate::kernel::ask::CacheEvent;
use crate::kernel::ask::LoadReport;
use crate::kernel::configuration::ServiceKind;
use crate::kernel::name::BlockDigest;
use crate::kernel::name::WorkerName;
use crate::kernel::table::ListedState;
use crate::log_event;

/// The minimum time between two polls of a worker.
pub const WORKER_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two rounds of polls for each polled worker.
///
/// For many workers this is longer than [`WORKER_POLL_INTERVAL`], so that the poll rate of a host
/// that is the broker of large cells is bounded.
pub const WORKER_POLL_SPACING: Duration = Duration::from_millis(100);

/// The time between two polls of the host list.
pub const HOST_LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The timeout of one call to a worker.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum size of an answer to a poll, in bytes.
const MAX_POLL_BYTES: usize = 1_048_576;

/// The leaving workers: those in the host list, and those that reported it themselves.
#[derive(Debug, Default)]
struct LeavingRegister {
    listed: BTreeSet<WorkerName>,
    reported: BTreeSet<WorkerName>,
}

impl LeavingRegister {
    fn set_reported(&mut self, worker: &WorkerName, leaving: bool) {
        if leaving {
            self.reported.insert(worker.clone());
        } else {
            self.reported.remove(worker);
        }
    }
}

#[derive(Deserialize)]
struct CacheAnswer {
    /// The sequence number of the first event.
    first: u64,
    #[serde(rename = "changes")]
    events: Vec<ReportedCacheEvent>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ReportedCacheEvent {
    Stored(String),
    Evicted(String),
}

/// A worker to poll, with its cell.
#[derive(Clone, Debug)]
struct PolledWorker {
    cell: CellId,
    worker: WorkerName,
    address: SocketAddr,
    has_cache: bool,
}

/// The tasks that poll workers and the host list until the process ends.
#[derive(Debug)]
pub struct UpstreamWatch {
    context: Rc<HostContext>,
    leaving: RefCell<LeavingRegister>,
    /// The sequence number of the last cache event received from each worker.
    cache_positions: RefCell<BTreeMap<WorkerName, u64>>,
}

impl UpstreamWatch {
    /// Creates the poll tasks without starting them.
    #[must_use]
    pub fn new(context: Rc<HostContext>) -> Rc<Self> {
        let leaving = RefCell::default();
        Rc::new(Self {
            context,
            leaving,
            cache_positions: RefCell::default(),
        })
    }

    /// Starts polling.
    pub fn start(self: &Rc<Self>) {
        let watch = Rc::clone(self);
        actix_rt::spawn(async move {
            loop {
                let polled = watch.poll_workers().await;
                actix_rt::time::sleep(worker_poll_delay(polled)).await;
            }
        });
        let watch = Rc::clone(self);
        actix_rt::spawn(async move {
            loop {
                watch.poll_host_list().await;
                actix_rt::time::sleep(HOST_LIST_POLL_INTERVAL).await;
            }
        });
    }

    async fn poll_host_list(&self) {
        // During an outage of the platform the last list stays in use.
        let Ok(list) = self.context.platform.hosts().await else {
            return;
        };
        let leaving = list
            .hosts
            .into_iter()
            .filter(|host| host.state == ListedState::Leaving);
        let listed = leaving.map(|host| host.worker).collect();
        self.leaving.borrow_mut().listed = listed;
        self.publish();
    }

    /// Polls the workers of the cells of which this host is broker or deputy, and returns their
    /// number.
    async fn poll_workers(&self) -> usize {
        let polled = self.polled_workers();
        join_all(polled.iter().map(|worker| self.poll_worker(worker))).await;
        let names: BTreeSet<&WorkerName> = polled.iter().map(|polled| &polled.worker).collect();
        self.leaving
            .borrow_mut()
            .reported
            .retain(|worker| names.contains(worker));
        self.publish();
        polled.len()
    }

    async fn poll_worker(&self, polled: &PolledWorker) {
        let Some(load) = get_json::<LoadReport>(polled.address, "/load").await else {
            return;
        };
        self.leaving
            .borrow_mut()
            .set_reported(&polled.worker, load.leaving);
        self.context
            .cells
            .load_reported(&polled.cell, &polled.worker, load);
        if polled.has_cache {
            self.poll_cache(polled).await;
        }
    }

    async fn poll_cache(&self, polled: &PolledWorker) {
        let after = self
            .cache_positions
            .borrow()
            .get(&polled.worker)
            .copied()
            .unwrap_or(0);
        let path = format!("/cache/events?after={after}");
        let Some(answer) = get_json::<CacheAnswer>(polled.address, &path).await else {
            return;
        };
        if answer.events.is_empty() {
            return;
        }
        let last = answer.first.saturating_add(answer.events.len() as u64 - 1);
        self.cache_positions
            .borrow_mut()
            .insert(polled.worker.clone(), last);
        let events = answer.events.iter().filter_map(parse_cache_event).collect();
        let batch = CacheBatch {
            first: answer.first,
            events,
        };
        self.context
            .cells
            .cache_reported(&polled.cell, &polled.worker, batch);
    }

    /// Updates the host's set of leaving workers if it changed.
    fn publish(&self) {
        let register = self.leaving.borrow();
        let leaving: BTreeSet<WorkerName> =
            register.listed.union(&register.reported).cloned().collect();
        drop(register);
        if *self.context.leaving.borrow() == leaving {
            return;
        }
        for worker in &leaving {
            let worker = worker.to_string();
            log_event!(self.context.log, LogEvent::WorkerLeaving, "worker" => worker);
        }
        self.context.leaving.replace(leaving.clone());
        self.context.cells.reconfigure(leaving);
    }

    fn polled_workers(&self) -> Vec<PolledWorker> {
        let applied = self.context.applied();
        let configuration = &applied.configuration;
        let mut polled = Vec::new();
        for cell in self.context.cells.own_cells() {
            let Some(service) = configuration.services.get(&cell.service) else {
                continue;
            };
            for (worker, spec) in &configuration.workers {
                if spec.service != cell.service || spec.datacenter != cell.datacenter {
                    continue;
                }
                polled.push(PolledWorker {
                    cell: cell.clone(),
                    worker: worker.clone(),
                    address: spec.address,
                    has_cache: service.kind == ServiceKind::Engine,
                });
            }
        }
        polled
    }
}

/// Returns the time from the end of one round of polls of a number of workers to the next round.
fn worker_poll_delay(workers: usize) -> Duration {
    let workers = u32::try_from(workers).unwrap_or(u32::MAX);
    let spaced = WORKER_POLL_SPACING.saturating_mul(workers);
    spaced.max(WORKER_POLL_INTERVAL)
}

fn parse_cache_event(event: &ReportedCacheEvent) -> Option<CacheEvent> {
    let digest = |hex: &str| u64::from_str_radix(hex, 16).ok().map(BlockDigest);
    match event {
        ReportedCacheEvent::Stored(hex) => digest(hex).map(CacheEvent::Stored),
        ReportedCacheEvent::Evicted(hex) => digest(hex).map(CacheEvent::Evicted),
    }
}

async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let poll = async {
        let client = FreshConnection::open(address).await.ok()?.into_client();
        let mut answer = client
            .get(format!("http://{address}{path}"))
            .send()
            .await
            .ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = answer.body().limit(MAX_POLL_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(POLL_TIMEOUT, poll)
        .await
        .ok()
        .flatten()
}
