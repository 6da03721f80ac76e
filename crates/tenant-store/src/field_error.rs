//! Why a field of a tenant is refused.

/// A field of a tenant whose value is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct FieldError {
    /// The field, as a path in the tenant's JSON, such as `keys[0].hash`; `name` for the tenant's own name.
    pub field: String,
    /// What is wrong with its value.
    pub problem: FieldProblem,
}

impl FieldError {
    pub(crate) fn new(field: impl Into<String>, problem: FieldProblem) -> FieldError {
        FieldError { field: field.into(), problem }
    }
}

/// What is wrong with a field's value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FieldProblem {
    /// A name without characters.
    #[error("is empty")]
    Empty,
    /// A name that is too long.
    #[error("is {length} bytes of at most {max}")]
    TooLong {
        /// Its length in bytes.
        length: usize,
        /// The longest that is allowed.
        max: usize,
    },
    /// A name with characters that are not allowed.
    #[error("may have a-z, 0-9 and - only")]
    ForbiddenCharacters,
    /// A number that is negative, infinite or none.
    #[error("{0} is no number from 0 up")]
    NotANumberFromZero(f64),
    /// A number that is too large.
    #[error("{found} is over {max}")]
    TooLarge {
        /// The number.
        found: f64,
        /// The largest that is allowed.
        max: f64,
    },
    /// A burst that allows not even one unit.
    #[error("under 1 lets nothing through")]
    BurstBelowOne,
    /// Too many keys.
    #[error("{found} of at most {max}")]
    TooMany {
        /// How many there are.
        found: usize,
        /// How many are allowed.
        max: usize,
    },
    /// A hash of another form.
    #[error("must be 64 hexadecimal digits, a to f small")]
    NotAHash,
    /// Another key of the tenant has the same name or hash.
    #[error("is there twice")]
    Duplicate,
}
