//! The open requests by id.

use std::collections::BTreeMap;

use tideroute::types::RequestId;

use crate::request_state::RequestState;

/// Number of low bits of an id that count requests. The bits above them hold the seed, which distinguishes routers and
/// their restarts.
const COUNTER_BITS: u32 = 40;

/// Returns the counter part of an id, which is small enough for a timer's key. [`RequestTable::expand_id`] restores the
/// id.
pub fn id_counter(id: RequestId) -> u64 {
    id & ((1 << COUNTER_BITS) - 1)
}

/// All open requests by id, in order of arrival. Ids count up from a base that distinguishes restarts of the router in
/// logs. They are unique only until the router restarts; across routers, the origin in a router's Hello makes them
/// unique.
pub struct RequestTable<Context> {
    base: u64,
    count: u64,
    open: BTreeMap<RequestId, RequestState<Context>>,
}

impl<Context> RequestTable<Context> {
    /// Creates an empty table whose ids start from the seed.
    pub fn new(seed: u64) -> Self {
        RequestTable { base: seed << COUNTER_BITS, count: 0, open: BTreeMap::new() }
    }

    /// Returns the id that the next request will have.
    pub fn next_id(&self) -> RequestId {
        self.base | (self.count + 1)
    }

    /// Adds a request under the next id.
    pub fn insert(&mut self, request: RequestState<Context>) -> RequestId {
        let id = self.next_id();
        self.count += 1;
        self.open.insert(id, request);
        id
    }

    /// Returns the id whose counter part, as [`id_counter`] returns it, is `counter`.
    pub fn expand_id(&self, counter: u64) -> RequestId {
        self.base | counter
    }

    /// Returns an open request.
    pub fn get(&self, id: RequestId) -> Option<&RequestState<Context>> {
        self.open.get(&id)
    }

    /// Returns an open request for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState<Context>> {
        self.open.get_mut(&id)
    }

    /// Forgets a request.
    pub fn remove(&mut self, id: RequestId) {
        self.open.remove(&id);
    }

    /// Returns all open requests, in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestState<Context>)> {
        self.open.iter().map(|(id, request)| (*id, request))
    }

    /// Returns whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether every open request has had its final response or lost its client.
    pub fn all_finished(&self) -> bool {
        self.open.values().all(|request| request.finished)
    }
}
