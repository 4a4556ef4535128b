//! The `drop` command, which removes a resource of the configuration or refuses a waiting request.

use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;
use crate::language::verbs::guarded_change;
use crate::language::verbs::kind;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    if cursor.accept("request") {
        let request = cursor.name("the identifier of a request")?;
        return Ok(OperatorCommand::DropRequest(request));
    }
    let kind = kind(cursor, &["request"])?;
    let change = (kind.drop)(cursor)?;
    guarded_change(cursor, change)
}

inventory::submit! {
    VerbPlugin {
        name: "drop",
        usage: "KIND NAME [if version N] | request ID",
        description: "Removes a resource that is not referenced elsewhere, or refuses a waiting request.",
        example: "drop rule hearing",
        parse,
    }
}
