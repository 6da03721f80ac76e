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
    /// The type of a name, as files write it.
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

    /// Its name, as files write it.
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

    /// The type of a literal; null has none.
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

    /// The narrower of two types, if one includes the other.
    pub fn narrower(self, other: ValueType) -> Option<ValueType> {
        match (self, other) {
            (a, b) if a == b => Some(a),
            (ValueType::Int, ValueType::Number) | (ValueType::Number, ValueType::Int) => Some(ValueType::Int),
            _ => None,
        }
    }

    /// Whether a literal has this type.
    pub fn includes(self, literal: &Literal) -> bool {
        ValueType::of(literal).is_some_and(|other| other.narrower(self) == Some(other))
    }

    /// Whether a bound by that literal can limit values of this type.
    pub fn accepts_bound(self, bound: &Literal) -> bool {
        ValueType::of(bound).is_none_or(|bound| self.narrower(bound).is_some())
    }
}
