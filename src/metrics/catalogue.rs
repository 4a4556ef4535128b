//! The names, kinds, labels and descriptions of all metrics.

/// The Prometheus type of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A value that can increase and decrease.
    Gauge,
    /// The distribution of values over buckets.
    Histogram,
}

impl MetricKind {
    /// Returns the type name in the Prometheus text format.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// The static description of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MetricEntry {
    /// The name, without the suffix `_total` that the exporter appends to counters.
    pub name: &'static str,
    /// The Prometheus type.
    pub kind: MetricKind,
    /// The label names in alphabetical order.
    pub labels: &'static [&'static str],
    /// The help text, one sentence.
    pub description: &'static str,
}

impl MetricEntry {
    /// Returns the name in the Prometheus text format.
    #[must_use]
    pub fn rendered_name(&self) -> String {
        match self.kind {
            MetricKind::Counter => format!("{}_total", self.name),
            MetricKind::Gauge | MetricKind::Histogram => self.name.to_owned(),
        }
    }
}

macro_rules! catalogue {
    ($($constant:ident $kind:ident $name:literal [$($label:literal)*] $description:literal;)*) => {
        $(
            #[doc = $description]
            pub const $constant: MetricEntry = MetricEntry {
                name: $name,
                kind: MetricKind::$kind,
                labels: &[$($label,)*],
                description: $description,
            };
        )*

        /// All metrics, sorted by name.
        pub const CATALOGUE: &[MetricEntry] = &[$($constant,)*];
    };
}

