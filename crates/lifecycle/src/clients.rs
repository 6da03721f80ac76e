//! The clients that are connected.

use std::collections::{BTreeMap, HashMap};

use tideroute::types::RequestId;
use tideroute_wire::event_loop::ConnectionId;

#[derive(Default)]
pub struct Client {
    /// Its open submissions by its own numbers, in order, so that what follows a loss is the same each time.
    pub open: BTreeMap<u64, RequestId>,
    /// The highest number it has used: each must be higher than the last.
    pub last: Option<u64>,
    /// It does not read what is sent: its streams get no more tokens from their workers until it does.
    pub crowded: bool,
    /// The hash of the key that it showed, where there are tenants.
    pub key: Option<[u8; 32]>,
}

#[derive(Default)]
pub struct Clients {
    /// None until it has said Hello.
    connections: HashMap<ConnectionId, Option<Client>>,
}

impl Clients {
    pub fn accepted(&mut self, connection: ConnectionId) {
        self.connections.insert(connection, None);
    }

    /// Whether the link is a client's or may become one's.
    pub fn knows(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    pub fn greeted(&mut self, connection: ConnectionId, key: Option<[u8; 32]>) {
        self.connections.insert(connection, Some(Client { key, ..Client::default() }));
    }

    pub fn is_silent(&self, connection: ConnectionId) -> bool {
        matches!(self.connections.get(&connection), Some(None))
    }

    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut Client> {
        self.connections.get_mut(&connection)?.as_mut()
    }

    pub fn lose(&mut self, connection: ConnectionId) -> Option<Client> {
        self.connections.remove(&connection)?
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }
}
