//! The context in which the prefill and decode stages handle an event.

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{Address, GlobalRequestId, Micros};

use crate::peers::Peers;
use crate::timers::TimerKey;
use crate::worker_state::WorkerState;

/// The time of the event, the worker's state and peers, and the effects to which the stages add.
pub struct WorkContext<'a> {
    pub now: Micros,
    pub state: &'a mut WorkerState,
    pub peers: &'a mut Peers,
    pub effects: &'a mut Effects,
}

impl WorkContext<'_> {
    pub fn send(&mut self, connection: ConnectionId, message: Bytes) {
        self.effects.send(connection, message);
    }

    /// Sets a timer that fires `after` microseconds from now.
    pub fn set_timer(&mut self, after: Micros, key: TimerKey) {
        self.effects.set_timer(self.now + after, key.encode());
    }

    /// Notifies a router that an attempt failed.
    pub fn attempt_failed(
        &mut self,
        router: ConnectionId,
        id: GlobalRequestId,
        attempt: u16,
        failure: AttemptFailure,
    ) {
        self.effects.send(router, worker::attempt_ended(id.local_id, attempt, failure));
    }

    /// Sends a message to a prefill worker, and connects to it first if necessary.
    pub fn send_to_prefill_worker(&mut self, address: Address, message: Bytes) {
        let name = &self.state.config.name;
        let connection = self.peers.prefill_worker(address, name, self.effects);
        self.effects.send(connection, message);
    }
}
