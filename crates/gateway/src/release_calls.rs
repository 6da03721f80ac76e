//! The pool of worker connections as the manager of reserved state uses it.

use tideroute::types::{RequestId, WorkerId};
use tideroute_http::write;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::headers;
use crate::request_trace::{self, TraceEvent};
use crate::reserved_state::Workers;
use crate::worker_connection::Call;
use crate::worker_pool::WorkerPool;

impl Workers for WorkerPool {
    fn send_release(
        &mut self,
        now: Micros,
        worker: WorkerId,
        id: RequestId,
        trace_id: &str,
        effects: &mut Effects,
    ) -> Option<ConnectionId> {
        let target = format!("{}{trace_id}", headers::RESERVATION_PATH);
        let bytes = write::request("DELETE", &target, [("host", "worker")], None);
        let connection = self.send_call(now, worker, Call::Release { id }, bytes, effects)?;
        if let Some(address) = self.get_mut(connection).map(|connection| connection.address) {
            request_trace::record(id, trace_id, TraceEvent::ReleaseSent(address));
        }
        Some(connection)
    }

    fn abort(&mut self, connection: ConnectionId, effects: &mut Effects) {
        self.abort(connection, effects);
    }

    fn is_written(&self, connection: ConnectionId) -> bool {
        self.is_written(connection).unwrap_or(false)
    }

    fn is_attempt_connected(&self, id: RequestId) -> bool {
        self.is_attempt_connected(id)
    }

    fn is_decoding(&self, id: RequestId) -> bool {
        self.is_decoding(id)
    }

    fn attempt_worker_last_seen(&self, id: RequestId) -> Micros {
        self.attempt_worker_last_seen(id)
    }

    fn seen_since(&self, worker: WorkerId, time: Micros) -> bool {
        self.seen_since(worker, time)
    }

    fn is_listed(&self, worker: WorkerId) -> bool {
        self.address(worker).is_some()
    }

    fn workers_by_last_seen(&self) -> Vec<WorkerId> {
        self.workers_by_last_seen()
    }

    fn hang_timeout(&self) -> Micros {
        self.hang_timeout()
    }
}
