//! Parses the `set` and `drop` commands for placement rules.

use crate::kernel::change::ConfigurationChange;
use crate::kernel::change::RuleChange;
use crate::language::LanguageError;
use crate::language::ResourceKind;
use crate::language::WordCursor;
use crate::language::condition::conditions;
use crate::language::kinds::position;
use crate::language::kinds::require_clause;

const CLAUSES: [&str; 4] = [
    "tier",
    "when|always",
    "non-idempotent|idempotent",
    "first|last|before|after",
];

fn set(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let mut change = RuleChange {
        name: cursor.name("the name of a rule")?,
        tier: None,
        conditions: None,
        non_idempotent: None,
        position: None,
    };
    require_clause(cursor, &CLAUSES)?;
    while let Some(word) = cursor.clause(&CLAUSES)? {
        match word {
            "tier" => change.tier = Some(cursor.name("the name of a tier")?),
            "when" => change.conditions = Some(conditions(cursor)?),
            "always" => change.conditions = Some(Vec::new()),
            "non-idempotent" => change.non_idempotent = Some(true),
            "idempotent" => change.non_idempotent = Some(false),
            _ => change.position = Some(position(cursor, word, "the name of a rule")?),
        }
    }
    Ok(ConfigurationChange::SetRule(change))
}

fn drop(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let name = cursor.name("the name of a rule")?;
    Ok(ConfigurationChange::DropRule(name))
}

inventory::submit! {
    ResourceKind {
        name: "rule",
        usage: "NAME [tier NAME] [non-idempotent | idempotent] \
                [when FIELD =|!=|<|>|~ VALUE [and ...] | always] \
                [first | last | before NAME | after NAME]",
        example: "set rule hearing tier urgent when workspace = reps and path ~ \"/v1/\" \
                  and prompt > 2000",
        set,
        drop,
    }
}
