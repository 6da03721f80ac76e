//! One tenant: what it may, what it has waiting and in flight, and what came of it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::rate::{Rate, Taken};
use crate::{Micros, Ticket};

/// What a tenant may. A limit that is None does not bind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Submissions a second, and prompt tokens a second.
    pub requests: Option<Rate>,
    pub tokens: Option<Rate>,
    pub in_flight: Option<u32>,
    /// Its part of what there is, against the weights of others that have work; 0 for what others leave.
    pub weight: f64,
    /// Submissions that may wait; beyond, the one that earns least is turned back.
    pub waiting: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { requests: None, tokens: None, in_flight: None, weight: 1.0, waiting: 100 }
    }
}

/// What came of a tenant's submissions so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub asked: u64,
    pub let_in: u64,
    /// Turned back here, not by the decision module.
    pub rejected: u64,
    pub in_time: u64,
    pub late: u64,
    /// Microseconds that those let in waited, all together.
    pub waited: u64,
    pub waiting: u32,
    pub in_flight: u32,
}

/// Earnings first, in order: what earns more goes first, then what came first.
pub(crate) type Rank = (Reverse<u64>, u64);

pub(crate) struct Waiting {
    pub ticket: Ticket,
    pub tokens: f64,
    pub since: Micros,
}

pub(crate) struct State {
    pub limits: Limits,
    pub taken: [Taken; 2],
    pub waiting: BTreeMap<Rank, Waiting>,
    /// When, in virtual time, what it was let in so far is paid for.
    pub paid: f64,
    pub removed: bool,
    pub figures: Figures,
}

impl State {
    pub fn new(limits: Limits) -> State {
        State {
            limits,
            taken: Default::default(),
            waiting: BTreeMap::new(),
            paid: 0.0,
            removed: false,
            figures: Figures::default(),
        }
    }

    /// The limits on rates, each with what one of so many prompt tokens takes of it.
    fn rates(&self, tokens: f64) -> [(Option<Rate>, f64); 2] {
        [(self.limits.requests, 1.0), (self.limits.tokens, tokens)]
    }

    /// From when on its rates let one of so many prompt tokens through; None for never.
    pub fn free_at(&self, now: Micros, tokens: f64) -> Option<Micros> {
        let mut free = now;
        for (taken, (rate, units)) in self.taken.iter().zip(self.rates(tokens)) {
            if let Some(rate) = rate {
                free = free.max(taken.free_at(rate, now, units)?);
            }
        }
        Some(free)
    }

    pub fn take(&mut self, now: Micros, tokens: f64) {
        let rates = self.rates(tokens);
        for (taken, (rate, units)) in self.taken.iter_mut().zip(rates) {
            if let Some(rate) = rate {
                taken.take(rate, now, units);
            }
        }
    }

    pub fn relimit(&mut self, now: Micros, limits: Limits) {
        let pairs = [(self.limits.requests, limits.requests), (self.limits.tokens, limits.tokens)];
        for (taken, (old, new)) in self.taken.iter_mut().zip(pairs) {
            match (old, new) {
                (Some(old), Some(new)) => taken.rescale(old, new, now),
                _ => *taken = Taken::default(),
            }
        }
        self.limits = limits;
    }

    /// No more of it may be in flight.
    pub fn full(&self) -> bool {
        self.limits.in_flight.is_some_and(|most| self.figures.in_flight >= most)
    }
}
