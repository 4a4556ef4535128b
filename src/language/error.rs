//! Errors that point at a word of a script.

use std::fmt;

use thiserror::Error;

/// The place of a word in a script.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WordPosition {
    /// The line, counted from 1.
    pub line: usize,
    /// The first character of the word in its line, counted from 1.
    pub column: usize,
}

impl fmt::Display for WordPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// A command that can't be understood.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct LanguageError {
    /// The place of the wrong word, or of the end of the line.
    pub position: WordPosition,
    /// The wrong word; empty at the end of the line.
    pub word: String,
    /// What was expected instead.
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
            write!(f, "{position}: the line ends; expected {expected}")
        } else {
            write!(f, "{position}: unexpected {word:?}; expected {expected}")
        }
    }
}
