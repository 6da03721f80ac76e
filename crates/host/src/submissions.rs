//! What the host knows of each open submission.

use std::collections::BTreeMap;

use bytes::Bytes;
use tideroute::interface::{SubmissionId, WorkerId};
use tideroute_wire::link::Link;
use tideroute_wire::Micros;

/// Bits of an id that count submissions; those above tell routers and their starts apart.
const COUNTED: u32 = 40;

/// A submission as the client handed it over, and what is out for it.
pub struct Submission {
    pub client: Link,
    /// The client's own number for it.
    pub number: u64,
    pub track: u8,
    pub session: u64,
    pub prefix: u64,
    pub prompt_tokens: u32,
    pub prefix_tokens: u32,
    pub most_tokens: u32,
    pub mark: u64,
    pub prompt: Bytes,
    pub came: Micros,
    pub cut_off: Micros,
    pub shots: u16,
    pub shot: Option<Shot>,
    /// The reader where its state waits.
    pub state: Option<WorkerId>,
    /// Writers asked for a place that have not said no, the last one last.
    pub places: Vec<WorkerId>,
    /// When its first token came.
    pub first: Option<Micros>,
    /// The final answer was given, or nobody waits for one.
    pub over: bool,
}

/// The shot that is out.
pub struct Shot {
    pub number: u16,
    pub worker: WorkerId,
    pub reading: bool,
    pub started: bool,
    /// Tokens relayed, and those of them that the worker has not been told of.
    pub tokens: u32,
    pub owed: u32,
}

impl Submission {
    pub fn shot_is(&self, number: u16) -> bool {
        self.shot.as_ref().is_some_and(|s| s.number == number)
    }

    pub fn streams(&self) -> bool {
        self.shot.as_ref().is_some_and(|s| s.started)
    }

    pub fn holds_nothing(&self) -> bool {
        self.shot.is_none() && self.state.is_none() && self.places.is_empty()
    }
}

/// All open submissions by id. Ids count up from a base that no other router or start of one is likely to have.
pub struct Submissions {
    base: u64,
    count: u64,
    open: BTreeMap<SubmissionId, Submission>,
}

impl Submissions {
    pub fn new(seed: u64) -> Self {
        Submissions { base: seed << COUNTED, count: 0, open: BTreeMap::new() }
    }

    pub fn insert(&mut self, submission: Submission) -> SubmissionId {
        self.count += 1;
        let id = self.base | self.count;
        self.open.insert(id, submission);
        id
    }

    /// What a timer's key keeps of an id, and the id again.
    pub fn short(id: SubmissionId) -> u64 {
        id & ((1 << COUNTED) - 1)
    }

    pub fn long(&self, short: u64) -> SubmissionId {
        self.base | short
    }

    pub fn get(&self, id: SubmissionId) -> Option<&Submission> {
        self.open.get(&id)
    }

    pub fn get_mut(&mut self, id: SubmissionId) -> Option<&mut Submission> {
        self.open.get_mut(&id)
    }

    pub fn remove(&mut self, id: SubmissionId) {
        self.open.remove(&id);
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether any is open whose client still waits or whose shot is still out.
    pub fn none_waits(&self) -> bool {
        self.open.values().all(|s| s.over)
    }
}
