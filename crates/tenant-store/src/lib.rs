//! The durable store of tenants: the configuration of each, the hashes of its keys, and a history of all changes with who
//! made them and when.
//!
//! [`TenantStore`] keeps all of it in one file. A change names the version that it was made from (optimistic concurrency
//! control), so that of two concurrent changes one fails and learns of the other. A change that
//! [`TenantStore::change`] confirmed survives a crash at any moment. Snapshots are one compressed stream, and are restored
//! whole or not at all.

#![warn(missing_docs)]

mod database;
mod error;
mod field_error;
mod revision;
mod snapshot;
mod snapshot_error;
mod store;
mod tables;
mod tenant;

pub use error::StoreError;
pub use field_error::{FieldError, FieldProblem};
pub use revision::Revision;
pub use snapshot_error::{LineError, SnapshotError};
pub use store::{Precondition, TenantStore};
pub use tenant::{Key, Rate, Tenant};
