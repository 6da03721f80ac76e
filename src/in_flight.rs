//! In-flight accounting: what this router has in flight at each worker, updated as it changes. This module makes no
//! decisions.

use std::collections::{BTreeSet, HashMap};

use foldhash::fast::FixedState;

use crate::types::{RequestId, TenthMillis, WorkerId};

/// The work that one attempt or reservation causes at a worker.
#[derive(Clone, Copy)]
pub enum Work {
    /// The prefill of a prompt.
    Prefill {
        /// The length of the prompt in tokens.
        tokens: f64,
    },
    /// A response that is awaited or streaming, or a decode reservation that is held or requested.
    Stream,
}

/// This router's load at one worker.
#[derive(Default)]
pub struct Load {
    /// Number of prompts being prefilled.
    pub prefills: u32,
    /// Number of tokens of these prompts.
    pub prefill_tokens: f64,
    /// Number of responses that are awaited or streaming, and of decode reservations.
    pub streams: u32,
    /// Attempts that have not been answered yet, ordered by the time at which they were sent.
    pub awaited: BTreeSet<(TenthMillis, RequestId)>,
}

impl Load {
    /// Returns when the oldest unanswered attempt was sent; `now` if there is none.
    pub fn oldest_awaited(&self, now: TenthMillis) -> TenthMillis {
        self.awaited.first().map_or(now, |(sent_at, _)| now.min(*sent_at))
    }

    fn add(&mut self, work: Work) {
        match work {
            Work::Prefill { tokens } => {
                self.prefills += 1;
                self.prefill_tokens += tokens;
            }
            Work::Stream => self.streams += 1,
        }
    }

    fn remove(&mut self, work: Work) {
        match work {
            Work::Prefill { tokens } => {
                self.prefills -= 1;
                // Sets the sum to 0 when nothing is left, so that rounding errors do not accumulate.
                self.prefill_tokens = if self.prefills == 0 { 0.0 } else { self.prefill_tokens - tokens };
            }
            Work::Stream => self.streams -= 1,
        }
    }
}

/// The work of a request's attempt at its worker.
#[derive(Clone, Copy)]
pub struct AttemptOccupancy {
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
    /// The work that the attempt causes there.
    pub work: Work,
    /// When the attempt was sent; None once it has been answered.
    pub awaited_since: Option<TenthMillis>,
}

/// All that a request occupies at workers.
#[derive(Clone, Copy, Default)]
pub struct Occupancy {
    /// The attempt in flight.
    pub attempt: Option<AttemptOccupancy>,
    /// The decode worker at which the request holds a reservation, or has requested one.
    pub reservation: Option<WorkerId>,
}

/// The accounts of all workers. They are exact at the start of a scheduling pass, after [`InFlight::settle`] and
/// the updates that follow it. Within a pass, new work is counted provisionally and finished requests still
/// count.
#[derive(Default)]
pub struct InFlight {
    loads: HashMap<WorkerId, Load, FixedState>,
    provisional: Vec<(WorkerId, Work)>,
    finished: Vec<(RequestId, Occupancy)>,
}

impl InFlight {
    /// Returns this router's load at a worker.
    pub fn at(&mut self, worker: WorkerId) -> &mut Load {
        self.loads.entry(worker).or_default()
    }

    /// Counts a new attempt or reservation provisionally, until [`InFlight::settle`].
    pub fn add_provisional(&mut self, worker: WorkerId, work: Work) {
        self.at(worker).add(work);
        self.provisional.push((worker, work));
    }

    /// Returns how many attempts and reservations are counted provisionally.
    pub fn provisional_count(&self) -> usize {
        self.provisional.len()
    }

    /// Records that a request has ended; what it occupied still counts until [`InFlight::settle`].
    pub fn finish(&mut self, id: RequestId, occupancy: Occupancy) {
        self.finished.push((id, occupancy));
    }

    /// Subtracts what was counted provisionally and what finished requests occupied.
    pub fn settle(&mut self) {
        for (worker, work) in std::mem::take(&mut self.provisional) {
            self.at(worker).remove(work);
        }
        for (id, occupancy) in std::mem::take(&mut self.finished) {
            self.remove(id, occupancy);
        }
    }

    /// Adds what a request occupies.
    pub fn add(&mut self, id: RequestId, occupancy: Occupancy) {
        if let Some(attempt) = occupancy.attempt {
            let load = self.at(attempt.worker);
            load.add(attempt.work);
            if let Some(sent_at) = attempt.awaited_since {
                load.awaited.insert((sent_at, id));
            }
        }
        if let Some(worker) = occupancy.reservation {
            self.at(worker).add(Work::Stream);
        }
    }

    /// Subtracts what a request occupied.
    pub fn remove(&mut self, id: RequestId, occupancy: Occupancy) {
        if let Some(attempt) = occupancy.attempt {
            let load = self.at(attempt.worker);
            load.remove(attempt.work);
            if let Some(sent_at) = attempt.awaited_since {
                load.awaited.remove(&(sent_at, id));
            }
        }
        if let Some(worker) = occupancy.reservation {
            self.at(worker).remove(Work::Stream);
        }
    }
}
