//! Errors of the store.

use crate::field_error::FieldError;
use crate::revision::Revision;

/// Why a call on the store failed. Nothing was changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The tenant is not as the change expects; holds its present revision.
    #[error("the tenant is at another version{}", .0.as_ref().map(|e| format!(" ({})", e.version)).unwrap_or_default())]
    Conflict(Option<Box<Revision>>),
    /// There is no such tenant.
    #[error("there is no such tenant")]
    NotFound,
    /// A field has a value that is refused.
    #[error(transparent)]
    InvalidField(#[from] FieldError),
    /// No further tenant can be added; holds the limit.
    #[error("there are {0} tenants already")]
    TooManyTenants(u64),
    /// The file could not be read or written.
    #[error("the store of tenants: {0}")]
    Database(#[from] Box<redb::Error>),
    /// A call on the database failed before, and the database cannot be opened again.
    #[error("the store of tenants could not be opened again")]
    Closed,
    /// The store holds what cannot be read; says where.
    #[error("the store of tenants holds what cannot be read, at {0}")]
    Corrupt(String),
}

macro_rules! impl_from_redb_errors {
    ($($error:ident),*) => {
        $(impl From<redb::$error> for StoreError {
            fn from(error: redb::$error) -> StoreError {
                StoreError::Database(Box::new(error.into()))
            }
        })*
    };
}

impl_from_redb_errors!(DatabaseError, TransactionError, TableError, StorageError, CommitError);
