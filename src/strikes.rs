//! The strikes of requests that may crash workers, as all hosts tell each other.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::clock::ProcessClock;
use crate::kernel::quarantine::QuarantineVerdict;
use crate::kernel::quarantine::StrikeRegister;
use crate::link::LinkSet;
use crate::wire::LinkMessage;

/// The strikes that this host knows of; what is new here is passed on over the links.
pub struct SharedStrikes {
    register: RefCell<StrikeRegister>,
    links: Rc<LinkSet>,
    clock: ProcessClock,
}

impl fmt::Debug for SharedStrikes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SharedStrikes")
            .field("register", &self.register)
            .finish_non_exhaustive()
    }
}

impl SharedStrikes {
    /// Creates the strikes of a host that knows of none.
    #[must_use]
    pub fn new(links: Rc<LinkSet>, clock: ProcessClock) -> Self {
        Self {
            register: RefCell::default(),
            links,
            clock,
        }
    }

    /// Notes that a worker died while it ran a request, and tells the other hosts.
    pub fn strike(&self, digest: u64) {
        let now = self.clock.now();
        let strikes = self.register.borrow_mut().strike(digest, now);
        self.links
            .broadcast(&LinkMessage::Strike { digest, strikes });
    }

    /// Takes over the strikes that another host knows of, and passes on what is new here, since
    /// hosts of other data centres may be linked to a few hosts only.
    pub fn learn(&self, digest: u64, strikes: u8) {
        let now = self.clock.now();
        if self.register.borrow_mut().learn(digest, strikes, now) {
            self.links
                .broadcast(&LinkMessage::Strike { digest, strikes });
        }
    }

    /// Forgets the strikes of a request that finished.
    pub fn clear(&self, digest: u64) {
        self.register.borrow_mut().clear(digest);
    }

    /// Returns what may be done with a request.
    #[must_use]
    pub fn verdict(&self, digest: u64) -> QuarantineVerdict {
        self.register.borrow().verdict(digest, self.clock.now())
    }
}
