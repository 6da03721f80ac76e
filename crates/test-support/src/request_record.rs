//! The checker's record of one request.

use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

/// A connection to a worker: the number of the process that assigned its id (the router in virtual time, else the
/// worker), and the id.
pub type Connection = (usize, ConnectionId);

/// An attempt that has been received by a worker.
pub struct Attempt {
    pub worker: usize,
    pub connection: Connection,
    /// Whether it is a decode attempt, which runs the request; else it is a prefill.
    pub is_decode: bool,
    pub received_at: Micros,
    /// Whether the worker still works on it.
    pub in_flight: bool,
    /// Whether the router has closed its connection. The worker may not have noticed this yet.
    pub cancelled: bool,
    /// Whether the worker has notified the router that it never ran.
    pub never_ran: bool,
}

/// A request that a client has sent.
pub struct RequestRecord {
    pub class: usize,
    /// The time until which its client waits.
    pub deadline: Micros,
    pub client_disconnected_at: Option<Micros>,
    pub response_started_at: Option<Micros>,
    pub attempts: Vec<Attempt>,
    /// The worker that holds its KV state.
    pub state_worker: Option<usize>,
    /// The worker that holds a decode reservation for it.
    pub reservation_worker: Option<usize>,
    /// The time from which the limit on holding KV state and reservation with no attempt in flight is counted.
    pub held_since: Micros,
    /// Whether a worker has started to stream its response.
    pub stream_started: bool,
    /// Whether its router was killed. The rules on responses and on holding resources no longer apply to it then.
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
            state_worker: None,
            reservation_worker: None,
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

    /// Returns whether a decode attempt is in flight whose connection the router has not closed.
    pub fn has_uncancelled_decode(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight && !attempt.cancelled && attempt.is_decode)
    }

    /// Returns the first attempt that may have run the request.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.is_decode && !attempt.never_ran)
    }

    /// Returns which resource is held for the request, and the worker that holds it.
    pub fn held_resource(&self) -> Option<(&'static str, usize)> {
        let state = self.state_worker.map(|worker| ("state", worker));
        state.or(self.reservation_worker.map(|worker| ("reservation", worker)))
    }
}
