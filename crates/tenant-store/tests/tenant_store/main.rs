//! Tests of the store with concurrent changes, kills, a full disk and damaged snapshots.

mod changes;
mod crashes;
mod full_disk;
mod serialized_names;
mod snapshots;
mod support;
