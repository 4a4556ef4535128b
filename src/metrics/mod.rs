//! The metrics of one host, exported in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;
use thiserror::Error;

use crate::event::LogEvent;
use crate::kernel::ask::RefusalReason;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::quota::QuotaView;
use crate::wire::MessageKind;
use crate::wire::WireRevision;

mod broker;
pub mod catalogue;
mod hedges;
mod instrument;
mod label;
mod release;

use instrument::counter;
use instrument::gauge;
use instrument::histogram;
use instrument::real_counter;
use instrument::real_gauge;
pub use label::CallOutcome;
pub use label::ClaimAttemptLabel;
pub use label::HandshakeLabel;
pub use label::HedgeLabel;
pub use label::ReleaseOutcome;
pub use label::ReleaseSide;
pub use label::RequestLabels;
pub use label::RequestOutcome;
pub use label::TrafficCarrier;
pub use label::TrafficDirection;
pub use label::TrafficDistance;
pub use label::WasteCause;

/// The reason why metrics can't be set up or rendered.
#[derive(Debug, Error)]
pub enum MetricError {
    /// The exporter can't be set up.
    #[error("the metrics exporter can't be set up: {0}")]
    Exporter(#[from] OTelSdkError),
    /// The values can't be encoded as text.
    #[error("the metrics can't be rendered: {0}")]
    Render(#[from] prometheus::Error),
}

/// All metrics of one host.
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    provider: SdkMeterProvider,
    answer_tokens: Counter<u64>,
    body_bytes: Gauge<u64>,
    body_refusals: Counter<u64>,
    caller_cut_offs: Counter<u64>,
    connection_bytes: Gauge<u64>,
    connection_refusals: Counter<u64>,
    claims: Counter<u64>,
    configuration_version: Gauge<u64>,
    first_token: Histogram<f64>,
    goodput_requests: Counter<u64>,
    goodput_tokens: Counter<u64>,
    late_requests: Counter<u64>,
    late_waiting: Gauge<u64>,
    hedge_refusals: Counter<u64>,
    hedges: Counter<u64>,
    link_handshakes: Counter<u64>,
    link_messages: Counter<u64>,
    link_pings: Counter<u64>,
    links: Gauge<u64>,
    links_by_revision: Gauge<u64>,
    live_hosts: Gauge<u64>,
    log_lines_dropped: Counter<u64>,
    platform_calls: Counter<u64>,
    prefill_tokens: Counter<u64>,
    processor_time: Gauge<f64>,
    queue_time: Histogram<f64>,
    quota_level: Gauge<f64>,
    quota_rate: Gauge<f64>,
    quota_use: Gauge<f64>,
    ready: Gauge<u64>,
    refused: Counter<u64>,
    release_answers: Counter<u64>,
    release_requests: Counter<u64>,
    release_share: Gauge<f64>,
    requests: Counter<u64>,
    resumed: Counter<u64>,
    running: Gauge<u64>,
    slots: Gauge<u64>,
    state_age: Gauge<f64>,
    timer_delay: Gauge<f64>,
    token_gap: Histogram<f64>,
    traffic: Counter<u64>,
    waiting: Gauge<u64>,
    waiting_bytes: Gauge<u64>,
    wasted_prefill: Counter<u64>,
    worker_failures: Counter<u64>,
    workspace_refusals: Counter<u64>,
    workspace_slot_time: Counter<f64>,
}

impl MetricSet {
    /// Creates all metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Returns [`MetricError`] if the exporter can't be set up.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder::metrics::MetricSet;
    /// use borageladder::metrics::RequestOutcome;
    /// use borageladder::metrics::RequestLabels;
    ///
    /// let metrics = MetricSet::new()?;
    /// let labels = RequestLabels::new(&"urgent".try_into()?, &"drafter".try_into()?);
    /// metrics.request_ended(&labels, RequestOutcome::InTime, 320);
    /// assert!(metrics.render()?.contains("borageladder_goodput_tokens_total"));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new() -> Result<Self, MetricError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .without_units()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("borageladder");
        Ok(Self {
            registry,
            provider,
            answer_tokens: counter(&meter, &catalogue::ANSWER_TOKENS),
            body_bytes: gauge(&meter, &catalogue::BODY_BYTES),
            body_refusals: counter(&meter, &catalogue::BODY_REFUSALS),
            caller_cut_offs: counter(&meter, &catalogue::CALLER_CUT_OFFS),
            connection_bytes: gauge(&meter, &catalogue::CONNECTION_BYTES),
            connection_refusals: counter(&meter, &catalogue::CONNECTION_REFUSALS),
            claims: counter(&meter, &catalogue::CLAIMS),
            configuration_version: gauge(&meter, &catalogue::CONFIGURATION_VERSION),
            first_token: histogram(&meter, &catalogue::FIRST_TOKEN),
            goodput_requests: counter(&meter, &catalogue::GOODPUT_REQUESTS),
            goodput_tokens: counter(&meter, &catalogue::GOODPUT_TOKENS),
            late_requests: counter(&meter, &catalogue::LATE_REQUESTS),
            late_waiting: gauge(&meter, &catalogue::LATE_WAITING),
            hedge_refusals: counter(&meter, &catalogue::HEDGE_REFUSALS),
            hedges: counter(&meter, &catalogue::HEDGES),
            link_handshakes: counter(&meter, &catalogue::LINK_HANDSHAKES),
            link_messages: counter(&meter, &catalogue::LINK_MESSAGES),
            link_pings: counter(&meter, &catalogue::LINK_PINGS),
            links: gauge(&meter, &catalogue::LINKS),
            links_by_revision: gauge(&meter, &catalogue::LINKS_BY_REVISION),
            live_hosts: gauge(&meter, &catalogue::LIVE_HOSTS),
            log_lines_dropped: counter(&meter, &catalogue::LOG_LINES_DROPPED),
            platform_calls: counter(&meter, &catalogue::PLATFORM_CALLS),
            prefill_tokens: counter(&meter, &catalogue::PREFILL_TOKENS),
            processor_time: real_gauge(&meter, &catalogue::PROCESSOR_TIME),
            queue_time: histogram(&meter, &catalogue::QUEUE_TIME),
            quota_level: real_gauge(&meter, &catalogue::QUOTA_LEVEL),
            quota_rate: real_gauge(&meter, &catalogue::QUOTA_RATE),
            quota_use: real_gauge(&meter, &catalogue::QUOTA_USE),
            ready: gauge(&meter, &catalogue::READY),
            refused: counter(&meter, &catalogue::REFUSED),
            release_answers: counter(&meter, &catalogue::RELEASE_ANSWERS),
            release_requests: counter(&meter, &catalogue::RELEASE_REQUESTS),
            release_share: real_gauge(&meter, &catalogue::RELEASE_SHARE),
            requests: counter(&meter, &catalogue::REQUESTS),
            resumed: counter(&meter, &catalogue::RESUMED),
            running: gauge(&meter, &catalogue::RUNNING),
            slots: gauge(&meter, &catalogue::SLOTS),
            state_age: real_gauge(&meter, &catalogue::STATE_AGE),
            timer_delay: real_gauge(&meter, &catalogue::TIMER_DELAY),
            token_gap: histogram(&meter, &catalogue::TOKEN_GAP),
            traffic: counter(&meter, &catalogue::TRAFFIC),
            waiting: gauge(&meter, &catalogue::WAITING),
            waiting_bytes: gauge(&meter, &catalogue::WAITING_BYTES),
            wasted_prefill: counter(&meter, &catalogue::WASTED_PREFILL),
            worker_failures: counter(&meter, &catalogue::WORKER_FAILURES),
            workspace_refusals: counter(&meter, &catalogue::WORKSPACE_REFUSALS),
            workspace_slot_time: real_counter(&meter, &catalogue::WORKSPACE_SLOT_TIME),
        })
    }

