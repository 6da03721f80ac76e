//! Validation errors of a tenant's fields.

/// A field of a tenant with an invalid value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct FieldError {
    /// Path of the field in the tenant's JSON, such as `keys[0].hash`; `name` for the tenant's own name.
    pub field: String,
    /// The problem with its value.
    pub problem: FieldProblem,
}

impl FieldError {
    pub(crate) fn new(field: impl Into<String>, problem: FieldProblem) -> FieldError {
        FieldError { field: field.into(), problem }
    }
}

/// A problem with a field's value. The texts are part of the administration API's error responses.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FieldProblem {
    /// An empty name.
    #[error("is empty")]
    Empty,
    /// A name that is too long.
    #[error("is {length} bytes of at most {max}")]
    TooLong {
        /// Length of the name in bytes.
        length: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// A name with characters that are not allowed.
    #[error("may have a-z, 0-9 and - only")]
    ForbiddenCharacters,
    /// A number that is negative, infinite or NaN.
    #[error("{0} is no number from 0 up")]
    NotANumberFromZero(f64),
    /// A number that is too large.
    #[error("{found} is over {max}")]
    TooLarge {
        /// The invalid number.
        found: f64,
        /// The maximum.
        max: f64,
    },
    /// A burst below 1, under which no unit could pass.
    #[error("under 1 lets nothing through")]
    BurstBelowOne,
    /// Too many keys.
    #[error("{found} of at most {max}")]
    TooMany {
        /// Number of keys.
        found: usize,
        /// Maximum number of keys.
        max: usize,
    },
    /// A text that is not a hash.
    #[error("must be 64 hexadecimal digits, a to f small")]
    NotAHash,
    /// Another key of the tenant has the same name or hash.
    #[error("is there twice")]
    Duplicate,
}
