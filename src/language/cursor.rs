//! Reads the words of one line in their order.

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

/// The longest duration that a command may give.
const MAX_DURATION: Duration = Duration::from_hours(7 * 24);

/// The words of one line and the place up to which they are read.
#[derive(Clone, Debug)]
pub struct WordCursor {
    words: Vec<LineWord>,
    next: usize,
    line: usize,
    end: usize,
    used: Vec<&'static str>,
}

impl WordCursor {
    /// Splits a line into words; `line` is its number, counted from 1.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if a quotation mark is not closed or a character has no meaning.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder::language::WordCursor;
    ///
    /// let mut cursor = WordCursor::new("drain worker drafter-1 # it smells", 1)?;
    /// assert!(cursor.accept("drain"));
    /// assert!(!cursor.accept("host"));
    /// assert_eq!(cursor.rest(), 2);
    /// # Ok::<(), borageladder::language::LanguageError>(())
    /// ```
    pub fn new(text: &str, line: usize) -> Result<Self, LanguageError> {
        Ok(Self {
            words: split(text, line)?,
            next: 0,
            line,
            end: text.trim_end().chars().count() + 1,
            used: Vec::new(),
        })
    }

    /// Returns the number of words that are not read yet.
    #[must_use]
    pub fn rest(&self) -> usize {
        self.words.len() - self.next
    }

    /// Returns an error that points at the next word.
    #[must_use]
    pub fn error(&self, expected: impl Into<String>) -> LanguageError {
        self.error_at(self.next, expected)
    }

    /// Returns an error that points at the word read last.
    #[must_use]
    pub fn error_before(&self, expected: impl Into<String>) -> LanguageError {
        self.error_at(self.next.saturating_sub(1), expected)
    }

    /// Returns an error that points at the word with the index.
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

    /// Returns the next word if it is a plain one.
    #[must_use]
    pub fn peek(&self) -> Option<&str> {
        let word = self.words.get(self.next)?;
        (word.form == WordForm::Plain).then_some(word.text.as_str())
    }

    /// Reads the next word if it is the one given.
    pub fn accept(&mut self, word: &str) -> bool {
        let found = self.peek() == Some(word);
        self.next += usize::from(found);
        found
    }

    /// Reads one certain word.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if another word follows.
    pub fn expect(&mut self, word: &str) -> Result<(), LanguageError> {
        if self.accept(word) {
            return Ok(());
        }
        Err(self.error(format!("\"{word}\"")))
    }

    /// Reads any word or text, but no comparison.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if none follows.
    pub fn text(&mut self, expected: &str) -> Result<String, LanguageError> {
        let word = self.words.get(self.next);
        match word.filter(|word| word.form != WordForm::Sign) {
            Some(word) => {
                self.next += 1;
                Ok(word.text.clone())
            }
            None => Err(self.error(expected)),
        }
    }

    /// Reads a word that parses as `T`, such as a number or an address.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if it does not parse.
    pub fn value<T: FromStr>(&mut self, expected: &str) -> Result<T, LanguageError> {
        let text = self.text(expected)?;
        text.parse().or(Err(self.error_before(expected)))
    }

    /// Reads a checked name.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the word is not a valid name.
    pub fn name<N>(&mut self, expected: &str) -> Result<N, LanguageError>
    where
        N: FromStr<Err = NameError>,
    {
        let text = self.text(expected)?;
        text.parse()
            .map_err(|error| self.error_before(format!("{expected}: {error}")))
    }

    /// Reads names with commas between them.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if one of them is not a valid name.
    pub fn names<N>(&mut self, expected: &str) -> Result<Vec<N>, LanguageError>
    where
        N: FromStr<Err = NameError>,
    {
        let text = self.text(expected)?;
        let names = text.split(',').map(str::parse);
        let names: Result<Vec<N>, NameError> = names.collect();
        names.map_err(|error| self.error_before(format!("{expected}: {error}")))
    }

    /// Reads a duration such as `30s`, `500ms`, `10m`, `2h` or `1d`.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the word is no duration or longer than a week.
    pub fn duration(&mut self) -> Result<Duration, LanguageError> {
        let expected = "a duration of at most a week, such as 30s, 500ms, 10m, 2h or 1d";
        let text = self.text(expected)?;
        let duration = parse_duration(&text).filter(|duration| *duration <= MAX_DURATION);
        duration.ok_or_else(|| self.error_before(expected))
    }

    /// Reads a comparison.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if none follows.
    pub fn comparison(&mut self) -> Result<Comparison, LanguageError> {
        let word = self.words.get(self.next);
        let sign = word.filter(|word| word.form == WordForm::Sign);
        let comparison = match sign.map(|word| word.text.as_str()) {
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

    /// Reads the first word of the next clause, or `None` at the end of the clauses.
    ///
    /// Each group holds the words of one clause with `|` between them.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the word is in no group or its clause stood before.
    pub fn clause(
        &mut self,
        groups: &[&'static str],
    ) -> Result<Option<&'static str>, LanguageError> {
        if self.rest() == 0 || self.peek() == Some("if") {
            return Ok(None);
        }
        let found = groups.iter().find_map(|group| {
            let word = group.split('|').find(|word| self.peek() == Some(word))?;
            Some((*group, word))
        });
        let Some((group, word)) = found else {
            return Err(self.error(one_of_groups(groups)));
        };
        if self.used.contains(&group) {
            return Err(self.error(format!("{} only once", one_of_groups(&[group]))));
        }
        self.used.push(group);
        self.next += 1;
        Ok(Some(word))
    }

    /// Reads the end of a change, which may be guarded by `if version N`.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if something else follows.
    pub fn guard(&mut self) -> Result<Option<ConfigVersion>, LanguageError> {
        if !self.accept("if") {
            return Ok(None);
        }
        self.expect("version")?;
        let version = self.value("the number of a version")?;
        Ok(Some(ConfigVersion(version)))
    }

    /// Checks that all words are read.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if a word is left.
    pub fn finish(&self) -> Result<(), LanguageError> {
        if self.rest() > 0 {
            return Err(self.error("the end of the line"));
        }
        Ok(())
    }
}

/// Writes the words that are possible, for an error.
pub fn one_of(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("\"{word}\"")).collect();
    match quoted.as_slice() {
        [word] => word.clone(),
        _ => format!("one of {}", quoted.join(", ")),
    }
}

/// Writes the words of groups, for an error.
pub fn one_of_groups(groups: &[&str]) -> String {
    let words: Vec<&str> = groups.iter().flat_map(|group| group.split('|')).collect();
    one_of(&words)
}

/// Reads a duration with its unit.
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
