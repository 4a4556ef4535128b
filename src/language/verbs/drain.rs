//! `drain`: gives a worker no new work.

use crate::kernel::change::ConfigurationChange;
use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;
use crate::language::verbs::change;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    cursor.expect("worker")?;
    let worker = cursor.name("the name of a worker")?;
    change(cursor, ConfigurationChange::Drain(worker))
}

inventory::submit! {
    VerbPlugin {
        name: "drain",
        usage: "worker NAME [if version N]",
        meaning: "Gives a worker no new work; what it runs goes on.",
        example: "drain worker drafter-1",
        parse,
    }
}
