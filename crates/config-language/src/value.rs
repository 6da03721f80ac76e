//! Values at every degree of knowledge, from unconstrained to concrete.

use crate::ast::Comparison;
use crate::literal::Literal;
use crate::span::Span;
use crate::value_type::ValueType;

/// A value and its position in the file, which is `0..0` for values from the program's definitions.
#[derive(Clone, Debug)]
pub struct Value {
    pub span: Span,
    pub shape: Shape,
}

/// What is known of a value.
#[derive(Clone, Debug)]
pub enum Shape {
    /// Nothing: any value fits.
    Any,
    /// Its type and bounds. The type is `None` if only bounds without a type of their own are known.
    Limited(Option<ValueType>, Vec<(Comparison, Literal)>),
    /// The concrete value.
    Literal(Literal),
    /// Its fields; a closed struct accepts no others.
    Struct { fields: Vec<(String, Slot)>, is_closed: bool },
    /// Its elements, and the constraint on any further elements; without one, further elements are not allowed.
    List(Vec<Value>, Option<Box<Value>>),
    /// Alternatives, each with whether it is marked as a default.
    Or(Vec<(bool, Value)>),
    /// The value is invalid, and an error was already reported for it.
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

    /// Returns a value for which an error was already reported.
    pub fn invalid(span: Span) -> Value {
        Value::new(span, Shape::Invalid)
    }

    pub fn is_invalid(&self) -> bool {
        matches!(self.shape, Shape::Invalid)
    }
}
