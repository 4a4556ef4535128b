//! What became of claims and is not confirmed by the table yet.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use crate::claims::KeptAnswer;
use crate::kernel::claim::ClaimKey;
use crate::kernel::claim::ClaimRow;
use crate::kernel::claim::DispatchedClaim;

/// The most kept answers that wait for the platform; later ones are recorded as unknown.
const MAX_PENDING_ANSWERS: usize = 256;

/// A claim whose new state the table has not confirmed.
#[derive(Debug)]
pub enum PendingClaim {
    /// The request was not dispatched.
    Release {
        /// Where the claim stands.
        key: ClaimKey,
        /// The claim.
        row: ClaimRow,
    },
    /// Nobody knows whether the request ran.
    Unknown {
        /// Where the claim stands.
        key: ClaimKey,
        /// The claim.
        claim: DispatchedClaim,
    },
    /// The request ran.
    Answer {
        /// Where the claim stands.
        key: ClaimKey,
        /// The claim.
        claim: DispatchedClaim,
        /// The answer to keep.
        answer: KeptAnswer,
    },
}

impl PendingClaim {
    /// Creates a claim to give back.
    pub const fn release(key: ClaimKey, row: ClaimRow) -> Self {
        Self::Release { key, row }
    }

    /// Creates a claim to record as unknown.
    pub const fn unknown(key: ClaimKey, claim: DispatchedClaim) -> Self {
        Self::Unknown { key, claim }
    }

    /// Creates a claim to record as answered.
    pub const fn answer(key: ClaimKey, claim: DispatchedClaim, answer: KeptAnswer) -> Self {
        Self::Answer { key, claim, answer }
    }

    /// Returns where the claim stands.
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

/// The claims of one host that the table has not confirmed.
#[derive(Debug, Default)]
pub struct PendingList {
    claims: RefCell<Vec<PendingClaim>>,
    retried: Cell<bool>,
}

impl PendingList {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.borrow().len()
    }

    /// Adds a claim.
    pub fn add(&self, claim: PendingClaim) {
        let mut claims = self.claims.borrow_mut();
        let kept = |claim: &&PendingClaim| matches!(claim, PendingClaim::Answer { .. });
        let claim = if claims.iter().filter(kept).count() < MAX_PENDING_ANSWERS {
            claim
        } else {
            claim.without_answer()
        };
        claims.push(claim);
    }

    /// Adds the claim when the guard is dropped without being disarmed.
    pub fn guard(self: &Rc<Self>, claim: PendingClaim) -> PendingGuard {
        PendingGuard {
            list: Rc::clone(self),
            claim: Some(claim),
        }
    }

    /// Takes the claims that the condition selects.
    pub fn take(&self, condition: impl Fn(&PendingClaim) -> bool) -> Vec<PendingClaim> {
        let mut claims = self.claims.borrow_mut();
        claims.extract_if(.., |claim| condition(claim)).collect()
    }

    /// Returns whether the caller has to start the retries, which is so for one caller only.
    pub fn start_retries(&self) -> bool {
        !self.retried.replace(true)
    }
}

/// A claim that becomes pending unless its work completes.
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

    /// Drops the claim, because its work is complete.
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
