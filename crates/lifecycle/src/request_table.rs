//! The open requests by id.

use std::collections::BTreeMap;

use tideroute::types::RequestId;

use crate::request_state::RequestState;

/// Bits of an id that count requests; the bits above hold the seed, which tells routers and their starts apart.
const COUNTER_BITS: u32 = 40;

/// The counter part of an id, small enough for a timer's key. [`RequestTable::expand_id`] restores the id.
pub fn id_counter(id: RequestId) -> u64 {
    id & ((1 << COUNTER_BITS) - 1)
}

/// All open requests by id, in order of arrival. Ids count up from a base that tells starts of the router apart in
/// logs; they are unique within one start only. Between routers, the origin that a router's Hello names completes them.
pub struct RequestTable<Context> {
    base: u64,
    count: u64,
    open: BTreeMap<RequestId, RequestState<Context>>,
}

impl<Context> RequestTable<Context> {
    /// An empty table whose ids start at the seed.
    pub fn new(seed: u64) -> Self {
        RequestTable { base: seed << COUNTER_BITS, count: 0, open: BTreeMap::new() }
    }

    /// The id that the next request will have.
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

    /// The id whose counter part, as [`id_counter`] gives it, is `short`.
    pub fn expand_id(&self, short: u64) -> RequestId {
        self.base | short
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&RequestState<Context>> {
        self.open.get(&id)
    }

    /// An open request, to change it.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState<Context>> {
        self.open.get_mut(&id)
    }

    /// Forgets a request.
    pub fn remove(&mut self, id: RequestId) {
        self.open.remove(&id);
    }

    /// All open requests, in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestState<Context>)> {
        self.open.iter().map(|(id, request)| (*id, request))
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether every open request has had its final response, or has lost its client.
    pub fn all_finished(&self) -> bool {
        self.open.values().all(|request| request.finished)
    }
}
