//! What the host knows of each open submission.

use std::collections::BTreeMap;

use tideroute::types::{Idempotency, RequestId, WorkerId};
use tideroute_invariants::RequestRecord;
use tideroute_wire::Micros;

/// Bits of an id that count submissions; those above tell routers and their starts apart.
const COUNTED: u32 = 40;

/// A submission as the client handed it over, and what is out for it.
pub struct RequestState<A> {
    /// What the protocol keeps of it.
    pub context: A,
    pub class: u8,
    pub session: u64,
    pub prefix: u64,
    pub prompt_tokens: u32,
    pub arrived_at: Micros,
    pub deadline: Micros,
    pub attempts: u16,
    pub attempt: Option<Attempt>,
    /// The reader where its state waits.
    pub state_holder: Option<WorkerId>,
    /// Writers asked for a place that have not said no, the last one last.
    pub reservations: Vec<WorkerId>,
    /// When its first token came.
    pub first_token_at: Option<Micros>,
    /// The final answer was given, or nobody waits for one.
    pub finished: bool,
    /// What may be done for it.
    pub record: RequestRecord,
}

impl<A> RequestState<A> {
    /// One that has just come.
    pub fn new(asked: A, class: u8, (session, prefix): (u64, u64), prompt_tokens: u32) -> RequestState<A> {
        RequestState {
            context: asked,
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
            // The books put the request's own in its place as they take it.
            record: RequestRecord::new(Idempotency::NonIdempotent, 0),
        }
    }

    /// It came then and its client waits so long.
    pub fn with_deadline(self, came: Micros, left: Micros) -> RequestState<A> {
        RequestState { arrived_at: came, deadline: came + left, ..self }
    }

    pub fn is_current_attempt(&self, number: u16) -> bool {
        self.attempt.as_ref().is_some_and(|s| s.number == number)
    }

    pub fn is_streaming(&self) -> bool {
        self.attempt.as_ref().is_some_and(|s| s.streaming)
    }

    pub fn holds_nothing(&self) -> bool {
        self.attempt.is_none() && self.state_holder.is_none() && self.reservations.is_empty()
    }
}

/// The shot that is out.
pub struct Attempt {
    pub number: u16,
    pub worker: WorkerId,
    pub is_prefill: bool,
    pub streaming: bool,
    /// Tokens relayed, and those of them that the worker has not been told of.
    pub tokens: u32,
    pub unacknowledged_tokens: u32,
}

impl Attempt {
    /// One that goes out now.
    pub fn new(number: u16, worker: WorkerId, reading: bool) -> Attempt {
        Attempt { number, worker, is_prefill: reading, streaming: false, tokens: 0, unacknowledged_tokens: 0 }
    }
}

/// What a timer's key keeps of an id.
pub fn short(id: RequestId) -> u64 {
    id & ((1 << COUNTED) - 1)
}

/// All open submissions by id. Ids count up from a base that tells starts apart in logs;
/// where those of several routers meet, what a router's Hello says stands before them.
pub struct RequestTable<A> {
    base: u64,
    count: u64,
    open: BTreeMap<RequestId, RequestState<A>>,
}

impl<A> RequestTable<A> {
    pub fn new(seed: u64) -> Self {
        RequestTable { base: seed << COUNTED, count: 0, open: BTreeMap::new() }
    }

    /// The id that the next submission will have.
    pub fn next_id(&self) -> RequestId {
        self.base | (self.count + 1)
    }

    pub fn insert(&mut self, request: RequestState<A>) -> RequestId {
        let id = self.next_id();
        self.count += 1;
        self.open.insert(id, request);
        id
    }

    /// The id again, of which a timer's key kept what [`short`] gives.
    pub fn expand_id(&self, short: u64) -> RequestId {
        self.base | short
    }

    pub fn get(&self, id: RequestId) -> Option<&RequestState<A>> {
        self.open.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState<A>> {
        self.open.get_mut(&id)
    }

    pub fn remove(&mut self, id: RequestId) {
        self.open.remove(&id);
    }

    /// All that are open, in the order in which they came.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestState<A>)> {
        self.open.iter().map(|(id, s)| (*id, s))
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether any is open whose client still waits or whose shot is still out.
    pub fn all_finished(&self) -> bool {
        self.open.values().all(|s| s.finished)
    }
}
