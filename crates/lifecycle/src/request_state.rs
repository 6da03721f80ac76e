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
    /// Decode workers asked for a reservation that have not denied it, the most recent last.
    pub reservations: Vec<WorkerId>,
    /// When the first token arrived.
    pub first_token_at: Option<Micros>,
    /// The final response was sent, or the client disconnected.
    pub finished: bool,
    /// The steps that the invariants still permit.
    pub record: RequestRecord,
}

impl<Context> RequestState<Context> {
    /// A request that has just arrived, still without a deadline.
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
            // `RequestLifecycle::accept` replaces it by the record of the request's class and deadline.
            record: RequestRecord::new(Idempotency::NonIdempotent, 0),
        }
    }

    /// Sets the arrival time, and the deadline `remaining_time` after it.
    pub fn with_deadline(self, arrived_at: Micros, remaining_time: Micros) -> RequestState<Context> {
        RequestState { arrived_at, deadline: arrived_at + remaining_time, ..self }
    }

    /// Whether the attempt of that number is in flight.
    pub fn is_current_attempt(&self, number: u16) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.number == number)
    }

    /// Whether the attempt in flight has begun to stream its response.
    pub fn is_streaming(&self) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.streaming)
    }

    /// The prefill worker of the attempt in flight, if that attempt is a prefill.
    pub(crate) fn prefill_worker(&self) -> Option<WorkerId> {
        let attempt = self.attempt.as_ref()?;
        attempt.is_prefill.then_some(attempt.worker)
    }

    /// Whether nothing is in flight, reserved or stored at a worker for the request.
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
    /// It only prefills; else it decodes.
    pub is_prefill: bool,
    /// The first part of the response has arrived.
    pub streaming: bool,
    /// Tokens relayed to the client.
    pub tokens: u32,
    /// Relayed tokens that have not been granted back to the worker.
    pub unacknowledged_tokens: u32,
}

impl Attempt {
    /// An attempt that is dispatched now.
    pub fn new(number: u16, worker: WorkerId, is_prefill: bool) -> Attempt {
        Attempt { number, worker, is_prefill, streaming: false, tokens: 0, unacknowledged_tokens: 0 }
    }
}
