//! The interface through which the manager of reserved state uses the connections to workers.

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

/// Connections to workers, as the manager of reserved state uses them. No method calls back into the manager.
pub trait Workers {
    /// Sends a worker a call to release what is held for a request. `None` if the worker can't be reached, or no
    /// connection is available for it.
    fn send_release(
        &mut self,
        now: Micros,
        worker: WorkerId,
        id: RequestId,
        trace_id: &str,
        effects: &mut Effects,
    ) -> Option<ConnectionId>;

    /// Aborts a connection at once, if it exists.
    fn abort(&mut self, connection: ConnectionId, effects: &mut Effects);

    /// Returns whether the connection exists and the call on it has been written.
    fn is_written(&self, connection: ConnectionId) -> bool;

    /// Returns whether the connection of a request's attempt in flight is established.
    fn is_attempt_connected(&self, id: RequestId) -> bool;

    /// Returns whether a decode attempt of a request is in flight.
    fn is_decoding(&self, id: RequestId) -> bool;

    /// Returns when bytes last arrived from the worker of a request's attempt, on connections older than the attempt;
    /// 0 for never.
    fn attempt_worker_last_seen(&self, id: RequestId) -> Micros;

    /// Returns whether bytes have arrived from a worker at `time` or later.
    fn seen_since(&self, worker: WorkerId, time: Micros) -> bool;

    /// Returns whether a worker is on the endpoint list.
    fn is_listed(&self, worker: WorkerId) -> bool;

    /// Returns the listed workers, the most recently seen first.
    fn workers_by_last_seen(&self) -> Vec<WorkerId>;

    /// Returns the microseconds of silence after which a worker counts as gone.
    fn hang_timeout(&self) -> Micros;
}

/// The arguments of each call to the manager: the time, the connections, and the receiver of effects.
pub struct Context<'a, W> {
    /// The time of the event.
    pub now: Micros,
    /// Connections to workers.
    pub workers: &'a mut W,
    /// Receives the timers to set and the connections to end.
    pub effects: &'a mut Effects,
}
