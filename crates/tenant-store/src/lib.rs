//! The durable record of tenants: what each may, its keys as hashes, every change with who and when.
//!
//! [`Store`] keeps it in one file. A change names the version that it was made from, so that of two made at once
//! one learns what the other did; what [`Store::change`] confirmed is there after a kill at any moment. Snapshots
//! are one compressed stream and are taken back whole or not at all.

mod record;
mod snapshot;
mod store;

pub use record::{Entry, Fault, Key, Rate, Tenant};
pub use snapshot::SnapshotError;
pub use store::{Expected, Store, StoreError};
