//! Parses the `set` and `drop` commands for workers.

use crate::kernel::change::ConfigurationChange;
use crate::kernel::change::WorkerChange;
use crate::language::LanguageError;
use crate::language::ResourceKind;
use crate::language::WordCursor;
use crate::language::kinds::require_clause;

const CLAUSES: [&str; 4] = ["service", "datacenter", "address", "max-running"];

fn set(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let mut change = WorkerChange {
        name: cursor.name("the name of a worker")?,
        service: None,
        datacenter: None,
        address: None,
        max_running: None,
    };
    require_clause(cursor, &CLAUSES)?;
    while let Some(word) = cursor.clause(&CLAUSES)? {
        match word {
            "service" => change.service = Some(cursor.name("the name of a service")?),
            "datacenter" => change.datacenter = Some(cursor.name("the name of a data centre")?),
            "address" => change.address = Some(cursor.value("an address such as 10.0.0.7:7001")?),
            _ => change.max_running = Some(cursor.value("a number of requests")?),
        }
    }
    Ok(ConfigurationChange::SetWorker(change))
}

fn drop(cursor: &mut WordCursor) -> Result<ConfigurationChange, LanguageError> {
    let name = cursor.name("the name of a worker")?;
    Ok(ConfigurationChange::DropWorker(name))
}

inventory::submit! {
    ResourceKind {
        name: "worker",
        usage: "NAME [service NAME] [datacenter NAME] [address IP:PORT] [max-running N]",
        example: "set worker drafter-1 service drafter datacenter sapporo-a \
                  address 127.0.0.1:7001 max-running 16",
        set,
        drop,
    }
}
