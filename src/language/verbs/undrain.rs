//! The `undrain` command, which resumes the assignment of requests to a drained worker.

use crate::kernel::change::ConfigurationChange;
use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;
use crate::language::verbs::guarded_change;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    cursor.expect("worker")?;
    let worker = cursor.name("the name of a worker")?;
    guarded_change(cursor, ConfigurationChange::Undrain(worker))
}

inventory::submit! {
    VerbPlugin {
        name: "undrain",
        usage: "worker NAME [if version N]",
        description: "Resumes assigning requests to a drained worker.",
        example: "undrain worker drafter-1",
        parse,
    }
}
