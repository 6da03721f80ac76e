//! Descriptions of values for error messages.

use crate::literal::Literal;
use crate::value::{Shape, Value};

/// A unit's name and its size in microseconds or bytes.
type Unit = (&'static str, i64);

/// The units in which durations are shown, largest first.
const TIME_UNITS: [Unit; 3] = [("s", 1_000_000), ("ms", 1_000), ("us", 1)];
/// The units in which sizes are shown, largest first.
const SIZE_UNITS: [Unit; 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Returns a literal as a file could write it.
pub fn describe_literal(literal: &Literal) -> String {
    match literal {
        Literal::Null => "null".into(),
        Literal::Bool(bool) => bool.to_string(),
        Literal::Int(int) => int.to_string(),
        Literal::Float(float) => float.to_string(),
        Literal::Text(text) => format!("{text:?}"),
        Literal::Duration(micros) => in_largest_unit(*micros, &TIME_UNITS),
        Literal::Size(bytes) => in_largest_unit(*bytes, &SIZE_UNITS),
    }
}

fn in_largest_unit(value: i64, units: &[Unit]) -> String {
    let (name, size) = units.iter().find(|(_, size)| value % size == 0).copied().unwrap_or(("", 1));
    format!("{}{name}", value / size)
}

/// Describes the constraint that a value sets.
pub fn describe_expected(value: &Value) -> String {
    match &value.shape {
        Shape::Any | Shape::Invalid => "a value".into(),
        Shape::Literal(literal) => describe_literal(literal),
        Shape::Limited(value_type, bounds) => {
            let name = value_type.map(|value_type| value_type.name().to_string());
            let bounds = bounds
                .iter()
                .map(|(comparison, bound)| format!("{}{}", comparison.sign(), describe_literal(bound)));
            name.into_iter().chain(bounds).collect::<Vec<_>>().join(" & ")
        }
        Shape::Struct { .. } => "a struct".into(),
        Shape::List(..) => "a list".into(),
        Shape::Or(alternatives) => {
            let alternatives = alternatives.iter().map(|(_, alternative)| describe_expected(alternative));
            alternatives.collect::<Vec<_>>().join(" or ")
        }
    }
}
