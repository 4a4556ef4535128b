//! Result tables of the `show` command.

use std::cmp::Ordering;
use std::fmt;
use std::mem;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::kernel::configuration::Comparison;
use crate::language::RowFilter;
use crate::language::ShowQuery;
use crate::language::cursor::parse_duration;

/// The column to which `since` applies, in milliseconds.
pub const AGE_COLUMN: &str = "age-ms";

macro_rules! tables {
    ($($(#[$meta:meta])* $table:ident $name:literal [$($column:literal)*];)*) => {
        /// A result table available to `show`.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum TableName {
            $($(#[$meta])* $table,)*
        }

        impl TableName {
            /// All result tables, sorted by name.
            pub const ALL: &'static [Self] = &[$(Self::$table,)*];

            /// Returns the name used in commands.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$table => $name,)*
                }
            }

            /// Returns the names of the columns, in order.
            #[must_use]
            pub const fn columns(self) -> &'static [&'static str] {
                match self {
                    $(Self::$table => &[$($column,)*],)*
                }
            }
        }
    };
}

tables! {
    /// The audit trail of configuration changes.
    Changes "changes" ["version" "age-ms" "operator" "change"];
    /// The configuration rendered as commands.
    Configuration "configuration" ["command"];
    /// The data centres.
    Datacenters "datacenters" ["datacenter" "region" "gone"];
    /// The live hosts, with the addresses of their link listeners.
    Hosts "hosts" ["host" "datacenter" "address" "state" "version"];
    /// The claims of non-idempotent requests; `key` is the digest of the idempotency key.
    Keys "keys" ["workspace" "key" "state" "request" "host" "age-ms"];
    /// The refused requests among those that ended last on each host.
    Refused "refused" [
        "request" "age-ms" "workspace" "service" "tier" "reason" "retry-after-ms" "host"
    ];
    /// The placement rules.
    Rules "rules" ["position" "rule" "tier" "non-idempotent" "conditions"];
    /// The running requests.
    Running "running" [
        "request" "age-ms" "workspace" "service" "model" "tier" "rule" "worker" "answer-tokens"
        "host"
    ];
    /// The services.
    Services "services" ["service" "kind" "models" "non-idempotent" "workers"];
    /// The tiers.
    Tiers "tiers" ["rank" "tier" "deadline-ms" "preemptible"];
    /// The configuration versions applied and known on each host.
    Versions "versions" ["host" "datacenter" "applied" "known"];
    /// The waiting requests.
    Waiting "waiting" [
        "request" "waited-ms" "budget-ms" "workspace" "service" "model" "tier" "rule"
        "prompt-tokens" "host"
    ];
    /// The workers.
    Workers "workers" [
        "worker" "service" "datacenter" "address" "state" "max-running" "limit" "running"
    ];
    /// The workspaces.
    Workspaces "workspaces" ["workspace" "key-digest" "max-requests"];
}

/// Rows with named columns.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ResultTable {
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows, each with one value per column.
    pub rows: Vec<Vec<Value>>,
    /// The number of rows omitted because of the limit.
    #[serde(default)]
    pub omitted: usize,
    /// The live hosts that did not answer in time, whose rows are therefore missing.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "silent")]
    pub unanswered: Vec<String>,
}

impl ResultTable {
    /// Creates a result table without rows.
    #[must_use]
    pub fn new(table: TableName) -> Self {
        let columns = table.columns().iter().map(|column| (*column).to_owned());
        Self {
            columns: columns.collect(),
            rows: Vec::new(),
            omitted: 0,
            unanswered: Vec::new(),
        }
    }

    /// Appends the rows of another result table, which must have the same columns.
    pub fn append(&mut self, other: Self) {
        self.rows.extend(other.rows);
        self.omitted += other.omitted;
        self.unanswered.extend(other.unanswered);
    }

