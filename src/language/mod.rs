//! The operators' query and command language.
//!
//! A line holds at most one command; a script consists of several lines. Each verb, and each resource
//! kind accepted by `set` and `drop`, is a separate module that registers itself through
//! [`inventory`].

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
pub use kinds::ResourceKind;
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

/// A parsed command.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCommand {
    /// Show rows of a result table.
    Show(ShowQuery),
    /// Show the recorded steps in the handling of a request.
    Explain(RequestId),
    /// Change the configuration.
    Change {
        /// The changes, written together as one version.
        changes: Vec<ConfigurationChange>,
        /// The version that must be the newest in the platform's table; `None` if the change
        /// applies to any version.
        expected: Option<ConfigVersion>,
    },
    /// Record whether a non-idempotent request with an unknown outcome ran.
    SettleKey {
        /// The workspace of the caller.
        workspace: WorkspaceName,
        /// The idempotency key, as the caller sent it.
        key: String,
        /// The outcome determined by the operator.
        outcome: KeyOutcome,
    },
    /// Refuse a waiting request.
    DropRequest(RequestId),
    /// Describe one verb, or the whole language if `None`.
    Help(Option<String>),
}

/// The outcome of a non-idempotent request, as determined by an operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyOutcome {
    /// The request ran.
    #[serde(rename = "run")]
    Ran,
    /// The request did not run, so its idempotency key may be used again.
    NotRun,
}
