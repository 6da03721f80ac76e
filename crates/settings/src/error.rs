//! Errors of reading the settings.

/// Reason for which settings are rejected: the key, and what is wrong with its value.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("the settings do not parse: {0}")]
    Json(String),
    /// A key without a default is missing.
    #[error("{0} is missing in the settings")]
    Missing(&'static str),
    /// The value is not a number, or is negative.
    #[error("{0} in the settings is not a number of 0 or more")]
    NotANumber(&'static str),
    /// The value is not a boolean.
    #[error("{0} in the settings is neither true nor false")]
    NotABoolean(&'static str),
    /// The value is not an array.
    #[error("{0} in the settings is not a list")]
    NotAList(&'static str),
    /// The value is not a string.
    #[error("{0} in the settings is not a string")]
    NotAString(&'static str),
    /// A time that must be greater than 0 is not.
    #[error("{key} in the settings is {found}: milliseconds over 0 are needed")]
    TimeNotOverZero {
        /// The key.
        key: &'static str,
        /// Its value, as JSON.
        found: String,
    },
    /// A number of a class that must be greater than 0 is missing or is not.
    #[error("classes[{class}].{key} in the settings is {found}: a number over 0 is needed")]
    ClassNumberNotOverZero {
        /// Index of the class.
        class: usize,
        /// The key within the class.
        key: &'static str,
        /// Its value, as JSON, or `missing`.
        found: String,
    },
    /// Two classes have the same name.
    #[error("classes[{class}].name in the settings is {name:?} again: each class needs a unique name")]
    DuplicateClassName {
        /// Index of the second of these classes, among the classes that have a name.
        class: usize,
        /// Name of both classes.
        name: String,
    },
    /// The value is not a list with a number of 0 or more for each class.
    #[error("{0} in the settings is not a list with a number of 0 or more for each entry of classes")]
    NotANumberPerClass(&'static str),
    /// The value is a string, but none of those that the key accepts.
    #[error("{key} in the settings is {found:?}, which is not a known value")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// Its value.
        found: String,
    },
    /// A role of a worker kind is not a known one.
    #[error("{key} in the settings has the entry {found}, which is not a known role")]
    UnknownRole {
        /// The key.
        key: &'static str,
        /// The role, as JSON.
        found: String,
    },
    /// The number of roles differs from the number of worker kinds.
    #[error("{0} in the settings does not name one role for each entry of kinds")]
    RolesDoNotMatchKinds(&'static str),
    /// No worker kind can prefill.
    #[error("{0} in the settings names no worker kind that can prefill")]
    NoPrefillWorkers(&'static str),
    /// No worker kind can decode.
    #[error("{0} in the settings names no worker kind that can decode")]
    NoDecodeWorkers(&'static str),
    /// The maximum number of attempts is 0.
    #[error("{0} in the settings allows no attempt: a number of 1 or more is needed")]
    NoAttempts(&'static str),
}
