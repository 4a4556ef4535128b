//! The `show` command, which queries the rows of a result table.

use std::time::Duration;

use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::RowFilter;
use crate::language::ShowQuery;
use crate::language::TableName;
use crate::language::VerbPlugin;
use crate::language::WordCursor;
use crate::language::cursor::one_of;
use crate::language::query::MAX_ROWS;
use crate::language::table::AGE_COLUMN;

const CLAUSES: [&str; 3] = ["where", "since", "limit"];

fn parse(cursor: &mut WordCursor) -> Result<OperatorCommand, LanguageError> {
    let table = table(cursor)?;
    let mut query = ShowQuery::new(table);
    while let Some(word) = cursor.clause(&CLAUSES)? {
        match word {
            "where" => query.filters = filters(cursor, table)?,
            "since" => query.since = Some(since(cursor, table)?),
            _ => query.limit = limit(cursor)?,
        }
    }
    Ok(OperatorCommand::Show(query))
}

fn table(cursor: &mut WordCursor) -> Result<TableName, LanguageError> {
    let tables = TableName::ALL;
    let found = tables.iter().find(|table| cursor.accept(table.as_str()));
    found.copied().ok_or_else(|| {
        let names: Vec<&str> = tables.iter().map(|table| table.as_str()).collect();
        cursor.error(one_of(&names))
    })
}

fn filters(cursor: &mut WordCursor, table: TableName) -> Result<Vec<RowFilter>, LanguageError> {
    let mut filters = vec![filter(cursor, table)?];
    while cursor.accept("and") {
        filters.push(filter(cursor, table)?);
    }
    Ok(filters)
}

fn filter(cursor: &mut WordCursor, table: TableName) -> Result<RowFilter, LanguageError> {
    let columns = table.columns();
    let column = cursor.text(&one_of(columns))?;
    if !columns.contains(&column.as_str()) {
        return Err(cursor.error_at_previous(one_of(columns)));
    }
    Ok(RowFilter {
        column,
        comparison: cursor.comparison()?,
        value: cursor.text("a value")?,
    })
}

fn since(cursor: &mut WordCursor, table: TableName) -> Result<Duration, LanguageError> {
    if !table.columns().contains(&AGE_COLUMN) {
        let expected = format!(
            "a clause other than \"since\", because rows of {} have no times",
            table.as_str()
        );
        return Err(cursor.error_at_previous(expected));
    }
    cursor.duration()
}

fn limit(cursor: &mut WordCursor) -> Result<usize, LanguageError> {
    let expected = format!("a number of rows from 1 to {MAX_ROWS}");
    let limit = cursor.value(&expected)?;
    if !(1..=MAX_ROWS).contains(&limit) {
        return Err(cursor.error_at_previous(expected));
    }
    Ok(limit)
}

inventory::submit! {
    VerbPlugin {
        name: "show",
        usage: "TABLE [where COLUMN =|!=|<|>|~ VALUE [and ...]] [since DURATION] [limit N]",
        description: "Shows rows of a table; rows of requests, workers, hosts and versions come from all live hosts.",
        example: "show waiting where tier = urgent and waited-ms > 2s limit 20",
        parse,
    }
}
