//! The part of releases in the serving of one request.

use std::rc::Rc;

use actix_http::StatusCode;

use super::super::call_error::CallError;
use super::super::delivery::DispatchEnd;
use super::super::dialect::AnswerMetadata;
use super::super::exchange::CallExchange;
use super::super::exchange::ExchangeError;
use super::super::relay::FirstEventReport;
use super::super::streams;
use super::VersionDemand;
use crate::cell::SlotAnswer;
use crate::kernel::ask::RefusalReason;
use crate::kernel::attempt::WorkKind;
use crate::kernel::name::WorkerVersion;

impl CallExchange<'_> {
    /// Returns the versions that may run the request. A stream that continues keeps its version.
    pub(in super::super) fn version_demand(&self) -> Result<VersionDemand, CallError> {
        if let Some(version) = &self.required_version {
            return Ok(VersionDemand::Only(version.clone()));
        }
        self.host.version_demand(&self.planned, self.avoids_target)
    }

    /// Waits until the release no longer allows the version that the request waits for.
    pub(in super::super) async fn wait_until_forbidden(&self) {
        if self.required_version.is_some() {
            std::future::pending::<()>().await;
        }
        let asked = self.demand.asked();
        self.host
            .wait_until_forbidden(&self.planned, self.avoids_target, asked)
            .await;
    }

    /// Returns whether a request that was refused for lack of a worker of its version asks for another
    /// version, which the release allows.
    pub(in super::super) fn asks_elsewhere(&mut self, answer: Option<&SlotAnswer>) -> bool {
        let Some(SlotAnswer::Refused(refusal)) = answer else {
            return false;
        };
        if refusal.reason != RefusalReason::NoWorker {
            return false;
        }
        self.avoids_target |= self.demand.is_target();
        let demand = self.version_demand();
        demand.is_ok_and(|demand| demand.asked() != self.demand.asked())
    }

    /// Counts the end of a dispatch during a release.
    pub(in super::super) fn count_end(&mut self, end: &Result<DispatchEnd, ExchangeError>) {
        let Some(count) = self.count.take() else {
            return;
        };
        match end {
            Ok(DispatchEnd::Answered { .. }) => count.answered(),
            Ok(DispatchEnd::NotRun { .. }) => count.not_run(),
            Ok(DispatchEnd::Broken { .. }) | Err(ExchangeError::Truncated) => count.lost(),
            // A failure is counted by the head of its answer, and a caller that left by the drop.
            Ok(DispatchEnd::Erred(_)) | Err(_) => (),
        }
    }

    /// Returns a function that is called at the first event of an answer; `None` if nobody needs to
    /// know of it.
    pub(in super::super) fn first_event_report(
        &self,
        version: Option<&WorkerVersion>,
    ) -> Option<FirstEventReport> {
        let record = self.begin_record(version);
        let count = self.count.clone();
        if record.is_none() && count.is_none() {
            return None;
        }
        Some(FirstEventReport::new(move || {
            if let Some(record) = record {
                record();
            }
            if let Some(count) = count {
                count.answered();
            }
        }))
    }

    /// Returns a function that records the version at which a resumable stream begins; `None` if the
    /// worker states no version, or the stream has no key.
    fn begin_record(&self, version: Option<&WorkerVersion>) -> Option<impl FnOnce() + use<>> {
        let resumable = self.planned.route.kind == WorkKind::Stream { resumable: true };
        let stream = self.planned.stream_key().filter(|_| resumable)?;
        let version = version?.clone();
        let host = Rc::clone(self.host);
        Some(move || streams::record_begin(&host, stream, &version))
    }

    /// Counts a server error during a release: one that the worker did not sign may not be its own.
    pub(in super::super) fn count_error(&self, status: StatusCode, metadata: &AnswerMetadata) {
        if let Some(count) = self.count.as_ref().filter(|_| status.is_server_error()) {
            if metadata.signed {
                count.failed();
            } else {
                count.lost();
            }
        }
    }
}
