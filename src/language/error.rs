//! Parse errors with their position in a script.

use std::fmt;

use thiserror::Error;

/// The position of a word in a script.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WordPosition {
    /// The line, starting at 1.
    pub line: usize,
    /// The column of the first character of the word, in characters, starting at 1.
    pub column: usize,
}

impl fmt::Display for WordPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// A command that can't be parsed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct LanguageError {
    /// The position of the unexpected word or of the end of the line; the start of the line if the
    /// error concerns the whole line or script.
    pub position: WordPosition,
    /// The unexpected word; empty at the end of the line, or if the error concerns the whole line
    /// or script.
    pub word: String,
    /// A description of the input expected instead.
    pub expected: String,
}

impl fmt::Display for LanguageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            position,
            word,
            expected,
        } = self;
        if word.is_empty() {
            write!(f, "{position}: expected {expected}")
        } else {
            write!(f, "{position}: unexpected {word:?}; expected {expected}")
        }
    }
}
