//! Rendering of answers and errors for the terminal.

use crate::cli::CliStatus;
use crate::language::answer::ChangeState;
use crate::language::answer::CommandAnswer;
use crate::language::answer::CommandError;
use crate::language::answer::CommandErrorCode;
use crate::language::answer::CommandResult;

/// Renders the results of a script as text with empty lines between them, or the answer as JSON.
pub fn render(answer: &CommandAnswer, json: bool) -> String {
    if json {
        let text = serde_json::to_string_pretty(answer).unwrap_or_default();
        return format!("{text}\n");
    }
    let results: Vec<String> = answer.results.iter().map(ToString::to_string).collect();
    results.join("\n")
}

/// Renders an error; a syntax error is followed by its line, with the unexpected word underlined.
pub fn render_error(error: &CommandError, script: &str) -> String {
    let message = format!("borageladder: {}\n", error.message);
    let (Some(line), Some(column)) = (error.line, error.column) else {
        return message;
    };
    let Some(text) = script.lines().nth(line.saturating_sub(1)) else {
        return message;
    };
    let word = error.word.as_deref().unwrap_or_default();
    let indent = " ".repeat(column.saturating_sub(1).min(text.chars().count()));
    let mark = "^".repeat(word.chars().count().clamp(1, text.chars().count().max(1)));
    format!("{message}  {text}\n  {indent}{mark}\n")
}

/// Returns the exit code for an answer.
pub fn status(answer: &CommandAnswer) -> CliStatus {
    match &answer.error {
        Some(error) if error.code == CommandErrorCode::Syntax => return CliStatus::Usage,
        Some(_) => return CliStatus::Failed,
        None => {}
    }
    let recorded = |result: &CommandResult| matches!(result, CommandResult::Change(change) if change.state == ChangeState::Recorded);
    if answer.results.iter().any(recorded) {
        return CliStatus::Recorded;
    }
    CliStatus::Done
}
