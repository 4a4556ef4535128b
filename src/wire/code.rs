//! Short codes for names, numbers and identifiers that repeat on a link.
//!
//! Both ends of a link keep the same tables, because they see the same values in the same order.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::error::CodecError;
use crate::kernel::name::NameError;

/// The most values that one table holds; the oldest value gives way to a new one.
const MAX_TABLE_VALUES: u32 = 1024;

/// A name: either its text or its place in the table.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum NameCode {
    /// The place of a name that was sent before.
    Place(u32),
    /// The text of a name that takes the next place.
    Text(String),
}

/// A number: either itself or its place in the table as `-1 - place`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum NumberCode {
    /// A number that takes the next place.
    Number(u64),
    /// The place of a number that was sent before.
    Place(i64),
}

/// The values that the sender of one direction of a link has sent.
#[derive(Debug)]
struct ValueTable<V> {
    places: BTreeMap<V, u32>,
    values: Vec<V>,
    next: u32,
}

impl<V> Default for ValueTable<V> {
    fn default() -> Self {
        Self {
            places: BTreeMap::new(),
            values: Vec::new(),
            next: 0,
        }
    }
}

impl<V: Clone + Ord> ValueTable<V> {
    fn place<Q>(&self, value: &Q) -> Option<u32>
    where
        V: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.places.get(value).copied()
    }

    fn value(&self, place: u32) -> Option<&V> {
        self.values.get(usize::try_from(place).ok()?)
    }

    fn insert(&mut self, value: V) {
        if self.places.contains_key(&value) {
            return;
        }
        let place = self.next;
        self.next = (place + 1) % MAX_TABLE_VALUES;
        let index = usize::try_from(place).unwrap_or(usize::MAX);
        if let Some(oldest) = self.values.get_mut(index) {
            self.places.remove(oldest);
            *oldest = value.clone();
        } else {
            self.values.push(value.clone());
        }
        self.places.insert(value, place);
    }
}

/// The names of one direction of a link.
#[derive(Debug, Default)]
pub struct NameTable(ValueTable<String>);

impl NameTable {
    /// Returns the code of a name and remembers the name.
    pub fn encode(&mut self, name: &str) -> NameCode {
        if let Some(place) = self.0.place(name) {
            return NameCode::Place(place);
        }
        self.0.insert(name.to_owned());
        NameCode::Text(name.to_owned())
    }

    /// Returns the name of a code and remembers a new name.
    pub fn decode<N>(&mut self, code: NameCode) -> Result<N, CodecError>
    where
        N: FromStr<Err = NameError>,
    {
        match code {
            NameCode::Place(place) => {
                let name = self.0.value(place);
                let name = name.ok_or(CodecError::Field { field: "name" })?;
                Ok(name.parse()?)
            }
            NameCode::Text(text) => {
                let name = text.parse()?;
                self.0.insert(text);
                Ok(name)
            }
        }
    }
}

/// The numbers of one direction of a link.
#[derive(Debug, Default)]
pub struct NumberTable(ValueTable<u64>);

impl NumberTable {
    /// Returns the code of a number and remembers the number.
    pub fn encode(&mut self, number: u64) -> NumberCode {
        if let Some(place) = self.0.place(&number) {
            return NumberCode::Place(-1 - i64::from(place));
        }
        self.0.insert(number);
        NumberCode::Number(number)
    }

    /// Returns the number of a code and remembers a new number.
    pub fn decode(&mut self, code: &NumberCode) -> Result<u64, CodecError> {
        match *code {
            NumberCode::Number(number) => {
                self.0.insert(number);
                Ok(number)
            }
            NumberCode::Place(place) => {
                let error = CodecError::Field { field: "number" };
                let Ok(place) = u32::try_from(-1 - i128::from(place)) else {
                    return Err(error);
                };
                self.0.value(place).copied().ok_or(error)
            }
        }
    }
}

/// A growing number, sent as the difference from the one sent before it.
#[derive(Debug, Default)]
pub struct DeltaCounter(u64);

impl DeltaCounter {
    /// Returns the difference from the number before.
    pub fn encode(&mut self, number: u64) -> i64 {
        let delta = number.wrapping_sub(self.0).cast_signed();
        self.0 = number;
        delta
    }

    /// Returns the number of a difference.
    pub fn decode(&mut self, delta: i64) -> u64 {
        self.0 = self.0.wrapping_add(delta.cast_unsigned());
        self.0
    }
}

/// The longest text whose words are remembered, in bytes.
const MAX_WORDS_BYTES: usize = 128;

/// The most digits of a number that is taken out of a text.
const MAX_DIGITS: usize = 9;

/// Stands in the words of a text for a number that was taken out.
const NUMBER_MARK: char = '\0';

/// A text: the code of its words and the numbers that were taken out of them.
pub type TextCode = (NameCode, Vec<u32>);

/// The texts of one direction of a link, which often differ in numbers only.
#[derive(Debug, Default)]
pub struct TextTable(ValueTable<String>);

impl TextTable {
    /// Returns the code of a text and remembers its words.
    pub fn encode(&mut self, text: &str) -> TextCode {
        let (words, numbers) = split_numbers(text);
        if let Some(place) = self.0.place(words.as_str()) {
            return (NameCode::Place(place), numbers);
        }
        self.remember(&words);
        (NameCode::Text(words), numbers)
    }

    /// Returns the text of a code and remembers its words.
    pub fn decode(&mut self, code: TextCode) -> Result<String, CodecError> {
        let (words, numbers) = code;
        match words {
            NameCode::Place(place) => {
                let words = self.0.value(place);
                let words = words.ok_or(CodecError::Field { field: "text" })?;
                Ok(join_numbers(words, &numbers))
            }
            NameCode::Text(words) => {
                self.remember(&words);
                Ok(join_numbers(&words, &numbers))
            }
        }
    }

    fn remember(&mut self, words: &str) {
        if words.len() <= MAX_WORDS_BYTES {
            self.0.insert(words.to_owned());
        }
    }
}

fn split_numbers(text: &str) -> (String, Vec<u32>) {
    if text.contains(NUMBER_MARK) {
        return (text.to_owned(), Vec::new());
    }
    let mut words = String::new();
    let mut numbers = Vec::new();
    let mut rest = text;
    while let Some(start) = rest.find(|letter: char| letter.is_ascii_digit()) {
        let (before, tail) = rest.split_at(start);
        let end = tail.find(|letter: char| !letter.is_ascii_digit());
        let (digits, after) = tail.split_at(end.unwrap_or(tail.len()));
        words.push_str(before);
        match short_number(digits) {
            Some(number) => {
                numbers.push(number);
                words.push(NUMBER_MARK);
            }
            None => words.push_str(digits),
        }
        rest = after;
    }
    words.push_str(rest);
    (words, numbers)
}

/// Returns the number that digits stand for, unless it would be written in another way.
fn short_number(digits: &str) -> Option<u32> {
    let padded = digits.len() > 1 && digits.starts_with('0');
    if padded || digits.len() > MAX_DIGITS {
        return None;
    }
    digits.parse().ok()
}

fn join_numbers(words: &str, numbers: &[u32]) -> String {
    let mut numbers = numbers.iter();
    let mut text = String::new();
    for letter in words.chars() {
        match numbers.as_slice().first() {
            Some(number) if letter == NUMBER_MARK => {
                text.push_str(&number.to_string());
                numbers.next();
            }
            _ => text.push(letter),
        }
    }
    text
}
