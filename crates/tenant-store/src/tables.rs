//! The tables of the database, and how much history they keep. The names of the tables are part of the stored data.

use redb::{ReadableTable, TableDefinition, WriteTransaction};

use crate::error::StoreError;
use crate::revision::Revision;

/// The current revision of each tenant as JSON, by name.
pub(crate) const TENANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("tenants");

/// All kept revisions as JSON, by name and version.
pub(crate) const HISTORY: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("history");

/// The name of the tenant that each change concerned, by version.
pub(crate) const CHANGES: TableDefinition<u64, &str> = TableDefinition::new("changes");

/// The version of the last change, under [`LAST_CHANGE_KEY`].
pub(crate) const LAST_CHANGE: TableDefinition<&str, u64> = TableDefinition::new("last");

/// The only key of [`LAST_CHANGE`].
pub(crate) const LAST_CHANGE_KEY: &str = "change";

/// Number of revisions kept per tenant; older ones are deleted.
const REVISIONS_KEPT_PER_TENANT: usize = 1_000;

/// Number of changes kept of all tenants together; older ones are deleted.
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

/// Deletes the revisions of a tenant, and the change of any tenant, that are now beyond the numbers kept.
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
