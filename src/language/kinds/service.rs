//! Parses the `set` and `drop` commands for services.

use crate::kernel::change::ConfigurationChange;
use crate::kernel::change::ServiceChange;
use crate::kernel::configuration::ServiceKind;
use crate::language::LanguageError;
use crate::language::ResourceKind;
use crate::language::WordCursor;
use crate::language::kinds::require_clause;

const CLAUSES: [&str; 3] = ["engine|plain", "models", "non-idempotent|idempotent"];

fn set(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let mut change = ServiceChange {
        name: cursor.name("the name of a service")?,
        kind: None,
        models: None,
        non_idempotent: None,
    };
    require_clause(cursor, &CLAUSES)?;
    while let Some(word) = cursor.clause(&CLAUSES)? {
        match word {
            "engine" => change.kind = Some(ServiceKind::Engine),
            "plain" => change.kind = Some(ServiceKind::Plain),
            "models" => change.models = Some(cursor.names("names of models, separated by commas")?),
            "non-idempotent" => change.non_idempotent = Some(true),
            _ => change.non_idempotent = Some(false),
        }
    }
    // Plain services have no models, so a change from engine to plain clears the list.
    if change.kind == Some(ServiceKind::Plain) && change.models.is_none() {
        change.models = Some(Vec::new());
    }
    Ok(ConfigurationChange::SetService(change))
}

fn drop(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let name = cursor.name("the name of a service")?;
    Ok(ConfigurationChange::DropService(name))
}

inventory::submit! {
    ResourceKind {
        name: "service",
        usage: "NAME [engine | plain] [models NAME,NAME,...] [non-idempotent | idempotent]",
        example: "set service drafter engine models quill-70b,quill-8b",
        set,
        drop,
    }
}
