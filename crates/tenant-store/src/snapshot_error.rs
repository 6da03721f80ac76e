//! Errors of snapshots.

use crate::error::StoreError;
use crate::field_error::FieldError;

/// The reason why a snapshot could not be written or restored. After a failed restore the store is unchanged.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// Reading or writing failed.
    #[error("the snapshot could not be read or written: {0}")]
    Io(#[from] std::io::Error),
    /// A line is invalid, or could not be encoded.
    #[error("line {line} of the snapshot: {error}")]
    Line {
        /// Number of the line, from 1; 0 if the snapshot is being written.
        line: usize,
        /// The problem with the line.
        error: LineError,
    },
    /// The snapshot ends before its footer, or its last line is not a footer.
    #[error("the snapshot is truncated: it ends without a valid footer")]
    Truncated,
    /// The footer does not match the lines before it.
    #[error("the snapshot is damaged: the number of revisions or the checksum in the footer does not match its lines")]
    ChecksumMismatch,
    /// A call on the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// A problem with a line of a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not valid JSON of a header (line 1) or of a revision (the other lines).
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The header names another format.
    #[error("unknown format {found:?}; expected {expected:?}")]
    Format {
        /// The format that the header names.
        found: String,
        /// The supported format.
        expected: &'static str,
    },
    /// A field of a tenant has an invalid value.
    #[error(transparent)]
    InvalidField(#[from] FieldError),
    /// The version is not higher than that of the revision before, or is higher than the last version in the header.
    #[error("version {0} is out of order: versions must rise from line to line, up to the last version in the header")]
    VersionOutOfOrder(u64),
}
