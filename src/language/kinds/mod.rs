//! The resource kinds accepted by `set` and `drop`.

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

/// A plug-in that parses commands for one kind of configuration resource.
#[derive(Clone, Copy, Debug)]
pub struct ResourceKind {
    /// The keyword of the kind.
    pub name: &'static str,
    /// The syntax after `set` and the keyword, printed by `help`.
    pub usage: &'static str,
    /// A complete `set` command, printed by `help`.
    pub example: &'static str,
    /// Parses the words after `set` and the keyword.
    pub set: fn(&mut WordCursor) -> Result<ConfigurationChange, LanguageError>,
    /// Parses the words after `drop` and the keyword.
    pub drop: fn(&mut WordCursor) -> Result<ConfigurationChange, LanguageError>,
}

inventory::collect!(ResourceKind);

/// Returns all registered kinds, sorted by name.
pub fn kinds() -> Vec<&'static ResourceKind> {
    let mut kinds: Vec<_> = inventory::iter::<ResourceKind>().collect();
    kinds.sort_by_key(|kind| kind.name);
    kinds
}

/// Parses a list position whose keyword (`first`, `last`, `before` or `after`) is already consumed.
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

/// Checks that a `set` command has at least one clause.
fn require_clause(cursor: &WordCursor, groups: &[&str]) -> Result<(), LanguageError> {
    if cursor.remaining() == 0 || cursor.peek() == Some("if") {
        return Err(cursor.error(one_of_groups(groups)));
    }
    Ok(())
}
