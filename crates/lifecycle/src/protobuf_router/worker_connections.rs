//! The one connection that the router keeps to each worker, and what is in flight on it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

/// A worker's connection, if there is one, and what waits for an answer from the worker.
#[derive(Default)]
pub(super) struct WorkerConnection {
    pub connection: Option<ConnectionId>,
    /// Nonce of the health check that has not been answered.
    pub pending_health_check: Option<u64>,
    /// Requests whose attempt is in flight at the worker.
    pub attempts: BTreeSet<RequestId>,
    /// Requests for which the router has requested a reservation at the worker.
    pub reservations: BTreeSet<RequestId>,
}

/// The connections to all workers.
#[derive(Default)]
pub(super) struct WorkerConnections {
    by_worker: BTreeMap<WorkerId, WorkerConnection>,
    by_connection: HashMap<ConnectionId, WorkerId>,
}

impl WorkerConnections {
    pub fn entry(&mut self, worker: WorkerId) -> &mut WorkerConnection {
        self.by_worker.entry(worker).or_default()
    }

    /// Returns the worker at the other end of a connection.
    pub fn worker_of(&self, connection: ConnectionId) -> Option<WorkerId> {
        self.by_connection.get(&connection).copied()
    }

    /// Sends a frame to a worker. Without a connection it opens one first, and sends a Hello on it.
    pub fn send(
        &mut self,
        worker: WorkerId,
        hello: impl FnOnce() -> Bytes,
        connect_timeout: Micros,
        frame: Bytes,
        effects: &mut Effects,
    ) {
        let entry = self.by_worker.entry(worker).or_default();
        let connection = *entry.connection.get_or_insert_with(|| {
            let connection = effects.connect(worker, connect_timeout);
            effects.send(connection, hello());
            self.by_connection.insert(connection, worker);
            connection
        });
        effects.send(connection, frame);
    }

    /// Sends a frame only over an existing connection: once a connection closes, the worker releases what it held for
    /// it.
    pub fn send_if_connected(&self, worker: WorkerId, frame: Bytes, effects: &mut Effects) {
        let Some(entry) = self.by_worker.get(&worker) else { return };
        if let Some(connection) = entry.connection {
            effects.send(connection, frame);
        }
    }

    /// Forgets a connection that has ended, and returns its worker and what was in flight on it.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<(WorkerId, WorkerConnection)> {
        let worker = self.by_connection.remove(&connection)?;
        let in_flight = std::mem::take(self.entry(worker));
        Some((worker, in_flight))
    }
}
