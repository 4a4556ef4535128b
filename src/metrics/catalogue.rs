//! The names, kinds, labels and meanings of all metrics.

/// The kind of a metric, as Prometheus names it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// A number that only grows.
    Counter,
    /// A number that goes up and down.
    Gauge,
    /// Counts of values by size.
    Histogram,
}

impl MetricKind {
    /// Returns the kind as Prometheus writes it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// What is known of a metric beside its values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MetricEntry {
    /// The name; without the `_total` that counters get when they are rendered.
    pub name: &'static str,
    /// The kind.
    pub kind: MetricKind,
    /// The labels in alphabetical order.
    pub labels: &'static [&'static str],
    /// One sentence on what the metric means.
    pub meaning: &'static str,
}

impl MetricEntry {
    /// Returns the name under which Prometheus sees the metric.
    #[must_use]
    pub fn rendered_name(&self) -> String {
        match self.kind {
            MetricKind::Counter => format!("{}_total", self.name),
            MetricKind::Gauge | MetricKind::Histogram => self.name.to_owned(),
        }
    }
}

macro_rules! catalogue {
    ($($constant:ident $kind:ident $name:literal [$($label:literal)*] $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $constant: MetricEntry = MetricEntry {
                name: $name,
                kind: MetricKind::$kind,
                labels: &[$($label,)*],
                meaning: $meaning,
            };
        )*

        /// All metrics in the order of their names.
        pub const CATALOGUE: &[MetricEntry] = &[$($constant,)*];
    };
}

catalogue! {
    ANSWER_TOKENS Counter "borageladder_answer_tokens" ["outcome" "service" "tier"]
        "Tokens that workers generated, by how their request ended.";
    CLAIMS Counter "borageladder_claims" ["outcome"]
        "Attempts to claim an idempotency key, by what became of them.";
    CONFIGURATION_VERSION Gauge "borageladder_configuration_version" ["state"]
        "The configuration version in force on the host (applied) and the newest it knows of (known).";
    FIRST_TOKEN Histogram "borageladder_first_token_seconds" ["service" "tier"]
        "Time from the arrival of a request to its first token.";
    GOODPUT_REQUESTS Counter "borageladder_goodput_requests" ["service" "tier"]
        "Requests whose whole answer arrived within its deadline; over all that ended it is the goodput.";
    GOODPUT_TOKENS Counter "borageladder_goodput_tokens" ["service" "tier"]
        "Tokens of answers that arrived whole and within their deadline.";
    LINKS Gauge "borageladder_links" []
        "Open links with other hosts.";
    LIVE_HOSTS Gauge "borageladder_live_hosts" []
        "Hosts that the host sees alive, itself among them.";
    LOG_LINES_DROPPED Counter "borageladder_log_lines_dropped" ["event"]
        "Log lines that were left out because there were too many.";
    PLATFORM_CALLS Counter "borageladder_platform_calls" ["call" "outcome"]
        "Calls to the platform.";
    PREFILL_TOKENS Counter "borageladder_prefill_tokens" ["service" "tier"]
        "Prompt tokens that workers are estimated to have computed.";
    QUEUE_TIME Histogram "borageladder_queue_seconds" ["service" "tier"]
        "Time from the arrival of a request to its grant.";
    READY Gauge "borageladder_ready" []
        "Whether the host takes new requests (1) or not (0).";
    REFUSED Counter "borageladder_refused_requests" ["reason" "service" "tier"]
        "Requests that were refused and did not run.";
    REQUESTS Counter "borageladder_requests" ["outcome" "service" "tier"]
        "Requests that ended, by how they ended.";
    RESUMED Counter "borageladder_resumed_streams" ["service" "tier"]
        "Silent streams that were resumed on a new connection.";
    RUNNING Gauge "borageladder_running_requests" ["service" "tier"]
        "Requests of the host that run on workers.";
    SLOTS Gauge "borageladder_slots" ["service" "state"]
        "Slots on workers of the cells that the host brokers: allowed (limit) and in use (used).";
    STATE_AGE Gauge "borageladder_state_age_seconds" []
        "Time since the configuration in force was last known to be the newest.";
    TOKEN_GAP Histogram "borageladder_token_gap_seconds" ["service" "tier"]
        "Time between two tokens of an answer.";
    TRAFFIC Counter "borageladder_traffic_bytes" ["carrier" "direction" "distance"]
        "Bytes between hosts and to workers, by how far they go.";
    WAITING_BYTES Gauge "borageladder_waiting_bytes" []
        "Bytes of the bodies of waiting requests.";
    WAITING Gauge "borageladder_waiting_requests" ["service" "tier"]
        "Requests of the host that wait for a grant.";
    WASTED_PREFILL Counter "borageladder_wasted_prefill_tokens" ["cause" "service" "tier"]
        "Prompt tokens computed in vain; over all that were computed it is the wasted prefill.";
    WORKER_FAILURES Counter "borageladder_worker_failures" ["service"]
        "Connections that workers broke or did not accept.";
}
