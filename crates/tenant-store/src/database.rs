//! A database that is reopened after a failure.

use std::sync::{Mutex, PoisonError};

use redb::Database;

use crate::error::StoreError;

/// A function that opens the database.
pub(crate) type OpenDatabase = Box<dyn Fn() -> Result<Database, StoreError> + Send + Sync>;

struct State {
    database: Option<Database>,
    /// Whether a call on the database failed. After an I/O error the database refuses all calls until it is reopened,
    /// even if the disk works again.
    has_failed: bool,
}

/// A database that the first call after a failure reopens.
pub(crate) struct ReopeningDatabase {
    state: Mutex<State>,
    /// Reopens the database; `None` if it cannot be reopened.
    open: Option<OpenDatabase>,
}

impl ReopeningDatabase {
    pub fn new(database: Database, open: Option<OpenDatabase>) -> ReopeningDatabase {
        let state = State { database: Some(database), has_failed: false };
        ReopeningDatabase { state: Mutex::new(state), open }
    }

    /// Runs a call on the database. Reopens the database first if an earlier call failed.
    pub fn with<T>(&self, call: impl FnOnce(&Database) -> Result<T, StoreError>) -> Result<T, StoreError> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.reopen_if_failed(&mut state)?;
        let Some(database) = &state.database else { return Err(StoreError::Closed) };
        let result = call(database);
        if matches!(result, Err(StoreError::Database(_))) {
            state.has_failed = true;
        }
        result
    }

    fn reopen_if_failed(&self, state: &mut State) -> Result<(), StoreError> {
        let is_open = state.database.is_some() && !state.has_failed;
        let Some(open) = self.open.as_ref().filter(|_| !is_open) else { return Ok(()) };
        // The old database holds a lock on the file, so it is closed before the file is opened again.
        state.database = None;
        state.database = Some(open()?);
        state.has_failed = false;
        tracing::info!("tenant store reopened after a failure");
        Ok(())
    }
}
