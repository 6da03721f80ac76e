//! Tokens as expressions.

use std::ops::Range;

use crate::lex::{tokens, Literal, Token};
use crate::problem::Problem;

pub type Span = Range<usize>;

/// Expressions may stand in each other so deep; more is a mistake or an attack on the stack.
const DEEPEST: u32 = 64;

#[derive(Clone, Debug)]
pub struct Expr {
    pub span: Span,
    pub what: What,
}

#[derive(Clone, Debug)]
pub enum What {
    Literal(Literal),
    /// A bound such as `>0s`.
    Bound(Op, Literal),
    Struct(Vec<Field>),
    /// Elements, and what any further ones must be; without it there are none.
    List(Vec<Expr>, Option<Box<Expr>>),
    /// A name, and fields to follow from there.
    Name(Vec<String>),
    And(Vec<Expr>),
    /// Alternatives, the default ones marked.
    Or(Vec<(bool, Expr)>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Over,
    Least,
    Under,
    Most,
    Not,
}

impl Op {
    pub fn sign(self) -> &'static str {
        match self {
            Op::Over => ">",
            Op::Least => ">=",
            Op::Under => "<",
            Op::Most => "<=",
            Op::Not => "!=",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Field {
    pub name: String,
    pub span: Span,
    pub optional: bool,
    pub value: Expr,
}

impl Field {
    /// Definitions and hidden fields serve others and are no part of the result.
    pub fn hidden(name: &str) -> bool {
        name.starts_with(['#', '_'])
    }
}

/// The fields of a whole file.
pub fn parse(text: &str) -> Result<Vec<Field>, Vec<Problem>> {
    let mut parser = Parser { tokens: tokens(text)?, at: 0, end: text.len(), depth: 0 };
    parser.fields(None).map_err(|problem| vec![problem])
}

struct Parser {
    tokens: Vec<(Token, Span)>,
    at: usize,
    end: usize,
    depth: u32,
}

type Parsed<T> = Result<T, Problem>;

impl Parser {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.at).map(|(token, _)| token)
    }

    fn span(&self) -> Span {
        self.tokens.get(self.at).map_or(self.end..self.end, |(_, span)| span.clone())
    }

    fn is(&self, sign: &str) -> bool {
        matches!(self.peek(), Some(Token::Sign(s)) if *s == sign)
    }

    fn take(&mut self, sign: &str) -> bool {
        let there = self.is(sign);
        self.at += usize::from(there);
        there
    }

    fn lines(&mut self) {
        while self.peek() == Some(&Token::Line) {
            self.at += 1;
        }
    }

    fn found(&self) -> String {
        match self.peek() {
            None => "the end of the file".into(),
            Some(Token::Line) => "the end of the line".into(),
            Some(Token::Name(name)) => format!("the name {name}"),
            Some(Token::Sign(sign)) => format!("`{sign}`"),
            Some(Token::Literal(_)) => "a value".into(),
        }
    }

    fn unexpected<T>(&self, expected: &str) -> Parsed<T> {
        Err(Problem::new(self.span(), format!("{} stands here", self.found()), expected))
    }

    /// Fields up to the closing sign, or to the end of the file.
    fn fields(&mut self, close: Option<&str>) -> Parsed<Vec<Field>> {
        let mut fields = Vec::new();
        loop {
            self.lines();
            match close {
                Some(close) if self.take(close) => return Ok(fields),
                None if self.peek().is_none() => return Ok(fields),
                _ => {}
            }
            fields.push(self.field()?);
            let closed = close.is_some_and(|close| self.is(close));
            if !closed && self.peek().is_some() && !self.take(",") && self.peek() != Some(&Token::Line) {
                return self.unexpected("a comma or a new line after the field");
            }
        }
    }

