//! Idempotency records (claims) of non-idempotent requests in the platform's table.

mod answer;
mod error;
mod pending;
mod settle;
mod store;
mod ticket;

use std::rc::Rc;
use std::time::Duration;

use crate::clock::unix_millis;
use crate::kernel::claim::ChangeStep;
use crate::kernel::claim::ClaimAttempt;
use crate::kernel::claim::ClaimAttemptOutcome;
use crate::kernel::claim::ClaimChangeOutcome;
use crate::kernel::claim::ClaimKey;
use crate::kernel::claim::ClaimNumber;
use crate::kernel::claim::ClaimRow;
use crate::kernel::claim::ClaimState;
use crate::kernel::claim::ClaimStep;
use crate::kernel::claim::ContentDigest;
use crate::kernel::claim::ReleaseAttempt;
use crate::kernel::claim::ReleaseOutcome;
use crate::kernel::claim::ReleaseStep;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::WorkspaceName;
use crate::platform::PlatformClient;

use self::pending::PendingClaim;
use self::pending::PendingList;
use self::store::ClaimStore;

pub use self::answer::StoredAnswer;
pub use self::answer::StoredAnswerError;
pub use self::answer::StoredHeader;
pub use self::error::ClaimError;
pub use self::settle::SettlementAudit;
pub use self::ticket::DispatchedClaim;
pub use self::ticket::HeldClaim;

/// The interval at which unconfirmed claims are written again.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The result of an attempt to claim a request.
#[derive(Debug)]
#[must_use]
pub enum ClaimOutcome {
    /// The request may be run, and only by the holder of this claim.
    Held(HeldClaim),
    /// The request has run; this is its answer.
    Answered(StoredAnswer),
    /// An earlier request with the key may still be running.
    InProgress(ClaimRow),
    /// An earlier request with the key was dispatched, and its outcome is unknown.
    Unknown(ClaimRow),
    /// The key was used for a request with other content.
    Mismatch,
}

/// Claims the requests of one host and records their outcomes.
///
/// A held claim that is dropped is released in the background, and a dispatched claim that is
/// dropped is recorded as unknown. A write that the platform's table does not confirm is retried
/// until it is confirmed or the process ends.
#[derive(Clone, Debug)]
pub struct ClaimService {
    host: HostName,
    store: ClaimStore,
    pending: Rc<PendingList>,
}

impl ClaimService {
    /// Creates the service of a host.
    #[must_use]
    pub fn new(platform: PlatformClient, host: HostName) -> Self {
        Self {
            host,
            store: ClaimStore::new(platform),
            pending: Rc::default(),
        }
    }

    /// Returns the number of claims that wait for a retry, without those whose retry has begun.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Claims the right to run a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the claim can't be made or the stored answer can't be read; the request
    /// must not be run then.
    pub async fn claim(
        &self,
        workspace: &WorkspaceName,
        key: &str,
        request: RequestId,
        content: ContentDigest,
    ) -> Result<ClaimOutcome, ClaimError> {
        self.start_retries();
        let key = ClaimKey::new(workspace, key);
        self.retry_key(&key).await;
        let row = ClaimRow {
            number: ClaimNumber(rand::random()),
            content,
            host: self.host.clone(),
            request,
            since_ms: unix_millis(),
            state: ClaimState::Claimed,
        };
        match self.attempt(&key, row).await? {
            ClaimAttemptOutcome::Held(ticket) => {
                let held = HeldClaim::new(key, ticket, Rc::clone(&self.pending));
                Ok(ClaimOutcome::Held(held))
            }
            ClaimAttemptOutcome::Answered { object } => {
                let answer = self.store.read_answer(&object).await?;
                Ok(ClaimOutcome::Answered(answer))
            }
            ClaimAttemptOutcome::InProgress(row) => Ok(ClaimOutcome::InProgress(row)),
            ClaimAttemptOutcome::Unknown(row) => Ok(ClaimOutcome::Unknown(row)),
            ClaimAttemptOutcome::Mismatch => Ok(ClaimOutcome::Mismatch),
            ClaimAttemptOutcome::Unavailable { abandoned } => {
                if let Some(row) = abandoned {
                    self.pending.add(PendingClaim::release(key, row));
                }
                Err(ClaimError::Unavailable)
            }
        }
    }

