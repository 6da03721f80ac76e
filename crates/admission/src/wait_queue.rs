//! The waiting requests of all tenants, indexed by ticket and by expiration time.

use std::collections::{BTreeSet, HashMap};

use foldhash::fast::FixedState;

use crate::request::{Tenant, Ticket};
use crate::tenant::QueuePosition;
use crate::units::Micros;

/// The place of a waiting request in its tenant's queue, and its expiration time.
#[derive(Clone, Copy)]
pub(crate) struct QueueEntry {
    pub tenant: Tenant,
    pub position: QueuePosition,
    /// Time at which the request is rejected if it was not admitted before.
    pub expires_at: Micros,
}

/// Index of the waiting requests of all tenants.
#[derive(Default)]
pub(crate) struct WaitQueue {
    entries: HashMap<Ticket, QueueEntry, FixedState>,
    expirations: BTreeSet<(Micros, Ticket)>,
}

impl WaitQueue {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn get(&self, ticket: Ticket) -> Option<QueueEntry> {
        self.entries.get(&ticket).copied()
    }

    pub fn insert(&mut self, ticket: Ticket, entry: QueueEntry) {
        self.entries.insert(ticket, entry);
        self.expirations.insert((entry.expires_at, ticket));
    }

    pub fn remove(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.remove(&ticket) {
            self.expirations.remove(&(entry.expires_at, ticket));
        }
    }

    /// Returns the time at which the next request expires.
    pub fn next_expiration(&self) -> Option<Micros> {
        self.expirations.first().map(|(at, _)| *at)
    }

    /// Returns the request with the earliest expiration time, if that time has passed.
    pub fn first_expired(&self, now: Micros) -> Option<QueueEntry> {
        let (_, ticket) = self.expirations.first().filter(|(at, _)| *at <= now)?;
        self.get(*ticket)
    }
}