    fn field(&mut self) -> Parsed<Field> {
        let span = self.span();
        let name = match self.peek() {
            Some(Token::Name(name)) => name.clone(),
            Some(Token::Literal(Literal::Text(name))) => name.clone(),
            _ => return self.unexpected("a field's name"),
        };
        self.at += 1;
        let optional = self.take("?");
        if !self.take(":") {
            return self.unexpected("`:` after the field's name");
        }
        let value = self.alternatives()?;
        Ok(Field { name, span, optional, value })
    }

    fn alternatives(&mut self) -> Parsed<Expr> {
        self.depth += 1;
        if self.depth > DEEPEST {
            return Err(Problem::new(
                self.span(),
                "values stand in each other too deep",
                "at most 64 levels",
            ));
        }
        self.lines();
        let start = self.span().start;
        let mut found = vec![(self.take("*"), self.all()?)];
        while self.joins("|") {
            found.push((self.take("*"), self.all()?));
        }
        self.depth -= 1;
        let span = start..self.tokens[self.at - 1].1.end;
        Ok(match found.pop() {
            Some((false, only)) if found.is_empty() => only,
            last => {
                found.extend(last);
                Expr { span, what: What::Or(found) }
            }
        })
    }

    /// Takes an operator, also from the start of the next line.
    fn joins(&mut self, sign: &str) -> bool {
        let at = self.at;
        self.lines();
        if self.take(sign) {
            self.lines();
            return true;
        }
        self.at = at;
        false
    }

    fn all(&mut self) -> Parsed<Expr> {
        let start = self.span().start;
        let mut found = vec![self.one()?];
        while self.joins("&") {
            found.push(self.one()?);
        }
        let span = start..self.tokens[self.at - 1].1.end;
        Ok(match found.pop() {
            Some(only) if found.is_empty() => only,
            last => {
                found.extend(last);
                Expr { span, what: What::And(found) }
            }
        })
    }

    fn one(&mut self) -> Parsed<Expr> {
        let start = self.span().start;
        let ops = [Op::Least, Op::Most, Op::Not, Op::Over, Op::Under];
        let what = if let Some(op) = ops.into_iter().find(|op| self.take(op.sign())) {
            let Some(Token::Literal(literal)) = self.peek().cloned() else {
                return self.unexpected("a value after the bound's sign");
            };
            self.at += 1;
            What::Bound(op, literal)
        } else if self.take("{") {
            What::Struct(self.fields(Some("}"))?)
        } else if self.take("[") {
            return self.list(start);
        } else if self.take("(") {
            let inner = self.alternatives()?;
            self.lines();
            if !self.take(")") {
                return self.unexpected("`)`");
            }
            return Ok(inner);
        } else {
            match self.peek().cloned() {
                Some(Token::Literal(literal)) => {
                    self.at += 1;
                    What::Literal(literal)
                }
                Some(Token::Name(name)) => {
                    self.at += 1;
                    let mut names = vec![name];
                    while self.take(".") {
                        let Some(Token::Name(name)) = self.peek().cloned() else {
                            return self.unexpected("a field's name after `.`");
                        };
                        self.at += 1;
                        names.push(name);
                    }
                    What::Name(names)
                }
                _ => return self.unexpected("a value, a type or a name"),
            }
        };
        Ok(Expr { span: start..self.tokens[self.at - 1].1.end, what })
    }

    fn list(&mut self, start: usize) -> Parsed<Expr> {
        let (mut items, mut rest) = (Vec::new(), None);
        loop {
            self.lines();
            if self.take("]") {
                break;
            }
            if rest.is_some() {
                return self.unexpected("`]` after `...`");
            }
            if self.take("...") {
                let any = Expr { span: self.span(), what: What::Name(vec!["_".into()]) };
                let open = self.is("]") || self.is(",") || self.peek() == Some(&Token::Line);
                rest = Some(Box::new(if open { any } else { self.alternatives()? }));
            } else {
                items.push(self.alternatives()?);
            }
            self.lines();
            if !self.is("]") && !self.take(",") {
                return self.unexpected("`,` or `]` in the list");
            }
        }
        Ok(Expr { span: start..self.tokens[self.at - 1].1.end, what: What::List(items, rest) })
    }
}
