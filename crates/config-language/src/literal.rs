//! Values as they are written out.

/// A value written out.
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
