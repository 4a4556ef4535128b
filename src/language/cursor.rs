//! A cursor over the words of one line, with the parsers for single words.

use std::str::FromStr;
use std::time::Duration;

use crate::kernel::configuration::Comparison;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::name::NameError;
use crate::language::LanguageError;
use crate::language::WordPosition;
use crate::language::word::LineWord;
use crate::language::word::WordForm;
use crate::language::word::split;

/// The longest duration accepted in a command.
const MAX_DURATION: Duration = Duration::from_hours(7 * 24);

/// The words of one line and the index of the next word to parse.
#[derive(Clone, Debug)]
pub struct WordCursor {
    words: Vec<LineWord>,
    next: usize,
    line: usize,
    /// The column after the last character, for errors at the end of the line.
    end: usize,
    /// The groups whose clause was already parsed.
    used_groups: Vec<&'static str>,
}

impl WordCursor {
    /// Splits a line into words; `line` is its number, starting at 1.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] for an unterminated quotation or a character that starts no word.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder::language::WordCursor;
    ///
    /// let mut cursor = WordCursor::new("drain worker drafter-1 # overheats", 1)?;
    /// assert!(cursor.accept("drain"));
    /// assert!(!cursor.accept("host"));
    /// assert_eq!(cursor.remaining(), 2);
    /// # Ok::<(), borageladder::language::LanguageError>(())
    /// ```
    pub fn new(text: &str, line: usize) -> Result<Self, LanguageError> {
        Ok(Self {
            words: split(text, line)?,
            next: 0,
            line,
            end: text.trim_end().chars().count() + 1,
            used_groups: Vec::new(),
        })
    }

    /// Returns the number of words not parsed yet.
    #[must_use]
    pub fn remaining(&self) -> usize {
        self.words.len() - self.next
    }

    /// Returns an error at the position of the next word.
    #[must_use]
    pub fn error(&self, expected: impl Into<String>) -> LanguageError {
        self.error_at(self.next, expected)
    }

    /// Returns an error at the position of the last parsed word.
    #[must_use]
    pub fn error_at_previous(&self, expected: impl Into<String>) -> LanguageError {
        self.error_at(self.next.saturating_sub(1), expected)
    }

    /// Returns an error at the position of the word with the given index, or at the end of the
    /// line.
    #[must_use]
    pub fn error_at(&self, index: usize, expected: impl Into<String>) -> LanguageError {
        let word = self.words.get(index);
        let column = word.map_or(self.end, |word| word.column);
        LanguageError {
            position: WordPosition {
                line: self.line,
                column,
            },
            word: word.map_or(String::new(), |word| word.text.clone()),
            expected: expected.into(),
        }
    }

    /// Returns the index of the next word, for [`Self::error_at`].
    #[must_use]
    pub fn index(&self) -> usize {
        self.next
    }

    /// Returns the next word if it is neither quoted nor a comparison operator.
    #[must_use]
    pub fn peek(&self) -> Option<&str> {
        let word = self.words.get(self.next)?;
        (word.form == WordForm::Plain).then_some(word.text.as_str())
    }

    /// Consumes the next word and returns `true` if it equals `word`.
    pub fn accept(&mut self, word: &str) -> bool {
        let found = self.peek() == Some(word);
        self.next += usize::from(found);
        found
    }

    /// Consumes the next word, which must equal `word`.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the next word differs or the line ends.
    pub fn expect(&mut self, word: &str) -> Result<(), LanguageError> {
        if self.accept(word) {
            return Ok(());
        }
        Err(self.error(format!("\"{word}\"")))
    }

    /// Parses a plain word or a quoted text.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] at a comparison operator or the end of the line.
    pub fn text(&mut self, expected: &str) -> Result<String, LanguageError> {
        let word = self.words.get(self.next);
        match word.filter(|word| word.form != WordForm::Operator) {
            Some(word) => {
                self.next += 1;
                Ok(word.text.clone())
            }
            None => Err(self.error(expected)),
        }
    }

    /// Parses a word as `T`, such as a number or an address.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the word is missing or can't be parsed as `T`.
    pub fn value<T: FromStr>(&mut self, expected: &str) -> Result<T, LanguageError> {
        let text = self.text(expected)?;
        text.parse().or(Err(self.error_at_previous(expected)))
    }

