//! Queries made by the `show` command.

use std::fmt;
use std::time::Duration;

use crate::kernel::change::quote;
use crate::kernel::change::render_duration;
use crate::kernel::configuration::Comparison;
use crate::language::TableName;

/// The maximum limit of a query, in rows.
pub const MAX_ROWS: usize = 10_000;

/// The limit of a query that specifies none, in rows.
const DEFAULT_ROWS: usize = 100;

/// A condition on a column.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowFilter {
    /// The name of the column.
    pub column: String,
    /// The comparison operator.
    pub comparison: Comparison,
    /// The value with which the column is compared; may be a duration such as `2s` for columns in
    /// milliseconds.
    pub value: String,
}

/// A query for rows of one result table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShowQuery {
    /// The result table.
    pub table: TableName,
    /// The conditions, all of which must hold.
    pub filters: Vec<RowFilter>,
    /// The maximum number of rows to return.
    pub limit: usize,
    /// The maximum age of the rows; `None` for rows of any age.
    pub since: Option<Duration>,
}

impl ShowQuery {
    /// Creates a query for all rows of a table, up to the default limit of the table.
    #[must_use]
    pub fn new(table: TableName) -> Self {
        let limit = match table {
            TableName::Configuration => MAX_ROWS,
            _ => DEFAULT_ROWS,
        };
        Self {
            table,
            filters: Vec::new(),
            limit,
            since: None,
        }
    }
}

/// Formats the query as the `show` command that parses back to it.
impl fmt::Display for ShowQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.table.as_str())?;
        for (index, filter) in self.filters.iter().enumerate() {
            let word = if index == 0 { "where" } else { "and" };
            let value = quote(&filter.value);
            write!(f, " {word} {} {} {value}", filter.column, filter.comparison)?;
        }
        if let Some(since) = self.since {
            let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            write!(f, " since {}", render_duration(millis))?;
        }
        write!(f, " limit {}", self.limit)
    }
}
