//! A small reader and writer of JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn field(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader {
            text: text.chars().collect(),
            at: 0,
        };
        reader.value()
    }
}

/// Returns a text as JSON.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader {
    text: Vec<char>,
    at: usize,
}

impl Reader {
    fn next(&mut self) -> Option<char> {
        let found = self.text.get(self.at).copied();
        self.at += 1;
        found
    }

    fn peek(&mut self) -> Option<char> {
        while self.text.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while self.peek()? != '}' {
                    let Json::Text(name) = self.value()? else {
                        return None;
                    };
                    if self.peek()? != ':' {
                        return None;
                    }
                    self.at += 1;
                    let value = self.value()?;
                    fields.insert(name, value);
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Table(fields))
            }
            '[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != ']' {
                    items.push(self.value()?);
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            '"' => {
                self.at += 1;
                let mut text = String::new();
                loop {
                    match self.next()? {
                        '"' => return Some(Json::Text(text)),
                        '\\' => match self.next()? {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'r' => text.push('\r'),
                            'b' => text.push('\u{8}'),
                            'f' => text.push('\u{c}'),
                            'u' => {
                                let digits: String = (0..4).filter_map(|_| self.next()).collect();
                                let code = u32::from_str_radix(&digits, 16).ok()?;
                                text.push(char::from_u32(code).unwrap_or('?'));
                            }
                            c => text.push(c),
                        },
                        c => text.push(c),
                    }
                }
            }
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => {
                let mut digits = String::new();
                while let Some(c) = self.text.get(self.at) {
                    if !"+-.eE0123456789".contains(*c) {
                        break;
                    }
                    digits.push(*c);
                    self.at += 1;
                }
                digits.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len();
        Some(value)
    }
}
