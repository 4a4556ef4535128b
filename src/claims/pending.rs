//! Claims whose new state the platform's table has not confirmed.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use crate::claims::StoredAnswer;
use crate::kernel::claim::ClaimKey;
use crate::kernel::claim::ClaimRow;
use crate::kernel::claim::DispatchedTicket;

/// The largest number of answers held until the platform stores them; the claims of further answers
/// are recorded as unknown.
const MAX_PENDING_ANSWERS: usize = 256;

/// A claim whose new state the platform's table has not confirmed.
#[derive(Debug)]
pub enum PendingClaim {
    /// The request was not dispatched, so the claim is to be released.
    Release {
        /// The storage key of the claim.
        key: ClaimKey,
        /// The claim as it was written.
        row: ClaimRow,
    },
    /// It is unknown whether the request ran.
    Unknown {
        /// The storage key of the claim.
        key: ClaimKey,
        /// The dispatched claim.
        claim: DispatchedTicket,
    },
    /// The request ran and was answered.
    Answer {
        /// The storage key of the claim.
        key: ClaimKey,
        /// The dispatched claim.
        claim: DispatchedTicket,
        /// The answer to store.
        answer: StoredAnswer,
    },
}

impl PendingClaim {
    /// Creates a claim to release.
    pub const fn release(key: ClaimKey, row: ClaimRow) -> Self {
        Self::Release { key, row }
    }

    /// Creates a claim to record as unknown.
    pub const fn unknown(key: ClaimKey, claim: DispatchedTicket) -> Self {
        Self::Unknown { key, claim }
    }

    /// Creates a claim to record as answered.
    pub const fn answer(key: ClaimKey, claim: DispatchedTicket, answer: StoredAnswer) -> Self {
        Self::Answer { key, claim, answer }
    }

    /// Returns the storage key of the claim.
    pub const fn key(&self) -> &ClaimKey {
        match self {
            Self::Release { key, .. } | Self::Unknown { key, .. } | Self::Answer { key, .. } => key,
        }
    }

    fn without_answer(self) -> Self {
        match self {
            Self::Answer { key, claim, .. } => Self::Unknown { key, claim },
            other => other,
        }
    }
}

/// The claims of one host whose new state the platform's table has not confirmed.
#[derive(Debug, Default)]
pub struct PendingList {
    claims: RefCell<Vec<PendingClaim>>,
    retries_started: Cell<bool>,
}

impl PendingList {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.borrow().len()
    }

    /// Adds a claim; if the list already holds [`MAX_PENDING_ANSWERS`] answers, the claim's answer
    /// is dropped and its outcome is recorded as unknown.
    pub fn add(&self, claim: PendingClaim) {
        let mut claims = self.claims.borrow_mut();
        let has_answer = |claim: &&PendingClaim| matches!(claim, PendingClaim::Answer { .. });
        let claim = if claims.iter().filter(has_answer).count() < MAX_PENDING_ANSWERS {
            claim
        } else {
            claim.without_answer()
        };
        claims.push(claim);
    }

    /// Returns a guard that adds the claim when it is dropped without being disarmed.
    pub fn guard(self: &Rc<Self>, claim: PendingClaim) -> PendingGuard {
        PendingGuard {
            list: Rc::clone(self),
            claim: Some(claim),
        }
    }

    /// Removes and returns the claims that fulfil the condition.
    pub fn take(&self, condition: impl Fn(&PendingClaim) -> bool) -> Vec<PendingClaim> {
        let mut claims = self.claims.borrow_mut();
        claims.extract_if(.., |claim| condition(claim)).collect()
    }

    /// Marks the retries as started; returns whether this is the first call, whose caller starts
    /// them.
    pub fn mark_retries_started(&self) -> bool {
        !self.retries_started.replace(true)
    }
}

/// Adds a claim to the pending list when it is dropped without being disarmed.
#[derive(Debug)]
pub struct PendingGuard {
    list: Rc<PendingList>,
    claim: Option<PendingClaim>,
}

impl PendingGuard {
    /// Returns the claim.
    pub fn claim(&self) -> &PendingClaim {
        self.claim
            .as_ref()
            .expect("a guard holds its claim until it is disarmed")
    }

    /// Discards the claim, so that the guard does not add it to the list.
    pub fn disarm(mut self) {
        self.claim = None;
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.list.add(claim);
        }
    }
}
