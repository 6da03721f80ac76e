//! Fetches of KV state whose prefill has not arrived yet, as it comes on another connection.

use std::collections::VecDeque;

use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::{GlobalRequestId, Micros};

/// Microseconds for which a fetch waits for its prefill.
pub const MAX_WAIT: Micros = 100_000;
/// Fetches that may wait at once.
const MAX_WAITING: usize = 1024;

/// A fetch that waits for its prefill.
pub struct EarlyFetch {
    pub serial: u64,
    pub fetcher: ConnectionId,
    pub id: GlobalRequestId,
}

/// The fetches that wait for their prefill.
#[derive(Default)]
pub struct EarlyFetches {
    waiting: VecDeque<EarlyFetch>,
}

impl EarlyFetches {
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    pub fn push(&mut self, fetch: EarlyFetch) {
        self.waiting.push_back(fetch);
    }

    /// The prefill of a request has arrived.
    pub fn take_for(&mut self, id: GlobalRequestId) -> Option<EarlyFetch> {
        let index = self.waiting.iter().position(|fetch| fetch.id == id)?;
        self.waiting.remove(index)
    }

    /// The fetch with that serial number has waited long enough.
    pub fn take_expired(&mut self, serial: u64) -> Option<EarlyFetch> {
        let index = self.waiting.iter().position(|fetch| fetch.serial == serial)?;
        self.waiting.remove(index)
    }
}
