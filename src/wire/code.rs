//! Short codes for names, numbers and texts that repeat on a link.
//!
//! A value is sent in full once and by its table index afterwards. The tables of both ends stay
//! equal because values are inserted in the order of the messages, which is the same at both ends.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::error::CodecError;
use crate::kernel::name::NameError;

/// The maximum number of values in one table; a new value then replaces the oldest one.
const MAX_TABLE_ENTRIES: u32 = 1024;

/// The code of a name: either its text or its table index.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum NameCode {
    /// The table index of a name that was sent before.
    Index(u32),
    /// The text of a name that is inserted at the next table index.
    Text(String),
}

/// The code of a number: either the number itself or its table index, as `-1 - index`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum NumberCode {
    /// A number that is inserted at the next table index.
    Number(u64),
    /// `-1 - index` of a number that was sent before.
    Index(i64),
}

/// The values sent in one direction of a link, by index and by value.
#[derive(Debug)]
struct ValueTable<V> {
    indexes: BTreeMap<V, u32>,
    values: Vec<V>,
    next: u32,
}

impl<V> Default for ValueTable<V> {
    fn default() -> Self {
        Self {
            indexes: BTreeMap::new(),
            values: Vec::new(),
            next: 0,
        }
    }
}

impl<V: Clone + Ord> ValueTable<V> {
    fn index_of<Q>(&self, value: &Q) -> Option<u32>
    where
        V: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.indexes.get(value).copied()
    }

    fn value(&self, index: u32) -> Option<&V> {
        self.values.get(usize::try_from(index).ok()?)
    }

    fn insert(&mut self, value: V) {
        if self.indexes.contains_key(&value) {
            return;
        }
        let index = self.next;
        self.next = (index + 1) % MAX_TABLE_ENTRIES;
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        if let Some(oldest) = self.values.get_mut(position) {
            self.indexes.remove(oldest);
            *oldest = value.clone();
        } else {
            self.values.push(value.clone());
        }
        self.indexes.insert(value, index);
    }
}

/// The table of names in one direction of a link.
#[derive(Debug, Default)]
pub struct NameTable(ValueTable<String>);

impl NameTable {
    /// Returns the code of a name, and inserts the name into the table if it is new.
    pub fn encode(&mut self, name: &str) -> NameCode {
        if let Some(index) = self.0.index_of(name) {
            return NameCode::Index(index);
        }
        self.0.insert(name.to_owned());
        NameCode::Text(name.to_owned())
    }

