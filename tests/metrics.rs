//! The rendered metrics and their catalogue.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

use borageladder::event::LogEvent;
use borageladder::kernel::ask::RefusalReason;
use borageladder::kernel::broker::LateCounts;
use borageladder::kernel::broker::WorkspaceCounts;
use borageladder::kernel::broker::WorkspaceUsage;
use borageladder::kernel::clock::ClockTime;
use borageladder::kernel::configuration::ConfigVersion;
use borageladder::kernel::hedge::HedgeRefusal;
use borageladder::kernel::name::ServiceName;
use borageladder::kernel::quota::QuotaBounds;
use borageladder::kernel::quota::QuotaBucket;
use borageladder::kernel::quota::QuotaTolerance;
use borageladder::metrics::CallOutcome;
use borageladder::metrics::ClaimAttemptLabel;
use borageladder::metrics::HandshakeLabel;
use borageladder::metrics::HedgeLabel;
use borageladder::metrics::MetricSet;
use borageladder::metrics::ReleaseOutcome;
use borageladder::metrics::ReleaseSide;
use borageladder::metrics::RequestLabels;
use borageladder::metrics::RequestOutcome;
use borageladder::metrics::TrafficCarrier;
use borageladder::metrics::TrafficDirection;
use borageladder::metrics::TrafficDistance;
use borageladder::metrics::WasteCause;
use borageladder::metrics::catalogue::CATALOGUE;
use borageladder::wire::MessageKind;
use borageladder::wire::WireRevision;

/// The rows of the table before the first entry: the header and the separator.
const TABLE_HEAD_ROWS: usize = 2;

fn labels() -> (RequestLabels, ServiceName) {
    let tier = "urgent".try_into().expect("the name is valid");
    let service = ServiceName::try_from("drafter").expect("the name is valid");
    (RequestLabels::new(&tier, &service), service)
}

fn record_all(metrics: &MetricSet) {
    let (labels, service) = labels();
    let second = Duration::from_secs(1);
    metrics.request_ended(&labels, RequestOutcome::InTime, 320);
    metrics.request_ended(&labels, RequestOutcome::Late, 80);
    metrics.request_refused(&labels, RefusalReason::Deadline);
    metrics.prefill_computed(&labels, 2_000);
    metrics.prefill_wasted(&labels, WasteCause::Late, 500);
    metrics.request_granted(&labels, second);
    metrics.first_token(&labels, second);
    metrics.token_gap(&labels, second);
    metrics.stream_resumed(&labels);
    metrics.set_waiting(&labels, 3);
    metrics.set_waiting_bytes(4_096);
    metrics.set_body_bytes(4_096, 8_192);
    metrics.body_refused();
    metrics.caller_cut_off();
    metrics.set_connection_bytes(4_096, 8_192);
    metrics.connection_refused();
    metrics.set_running(&labels, 4);
    metrics.set_slots(&service, 16, 4);
    metrics.late_ended(
        &service,
        LateCounts {
            started: 3,
            refused: 1,
        },
    );
    metrics.set_late_waiting(&service, 2);
    metrics.workspace_used(&WorkspaceUsage {
        workspace: "union".parse().expect("the name is valid"),
        counts: WorkspaceCounts {
            slot_time: second,
            refused: 2,
        },
    });
    metrics.claim_attempted(ClaimAttemptLabel::Won);
    metrics.set_versions(ConfigVersion(41), ConfigVersion(42));
    metrics.set_ready(true);
    metrics.messages_exchanged(MessageKind::Heartbeat, TrafficDirection::Sent, 9);
    metrics.handshakes(HandshakeLabel::Begun, 3);
    metrics.pings_sent(2);
    metrics.set_processor_time(second);
    metrics.set_timer_delay(second);
    metrics.set_links(5);
    metrics.set_links_by_revision(WireRevision::CURRENT, 5);
    metrics.set_live_hosts(6);
    metrics.traffic(
        TrafficCarrier::Link,
        TrafficDirection::Sent,
        TrafficDistance::BetweenRegions,
        100,
    );
    metrics.platform_called("transact", CallOutcome::Answered);
    metrics.worker_failed(&service);
    metrics.release_request(&service, ReleaseSide::Target);
    metrics.release_answer(&service, ReleaseSide::Target, ReleaseOutcome::Failed);
    metrics.set_release_share(&service, 0.04);
    metrics.hedge(&service, HedgeLabel::Won);
    metrics.hedge_refused(&service, HedgeRefusal::Budget);
    metrics.lines_dropped(LogEvent::RequestSent, 7);
    metrics.set_state_age(second);
    let bucket = QuotaBucket::new(
        QuotaBounds {
            rate: 100.0,
            burst: 200.0,
        },
        QuotaTolerance::default(),
        ClockTime::ZERO,
    );
    let workspace = "union".parse().expect("the name is valid");
    metrics.set_quota(&workspace, &bucket.view(ClockTime::ZERO));
}

fn rendered() -> String {
    let metrics = MetricSet::new().expect("the exporter is set up");
    record_all(&metrics);
    metrics.render().expect("the metrics are text")
}

#[test]
fn all_metrics_are_rendered_with_their_kinds_and_labels() {
    let text = rendered();
    let types = text.lines().filter_map(|line| {
        let (name, kind) = line.strip_prefix("# TYPE ")?.split_once(' ')?;
        Some((name.to_owned(), kind.to_owned()))
    });
    let types: BTreeMap<String, String> = types.collect();
    assert_eq!(types.len(), CATALOGUE.len(), "{types:#?}");
    for entry in CATALOGUE {
        let name = entry.rendered_name();
        assert_eq!(types[&name], entry.kind.as_str(), "{name}");
        let sample = text.lines().find(|line| line.starts_with(&name));
        let sample = sample.expect("each metric has a sample");
        let labels = sample.split(['{', '}']).nth(1).unwrap_or_default();
        let labels = labels.split(',').filter_map(|label| label.split_once('='));
        let labels: Vec<&str> = labels
            .map(|label| label.0)
            .filter(|name| *name != "le")
            .collect();
        assert_eq!(labels, entry.labels, "{name}");
    }
}

#[test]
fn code_and_catalogue_agree() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/METRICS.md");
    let text = fs::read_to_string(path).expect("the page is readable");
    let rows = text.lines().filter(|line| line.starts_with("| "));
    let rows: Vec<&str> = rows.skip(TABLE_HEAD_ROWS).collect();
    assert_eq!(rows.len(), CATALOGUE.len());
    for (row, entry) in rows.iter().zip(CATALOGUE) {
        let name = entry.rendered_name();
        let (kind, labels) = (entry.kind.as_str(), entry.labels.join(", "));
        assert_eq!(
            *row,
            format!("| `{name}` | {kind} | {labels} | {} |", entry.description)
        );
    }
}

#[test]
fn goodput_and_wasted_prefill_are_rendered() {
    let text = rendered();
    let assert_rendered = |line: &str| assert!(text.contains(line), "{line} is not in\n{text}");
    assert_rendered("borageladder_goodput_requests_total{service=\"drafter\",tier=\"urgent\"} 1");
    assert_rendered("borageladder_goodput_tokens_total{service=\"drafter\",tier=\"urgent\"} 320");
    let wasted = "borageladder_wasted_prefill_tokens_total\
                  {cause=\"late\",service=\"drafter\",tier=\"urgent\"} 500";
    assert_rendered(wasted);
    let refused = "borageladder_requests_total\
                   {outcome=\"refused\",service=\"drafter\",tier=\"urgent\"} 1";
    assert_rendered(refused);
}
