//! The verbs, which are the first words of commands.

use crate::kernel::change::ConfigurationChange;
use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::WordCursor;
use crate::language::cursor::one_of;
use crate::language::kinds::ResourceKind;
use crate::language::kinds::kinds;

mod drain;
mod drop;
mod explain;
mod help;
mod set;
mod settle;
mod show;
mod undrain;

/// A plug-in that parses the commands of one verb.
#[derive(Clone, Copy, Debug)]
pub struct VerbPlugin {
    /// The keyword of the verb.
    pub name: &'static str,
    /// The syntax after the verb, printed by `help`.
    pub usage: &'static str,
    /// A one-sentence description of the verb, printed by `help`.
    pub description: &'static str,
    /// A complete command, printed by `help`.
    pub example: &'static str,
    /// Parses the words after the verb.
    pub parse: fn(&mut WordCursor) -> Result<OperatorCommand, LanguageError>,
}

inventory::collect!(VerbPlugin);

/// Returns all registered verbs, sorted by name.
#[must_use]
pub fn verbs() -> Vec<&'static VerbPlugin> {
    let mut verbs: Vec<_> = inventory::iter::<VerbPlugin>().collect();
    verbs.sort_by_key(|verb| verb.name);
    verbs
}

/// Parses the keyword of a resource kind.
///
/// The error message lists `other_keywords` too, which are valid at this position.
fn kind(
    cursor: &mut WordCursor,
    other_keywords: &[&'static str],
) -> Result<&'static ResourceKind, LanguageError> {
    let kinds = kinds();
    let found = kinds.iter().find(|kind| cursor.peek() == Some(kind.name));
    let Some(kind) = found else {
        let mut names: Vec<&str> = kinds.iter().map(|kind| kind.name).collect();
        names.extend(other_keywords);
        return Err(cursor.error(one_of(&names)));
    };
    cursor.expect(kind.name)?;
    Ok(kind)
}

/// Parses the optional version guard at the end of a change and builds the command.
fn guarded_change(
    cursor: &mut WordCursor,
    change: ConfigurationChange,
) -> Result<OperatorCommand, LanguageError> {
    Ok(OperatorCommand::Change {
        changes: vec![change],
        expected: cursor.version_guard()?,
    })
}
