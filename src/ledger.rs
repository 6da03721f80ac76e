//! What a router has out at each worker, booked as it changes. It decides nothing.

use std::collections::{BTreeSet, HashMap};

use foldhash::fast::FixedState;

use crate::types::{Endpoint, RequestId, TenthMillis, WorkerId};

/// What is out of a submission.
#[derive(Default)]
pub struct Attempt {
    pub number: u16,
    pub worker: WorkerId,
    /// The worker as it was listed when the shot went out.
    pub list: Endpoint,
    pub reading: bool,
    pub sent: TenthMillis,
    pub started: bool,
    pub withdrawn: bool,
    /// Its worker was suspected for its sake; and then it was taken for lost.
    pub suspected: bool,
    pub lost: bool,
    pub cross: bool,
}

#[derive(Default)]
pub struct Load {
    /// Prompts being read: how many, and their tokens.
    pub reads: u32,
    pub tokens: f64,
    /// Answers out or streaming, and places.
    pub streams: u32,
    /// Shots that have not begun to answer, by when they were sent.
    pub awaited: BTreeSet<(TenthMillis, RequestId)>,
}

/// What a submission counts for at workers.
#[derive(Clone, Copy, Default)]
pub struct Booked {
    /// The shot's worker, the prompt while it is read, and when it was sent while it is awaited.
    pub attempt: Option<(WorkerId, Option<f64>, Option<TenthMillis>)>,
    pub place: Option<WorkerId>,
}

#[derive(Default)]
pub struct Ledger {
    loads: HashMap<WorkerId, Load, FixedState>,
    /// What was counted ahead, and what is over: both are taken off when the books are closed.
    ahead: Vec<(WorkerId, Option<f64>)>,
    over: Vec<(RequestId, Booked)>,
}

impl Ledger {
    pub fn at(&mut self, worker: WorkerId) -> &mut Load {
        self.loads.entry(worker).or_default()
    }

    /// Counts a send or a place before it is booked.
    pub fn add_ahead(&mut self, worker: WorkerId, prompt: Option<f64>) {
        self.at(worker).carry(prompt, true);
        self.ahead.push((worker, prompt));
    }

    /// How much has been counted ahead.
    pub fn ahead(&self) -> usize {
        self.ahead.len()
    }

    /// A submission is over; what it counted for stands until the books are closed.
    pub fn leave(&mut self, id: RequestId, booked: Booked) {
        self.over.push((id, booked));
    }

    /// Takes off what was counted ahead and what is over.
    pub fn close(&mut self) {
        for (worker, prompt) in std::mem::take(&mut self.ahead) {
            self.at(worker).carry(prompt, false);
        }
        for (id, booked) in std::mem::take(&mut self.over) {
            self.book(id, booked, false);
        }
    }

    /// Books a submission on, or off again.
    pub fn book(&mut self, id: RequestId, booked: Booked, on: bool) {
        if let Some((worker, prompt, sent)) = booked.attempt {
            let load = self.at(worker);
            load.carry(prompt, on);
            if on {
                load.awaited.extend(sent.map(|sent| (sent, id)));
            } else if let Some(sent) = sent {
                load.awaited.remove(&(sent, id));
            }
        }
        if let Some(place) = booked.place {
            self.at(place).carry(None, on);
        }
    }
}

impl Load {
    /// Since when an answer has been awaited longest.
    pub fn oldest(&self, now: TenthMillis) -> TenthMillis {
        self.awaited.first().map_or(now, |(sent, _)| now.min(*sent))
    }

    /// Counts a read, with its prompt, or a stream in or out.
    fn carry(&mut self, prompt: Option<f64>, on: bool) {
        match prompt {
            Some(prompt) if on => (self.reads, self.tokens) = (self.reads + 1, self.tokens + prompt),
            Some(prompt) => {
                self.reads -= 1;
                // Guards against what rounding leaves.
                self.tokens = if self.reads == 0 { 0.0 } else { self.tokens - prompt };
            }
            None if on => self.streams += 1,
            None => self.streams -= 1,
        }
    }
}
