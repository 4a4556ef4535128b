//! Worker crashes by the prompt parts of the requests that they ran, and by their content as one more
//! part.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::places::ReportScope;
use super::report_on_connect;
use crate::clock::ProcessClock;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::poison::CrashedRequest;
use crate::kernel::poison::PartReport;
use crate::kernel::poison::PoisonRegister;
use crate::kernel::prompt::PartDigest;
use crate::link::LinkSet;
use crate::wire::LinkMessage;

/// A host's register of crashes by prompt part; what it records is broadcast over the links.
///
/// [`crate::kernel::poison::ReportSpread`] says what is passed on to hosts without a link to the one
/// that recorded it.
pub struct SharedPartRegister {
    register: RefCell<PoisonRegister>,
    links: Rc<LinkSet>,
    scope: ReportScope,
    clock: ProcessClock,
    /// Notified when crashes were recorded or cleared.
    changed: Notify,
}

impl fmt::Debug for SharedPartRegister {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SharedPartRegister")
            .field("register", &self.register)
            .finish_non_exhaustive()
    }
}

impl SharedPartRegister {
    /// Creates a register without crashes, whose records are sent to each host when a link to it is
    /// opened.
    #[must_use]
    pub fn start(links: &Rc<LinkSet>, scope: ReportScope, clock: ProcessClock) -> Rc<Self> {
        let register = Rc::new(Self {
            register: RefCell::default(),
            links: Rc::clone(links),
            scope,
            clock,
            changed: Notify::default(),
        });
        report_on_connect(links, &register, Self::report_to);
        register
    }

    /// Records the crash of a worker for the parts of a request, and reports it to the other hosts.
    pub fn record_crash(&self, request: &CrashedRequest<'_>) {
        let now = self.clock.now();
        let reports = self.register.borrow_mut().record_crash(now, request);
        self.changed.notify_waiters();
        if !reports.is_empty() {
            self.links.broadcast(&LinkMessage::CrashedParts(reports));
        }
    }

    /// Clears the parts of a request to which a sound answer began at `age` before now, tells the
    /// other hosts of those that had a crash on record, and returns these.
    pub fn record_answer(&self, age: Duration, parts: &[PartDigest]) -> Vec<PartDigest> {
        let now = self.clock.now();
        let cleared = self.register.borrow_mut().record_answer(now, age, parts);
        if !cleared.is_empty() {
            self.changed.notify_waiters();
            let parts = cleared.clone();
            self.links
                .broadcast(&LinkMessage::SoundAnswer { age, parts });
        }
        cleared
    }

    /// Merges the reports of another host, and passes on what is new.
    pub fn receive_reports(&self, from: &HostName, reports: &[PartReport]) {
        let news = self.merge(reports);
        if !news.is_empty() && self.scope.passes_on(from) {
            self.pass_on(from, &LinkMessage::CrashedParts(news));
        }
    }

    /// Merges reports, and returns those that changed the register.
    pub fn merge(&self, reports: &[PartReport]) -> Vec<PartReport> {
        let now = self.clock.now();
        let news = self.register.borrow_mut().merge(now, reports);
        self.changed.notify_waiters();
        news
    }

    /// Clears parts of a sound answer that another host saw begin at `age` before now, and passes on
    /// what is new.
    pub fn receive_answer(&self, from: &HostName, age: Duration, parts: &[PartDigest]) {
        let now = self.clock.now();
        let news = self.register.borrow_mut().clear(now, age, parts);
        self.changed.notify_waiters();
        if !news.is_empty() && self.scope.passes_on(from) {
            self.pass_on(from, &LinkMessage::SoundAnswer { age, parts: news });
        }
    }

    /// Sends a message to the other linked hosts of this data centre.
    fn pass_on(&self, from: &HostName, message: &LinkMessage) {
        for host in self.links.connected() {
            if host != *from && self.scope.is_near(&host) {
                // A host that misses it gets it from another host that passes it on, or when a link
                // is opened.
                let _ = self.links.send(&host, message.clone());
            }
        }
    }

    /// Returns reports of the parts that are in quarantine or suspect, which must outlive all hosts.
    #[must_use]
    pub fn lasting_reports(&self) -> Vec<PartReport> {
        self.register.borrow().lasting_reports(self.clock.now())
    }

    fn report_to(&self, host: &HostName) {
        let reports = self.register.borrow().reports(self.clock.now());
        if !reports.is_empty() {
            // Without a link, the next connection repeats the reports.
            let _ = self.links.send(host, LinkMessage::CrashedParts(reports));
        }
    }

    /// Returns those of the parts that have a crash on record.
    #[must_use]
    pub fn suspected(&self, parts: &[PartDigest]) -> Vec<PartDigest> {
        self.register.borrow().suspected(parts)
    }

    /// Returns whether a request of a workspace with the parts may crash its worker, so that it must
    /// not run beside another one of that kind.
    #[must_use]
    pub fn is_suspect(&self, workspace: Option<&WorkspaceName>, parts: &[PartDigest]) -> bool {
        let register = self.register.borrow();
        register.is_suspect(self.clock.now(), workspace, parts)
    }

    /// Waits until crashes are recorded or cleared.
    pub async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Returns the number of crashes on record for the part that has most.
    #[must_use]
    pub fn most_crashes(&self, parts: &[PartDigest]) -> usize {
        let register = self.register.borrow();
        let crashes = parts.iter().map(|part| register.crashes(*part));
        crashes.max().unwrap_or(0)
    }

    /// Returns the remaining time for which requests of a workspace with the parts are refused;
    /// `None` if they may run.
    #[must_use]
    pub fn quarantine(
        &self,
        workspace: Option<&WorkspaceName>,
        parts: &[PartDigest],
    ) -> Option<Duration> {
        let register = self.register.borrow();
        register.quarantine(self.clock.now(), workspace, parts)
    }
}
