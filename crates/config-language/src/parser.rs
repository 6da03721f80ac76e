//! Parses the text of a file into a syntax tree.

use crate::ast::{Comparison, Expr, Field, Node};
use crate::error::ConfigError;
use crate::lexer::{tokens, Token};
use crate::literal::Literal;
use crate::span::Span;

/// Maximum nesting of expressions. A deeper file is a mistake or an attempt to overflow the stack.
const MAX_DEPTH: u32 = 64;

/// Operators of bounds, those of two characters first.
const COMPARISONS: [Comparison; 5] = [
    Comparison::GreaterOrEqual,
    Comparison::LessOrEqual,
    Comparison::NotEqual,
    Comparison::Greater,
    Comparison::Less,
];

/// Parses the fields of a file. Returns all errors of the lexer, or the first syntax error.
pub fn parse(text: &str) -> Result<Vec<Field>, Vec<ConfigError>> {
    let mut parser = Parser { tokens: tokens(text)?, position: 0, text_length: text.len(), depth: 0 };
    parser.fields(None).map_err(|error| vec![error])
}

struct Parser {
    tokens: Vec<(Token, Span)>,
    /// Index of the next token.
    position: usize,
    text_length: usize,
    depth: u32,
}

type Parsed<T> = Result<T, ConfigError>;