    /// Counts a request that ended and its answer tokens, also as goodput if it was in time.
    pub fn request_ended(&self, labels: &RequestLabels, outcome: RequestOutcome, tokens: u64) {
        let attributes = labels.attributes_with("outcome", outcome.as_str());
        self.requests.add(1, &attributes);
        self.answer_tokens.add(tokens, &attributes);
        if outcome == RequestOutcome::InTime {
            self.goodput_requests.add(1, &labels.attributes());
            self.goodput_tokens.add(tokens, &labels.attributes());
        }
    }

    /// Counts a refused request by its reason, and as ended with the outcome `refused`.
    pub fn request_refused(&self, labels: &RequestLabels, reason: RefusalReason) {
        let attributes = labels.attributes_with("reason", refusal_label(reason));
        self.refused.add(1, &attributes);
        self.request_ended(labels, RequestOutcome::Refused, 0);
    }

    /// Counts the prompt tokens that a worker is estimated to have computed.
    pub fn prefill_computed(&self, labels: &RequestLabels, tokens: u64) {
        self.prefill_tokens.add(tokens, &labels.attributes());
    }

    /// Counts computed prompt tokens that were wasted.
    pub fn prefill_wasted(&self, labels: &RequestLabels, cause: WasteCause, tokens: u64) {
        let attributes = labels.attributes_with("cause", cause.as_str());
        self.wasted_prefill.add(tokens, &attributes);
    }

