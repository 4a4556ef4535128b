//! The `settle` command, which records whether a request with an unknown outcome ran.

use crate::language::KeyOutcome;
use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    cursor.expect("key")?;
    let workspace = cursor.name("the name of a workspace")?;
    let key = cursor.text("an idempotency key")?;
    if key.is_empty() {
        return Err(cursor.error_at_previous("an idempotency key, which is not empty"));
    }
    let outcome = if cursor.accept("run") {
        KeyOutcome::Ran
    } else if cursor.accept("not-run") {
        KeyOutcome::NotRun
    } else {
        return Err(cursor.error("\"run\" or \"not-run\""));
    };
    Ok(OperatorCommand::SettleKey {
        workspace,
        key,
        outcome,
    })
}

inventory::submit! {
    VerbPlugin {
        name: "settle",
        usage: "key WORKSPACE KEY run | not-run",
        description: "Records whether a request with an unknown outcome ran, as the operator found out at the upstream.",
        example: "settle key reps \"filing 17\" not-run",
        parse,
    }
}
