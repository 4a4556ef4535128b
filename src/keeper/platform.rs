//! The platform's table as the keeper's store.

use futures_util::future::LocalBoxFuture;

use super::store::CURRENT_KEY;
use super::store::ConfigurationStore;
use super::store::StoreError;
use super::store::StoreRow;
use super::store::VersionWrite;
use super::store::WriteOutcome;
use crate::kernel::table::RowCheck;
use crate::kernel::table::RowRevision;
use crate::kernel::table::RowWrite;
use crate::kernel::table::TableTransaction;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::platform::TransactOutcome;

impl From<PlatformError> for StoreError {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Unreachable { reason } => Self::Unreachable(reason),
            PlatformError::Unknown { reason } => Self::Unknown(reason),
            PlatformError::Protocol { reason } => Self::Protocol(reason),
        }
    }
}

impl From<&VersionWrite> for TableTransaction {
    fn from(write: &VersionWrite) -> Self {
        let current = RowCheck {
            key: CURRENT_KEY.to_owned(),
            revision: write.expected.map(RowRevision),
        };
        let audit = RowCheck {
            key: write.audit_key.clone(),
            revision: None,
        };
        let row = |key: &str, value: &str| RowWrite {
            key: key.to_owned(),
            value: value.to_owned(),
        };
        Self {
            checks: vec![current, audit],
            writes: vec![
                row(CURRENT_KEY, &write.current),
                row(&write.audit_key, &write.audit),
            ],
            deletes: Vec::new(),
        }
    }
}

impl ConfigurationStore for PlatformClient {
    fn row<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<StoreRow>, StoreError>> {
        Box::pin(async move {
            let row = Self::row(self, key).await?;
            Ok(row.map(|row| StoreRow {
                value: row.value,
                revision: row.revision.0,
            }))
        })
    }

    fn write<'a>(
        &'a self,
        write: &'a VersionWrite,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome, StoreError>> {
        Box::pin(async move {
            let outcome = self.transact(&write.into()).await?;
            Ok(match outcome {
                TransactOutcome::Committed { .. } => WriteOutcome::Committed,
                TransactOutcome::Conflict { .. } => WriteOutcome::Conflict,
            })
        })
    }
}
