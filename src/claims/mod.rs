//! Claims of non-idempotent requests in the platform's table.

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

pub use self::answer::AnswerError;
pub use self::answer::KeptAnswer;
pub use self::answer::KeptHeader;
pub use self::error::ClaimError;
pub use self::settle::SettleAudit;
pub use self::ticket::ClaimTicket;
pub use self::ticket::DispatchedClaim;

/// The pause between two attempts to settle what the table did not confirm.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// What a claim came to.
#[derive(Debug)]
#[must_use]
pub enum ClaimOutcome {
    /// The request may be run, by this holder alone.
    Held(ClaimTicket),
    /// The request ran before, and this was its answer.
    Answered(KeptAnswer),
    /// Another request with the key may be running.
    InProgress(ClaimRow),
    /// Another request with the key was dispatched, and nobody knows what became of it.
    Unknown(ClaimRow),
    /// The key was used for other content.
    Mismatch,
}

/// Takes claims for the requests of one host and records what became of them.
///
/// A ticket that is dropped, because its caller left, is given back in the background; a
/// dispatched claim that is dropped is recorded as unknown. What the table does not confirm is
/// tried again until it does, as long as the process lives.
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

    /// Returns how many claims wait for the table to confirm what became of them.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Claims the right to run a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the claim can't be taken; the request did not run then and must not.
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
                let ticket = ClaimTicket::new(key, ticket, Rc::clone(&self.pending));
                Ok(ClaimOutcome::Held(ticket))
            }
            ClaimAttemptOutcome::Answered { object } => {
                let answer = self.store.answer(&object).await?;
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

    /// Gives a claim back, because the request was not and will not be dispatched.
    ///
    /// # Errors
    ///
    /// Returns an error if the table does not confirm it yet; it is tried again in the background.
    pub async fn give_back(&self, ticket: ClaimTicket) -> Result<(), ClaimError> {
        let (key, ticket) = ticket.into_parts();
        let row = ticket.row().clone();
        // If the caller leaves meanwhile, the guard has it tried again.
        let guard = self.pending.guard(PendingClaim::release(key.clone(), row));
        let end = self.release(&key, ticket.release()).await?;
        if end == ReleaseOutcome::Unresolved {
            return Err(ClaimError::NotRecorded);
        }
        guard.disarm();
        Ok(())
    }

    /// Records that a request ran and keeps its answer for repeats.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not confirm it yet; it is tried again in the
    /// background.
    pub async fn answered(
        &self,
        claim: DispatchedClaim,
        answer: &KeptAnswer,
    ) -> Result<(), ClaimError> {
        let (key, claim) = claim.into_parts();
        let pending = PendingClaim::answer(key, claim, answer.clone());
        self.settle_pending(pending).await
    }

    /// Records that a request was dispatched and nobody knows what became of it.
    ///
    /// # Errors
    ///
    /// Returns an error if the table does not confirm it yet; it is tried again in the background.
    pub async fn mark_unknown(&self, claim: DispatchedClaim) -> Result<(), ClaimError> {
        let (key, claim) = claim.into_parts();
        self.settle_pending(PendingClaim::unknown(key, claim)).await
    }

    async fn attempt(
        &self,
        key: &ClaimKey,
        row: ClaimRow,
    ) -> Result<ClaimAttemptOutcome, ClaimError> {
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
                ClaimStep::Done(end) => {
                    guard.disarm();
                    return Ok(end);
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
                ReleaseStep::Done(end) => return Ok(end),
            }
        }
    }

    async fn settle_pending(&self, pending: PendingClaim) -> Result<(), ClaimError> {
        let guard = self.pending.guard(pending);
        self.settle_once(guard.claim()).await?;
        guard.disarm();
        Ok(())
    }

    async fn settle_once(&self, pending: &PendingClaim) -> Result<(), ClaimError> {
        match pending {
            PendingClaim::Release { key, row } => {
                let step = ReleaseAttempt::start(row, None);
                match self.release(key, step).await? {
                    ReleaseOutcome::Released => Ok(()),
                    ReleaseOutcome::Unresolved => Err(ClaimError::NotRecorded),
                }
            }
            PendingClaim::Unknown { key, claim } => self.record(key, claim.unknown()).await,
            PendingClaim::Answer { key, claim, answer } => {
                let object = key.object_key(claim.row().number);
                self.store.keep(&object, answer).await?;
                self.record(key, claim.answer(object)).await
            }
        }
    }

    /// A row that operators settled meanwhile is left as they settled it.
    async fn record(&self, key: &ClaimKey, step: ChangeStep) -> Result<(), ClaimError> {
        match self.store.change(key, step, None).await? {
            ClaimChangeOutcome::Applied { .. } | ClaimChangeOutcome::Superseded(_) => Ok(()),
            ClaimChangeOutcome::Unresolved { .. } => Err(ClaimError::NotRecorded),
        }
    }

    fn start_retries(&self) {
        if self.pending.start_retries() {
            actix_rt::spawn(retry(self.clone()));
        }
    }

    async fn retry_key(&self, key: &ClaimKey) {
        for pending in self.pending.take(|claim| claim.key() == key) {
            // What fails again goes back to the list.
            let _ = self.settle_pending(pending).await;
        }
    }
}

async fn retry(service: ClaimService) {
    loop {
        actix_rt::time::sleep(RETRY_INTERVAL).await;
        for pending in service.pending.take(|_| true) {
            // What fails again goes back to the list.
            let _ = service.settle_pending(pending).await;
        }
    }
}
