//! The `set` command, which adds or updates a resource of the configuration.

use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;
use crate::language::verbs::guarded_change;
use crate::language::verbs::kind;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    let kind = kind(cursor, &[])?;
    let change = (kind.set)(cursor)?;
    guarded_change(cursor, change)
}

inventory::submit! {
    VerbPlugin {
        name: "set",
        usage: "KIND NAME CLAUSE ... [if version N]",
        description: "Adds a resource to the configuration, or updates the given values of an existing one.",
        example: "set tier urgent deadline 30s if version 41",
        parse,
    }
}
