//! Parses the `set` and `drop` commands for workspaces.

use crate::kernel::change::ConfigurationChange;
use crate::kernel::change::WorkspaceChange;
use crate::language::LanguageError;
use crate::language::ResourceKind;
use crate::language::WordCursor;
use crate::language::kinds::require_clause;
use crate::settings::KeyDigest;

const CLAUSES: [&str; 2] = ["key-digest", "max-requests"];

fn set(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let mut change = WorkspaceChange {
        name: cursor.name("the name of a workspace")?,
        key_digest: None,
        max_requests: None,
    };
    require_clause(cursor, &CLAUSES)?;
    while let Some(word) = cursor.clause(&CLAUSES)? {
        if word == "key-digest" {
            let digest: KeyDigest = cursor.value("a BLAKE3 digest of 64 hexadecimal digits")?;
            change.key_digest = Some(digest.to_string());
        } else {
            change.max_requests = Some(cursor.value("a number of requests")?);
        }
    }
    Ok(ConfigurationChange::SetWorkspace(change))
}

fn drop(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let name = cursor.name("the name of a workspace")?;
    Ok(ConfigurationChange::DropWorkspace(name))
}

inventory::submit! {
    ResourceKind {
        name: "workspace",
        usage: "NAME [key-digest DIGEST] [max-requests N]",
        example: "set workspace reps max-requests 200",
        set,
        drop,
    }
}
