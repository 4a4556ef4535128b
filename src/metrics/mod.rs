//! The metrics of one host.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
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

pub mod catalogue;
mod label;

use catalogue::MetricEntry;
pub use label::CallOutcome;
pub use label::ClaimOutcome;
pub use label::RequestOutcome;
pub use label::TrafficCarrier;
pub use label::TrafficDirection;
pub use label::TrafficDistance;
pub use label::WasteCause;
pub use label::WorkLabels;

/// The bounds of the histograms, in seconds.
const SECONDS_BOUNDS: [f64; 16] = [
    0.005, 0.01, 0.02, 0.027, 0.04, 0.08, 0.16, 0.25, 0.52, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0,
    1800.0,
];

/// The reason why metrics can't be set up or rendered.
#[derive(Debug, Error)]
pub enum MetricError {
    /// The exporter can't be set up.
    #[error("the metrics exporter can't be set up: {0}")]
    Exporter(#[from] OTelSdkError),
    /// The values can't be written as text.
    #[error("the metrics can't be rendered: {0}")]
    Render(#[from] prometheus::Error),
}

/// All metrics of one host; recording takes `&self` and is cheap.
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    provider: SdkMeterProvider,
    answer_tokens: Counter<u64>,
    claims: Counter<u64>,
    configuration_version: Gauge<u64>,
    first_token: Histogram<f64>,
    goodput_requests: Counter<u64>,
    goodput_tokens: Counter<u64>,
    links: Gauge<u64>,
    live_hosts: Gauge<u64>,
    log_lines_dropped: Counter<u64>,
    platform_calls: Counter<u64>,
    prefill_tokens: Counter<u64>,
    queue_time: Histogram<f64>,
    ready: Gauge<u64>,
    refused: Counter<u64>,
    requests: Counter<u64>,
    resumed: Counter<u64>,
    running: Gauge<u64>,
    slots: Gauge<u64>,
    state_age: Gauge<f64>,
    token_gap: Histogram<f64>,
    traffic: Counter<u64>,
    waiting: Gauge<u64>,
    waiting_bytes: Gauge<u64>,
    wasted_prefill: Counter<u64>,
    worker_failures: Counter<u64>,
}

fn counter(meter: &Meter, entry: &MetricEntry) -> Counter<u64> {
    let counter = meter.u64_counter(entry.name);
    counter.with_description(entry.meaning).build()
}

fn gauge(meter: &Meter, entry: &MetricEntry) -> Gauge<u64> {
    let gauge = meter.u64_gauge(entry.name);
    gauge.with_description(entry.meaning).build()
}

fn time_gauge(meter: &Meter, entry: &MetricEntry) -> Gauge<f64> {
    let gauge = meter.f64_gauge(entry.name);
    gauge.with_description(entry.meaning).build()
}

fn histogram(meter: &Meter, entry: &MetricEntry) -> Histogram<f64> {
    let histogram = meter.f64_histogram(entry.name);
    histogram
        .with_description(entry.meaning)
        .with_boundaries(SECONDS_BOUNDS.to_vec())
        .build()
}

impl MetricSet {
    /// Sets up all metrics in a registry of their own.
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
    /// use borageladder::metrics::WorkLabels;
    ///
    /// let metrics = MetricSet::new()?;
    /// let labels = WorkLabels::new(&"urgent".try_into()?, &"drafter".try_into()?);
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
            claims: counter(&meter, &catalogue::CLAIMS),
            configuration_version: gauge(&meter, &catalogue::CONFIGURATION_VERSION),
            first_token: histogram(&meter, &catalogue::FIRST_TOKEN),
            goodput_requests: counter(&meter, &catalogue::GOODPUT_REQUESTS),
            goodput_tokens: counter(&meter, &catalogue::GOODPUT_TOKENS),
            links: gauge(&meter, &catalogue::LINKS),
            live_hosts: gauge(&meter, &catalogue::LIVE_HOSTS),
            log_lines_dropped: counter(&meter, &catalogue::LOG_LINES_DROPPED),
            platform_calls: counter(&meter, &catalogue::PLATFORM_CALLS),
            prefill_tokens: counter(&meter, &catalogue::PREFILL_TOKENS),
            queue_time: histogram(&meter, &catalogue::QUEUE_TIME),
            ready: gauge(&meter, &catalogue::READY),
            refused: counter(&meter, &catalogue::REFUSED),
            requests: counter(&meter, &catalogue::REQUESTS),
            resumed: counter(&meter, &catalogue::RESUMED),
            running: gauge(&meter, &catalogue::RUNNING),
            slots: gauge(&meter, &catalogue::SLOTS),
            state_age: time_gauge(&meter, &catalogue::STATE_AGE),
            token_gap: histogram(&meter, &catalogue::TOKEN_GAP),
            traffic: counter(&meter, &catalogue::TRAFFIC),
            waiting: gauge(&meter, &catalogue::WAITING),
            waiting_bytes: gauge(&meter, &catalogue::WAITING_BYTES),
            wasted_prefill: counter(&meter, &catalogue::WASTED_PREFILL),
            worker_failures: counter(&meter, &catalogue::WORKER_FAILURES),
        })
    }

    /// Counts a request that ended, with the tokens of its answer, and its goodput.
    pub fn request_ended(&self, labels: &WorkLabels, outcome: RequestOutcome, tokens: u64) {
        let attributes = labels.with("outcome", outcome.as_str());
        self.requests.add(1, &attributes);
        self.answer_tokens.add(tokens, &attributes);
        if outcome == RequestOutcome::InTime {
            self.goodput_requests.add(1, &labels.pair());
            self.goodput_tokens.add(tokens, &labels.pair());
        }
    }

    /// Counts a request that was refused; it is also counted as ended.
    pub fn request_refused(&self, labels: &WorkLabels, reason: RefusalReason) {
        let attributes = labels.with("reason", refusal_label(reason));
        self.refused.add(1, &attributes);
        self.request_ended(labels, RequestOutcome::Refused, 0);
    }

    /// Counts the prompt tokens that a worker computed for a request.
    pub fn prefill_computed(&self, labels: &WorkLabels, tokens: u64) {
        self.prefill_tokens.add(tokens, &labels.pair());
    }

    /// Counts computed prompt tokens that were in vain.
    pub fn prefill_wasted(&self, labels: &WorkLabels, cause: WasteCause, tokens: u64) {
        let attributes = labels.with("cause", cause.as_str());
        self.wasted_prefill.add(tokens, &attributes);
    }

    /// Records the time from the arrival of a request to its grant.
    pub fn request_granted(&self, labels: &WorkLabels, waited: Duration) {
        self.queue_time.record(waited.as_secs_f64(), &labels.pair());
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn first_token(&self, labels: &WorkLabels, after: Duration) {
        self.first_token.record(after.as_secs_f64(), &labels.pair());
    }

    /// Records the time between two tokens.
    pub fn token_gap(&self, labels: &WorkLabels, gap: Duration) {
        self.token_gap.record(gap.as_secs_f64(), &labels.pair());
    }

    /// Counts a stream that was resumed on a new connection.
    pub fn stream_resumed(&self, labels: &WorkLabels) {
        self.resumed.add(1, &labels.pair());
    }

    /// Sets the number of requests that wait on the host.
    pub fn set_waiting(&self, labels: &WorkLabels, count: u64) {
        self.waiting.record(count, &labels.pair());
    }

    /// Sets the bytes of the bodies of waiting requests.
    pub fn set_waiting_bytes(&self, bytes: u64) {
        self.waiting_bytes.record(bytes, &[]);
    }

    /// Sets the number of requests of the host that run.
    pub fn set_running(&self, labels: &WorkLabels, count: u64) {
        self.running.record(count, &labels.pair());
    }

    /// Sets the slots that a brokered cell allows and has in use.
    pub fn set_slots(&self, service: &ServiceName, limit: u64, used: u64) {
        for (state, count) in [("limit", limit), ("used", used)] {
            let service = KeyValue::new("service", service.to_string());
            self.slots
                .record(count, &[service, KeyValue::new("state", state)]);
        }
    }

    /// Counts an attempt to claim an idempotency key.
    pub fn claim_ended(&self, outcome: ClaimOutcome) {
        let outcome = KeyValue::new("outcome", outcome.as_str());
        self.claims.add(1, &[outcome]);
    }

    /// Sets the configuration versions that are in force and known.
    pub fn set_versions(&self, applied: ConfigVersion, known: ConfigVersion) {
        for (state, version) in [("applied", applied), ("known", known)] {
            let state = KeyValue::new("state", state);
            self.configuration_version.record(version.0, &[state]);
        }
    }

    /// Sets whether the host takes new requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.record(u64::from(ready), &[]);
    }

    /// Sets the time since the configuration in force was last known to be the newest.
    pub fn set_state_age(&self, age: Duration) {
        self.state_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts log lines that were left out.
    pub fn lines_dropped(&self, event: LogEvent, count: u64) {
        let event = KeyValue::new("event", event.name());
        self.log_lines_dropped.add(count, &[event]);
    }

    /// Sets the number of open links.
    pub fn set_links(&self, count: u64) {
        self.links.record(count, &[]);
    }

    /// Sets the number of hosts seen alive.
    pub fn set_live_hosts(&self, count: u64) {
        self.live_hosts.record(count, &[]);
    }

    /// Counts bytes that were sent or received.
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

    /// Counts a call to the platform; `call` names it, such as `transact`.
    pub fn platform_called(&self, call: &'static str, outcome: CallOutcome) {
        let outcome = KeyValue::new("outcome", outcome.as_str());
        self.platform_calls
            .add(1, &[KeyValue::new("call", call), outcome]);
    }

    /// Counts a connection that a worker broke or did not accept.
    pub fn worker_failed(&self, service: &ServiceName) {
        let service = KeyValue::new("service", service.to_string());
        self.worker_failures.add(1, &[service]);
    }

    /// Writes all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns [`MetricError`] if the text can't be written.
    pub fn render(&self) -> Result<String, MetricError> {
        // Flushing has no effect on a reader that is pulled, and errors are reported by it.
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
