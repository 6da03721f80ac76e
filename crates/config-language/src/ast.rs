//! The syntax tree: fields and expressions, with their places in the file.

use crate::literal::Literal;
use crate::span::Span;

/// An expression and where it stands.
#[derive(Clone, Debug)]
pub struct Expr {
    pub span: Span,
    pub node: Node,
}

/// What an expression is.
#[derive(Clone, Debug)]
pub enum Node {
    Literal(Literal),
    /// A bound such as `>0s`.
    Bound(Comparison, Literal),
    Struct(Vec<Field>),
    /// Elements, and what any further ones must be; without it there are none.
    List(Vec<Expr>, Option<Box<Expr>>),
    /// A name, and fields to follow from there.
    Name(Vec<String>),
    /// Parts that must all hold.
    And(Vec<Expr>),
    /// Alternatives, the default ones marked.
    Or(Vec<(bool, Expr)>),
}

/// The operator of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Greater,
    GreaterOrEqual,
    Less,
    LessOrEqual,
    NotEqual,
}

impl Comparison {
    /// The operator as it is written.
    pub fn sign(self) -> &'static str {
        match self {
            Comparison::Greater => ">",
            Comparison::GreaterOrEqual => ">=",
            Comparison::Less => "<",
            Comparison::LessOrEqual => "<=",
            Comparison::NotEqual => "!=",
        }
    }
}

/// A field of a struct or of a file.
#[derive(Clone, Debug)]
pub struct Field {
    pub name: String,
    /// Where its name stands.
    pub span: Span,
    pub is_optional: bool,
    pub value: Expr,
}

impl Field {
    /// Whether a name is a definition's or a hidden field's: those serve others and are no part of the result.
    pub fn is_hidden(name: &str) -> bool {
        name.starts_with(['#', '_'])
    }
}
