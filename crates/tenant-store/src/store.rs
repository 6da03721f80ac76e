//! The store. Each change is one transaction.

use std::path::Path;

use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, WriteTransaction};

use crate::database::{OpenDatabase, ReopeningDatabase};
use crate::error::StoreError;
use crate::revision::Revision;
use crate::tables::{self, CHANGES, HISTORY, LAST_CHANGE, LAST_CHANGE_KEY, TENANTS};
use crate::tenant::{check_name, Tenant};

/// Tenants at most.
const MAX_TENANTS: u64 = 100_000;

/// Revisions that one call returns at most.
const MAX_PAGE: usize = 1_000;

/// What a change expects of the tenant.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Precondition {
    /// There is no such tenant.
    Absent,
    /// The tenant is at this version.
    Version(u64),
}

/// The store of tenants. It can be shared between threads.
pub struct TenantStore {
    database: ReopeningDatabase,
}

impl TenantStore {
    /// Opens the file, or creates it. A file that a crash left behind is repaired, and the database is opened again after
    /// a call on it has failed.
    pub fn open(path: &Path) -> Result<TenantStore, StoreError> {
        let path = path.to_path_buf();
        TenantStore::with_open(Box::new(move || Ok(Database::create(&path)?)))
    }

    /// A store on another kind of storage. It cannot be opened again after a failure.
    pub fn with_backend(backend: impl StorageBackend) -> Result<TenantStore, StoreError> {
        TenantStore::new(Database::builder().create_with_backend(backend)?, None)
    }

    /// A store on another kind of storage, which `make_backend` opens again, with what it holds, after a failure.
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

    /// The number of the last change; 0 before the first.
    pub fn last_version(&self) -> Result<u64, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let version = read.open_table(LAST_CHANGE)?.get(LAST_CHANGE_KEY)?.map(|last| last.value());
            Ok(version.unwrap_or(0))
        })
    }

    /// The present revision of a tenant; `None` if there is no such tenant.
    pub fn get(&self, name: &str) -> Result<Option<Revision>, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let tenants = read.open_table(TENANTS)?;
            let bytes = tenants.get(name)?;
            bytes.map(|bytes| tables::decode(name, bytes.value())).transpose()
        })
    }

    /// Up to `limit` tenants in the order of their names, those after the name `after`.
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
                if page.len() >= limit.min(MAX_PAGE) {
                    break;
                }
            }
            Ok(page)
        })
    }

    /// Up to `limit` revisions of a tenant before version `before`, the latest first; also of a tenant that was removed.
    pub fn history(&self, name: &str, before: u64, limit: usize) -> Result<Vec<Revision>, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let history = read.open_table(HISTORY)?;
            let rows = history.range((name, 0)..(name, before))?.rev().take(limit.min(MAX_PAGE));
            let mut page = vec![];
            for row in rows {
                let (_, bytes) = row?;
                page.push(tables::decode(name, bytes.value())?);
            }
            Ok(page)
        })
    }

    /// Up to `limit` revisions of all tenants after version `after`, in order: what a reader that follows the store has
    /// missed.
    pub fn changes(&self, after: u64, limit: usize) -> Result<Vec<Revision>, StoreError> {
        self.database.with(|database| {
            let read = database.begin_read()?;
            let changes = read.open_table(CHANGES)?;
            let history = read.open_table(HISTORY)?;
            let mut page = vec![];
            for row in changes.range(after.saturating_add(1)..)?.take(limit.min(MAX_PAGE)) {
                let (version, name) = row?;
                if let Some(bytes) = history.get((name.value(), version.value()))? {
                    page.push(tables::decode(name.value(), bytes.value())?);
                }
            }
            Ok(page)
        })
    }

    /// Adds or changes a tenant, or removes it (`tenant` is `None`), if the precondition holds. Once this returns the new
    /// revision, it is on the disk.
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

    /// All revisions that are kept, in the order of changes.
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

    /// Replaces all that is stored, in one transaction. Versions continue from the higher of `last_version` and the last
    /// one before.
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
                let before = last_change.get(LAST_CHANGE_KEY)?.map_or(0, |last| last.value());
                last_change.insert(LAST_CHANGE_KEY, last_version.max(before))?;
            }
            write.commit()?;
            Ok(())
        })
    }
}

fn check_precondition(
    write: &WriteTransaction,
    name: &str,
    precondition: Precondition,
    keeps_tenant: bool,
) -> Result<(), StoreError> {
    let tenants = write.open_table(TENANTS)?;
    let present = tenants.get(name)?.map(|bytes| tables::decode(name, bytes.value())).transpose()?;
    match (precondition, &present) {
        (Precondition::Absent, None) if keeps_tenant => {}
        (Precondition::Version(version), Some(present)) if version == present.version => {}
        (_, None) => return Err(StoreError::NotFound),
        (_, Some(_)) => return Err(StoreError::Conflict(present.map(Box::new))),
    }
    if present.is_none() && redb::ReadableTableMetadata::len(&tenants)? >= MAX_TENANTS {
        return Err(StoreError::TooManyTenants(MAX_TENANTS));
    }
    Ok(())
}

/// Counts one more change and returns its version.
fn next_version(write: &WriteTransaction) -> Result<u64, StoreError> {
    let mut last_change = write.open_table(LAST_CHANGE)?;
    let version = last_change.get(LAST_CHANGE_KEY)?.map_or(0, |last| last.value()) + 1;
    last_change.insert(LAST_CHANGE_KEY, version)?;
    Ok(version)
}
