//! A file's text as tokens.

use std::ops::Range;

use winnow::ascii::digit1;
use winnow::combinator::{alt, opt};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{any, literal, take_till, take_while};

use crate::problem::Problem;

/// A value written out. Durations are microseconds, sizes bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Literal {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    Duration(i64),
    Size(i64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Token {
    /// A name, with the # or _ that it may begin with.
    Name(String),
    Literal(Literal),
    /// One of the signs and operators.
    Sign(&'static str),
    /// A line's end, which ends a field as a comma does.
    Line,
}

type Input<'a> = LocatingSlice<&'a str>;

const SIGNS: [&str; 20] = [
    "...", ">=", "<=", "!=", "==", "{", "}", "[", "]", "(", ")", ":", ",", "?", "&", "|", "*", ">", "<", ".",
];

/// Microseconds a unit of time, bytes a unit of size.
const TIMES: [(&str, f64); 5] = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("m", 6e7), ("h", 3.6e9)];
const SIZES: [(&str, f64); 4] = [("B", 1.0), ("KiB", 1024.0), ("MiB", 1048576.0), ("GiB", 1073741824.0)];

/// All tokens with their places, or every character that begins none.
pub fn tokens(text: &str) -> Result<Vec<(Token, Range<usize>)>, Vec<Problem>> {
    let mut input = LocatingSlice::new(text);
    let (mut found, mut problems) = (Vec::new(), Vec::new());
    loop {
        skip(&mut input);
        let start = text.len() - input.len();
        if input.is_empty() {
            break;
        }
        let token = token(&mut input);
        let span = start..text.len() - input.len();
        match token {
            Ok(Ok(token)) => found.push((token, span)),
            Ok(Err(what)) => problems.push(Problem::new(span, what.0, what.1)),
            Err(_) => {
                let odd: ModalResult<char> = any.parse_next(&mut input);
                let odd = odd.unwrap_or(' ');
                let span = start..start + odd.len_utf8();
                problems.push(Problem::new(span, format!("{odd:?} means nothing here"), "a name or a value"));
            }
        }
    }
    if problems.is_empty() {
        Ok(found)
    } else {
        Err(problems)
    }
}

/// Blanks and comments.
fn skip(input: &mut Input) {
    loop {
        let blanks: ModalResult<&str> = take_while(0.., [' ', '\t', '\r']).parse_next(input);
        let comment: ModalResult<(&str, &str)> = ("//", take_till(0.., '\n')).parse_next(input);
        if comment.is_err() || blanks.is_err() {
            return;
        }
    }
}

type Read = Result<Token, (String, String)>;

fn token(input: &mut Input) -> ModalResult<Read> {
    alt((line, text, number, name, sign)).parse_next(input)
}

fn line(input: &mut Input) -> ModalResult<Read> {
    '\n'.value(Ok(Token::Line)).parse_next(input)
}

fn name(input: &mut Input) -> ModalResult<Read> {
    let word = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let first = |c: char| c.is_ascii_alphabetic() || c == '_' || c == '#';
    let name: &str = (take_while(1, first), take_while(0.., word)).take().parse_next(input)?;
    Ok(Ok(match name {
        "true" => Token::Literal(Literal::Bool(true)),
        "false" => Token::Literal(Literal::Bool(false)),
        "null" => Token::Literal(Literal::Null),
        name => Token::Name(name.to_string()),
    }))
}

fn sign(input: &mut Input) -> ModalResult<Read> {
    for sign in SIGNS {
        let found: ModalResult<&str> = literal(sign).parse_next(input);
        if found.is_ok() {
            return Ok(Ok(Token::Sign(sign)));
        }
    }
    winnow::combinator::fail.parse_next(input)
}

fn text(input: &mut Input) -> ModalResult<Read> {
    '"'.parse_next(input)?;
    let mut read = String::new();
    loop {
        let next: ModalResult<char> = any.parse_next(input);
        let escaped = |input: &mut Input| -> ModalResult<char> { any.parse_next(input) };
        match next {
            Ok('"') => return Ok(Ok(Token::Literal(Literal::Text(read)))),
            Ok('\\') => match escaped(input) {
                Ok('n') => read.push('\n'),
                Ok('t') => read.push('\t'),
                Ok(c @ ('"' | '\\')) => read.push(c),
                other => {
                    let what = other.map_or(String::new(), |c| c.to_string());
                    return Ok(Err((format!("\\{what} is no escape"), r#"\n, \t, \" or \\"#.into())));
                }
            },
            Ok('\n') | Err(_) => return Ok(Err(("the text has no end".into(), "a closing \"".into()))),
            Ok(c) => read.push(c),
        }
    }
}

fn number(input: &mut Input) -> ModalResult<Read> {
    let (sign, whole, part): (Option<char>, &str, Option<(char, &str)>) =
        (opt('-'), digits, opt(('.', digits))).parse_next(input)?;
    let unit: &str = take_while(0.., |c: char| c.is_ascii_alphabetic() || c == '%').parse_next(input)?;
    let digits = format!("{whole}{}", part.map_or(String::new(), |(_, d)| format!(".{d}")));
    let digits = digits.replace('_', "");
    let minus = if sign.is_some() { -1.0 } else { 1.0 };
    let value = minus * digits.parse::<f64>().unwrap_or(f64::NAN);
    let scaled = |units: &[(&str, f64)]| {
        let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
        let scaled = (value * factor).round();
        (scaled.abs() < 9e15).then_some(scaled as i64)
    };
    let known = TIMES.iter().chain(&SIZES).any(|(name, _)| *name == unit);
    Ok(Ok(Token::Literal(if unit.is_empty() && part.is_none() {
        match format!("{}{digits}", if minus < 0.0 { "-" } else { "" }).parse() {
            Ok(int) => Literal::Int(int),
            Err(_) => return Ok(Err((format!("{whole} is too large"), "a number below 2^63".into()))),
        }
    } else if unit.is_empty() {
        Literal::Float(value)
    } else if unit == "%" {
        Literal::Float(value / 100.0)
    } else if let Some(micros) = scaled(&TIMES) {
        Literal::Duration(micros)
    } else if let Some(bytes) = scaled(&SIZES) {
        Literal::Size(bytes)
    } else if known {
        return Ok(Err((format!("{whole}{unit} is too large"), "a value that can be counted".into())));
    } else {
        let expected = "us, ms, s, m, h, B, KiB, MiB, GiB or %";
        return Ok(Err((format!("{unit} is no unit"), expected.into())));
    })))
}

/// Digits that may be parted by low lines.
fn digits<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    (digit1, take_while(0.., |c: char| c.is_ascii_digit() || c == '_')).take().parse_next(input)
}
