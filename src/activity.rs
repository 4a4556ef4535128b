//! Logs and counts what a host exchanges with other hosts, its processor time, and how late its timers
//! are.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use slog::Logger;

use crate::cell::CellId;
use crate::cell::CellService;
use crate::clock::processor_time;
use crate::event::LogEvent;
use crate::kernel::broker::WorkerSuspension;
use crate::link::LinkActivity;
use crate::link::LinkSet;
use crate::link::MessageCount;
use crate::log_event;
use crate::metrics::HandshakeLabel;
use crate::metrics::MetricSet;
use crate::metrics::TrafficDirection;

/// The interval at which the activity of a host is logged.
const ACTIVITY_INTERVAL: Duration = Duration::from_secs(2);

/// A host whose activity is recorded.
pub trait ActivitySource {
    /// Returns the logger.
    fn log(&self) -> &Logger;

    /// Returns the links to other hosts.
    fn links(&self) -> &LinkSet;

    /// Returns the cells, whose timers show delays.
    fn cells(&self) -> &CellService;

    /// Returns the metrics.
    fn metrics(&self) -> &MetricSet;
}

/// Logs and counts the activity of a host until the process ends.
pub async fn record_activity<S: ActivitySource>(source: Rc<S>) {
    loop {
        actix_rt::time::sleep(ACTIVITY_INTERVAL).await;
        let delay = source.cells().take_longest_delay();
        let counts = source.links().traffic().take();
        let activity = source.links().take_activity();
        let used = processor_time();
        let metrics = source.metrics();
        metrics.set_timer_delay(delay);
        record_links(metrics, &activity);
        if let Some(used) = used {
            metrics.set_processor_time(used);
        }
        for count in &counts {
            metrics.messages_exchanged(count.kind, TrafficDirection::Sent, count.sent);
            metrics.messages_exchanged(count.kind, TrafficDirection::Received, count.received);
        }
        for (cell, suspension) in source.cells().take_suspensions() {
            log_suspension(source.log(), &cell, &suspension);
        }
        for (cell, counts) in source.cells().take_late_counts() {
            metrics.late_ended(&cell.service, counts);
        }
        for usage in source.cells().take_workspace_usage() {
            metrics.workspace_used(&usage);
        }
        log_event!(source.log(), LogEvent::HostActivity,
            "timer_delay_ms" => whole_millis(delay),
            "processor_ms" => used.map(whole_millis),
            "links" => source.links().connected().len(),
            "handshakes_begun" => activity.begun,
            "handshakes_failed" => activity.failed,
            "handshakes_delayed" => activity.delayed,
            "handshakes_pending" => source.links().pending_handshakes(),
            "pings" => activity.pings,
            "sent" => count_list(&counts, |count| count.sent),
            "received" => count_list(&counts, |count| count.received));
    }
}

fn record_links(metrics: &MetricSet, activity: &LinkActivity) {
    metrics.handshakes(HandshakeLabel::Begun, activity.begun);
    metrics.handshakes(HandshakeLabel::Failed, activity.failed);
    metrics.handshakes(HandshakeLabel::Delayed, activity.delayed);
    metrics.pings_sent(activity.pings);
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn log_suspension(log: &Logger, cell: &CellId, suspension: &WorkerSuspension) {
    let WorkerSuspension {
        worker,
        host,
        suspended_at,
        probe_at,
    } = suspension;
    let suspended_for = probe_at.since(*suspended_at);
    log_event!(log, LogEvent::WorkerSuspended,
        "service" => cell.service.as_str(),
        "worker" => worker.as_str(),
        "reported_by" => host.as_str(),
        "at_us" => suspended_at.as_micros(),
        "suspended_ms" => whole_millis(suspended_for));
}

/// Returns the kinds with a count above zero, as `kind:count` separated by spaces.
fn count_list(counts: &[MessageCount], of: impl Fn(&MessageCount) -> u64) -> String {
    let mut text = String::new();
    for count in counts.iter().filter(|count| of(count) > 0) {
        let separator = if text.is_empty() { "" } else { " " };
        let _ = write!(text, "{separator}{}:{}", count.kind.as_str(), of(count));
    }
    text
}
