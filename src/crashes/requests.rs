//! Worker crashes by the content of the requests that they ran.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::clock::ProcessClock;
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
    /// Creates a register without crashes.
    #[must_use]
    pub fn new(links: Rc<LinkSet>, clock: ProcessClock) -> Self {
        Self {
            register: RefCell::default(),
            links,
            clock,
        }
    }

    /// Records that a worker crashed while it ran a request with the content digest, and broadcasts
    /// the new count.
    pub fn record_crash(&self, digest: u64) {
        let now = self.clock.now();
        let crashes = self.register.borrow_mut().record_crash(digest, now);
        self.links
            .broadcast(&LinkMessage::Crash { digest, crashes });
    }

    /// Merges a count that another host sent. A count that is new here is broadcast again, since
    /// hosts of other data centres may be linked to a few hosts only.
    pub fn merge(&self, digest: u64, crashes: u8) {
        let now = self.clock.now();
        if self.register.borrow_mut().merge(digest, crashes, now) {
            self.links
                .broadcast(&LinkMessage::Crash { digest, crashes });
        }
    }

    /// Removes the record of a content digest from this host after a request with it finished.
    pub fn clear(&self, digest: u64) {
        self.register.borrow_mut().clear(digest);
    }

    /// Returns the number of crashes on record for the content digest.
    #[must_use]
    pub fn crashes(&self, digest: u64) -> u8 {
        self.register.borrow().crashes(digest, self.clock.now())
    }

    /// Returns how a request with the digest may be run.
    #[must_use]
    pub fn verdict(&self, digest: u64) -> QuarantineVerdict {
        self.register.borrow().verdict(digest, self.clock.now())
    }
}
