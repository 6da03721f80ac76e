//! The store: three tables, one transaction a change.

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};

use crate::record::{self, Entry, Fault, Tenant};

/// Tenants that are there, by name; their entries by name and version; which tenant each change was of.
const TENANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("tenants");
pub(crate) const HISTORY: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("history");
const CHANGES: TableDefinition<u64, &str> = TableDefinition::new("changes");
/// The one key of a table that holds the number of the last change.
const LAST: TableDefinition<&str, u64> = TableDefinition::new("last");
const CHANGE: &str = "change";

/// Entries kept of one tenant, and changes kept of all: the oldest go first.
const HISTORY_KEPT: usize = 1_000;
const CHANGES_KEPT: u64 = 100_000;
/// Tenants at most, and entries in one page.
const TENANTS_MOST: u64 = 100_000;
const PAGE: usize = 1_000;

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The tenant is not as the change expects; the entry is the present one.
    #[error("the tenant is at another version{}", .0.as_ref().map(|e| format!(" ({})", e.version)).unwrap_or_default())]
    Conflict(Option<Box<Entry>>),
    #[error("there is no such tenant")]
    Missing,
    #[error(transparent)]
    Fault(#[from] Fault),
    #[error("there are {0} tenants already")]
    Full(u64),
    /// The file could not be read or written; nothing was changed.
    #[error("the store of tenants: {0}")]
    Broken(#[from] Box<redb::Error>),
    #[error("the store of tenants could not be opened again")]
    Closed,
    #[error("the store of tenants holds what cannot be read, at {0}")]
    Damaged(String),
}

macro_rules! from_redb {
    ($($error:ident),*) => {
        $(impl From<redb::$error> for StoreError {
            fn from(e: redb::$error) -> StoreError {
                StoreError::Broken(Box::new(e.into()))
            }
        })*
    };
}

from_redb!(DatabaseError, TransactionError, TableError, StorageError, CommitError);

/// What a change takes a tenant to be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Expected {
    Absent,
    Version(u64),
}

/// Opens the database anew.
type Open = Box<dyn Fn() -> Result<Database, StoreError> + Send + Sync>;

/// What is open, and whether a call on it has failed: after that it does nothing more until it is opened anew, though
/// the disk may be well again.
struct Opened {
    database: Option<Database>,
    failed: bool,
}

pub struct Store {
    opened: Mutex<Opened>,
    open: Option<Open>,
}

