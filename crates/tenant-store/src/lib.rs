//! The durable store of tenants. It holds the configuration of each tenant with the hashes of its keys, and the history
//! of all changes: who made each change, and when.
//!
//! [`TenantStore`] keeps all data in one file. A change names the version on which it is based (optimistic concurrency
//! control). Of two concurrent changes to a tenant, the second fails and gets the revision that the first one made. A
//! change that [`TenantStore::change`] has confirmed survives a crash at any time. A snapshot is one compressed stream
//! and is restored completely or not at all.

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
