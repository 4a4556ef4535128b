//! The `help` command, which describes one verb or the whole language.

use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::VerbPlugin;
use crate::language::WordCursor;
use crate::language::cursor::one_of;
use crate::language::verbs;

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    if cursor.remaining() == 0 {
        return Ok(OperatorCommand::Help(None));
    }
    let verbs = verbs();
    let names: Vec<&str> = verbs.iter().map(|verb| verb.name).collect();
    let start = cursor.index();
    let verb = cursor.text(&one_of(&names))?;
    if !names.contains(&verb.as_str()) {
        return Err(cursor.error_at(start, one_of(&names)));
    }
    Ok(OperatorCommand::Help(Some(verb)))
}

inventory::submit! {
    VerbPlugin {
        name: "help",
        usage: "[VERB]",
        description: "Describes all verbs, or one of them with an example.",
        example: "help show",
        parse,
    }
}
