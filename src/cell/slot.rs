//! The wait for a slot on a worker, and the lease of the slot once it is granted.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::sync::oneshot;

use super::answer::SlotAnswer;
use super::asks::CellId;
use super::service::CellService;
use crate::kernel::ask::Ask;
use crate::kernel::ask::Grant;
use crate::kernel::ask::WorkProgress;
use crate::kernel::ask::WorkReport;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::RequestId;
use crate::kernel::pace::RateStatement;
use crate::kernel::pushback::RejectionTolerance;

impl CellService {
    /// Asks for a slot; the ask is refused when the deadline passes.
    #[must_use]
    pub fn ask(self: &Rc<Self>, ask: Ask, deadline: ClockTime) -> SlotWait {
        let request = ask.request;
        let datacenter = self.nearest_cell_datacenter(&ask.service);
        let cell = CellId {
            service: ask.service.clone(),
            datacenter,
        };
        let receiver = self.asks.borrow_mut().open(ask, cell, deadline);
        self.send_due();
        SlotWait::new(Rc::clone(self), request, receiver)
    }
}

/// A future that resolves to the answer to an ask, or to `None` if the ask was closed without one.
///
/// Dropping it before that withdraws the ask.
#[derive(Debug)]
pub struct SlotWait {
    cells: Rc<CellService>,
    request: RequestId,
    receiver: oneshot::Receiver<SlotAnswer>,
    answered: bool,
}

impl SlotWait {
    const fn new(
        cells: Rc<CellService>,
        request: RequestId,
        receiver: oneshot::Receiver<SlotAnswer>,
    ) -> Self {
        Self {
            cells,
            request,
            receiver,
            answered: false,
        }
    }
}

impl Future for SlotWait {
    type Output = Option<SlotAnswer>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let polled = Pin::new(&mut self.receiver).poll(cx);
        polled.map(|answer| {
            self.answered = true;
            answer.ok()
        })
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        // A grant that was delivered but not read must be released.
        if let Ok(SlotAnswer::Granted { grant, .. }) = self.receiver.try_recv() {
            drop(SlotLease::new(Rc::clone(&self.cells), grant));
            return;
        }
        self.cells.withdraw(self.request);
    }
}

/// The progress of a slot's use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeaseStage {
    Unused,
    Dispatched,
    Ended,
}

/// A granted slot.
///
/// Dropping it before the dispatch reports the slot as released, dropping it after the dispatch
/// reports the work as stopped.
#[derive(Debug)]
pub struct SlotLease {
    cells: Rc<CellService>,
    grant: Grant,
    stage: LeaseStage,
}

impl SlotLease {
    /// Creates a lease for a grant that the broker sent.
    #[must_use]
    pub const fn new(cells: Rc<CellService>, grant: Grant) -> Self {
        Self {
            cells,
            grant,
            stage: LeaseStage::Unused,
        }
    }

    /// Returns the grant.
    #[must_use]
    pub const fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Reports that the request was dispatched.
    pub fn dispatched(&mut self) {
        self.stage = LeaseStage::Dispatched;
        self.report(WorkProgress::Dispatched);
    }

    /// Records what the head of the answer says about the rate of requests that the worker takes;
    /// returns whether that changes what this host knows.
    #[must_use]
    pub fn observe_rate(&self, sent_at: ClockTime, statement: RateStatement) -> bool {
        self.cells.observe_rate(&self.grant, sent_at, statement)
    }

    /// Reports that the worker said that it is leaving.
    pub fn leaving_named(&self) {
        self.report(WorkProgress::LeavingNamed);
    }

    /// Reports the number of rejections in a second that the worker tolerates.
    pub fn tolerance_named(&self, tolerance: RejectionTolerance) {
        self.report(WorkProgress::ToleranceNamed { tolerance });
    }

    /// Reports the time from the dispatch to the first token.
    pub fn first_token(&self, after: Duration) {
        self.report(WorkProgress::FirstToken { after });
    }

    /// Ends the lease after the complete answer arrived; `token_gap` is the mean time between
    /// tokens, zero if it is not known.
    pub fn finished(mut self, answer_tokens: u32, token_gap: Duration) {
        self.end(WorkProgress::Finished {
            answer_tokens,
            token_gap,
        });
    }

    /// Ends the lease after the worker turned the request away without running it, or because it had
    /// asked this host for a rest; `rest` is what is left of it, zero if it asked for none.
    pub fn rejected(mut self, rest: Duration) {
        self.end(WorkProgress::Rejected { rest });
    }

    /// Ends the lease after the worker answered with a server error.
    pub fn erred(mut self) {
        self.end(WorkProgress::Erred);
    }

    /// Ends the lease after the worker could not be reached, broke the connection, or did not give a
    /// valid answer in time.
    pub fn failed(mut self) {
        self.end(WorkProgress::Failed);
    }

    fn end(&mut self, progress: WorkProgress) {
        self.stage = LeaseStage::Ended;
        self.report(progress);
        self.cells.release(self.grant.request);
    }

    fn report(&self, progress: WorkProgress) {
        let report = WorkReport {
            request: self.grant.request,
            grant: self.grant.grant,
            worker: self.grant.worker.clone(),
            progress,
        };
        self.cells.report(&report);
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        match self.stage {
            LeaseStage::Unused => self.end(WorkProgress::Released),
            LeaseStage::Dispatched => self.end(WorkProgress::Stopped),
            LeaseStage::Ended => (),
        }
    }
}
