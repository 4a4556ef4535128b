//! Parses the `set` and `drop` commands for data centres.

use crate::kernel::change::ConfigurationChange;
use crate::kernel::change::DatacenterChange;
use crate::language::LanguageError;
use crate::language::ResourceKind;
use crate::language::WordCursor;
use crate::language::kinds::require_clause;

const CLAUSES: [&str; 2] = ["region", "gone|present"];

fn set(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let mut change = DatacenterChange {
        name: cursor.name("the name of a data centre")?,
        region: None,
        gone: None,
    };
    require_clause(cursor, &CLAUSES)?;
    while let Some(word) = cursor.clause(&CLAUSES)? {
        match word {
            "region" => change.region = Some(cursor.name("the name of a region")?),
            "gone" => change.gone = Some(true),
            _ => change.gone = Some(false),
        }
    }
    Ok(ConfigurationChange::SetDatacenter(change))
}

fn drop(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let name = cursor.name("the name of a data centre")?;
    Ok(ConfigurationChange::DropDatacenter(name))
}

inventory::submit! {
    ResourceKind {
        name: "datacenter",
        usage: "NAME [region NAME] [gone | present]",
        example: "set datacenter kushiro-a region kushiro gone",
        set,
        drop,
    }
}
