//! Why settings are refused.

/// Why settings are refused: the key, and what is wrong with its value.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("the settings do not parse: {0}")]
    Json(String),
    /// A key is missing that has no default.
    #[error("the settings lack {0}")]
    Missing(&'static str),
    /// Not a number, or a negative one.
    #[error("{0} in the settings is not a number of 0 or more")]
    NotANumber(&'static str),
    /// Not a boolean.
    #[error("{0} in the settings is neither true nor false")]
    NotABoolean(&'static str),
    /// Not an array.
    #[error("{0} in the settings is not a list")]
    NotAList(&'static str),
    /// Not a string.
    #[error("{0} in the settings is not a word")]
    NotAString(&'static str),
    /// A time that must be over zero.
    #[error("{key} in the settings is {found}: milliseconds over 0 are needed")]
    TimeNotOverZero {
        /// The key.
        key: &'static str,
        /// Its value, as JSON.
        found: String,
    },
    /// A number of a class that must be over zero.
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
    #[error("classes[{class}].name in the settings is {name:?} again: each class needs a name of its own")]
    DuplicateClassName {
        /// Index of the second of them, among the classes that have a name.
        class: usize,
        /// Their name.
        name: String,
    },
    /// Not one number of 0 or more for each class.
    #[error("{0} in the settings is not a number of 0 or more for each of classes")]
    NotANumberPerClass(&'static str),
    /// A string that is none of the key's values.
    #[error("{key} {found:?} in the settings is unknown")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// Its value.
        found: String,
    },
    /// A role that is none of the known ones.
    #[error("{key} {found} in the settings is unknown")]
    UnknownRole {
        /// The key.
        key: &'static str,
        /// The role, as JSON.
        found: String,
    },
    /// The number of roles is not the number of worker kinds.
    #[error("{0} in the settings does not name one role for each of kinds")]
    RolesDoNotMatchKinds(&'static str),
    /// No worker kind can prefill.
    #[error("{0} in the settings names no kind that reads")]
    NoPrefillWorkers(&'static str),
    /// No worker kind can decode.
    #[error("{0} in the settings names no kind that writes")]
    NoDecodeWorkers(&'static str),
    /// The maximum number of attempts is zero.
    #[error("{0} in the settings allows no attempt")]
    NoAttempts(&'static str),
}
