//! The attempts that are out on connections, and what is known of them.

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use super::WorkerPool;
use crate::worker_connection::{Call, WorkerConnection};

impl WorkerPool {
    /// The connection that a request's attempt is out on.
    pub fn attempt_connection(&self, id: RequestId) -> Option<ConnectionId> {
        self.attempts.get(&id).map(|attempt| attempt.connection)
    }

    /// Whether that connection is established.
    pub fn is_attempt_connected(&self, id: RequestId) -> bool {
        self.attempt_connection(id)
            .and_then(|connection| self.connections.get(&connection))
            .is_some_and(|connection| connection.is_connected)
    }

    /// The connection of a request's prefill attempt, if one is out.
    fn prefill_connection(&self, id: RequestId) -> Option<&WorkerConnection> {
        let connection = self.connections.get(&self.attempt_connection(id)?)?;
        matches!(connection.call, Some(Call::Attempt { is_prefill: true, .. })).then_some(connection)
    }

    /// Whether a request's prefill attempt has been written whole.
    pub fn is_prefilling(&self, id: RequestId) -> bool {
        self.prefill_connection(id).is_some_and(|connection| connection.is_written)
    }

    /// The worker that a request's prefill attempt is out at.
    pub fn prefill_worker(&self, id: RequestId) -> Option<WorkerId> {
        self.prefill_connection(id).map(|connection| connection.worker)
    }

    /// Whether a decode attempt of a request is out.
    pub fn is_decoding(&self, id: RequestId) -> bool {
        self.attempt_connection(id)
            .and_then(|connection| self.connections.get(&connection))
            .is_some_and(WorkerConnection::is_decode_attempt)
    }

    /// When bytes last came from the worker of a request's attempt, on connections that were there before the attempt;
    /// 0 for never. A process that has started since would be seen on later connections only.
    pub fn attempt_worker_last_seen(&self, id: RequestId) -> Micros {
        let Some(attempt) = self.attempts.get(&id) else { return 0 };
        let Some(carrier) = self.connections.get(&attempt.connection) else { return 0 };
        if !matches!(carrier.call, Some(Call::Attempt { .. })) {
            return 0;
        }
        self.connections
            .values()
            .filter(|other| other.worker == carrier.worker && other.opened_at <= attempt.at)
            .map(|other| other.last_received_at)
            .max()
            .unwrap_or(0)
    }

    /// The attempt of a request has ended: when it was dispatched, if it was.
    pub fn attempt_finished(&mut self, id: RequestId) -> Option<Micros> {
        self.attempts.remove(&id).map(|attempt| attempt.at)
    }
}
