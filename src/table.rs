//! The platform's table as the store of configuration versions.

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::configuration::CURRENT_KEY;
use crate::configuration::ConfigurationStore;
use crate::configuration::ConfigurationStoreError;
use crate::configuration::StoreRow;
use crate::configuration::VersionWrite;
use crate::configuration::WriteOutcome;
use crate::kernel::table::RowCheck;
use crate::kernel::table::RowRevision;
use crate::kernel::table::RowWrite;
use crate::kernel::table::TableTransaction;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::platform::TransactOutcome;

impl From<PlatformError> for ConfigurationStoreError {
    fn from(error: PlatformError) -> Self {
        let text = error.to_string();
        match error {
            PlatformError::Unreachable { .. } => Self::Unreachable(text),
            PlatformError::Unknown { .. } => Self::Unknown(text),
            PlatformError::Protocol { .. } => Self::Protocol(text),
        }
    }
}

impl ConfigurationStore for PlatformClient {
    fn row<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<StoreRow>, ConfigurationStoreError>> {
        let read = async move {
            let row = Self::row(self, key).await?;
            Ok(row.map(|row| StoreRow {
                value: row.value,
                revision: row.revision.0,
            }))
        };
        read.boxed_local()
    }

    fn write<'a>(
        &'a self,
        write: &'a VersionWrite,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome, ConfigurationStoreError>> {
        let transact = async move {
            match self.transact(&transaction(write)).await? {
                TransactOutcome::Committed { .. } => Ok(WriteOutcome::Committed),
                TransactOutcome::Conflict { .. } => Ok(WriteOutcome::Conflict),
            }
        };
        transact.boxed_local()
    }
}

fn transaction(write: &VersionWrite) -> TableTransaction {
    let current_check = RowCheck {
        key: CURRENT_KEY.to_owned(),
        revision: write.expected_revision.map(RowRevision),
    };
    let audit_check = RowCheck {
        key: write.audit_key.clone(),
        revision: None,
    };
    let row_write = |key: &str, value: &str| RowWrite {
        key: key.to_owned(),
        value: value.to_owned(),
    };
    TableTransaction {
        checks: vec![current_check, audit_check],
        writes: vec![
            row_write(CURRENT_KEY, &write.current),
            row_write(&write.audit_key, &write.audit),
        ],
        deletes: Vec::new(),
    }
}
