//! What the checker knows of one request.

use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

/// A connection to a worker, by a number of its owner (the router in virtual time, else the worker) and its id there.
pub type Connection = (usize, ConnectionId);

/// An attempt that has been received by a worker.
pub struct Attempt {
    pub worker: usize,
    pub on: Connection,
    /// It responds, and has the request's effect; else it only prefills.
    pub is_decode: bool,
    pub received_at: Micros,
    /// Its worker still works on it.
    pub in_flight: bool,
    /// The router has ended its connection, of which the worker may not know yet.
    pub cancelled: bool,
    /// The router was told that it never ran.
    pub never_ran: bool,
}

/// A request that a client has sent.
pub struct RequestRecord {
    pub class: usize,
    /// Until when its client waits.
    pub deadline: Micros,
    pub client_disconnected_at: Option<Micros>,
    pub response_started_at: Option<Micros>,
    pub attempts: Vec<Attempt>,
    /// The worker that holds its KV state.
    pub state_at: Option<usize>,
    /// The worker that holds a decode reservation for it.
    pub reservation_at: Option<usize>,
    /// Since when state and reservation may be held with no attempt in flight.
    pub held_since: Micros,
    /// A worker has begun to stream its response.
    pub stream_started: bool,
    /// Its router was killed: no rule holds for it any more.
    pub router_killed: bool,
}

impl RequestRecord {
    pub fn new(class: usize, now: Micros, deadline: Micros) -> RequestRecord {
        RequestRecord {
            class,
            deadline,
            client_disconnected_at: None,
            response_started_at: None,
            attempts: vec![],
            state_at: None,
            reservation_at: None,
            held_since: now,
            stream_started: false,
            router_killed: false,
        }
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    pub fn has_decode_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight && attempt.is_decode)
    }

    pub fn has_prefill_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight && !attempt.is_decode)
    }

    /// A decode attempt is in flight whose connection the router has not ended.
    pub fn has_live_decode(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight && !attempt.cancelled && attempt.is_decode)
    }

    /// The first attempt that may have had the request's effect.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.is_decode && !attempt.never_ran)
    }

    /// What is held for it, as a word, and the worker that holds it.
    pub fn held(&self) -> Option<(&'static str, usize)> {
        let state = self.state_at.map(|worker| ("state", worker));
        state.or(self.reservation_at.map(|worker| ("reservation", worker)))
    }
}
