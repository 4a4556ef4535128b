//! The answer to an operator's script, as exchanged between a host and the command line.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::kernel::change::ChangeError;
use crate::kernel::configuration::ConfigVersion;
use crate::language::LanguageError;
use crate::language::ResultTable;
use crate::language::table::printable;

/// The answer to a whole script.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CommandAnswer {
    /// The results of the commands that were run, in order.
    pub results: Vec<CommandResult>,
    /// The error that stopped the script; `None` if all commands were run.
    pub error: Option<CommandError>,
}

/// The result of one command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandResult {
    /// A result table.
    Table(ResultTable),
    /// The outcome of a configuration change.
    Change(ChangeResult),
    /// Text for display.
    Text(String),
}

/// The rollout state of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// The change is in force wherever requests are accepted.
    Accepted,
    /// The change is written, but not yet confirmed everywhere.
    Recorded,
}

/// The outcome of a configuration change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeResult {
    /// The version that the change created.
    pub version: ConfigVersion,
    /// The version to which the change was applied.
    pub before: ConfigVersion,
    /// The removed lines with the prefix `- ` and the added lines with the prefix `+ `.
    pub diff: Vec<String>,
    /// The rollout state of the change.
    pub state: ChangeState,
    /// The data centres and hosts that have not confirmed the change yet.
    #[serde(rename = "lacking")]
    pub unconfirmed: Vec<String>,
}

/// An error code, stable across releases.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandErrorCode {
    /// The change is not valid for the configuration.
    Change,
    /// The newest version differs from the expected one, a concurrent change was written first, or
    /// the state of the claim does not permit the command.
    Conflict,
    /// The request, claim or verb that the command names does not exist.
    NotFound,
    /// The command can't be parsed.
    Syntax,
    /// The script exceeds the maximum size, or its body was not received completely in time.
    TooLarge,
    /// The operator token is missing or not valid.
    Unauthorized,
    /// The platform did not answer, or its answer is not valid.
    Unavailable,
    /// The outcome is unknown: the change or settlement may or may not have been stored.
    Unknown,
}

/// The error that stopped a script.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CommandError {
    /// The error code.
    pub code: CommandErrorCode,
    /// The human-readable error message.
    pub message: String,
    /// The line of the error, starting at 1; `None` if the script was parsed without an error.
    pub line: Option<usize>,
    /// The column of the unexpected word, in characters, starting at 1; `None` if `line` is `None`.
    pub column: Option<usize>,
    /// The unexpected word; empty at the end of a line, or if the error concerns the whole line
    /// or script. `None` if `line` is `None`.
    pub word: Option<String>,
    /// A description of the input expected instead; `None` if `line` is `None`.
    pub expected: Option<String>,
}

impl CommandError {
    /// Creates an error without a position in the script.
    #[must_use]
    pub fn new(code: CommandErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            line: None,
            column: None,
            word: None,
            expected: None,
        }
    }
}

impl From<LanguageError> for CommandError {
    fn from(error: LanguageError) -> Self {
        Self {
            code: CommandErrorCode::Syntax,
            message: error.to_string(),
            line: Some(error.position.line),
            column: Some(error.position.column),
            word: Some(error.word),
            expected: Some(error.expected),
        }
    }
}

impl From<ChangeError> for CommandError {
    fn from(error: ChangeError) -> Self {
        Self::new(CommandErrorCode::Change, error.to_string())
    }
}

impl fmt::Display for CommandResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Table(table) => table.fmt(f),
            Self::Change(change) => change.fmt(f),
            Self::Text(text) => {
                let lines = text.trim_end().lines();
                lines
                    .map(printable)
                    .try_for_each(|line| writeln!(f, "{line}"))
            }
        }
    }
}

impl fmt::Display for ChangeResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.diff {
            writeln!(f, "{}", printable(line))?;
        }
        let (before, version) = (self.before.0, self.version.0);
        match self.state {
            ChangeState::Accepted => writeln!(f, "version {before} -> {version}: accepted"),
            ChangeState::Recorded => {
                let unconfirmed = self.unconfirmed.join(", ");
                writeln!(
                    f,
                    "version {before} -> {version}: recorded; not yet in force at: {unconfirmed}"
                )
            }
        }
    }
}
