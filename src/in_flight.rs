//! What this router has in flight at each worker, accounted as it changes. It decides nothing.

use std::collections::{BTreeSet, HashMap};

use foldhash::fast::FixedState;

use crate::types::{RequestId, TenthMillis, WorkerId};

/// What one attempt or reservation keeps busy at a worker.
#[derive(Clone, Copy)]
pub enum Work {
    /// A prompt of so many tokens is prefilled.
    Prefill {
        /// The prompt's tokens.
        tokens: f64,
    },
    /// A response is awaited or streams, or a decode reservation is held or asked for.
    Stream,
}

/// This router's load at one worker.
#[derive(Default)]
pub struct Load {
    /// Prompts being prefilled.
    pub prefills: u32,
    /// Their tokens.
    pub prefill_tokens: f64,
    /// Responses awaited or streaming, and decode reservations.
    pub streams: u32,
    /// Attempts that have not begun to answer, by when they were sent.
    pub awaited: BTreeSet<(TenthMillis, RequestId)>,
}

impl Load {
    /// Since when an answer has been awaited longest; `now` if none is.
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
                // Guards against what rounding leaves.
                self.prefill_tokens = if self.prefills == 0 { 0.0 } else { self.prefill_tokens - tokens };
            }
            Work::Stream => self.streams -= 1,
        }
    }
}

/// What a request's attempt occupies.
#[derive(Clone, Copy)]
pub struct AttemptOccupancy {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// What it does there.
    pub work: Work,
    /// When it was sent, while its answer is awaited.
    pub awaited_since: Option<TenthMillis>,
}

/// What a request occupies at workers.
#[derive(Clone, Copy, Default)]
pub struct Occupancy {
    /// The attempt in flight.
    pub attempt: Option<AttemptOccupancy>,
    /// The decode worker at which it has a reservation, or has asked for one.
    pub reservation: Option<WorkerId>,
}

/// The accounts of all workers. They are exact after [`InFlight::settle`] and what is added after it; within a
/// scheduling pass, new work counts provisionally and finished requests still count.
#[derive(Default)]
pub struct InFlight {
    loads: HashMap<WorkerId, Load, FixedState>,
    provisional: Vec<(WorkerId, Work)>,
    finished: Vec<(RequestId, Occupancy)>,
}

impl InFlight {
    /// The load at a worker.
    pub fn at(&mut self, worker: WorkerId) -> &mut Load {
        self.loads.entry(worker).or_default()
    }

    /// Counts an attempt or reservation within a pass, until [`InFlight::settle`].
    pub fn add_provisional(&mut self, worker: WorkerId, work: Work) {
        self.at(worker).add(work);
        self.provisional.push((worker, work));
    }

    /// How many attempts and reservations count provisionally.
    pub fn provisional_count(&self) -> usize {
        self.provisional.len()
    }

    /// A request is over; what it occupied still counts until [`InFlight::settle`].
    pub fn finish(&mut self, id: RequestId, occupancy: Occupancy) {
        self.finished.push((id, occupancy));
    }

    /// Takes off what counted provisionally and what finished requests occupied.
    pub fn settle(&mut self) {
        for (worker, work) in std::mem::take(&mut self.provisional) {
            self.at(worker).remove(work);
        }
        for (id, occupancy) in std::mem::take(&mut self.finished) {
            self.remove(id, occupancy);
        }
    }

    /// Counts what a request occupies.
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

    /// Takes off what a request occupied.
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
