//! Errors of the tenant store.

use crate::field_error::FieldError;
use crate::revision::Revision;

/// The reason why a call on the store failed. The stored data is unchanged.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The precondition of the change does not hold; contains the tenant's current revision.
    #[error("the change expects another version of the tenant{}", .0.as_ref().map(|revision| format!(" than the current {}", revision.version)).unwrap_or_default())]
    Conflict(Option<Box<Revision>>),
    /// There is no such tenant.
    #[error("there is no such tenant")]
    NotFound,
    /// A field has an invalid value.
    #[error(transparent)]
    InvalidField(#[from] FieldError),
    /// The maximum number of tenants is reached; contains that maximum.
    #[error("there are {0} tenants already")]
    TooManyTenants(u64),
    /// The database file could not be read or written.
    #[error("the store of tenants: {0}")]
    Database(#[from] Box<redb::Error>),
    /// The database is closed and cannot be reopened.
    #[error("the store of tenants could not be opened again")]
    Closed,
    /// A stored revision cannot be decoded; contains the tenant's name and the JSON error.
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