    /// Removes the rows that do not match a query, then applies its limit.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder::language::ResultTable;
    /// use borageladder::language::ShowQuery;
    /// use borageladder::language::TableName;
    /// use serde_json::json;
    ///
    /// let mut table = ResultTable::new(TableName::Versions);
    /// table.rows.push(vec![json!("sapporo-1"), json!("sapporo-a"), json!(7), json!(7)]);
    /// table.rows.push(vec![json!("kushiro-1"), json!("kushiro-a"), json!(6), json!(7)]);
    /// let mut query = ShowQuery::new(TableName::Versions);
    /// query.limit = 1;
    /// table.apply(&query);
    /// assert_eq!(table.rows.len(), 1);
    /// assert_eq!(table.omitted, 1);
    /// ```
    pub fn apply(&mut self, query: &ShowQuery) {
        let columns = mem::take(&mut self.columns);
        let cell = |row: &[Value], column: &str| {
            let index = columns.iter().position(|name| name == column);
            index.and_then(|index| row.get(index)).cloned()
        };
        self.rows.retain(|row| {
            let mut filters = query.filters.iter();
            filters.all(|filter| filter_holds(filter, cell(row, &filter.column).as_ref()))
        });
        if let Some(since) = query.since {
            let recent = |age: Value| age.as_f64().is_some_and(|age| age <= millis(since));
            self.rows
                .retain(|row| cell(row, AGE_COLUMN).is_some_and(recent));
        }
        self.omitted += self.rows.len().saturating_sub(query.limit);
        self.rows.truncate(query.limit);
        self.columns = columns;
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn filter_holds(filter: &RowFilter, cell: Option<&Value>) -> bool {
    match cell.and_then(Value::as_f64) {
        Some(number) => number_holds(filter, number),
        None => text_holds(filter, &cell.map(render_cell).unwrap_or_default()),
    }
}

fn number_holds(filter: &RowFilter, number: f64) -> bool {
    let in_millis = filter.column.ends_with("-ms");
    let duration = parse_duration(&filter.value).filter(|_| in_millis);
    let value = duration.map(millis).or_else(|| filter.value.parse().ok());
    let ordering = value.and_then(|value: f64| number.partial_cmp(&value));
    match filter.comparison {
        Comparison::Equal => ordering.is_some_and(Ordering::is_eq),
        Comparison::NotEqual => !ordering.is_some_and(Ordering::is_eq),
        Comparison::Less => ordering.is_some_and(Ordering::is_lt),
        Comparison::Greater => ordering.is_some_and(Ordering::is_gt),
        Comparison::StartsWith => number.to_string().starts_with(&filter.value),
    }
}

fn text_holds(filter: &RowFilter, text: &str) -> bool {
    let value = filter.value.as_str();
    match filter.comparison {
        Comparison::Equal => text == value,
        Comparison::NotEqual => text != value,
        Comparison::Less => text < value,
        Comparison::Greater => text > value,
        Comparison::StartsWith => text.starts_with(value),
    }
}

fn render_cell(cell: &Value) -> String {
    match cell {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

impl fmt::Display for ResultTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let texts = self.rows.iter().map(|row| row.iter().map(printable_cell));
        let rows: Vec<Vec<String>> = texts.map(Iterator::collect).collect();
        let widths = widths(&self.columns, &rows);
        write_row(f, &self.columns, &widths)?;
        for row in &rows {
            write_row(f, row, &widths)?;
        }
        if self.omitted > 0 {
            writeln!(f, "({} more rows)", self.omitted)?;
        }
        if !self.unanswered.is_empty() {
            let hosts = printable(&self.unanswered.join(", "));
            writeln!(f, "(no answer from {hosts})")?;
        }
        Ok(())
    }
}

/// Replaces control characters with `?`, so that output can't contain terminal escape sequences.
#[must_use]
pub fn printable(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}

fn printable_cell(cell: &Value) -> String {
    printable(&render_cell(cell))
}

fn widths(columns: &[String], rows: &[Vec<String>]) -> Vec<usize> {
    let width = |text: &String| text.chars().count();
    let mut widths: Vec<usize> = columns.iter().map(width).collect();
    for row in rows {
        for (widest, text) in widths.iter_mut().zip(row) {
            *widest = (*widest).max(width(text));
        }
    }
    widths
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &[String], widths: &[usize]) -> fmt::Result {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(text, width)| format!("{text:<width$}"))
        .collect();
    writeln!(f, "{}", cells.join("  ").trim_end())
}
