//! Queries about the attempts in flight and their connections.

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use super::WorkerPool;
use crate::worker_connection::{Call, WorkerConnection};

impl WorkerPool {
    /// Returns the connection of a request's attempt in flight.
    pub fn attempt_connection(&self, id: RequestId) -> Option<ConnectionId> {
        self.attempts.get(&id).map(|attempt| attempt.connection)
    }

    /// Returns whether the connection of a request's attempt in flight is established.
    pub fn is_attempt_connected(&self, id: RequestId) -> bool {
        self.attempt_connection(id)
            .and_then(|connection| self.connections.get(&connection))
            .is_some_and(|connection| connection.is_connected)
    }

    /// Returns the connection of a request's prefill attempt, if one is in flight.
    fn prefill_connection(&self, id: RequestId) -> Option<&WorkerConnection> {
        let connection = self.connections.get(&self.attempt_connection(id)?)?;
        matches!(connection.call, Some(Call::Attempt { is_prefill: true, .. })).then_some(connection)
    }

    /// Returns whether a request's prefill attempt is in flight and has been written completely.
    pub fn is_prefilling(&self, id: RequestId) -> bool {
        self.prefill_connection(id).is_some_and(|connection| connection.is_written)
    }

    /// Returns the worker of a request's prefill attempt, if one is in flight.
    pub fn prefill_worker(&self, id: RequestId) -> Option<WorkerId> {
        self.prefill_connection(id).map(|connection| connection.worker)
    }

    /// Returns whether a decode attempt of a request is in flight.
    pub fn is_decoding(&self, id: RequestId) -> bool {
        self.attempt_connection(id)
            .and_then(|connection| self.connections.get(&connection))
            .is_some_and(WorkerConnection::is_decode_attempt)
    }

    /// Returns when bytes last arrived from the worker of a request's attempt, on connections opened no later than the
    /// attempt; 0 for never. A process that has started since would only send on later connections.
    pub fn attempt_worker_last_seen(&self, id: RequestId) -> Micros {
        let Some(attempt) = self.attempts.get(&id) else { return 0 };
        let Some(attempt_connection) = self.connections.get(&attempt.connection) else { return 0 };
        if !matches!(attempt_connection.call, Some(Call::Attempt { .. })) {
            return 0;
        }
        self.connections
            .values()
            .filter(|other| {
                other.worker == attempt_connection.worker && other.opened_at <= attempt.dispatched_at
            })
            .map(|other| other.last_received_at)
            .max()
            .unwrap_or(0)
    }

    /// Forgets a request's attempt, which has ended; returns when it was dispatched, if it was.
    pub fn attempt_finished(&mut self, id: RequestId) -> Option<Micros> {
        self.attempts.remove(&id).map(|attempt| attempt.dispatched_at)
    }
}
