//! Held claims, which give an entry the right to run a non-idempotent request.

use std::rc::Rc;

use crate::claims::pending::PendingClaim;
use crate::claims::pending::PendingList;
use crate::kernel::claim;
use crate::kernel::claim::ClaimKey;
use crate::kernel::claim::ClaimRow;

/// A held claim whose request has not been sent to an upstream.
///
/// It wraps the ticket of the claim protocol, and is released in the background when it is dropped.
#[derive(Debug)]
#[must_use]
pub struct HeldClaim {
    key: ClaimKey,
    ticket: Option<claim::ClaimTicket>,
    pending: Rc<PendingList>,
}

impl HeldClaim {
    pub(in crate::claims) fn new(
        key: ClaimKey,
        ticket: claim::ClaimTicket,
        pending: Rc<PendingList>,
    ) -> Self {
        Self {
            key,
            ticket: Some(ticket),
            pending,
        }
    }

    /// Marks the request as dispatched, to be called right before its first byte is sent; the claim
    /// can't be released after that.
    pub fn dispatch(mut self) -> DispatchedClaim {
        let ticket = self.take();
        DispatchedClaim {
            key: self.key.clone(),
            claim: Some(ticket.dispatch()),
            pending: Rc::clone(&self.pending),
        }
    }

    pub(in crate::claims) fn into_parts(mut self) -> (ClaimKey, claim::ClaimTicket) {
        let ticket = self.take();
        (self.key.clone(), ticket)
    }

    fn take(&mut self) -> claim::ClaimTicket {
        self.ticket
            .take()
            .expect("a ticket is taken only by the calls that consume it")
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let row = ticket.row().clone();
            self.pending
                .add(PendingClaim::release(self.key.clone(), row));
        }
    }
}

/// A held claim whose request may have reached an upstream.
///
/// It wraps the dispatched ticket of the claim protocol. When it is dropped, the outcome of its
/// request is recorded as unknown in the background.
#[derive(Debug)]
#[must_use]
pub struct DispatchedClaim {
    key: ClaimKey,
    claim: Option<claim::DispatchedTicket>,
    pending: Rc<PendingList>,
}

impl DispatchedClaim {
    /// Returns the row of the claim; `None` once its outcome is being recorded.
    #[must_use]
    pub fn row(&self) -> Option<&ClaimRow> {
        self.claim.as_ref().map(claim::DispatchedTicket::row)
    }

    pub(in crate::claims) fn into_parts(mut self) -> (ClaimKey, claim::DispatchedTicket) {
        let claim = self
            .claim
            .take()
            .expect("a claim is taken only by the calls that consume it");
        (self.key.clone(), claim)
    }
}

impl Drop for DispatchedClaim {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.pending
                .add(PendingClaim::unknown(self.key.clone(), claim));
        }
    }
}
