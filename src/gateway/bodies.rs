//! Memory for the bodies of callers' requests, and for what callers have not read of their answers.
//!
//! [`crate::kernel::memory`] decides which body is read; a request that has to wait for too long is
//! refused before its body is read.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::oneshot;

use crate::kernel::memory::BodyBudget;
use crate::kernel::memory::BodyClaim;
use crate::kernel::memory::BodyLedger;
use crate::kernel::memory::ClaimAnswer;
use crate::kernel::memory::ClaimNumber;

/// Reason why a body is not read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The bodies of other requests took the memory for too long.
    #[error("the bodies of other requests take {held} of {total} bytes")]
    NoMemory {
        /// The bytes that they took.
        held: u64,
        /// The bytes for bodies.
        total: u64,
    },
    /// The host can't hold a body of this length.
    #[error("this host holds bodies of at most {total} bytes")]
    TooLong {
        /// The bytes for bodies.
        total: u64,
    },
}

/// The bodies that a host holds.
#[derive(Debug)]
pub struct BodyMemory {
    ledger: RefCell<BodyLedger>,
    waiting: RefCell<BTreeMap<ClaimNumber, oneshot::Sender<()>>>,
}

impl BodyMemory {
    /// Returns the memory of a host that holds no body.
    #[must_use]
    pub const fn new(budget: BodyBudget) -> Self {
        Self {
            ledger: RefCell::new(BodyLedger::new(budget)),
            waiting: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns the bytes of the bodies that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.ledger.borrow().held()
    }

    /// Returns the bytes that bodies may take.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.ledger.borrow().budget().total
    }

    /// Returns the bytes that bodies don't take, whether they are lent or not.
    #[must_use]
    pub fn lendable(&self) -> u64 {
        self.ledger.borrow().lendable()
    }

    /// Lends bytes that no body takes in place of those lent before.
    pub fn lend(&self, bytes: u64) {
        let granted = self.ledger.borrow_mut().lend(bytes);
        self.notify(&granted);
    }

    /// Returns what is held of an answer, none at first.
    #[must_use]
    pub fn answer(self: &Rc<Self>) -> AnswerReservation {
        AnswerReservation {
            memory: Rc::clone(self),
            bytes: 0,
        }
    }

    /// Returns the greatest length of a body whose length is not stated, where the configuration allows
    /// `limit` bytes.
    #[must_use]
    pub fn longest(&self, limit: usize) -> usize {
        let long = self.ledger.borrow().budget().long;
        limit.min(usize::try_from(long).unwrap_or(usize::MAX))
    }

    /// Reserves memory for a body, and waits for it up to the time that `limit` returns.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory in time, or never would be.
    pub async fn reserve(
        self: &Rc<Self>,
        claim: BodyClaim,
        limit: impl FnOnce() -> Duration,
    ) -> Result<BodyReservation, BodyError> {
        let answer = self.ledger.borrow_mut().claim(&claim);
        let number = match answer {
            ClaimAnswer::Granted => return Ok(self.reservation(claim)),
            ClaimAnswer::TooLong => {
                let total = self.total();
                return Err(BodyError::TooLong { total });
            }
            ClaimAnswer::Waiting(number) => number,
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        let mut pending = PendingClaim {
            memory: self,
            claim: Some((number, claim)),
        };
        let granted = tokio::time::timeout(limit(), receiver).await;
        if granted.is_ok()
            && let Some((_, claim)) = pending.claim.take()
        {
            return Ok(self.reservation(claim));
        }
        let (held, total) = (self.held(), self.total());
        Err(BodyError::NoMemory { held, total })
    }

    fn reservation(self: &Rc<Self>, claim: BodyClaim) -> BodyReservation {
        BodyReservation {
            memory: Rc::clone(self),
            claim,
        }
    }

    fn release(&self, claim: &BodyClaim) {
        let granted = self.ledger.borrow_mut().release(claim);
        self.notify(&granted);
    }

    fn notify(&self, granted: &[ClaimNumber]) {
        let mut waiting = self.waiting.borrow_mut();
        for number in granted {
            if let Some(sender) = waiting.remove(number) {
                // A request that has just given up releases the claim itself.
                let _ = sender.send(());
            }
        }
    }
}

/// A claim that waits; it is withdrawn when dropped.
struct PendingClaim<'a> {
    memory: &'a BodyMemory,
    claim: Option<(ClaimNumber, BodyClaim)>,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        let Some((number, claim)) = self.claim.take() else {
            return;
        };
        self.memory.waiting.borrow_mut().remove(&number);
        let withdrawn = self.memory.ledger.borrow_mut().withdraw(number);
        match withdrawn {
            Some(granted) => self.memory.notify(&granted),
            None => self.memory.release(&claim),
        }
    }
}

/// Memory reserved for one body, until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: Rc<BodyMemory>,
    claim: BodyClaim,
}

impl BodyReservation {
    /// Releases what a body of this length does not need.
    pub fn shrink(&mut self, bytes: u64) {
        let mut ledger = self.memory.ledger.borrow_mut();
        let granted = ledger.shrink(&mut self.claim, bytes);
        drop(ledger);
        self.memory.notify(&granted);
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.release(&self.claim);
    }
}

/// Memory reserved for what the caller of an answer has not read, until it is dropped.
#[derive(Debug)]
pub struct AnswerReservation {
    memory: Rc<BodyMemory>,
    bytes: u64,
}

impl AnswerReservation {
    /// Changes the bytes that are reserved; returns whether there is memory for them. If not, what was
    /// reserved stays so.
    pub fn resize(&mut self, bytes: u64) -> bool {
        let mut ledger = self.memory.ledger.borrow_mut();
        let Some(granted) = ledger.resize_answer(self.bytes, bytes) else {
            return false;
        };
        drop(ledger);
        self.bytes = bytes;
        self.memory.notify(&granted);
        true
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
