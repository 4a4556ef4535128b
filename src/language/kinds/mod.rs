//! The kinds of things that `set` and `drop` know.

use std::str::FromStr;

use crate::kernel::change::ConfigurationChange;
use crate::kernel::change::ListPosition;
use crate::kernel::name::NameError;
use crate::language::LanguageError;
use crate::language::WordCursor;
use crate::language::cursor::one_of_groups;

mod datacenter;
mod rule;
mod service;
mod tier;
mod worker;
mod workspace;

/// A plug-in for one kind of thing in the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ThingKind {
    /// The word for the kind.
    pub name: &'static str,
    /// What may follow `set` and the word.
    pub usage: &'static str,
    /// A `set` command that can be run.
    pub example: &'static str,
    /// Parses what follows `set` and the word.
    pub set: fn(&mut WordCursor) -> Result<ConfigurationChange, LanguageError>,
    /// Parses what follows `drop` and the word.
    pub drop: fn(&mut WordCursor) -> Result<ConfigurationChange, LanguageError>,
}

inventory::collect!(ThingKind);

/// Returns all kinds in the order of their names.
pub fn kinds() -> Vec<&'static ThingKind> {
    let mut kinds: Vec<_> = inventory::iter::<ThingKind>().collect();
    kinds.sort_by_key(|kind| kind.name);
    kinds
}

/// Reads the rest of a position whose first word is read.
fn position<N>(
    cursor: &mut WordCursor,
    word: &str,
    expected: &str,
) -> Result<ListPosition<N>, LanguageError>
where
    N: FromStr<Err = NameError>,
{
    match word {
        "first" => Ok(ListPosition::First),
        "last" => Ok(ListPosition::Last),
        "before" => Ok(ListPosition::Before(cursor.name(expected)?)),
        _ => Ok(ListPosition::After(cursor.name(expected)?)),
    }
}

/// Checks that a `set` command sets something.
fn needs_clause(cursor: &WordCursor, groups: &[&str]) -> Result<(), LanguageError> {
    if cursor.rest() == 0 || cursor.peek() == Some("if") {
        return Err(cursor.error(one_of_groups(groups)));
    }
    Ok(())
}
