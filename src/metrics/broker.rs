//! The metrics of the brokers on the host.

use opentelemetry::KeyValue;

use super::MetricSet;
use crate::kernel::broker::LateCounts;
use crate::kernel::broker::WorkspaceUsage;
use crate::kernel::name::ServiceName;

impl MetricSet {
    /// Sets the slot limit and the number of used slots of a cell whose broker is on this host.
    ///
    /// The gauge has no label for the data centre: cells of one service replace each other's values.
    pub fn set_slots(&self, service: &ServiceName, limit: u64, used: u64) {
        for (state, count) in [("limit", limit), ("used", used)] {
            let service = KeyValue::new("service", service.to_string());
            self.slots
                .record(count, &[service, KeyValue::new("state", state)]);
        }
    }

    /// Counts late requests that a broker started or refused after they had waited.
    pub fn late_ended(&self, service: &ServiceName, counts: LateCounts) {
        let outcomes = [("started", counts.started), ("refused", counts.refused)];
        for (outcome, count) in outcomes {
            let service = KeyValue::new("service", service.to_string());
            self.late_requests
                .add(count, &[KeyValue::new("outcome", outcome), service]);
        }
    }

    /// Counts the slot time and the refusals of a workspace.
    pub fn workspace_used(&self, usage: &WorkspaceUsage) {
        let workspace = KeyValue::new("workspace", usage.workspace.to_string());
        let labels = [workspace];
        self.workspace_refusals.add(usage.counts.refused, &labels);
        let slot_time = usage.counts.slot_time.as_secs_f64();
        self.workspace_slot_time.add(slot_time, &labels);
    }

    /// Sets the number of late requests that wait in a cell whose broker is on this host.
    pub fn set_late_waiting(&self, service: &ServiceName, count: u64) {
        let service = KeyValue::new("service", service.to_string());
        self.late_waiting.record(count, &[service]);
    }
}
