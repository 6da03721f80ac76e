//! Who is at the other end of each connection of a worker.

use std::collections::BTreeMap;

use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{say_hello, Address, Micros, Origin, Party};

/// Microseconds in which a connection is made or fails.
pub const CONNECT_TIMEOUT: Micros = 250_000;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Peer {
    /// It has not sent its Hello.
    Unknown,
    /// A router, with the origin that tells its request ids from those of others.
    Router(Origin),
    /// A decode worker that fetches KV state from here.
    StateFetcher,
    /// A prefill worker from which KV state is fetched.
    PrefillWorker(Address),
    /// Discovery.
    Discovery,
}

/// The peers of a worker.
#[derive(Default)]
pub struct Peers {
    by_connection: BTreeMap<ConnectionId, Peer>,
    prefill_workers: BTreeMap<Address, ConnectionId>,
}

impl Peers {
    pub fn get(&self, connection: ConnectionId) -> Option<Peer> {
        self.by_connection.get(&connection).copied()
    }

    pub fn insert(&mut self, connection: ConnectionId, peer: Peer) {
        self.by_connection.insert(connection, peer);
    }

    pub fn remove(&mut self, connection: ConnectionId) -> Option<Peer> {
        let peer = self.by_connection.remove(&connection);
        if let Some(Peer::PrefillWorker(address)) = peer {
            self.prefill_workers.remove(&address);
        }
        peer
    }

    /// Connects to a peer and introduces the worker to it.
    pub fn connect(
        &mut self,
        address: Address,
        peer: Peer,
        own_name: &str,
        effects: &mut Effects,
    ) -> ConnectionId {
        let connection = effects.connect(address, CONNECT_TIMEOUT);
        self.by_connection.insert(connection, peer);
        effects.send(connection, say_hello(Party::Worker, own_name));
        connection
    }

    /// The connection to a prefill worker; a new one if there is none.
    pub fn prefill_worker(
        &mut self,
        address: Address,
        own_name: &str,
        effects: &mut Effects,
    ) -> ConnectionId {
        if let Some(&connection) = self.prefill_workers.get(&address) {
            return connection;
        }
        let connection = self.connect(address, Peer::PrefillWorker(address), own_name, effects);
        self.prefill_workers.insert(address, connection);
        connection
    }
}
