//! What `show` asks for.

use std::fmt;
use std::time::Duration;

use crate::kernel::change::quote;
use crate::kernel::change::render_duration;
use crate::kernel::configuration::Comparison;
use crate::language::TableName;

/// The most rows that a query may ask for.
pub const MAX_ROWS: usize = 10_000;

/// The rows shown when a query has no limit.
const DEFAULT_ROWS: usize = 100;

/// A condition on a column.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowFilter {
    /// The column.
    pub column: String,
    /// The comparison.
    pub comparison: Comparison,
    /// The value to compare with; a duration where the column is in milliseconds.
    pub value: String,
}

/// A query for rows of one table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShowQuery {
    /// The table.
    pub table: TableName,
    /// The conditions, all of which must hold.
    pub filters: Vec<RowFilter>,
    /// The most rows wanted.
    pub limit: usize,
    /// The greatest age of the rows wanted.
    pub since: Option<Duration>,
}

impl ShowQuery {
    /// Creates a query for all rows of a table, up to a default limit.
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

/// Writes the query as the command that asks for it.
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