    /// Returns the name of a code, and inserts the name into the table if it is new.
    pub fn decode<N>(&mut self, code: NameCode) -> Result<N, CodecError>
    where
        N: FromStr<Err = NameError>,
    {
        match code {
            NameCode::Index(index) => {
                let name = self.0.value(index);
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

/// The table of numbers in one direction of a link.
#[derive(Debug, Default)]
pub struct NumberTable(ValueTable<u64>);

impl NumberTable {
    /// Returns the code of a number, and inserts the number into the table if it is new.
    pub fn encode(&mut self, number: u64) -> NumberCode {
        if let Some(index) = self.0.index_of(&number) {
            return NumberCode::Index(-1 - i64::from(index));
        }
        self.0.insert(number);
        NumberCode::Number(number)
    }

    /// Returns the number of a code, and inserts the number into the table if it is new.
    pub fn decode(&mut self, code: &NumberCode) -> Result<u64, CodecError> {
        match *code {
            NumberCode::Number(number) => {
                self.0.insert(number);
                Ok(number)
            }
            NumberCode::Index(encoded) => {
                let error = CodecError::Field { field: "number" };
                let Ok(index) = u32::try_from(-1 - i128::from(encoded)) else {
                    return Err(error);
                };
                self.0.value(index).copied().ok_or(error)
            }
        }
    }
}

/// Delta encoding of a sequence of numbers that usually grows.
#[derive(Debug, Default)]
pub struct DeltaCounter(u64);

impl DeltaCounter {
    /// Returns the difference from the previous number, modulo 2^64.
    pub fn encode(&mut self, number: u64) -> i64 {
        let delta = number.wrapping_sub(self.0).cast_signed();
        self.0 = number;
        delta
    }

    /// Returns the number that has the given difference from the previous one.
    pub fn decode(&mut self, delta: i64) -> u64 {
        self.0 = self.0.wrapping_add(delta.cast_unsigned());
        self.0
    }
}

/// The maximum length of a template that is inserted into the table, in bytes.
const MAX_TEMPLATE_BYTES: usize = 128;

/// The maximum digits of a number that is extracted from a text; any such number fits a `u32`.
const MAX_DIGITS: usize = 9;

/// The character that replaces an extracted number in a template.
const NUMBER_PLACEHOLDER: char = '\0';

/// The code of a text: the code of its template and the numbers to fill into it.
pub type TextCode = (NameCode, Vec<u32>);

/// The table of text templates in one direction of a link.
///
/// Texts often differ in their numbers only, so the numbers are sent apart from the template.
#[derive(Debug, Default)]
pub struct TextTable(ValueTable<String>);

impl TextTable {
    /// Returns the code of a text, and inserts its template into the table if it is new and
    /// at most `MAX_TEMPLATE_BYTES` long.
    pub fn encode(&mut self, text: &str) -> TextCode {
        let (template, numbers) = extract_numbers(text);
        if let Some(index) = self.0.index_of(template.as_str()) {
            return (NameCode::Index(index), numbers);
        }
        self.insert_template(&template);
        (NameCode::Text(template), numbers)
    }

    /// Returns the text of a code, and inserts its template into the table if it is new and
    /// at most `MAX_TEMPLATE_BYTES` long.
    pub fn decode(&mut self, code: TextCode) -> Result<String, CodecError> {
        let (template, numbers) = code;
        match template {
            NameCode::Index(index) => {
                let template = self.0.value(index);
                let template = template.ok_or(CodecError::Field { field: "text" })?;
                Ok(fill_template(template, &numbers))
            }
            NameCode::Text(template) => {
                self.insert_template(&template);
                Ok(fill_template(&template, &numbers))
            }
        }
    }

    fn insert_template(&mut self, template: &str) {
        if template.len() <= MAX_TEMPLATE_BYTES {
            self.0.insert(template.to_owned());
        }
    }
}

/// Splits a text into its template and numbers. A text that contains the placeholder is its own
/// template, without numbers.
fn extract_numbers(text: &str) -> (String, Vec<u32>) {
    if text.contains(NUMBER_PLACEHOLDER) {
        return (text.to_owned(), Vec::new());
    }
    let mut template = String::new();
    let mut numbers = Vec::new();
    let mut rest = text;
    while let Some(start) = rest.find(|character: char| character.is_ascii_digit()) {
        let (before, tail) = rest.split_at(start);
        let end = tail.find(|character: char| !character.is_ascii_digit());
        let (digits, after) = tail.split_at(end.unwrap_or(tail.len()));
        template.push_str(before);
        match parse_short_number(digits) {
            Some(number) => {
                numbers.push(number);
                template.push(NUMBER_PLACEHOLDER);
            }
            None => template.push_str(digits),
        }
        rest = after;
    }
    template.push_str(rest);
    (template, numbers)
}

/// Parses the digits of a number; `None` if formatting the number would not give the same digits
/// back or the number is too long.
fn parse_short_number(digits: &str) -> Option<u32> {
    let padded = digits.len() > 1 && digits.starts_with('0');
    if padded || digits.len() > MAX_DIGITS {
        return None;
    }
    digits.parse().ok()
}

fn fill_template(template: &str, numbers: &[u32]) -> String {
    let mut numbers = numbers.iter();
    let mut text = String::new();
    for character in template.chars() {
        match numbers.as_slice().first() {
            Some(number) if character == NUMBER_PLACEHOLDER => {
                text.push_str(&number.to_string());
                numbers.next();
            }
            _ => text.push(character),
        }
    }
    text
}
