//! Configuration versions and audit records as stored in the platform's table.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::name::OperatorName;

/// The content of the row that holds the newest configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredConfiguration {
    /// The random number that identifies the change.
    pub change: u64,
    /// The newest configuration, with its version.
    pub configuration: Configuration,
}

/// The record of one change in the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// The version that the change created.
    pub version: ConfigVersion,
    /// The operator who made the change.
    pub operator: OperatorName,
    /// The time of the change, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The script that contains the change, as the operator entered it.
    pub text: String,
    /// The changed parts before the change, as JSON.
    pub before: String,
    /// The changed parts after the change, as JSON.
    pub after: String,
    /// The random number that identifies the change, the same as in [`StoredConfiguration`].
    pub change: u64,
}

/// The parts in which two configurations differ, as JSON.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangedParts {
    /// The parts of the earlier configuration.
    pub before: String,
    /// The parts of the later configuration.
    pub after: String,
}

/// Returns the parts in which two configurations differ.
///
/// # Errors
///
/// Returns an error if a configuration can't be written as JSON.
pub fn changed_parts(
    before: &Configuration,
    after: &Configuration,
) -> Result<ChangedParts, serde_json::Error> {
    let before = serde_json::to_value(before)?;
    let after = serde_json::to_value(after)?;
    let (before, after) = differences(&before, &after);
    Ok(ChangedParts {
        before: before.to_string(),
        after: after.to_string(),
    })
}

fn differences(before: &Value, after: &Value) -> (Value, Value) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        return (before.clone(), after.clone());
    };
    let mut removed = Map::new();
    let mut added = Map::new();
    for (key, old) in old {
        match new.get(key) {
            Some(new) if new == old => {}
            Some(new) => {
                let (old, new) = differences(old, new);
                removed.insert(key.clone(), old);
                added.insert(key.clone(), new);
            }
            None => {
                removed.insert(key.clone(), old.clone());
            }
        }
    }
    for (key, new) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        added.insert(key.clone(), new.clone());
    }
    (Value::Object(removed), Value::Object(added))
}
