//! The lexer, which splits a line into words.

use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::space0;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::stream::LocatingSlice;
use winnow::stream::Location;
use winnow::token::none_of;
use winnow::token::one_of;
use winnow::token::take_while;

use crate::language::LanguageError;
use crate::language::WordPosition;

/// The lexical form of a word.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WordForm {
    /// A word without quotation marks.
    Plain,
    /// A text in quotation marks.
    Quoted,
    /// A comparison operator.
    Operator,
}

/// A word of a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineWord {
    /// The text, without quotation marks and escapes.
    pub text: String,
    /// The lexical form.
    pub form: WordForm,
    /// The column of the first character, in characters, starting at 1.
    pub column: usize,
}

type LineInput<'a> = LocatingSlice<&'a str>;

/// Splits a line into words, ignoring a comment at its end; `number` is the line number, starting
/// at 1.
pub fn split(line: &str, number: usize) -> Result<Vec<LineWord>, LanguageError> {
    let mut input = LocatingSlice::new(line);
    let mut words = Vec::new();
    loop {
        let found = preceded(space0, opt(word.with_span())).parse_next(&mut input);
        let Ok(Some((mut word, span))) = found else {
            break;
        };
        word.column = column(line, span.start);
        words.push(word);
    }
    let offset = input.current_token_start();
    let rest = line.get(offset..).unwrap_or_default();
    if rest.is_empty() || rest.starts_with('#') {
        return Ok(words);
    }
    Err(lexical_error(rest, number, column(line, offset)))
}

fn column(line: &str, offset: usize) -> usize {
    let before = line.get(..offset).unwrap_or(line);
    before.chars().count() + 1
}

fn lexical_error(rest: &str, line: usize, column: usize) -> LanguageError {
    let expected = if rest.starts_with('"') {
        r#"a text that ends with " and has only \" and \\ after a backslash"#
    } else {
        "a word, a text in quotation marks or one of =, !=, <, >, ~"
    };
    let word = rest.split_whitespace().next().unwrap_or(rest);
    LanguageError {
        position: WordPosition { line, column },
        word: word.to_owned(),
        expected: expected.to_owned(),
    }
}

fn word(input: &mut LineInput<'_>) -> ModalResult<LineWord> {
    let (form, text) = alt((
        quoted.map(|text| (WordForm::Quoted, text)),
        operator.map(|text| (WordForm::Operator, text.to_owned())),
        plain.map(|text| (WordForm::Plain, text.to_owned())),
    ))
    .parse_next(input)?;
    Ok(LineWord {
        text,
        form,
        column: 0,
    })
}

fn quoted(input: &mut LineInput<'_>) -> ModalResult<String> {
    let escaped = preceded('\\', one_of(['"', '\\']));
    let unescaped = none_of(|c: char| matches!(c, '"' | '\\') || c.is_control());
    let text = repeat(0.., alt((escaped, unescaped))).fold(String::new, |mut text, c: char| {
        text.push(c);
        text
    });
    delimited('"', text, '"').parse_next(input)
}

fn operator<'a>(input: &mut LineInput<'a>) -> ModalResult<&'a str> {
    alt(("!=", "=", "<", ">", "~")).parse_next(input)
}

fn plain<'a>(input: &mut LineInput<'a>) -> ModalResult<&'a str> {
    let allowed = |c: char| {
        let special = matches!(c, '"' | '#' | '=' | '!' | '<' | '>' | '~');
        !special && !c.is_whitespace() && !c.is_control()
    };
    take_while(1.., allowed).parse_next(input)
}
