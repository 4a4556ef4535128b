//! Parses single commands and scripts.

use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::WordCursor;
use crate::language::WordPosition;
use crate::language::cursor::one_of;
use crate::language::verbs;

/// The maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;

/// The maximum length of a script, in bytes.
pub const MAX_SCRIPT_BYTES: usize = 4 * 1024 * 1024;

/// Parses a single command.
///
/// # Errors
///
/// Returns [`LanguageError`] if the line can't be parsed, exceeds [`MAX_LINE_BYTES`] or contains no
/// command.
///
/// # Examples
///
/// ```
/// use borageladder::language::OperatorCommand;
/// use borageladder::language::parse;
///
/// let command = parse("show waiting where tier = urgent limit 20")?;
/// assert!(matches!(command, OperatorCommand::Show(_)));
///
/// let error = parse("show witing").expect_err("there is no such table");
/// assert_eq!(error.position.column, 6);
/// # Ok::<(), borageladder::language::LanguageError>(())
/// ```
pub fn parse(line: &str) -> Result<OperatorCommand, LanguageError> {
    match parse_line(line, 1)? {
        Some(command) => Ok(command),
        None => Err(missing_command(1)),
    }
}

/// Parses a script with one command per line; `#` starts a comment.
///
/// All changes of a script are merged into one atomic change at the position of the first of them.
///
/// # Errors
///
/// Returns the first [`LanguageError`]: a line that can't be parsed, two different version guards,
/// a script without commands or one that exceeds [`MAX_SCRIPT_BYTES`].
///
/// # Examples
///
/// ```
/// use borageladder::language::parse_script;
///
/// let script = "drain worker drafter-1\ndrain worker drafter-2 # both\nshow workers\n";
/// let commands = parse_script(script)?;
/// assert_eq!(commands.len(), 2);
/// # Ok::<(), borageladder::language::LanguageError>(())
/// ```
pub fn parse_script(text: &str) -> Result<Vec<OperatorCommand>, LanguageError> {
    if text.len() > MAX_SCRIPT_BYTES {
        let expected = format!("a script of at most {MAX_SCRIPT_BYTES} bytes");
        return Err(error_at_start(1, expected));
    }
    let mut commands = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        if let Some(command) = parse_line(line, number)? {
            add_command(&mut commands, command, number)?;
        }
    }
    if commands.is_empty() {
        return Err(missing_command(1));
    }
    Ok(commands)
}

fn parse_line(line: &str, number: usize) -> Result<Option<OperatorCommand>, LanguageError> {
    if line.len() > MAX_LINE_BYTES {
        let expected = format!("a line of at most {MAX_LINE_BYTES} bytes");
        return Err(error_at_start(number, expected));
    }
    let mut cursor = WordCursor::new(line, number)?;
    if cursor.remaining() == 0 {
        return Ok(None);
    }
    let verbs = verbs();
    let verb = verbs.iter().find(|verb| cursor.peek() == Some(verb.name));
    let Some(verb) = verb else {
        let names: Vec<&str> = verbs.iter().map(|verb| verb.name).collect();
        return Err(cursor.error(one_of(&names)));
    };
    cursor.expect(verb.name)?;
    let command = (verb.parse)(&mut cursor)?;
    cursor.finish()?;
    Ok(Some(command))
}

/// Appends a command, merging a change into the first change of the script.
fn add_command(
    commands: &mut Vec<OperatorCommand>,
    command: OperatorCommand,
    line: usize,
) -> Result<(), LanguageError> {
    let OperatorCommand::Change { changes, expected } = command else {
        commands.push(command);
        return Ok(());
    };
    let first_change = commands.iter_mut().find_map(|command| match command {
        OperatorCommand::Change { changes, expected } => Some((changes, expected)),
        _ => None,
    });
    let Some((merged, version_guard)) = first_change else {
        commands.push(OperatorCommand::Change { changes, expected });
        return Ok(());
    };
    merged.extend(changes);
    match (*version_guard, expected) {
        (Some(first), Some(second)) if first != second => {
            let expected = format!(
                "\"if version {}\" as on an earlier line, because a script is one change",
                first.0
            );
            Err(error_at_start(line, expected))
        }
        (None, Some(_)) => {
            *version_guard = expected;
            Ok(())
        }
        _ => Ok(()),
    }
}

fn missing_command(line: usize) -> LanguageError {
    let names: Vec<&str> = verbs().iter().map(|verb| verb.name).collect();
    error_at_start(line, one_of(&names))
}

fn error_at_start(line: usize, expected: String) -> LanguageError {
    LanguageError {
        position: WordPosition { line, column: 1 },
        word: String::new(),
        expected,
    }
}
