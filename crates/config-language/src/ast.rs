//! The syntax tree: fields and expressions with their positions in the file.

use crate::literal::Literal;
use crate::span::Span;

/// An expression and its position.
#[derive(Clone, Debug)]
pub struct Expr {
    pub span: Span,
    pub node: Node,
}

/// The kinds of expression.
#[derive(Clone, Debug)]
pub enum Node {
    Literal(Literal),
    /// A bound such as `>0s`.
    Bound(Comparison, Literal),
    Struct(Vec<Field>),
    /// Elements, and the constraint on any further elements; without one, further elements are not allowed.
    List(Vec<Expr>, Option<Box<Expr>>),
    /// A reference: a name, followed by the names of nested fields.
    Name(Vec<String>),
    /// A conjunction: the value must satisfy all parts.
    And(Vec<Expr>),
    /// A disjunction; each alternative comes with whether it is marked as a default.
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
    /// Returns the operator as files write it.
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
    /// Position of the name.
    pub span: Span,
    pub is_optional: bool,
    pub value: Expr,
}

impl Field {
    /// Returns whether a name is that of a definition or a hidden field. Such fields can be referred to, but are not part
    /// of the result.
    pub fn is_hidden(name: &str) -> bool {
        name.starts_with(['#', '_'])
    }
}
