//! Parses lines and scripts.

use crate::language::LanguageError;
use crate::language::OperatorCommand;
use crate::language::WordCursor;
use crate::language::WordPosition;
use crate::language::cursor::one_of;
use crate::language::verbs;

/// The longest line accepted, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;

/// The longest script accepted, in bytes.
pub const MAX_SCRIPT_BYTES: usize = 4 * 1024 * 1024;

/// Parses one command.
///
/// # Errors
///
/// Returns [`LanguageError`] with the place of the wrong word and what was expected.
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
        None => Err(empty(1)),
    }
}

/// Parses a script: one command a line, with `#` before a comment.
///
/// All changes of a script become one change, which stands where the first of them stood and is made
/// as a whole or not at all.
///
/// # Errors
///
/// Returns the first [`LanguageError`].
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
            add(&mut commands, command, number)?;
        }
    }
    if commands.is_empty() {
        return Err(empty(1));
    }
    Ok(commands)
}

fn parse_line(line: &str, number: usize) -> Result<Option<OperatorCommand>, LanguageError> {
    if line.len() > MAX_LINE_BYTES {
        let expected = format!("a line of at most {MAX_LINE_BYTES} bytes");
        return Err(error_at_start(number, expected));
    }
    let mut cursor = WordCursor::new(line, number)?;
    if cursor.rest() == 0 {
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

fn add(
    commands: &mut Vec<OperatorCommand>,
    command: OperatorCommand,
    line: usize,
) -> Result<(), LanguageError> {
    let OperatorCommand::Change { changes, expected } = command else {
        commands.push(command);
        return Ok(());
    };
    let first = commands.iter_mut().find_map(|command| match command {
        OperatorCommand::Change { changes, expected } => Some((changes, expected)),
        _ => None,
    });
    let Some((all, guard)) = first else {
        commands.push(OperatorCommand::Change { changes, expected });
        return Ok(());
    };
    all.extend(changes);
    match (*guard, expected) {
        (Some(one), Some(other)) if one != other => {
            let expected = format!(
                "\"if version {}\" as before, since a script is one change",
                one.0
            );
            Err(error_at_start(line, expected))
        }
        (None, Some(_)) => {
            *guard = expected;
            Ok(())
        }
        _ => Ok(()),
    }
}

fn empty(line: usize) -> LanguageError {
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
