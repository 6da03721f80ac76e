//! Splits the text of a file into tokens.

use winnow::ascii::digit1;
use winnow::combinator::{alt, fail, opt};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{any, literal, take_till, take_while};

use crate::error::ConfigError;
use crate::literal::Literal;
use crate::span::Span;

/// A token.
#[derive(Clone, Debug, PartialEq)]
pub enum Token {
    /// A name, including a leading `#` or `_`.
    Name(String),
    Literal(Literal),
    /// A punctuation mark or operator.
    Sign(&'static str),
    /// The end of a line, which separates fields like a comma.
    LineEnd,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Punctuation and operators. One that begins with another stands before it, because the first match is taken.
const SIGNS: [&str; 20] = [
    "...", ">=", "<=", "!=", "==", "{", "}", "[", "]", "(", ")", ":", ",", "?", "&", "|", "*", ">", "<", ".",
];

/// A unit's name and its size in microseconds or bytes.
type Unit = (&'static str, f64);

const TIME_UNITS: [Unit; 5] = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("m", 6e7), ("h", 3.6e9)];
const SIZE_UNITS: [Unit; 4] = [("B", 1.0), ("KiB", 1024.0), ("MiB", 1048576.0), ("GiB", 1073741824.0)];
/// Exclusive limit of durations (microseconds) and sizes (bytes). It is below 2^53, so that a float represents each
/// value exactly.
const MAX_SCALED: f64 = 9e15;

/// Why a text that begins like a token is invalid.
struct TokenError {
    message: String,
    expected: &'static str,
}

type Lexed = Result<Token, TokenError>;

fn token_error(message: String, expected: &'static str) -> Lexed {
    Err(TokenError { message, expected })
}

/// Splits a text into tokens with their positions, or returns an error for each invalid part.
pub fn tokens(text: &str) -> Result<Vec<(Token, Span)>, Vec<ConfigError>> {
    let mut input = LocatingSlice::new(text);
    let mut tokens = Vec::new();
    let mut errors = Vec::new();
    loop {
        skip_blanks_and_comments(&mut input);
        if input.is_empty() {
            break;
        }
        let start = text.len() - input.len();
        let lexed = token(&mut input);
        let span = start..text.len() - input.len();
        match lexed {
            Ok(Ok(token)) => tokens.push((token, span)),
            Ok(Err(error)) => errors.push(ConfigError::new(span, error.message, error.expected)),
            Err(_) => errors.push(skip_unknown_character(&mut input, start)),
        }
    }
    if errors.is_empty() {
        Ok(tokens)
    } else {
        Err(errors)
    }
}

fn skip_unknown_character(input: &mut Input, start: usize) -> ConfigError {
    let character: ModalResult<char> = any.parse_next(input);
    let character = character.unwrap_or(' ');
    let span = start..start + character.len_utf8();
    ConfigError::new(span, format!("unexpected character {character:?}"), "a name or a value")
}

fn skip_blanks_and_comments(input: &mut Input) {
    loop {
        let blanks: ModalResult<&str> = take_while(0.., [' ', '\t', '\r']).parse_next(input);
        let comment: ModalResult<(&str, &str)> = ("//", take_till(0.., '\n')).parse_next(input);
        if comment.is_err() || blanks.is_err() {
            return;
        }
    }
}

fn token(input: &mut Input) -> ModalResult<Lexed> {
    alt((line_end, text, number, name, sign)).parse_next(input)
}

fn line_end(input: &mut Input) -> ModalResult<Lexed> {
    '\n'.parse_next(input)?;
    Ok(Ok(Token::LineEnd))
}

fn name(input: &mut Input) -> ModalResult<Lexed> {
    let is_first = |c: char| c.is_ascii_alphabetic() || c == '_' || c == '#';
    let is_further = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let name: &str = (take_while(1, is_first), take_while(0.., is_further)).take().parse_next(input)?;
    Ok(Ok(match name {
        "true" => Token::Literal(Literal::Bool(true)),
        "false" => Token::Literal(Literal::Bool(false)),
        "null" => Token::Literal(Literal::Null),
        name => Token::Name(name.to_string()),
    }))
}

fn sign(input: &mut Input) -> ModalResult<Lexed> {
    for sign in SIGNS {
        let found: ModalResult<&str> = literal(sign).parse_next(input);
        if found.is_ok() {
            return Ok(Ok(Token::Sign(sign)));
        }
    }
    fail.parse_next(input)
}

fn text(input: &mut Input) -> ModalResult<Lexed> {
    '"'.parse_next(input)?;
    let mut text = String::new();
    loop {
        match next_character(input) {
            Some('"') => return Ok(Ok(Token::Literal(Literal::Text(text)))),
            Some('\\') => match next_character(input) {
                Some('n') => text.push('\n'),
                Some('t') => text.push('\t'),
                Some(escaped @ ('"' | '\\')) => text.push(escaped),
                other => {
                    let escape = other.map_or(String::new(), |c| c.to_string());
                    return Ok(token_error(format!("unknown escape \\{escape}"), r#"\n, \t, \" or \\"#));
                }
            },
            Some('\n') | None => return Ok(token_error("the text is not closed".into(), "a closing \"")),
            Some(character) => text.push(character),
        }
    }
}

fn next_character(input: &mut Input) -> Option<char> {
    let next: ModalResult<char> = any.parse_next(input);
    next.ok()
}

fn number(input: &mut Input) -> ModalResult<Lexed> {
    let (minus, integer, fraction): (Option<char>, &str, Option<(char, &str)>) =
        (opt('-'), digits, opt(('.', digits))).parse_next(input)?;
    let unit: &str = take_while(0.., |c: char| c.is_ascii_alphabetic() || c == '%').parse_next(input)?;
    let sign = if minus.is_some() { "-" } else { "" };
    let fraction = fraction.map(|(_, digits)| format!(".{digits}"));
    let text = format!("{sign}{integer}{}", fraction.as_deref().unwrap_or("")).replace('_', "");
    if unit.is_empty() && fraction.is_none() {
        return Ok(match text.parse() {
            Ok(int) => Ok(Token::Literal(Literal::Int(int))),
            Err(_) => token_error(format!("{integer} is too large"), "a number below 2^63"),
        });
    }
    let value = text.parse::<f64>().unwrap_or(f64::NAN);
    Ok(match unit {
        "" => Ok(Token::Literal(Literal::Float(value))),
        "%" => Ok(Token::Literal(Literal::Float(value / 100.0))),
        unit => with_unit(value, integer, unit),
    })
}

/// Returns a duration or a size. `integer` is the whole part of the number as the file writes it.
fn with_unit(value: f64, integer: &str, unit: &str) -> Lexed {
    let factor_in = |units: &[Unit]| units.iter().find(|(name, _)| *name == unit).map(|(_, factor)| *factor);
    let too_large =
        || token_error(format!("{integer}{unit} is too large"), "a value below 9e15 microseconds or bytes");
    if let Some(micros) = factor_in(&TIME_UNITS) {
        return scale(value, micros)
            .map_or_else(too_large, |micros| Ok(Token::Literal(Literal::Duration(micros))));
    }
    if let Some(bytes) = factor_in(&SIZE_UNITS) {
        return scale(value, bytes).map_or_else(too_large, |bytes| Ok(Token::Literal(Literal::Size(bytes))));
    }
    token_error(format!("unknown unit {unit}"), "us, ms, s, m, h, B, KiB, MiB, GiB or %")
}

fn scale(value: f64, factor: f64) -> Option<i64> {
    let scaled = (value * factor).round();
    (scaled.abs() < MAX_SCALED).then_some(scaled as i64)
}

/// Parses digits, which may be grouped by underscores.
fn digits<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    (digit1, take_while(0.., |c: char| c.is_ascii_digit() || c == '_')).take().parse_next(input)
}
