//! The `explain` command, which reports how a request was placed, scheduled and completed.

use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    cursor.expect("request")?;
    let request = cursor.name("a request such as 9f2c41d0a3b5e671-42")?;
    Ok(OperatorCommand::Explain(request))
}

inventory::submit! {
    VerbPlugin {
        name: "explain",
        usage: "request ID",
        description: "Shows the tier, rule, waiting times, choice of worker and outcome of a request.",
        example: "explain request 9f2c41d0a3b5e671-42",
        parse,
    }
}