impl Parser {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.position).map(|(token, _)| token)
    }

    /// Returns the position of the next token.
    fn span(&self) -> Span {
        let end = self.text_length..self.text_length;
        self.tokens.get(self.position).map_or(end, |(_, span)| span.clone())
    }

    /// Returns the range from a byte to the end of the last token that was consumed.
    fn span_since(&self, start: usize) -> Span {
        start..self.tokens[self.position - 1].1.end
    }

    fn is_next(&self, sign: &str) -> bool {
        matches!(self.peek(), Some(Token::Sign(next)) if *next == sign)
    }

    /// Consumes a sign if it is the next token, and returns whether it was.
    fn take(&mut self, sign: &str) -> bool {
        let is_next = self.is_next(sign);
        self.position += usize::from(is_next);
        is_next
    }

    fn skip_line_ends(&mut self) {
        while self.peek() == Some(&Token::LineEnd) {
            self.position += 1;
        }
    }

    fn unexpected<T>(&self, expected: &str) -> Parsed<T> {
        let found = match self.peek() {
            None => "end of file".into(),
            Some(Token::LineEnd) => "end of line".into(),
            Some(Token::Name(name)) => format!("name {name}"),
            Some(Token::Sign(sign)) => format!("`{sign}`"),
            Some(Token::Literal(_)) => "value".into(),
        };
        Err(ConfigError::new(self.span(), format!("unexpected {found}"), expected))
    }

    /// Parses fields up to the closing sign or, without one, to the end of the file.
    fn fields(&mut self, closing: Option<&str>) -> Parsed<Vec<Field>> {
        let mut fields = Vec::new();
        loop {
            self.skip_line_ends();
            match closing {
                Some(closing) if self.take(closing) => return Ok(fields),
                None if self.peek().is_none() => return Ok(fields),
                _ => {}
            }
            fields.push(self.field()?);
            let is_last = self.peek().is_none() || closing.is_some_and(|closing| self.is_next(closing));
            if !is_last && !self.take(",") && self.peek() != Some(&Token::LineEnd) {
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
        self.position += 1;
        let is_optional = self.take("?");
        if !self.take(":") {
            return self.unexpected("`:` after the field's name");
        }
        let value = self.alternatives()?;
        Ok(Field { name, span, is_optional, value })
    }

    /// Parses an expression: alternatives separated by `|`.
    fn alternatives(&mut self) -> Parsed<Expr> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            let message = "values are nested too deep";
            return Err(ConfigError::new(self.span(), message, format!("at most {MAX_DEPTH} levels")));
        }
        self.skip_line_ends();
        let start = self.span().start;
        let mut alternatives = vec![self.alternative()?];
        while self.take_operator("|") {
            alternatives.push(self.alternative()?);
        }
        self.depth -= 1;
        if let [(false, _)] = alternatives[..] {
            let (_, only) = alternatives.remove(0);
            return Ok(only);
        }
        Ok(Expr { span: self.span_since(start), node: Node::Or(alternatives) })
    }

    /// Parses one alternative, and returns whether it is marked as a default.
    fn alternative(&mut self) -> Parsed<(bool, Expr)> {
        let is_default = self.take("*");
        Ok((is_default, self.conjunction()?))
    }

    /// Consumes an operator, which may also stand at the start of a following line.
    fn take_operator(&mut self, sign: &str) -> bool {
        let position = self.position;
        self.skip_line_ends();
        if self.take(sign) {
            self.skip_line_ends();
            return true;
        }
        self.position = position;
        false
    }

    /// Parses terms separated by `&`.
    fn conjunction(&mut self) -> Parsed<Expr> {
        let start = self.span().start;
        let mut terms = vec![self.term()?];
        while self.take_operator("&") {
            terms.push(self.term()?);
        }
        if terms.len() == 1 {
            return Ok(terms.remove(0));
        }
        Ok(Expr { span: self.span_since(start), node: Node::And(terms) })
    }

    fn term(&mut self) -> Parsed<Expr> {
        let start = self.span().start;
        let comparison = COMPARISONS.into_iter().find(|comparison| self.take(comparison.sign()));
        if let Some(comparison) = comparison {
            let Some(Token::Literal(literal)) = self.peek().cloned() else {
                return self.unexpected("a value after the operator of a bound");
            };
            self.position += 1;
            return Ok(Expr { span: self.span_since(start), node: Node::Bound(comparison, literal) });
        }
        if self.take("{") {
            let fields = self.fields(Some("}"))?;
            return Ok(Expr { span: self.span_since(start), node: Node::Struct(fields) });
        }
        if self.take("[") {
            return self.list(start);
        }
        if self.take("(") {
            return self.rest_of_parentheses();
        }
        match self.peek().cloned() {
            Some(Token::Literal(literal)) => {
                self.position += 1;
                Ok(Expr { span: self.span_since(start), node: Node::Literal(literal) })
            }
            Some(Token::Name(name)) => {
                self.position += 1;
                let names = self.rest_of_path(name)?;
                Ok(Expr { span: self.span_since(start), node: Node::Name(names) })
            }
            _ => self.unexpected("a value, a type or a name"),
        }
    }

    fn rest_of_parentheses(&mut self) -> Parsed<Expr> {
        let inner = self.alternatives()?;
        self.skip_line_ends();
        if !self.take(")") {
            return self.unexpected("`)`");
        }
        Ok(inner)
    }

    /// Parses the rest of a reference after its first name: further names, each after a dot.
    fn rest_of_path(&mut self, first: String) -> Parsed<Vec<String>> {
        let mut names = vec![first];
        while self.take(".") {
            let Some(Token::Name(name)) = self.peek().cloned() else {
                return self.unexpected("a field's name after `.`");
            };
            self.position += 1;
            names.push(name);
        }
        Ok(names)
    }

    /// Parses a list after its opening bracket.
    fn list(&mut self, start: usize) -> Parsed<Expr> {
        let mut items = Vec::new();
        let mut rest = None;
        loop {
            self.skip_line_ends();
            if self.take("]") {
                break;
            }
            if rest.is_some() {
                return self.unexpected("`]` after `...`");
            }
            if self.take("...") {
                rest = Some(Box::new(self.rest_of_list()?));
            } else {
                items.push(self.alternatives()?);
            }
            self.skip_line_ends();
            if !self.is_next("]") && !self.take(",") {
                return self.unexpected("`,` or `]` in the list");
            }
        }
        Ok(Expr { span: self.span_since(start), node: Node::List(items, rest) })
    }

    /// Parses the constraint on further elements after `...`; without one, they may be anything.
    fn rest_of_list(&mut self) -> Parsed<Expr> {
        if self.is_next("]") || self.is_next(",") || self.peek() == Some(&Token::LineEnd) {
            return Ok(Expr { span: self.span(), node: Node::Name(vec!["_".into()]) });
        }
        self.alternatives()
    }
}
