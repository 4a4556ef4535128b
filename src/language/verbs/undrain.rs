//! `undrain`: gives a drained worker work again.

use crate::kernel::change::ConfigurationChange;
use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;
use crate::language::verbs::change;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    cursor.expect("worker")?;
    let worker = cursor.name("the name of a worker")?;
    change(cursor, ConfigurationChange::Undrain(worker))
}

inventory::submit! {
    VerbPlugin {
        name: "undrain",
        usage: "worker NAME [if version N]",
        meaning: "Gives a drained worker work again.",
        example: "undrain worker drafter-1",
        parse,
    }
}