    /// Records the time from the arrival of a request to the grant of a slot; gateway hosts record
    /// the time to each dispatch instead.
    pub fn request_granted(&self, labels: &RequestLabels, waited: Duration) {
        self.queue_time
            .record(waited.as_secs_f64(), &labels.attributes());
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn first_token(&self, labels: &RequestLabels, after: Duration) {
        self.first_token
            .record(after.as_secs_f64(), &labels.attributes());
    }

    /// Records the time between consecutive arrivals of tokens of an answer; gateway hosts record one
    /// mean for each answer instead.
    pub fn token_gap(&self, labels: &RequestLabels, gap: Duration) {
        self.token_gap
            .record(gap.as_secs_f64(), &labels.attributes());
    }

    /// Counts a stream that was resumed on a new connection.
    pub fn stream_resumed(&self, labels: &RequestLabels) {
        self.resumed.add(1, &labels.attributes());
    }

    /// Sets the number of requests of the host that are waiting for a grant.
    pub fn set_waiting(&self, labels: &RequestLabels, count: u64) {
        self.waiting.record(count, &labels.attributes());
    }

    /// Sets the total size of the bodies of waiting requests, in bytes.
    pub fn set_waiting_bytes(&self, bytes: u64) {
        self.waiting_bytes.record(bytes, &[]);
    }

    /// Sets the bytes of the request bodies that the host holds, and the most that it may hold.
    pub fn set_body_bytes(&self, held: u64, limit: u64) {
        for (state, bytes) in [("held", held), ("limit", limit)] {
            let state = KeyValue::new("state", state);
            self.body_bytes.record(bytes, &[state]);
        }
    }

    /// Counts a request that was refused because the host had no memory for its body.
    pub fn body_refused(&self) {
        self.body_refusals.add(1, &[]);
    }

    /// Counts a caller that was cut off since it took nothing of its answer.
    pub fn caller_cut_off(&self) {
        self.caller_cut_offs.add(1, &[]);
    }

    /// Sets the bytes that the connections of callers take, and the most that they may take.
    pub fn set_connection_bytes(&self, held: u64, limit: u64) {
        for (state, bytes) in [("held", held), ("limit", limit)] {
            let state = KeyValue::new("state", state);
            self.connection_bytes.record(bytes, &[state]);
        }
    }

    /// Counts a connection that was closed, or whose request was refused, for want of memory or
    /// descriptors.
    pub fn connection_refused(&self) {
        self.connection_refusals.add(1, &[]);
    }

    /// Sets the number of requests of the host that are running on workers.
    pub fn set_running(&self, labels: &RequestLabels, count: u64) {
        self.running.record(count, &labels.attributes());
    }

    /// Counts a claim of an idempotency key by its outcome.
    pub fn claim_attempted(&self, outcome: ClaimAttemptLabel) {
        let outcome = KeyValue::new("outcome", outcome.as_str());
        self.claims.add(1, &[outcome]);
    }

    /// Sets the configuration version in force and the newest known version.
    pub fn set_versions(&self, applied: ConfigVersion, known: ConfigVersion) {
        for (state, version) in [("applied", applied), ("known", known)] {
            let state = KeyValue::new("state", state);
            self.configuration_version.record(version.0, &[state]);
        }
    }

    /// Sets what the host knows of the use of a workspace's quota.
    pub fn set_quota(&self, workspace: &WorkspaceName, view: &QuotaView) {
        let workspace = KeyValue::new("workspace", workspace.to_string());
        let labels = std::slice::from_ref(&workspace);
        self.quota_level.record(view.level, labels);
        self.quota_rate.record(view.bounds.rate, labels);
        let uses = [
            ("own", view.own_use),
            ("peers", view.peer_use),
            ("reserve", view.reserve),
            ("assumed", view.assumed),
        ];
        for (source, units) in uses {
            let source = KeyValue::new("source", source);
            self.quota_use.record(units, &[source, workspace.clone()]);
        }
    }

    /// Sets whether the host accepts new requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.record(u64::from(ready), &[]);
    }

