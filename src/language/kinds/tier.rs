//! Parses the `set` and `drop` commands for tiers.

use crate::kernel::change::ConfigurationChange;
use crate::kernel::change::TierChange;
use crate::language::LanguageError;
use crate::language::ResourceKind;
use crate::language::WordCursor;
use crate::language::kinds::position;
use crate::language::kinds::require_clause;

const CLAUSES: [&str; 3] = [
    "deadline",
    "preemptible|not-preemptible",
    "first|last|before|after",
];

fn set(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let mut change = TierChange {
        name: cursor.name("the name of a tier")?,
        deadline_ms: None,
        preemptible: None,
        position: None,
    };
    require_clause(cursor, &CLAUSES)?;
    while let Some(word) = cursor.clause(&CLAUSES)? {
        match word {
            "deadline" => change.deadline_ms = Some(deadline_ms(cursor)?),
            "preemptible" => change.preemptible = Some(true),
            "not-preemptible" => change.preemptible = Some(false),
            _ => change.position = Some(position(cursor, word, "the name of a tier")?),
        }
    }
    Ok(ConfigurationChange::SetTier(change))
}

fn deadline_ms(cursor: &mut WordCursor) -> Result<u64, LanguageError> {
    let deadline = cursor.duration()?;
    let millis = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
    if millis == 0 {
        return Err(cursor.error_at_previous("a duration greater than zero"));
    }
    Ok(millis)
}

fn drop(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let name = cursor.name("the name of a tier")?;
    Ok(ConfigurationChange::DropTier(name))
}

inventory::submit! {
    ResourceKind {
        name: "tier",
        usage: "NAME [deadline DURATION] [preemptible | not-preemptible] \
                [first | last | before NAME | after NAME]",
        example: "set tier urgent deadline 30s first",
        set,
        drop,
    }
}
