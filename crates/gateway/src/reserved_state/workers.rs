//! What the manager of reserved state needs of the connections to workers.

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

/// Connections to workers, as far as reserved state is concerned. No call comes back into the manager.
pub trait Workers {
    /// Tells a worker to release what is reserved for a request. None if the worker can't be reached, or no connection
    /// is left for it.
    fn send_release(
        &mut self,
        now: Micros,
        worker: WorkerId,
        id: RequestId,
        trace_id: &str,
        effects: &mut Effects,
    ) -> Option<ConnectionId>;

    /// Ends a connection at once, if it is there.
    fn abort(&mut self, connection: ConnectionId, effects: &mut Effects);

    /// Whether the connection is there and the call on it has been written.
    fn is_written(&self, connection: ConnectionId) -> bool;

    /// Whether the attempt that is out for a request has a connection that is established.
    fn is_attempt_connected(&self, id: RequestId) -> bool;

    /// Whether a decode attempt of a request is out.
    fn is_decoding(&self, id: RequestId) -> bool;

    /// When bytes last came from the worker of a request's attempt, on connections older than the attempt; 0 for never.
    fn attempt_worker_last_seen(&self, id: RequestId) -> Micros;

    /// Whether bytes have come from a worker at that time or later.
    fn seen_since(&self, worker: WorkerId, time: Micros) -> bool;

    /// Whether a worker is listed.
    fn is_listed(&self, worker: WorkerId) -> bool;

    /// Listed workers, the one that was seen last first.
    fn workers_by_last_seen(&self) -> Vec<WorkerId>;

    /// A worker that says nothing for so long is taken for gone.
    fn hang_timeout(&self) -> Micros;
}

/// What each call to the manager comes with: the time, the connections, and where effects go.
pub struct Context<'a, W> {
    /// The time of the event.
    pub now: Micros,
    /// Connections to workers.
    pub workers: &'a mut W,
    /// Timers that are set and connections that are ended.
    pub effects: &'a mut Effects,
}
