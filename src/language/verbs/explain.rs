//! The `explain` command, which lists the recorded steps in the handling of a request.

use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    cursor.expect("request")?;
    let request = cursor.name("the identifier of a request")?;
    Ok(OperatorCommand::Explain(request))
}

inventory::submit! {
    VerbPlugin {
        name: "explain",
        usage: "request ID",
        description: "Shows the tier and rule of a request, its grants and dispatches, and the error that ended it, if any.",
        example: "explain request 9f2c41d0a3b5e671-42",
        parse,
    }
}
