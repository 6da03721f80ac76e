//! Turns of clients that have sent more requests than one iteration of the event loop answers. Each waiting client gets one
//! turn per iteration, so that the events and timers of others are handled in between.

use std::collections::BTreeSet;

use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::timers::TimerKey;

/// Number of requests without a worker call that are answered in one iteration, shared by the clients.
const REQUESTS_PER_ITERATION: usize = 1_024;
/// Minimum number of requests in a client's turn.
const MIN_REQUESTS_PER_TURN: usize = 16;

/// The clients that wait for their turn.
pub struct ClientTurns {
    waiting: BTreeSet<ConnectionId>,
    /// Number of requests that may still be answered in this iteration.
    requests_left: usize,
    /// Whether the timer for the next turns is set.
    is_timer_set: bool,
}

impl Default for ClientTurns {
    fn default() -> ClientTurns {
        ClientTurns { waiting: BTreeSet::new(), requests_left: REQUESTS_PER_ITERATION, is_timer_set: false }
    }
}

impl ClientTurns {
    /// Returns how many requests a client may have answered in the turn that begins now.
    pub fn length(&self) -> usize {
        (self.requests_left / (self.waiting.len() + 1)).max(MIN_REQUESTS_PER_TURN)
    }

    /// Counts a request that was answered or passed on.
    pub fn request_taken(&mut self) {
        self.requests_left = self.requests_left.saturating_sub(1);
    }

    /// Makes a client wait for its next turn.
    pub fn wait(&mut self, client: ConnectionId) {
        self.waiting.insert(client);
    }

    /// Forgets a client that has nothing left to do, or whose connection is closed.
    pub fn remove(&mut self, client: ConnectionId) {
        self.waiting.remove(&client);
    }

    /// Ends the turns of this iteration. The waiting clients get theirs when a timer fires in the next one.
    pub fn end_iteration(&mut self, now: Micros, effects: &mut Effects) {
        self.requests_left = REQUESTS_PER_ITERATION;
        if !self.waiting.is_empty() && !self.is_timer_set {
            self.is_timer_set = true;
            TimerKey::ClientTurns.set(now, effects);
        }
    }

    /// Returns the clients whose turn has come, when the timer has fired.
    pub fn begin(&mut self) -> BTreeSet<ConnectionId> {
        self.is_timer_set = false;
        std::mem::take(&mut self.waiting)
    }
}
