//! Parses the text of a file to a syntax tree.

use crate::ast::{Comparison, Expr, Field, Node};
use crate::error::ConfigError;
use crate::lexer::{tokens, Token};
use crate::literal::Literal;
use crate::span::Span;

/// How deep expressions may be nested; more is a mistake or an attack on the stack.
const MAX_DEPTH: u32 = 64;

/// Operators of bounds; one that begins with another comes first.
const COMPARISONS: [Comparison; 5] = [
    Comparison::GreaterOrEqual,
    Comparison::LessOrEqual,
    Comparison::NotEqual,
    Comparison::Greater,
    Comparison::Less,
];

/// The fields of a file; else the first error, or all that are no tokens.
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

    /// Where the next token stands.
    fn span(&self) -> Span {
        let end = self.text_length..self.text_length;
        self.tokens.get(self.position).map_or(end, |(_, span)| span.clone())
    }

    /// From a byte to the end of the last token that was taken.
    fn span_since(&self, start: usize) -> Span {
        start..self.tokens[self.position - 1].1.end
    }

    fn is_next(&self, sign: &str) -> bool {
        matches!(self.peek(), Some(Token::Sign(next)) if *next == sign)
    }

    /// Takes a sign if it is next.
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
            None => "the end of the file".into(),
            Some(Token::LineEnd) => "the end of the line".into(),
            Some(Token::Name(name)) => format!("the name {name}"),
            Some(Token::Sign(sign)) => format!("`{sign}`"),
            Some(Token::Literal(_)) => "a value".into(),
        };
        Err(ConfigError::new(self.span(), format!("{found} stands here"), expected))
    }

    /// Fields up to the closing sign, or to the end of the file.
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

    /// An expression: alternatives between `|`.
    fn alternatives(&mut self) -> Parsed<Expr> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            let message = "values stand in each other too deep";
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

    /// One alternative, and whether it is marked as the default.
    fn alternative(&mut self) -> Parsed<(bool, Expr)> {
        let is_default = self.take("*");
        Ok((is_default, self.conjunction()?))
    }

    /// Takes an operator, also from the start of the next line.
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

    /// Terms between `&`.
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
                return self.unexpected("a value after the bound's sign");
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

    /// A name, and those that follow behind points.
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

    /// A list behind its opening bracket.
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

    /// What further elements must be, behind `...`: anything, unless it is said.
    fn rest_of_list(&mut self) -> Parsed<Expr> {
        if self.is_next("]") || self.is_next(",") || self.peek() == Some(&Token::LineEnd) {
            return Ok(Expr { span: self.span(), node: Node::Name(vec!["_".into()]) });
        }
        self.alternatives()
    }
}
