//! The connections of callers that the host holds.
//!
//! [`crate::kernel::connection`] decides which connections are accepted, which requests are read, and
//! which idle connections are closed for them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use thiserror::Error;
use tokio::sync::Notify;

use super::bodies::BodyMemory;
use crate::kernel::connection::CallerNumber;
use crate::kernel::connection::ConnectionBudget;
use crate::kernel::connection::ConnectionLedger;
use crate::kernel::connection::request_bytes;

/// Reason why a connection is not accepted, or a request on it is not read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the requests of other connections take {held} of {total} bytes")]
pub struct ConnectionError {
    /// The bytes that connections take.
    pub held: u64,
    /// The bytes for connections.
    pub total: u64,
}

/// The connections of callers that the host holds.
#[derive(Debug)]
pub struct ConnectionMemory {
    bodies: Rc<BodyMemory>,
    ledger: RefCell<ConnectionLedger>,
    closers: RefCell<BTreeMap<CallerNumber, Rc<Notify>>>,
}

impl ConnectionMemory {
    /// Returns the memory of a host without connections, which borrow what bodies don't take.
    #[must_use]
    pub const fn new(budget: ConnectionBudget, bodies: Rc<BodyMemory>) -> Self {
        Self {
            bodies,
            ledger: RefCell::new(ConnectionLedger::new(budget)),
            closers: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns the bytes that connections take.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.ledger.borrow().held()
    }

    /// Returns the bytes that connections may take.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.ledger.borrow().budget().bytes
    }

    /// Accepts a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the requests of other connections leave no room for it.
    pub fn accept(self: &Rc<Self>) -> Result<ConnectionLease, ConnectionError> {
        let accepted = self.update(ConnectionLedger::accept);
        let accepted = accepted.ok_or_else(|| self.error())?;
        self.close(&accepted.closed);
        let closer = Rc::new(Notify::new());
        let mut closers = self.closers.borrow_mut();
        closers.insert(accepted.number, Rc::clone(&closer));
        Ok(ConnectionLease {
            memory: Rc::clone(self),
            number: accepted.number,
            closer,
        })
    }

    /// Changes the ledger, which knows the bytes that bodies lend, and returns those not needed.
    fn update<T>(&self, change: impl FnOnce(&mut ConnectionLedger) -> T) -> T {
        let mut ledger = self.ledger.borrow_mut();
        ledger.set_lendable(self.bodies.lendable());
        let before = ledger.borrowed();
        let changed = change(&mut ledger);
        let borrowed = ledger.borrowed();
        drop(ledger);
        if borrowed != before {
            self.bodies.lend(borrowed);
        }
        changed
    }

    fn close(&self, numbers: &[CallerNumber]) {
        let mut closers = self.closers.borrow_mut();
        for number in numbers {
            if let Some(closer) = closers.remove(number) {
                closer.notify_one();
            }
        }
    }

    fn error(&self) -> ConnectionError {
        ConnectionError {
            held: self.held(),
            total: self.total(),
        }
    }
}

/// What is charged for one connection, until it is dropped.
#[derive(Debug)]
pub struct ConnectionLease {
    memory: Rc<ConnectionMemory>,
    number: CallerNumber,
    closer: Rc<Notify>,
}

impl ConnectionLease {
    /// Charges the connection for a request, of whose head a number of bytes has been received.
    ///
    /// # Errors
    ///
    /// Returns an error if the requests of other connections take the memory.
    pub fn charge(&self, head: usize) -> Result<(), ConnectionError> {
        let bytes = request_bytes(head as u64);
        let memory = &self.memory;
        let closed = memory.update(|ledger| ledger.charge(self.number, bytes));
        let closed = closed.ok_or_else(|| self.memory.error())?;
        self.memory.close(&closed);
        Ok(())
    }

    /// Records that no request is read or served on the connection; it can be closed for others.
    pub fn rest(&self) {
        self.memory.update(|ledger| ledger.rest(self.number));
    }

    /// Returns what tells that the idle connection is to be closed for others.
    #[must_use]
    pub fn closer(&self) -> ConnectionCloser {
        ConnectionCloser(Rc::clone(&self.closer))
    }
}

/// Tells that an idle connection is to be closed for others.
#[derive(Debug)]
pub struct ConnectionCloser(Rc<Notify>);

impl ConnectionCloser {
    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.0.notified().await;
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.memory.update(|ledger| ledger.remove(self.number));
        self.memory.closers.borrow_mut().remove(&self.number);
    }
}
