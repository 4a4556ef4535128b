//! The bytes of request bodies and of unread answers that one host holds, and which body is read next.
//!
//! A body is claimed before it is read, with its whole length if that is stated, so that such bodies
//! never wait for each other once they are being read. Long bodies leave a part of the memory to
//! short ones. Waiting claims are granted by tier, then to the workspace that holds the fewest bytes.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::name::TierRank;
use crate::name::WorkspaceName;

/// The length up to which a body counts as short, in bytes.
pub const MAX_SHORT_BODY: u64 = 128 << 10;

/// The memory of a host that holds no bodies, in bytes.
const BASE_BYTES: u64 = 24_000_000;

/// The bytes of bodies that a host holds in any case, so that one with little memory serves short ones.
const MIN_BODY_BYTES: u64 = 8 * MAX_SHORT_BODY;

/// The part of the rest that bodies may take, in percent; the allocator keeps much of what was freed.
const BODY_PERCENT: u64 = 60;

/// The part of those bytes that long bodies may take, in percent.
const LONG_PERCENT: u64 = 75;

/// The part of those bytes that answers may take which their callers have not read, in percent.
const ANSWER_PERCENT: u64 = 25;

/// Returns a part, in percent, of the memory of a host that the process itself doesn't take, in bytes.
pub(crate) const fn rest_of_memory(memory: u64, percent: u64) -> u64 {
    memory.saturating_sub(BASE_BYTES) / 100 * percent
}

/// The bytes of bodies that a host holds at most.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyBudget {
    /// The bytes of all bodies.
    pub total: u64,
    /// The bytes of long bodies, unless there is only one.
    pub long: u64,
}

impl BodyBudget {
    /// Returns the budget of a host with the given memory, in bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::memory::BodyBudget;
    ///
    /// let budget = BodyBudget::of_memory(104_000_000);
    /// assert_eq!((budget.total, budget.long), (48_000_000, 36_000_000));
    /// ```
    #[must_use]
    pub const fn of_memory(memory: u64) -> Self {
        let share = rest_of_memory(memory, BODY_PERCENT);
        let total = if share > MIN_BODY_BYTES {
            share
        } else {
            MIN_BODY_BYTES
        };
        Self {
            total,
            long: total / 100 * LONG_PERCENT,
        }
    }
}

/// The claim of a request to hold its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyClaim {
    /// The workspace of the caller; `None` if it is not known.
    pub workspace: Option<WorkspaceName>,
    /// The tier of the request.
    pub tier: TierRank,
    /// The length of the body in bytes, or the most that it can have.
    pub bytes: u64,
}

impl BodyClaim {
    const fn is_long(&self) -> bool {
        self.bytes > MAX_SHORT_BODY
    }
}

/// The number of a claim, in the order in which they were made.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimNumber(u64);

/// The answer to a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The body may be read.
    Granted,
    /// The body may be read once the claim with this number is granted.
    Waiting(ClaimNumber),
    /// The host can't hold a body of this length.
    TooLong,
}

/// The bodies that one host holds, and the claims that wait.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::memory::BodyBudget;
/// use borageladder_kernel::memory::BodyClaim;
/// use borageladder_kernel::memory::BodyLedger;
/// use borageladder_kernel::memory::ClaimAnswer;
/// use borageladder_kernel::name::TierRank;
///
/// let mut ledger = BodyLedger::new(BodyBudget { total: 8 << 20, long: 6 << 20 });
/// let claim = BodyClaim { workspace: None, tier: TierRank(0), bytes: 4 << 20 };
/// assert_eq!(ledger.claim(&claim), ClaimAnswer::Granted);
/// assert!(matches!(ledger.claim(&claim), ClaimAnswer::Waiting(_)));
/// let granted = ledger.release(&claim);
/// assert_eq!(granted.len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct BodyLedger {
    budget: BodyBudget,
    held: u64,
    held_long: u64,
    /// The bytes of answers, which are part of `held`.
    held_answers: u64,
    lent: u64,
    held_by: BTreeMap<Option<WorkspaceName>, u64>,
    waiting: BTreeMap<ClaimNumber, BodyClaim>,
    last_number: u64,
}

