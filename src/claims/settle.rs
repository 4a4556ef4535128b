//! Settlement by operators of claims whose requests have no known outcome.

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::claims::ClaimError;
use crate::claims::ClaimService;
use crate::claims::StoredAnswer;
use crate::claims::StoredAnswerError;
use crate::claims::StoredHeader;
use crate::clock::unix_millis;
use crate::kernel::claim::ClaimChange;
use crate::kernel::claim::ClaimChangeOutcome;
use crate::kernel::claim::ClaimKey;
use crate::kernel::claim::ClaimRow;
use crate::kernel::claim::Settlement;
use crate::kernel::name::OperatorName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::table::RowWrite;

/// The HTTP status for repeats of a request that was settled as run without a stored answer.
const SETTLED_STATUS: u16 = 409;

/// The audit record of a settlement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettlementAudit {
    /// The operator who settled the claim.
    pub operator: OperatorName,
    /// The time of the settlement, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The outcome that the operator found.
    pub settlement: Settlement,
    /// The claim before the settlement.
    pub before: ClaimRow,
    /// The claim after the settlement.
    pub after: ClaimRow,
}

impl ClaimService {
    /// Settles a claim with the outcome that an operator found, and writes an audit record in the
    /// same transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no claim, if the outcome of its request is already known, if
    /// the request is to be settled as not run while its holder may still run it, if the claim
    /// changes meanwhile, or if the platform does not confirm the settlement.
    pub async fn settle(
        &self,
        workspace: &WorkspaceName,
        key: &str,
        settlement: Settlement,
        operator: &OperatorName,
    ) -> Result<SettlementAudit, ClaimError> {
        let key = ClaimKey::new(workspace, key);
        let found = self.store.read_claim(&key).await?;
        let found = found.ok_or(ClaimError::NoClaim)?;
        let number = found.row.number;
        let object = key.object_key(number);
        let after = settlement.apply(&found.row, object.clone())?;
        if settlement == Settlement::Ran {
            self.ensure_answer(&object, operator).await?;
        }
        let audit = SettlementAudit {
            operator: operator.clone(),
            at_ms: unix_millis(),
            settlement,
            before: found.row,
            after: after.clone(),
        };
        let write = RowWrite {
            key: key.audit_key(number),
            value: serde_json::to_string(&audit).map_err(ClaimError::Row)?,
        };
        let step = ClaimChange::start(after, Some(found.revision));
        match self.store.change(&key, step, Some(&write)).await? {
            ClaimChangeOutcome::Written { .. } => Ok(audit),
            ClaimChangeOutcome::Superseded(_) => Err(ClaimError::Changed),
            ClaimChangeOutcome::Unresolved { .. } => Err(ClaimError::NotRecorded),
        }
    }

    /// Stores a substitute answer, unless the holder stored the real one before it failed.
    async fn ensure_answer(&self, object: &str, operator: &OperatorName) -> Result<(), ClaimError> {
        match self.store.read_answer(object).await {
            Err(StoredAnswerError::Missing) => {
                self.store
                    .store_answer(object, &settled_answer(operator))
                    .await
            }
            other => Ok(other.map(drop)?),
        }
    }
}

fn settled_answer(operator: &OperatorName) -> StoredAnswer {
    let message = format!("operator {operator} found that the request ran; its answer is lost");
    let body = json!({"error": {"code": "settled", "message": message, "ran": "yes"}});
    StoredAnswer {
        status: SETTLED_STATUS,
        headers: vec![StoredHeader {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }],
        body: body.to_string().into(),
    }
}
