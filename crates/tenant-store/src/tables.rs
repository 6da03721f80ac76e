//! The tables of the database, and how much history is kept. Their names are part of the stored data.

use redb::{ReadableTable, TableDefinition, WriteTransaction};

use crate::error::StoreError;
use crate::revision::Revision;

/// Present revisions of all tenants, as JSON, by name.
pub(crate) const TENANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("tenants");

/// Revisions as JSON, by name and version.
pub(crate) const HISTORY: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("history");

/// The tenant that each change concerned, by version.
pub(crate) const CHANGES: TableDefinition<u64, &str> = TableDefinition::new("changes");

/// The number of the last change, under [`LAST_CHANGE_KEY`].
pub(crate) const LAST_CHANGE: TableDefinition<&str, u64> = TableDefinition::new("last");

/// The only key of [`LAST_CHANGE`].
pub(crate) const LAST_CHANGE_KEY: &str = "change";

/// Revisions kept of one tenant; older ones are dropped.
const REVISIONS_KEPT_PER_TENANT: usize = 1_000;

/// Changes kept of all tenants together; older ones are dropped.
const CHANGES_KEPT: u64 = 100_000;

/// Creates the tables that do not exist yet.
pub(crate) fn create_tables(write: &WriteTransaction) -> Result<(), StoreError> {
    write.open_table(TENANTS)?;
    write.open_table(HISTORY)?;
    write.open_table(CHANGES)?;
    write.open_table(LAST_CHANGE)?;
    Ok(())
}

pub(crate) fn decode(name: &str, bytes: &[u8]) -> Result<Revision, StoreError> {
    serde_json::from_slice(bytes).map_err(|error| StoreError::Corrupt(format!("{name}: {error}")))
}

pub(crate) fn encode(revision: &Revision) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(revision).map_err(|error| StoreError::Corrupt(error.to_string()))
}

/// Writes a revision to the tables of tenants, history and changes.
pub(crate) fn insert_revision(write: &WriteTransaction, revision: &Revision) -> Result<(), StoreError> {
    let name = revision.name.as_str();
    let bytes = encode(revision)?;
    let mut tenants = write.open_table(TENANTS)?;
    if revision.tenant.is_some() {
        tenants.insert(name, bytes.as_slice())?;
    } else {
        tenants.remove(name)?;
    }
    write.open_table(HISTORY)?.insert((name, revision.version), bytes.as_slice())?;
    write.open_table(CHANGES)?.insert(revision.version, name)?;
    Ok(())
}

/// Drops the revisions of a tenant, and the changes of all, that are too old to be kept.
pub(crate) fn prune(write: &WriteTransaction, name: &str, last_version: u64) -> Result<(), StoreError> {
    let mut history = write.open_table(HISTORY)?;
    let mut changes = write.open_table(CHANGES)?;
    let mut versions = vec![];
    for row in history.range((name, 0)..=(name, u64::MAX))? {
        let (key, _) = row?;
        versions.push(key.value().1);
    }
    for version in versions.iter().rev().skip(REVISIONS_KEPT_PER_TENANT) {
        history.remove((name, *version))?;
        changes.remove(*version)?;
    }
    if let Some(version) = last_version.checked_sub(CHANGES_KEPT) {
        changes.remove(version)?;
    }
    Ok(())
}
