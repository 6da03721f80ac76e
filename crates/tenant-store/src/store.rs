//! The tenant store. Each change is one transaction.

use std::path::Path;

use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, WriteTransaction};

use crate::database::{OpenDatabase, ReopeningDatabase};
use crate::error::StoreError;
use crate::revision::Revision;
use crate::tables::{self, CHANGES, HISTORY, LAST_CHANGE, LAST_CHANGE_KEY, TENANTS};
use crate::tenant::{check_name, Tenant};

/// Maximum number of tenants.
const MAX_TENANTS: u64 = 100_000;

/// Maximum number of revisions that one call returns.
const MAX_PAGE_LENGTH: usize = 1_000;

/// A condition on the tenant's current revision under which a change is made.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Precondition {
    /// The tenant does not exist.
    Absent,
    /// The tenant exists and its current revision has this version.
    Version(u64),
}

/// The store of tenants. Threads can share it.
pub struct TenantStore {
    database: ReopeningDatabase,
}

impl TenantStore {
    /// Opens the file, or creates it. A file that was left open by a crash is repaired. After a failed call on the
    /// database, the next call reopens it.
    pub fn open(path: &Path) -> Result<TenantStore, StoreError> {
        let path = path.to_path_buf();
        TenantStore::with_open(Box::new(move || Ok(Database::create(&path)?)))
    }

    /// Creates a store on any storage backend. It cannot be reopened after a failure.
    pub fn with_backend(backend: impl StorageBackend) -> Result<TenantStore, StoreError> {
        TenantStore::new(Database::builder().create_with_backend(backend)?, None)
    }

    /// Creates a store on the backend that `make_backend` returns. After a failure `make_backend` is called again; it
    /// must return a backend with the same contents.
    pub fn with_reopenable_backend<B: StorageBackend>(
        make_backend: impl Fn() -> B + Send + Sync + 'static,
    ) -> Result<TenantStore, StoreError> {
        TenantStore::with_open(Box::new(move || Ok(Database::builder().create_with_backend(make_backend())?)))
    }

    fn with_open(open: OpenDatabase) -> Result<TenantStore, StoreError> {
        TenantStore::new(open()?, Some(open))
    }

    fn new(database: Database, open: Option<OpenDatabase>) -> Result<TenantStore, StoreError> {
        let write = database.begin_write()?;
        tables::create_tables(&write)?;
        write.commit()?;
        Ok(TenantStore { database: ReopeningDatabase::new(database, open) })
    }

