//! What prefill and decode need of the worker around them.

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{Address, GlobalRequestId, Micros};

use crate::peers::Peers;
use crate::timers::TimerKey;
use crate::worker_state::WorkerState;

/// The time of an event, the worker's state and peers, and the effects of the event.
pub struct WorkContext<'a> {
    pub now: Micros,
    pub state: &'a mut WorkerState,
    pub peers: &'a mut Peers,
    pub effects: &'a mut Effects,
}

impl WorkContext<'_> {
    /// Sends a message.
    pub fn send(&mut self, connection: ConnectionId, message: Bytes) {
        self.effects.send(connection, message);
    }

    /// Sets a timer that fires after a time.
    pub fn set_timer(&mut self, after: Micros, key: TimerKey) {
        self.effects.set_timer(self.now + after, key.encode());
    }

    /// Tells a router that an attempt failed.
    pub fn attempt_failed(
        &mut self,
        router: ConnectionId,
        id: GlobalRequestId,
        attempt: u16,
        failure: AttemptFailure,
    ) {
        self.effects.send(router, worker::attempt_ended(id.local_id, attempt, failure));
    }

    /// Sends a message to a prefill worker.
    pub fn send_to_prefill_worker(&mut self, address: Address, message: Bytes) {
        let name = &self.state.config.name;
        let connection = self.peers.prefill_worker(address, name, self.effects);
        self.effects.send(connection, message);
    }
}
