//! Access to the claims and stored answers in the platform.

use crate::claims::ClaimError;
use crate::claims::StoredAnswer;
use crate::claims::StoredAnswerError;
use crate::kernel::claim::ChangeStep;
use crate::kernel::claim::ClaimChangeOutcome;
use crate::kernel::claim::ClaimKey;
use crate::kernel::claim::ClaimRow;
use crate::kernel::claim::StoredClaim;
use crate::kernel::claim::TableCall;
use crate::kernel::claim::TableReply;
use crate::kernel::table::RowCheck;
use crate::kernel::table::RowRevision;
use crate::kernel::table::RowWrite;
use crate::kernel::table::TableRow;
use crate::kernel::table::TableTransaction;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::platform::TransactOutcome;

/// Makes the calls of the claim protocol to the platform's table.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    platform: PlatformClient,
}

impl ClaimStore {
    /// Creates a store that uses the platform's table and object store.
    pub const fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Makes a call; a write also writes the audit record, if given, which must not exist yet.
    pub async fn call(
        &self,
        key: &ClaimKey,
        call: TableCall,
        audit: Option<&RowWrite>,
    ) -> Result<TableReply, ClaimError> {
        match call {
            TableCall::Read => self.read(key).await,
            TableCall::Write { expected, row } => self.write(key, expected, &row, audit).await,
        }
    }

    /// Makes the calls of a change until its outcome is known or its maximum number of calls is
    /// reached.
    pub async fn change(
        &self,
        key: &ClaimKey,
        mut step: ChangeStep,
        audit: Option<&RowWrite>,
    ) -> Result<ClaimChangeOutcome, ClaimError> {
        loop {
            match step {
                ChangeStep::Call(change, call) => {
                    let reply = self.call(key, call, audit).await?;
                    step = change.step(reply);
                }
                ChangeStep::Done(outcome) => return Ok(outcome),
            }
        }
    }

    /// Reads the claim of a key; `None` if there is none.
    pub async fn read_claim(&self, key: &ClaimKey) -> Result<Option<StoredClaim>, ClaimError> {
        parse_claim(self.platform.row(&key.row_key()).await?)
    }

    /// Stores an answer as an object.
    pub async fn store_answer(
        &self,
        object: &str,
        answer: &StoredAnswer,
    ) -> Result<(), ClaimError> {
        let bytes = answer.to_object()?;
        Ok(self.platform.put_object(object, bytes).await?)
    }

    /// Reads a stored answer.
    pub async fn read_answer(&self, object: &str) -> Result<StoredAnswer, StoredAnswerError> {
        let bytes = self.platform.object(object).await?;
        StoredAnswer::from_object(&bytes.ok_or(StoredAnswerError::Missing)?)
    }

    async fn read(&self, key: &ClaimKey) -> Result<TableReply, ClaimError> {
        match self.platform.row(&key.row_key()).await {
            Ok(row) => Ok(TableReply::Row(parse_claim(row)?)),
            Err(error) => Ok(failure_reply(&error)),
        }
    }

    async fn write(
        &self,
        key: &ClaimKey,
        expected: Option<RowRevision>,
        row: &ClaimRow,
        audit: Option<&RowWrite>,
    ) -> Result<TableReply, ClaimError> {
        let row_key = key.row_key();
        let transaction = transaction(&row_key, expected, row, audit)?;
        match self.platform.transact(&transaction).await {
            Ok(TransactOutcome::Committed { revision }) => Ok(TableReply::Committed { revision }),
            Ok(TransactOutcome::Conflict { key, row }) if key == row_key => {
                Ok(TableReply::Conflict(parse_claim(row)?))
            }
            // The audit record exists, so an earlier attempt of the same write may have taken
            // effect.
            Ok(TransactOutcome::Conflict { .. }) => Ok(TableReply::Lost),
            Err(error) => Ok(failure_reply(&error)),
        }
    }
}

fn transaction(
    row_key: &str,
    expected: Option<RowRevision>,
    row: &ClaimRow,
    audit: Option<&RowWrite>,
) -> Result<TableTransaction, ClaimError> {
    let value = serde_json::to_string(row).map_err(ClaimError::Row)?;
    let mut transaction = TableTransaction::default();
    transaction.checks.push(RowCheck {
        key: row_key.to_owned(),
        revision: expected,
    });
    transaction.writes.push(RowWrite {
        key: row_key.to_owned(),
        value,
    });
    if let Some(audit) = audit {
        transaction.checks.push(RowCheck {
            key: audit.key.clone(),
            revision: None,
        });
        transaction.writes.push(audit.clone());
    }
    Ok(transaction)
}

fn parse_claim(row: Option<TableRow>) -> Result<Option<StoredClaim>, ClaimError> {
    let Some(found) = row else {
        return Ok(None);
    };
    let row = serde_json::from_str(&found.value).map_err(ClaimError::Row)?;
    let revision = found.revision;
    Ok(Some(StoredClaim { row, revision }))
}

const fn failure_reply(error: &PlatformError) -> TableReply {
    match error {
        PlatformError::Unreachable { .. } => TableReply::Unreachable,
        PlatformError::Unknown { .. } | PlatformError::Protocol { .. } => TableReply::Lost,
    }
}
