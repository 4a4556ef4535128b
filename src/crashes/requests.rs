//! Worker crashes by the content of the requests that they ran.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use super::report_on_connect;
use crate::clock::ProcessClock;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkerName;
use crate::kernel::quarantine::CrashCount;
use crate::kernel::quarantine::CrashRegister;
use crate::kernel::quarantine::QuarantineVerdict;
use crate::link::LinkSet;
use crate::wire::LinkMessage;

/// A host's crash register, whose new counts are broadcast over the links.
pub struct SharedCrashRegister {
    register: RefCell<CrashRegister>,
    links: Rc<LinkSet>,
    clock: ProcessClock,
}

impl fmt::Debug for SharedCrashRegister {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SharedCrashRegister")
            .field("register", &self.register)
            .finish_non_exhaustive()
    }
}

impl SharedCrashRegister {
    /// Creates a register without crashes, whose counts are sent to each host when a link to it is
    /// opened.
    #[must_use]
    pub fn start(links: &Rc<LinkSet>, clock: ProcessClock) -> Rc<Self> {
        let register = Rc::new(Self {
            register: RefCell::default(),
            links: Rc::clone(links),
            clock,
        });
        report_on_connect(links, &register, Self::report_to);
        register
    }

    fn report_to(&self, host: &HostName) {
        let counts = self.register.borrow().counts(self.clock.now());
        for count in counts {
            // Without a link, the next connection repeats the counts.
            let _ = self.links.send(host, LinkMessage::Crash(count));
        }
    }

    /// Records that a worker crashed while it ran a request with the content digest, and broadcasts
    /// the new count.
    pub fn record_crash(&self, digest: u64, worker: &WorkerName) {
        let now = self.clock.now();
        let count = self.register.borrow_mut().record_crash(digest, worker, now);
        if let Some(count) = count {
            self.links.broadcast(&LinkMessage::Crash(count));
        }
    }

    /// Merges a count that another host sent. A count that is new here is broadcast again, since
    /// hosts of other data centres may be linked to a few hosts only.
    pub fn merge(&self, count: CrashCount) {
        let now = self.clock.now();
        if self.register.borrow_mut().merge(&count, now) {
            self.links.broadcast(&LinkMessage::Crash(count));
        }
    }

    /// Removes the record of a content digest from this host after a request with it finished.
    pub fn clear(&self, digest: u64) {
        self.register.borrow_mut().clear(digest);
    }

    /// Returns how a request with the digest may be run.
    #[must_use]
    pub fn verdict(&self, digest: u64) -> QuarantineVerdict {
        self.register.borrow().verdict(digest, self.clock.now())
    }
}
