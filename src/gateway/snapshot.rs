//! Logs changes of the state by which a host decides: the freshness of its configuration, the
//! brokers and the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use super::host::GatewayHost;
use crate::cell::CellBrokers;
use crate::cell::CellId;
use crate::event::LogEvent;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkerName;
use crate::log_budget::SharedBudget;
use crate::log_event;

/// The maximum time between two checks of the state.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of worker names in one log line.
const MAX_NAMES: usize = 8;

/// The state of a host at the last check.
#[derive(Debug, Default)]
struct HostSnapshot {
    /// Whether the configuration was fresh enough to act on; `None` before the first check.
    fresh: Option<bool>,
    /// Whether the host had probably lost the path to all workers.
    isolated: bool,
    brokers: BTreeMap<CellId, CellBrokers>,
    workers: BTreeSet<WorkerName>,
}

/// Logs changes of the host's state until the process ends.
pub(super) async fn log_changes(host: Rc<GatewayHost>, budget: SharedBudget) {
    let mut snapshot = HostSnapshot::default();
    loop {
        snapshot.update(&host);
        report_dropped_lines(&host, &budget);
        // Changes of the configuration and workers are logged at once; others at the next check.
        let changed = host.changed.notified();
        let _ = actix_rt::time::timeout(CHECK_INTERVAL, changed).await;
    }
}

/// Logs and counts the lines that were dropped by the log budget, by event.
fn report_dropped_lines(host: &GatewayHost, budget: &SharedBudget) {
    let dropped = budget.take_dropped();
    if dropped.is_empty() {
        return;
    }
    let mut text = String::new();
    for (event, count) in &dropped {
        host.metrics.lines_dropped(*event, *count);
        let separator = if text.is_empty() { "" } else { " " };
        let _ = write!(text, "{separator}{}:{count}", event.name());
    }
    log_event!(host.log, LogEvent::LinesDropped,
        "lines" => dropped.values().sum::<u64>(), "events" => text);
}

impl HostSnapshot {
    fn update(&mut self, host: &GatewayHost) {
        self.check_freshness(host);
        self.check_path(host);
        self.check_brokers(host);
        self.check_workers(host);
    }

    fn check_freshness(&mut self, host: &GatewayHost) {
        let fresh =
            host.fresh_configuration(host.clock.now()).is_some() && host.state.workers_known.get();
        // At startup a host is not logged as stale.
        if self.fresh.replace(fresh).unwrap_or_default() == fresh {
            return;
        }
        let version = host.latest_configuration().map(|newest| newest.version);
        if fresh {
            log_event!(host.log, LogEvent::HostReady, "version" => version);
        } else {
            log_event!(host.log, LogEvent::HostStale, "version" => version);
        }
    }

    fn check_path(&mut self, host: &GatewayHost) {
        let isolated = host.is_isolated();
        if std::mem::replace(&mut self.isolated, isolated) != isolated {
            log_event!(host.log, LogEvent::PathChanged,
                "lost" => isolated, "served_tunnels" => host.served_tunnels());
        }
    }

    fn check_brokers(&mut self, host: &GatewayHost) {
        let name = |host: &Option<HostName>| host.as_ref().map(ToString::to_string);
        for (cell, brokers) in host.cells.brokers_of_services() {
            if self.brokers.get(&cell) == Some(&brokers) {
                continue;
            }
            log_event!(host.log, LogEvent::BrokersChanged,
                "service" => cell.service.to_string(),
                "datacenter" => cell.datacenter.to_string(),
                "broker" => name(&brokers.broker),
                "deputy" => name(&brokers.deputy));
            self.brokers.insert(cell, brokers);
        }
    }

    fn check_workers(&mut self, host: &GatewayHost) {
        let configuration = host.state.cell_configuration();
        let workers: BTreeSet<WorkerName> = configuration.workers.keys().cloned().collect();
        if workers == self.workers {
            return;
        }
        let added = name_list(workers.difference(&self.workers));
        let removed = name_list(self.workers.difference(&workers));
        log_event!(host.log, LogEvent::WorkersChanged,
            "workers" => workers.len(), "added" => added, "gone" => removed);
        self.workers = workers;
    }
}

/// Returns the first names, and the number of further names if there are any.
fn name_list<'a>(workers: impl Iterator<Item = &'a WorkerName>) -> String {
    let names: Vec<&str> = workers.map(WorkerName::as_str).collect();
    let shown = names[..names.len().min(MAX_NAMES)].join(" ");
    match names.len().saturating_sub(MAX_NAMES) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}