    /// Parses a name.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the word is missing or not a valid name.
    pub fn name<N>(&mut self, expected: &str) -> Result<N, LanguageError>
    where
        N: FromStr<Err = NameError>,
    {
        let text = self.text(expected)?;
        text.parse()
            .map_err(|error| self.error_at_previous(format!("{expected}: {error}")))
    }

    /// Parses a comma-separated list of names.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the word is missing or one of the names is not valid.
    pub fn names<N>(&mut self, expected: &str) -> Result<Vec<N>, LanguageError>
    where
        N: FromStr<Err = NameError>,
    {
        let text = self.text(expected)?;
        let names = text.split(',').map(str::parse);
        let names: Result<Vec<N>, NameError> = names.collect();
        names.map_err(|error| self.error_at_previous(format!("{expected}: {error}")))
    }

    /// Parses a duration such as `30s`, `500ms`, `10m`, `2h` or `1d`.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the word is not a duration or exceeds one week.
    pub fn duration(&mut self) -> Result<Duration, LanguageError> {
        let expected = "a duration of at most a week, such as 30s, 500ms, 10m, 2h or 1d";
        let text = self.text(expected)?;
        let duration = parse_duration(&text).filter(|duration| *duration <= MAX_DURATION);
        duration.ok_or_else(|| self.error_at_previous(expected))
    }

    /// Parses a comparison operator.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the next word is not one.
    pub fn comparison(&mut self) -> Result<Comparison, LanguageError> {
        let word = self.words.get(self.next);
        let operator = word.filter(|word| word.form == WordForm::Operator);
        let comparison = match operator.map(|word| word.text.as_str()) {
            Some("=") => Comparison::Equal,
            Some("!=") => Comparison::NotEqual,
            Some("<") => Comparison::Less,
            Some(">") => Comparison::Greater,
            Some("~") => Comparison::StartsWith,
            _ => return Err(self.error("one of =, !=, <, >, ~ (starts with)")),
        };
        self.next += 1;
        Ok(comparison)
    }

    /// Parses the keyword of the next clause; `None` at the end of the line or before `if`.
    ///
    /// Each group lists alternative keywords separated by `|`, of which a command may use one.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the word belongs to no group or its group was used before.
    pub fn clause(
        &mut self,
        groups: &[&'static str],
    ) -> Result<Option<&'static str>, LanguageError> {
        if self.remaining() == 0 || self.peek() == Some("if") {
            return Ok(None);
        }
        let found = groups.iter().find_map(|group| {
            let word = group.split('|').find(|word| self.peek() == Some(word))?;
            Some((*group, word))
        });
        let Some((group, word)) = found else {
            return Err(self.error(one_of_groups(groups)));
        };
        if self.used_groups.contains(&group) {
            return Err(self.error(format!("{} only once", one_of_groups(&[group]))));
        }
        self.used_groups.push(group);
        self.next += 1;
        Ok(Some(word))
    }

    /// Parses the optional guard `if version N` of a change; `None` if there is no guard.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if `if` is not followed by `version` and a number.
    pub fn version_guard(&mut self) -> Result<Option<ConfigVersion>, LanguageError> {
        if !self.accept("if") {
            return Ok(None);
        }
        self.expect("version")?;
        let version = self.value("the number of a version")?;
        Ok(Some(ConfigVersion(version)))
    }

    /// Checks that the end of the line is reached.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] at the first word not parsed.
    pub fn finish(&self) -> Result<(), LanguageError> {
        if self.remaining() > 0 {
            return Err(self.error("the end of the line"));
        }
        Ok(())
    }
}

/// Formats the accepted words for an error message.
pub fn one_of(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("\"{word}\"")).collect();
    match quoted.as_slice() {
        [word] => word.clone(),
        _ => format!("one of {}", quoted.join(", ")),
    }
}

/// Formats the keywords of clause groups for an error message.
pub fn one_of_groups(groups: &[&str]) -> String {
    let words: Vec<&str> = groups.iter().flat_map(|group| group.split('|')).collect();
    one_of(&words)
}

/// Parses a whole number with a unit (`ms`, `s`, `m`, `h` or `d`); `None` if `text` has another
/// form or the duration overflows.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let unit_ms: u64 = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    number.checked_mul(unit_ms).map(Duration::from_millis)
}
