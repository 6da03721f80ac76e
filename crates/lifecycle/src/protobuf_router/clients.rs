//! The connected clients.

use std::collections::{BTreeMap, HashMap};

use tideroute::types::RequestId;
use tideroute_wire::event_loop::ConnectionId;

/// A client that has sent its Hello.
#[derive(Default)]
pub(super) struct Client {
    /// The ids of the client's open requests by the client's own numbers, in order, so that a disconnect has the same
    /// effects in the same order in equal runs.
    pub open_requests: BTreeMap<u64, RequestId>,
    /// The highest request number that the client has used: each must be higher than the last.
    pub last_number: Option<u64>,
    /// The client does not read its responses. Until it does, workers are granted no more tokens for its streams.
    pub has_backpressure: bool,
    /// The hash of the key that it presented, where tenants are configured.
    pub key_hash: Option<[u8; 32]>,
}

/// All client connections, with those that have not sent a Hello.
#[derive(Default)]
pub(super) struct Clients {
    /// `None` until the client has sent its Hello.
    connections: HashMap<ConnectionId, Option<Client>>,
}

impl Clients {
    pub fn accepted(&mut self, connection: ConnectionId) {
        self.connections.insert(connection, None);
    }

    /// Returns whether the connection is a client's, or was accepted and may still become one.
    pub fn contains(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Records that a client has sent its Hello.
    pub fn hello_received(&mut self, connection: ConnectionId, key_hash: Option<[u8; 32]>) {
        self.connections.insert(connection, Some(Client { key_hash, ..Client::default() }));
    }

    /// Returns whether the connection was accepted and no Hello has arrived on it yet.
    pub fn awaits_hello(&self, connection: ConnectionId) -> bool {
        matches!(self.connections.get(&connection), Some(None))
    }

    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut Client> {
        self.connections.get_mut(&connection)?.as_mut()
    }

    /// Forgets a connection, and returns its client if one has sent a Hello on it.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<Client> {
        self.connections.remove(&connection)?
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }
}
