//! Creation of a new configuration version by a compare-and-set write to the platform's table.

use std::time::Duration;

use tokio::time::sleep;

use super::audit::AuditRecord;
use super::audit::StoredConfiguration;
use super::audit::changed_parts;
use super::error::ChangeWriteError;
use super::store::CURRENT_KEY;
use super::store::ConfigurationStore;
use super::store::ConfigurationStoreError;
use super::store::StoreRow;
use super::store::VersionWrite;
use super::store::WriteOutcome;
use super::store::audit_key;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::name::OperatorName;

/// The largest number of attempts at a write whose answers are lost or not valid, the first attempt
/// included.
const MAX_WRITE_ATTEMPTS: u32 = 12;

/// The wait between two attempts.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The largest size of a stored configuration or audit record, in bytes of JSON.
const MAX_ROW_BYTES: usize = 4 << 20;

/// A change requested by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// The operator who requests the change.
    pub operator: OperatorName,
    /// The script that contains the change, as the operator entered it.
    pub text: String,
    /// The version that must be the newest in the platform's table; `None` if the operator named
    /// none.
    pub expected: Option<ConfigVersion>,
}

/// A version that was written to the platform's table.
#[derive(Clone, Debug, PartialEq)]
pub struct WrittenVersion {
    /// The version that it replaced.
    pub before: ConfigVersion,
    /// The new configuration.
    pub configuration: Configuration,
}

/// Reads the newest configuration and its row; an empty configuration and `None` if the table holds
/// none.
///
/// # Errors
///
/// Returns an error if the table does not answer or the row can't be parsed.
pub async fn read_current(
    store: &dyn ConfigurationStore,
) -> Result<(StoredConfiguration, Option<StoreRow>), ConfigurationStoreError> {
    let Some(row) = store.row(CURRENT_KEY).await? else {
        let empty = StoredConfiguration {
            change: 0,
            configuration: Configuration::default(),
        };
        return Ok((empty, None));
    };
    let stored = serde_json::from_str(&row.value);
    let stored = stored.map_err(|error| ConfigurationStoreError::Protocol(error.to_string()))?;
    Ok((stored, Some(row)))
}

/// Reads the audit record of a version; `None` if the version does not exist.
///
/// # Errors
///
/// Returns an error if the table does not answer or the record can't be parsed.
pub async fn read_audit(
    store: &dyn ConfigurationStore,
    version: ConfigVersion,
) -> Result<Option<AuditRecord>, ConfigurationStoreError> {
    let Some(row) = store.row(&audit_key(version.0)).await? else {
        return Ok(None);
    };
    let record = serde_json::from_str(&row.value);
    record.map_err(|error| ConfigurationStoreError::Protocol(error.to_string()))
}

/// Applies a change to the newest configuration in the table and writes the result by
/// compare-and-set.
///
/// `at` is the time of the change, in milliseconds since the Unix epoch.
///
/// # Errors
///
/// Returns an error if the change was not written, or if it is unknown whether it was.
pub async fn write_change(
    store: &dyn ConfigurationStore,
    request: &ChangeRequest,
    at: u64,
    apply: impl Fn(&Configuration) -> Result<Configuration, String>,
) -> Result<WrittenVersion, ChangeWriteError> {
    let (stored, row) = read_current(store).await?;
    let current = stored.configuration;
    if request
        .expected
        .is_some_and(|expected| expected != current.version)
    {
        return Err(conflict(current.version, request));
    }
    let mut configuration = apply(&current).map_err(ChangeWriteError::Rejected)?;
    let version = ConfigVersion(current.version.0 + 1);
    configuration.version = version;
    let change_id = rand::random();
    let audit = audit_record(&current, &configuration, request, at, change_id)?;
    let stored = StoredConfiguration {
        change: change_id,
        configuration,
    };
    let write = VersionWrite {
        expected_revision: row.map(|row| row.revision),
        current: encode(&stored)?,
        audit_key: audit_key(version.0),
        audit: encode(&audit)?,
    };
    commit(store, &write, version, change_id, request).await?;
    Ok(WrittenVersion {
        before: current.version,
        configuration: stored.configuration,
    })
}

/// Makes a write and resolves its outcome if the answer is lost or not valid.
///
/// The same write is then retried, which takes effect at most once, since it requires the old
/// revision. After a conflict, the change identifier in the audit record shows whether an earlier
/// attempt succeeded.
async fn commit(
    store: &dyn ConfigurationStore,
    write: &VersionWrite,
    version: ConfigVersion,
    change_id: u64,
    request: &ChangeRequest,
) -> Result<(), ChangeWriteError> {
    let mut uncertain = false;
    let mut attempt = 0;
    loop {
        let error = match store.write(write).await {
            Ok(WriteOutcome::Committed) => return Ok(()),
            Ok(WriteOutcome::Conflict) => match read_audit(store, version).await {
                Ok(Some(record)) if record.change == change_id => return Ok(()),
                Ok(_) => return Err(conflict(newest(store, version).await, request)),
                Err(error) => {
                    uncertain = true;
                    error
                }
            },
            Err(ConfigurationStoreError::Unreachable(reason)) if !uncertain => {
                return Err(ConfigurationStoreError::Unreachable(reason).into());
            }
            Err(error) => {
                uncertain = true;
                error
            }
        };
        attempt += 1;
        if attempt == MAX_WRITE_ATTEMPTS {
            return Err(ChangeWriteError::Unknown { version, error });
        }
        sleep(WRITE_RETRY_INTERVAL).await;
    }
}

/// Returns the newest version in the table, or the given one if that is higher or the table can't
/// be read.
async fn newest(store: &dyn ConfigurationStore, version: ConfigVersion) -> ConfigVersion {
    let current = read_current(store).await;
    let current = current.map(|(stored, _)| stored.configuration.version);
    current.unwrap_or(version).max(version)
}

fn conflict(newest: ConfigVersion, request: &ChangeRequest) -> ChangeWriteError {
    ChangeWriteError::Conflict {
        newest,
        text: request.text.clone(),
    }
}

fn audit_record(
    before: &Configuration,
    after: &Configuration,
    request: &ChangeRequest,
    at: u64,
    change_id: u64,
) -> Result<AuditRecord, ChangeWriteError> {
    let parts = changed_parts(before, after);
    let parts = parts.map_err(|error| ChangeWriteError::Encoding(error.to_string()))?;
    Ok(AuditRecord {
        version: after.version,
        operator: request.operator.clone(),
        at,
        text: request.text.clone(),
        before: parts.before,
        after: parts.after,
        change: change_id,
    })
}

fn encode(value: &impl serde::Serialize) -> Result<String, ChangeWriteError> {
    let text = serde_json::to_string(value);
    let text = text.map_err(|error| ChangeWriteError::Encoding(error.to_string()))?;
    if text.len() > MAX_ROW_BYTES {
        let length = text.len();
        return Err(ChangeWriteError::Encoding(format!(
            "{length} bytes of JSON exceed the limit of {MAX_ROW_BYTES}"
        )));
    }
    Ok(text)
}