    /// Returns the version of the last change, or 0 before the first change.
    pub fn last_version(&self) -> Result<u64, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let version = read.open_table(LAST_CHANGE)?.get(LAST_CHANGE_KEY)?.map(|last| last.value());
            Ok(version.unwrap_or(0))
        })
    }

    /// Returns the current revision of a tenant, or `None` if the tenant does not exist.
    pub fn get(&self, name: &str) -> Result<Option<Revision>, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let tenants = read.open_table(TENANTS)?;
            let bytes = tenants.get(name)?;
            bytes.map(|bytes| tables::decode(name, bytes.value())).transpose()
        })
    }

    /// Returns the current revisions of up to `limit` tenants whose names come after `after`, ordered by name.
    pub fn list(&self, after: &str, limit: usize) -> Result<Vec<Revision>, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let tenants = read.open_table(TENANTS)?;
            let mut page = vec![];
            for row in tenants.range(after..)? {
                let (name, bytes) = row?;
                if name.value() != after {
                    page.push(tables::decode(name.value(), bytes.value())?);
                }
                if page.len() >= limit.min(MAX_PAGE_LENGTH) {
                    break;
                }
            }
            Ok(page)
        })
    }

    /// Returns up to `limit` revisions of a tenant with versions below `before`, the latest first. The history of a
    /// removed tenant is kept.
    pub fn history(&self, name: &str, before: u64, limit: usize) -> Result<Vec<Revision>, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let history = read.open_table(HISTORY)?;
            let rows = history.range((name, 0)..(name, before))?.rev().take(limit.min(MAX_PAGE_LENGTH));
            let mut page = vec![];
            for row in rows {
                let (_, bytes) = row?;
                page.push(tables::decode(name, bytes.value())?);
            }
            Ok(page)
        })
    }

    /// Returns up to `limit` revisions of all tenants with versions above `after`, in order. A reader that follows the
    /// store gets the changes that it missed with this.
    pub fn changes(&self, after: u64, limit: usize) -> Result<Vec<Revision>, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let changes = read.open_table(CHANGES)?;
            let history = read.open_table(HISTORY)?;
            let mut page = vec![];
            for row in changes.range(after.saturating_add(1)..)?.take(limit.min(MAX_PAGE_LENGTH)) {
                let (version, name) = row?;
                if let Some(bytes) = history.get((name.value(), version.value()))? {
                    page.push(tables::decode(name.value(), bytes.value())?);
                }
            }
            Ok(page)
        })
    }

    /// Adds or changes a tenant, or removes it (`tenant` is `None`), if the precondition holds. The returned revision
    /// is on the disk.
    pub fn change(
        &self,
        at: u64,
        by: &str,
        name: &str,
        precondition: Precondition,
        tenant: Option<Tenant>,
    ) -> Result<Revision, StoreError> {
        check_name("name", name)?;
        if let Some(tenant) = &tenant {
            tenant.check()?;
        }
        self.database.with(|database| {
            let write = database.begin_write()?;
            check_precondition(&write, name, precondition, tenant.is_some())?;
            let version = next_version(&write)?;
            let revision = Revision {
                name: name.to_string(),
                version,
                changed_at: at,
                changed_by: by.to_string(),
                tenant,
            };
            tables::insert_revision(&write, &revision)?;
            tables::prune(&write, name, version)?;
            write.commit()?;
            Ok(revision)
        })
    }

    /// Returns all stored revisions, ordered by version.
    pub(crate) fn all_revisions(&self) -> Result<Vec<Revision>, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let mut revisions = vec![];
            for row in read.open_table(HISTORY)?.iter()? {
                let (key, bytes) = row?;
                let (name, _) = key.value();
                revisions.push(tables::decode(name, bytes.value())?);
            }
            revisions.sort_by_key(|revision| revision.version);
            Ok(revisions)
        })
    }

    /// Replaces all stored data in one transaction. Versions continue from the higher of `last_version` and the store's
    /// previous last version.
    pub(crate) fn replace_all(&self, revisions: &[Revision], last_version: u64) -> Result<(), StoreError> {
        self.database.with(|database| {
            let write = database.begin_write()?;
            write.delete_table(TENANTS)?;
            write.delete_table(HISTORY)?;
            write.delete_table(CHANGES)?;
            tables::create_tables(&write)?;
            for revision in revisions {
                tables::insert_revision(&write, revision)?;
            }
            {
                let mut last_change = write.open_table(LAST_CHANGE)?;
                let previous_version = last_change.get(LAST_CHANGE_KEY)?.map_or(0, |last| last.value());
                last_change.insert(LAST_CHANGE_KEY, last_version.max(previous_version))?;
            }
            write.commit()?;
            Ok(())
        })
    }
}

/// Fails if the precondition does not hold or if the change would add a tenant beyond [`MAX_TENANTS`].
fn check_precondition(
    write: &WriteTransaction,
    name: &str,
    precondition: Precondition,
    tenant_remains: bool,
) -> Result<(), StoreError> {
    let tenants = write.open_table(TENANTS)?;
    let current = tenants.get(name)?.map(|bytes| tables::decode(name, bytes.value())).transpose()?;
    match (precondition, &current) {
        (Precondition::Absent, None) if tenant_remains => {}
        (Precondition::Version(version), Some(current)) if version == current.version => {}
        (_, None) => return Err(StoreError::NotFound),
        (_, Some(_)) => return Err(StoreError::Conflict(current.map(Box::new))),
    }
    if current.is_none() && redb::ReadableTableMetadata::len(&tenants)? >= MAX_TENANTS {
        return Err(StoreError::TooManyTenants(MAX_TENANTS));
    }
    Ok(())
}

/// Increments the version of the last change and returns it.
fn next_version(write: &WriteTransaction) -> Result<u64, StoreError> {
    let mut last_change = write.open_table(LAST_CHANGE)?;
    let version = last_change.get(LAST_CHANGE_KEY)?.map_or(0, |last| last.value()) + 1;
    last_change.insert(LAST_CHANGE_KEY, version)?;
    Ok(version)
}
