//! The answer of a host to an operator's script, as the command line reads it.

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
    /// The results of the commands that were run, in their order.
    pub results: Vec<CommandResult>,
    /// The error that ended the script, if any.
    pub error: Option<CommandError>,
}

/// The result of one command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandResult {
    /// The rows of a table.
    Table(ResultTable),
    /// What became of a change.
    Change(ChangeResult),
    /// A text for people to read.
    Text(String),
}

/// How far a change has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// The change is in force wherever work is taken.
    Accepted,
    /// The change is written, but not yet in force everywhere.
    Recorded,
}

/// What became of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeResult {
    /// The version that the change made.
    pub version: ConfigVersion,
    /// The version that it changed.
    pub before: ConfigVersion,
    /// The lines that left, with `-`, and those that came, with `+`.
    pub diff: Vec<String>,
    /// How far the change has come.
    pub state: ChangeState,
    /// The data centres and hosts that do not have the change yet.
    pub lacking: Vec<String>,
}

/// The stable code of an error.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandErrorCode {
    /// The change does not fit the configuration.
    Change,
    /// The version in force is not the expected one, or another operator was faster.
    Conflict,
    /// The thing asked for does not exist.
    NotFound,
    /// The command can't be understood.
    Syntax,
    /// The script is too large.
    TooLarge,
    /// The operator's token is missing or not known.
    Unauthorized,
    /// The platform or other hosts do not answer.
    Unavailable,
    /// It is not known whether the change was written.
    Unknown,
}

/// The reason why a script was not run to its end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CommandError {
    /// The stable code.
    pub code: CommandErrorCode,
    /// What is wrong, for people to read.
    pub message: String,
    /// The line of the wrong word, counted from 1.
    pub line: Option<usize>,
    /// The column of the wrong word, counted from 1.
    pub column: Option<usize>,
    /// The wrong word; empty at the end of a line.
    pub word: Option<String>,
    /// What was expected instead.
    pub expected: Option<String>,
}

impl CommandError {
    /// Creates an error that is not about a word.
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
                let lacking = self.lacking.join(", ");
                writeln!(
                    f,
                    "version {before} -> {version}: recorded; not yet in force at: {lacking}"
                )
            }
        }
    }
}
