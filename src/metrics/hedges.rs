//! Metrics of hedges, the second dispatches of slow requests.

use opentelemetry::KeyValue;

use super::HedgeLabel;
use super::MetricSet;
use crate::kernel::hedge::HedgeRefusal;
use crate::kernel::name::ServiceName;

impl MetricSet {
    /// Counts a hedge of a request to a service, when it is sent and when it ends.
    pub fn hedge(&self, service: &ServiceName, outcome: HedgeLabel) {
        let service = KeyValue::new("service", service.to_string());
        let outcome = KeyValue::new("outcome", outcome.as_str());
        self.hedges.add(1, &[outcome, service]);
    }

    /// Counts a slow request to a service that is not hedged.
    pub fn hedge_refused(&self, service: &ServiceName, reason: HedgeRefusal) {
        let service = KeyValue::new("service", service.to_string());
        let reason = KeyValue::new("reason", reason.as_str());
        self.hedge_refusals.add(1, &[reason, service]);
    }
}
