//! Concrete values.

/// A concrete value as a file writes it.
#[derive(Clone, Debug, PartialEq)]
pub enum Literal {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    /// Microseconds.
    Duration(i64),
    /// Bytes.
    Size(i64),
}
