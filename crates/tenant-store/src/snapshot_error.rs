//! Errors of snapshots.

use crate::error::StoreError;
use crate::field_error::FieldError;

/// Why a snapshot could not be written or restored. A store that could not be restored is unchanged.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// Reading or writing failed.
    #[error("the snapshot could not be read or written: {0}")]
    Io(#[from] std::io::Error),
    /// A line is refused.
    #[error("line {line} of the snapshot: {error}")]
    Line {
        /// Number of the line, from 1; 0 while writing.
        line: usize,
        /// What is wrong with it.
        error: LineError,
    },
    /// It ends before its footer.
    #[error("the snapshot ends before its last line")]
    Truncated,
    /// The footer does not fit the lines before it.
    #[error("the snapshot was changed: its checksum is another")]
    ChecksumMismatch,
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// What is wrong with a line of a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// Not the JSON that is expected there.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The header names another format.
    #[error("{found:?} is not {expected:?}")]
    Format {
        /// The format that it names.
        found: String,
        /// The format that is read.
        expected: &'static str,
    },
    /// A field of a tenant has a value that is refused.
    #[error(transparent)]
    InvalidField(#[from] FieldError),
    /// A version that is not higher than those before it, or higher than the header's.
    #[error("version {0} is out of order")]
    VersionOutOfOrder(u64),
}
