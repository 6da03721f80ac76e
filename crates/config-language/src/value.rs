//! Values, from "anything" down to written-out ones.

use crate::ast::Comparison;
use crate::literal::Literal;
use crate::span::Span;
use crate::value_type::ValueType;

/// A value and where it stands in the file; at `0..0` if it comes from the program's definitions.
#[derive(Clone, Debug)]
pub struct Value {
    pub span: Span,
    pub shape: Shape,
}

/// What is known of a value.
#[derive(Clone, Debug)]
pub enum Shape {
    /// Nothing.
    Any,
    /// Its type and bounds; no type where only bounds of a type are known.
    Limited(Option<ValueType>, Vec<(Comparison, Literal)>),
    /// All: it is written out.
    Literal(Literal),
    /// Its fields; a closed struct has no others.
    Struct { fields: Vec<(String, Slot)>, is_closed: bool },
    /// Its elements, and what further ones must be; without it there are none.
    List(Vec<Value>, Option<Box<Value>>),
    /// Alternatives, the default ones marked.
    Or(Vec<(bool, Value)>),
    /// It is wrong, and an error was already reported for it.
    Invalid,
}

/// A field's value.
#[derive(Clone, Debug)]
pub struct Slot {
    pub is_optional: bool,
    pub value: Value,
}

impl Value {
    pub fn new(span: Span, shape: Shape) -> Value {
        Value { span, shape }
    }

    /// A value for which an error was already reported.
    pub fn invalid(span: Span) -> Value {
        Value::new(span, Shape::Invalid)
    }

    pub fn is_invalid(&self) -> bool {
        matches!(self.shape, Shape::Invalid)
    }
}
