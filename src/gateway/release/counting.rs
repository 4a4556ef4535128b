//! Counts of the answers of both sides of a release, of the requests that this host sent.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

use super::super::host::GatewayHost;
use super::super::plan::PlannedCall;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::ServiceName;
use crate::kernel::release::ReleaseEvidence;
use crate::kernel::release::ReleaseOrder;
use crate::kernel::release::TallyKey;
use crate::kernel::release::VersionSide;
use crate::kernel::release::VersionTally;
use crate::kernel::roster::UpstreamRecord;
use crate::metrics::ReleaseOutcome;
use crate::metrics::ReleaseSide;

/// The evidence of this host for one order.
#[derive(Debug)]
pub(super) struct OwnEvidence {
    evidence: ReleaseEvidence,
    /// What has changed since the last report.
    changed: BTreeSet<TallyKey>,
}

impl OwnEvidence {
    const fn new(order: ReleaseOrder) -> Self {
        Self {
            evidence: ReleaseEvidence::new(order),
            changed: BTreeSet::new(),
        }
    }

    /// Returns what has changed since the last call, or everything; `None` if there is nothing.
    pub(super) fn take(&mut self, everything: bool) -> Option<ReleaseEvidence> {
        let changed = std::mem::take(&mut self.changed);
        if everything {
            return Some(self.evidence.clone());
        }
        if changed.is_empty() {
            return None;
        }
        let mut report = ReleaseEvidence::new(self.evidence.order.clone());
        for (key, tally) in self.evidence.iter() {
            if changed.contains(key) {
                *report.tally(key.clone()) = tally.clone();
            }
        }
        Some(report)
    }
}

/// What is known of the answer to a counted dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CountStage {
    /// Nothing has arrived.
    Pending,
    /// The answer has begun and is no failure.
    Answered,
    /// It is counted for good.
    Ended,
}

/// Counts the answer to one dispatch. If dropped while nothing has arrived, it counts a lost answer:
/// a caller that gave up is the only sign of a worker that does not answer.
pub(in super::super) struct DispatchCount {
    host: Rc<GatewayHost>,
    order: ReleaseOrder,
    key: TallyKey,
    sent_at: ClockTime,
    stage: Cell<CountStage>,
}

impl DispatchCount {
    /// Counts a dispatch; `None` if the service has no release in progress.
    pub(in super::super) fn of_dispatch(
        host: &Rc<GatewayHost>,
        planned: &PlannedCall,
        worker: &UpstreamRecord,
        sent_at: ClockTime,
    ) -> Option<Rc<Self>> {
        let order = host.releases.order(&planned.service)?;
        let state = host.releases.governing_state(&order);
        if state.is_some_and(|state| state.phase.is_final()) {
            return None;
        }
        let is_target = worker.version.as_ref() == Some(&order.target);
        let key = TallyKey {
            route: format!("{}{}", planned.route.hostname, planned.route.prefix),
            side: if is_target {
                VersionSide::Target
            } else {
                VersionSide::Baseline
            },
            worker: is_target.then(|| worker.worker.clone()),
        };
        let count = Rc::new(Self {
            host: Rc::clone(host),
            order,
            key,
            sent_at,
            stage: Cell::new(CountStage::Pending),
        });
        count.record(|tally| tally.requests += 1);
        let metrics = &host.metrics;
        metrics.release_request(&planned.service, count.side());
        Some(count)
    }

    /// Returns whether the request was sent to the target.
    pub(in super::super) fn is_target(&self) -> bool {
        self.key.side == VersionSide::Target
    }

    const fn side(&self) -> ReleaseSide {
        match self.key.side {
            VersionSide::Target => ReleaseSide::Target,
            VersionSide::Baseline => ReleaseSide::Baseline,
        }
    }

    fn record(&self, count: impl FnOnce(&mut VersionTally)) {
        let mut table = self.host.releases.evidence.borrow_mut();
        let service: &ServiceName = &self.order.service;
        let known = table.get(service).map(|own| &own.evidence.order);
        // A later order counts from zero.
        if known.is_some_and(|known| known.revision > self.order.revision) {
            return;
        }
        if known != Some(&self.order) {
            table.insert(service.clone(), OwnEvidence::new(self.order.clone()));
        }
        if let Some(own) = table.get_mut(service) {
            count(own.evidence.tally(self.key.clone()));
            own.changed.insert(self.key.clone());
        }
    }

    fn count_metric(&self, outcome: ReleaseOutcome) {
        let metrics = &self.host.metrics;
        metrics.release_answer(&self.order.service, self.side(), outcome);
    }

    /// Counts the begin of a stream, or a complete answer of another kind, unless it is counted.
    pub(in super::super) fn answered(&self) {
        if self.stage.get() == CountStage::Pending {
            self.stage.set(CountStage::Answered);
            let time = self.host.clock.now().since(self.sent_at);
            self.record(|tally| tally.record_answer(time));
            self.count_metric(ReleaseOutcome::Answered);
        }
    }

    /// Counts an answer that the worker signed as a failure.
    pub(in super::super) fn failed(&self) {
        if self.stage.replace(CountStage::Ended) == CountStage::Pending {
            self.record(VersionTally::record_failure);
            self.count_metric(ReleaseOutcome::Failed);
        }
    }

    /// Counts an answer that did not come, or ended early.
    pub(in super::super) fn lost(&self) {
        if self.stage.replace(CountStage::Ended) != CountStage::Ended {
            self.record(|tally| tally.lost += 1);
            self.count_metric(ReleaseOutcome::Lost);
        }
    }

    /// Ends the count of a request that the worker did not run.
    pub(in super::super) fn not_run(&self) {
        self.stage.set(CountStage::Ended);
    }
}

impl Drop for DispatchCount {
    fn drop(&mut self) {
        if self.stage.get() == CountStage::Pending {
            self.lost();
        }
    }
}

impl std::fmt::Debug for DispatchCount {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DispatchCount")
            .field("key", &self.key)
            .field("stage", &self.stage)
            .finish_non_exhaustive()
    }
}