impl BodyLedger {
    /// Creates the ledger of a host that holds no body.
    #[must_use]
    pub const fn new(budget: BodyBudget) -> Self {
        Self {
            budget,
            held: 0,
            held_long: 0,
            held_answers: 0,
            lent: 0,
            held_by: BTreeMap::new(),
            waiting: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Returns the bytes of the bodies and of the unread answers that are held.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the budget.
    #[must_use]
    pub const fn budget(&self) -> BodyBudget {
        self.budget
    }

    /// Returns the number of waiting claims.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Claims the bytes of a body; a claim never overtakes one that comes first by the order of grants.
    pub fn claim(&mut self, claim: &BodyClaim) -> ClaimAnswer {
        if claim.bytes > self.budget.total {
            return ClaimAnswer::TooLong;
        }
        self.last_number += 1;
        let number = ClaimNumber(self.last_number);
        self.waiting.insert(number, claim.clone());
        let is_first = self.next_claim(claim.is_long()) == Some(number);
        if is_first && self.fits(claim) {
            self.waiting.remove(&number);
            self.add(claim);
            return ClaimAnswer::Granted;
        }
        ClaimAnswer::Waiting(number)
    }

    /// Releases the bytes of a granted claim; returns the claims that are granted now.
    pub fn release(&mut self, claim: &BodyClaim) -> Vec<ClaimNumber> {
        self.deduct(claim);
        self.grant()
    }

    /// Lowers a granted claim to the length that its body turned out to have; returns the claims that
    /// are granted now.
    pub fn shrink(&mut self, claim: &mut BodyClaim, bytes: u64) -> Vec<ClaimNumber> {
        let shrunk = BodyClaim {
            bytes: bytes.min(claim.bytes),
            ..claim.clone()
        };
        self.deduct(claim);
        self.add(&shrunk);
        *claim = shrunk;
        self.grant()
    }

    /// Withdraws a waiting claim; returns the claims that are granted now, or `None` if this one has
    /// been granted.
    pub fn withdraw(&mut self, number: ClaimNumber) -> Option<Vec<ClaimNumber>> {
        self.waiting.remove(&number)?;
        Some(self.grant())
    }

    /// Changes the bytes of an answer that its caller has not read; returns the claims that are granted now,
    /// or `None` if it would take more than there is for answers, or than bodies that wait leave.
    pub fn resize_answer(&mut self, before: u64, bytes: u64) -> Option<Vec<ClaimNumber>> {
        let (held, answers) = (
            self.held - before + bytes,
            self.held_answers - before + bytes,
        );
        let fits = held + self.lent <= self.budget.total
            && answers <= self.budget.total / 100 * ANSWER_PERCENT
            && self.waiting.is_empty();
        if bytes > before && !fits {
            return None;
        }
        (self.held, self.held_answers) = (held, answers);
        Some(self.grant())
    }

    /// Returns the bytes of the budget that bodies don't take, whether they are lent or not.
    #[must_use]
    pub const fn lendable(&self) -> u64 {
        self.budget.total - self.held
    }

    /// Lends bytes that no body takes, at most those [lendable](Self::lendable), in place of those lent
    /// before; returns the claims that are granted now.
    pub fn lend(&mut self, bytes: u64) -> Vec<ClaimNumber> {
        self.lent = bytes.min(self.lendable());
        self.grant()
    }

    fn grant(&mut self) -> Vec<ClaimNumber> {
        let mut granted = Vec::new();
        for is_long in [false, true] {
            while let Some(number) = self.next_claim(is_long) {
                let claim = &self.waiting[&number];
                if !self.fits(claim) {
                    break;
                }
                let claim = claim.clone();
                self.waiting.remove(&number);
                self.add(&claim);
                granted.push(number);
            }
        }
        granted
    }

    /// Returns the waiting claim that is granted first.
    fn next_claim(&self, is_long: bool) -> Option<ClaimNumber> {
        let claims = self.waiting.iter();
        let claims = claims.filter(|(_, claim)| claim.is_long() == is_long);
        let first = claims.max_by_key(|(number, claim)| {
            let held = self.held_by.get(&claim.workspace);
            Reverse((claim.tier, held.copied().unwrap_or_default(), **number))
        });
        first.map(|(number, _)| *number)
    }

    const fn fits(&self, claim: &BodyClaim) -> bool {
        let fits_all = self.held + self.lent + claim.bytes <= self.budget.total;
        let fits_long = self.held_long == 0 || self.held_long + claim.bytes <= self.budget.long;
        fits_all && (fits_long || !claim.is_long())
    }

    fn add(&mut self, claim: &BodyClaim) {
        self.held += claim.bytes;
        if claim.is_long() {
            self.held_long += claim.bytes;
        }
        *self.held_by.entry(claim.workspace.clone()).or_default() += claim.bytes;
    }

    fn deduct(&mut self, claim: &BodyClaim) {
        self.held -= claim.bytes;
        if claim.is_long() {
            self.held_long -= claim.bytes;
        }
        if let Some(held) = self.held_by.get_mut(&claim.workspace) {
            *held -= claim.bytes;
            if *held == 0 {
                self.held_by.remove(&claim.workspace);
            }
        }
    }
}
