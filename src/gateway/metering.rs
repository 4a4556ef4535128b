//! The metrics endpoint of a gateway host.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;

use super::host::GatewayHost;
use super::plan::PlannedCall;
use super::store::StoreError;
use crate::event::LogEvent;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::name::TierName;
use crate::kernel::name::TierRank;
use crate::listener::listen;
use crate::log_event;
use crate::metering;
use crate::metrics::CallOutcome;
use crate::metrics::MetricError;
use crate::metrics::RequestLabels;
use crate::reply::text;
use crate::server::HttpServer;
use crate::server::StopSignal;
use crate::wire::WireRevision;

/// The path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// The maximum number of concurrent connections to the metrics endpoint.
const MAX_CONNECTIONS: usize = 4;

/// The delay before a server that can't be started is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Starts the metrics endpoint, if the settings name an address, once that is free; it is served until
/// the process ends.
pub(super) async fn serve(host: Rc<GatewayHost>) {
    let Some(address) = host.settings.metrics_listen else {
        return;
    };
    loop {
        let listener = listen(address, &host.log).await;
        let never = StopSignal::default();
        let shared = Rc::clone(&host);
        let server = HttpServer::start(listener, MAX_CONNECTIONS, never, move |request| {
            std::future::ready(answer(&shared, &request))
        });
        let Err(error) = server.await else {
            return;
        };
        log_event!(host.log, LogEvent::AddressUnavailable,
            "address" => address.to_string(),
            "error" => error.to_string());
        actix_rt::time::sleep(RESTART_DELAY).await;
    }
}

/// Returns the metric labels of a request; the tier label is derived from its rank.
pub(super) fn request_labels(planned: &PlannedCall) -> Option<RequestLabels> {
    let TierRank(rank) = planned.tier;
    let tier: TierName = format!("tier-{rank}").parse().ok()?;
    Some(RequestLabels::new(&tier, &planned.service))
}

impl GatewayHost {
    /// Counts a call to the platform's store, and logs it if it failed.
    pub(super) fn record_store_call<T>(&self, call: &'static str, outcome: &Result<T, StoreError>) {
        let counted = match outcome {
            Ok(_) => CallOutcome::Answered,
            Err(error) => {
                let error = error.to_string();
                log_event!(self.log, LogEvent::PlatformFailed, "call" => call, "error" => error);
                CallOutcome::Failed
            }
        };
        self.metrics.platform_called(call, counted);
    }
}

fn answer(host: &GatewayHost, request: &Request) -> Response<BoxBody> {
    if request.path() != METRICS_PATH {
        return text(StatusCode::NOT_FOUND, format!("GET {METRICS_PATH}\n"));
    }
    match render(host) {
        Ok(metrics) => text(StatusCode::OK, metrics),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn render(host: &GatewayHost) -> Result<String, MetricError> {
    let metrics = &host.metrics;
    let now = host.clock.now();
    metrics.set_ready(host.is_ready());
    metrics.set_links(host.links.connected().len() as u64);
    let counts = host.links.peers_by_revision();
    let own = (WireRevision::EARLIEST.0..=WireRevision::CURRENT.0).map(WireRevision);
    for revision in own.chain(counts.keys().copied()) {
        let count = counts.get(&revision).copied().unwrap_or_default();
        metrics.set_links_by_revision(revision, count);
    }
    metrics.set_live_hosts(host.host_count() as u64);
    if let Some(newest) = host.latest_configuration() {
        let version = ConfigVersion(newest.version);
        metrics.set_versions(version, version);
    }
    if let Some(age) = host.state.freshness.borrow().age(now) {
        metrics.set_state_age(age);
    }
    for (workspace, bucket) in host.state.quotas.borrow().iter() {
        metrics.set_quota(workspace, &bucket.view(now));
    }
    metrics.set_body_bytes(host.bodies.held(), host.bodies.total());
    metrics.set_connection_bytes(host.connections.held(), host.connections.total());
    metering::set_slots(metrics, &host.cells);
    metrics.render()
}