    /// Sets the time since the configuration in force was last confirmed to be the newest.
    pub fn set_state_age(&self, age: Duration) {
        self.state_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts log lines of an event that were dropped by the rate limit.
    pub fn lines_dropped(&self, event: LogEvent, count: u64) {
        let event = KeyValue::new("event", event.name());
        self.log_lines_dropped.add(count, &[event]);
    }

    /// Counts messages of a kind that were exchanged with other hosts.
    pub fn messages_exchanged(&self, kind: MessageKind, direction: TrafficDirection, count: u64) {
        let attributes = [
            KeyValue::new("direction", direction.as_str()),
            KeyValue::new("kind", kind.as_str()),
        ];
        self.link_messages.add(count, &attributes);
    }

    /// Counts handshakes of links by their outcome.
    pub fn handshakes(&self, outcome: HandshakeLabel, count: u64) {
        let outcome = KeyValue::new("outcome", outcome.as_str());
        self.link_handshakes.add(count, &[outcome]);
    }

    /// Counts pings that were sent on links without other messages.
    pub fn pings_sent(&self, count: u64) {
        self.link_pings.add(count, &[]);
    }

    /// Sets the processor time that the process has used.
    pub fn set_processor_time(&self, time: Duration) {
        self.processor_time.record(time.as_secs_f64(), &[]);
    }

    /// Sets the longest time by which a timer of the host was late.
    pub fn set_timer_delay(&self, delay: Duration) {
        self.timer_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Sets the number of open links.
    pub fn set_links(&self, count: u64) {
        self.links.record(count, &[]);
    }

    /// Sets the number of open links to hosts that understand messages of a revision.
    pub fn set_links_by_revision(&self, revision: WireRevision, count: u64) {
        let revision = KeyValue::new("revision", i64::from(revision.0));
        self.links_by_revision.record(count, &[revision]);
    }

    /// Sets the number of hosts considered alive, including this one.
    pub fn set_live_hosts(&self, count: u64) {
        self.live_hosts.record(count, &[]);
    }

    /// Counts bytes sent or received.
    pub fn traffic(
        &self,
        carrier: TrafficCarrier,
        direction: TrafficDirection,
        distance: TrafficDistance,
        bytes: u64,
    ) {
        let attributes = [
            KeyValue::new("carrier", carrier.as_str()),
            KeyValue::new("direction", direction.as_str()),
            KeyValue::new("distance", distance.as_str()),
        ];
        self.traffic.add(bytes, &attributes);
    }

    /// Counts a call to the platform; `call` is its name, such as `workers`.
    pub fn platform_called(&self, call: &'static str, outcome: CallOutcome) {
        let outcome = KeyValue::new("outcome", outcome.as_str());
        self.platform_calls
            .add(1, &[KeyValue::new("call", call), outcome]);
    }

    /// Counts a connection to a worker that broke or was not accepted; gateway hosts count the
    /// dispatches that got no complete and valid answer in time instead.
    pub fn worker_failed(&self, service: &ServiceName) {
        let service = KeyValue::new("service", service.to_string());
        self.worker_failures.add(1, &[service]);
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`MetricError`] if the values can't be encoded.
    pub fn render(&self) -> Result<String, MetricError> {
        // The exporter collects the values when the registry is gathered. The flush has no effect,
        // so its result is ignored.
        drop(self.provider.force_flush());
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

/// Returns the value of the label `reason`.
const fn refusal_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Capacity => "capacity",
        RefusalReason::Deadline => "deadline",
        RefusalReason::Dropped => "dropped",
        RefusalReason::NoWorker => "no-worker",
        RefusalReason::Platform => "platform",
        RefusalReason::Quarantined => "quarantined",
        RefusalReason::Stale => "stale",
    }
}
