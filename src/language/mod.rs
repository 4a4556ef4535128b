//! The operators' query and command language.
//!
//! One command stands on a line; a script is many lines. The verbs, and the kinds of things that
//! `set` and `drop` know, stand in files of their own and register themselves.

use serde::Deserialize;
use serde::Serialize;

use crate::kernel::change::ConfigurationChange;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::name::RequestId;
use crate::kernel::name::WorkspaceName;

pub mod answer;
mod condition;
mod cursor;
mod error;
pub mod help;
mod kinds;
mod query;
pub mod rows;
mod script;
pub mod table;
mod verbs;
mod word;

pub use cursor::WordCursor;
pub use error::LanguageError;
pub use error::WordPosition;
pub use kinds::ThingKind;
pub use query::RowFilter;
pub use query::ShowQuery;
pub use script::MAX_LINE_BYTES;
pub use script::MAX_SCRIPT_BYTES;
pub use script::parse;
pub use script::parse_script;
pub use table::ResultTable;
pub use table::TableName;
pub use verbs::VerbPlugin;
pub use verbs::verbs;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCommand {
    /// Show rows of a table.
    Show(ShowQuery),
    /// Explain why a request got what it got.
    Explain(RequestId),
    /// Change the configuration.
    Change {
        /// The changes, made as a whole or not at all.
        changes: Vec<ConfigurationChange>,
        /// The version that must be in force, if the operator gave one.
        expected: Option<ConfigVersion>,
    },
    /// End the unknown outcome of a non-idempotent request.
    SettleKey {
        /// The workspace of the caller.
        workspace: WorkspaceName,
        /// The idempotency key, as the caller sent it.
        key: String,
        /// What the operator found out.
        outcome: KeyOutcome,
    },
    /// Refuse a waiting request.
    DropRequest(RequestId),
    /// Describe the language or one verb.
    Help(Option<String>),
}

/// What an operator found out about a request with an unknown outcome.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyOutcome {
    /// The request ran.
    Run,
    /// The request did not run and its key may be used again.
    NotRun,
}
