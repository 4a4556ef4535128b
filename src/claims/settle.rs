//! How operators settle a claim whose outcome is unknown.

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::claims::AnswerError;
use crate::claims::ClaimError;
use crate::claims::ClaimService;
use crate::claims::KeptAnswer;
use crate::claims::KeptHeader;
use crate::clock::unix_millis;
use crate::kernel::claim::ClaimChange;
use crate::kernel::claim::ClaimChangeOutcome;
use crate::kernel::claim::ClaimKey;
use crate::kernel::claim::ClaimRow;
use crate::kernel::claim::Settlement;
use crate::kernel::name::OperatorName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::table::RowWrite;

/// The HTTP status that repeats of a request get after it was settled as run.
const SETTLED_STATUS: u16 = 409;

/// The audit record of a settlement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettleAudit {
    /// The operator.
    pub operator: OperatorName,
    /// The time, in milliseconds since 1970.
    pub at_ms: u64,
    /// What the operator found out.
    pub settlement: Settlement,
    /// The claim before.
    pub before: ClaimRow,
    /// The claim after.
    pub after: ClaimRow,
}

impl ClaimService {
    /// Settles a claim by what operators found out, with an audit record in the same transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if there is nothing to settle, if the holder could still run a request
    /// that is said not to have run, or if the platform does not confirm the settlement.
    pub async fn settle(
        &self,
        workspace: &WorkspaceName,
        key: &str,
        settlement: Settlement,
        operator: &OperatorName,
    ) -> Result<SettleAudit, ClaimError> {
        let key = ClaimKey::new(workspace, key);
        let found = self.store.claim(&key).await?;
        let found = found.ok_or(ClaimError::NoClaim)?;
        let number = found.row.number;
        let object = key.object_key(number);
        let after = settlement.apply(&found.row, object.clone())?;
        if settlement == Settlement::Ran {
            self.keep_settled(&object, operator).await?;
        }
        let audit = SettleAudit {
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
            ClaimChangeOutcome::Applied { .. } => Ok(audit),
            ClaimChangeOutcome::Superseded(_) => Err(ClaimError::Changed),
            ClaimChangeOutcome::Unresolved { .. } => Err(ClaimError::NotRecorded),
        }
    }

    /// An answer that the holder kept before it died stays.
    async fn keep_settled(&self, object: &str, operator: &OperatorName) -> Result<(), ClaimError> {
        match self.store.answer(object).await {
            Err(AnswerError::Missing) => self.store.keep(object, &settled_answer(operator)).await,
            other => Ok(other.map(drop)?),
        }
    }
}

fn settled_answer(operator: &OperatorName) -> KeptAnswer {
    let message = format!("operator {operator} found that the request ran; its answer is lost");
    let body = json!({"error": {"code": "settled", "message": message, "ran": "yes"}});
    KeptAnswer {
        status: SETTLED_STATUS,
        headers: vec![KeptHeader {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }],
        body: body.to_string().into(),
    }
}
