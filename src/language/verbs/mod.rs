//! The verbs with which a command starts.

use crate::kernel::change::ConfigurationChange;
use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::WordCursor;
use crate::language::cursor::one_of;
use crate::language::kinds::ThingKind;
use crate::language::kinds::kinds;

mod drain;
mod drop;
mod explain;
mod help;
mod set;
mod settle;
mod show;
mod undrain;

/// A plug-in for one verb.
#[derive(Clone, Copy, Debug)]
pub struct VerbPlugin {
    /// The verb.
    pub name: &'static str,
    /// What may follow the verb.
    pub usage: &'static str,
    /// What the verb does, in one sentence.
    pub meaning: &'static str,
    /// A command that can be run.
    pub example: &'static str,
    /// Parses what follows the verb.
    pub parse: fn(&mut WordCursor) -> Result<OperatorCommand, LanguageError>,
}

inventory::collect!(VerbPlugin);

/// Returns all verbs in the order of their names.
#[must_use]
pub fn verbs() -> Vec<&'static VerbPlugin> {
    let mut verbs: Vec<_> = inventory::iter::<VerbPlugin>().collect();
    verbs.sort_by_key(|verb| verb.name);
    verbs
}

/// Reads the word for a kind of thing; `more` are words possible beside the kinds.
fn kind(
    cursor: &mut WordCursor,
    more: &[&'static str],
) -> Result<&'static ThingKind, LanguageError> {
    let kinds = kinds();
    let found = kinds.iter().find(|kind| cursor.peek() == Some(kind.name));
    let Some(kind) = found else {
        let mut names: Vec<&str> = kinds.iter().map(|kind| kind.name).collect();
        names.extend(more);
        return Err(cursor.error(one_of(&names)));
    };
    cursor.expect(kind.name)?;
    Ok(kind)
}

/// Reads the guard that may end a change.
fn change(
    cursor: &mut WordCursor,
    change: ConfigurationChange,
) -> Result<OperatorCommand, LanguageError> {
    Ok(OperatorCommand::Change {
        changes: vec![change],
        expected: cursor.guard()?,
    })
}
