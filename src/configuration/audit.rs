//! Versions and audit records as they stand in the table.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::name::OperatorName;

/// The row that holds the configuration in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredConfiguration {
    /// The random number of the change that made the version.
    pub change: u64,
    /// The configuration.
    pub configuration: Configuration,
}

/// The record of one change in the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// The version that the change made.
    pub version: ConfigVersion,
    /// The operator who made it.
    pub operator: OperatorName,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The command, as the operator gave it.
    pub text: String,
    /// The changed parts before, as JSON.
    pub before: String,
    /// The changed parts after, as JSON.
    pub after: String,
    /// The random number of the change.
    pub change: u64,
}

/// The parts in which two configurations differ, as JSON.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangedParts {
    /// The parts as they were.
    pub before: String,
    /// The parts as they are.
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
