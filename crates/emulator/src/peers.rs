//! The peers of a worker, by connection.

use std::collections::BTreeMap;

use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{say_hello, Address, Micros, Origin, Party};

/// Microseconds after which a connection attempt fails.
pub const CONNECT_TIMEOUT: Micros = 250_000;

/// The peer at the other end of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Peer {
    /// A peer that has not sent its Hello yet.
    Unknown,
    /// A router, with the origin that distinguishes its request ids from those of other routers.
    Router(Origin),
    /// A decode worker that fetches KV state from this worker.
    StateFetcher,
    /// A prefill worker from which this worker fetches KV state.
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

    /// Connects to a peer and sends it the Hello of this worker.
    pub fn connect(
        &mut self,
        address: Address,
        peer: Peer,
        worker_name: &str,
        effects: &mut Effects,
    ) -> ConnectionId {
        let connection = effects.connect(address, CONNECT_TIMEOUT);
        self.by_connection.insert(connection, peer);
        effects.send(connection, say_hello(Party::Worker, worker_name));
        connection
    }

    /// Returns the connection to a prefill worker, and opens one if there is none.
    pub fn prefill_worker(
        &mut self,
        address: Address,
        worker_name: &str,
        effects: &mut Effects,
    ) -> ConnectionId {
        if let Some(&connection) = self.prefill_workers.get(&address) {
            return connection;
        }
        let connection = self.connect(address, Peer::PrefillWorker(address), worker_name, effects);
        self.prefill_workers.insert(address, connection);
        connection
    }
}
