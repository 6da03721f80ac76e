//! The database, which is opened again after a failure.

use std::sync::{Mutex, PoisonError};

use redb::Database;

use crate::error::StoreError;

/// Opens the database.
pub(crate) type OpenDatabase = Box<dyn Fn() -> Result<Database, StoreError> + Send + Sync>;

struct State {
    database: Option<Database>,
    /// A call failed. The database then does nothing more until it is opened again, though the disk may be well again.
    failed: bool,
}

/// A database that is opened again by the first call after a failure.
pub(crate) struct ReopeningDatabase {
    state: Mutex<State>,
    /// How to open it again; `None` if that is not possible.
    open: Option<OpenDatabase>,
}

impl ReopeningDatabase {
    pub fn new(database: Database, open: Option<OpenDatabase>) -> ReopeningDatabase {
        let state = State { database: Some(database), failed: false };
        ReopeningDatabase { state: Mutex::new(state), open }
    }

    /// Runs a call on the database, which is opened again first if a call on it has failed.
    pub fn with<T>(&self, call: impl FnOnce(&Database) -> Result<T, StoreError>) -> Result<T, StoreError> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.reopen_if_failed(&mut state)?;
        let Some(database) = &state.database else { return Err(StoreError::Closed) };
        let result = call(database);
        if matches!(result, Err(StoreError::Database(_))) {
            state.failed = true;
        }
        result
    }

    fn reopen_if_failed(&self, state: &mut State) -> Result<(), StoreError> {
        let is_open = state.database.is_some() && !state.failed;
        let Some(open) = self.open.as_ref().filter(|_| !is_open) else { return Ok(()) };
        // The old one holds a lock on the file, so it is closed first.
        state.database = None;
        state.database = Some(open()?);
        state.failed = false;
        tracing::info!("the store of tenants is open again");
        Ok(())
    }
}