    /// Releases a claim whose request was not and will not be dispatched.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform's table has not confirmed it; it is then retried in the
    /// background.
    pub async fn release_claim(&self, held: HeldClaim) -> Result<(), ClaimError> {
        let (key, ticket) = held.into_parts();
        let row = ticket.row().clone();
        // Unless the release is confirmed, the guard schedules a retry.
        let guard = self.pending.guard(PendingClaim::release(key.clone(), row));
        let outcome = self.release(&key, ticket.release()).await?;
        if outcome == ReleaseOutcome::Unresolved {
            return Err(ClaimError::NotRecorded);
        }
        guard.disarm();
        Ok(())
    }

    /// Records that a request ran and stores its answer for repeats.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform has not confirmed it; it is then retried in the background.
    pub async fn record_answer(
        &self,
        claim: DispatchedClaim,
        answer: &StoredAnswer,
    ) -> Result<(), ClaimError> {
        let (key, claim) = claim.into_parts();
        let pending = PendingClaim::answer(key, claim, answer.clone());
        self.record_pending(pending).await
    }

    /// Records that a request was dispatched and its outcome is unknown.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform's table has not confirmed it; it is then retried in the
    /// background.
    pub async fn record_unknown(&self, claim: DispatchedClaim) -> Result<(), ClaimError> {
        let (key, claim) = claim.into_parts();
        self.record_pending(PendingClaim::unknown(key, claim)).await
    }

    async fn attempt(
        &self,
        key: &ClaimKey,
        row: ClaimRow,
    ) -> Result<ClaimAttemptOutcome, ClaimError> {
        // If the attempt fails or is dropped, the row may have been written and must be released.
        let guard = self
            .pending
            .guard(PendingClaim::release(key.clone(), row.clone()));
        let mut step = ClaimAttempt::start(row);
        loop {
            match step {
                ClaimStep::Call(attempt, call) => {
                    let reply = self.store.call(key, call, None).await?;
                    step = attempt.step(reply);
                }
                ClaimStep::Done(outcome) => {
                    guard.disarm();
                    return Ok(outcome);
                }
            }
        }
    }

    async fn release(
        &self,
        key: &ClaimKey,
        mut step: ReleaseStep,
    ) -> Result<ReleaseOutcome, ClaimError> {
        loop {
            match step {
                ReleaseStep::Call(attempt, call) => {
                    let reply = self.store.call(key, call, None).await?;
                    step = attempt.step(reply);
                }
                ReleaseStep::Done(outcome) => return Ok(outcome),
            }
        }
    }

    async fn record_pending(&self, pending: PendingClaim) -> Result<(), ClaimError> {
        let guard = self.pending.guard(pending);
        self.try_record(guard.claim()).await?;
        guard.disarm();
        Ok(())
    }

    async fn try_record(&self, pending: &PendingClaim) -> Result<(), ClaimError> {
        match pending {
            PendingClaim::Release { key, row } => {
                let step = ReleaseAttempt::start(row, None);
                match self.release(key, step).await? {
                    ReleaseOutcome::Released => Ok(()),
                    ReleaseOutcome::Unresolved => Err(ClaimError::NotRecorded),
                }
            }
            PendingClaim::Unknown { key, claim } => self.apply_change(key, claim.unknown()).await,
            PendingClaim::Answer { key, claim, answer } => {
                let object = key.object_key(claim.row().number);
                self.store.store_answer(&object, answer).await?;
                self.apply_change(key, claim.answer(object)).await
            }
        }
    }

    /// Writes a new state of a claim; a row that operators have settled meanwhile stays as it is.
    async fn apply_change(&self, key: &ClaimKey, step: ChangeStep) -> Result<(), ClaimError> {
        match self.store.change(key, step, None).await? {
            ClaimChangeOutcome::Written { .. } | ClaimChangeOutcome::Superseded(_) => Ok(()),
            ClaimChangeOutcome::Unresolved { .. } => Err(ClaimError::NotRecorded),
        }
    }

    fn start_retries(&self) {
        if self.pending.mark_retries_started() {
            actix_rt::spawn(run_retries(self.clone()));
        }
    }

    /// Retries the pending claims of a key, so that a new claim for it finds their recorded state.
    async fn retry_key(&self, key: &ClaimKey) {
        for pending in self.pending.take(|claim| claim.key() == key) {
            // A claim that fails again returns to the list.
            let _ = self.record_pending(pending).await;
        }
    }
}

async fn run_retries(service: ClaimService) {
    loop {
        actix_rt::time::sleep(RETRY_INTERVAL).await;
        for pending in service.pending.take(|_| true) {
            // A claim that fails again returns to the list.
            let _ = service.record_pending(pending).await;
        }
    }
}