catalogue! {
    ANSWER_TOKENS Counter "borageladder_answer_tokens" ["outcome" "service" "tier"]
        "Tokens that workers generated, by the outcome of their request.";
    BODY_BYTES Gauge "borageladder_body_bytes" ["state"]
        "Bytes of the request bodies and unread answers that the host holds (held) and may hold (limit).";
    BODY_REFUSALS Counter "borageladder_body_refusals" []
        "Requests refused before their bodies were read to the end, for want of memory.";
    CALLER_CUT_OFFS Counter "borageladder_caller_cut_offs" []
        "Callers whose connections were reset since they took nothing of their answers for too long.";
    CLAIMS Counter "borageladder_claims" ["outcome"]
        "Attempts to claim an idempotency key, by outcome.";
    CONFIGURATION_VERSION Gauge "borageladder_configuration_version" ["state"]
        "The configuration version in force on the host (applied) and the newest version known to it (known).";
    CONNECTION_BYTES Gauge "borageladder_connection_bytes" ["state"]
        "Bytes that the connections of callers take besides bodies (held) and may take (limit).";
    CONNECTION_REFUSALS Counter "borageladder_connection_refusals" []
        "Connections of callers that were closed, or whose request was refused, unread, for want of memory or descriptors.";
    FIRST_TOKEN Histogram "borageladder_first_token_seconds" ["service" "tier"]
        "Time from the arrival of a request to its first token.";
    GOODPUT_REQUESTS Counter "borageladder_goodput_requests" ["service" "tier"]
        "Requests whose complete answer arrived within the deadline; divided by all valid requests that ended, the goodput.";
    GOODPUT_TOKENS Counter "borageladder_goodput_tokens" ["service" "tier"]
        "Tokens of complete answers that arrived within the deadline.";
    LATE_REQUESTS Counter "borageladder_late_requests" ["outcome" "service"]
        "Late requests that waited at the brokers of the host and were granted a slot (started) or refused (refused).";
    LATE_WAITING Gauge "borageladder_late_waiting_requests" ["service"]
        "Late requests that wait at the brokers of the host.";
    HEDGE_REFUSALS Counter "borageladder_hedge_refusals" ["reason" "service"]
        "Slow requests for which no second dispatch was sent, by reason.";
    HEDGES Counter "borageladder_hedges" ["outcome" "service"]
        "Second dispatches of slow requests: sent, and of these relayed (won), cancelled for the first one (lost), ended without a usable answer (failed) and cancelled with the request (cancelled).";
    LINK_HANDSHAKES Counter "borageladder_link_handshakes" ["outcome"]
        "Handshakes of links that were begun, failed, or were delayed since too many were in progress.";
    LINK_MESSAGES Counter "borageladder_link_messages" ["direction" "kind"]
        "Messages exchanged with other hosts, by kind.";
    LINK_PINGS Counter "borageladder_link_pings" []
        "Pings sent to other hosts on links without other messages.";
    LINKS Gauge "borageladder_links" []
        "Open links to other hosts.";
    LINKS_BY_REVISION Gauge "borageladder_links_by_revision" ["revision"]
        "Open links to other hosts, by the revision of the messages that these understand.";
    LIVE_HOSTS Gauge "borageladder_live_hosts" []
        "Hosts that the host considers alive, including itself.";
    LOG_LINES_DROPPED Counter "borageladder_log_lines_dropped" ["event"]
        "Log lines that were dropped by the rate limit.";
    PLATFORM_CALLS Counter "borageladder_platform_calls" ["call" "outcome"]
        "Calls to the platform.";
    PREFILL_TOKENS Counter "borageladder_prefill_tokens" ["service" "tier"]
        "Estimated number of prompt tokens that workers computed.";
    PROCESSOR_TIME Gauge "borageladder_processor_seconds" []
        "Processor time that the process has used.";
    QUEUE_TIME Histogram "borageladder_queue_seconds" ["service" "tier"]
        "Time from the arrival of a request to the grant of a slot.";
    QUOTA_LEVEL Gauge "borageladder_quota_level_units" ["workspace"]
        "Units of a workspace's quota that are available on the host; negative if more were used than its bounds allow.";
    QUOTA_RATE Gauge "borageladder_quota_rate_units" ["workspace"]
        "Units per second that the quota of a workspace allows.";
    QUOTA_USE Gauge "borageladder_quota_use_units" ["source" "workspace"]
        "Recent use of a workspace's quota: units per second charged by the host (own) and by others (peers), units kept for unreported use (reserve) and units charged for silent hosts (assumed).";
    READY Gauge "borageladder_ready" []
        "Whether the host accepts new requests (1) or not (0).";
    REFUSED Counter "borageladder_refused_requests" ["reason" "service" "tier"]
        "Requests that were refused without running.";
    RELEASE_ANSWERS Counter "borageladder_release_answers" ["outcome" "service" "side"]
        "Answers to requests sent during a release, by side and outcome.";
    RELEASE_REQUESTS Counter "borageladder_release_requests" ["service" "side"]
        "Requests sent to workers during a release, by side.";
    RELEASE_SHARE Gauge "borageladder_release_share" ["service"]
        "Share of the requests to a service that goes to the target of its last release.";
    REQUESTS Counter "borageladder_requests" ["outcome" "service" "tier"]
        "Requests that ended, by outcome.";
    RESUMED Counter "borageladder_resumed_streams" ["service" "tier"]
        "Stalled streams that were resumed on a new connection.";
    RUNNING Gauge "borageladder_running_requests" ["service" "tier"]
        "Requests of the host that are running on workers.";
    SLOTS Gauge "borageladder_slots" ["service" "state"]
        "Slots on workers of the cells for which the host is the broker: allowed (limit) and in use (used).";
    STATE_AGE Gauge "borageladder_state_age_seconds" []
        "Time since the configuration in force was last confirmed to be the newest.";
    TIMER_DELAY Gauge "borageladder_timer_delay_seconds" []
        "Longest delay of a timer of the host over the last two seconds.";
    TOKEN_GAP Histogram "borageladder_token_gap_seconds" ["service" "tier"]
        "Time between consecutive tokens of an answer.";
    TRAFFIC Counter "borageladder_traffic_bytes" ["carrier" "direction" "distance"]
        "Bytes exchanged with other hosts and with workers, by network distance.";
    WAITING_BYTES Gauge "borageladder_waiting_bytes" []
        "Total size of the bodies of waiting requests.";
    WAITING Gauge "borageladder_waiting_requests" ["service" "tier"]
        "Requests of the host that are waiting for a grant.";
    WASTED_PREFILL Counter "borageladder_wasted_prefill_tokens" ["cause" "service" "tier"]
        "Prompt tokens computed without use; divided by all computed prompt tokens, the wasted prefill.";
    WORKER_FAILURES Counter "borageladder_worker_failures" ["service"]
        "Connections to workers that broke or were not accepted.";
    WORKSPACE_REFUSALS Counter "borageladder_workspace_refusals" ["workspace"]
        "Requests that the brokers of the host refused for lack of capacity or for their deadline, by workspace; counted with fair shares only.";
    WORKSPACE_SLOT_TIME Counter "borageladder_workspace_slot_seconds" ["workspace"]
        "Time for which requests held slots that the brokers of the host granted, by workspace; counted with fair shares only.";
}