impl Store {
    /// Opens the file, or makes a new one. What a kill left is put in order here, and what a failed write left is as the
    /// next call opens it anew.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let path = path.to_path_buf();
        Store::reopening(Box::new(move || Ok(Database::create(&path)?)))
    }

    /// The same on storage of another kind, which can't be opened anew.
    pub fn on(backend: impl StorageBackend) -> Result<Store, StoreError> {
        Store::made(Database::builder().create_with_backend(backend)?, None)
    }

    /// The same on storage that is made anew, with what it holds, where a call on it has failed.
    pub fn on_each<B: StorageBackend>(
        make: impl Fn() -> B + Send + Sync + 'static,
    ) -> Result<Store, StoreError> {
        Store::reopening(Box::new(move || Ok(Database::builder().create_with_backend(make())?)))
    }

    fn reopening(open: Open) -> Result<Store, StoreError> {
        Store::made(open()?, Some(open))
    }

    fn made(database: Database, open: Option<Open>) -> Result<Store, StoreError> {
        let write = database.begin_write()?;
        write.open_table(TENANTS)?;
        write.open_table(HISTORY)?;
        write.open_table(CHANGES)?;
        write.open_table(LAST)?;
        write.commit()?;
        Ok(Store { opened: Mutex::new(Opened { database: Some(database), failed: false }), open })
    }

    /// Does something with the database, which is opened anew first if a call on it has failed.
    fn with<T>(&self, does: impl FnOnce(&Database) -> Result<T, StoreError>) -> Result<T, StoreError> {
        let mut opened = self.opened.lock().unwrap_or_else(PoisonError::into_inner);
        if let (true, Some(open)) = (opened.failed || opened.database.is_none(), &self.open) {
            // The old one goes first: it has the file to itself.
            opened.database = None;
            opened.database = Some(open()?);
            opened.failed = false;
            tracing::info!("the store of tenants is open again");
        }
        let Some(database) = &opened.database else { return Err(StoreError::Closed) };
        let done = does(database);
        opened.failed |= matches!(done, Err(StoreError::Broken(_)));
        done
    }

    /// The number of the last change; 0 before the first.
    pub fn version(&self) -> Result<u64, StoreError> {
        self.with(|database| {
            let read = database.begin_read()?;
            let last = read.open_table(LAST)?.get(CHANGE)?.map(|last| last.value());
            Ok(last.unwrap_or(0))
        })
    }

    pub fn get(&self, name: &str) -> Result<Option<Entry>, StoreError> {
        self.with(|database| {
            let read = database.begin_read()?;
            let found = read.open_table(TENANTS)?;
            let found = found.get(name)?;
            found.map(|bytes| entry(name, bytes.value())).transpose()
        })
    }

    /// Tenants by name, those after the one that is named.
    pub fn list(&self, after: &str, most: usize) -> Result<Vec<Entry>, StoreError> {
        self.with(|database| {
            let read = database.begin_read()?;
            let table = read.open_table(TENANTS)?;
            let mut page = vec![];
            for row in table.range(after..)? {
                let (name, bytes) = row?;
                if name.value() != after {
                    page.push(entry(name.value(), bytes.value())?);
                }
                if page.len() >= most.min(PAGE) {
                    break;
                }
            }
            Ok(page)
        })
    }

    /// What a tenant was, the newest first, from before a version on; also of one that is removed.
    pub fn history(&self, name: &str, before: u64, most: usize) -> Result<Vec<Entry>, StoreError> {
        self.with(|database| {
            let read = database.begin_read()?;
            let table = read.open_table(HISTORY)?;
            let rows = table.range((name, 0)..(name, before))?.rev().take(most.min(PAGE));
            let mut page = vec![];
            for row in rows {
                page.push(entry(name, row?.1.value())?);
            }
            Ok(page)
        })
    }

    /// All changes after a version, in order: what somebody who follows the store has to catch up with.
    pub fn changes(&self, after: u64, most: usize) -> Result<Vec<Entry>, StoreError> {
        self.with(|database| {
            let read = database.begin_read()?;
            let (changes, history) = (read.open_table(CHANGES)?, read.open_table(HISTORY)?);
            let mut page = vec![];
            for row in changes.range(after.saturating_add(1)..)?.take(most.min(PAGE)) {
                let (version, name) = row?;
                if let Some(bytes) = history.get((name.value(), version.value()))? {
                    page.push(entry(name.value(), bytes.value())?);
                }
            }
            Ok(page)
        })
    }

    /// Adds, changes or, with None, removes a tenant, if it is as expected. What is confirmed is on the disk.
    pub fn change(
        &self,
        at: u64,
        by: &str,
        name: &str,
        expected: Expected,
        tenant: Option<Tenant>,
    ) -> Result<Entry, StoreError> {
        record::name(name)?;
        tenant.as_ref().map_or(Ok(()), Tenant::check)?;
        self.with(|database| {
            let write = database.begin_write()?;
            let made = {
                let (mut tenants, mut last) = (write.open_table(TENANTS)?, write.open_table(LAST)?);
                let present = tenants.get(name)?.map(|bytes| entry(name, bytes.value())).transpose()?;
                match (expected, &present) {
                    (Expected::Absent, None) if tenant.is_some() => {}
                    (Expected::Version(version), Some(present)) if version == present.version => {}
                    (_, None) => return Err(StoreError::Missing),
                    (_, Some(_)) => return Err(StoreError::Conflict(present.map(Box::new))),
                }
                if present.is_none() && redb::ReadableTableMetadata::len(&tenants)? >= TENANTS_MOST {
                    return Err(StoreError::Full(TENANTS_MOST));
                }
                let version = last.get(CHANGE)?.map_or(0, |last| last.value()) + 1;
                let made = Entry { name: name.to_string(), version, at, by: by.to_string(), tenant };
                let bytes = serde_json::to_vec(&made).map_err(|e| StoreError::Damaged(e.to_string()))?;
                if made.tenant.is_some() {
                    tenants.insert(name, bytes.as_slice())?;
                } else {
                    tenants.remove(name)?;
                }
                last.insert(CHANGE, version)?;
                let mut history = write.open_table(HISTORY)?;
                history.insert((name, version), bytes.as_slice())?;
                let mut changes = write.open_table(CHANGES)?;
                changes.insert(version, name)?;
                forget(&mut history, &mut changes, name, version)?;
                made
            };
            write.commit()?;
            Ok(made)
        })
    }

    /// Everything that is kept, in the order of changes.
    pub(crate) fn all(&self) -> Result<Vec<Entry>, StoreError> {
        self.with(|database| {
            let read = database.begin_read()?;
            let mut all = vec![];
            for row in read.open_table(HISTORY)?.iter()? {
                let (key, bytes) = row?;
                all.push(entry(key.value().0, bytes.value())?);
            }
            all.sort_by_key(|e| e.version);
            Ok(all)
        })
    }

    /// Puts everything in place of what is there, at once; versions go on from the highest of both.
    pub(crate) fn replace(&self, all: &[Entry], last: u64) -> Result<(), StoreError> {
        self.with(|database| {
            let write = database.begin_write()?;
            {
                let present = write.open_table(LAST)?.get(CHANGE)?.map_or(0, |last| last.value());
                write.delete_table(TENANTS)?;
                write.delete_table(HISTORY)?;
                write.delete_table(CHANGES)?;
                let mut tenants = write.open_table(TENANTS)?;
                let mut history = write.open_table(HISTORY)?;
                let mut changes = write.open_table(CHANGES)?;
                for e in all {
                    let bytes = serde_json::to_vec(e).map_err(|e| StoreError::Damaged(e.to_string()))?;
                    history.insert((e.name.as_str(), e.version), bytes.as_slice())?;
                    changes.insert(e.version, e.name.as_str())?;
                    if e.tenant.is_some() {
                        tenants.insert(e.name.as_str(), bytes.as_slice())?;
                    } else {
                        tenants.remove(e.name.as_str())?;
                    }
                }
                write.open_table(LAST)?.insert(CHANGE, last.max(present))?;
            }
            write.commit()?;
            Ok(())
        })
    }
}

/// Drops what is too old to be kept: of the tenant, and of all changes.
fn forget(
    history: &mut redb::Table<'_, (&'static str, u64), &'static [u8]>,
    changes: &mut redb::Table<'_, u64, &'static str>,
    name: &str,
    version: u64,
) -> Result<(), StoreError> {
    let kept: Vec<u64> = {
        let rows = history.range((name, 0)..=(name, u64::MAX))?;
        rows.map(|row| row.map(|(key, _)| key.value().1)).collect::<Result<_, _>>()?
    };
    for old in kept.iter().rev().skip(HISTORY_KEPT) {
        history.remove((name, *old))?;
        changes.remove(*old)?;
    }
    if let Some(old) = version.checked_sub(CHANGES_KEPT) {
        changes.remove(old)?;
    }
    Ok(())
}

fn entry(name: &str, bytes: &[u8]) -> Result<Entry, StoreError> {
    serde_json::from_slice(bytes).map_err(|e| StoreError::Damaged(format!("{name}: {e}")))
}
