//! The basic types of values.

use crate::literal::Literal;

/// A basic type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    Bool,
    Int,
    /// A number with or without a fraction.
    Number,
    Text,
    Duration,
    Size,
}

impl ValueType {
    /// Returns the type that files write by that name.
    pub fn from_name(name: &str) -> Option<ValueType> {
        Some(match name {
            "bool" => ValueType::Bool,
            "int" => ValueType::Int,
            "number" => ValueType::Number,
            "string" => ValueType::Text,
            "duration" => ValueType::Duration,
            "size" => ValueType::Size,
            _ => return None,
        })
    }

    /// Returns the name that files write.
    pub fn name(self) -> &'static str {
        match self {
            ValueType::Bool => "bool",
            ValueType::Int => "int",
            ValueType::Number => "number",
            ValueType::Text => "string",
            ValueType::Duration => "duration",
            ValueType::Size => "size",
        }
    }

    /// Returns the type of a literal; `None` for null.
    pub fn of(literal: &Literal) -> Option<ValueType> {
        Some(match literal {
            Literal::Null => return None,
            Literal::Bool(_) => ValueType::Bool,
            Literal::Int(_) => ValueType::Int,
            Literal::Float(_) => ValueType::Number,
            Literal::Text(_) => ValueType::Text,
            Literal::Duration(_) => ValueType::Duration,
            Literal::Size(_) => ValueType::Size,
        })
    }

    /// Returns the narrower of two types, or `None` if neither includes the other.
    pub fn narrower(self, other: ValueType) -> Option<ValueType> {
        match (self, other) {
            (a, b) if a == b => Some(a),
            (ValueType::Int, ValueType::Number) | (ValueType::Number, ValueType::Int) => Some(ValueType::Int),
            _ => None,
        }
    }

    /// Returns whether a literal has this type.
    pub fn includes(self, literal: &Literal) -> bool {
        ValueType::of(literal).is_some_and(|other| other.narrower(self) == Some(other))
    }

    /// Returns whether a bound by that literal can apply to values of this type.
    pub fn accepts_bound(self, bound: &Literal) -> bool {
        ValueType::of(bound).is_none_or(|bound| self.narrower(bound).is_some())
    }
}
