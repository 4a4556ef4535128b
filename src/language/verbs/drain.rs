//! The `drain` command, which stops the assignment of new requests to a worker.

use crate::kernel::change::ConfigurationChange;
use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;
use crate::language::verbs::guarded_change;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    cursor.expect("worker")?;
    let worker = cursor.name("the name of a worker")?;
    guarded_change(cursor, ConfigurationChange::Drain(worker))
}

inventory::submit! {
    VerbPlugin {
        name: "drain",
        usage: "worker NAME [if version N]",
        description: "Stops assigning new requests to a worker; running requests continue.",
        example: "drain worker drafter-1",
        parse,
    }
}
