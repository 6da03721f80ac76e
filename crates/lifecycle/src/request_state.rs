//! The state of one open request.

use tideroute::types::{Idempotency, WorkerId};
use tideroute_invariants::RequestRecord;
use tideroute_wire::Micros;

/// A request as the client sent it, and what is in flight or held for it.
pub struct RequestState<Context> {
    /// What the protocol stores with the request.
    pub context: Context,
    /// Index of the request class.
    pub class: u8,
    /// Session that the request belongs to.
    pub session: u64,
    /// Identifies the shared prompt prefix.
    pub prefix: u64,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Arrival time, in microseconds on the router's clock.
    pub arrived_at: Micros,
    /// Time at which the client stops waiting, in microseconds on the router's clock.
    pub deadline: Micros,
    /// Number of attempts so far; the next attempt has this number.
    pub attempts: u16,
    /// The attempt in flight.
    pub attempt: Option<Attempt>,
    /// The prefill worker that holds the request's KV state.
    pub state_holder: Option<WorkerId>,
    /// Decode workers at which a reservation was requested and not denied, the most recent last.
    pub reservations: Vec<WorkerId>,
    /// When the first token arrived.
    pub first_token_at: Option<Micros>,
    /// Whether the final response was sent or the client disconnected.
    pub finished: bool,
    /// The record that decides which steps the invariants permit.
    pub record: RequestRecord,
}

impl<Context> RequestState<Context> {
    /// Creates a request that has just arrived and has no deadline yet.
    pub fn new(
        context: Context,
        class: u8,
        (session, prefix): (u64, u64),
        prompt_tokens: u32,
    ) -> RequestState<Context> {
        RequestState {
            context,
            class,
            session,
            prefix,
            prompt_tokens,
            arrived_at: 0,
            deadline: 0,
            attempts: 0,
            attempt: None,
            state_holder: None,
            reservations: vec![],
            first_token_at: None,
            finished: false,
            // `RequestLifecycle::accept` replaces this placeholder with a record for the request's class and deadline.
            record: RequestRecord::new(Idempotency::NonIdempotent, 0),
        }
    }

    /// Sets the arrival time, and the deadline `remaining_time` after it.
    pub fn with_deadline(self, arrived_at: Micros, remaining_time: Micros) -> RequestState<Context> {
        RequestState { arrived_at, deadline: arrived_at + remaining_time, ..self }
    }

    /// Returns whether the attempt with this number is in flight.
    pub fn is_current_attempt(&self, number: u16) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.number == number)
    }

    /// Returns whether the attempt in flight has begun to stream its response.
    pub fn is_streaming(&self) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.streaming)
    }

    /// Returns the prefill worker of the attempt in flight, if that attempt is a prefill.
    pub(crate) fn prefill_worker(&self) -> Option<WorkerId> {
        let attempt = self.attempt.as_ref()?;
        attempt.is_prefill.then_some(attempt.worker)
    }

    /// Returns whether nothing is in flight, reserved or stored at a worker for the request.
    pub fn holds_nothing(&self) -> bool {
        self.attempt.is_none() && self.state_holder.is_none() && self.reservations.is_empty()
    }
}

/// An attempt in flight.
pub struct Attempt {
    /// Number of the attempt, unique within its request.
    pub number: u16,
    /// The worker that runs it.
    pub worker: WorkerId,
    /// Whether the attempt only prefills; otherwise it decodes.
    pub is_prefill: bool,
    /// Whether the first part of the response has arrived.
    pub streaming: bool,
    /// Tokens relayed to the client.
    pub tokens: u32,
    /// Relayed tokens for which the worker has not been granted new ones.
    pub unacknowledged_tokens: u32,
}

impl Attempt {
    /// Creates an attempt that is dispatched now.
    pub fn new(number: u16, worker: WorkerId, is_prefill: bool) -> Attempt {
        Attempt { number, worker, is_prefill, streaming: false, tokens: 0, unacknowledged_tokens: 0 }
    }
}
