//! The metrics of releases.

use opentelemetry::KeyValue;

use super::MetricSet;
use super::label::ReleaseOutcome;
use super::label::ReleaseSide;
use crate::kernel::name::ServiceName;

impl MetricSet {
    /// Counts a request that was sent to a worker during a release.
    pub fn release_request(&self, service: &ServiceName, side: ReleaseSide) {
        let attributes = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("side", side.as_str()),
        ];
        self.release_requests.add(1, &attributes);
    }

    /// Counts an answer to such a request.
    pub fn release_answer(
        &self,
        service: &ServiceName,
        side: ReleaseSide,
        outcome: ReleaseOutcome,
    ) {
        let attributes = [
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("service", service.to_string()),
            KeyValue::new("side", side.as_str()),
        ];
        self.release_answers.add(1, &attributes);
    }

    /// Sets the share of the requests that goes to the target of a release.
    pub fn set_release_share(&self, service: &ServiceName, share: f64) {
        let service = KeyValue::new("service", service.to_string());
        self.release_share.record(share, &[service]);
    }
}
