//! Fetches of KV state that arrive before the prefill that they are for. The order is not fixed, because decode workers
//! fetch on other connections than the one on which the router sends the prefill.

use std::collections::VecDeque;

use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::{GlobalRequestId, Micros};

/// Microseconds that a fetch waits for its prefill to arrive.
pub const EARLY_FETCH_TIMEOUT: Micros = 100_000;
/// Maximum number of waiting fetches.
const MAX_EARLY_FETCHES: usize = 1024;

/// A fetch that waits for its prefill to arrive.
pub struct EarlyFetch {
    pub serial: u64,
    pub fetcher: ConnectionId,
    pub id: GlobalRequestId,
}

/// The fetches that wait for their prefill to arrive.
#[derive(Default)]
pub struct EarlyFetches {
    waiting: VecDeque<EarlyFetch>,
}

impl EarlyFetches {
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_EARLY_FETCHES
    }

    pub fn push(&mut self, fetch: EarlyFetch) {
        self.waiting.push_back(fetch);
    }

    /// Removes and returns the waiting fetch for a request.
    pub fn take_by_request(&mut self, id: GlobalRequestId) -> Option<EarlyFetch> {
        let index = self.waiting.iter().position(|fetch| fetch.id == id)?;
        self.waiting.remove(index)
    }

    /// Removes and returns the fetch with this serial number, if it is still waiting.
    pub fn take_expired(&mut self, serial: u64) -> Option<EarlyFetch> {
        let index = self.waiting.iter().position(|fetch| fetch.serial == serial)?;
        self.waiting.remove(index)
    }
}
