//! A load generator that replays the trace of a deployment and summarizes the outcomes.

mod call;
mod entries;
mod prompt;
mod report;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::Connector;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::ModelName;

pub use self::call::CallEnd;
pub use self::call::CallResult;
pub use self::entries::EntryPool;
pub use self::prompt::kind_name;
pub use self::prompt::prompt_body;
pub use self::report::LoadSummary;
pub use self::report::TierSummary;

use self::call::CallTarget;
use crate::trace::DeploymentKind;
use crate::trace::Trace;
use crate::trace::TraceRequest;
use crate::trace::TraceSpec;

/// The upper limit of a load's length.
pub const MAX_LOAD_LENGTH: Duration = Duration::from_mins(10);

/// The upper limit of the request rate, in requests per second.
pub const MAX_LOAD_RATE: f64 = 5_000.0;

/// The length of the trace from which the request rate at scale 1 is computed.
const PROBE_LENGTH: Duration = Duration::from_mins(10);

/// The interval at which [`run`] checks for open calls after it has sent the last request.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The load to send and the entries that receive it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSpec {
    /// The entries; requests go to those that are ready, in rotation.
    pub entries: Vec<SocketAddr>,
    /// The workspace keys, at least one; workspace `n` of the trace uses the key at `n` modulo
    /// their number.
    pub keys: Vec<String>,
    /// The model that the requests name.
    pub model: ModelName,
    /// The deployment whose trace is replayed.
    pub deployment: DeploymentKind,
    /// The duration of the trace, at most [`MAX_LOAD_LENGTH`].
    pub length: Duration,
    /// The mean request rate, in requests per second, at most [`MAX_LOAD_RATE`].
    pub rate: f64,
    /// The seed of the trace.
    pub seed: u64,
    /// The limit of concurrent calls; requests above it are not sent, but counted in
    /// [`LoadSummary::not_sent`].
    pub max_open: usize,
}

impl LoadSpec {
    /// Generates a trace with the rate and the length of this load, both cut to their limits.
    #[must_use]
    pub fn trace(&self) -> Trace {
        let mut spec = TraceSpec {
            deployment: self.deployment,
            scale: 1.0,
            length: PROBE_LENGTH,
            burst: None,
            seed: self.seed,
        };
        let count = Trace::new(&spec).requests.len();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let rate = f64::from(count) / PROBE_LENGTH.as_secs_f64();
        spec.scale = self.rate.min(MAX_LOAD_RATE) / rate;
        spec.length = self.length.min(MAX_LOAD_LENGTH);
        Trace::new(&spec)
    }
}

/// Sends the load, waits until every call has ended and returns the summary.
///
/// A call ends at the latest ten seconds after its deadline.
///
/// # Panics
///
/// Panics if the load has no workspace keys.
pub async fn run(spec: &LoadSpec) -> LoadSummary {
    let trace = spec.trace();
    let summary = Rc::new(RefCell::new(LoadSummary::new(spec.length)));
    let open = Rc::new(Cell::new(0_usize));
    let pool = Rc::new(EntryPool::new(&spec.entries));
    actix_rt::spawn(entries::watch_readiness(Rc::clone(&pool)));
    let client = client();
    let start = Instant::now();
    for request in trace.requests {
        let wait = request.at.since(ClockTime::ZERO);
        actix_rt::time::sleep(wait.saturating_sub(start.elapsed())).await;
        let entry = pool.next().filter(|_| open.get() < spec.max_open);
        let Some(entry) = entry else {
            summary.borrow_mut().not_sent += 1;
            continue;
        };
        open.set(open.get() + 1);
        let target = target(spec, entry, &request);
        let client = client.clone();
        let summary = Rc::clone(&summary);
        let open = Rc::clone(&open);
        actix_rt::spawn(async move {
            let result = call::send(&client, &target, &request).await;
            summary.borrow_mut().add(&result);
            open.set(open.get() - 1);
        });
    }
    while open.get() > 0 {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let summary = summary.borrow();
    summary.clone()
}

fn client() -> Client {
    // With a connection limit, calls would wait in the client instead of reaching an entry at the
    // time that the trace gives.
    let connector = Connector::new().limit(0);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}

fn target(spec: &LoadSpec, entry: SocketAddr, request: &TraceRequest) -> CallTarget {
    let key = &spec.keys[request.workspace % spec.keys.len()];
    CallTarget {
        entry,
        key: key.clone(),
        kind: kind_name(spec.deployment, request.tier),
        body: prompt_body(&spec.model, request),
    }
}
