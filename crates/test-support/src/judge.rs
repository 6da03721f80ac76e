//! The checker beside a clock and chance, told by stand-ins of what passes.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use tideroute::rng::Rng;
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::checker::{Break, Checker};
use crate::customer::{between, Customer, Role};
use crate::http_messages::{attempted_request, value_after};
use crate::virtual_time::{EPOCH, MS};

/// The part of reads that end well just as their connection ends.
const READ_AT_THE_END: f64 = 0.1;

/// A connection to a worker, by a number that no other of that worker has meanwhile.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct On {
    pub worker: usize,
    pub number: u64,
}

impl On {
    fn connection(self) -> (usize, ConnectionId) {
        (self.worker, ConnectionId(self.number))
    }
}

/// What a stand-in tells of what passes at a worker, and what it asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Report {
    /// The last byte of a call has come, whose head is this.
    Arrives {
        on: On,
        head: String,
    },
    /// A read is over, and may have left its state.
    Read {
        on: On,
        request: usize,
        left_state: bool,
    },
    /// An attempt to be answered has failed.
    Failed {
        on: On,
        request: usize,
        never_ran: bool,
    },
    /// Events of an answer have begun.
    Begins {
        request: usize,
    },
    /// An answer is whole.
    Answered {
        on: On,
    },
    /// The connection is over, or its worker has seen that.
    Closed {
        on: On,
    },
    HoldsPlace {
        on: On,
        request: usize,
    },
    Released {
        request: usize,
    },
    /// Asks whether a read of the request is out.
    IsRead {
        request: usize,
    },
    /// Asks whether its state is somewhere.
    HasState {
        request: usize,
    },
}

pub struct Judge {
    pub customer: Customer,
    pub began: Instant,
    checker: Mutex<Checker>,
    draw: Mutex<Rng>,
    /// When routers were told that a worker drains.
    drains: Mutex<BTreeMap<usize, Micros>>,
    /// All that was told, with its time.
    notes: Mutex<Vec<String>>,
    reports: Mutex<Vec<Report>>,
}

impl Judge {
    /// One that sees what passes so much later, at most, than it was done.
    pub fn new(customer: Customer, draw: Rng, noise: Micros) -> Judge {
        Judge {
            customer,
            began: Instant::now(),
            checker: Mutex::new(Checker::new(EPOCH, noise)),
            draw: Mutex::new(draw),
            drains: Mutex::default(),
            notes: Mutex::default(),
            reports: Mutex::default(),
        }
    }

    pub fn now(&self) -> Micros {
        EPOCH + self.began.elapsed().as_micros() as Micros
    }

    /// Milliseconds since the beginning.
    pub fn now_ms(&self) -> f64 {
        (self.now() - EPOCH) as f64 / MS as f64
    }

    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn broken(&self) -> Option<Break> {
        self.checker().broken.clone()
    }

    /// What is owed to somebody was not paid.
    pub fn breaks(&self, what: String) {
        let now = self.now();
        self.note(what.clone());
        self.checker().breaks_otherwise(now, what);
    }

    /// What the rules ask for at any moment.
    pub fn look(&self) {
        let now = self.now();
        self.checker().look(now, &self.customer);
    }

    pub fn unit(&self) -> f64 {
        self.draw.lock().unwrap_or_else(PoisonError::into_inner).unit()
    }

    pub fn between(&self, least: f64, most: f64) -> u64 {
        between(&mut self.draw.lock().unwrap_or_else(PoisonError::into_inner), least, most) as u64
    }

    /// Writes something down beside what is reported.
    pub fn note(&self, what: String) {
        let at = self.now_ms();
        self.notes.lock().unwrap_or_else(PoisonError::into_inner).push(format!("{at:.3} {what}"));
    }

    /// All that was written down and reported, in order.
    pub fn notes(&self) -> Vec<String> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// All that was reported, in order.
    pub fn reports(&self) -> Vec<Report> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Routers are told of a worker, since when it drains if it does.
    pub fn told(&self, worker: usize, drains: Option<Micros>) {
        let mut told = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(since) = drains {
            told.entry(worker).or_insert(since);
        } else {
            told.remove(&worker);
        }
    }

    /// A worker's process has ended, with all that it held and worked on.
    pub fn worker_died(&self, worker: usize) {
        let now = self.now();
        self.checker().worker_died(now, worker);
    }

    fn writes(&self, worker: usize) -> bool {
        self.customer.workers[worker].role != Role::Reads
    }

    /// Takes a report; the answer to one that asks.
    pub fn take(&self, report: Report) -> bool {
        let now = self.now();
        self.note(format!("{report:?}"));
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).push(report.clone());
        match report {
            Report::Arrives { on, head } => self.arrives(now, on, &head),
            Report::Read { on, request, left_state } => {
                let mut checker = self.checker();
                checker.attempts_end(now, on.connection());
                if left_state {
                    checker.holds_state(now, request, on.worker);
                }
            }
            Report::Failed { on, request, never_ran } => {
                let mut checker = self.checker();
                checker.attempts_end(now, on.connection());
                if never_ran {
                    checker.told_never_ran(request, on.connection());
                }
            }
            Report::Begins { request } => self.checker().begins(request),
            Report::Answered { on } => drop(self.checker().attempts_end(now, on.connection())),
            Report::Closed { on } => self.closed(now, on),
            Report::HoldsPlace { on, request } => self.checker().holds_place(now, request, on.worker),
            Report::Released { request } => self.checker().released(request),
            Report::IsRead { request } => return self.checker().is_read(request),
            Report::HasState { request } => return self.checker().has_state(request),
        }
        true
    }

    fn arrives(&self, now: Micros, on: On, head: &str) {
        let told = self.drains.lock().unwrap_or_else(PoisonError::into_inner).get(&on.worker).copied();
        let mut checker = self.checker();
        if head.starts_with("POST ") {
            checker.leaves(now, &self.customer, &head[..head.len().min(25)], told);
        }
        if let Some(request) = attempted_request(head) {
            let told_ms: u64 = value_after(head, "x-expires-in-ms: ").parse().unwrap_or(u64::MAX / 2_000);
            checker.tells_deadline(now, request, told_ms * MS);
            let writes = self.writes(on.worker);
            checker.arrives(now, &self.customer, request, (on.worker, on.connection()), writes);
        }
    }

    /// Some reads end well in the very moment in which their connection ends.
    fn closed(&self, now: Micros, on: On) {
        let mut checker = self.checker();
        for (request, worker, writes) in checker.attempts_end(now, on.connection()) {
            let reads = !writes || checker.wants_state(request) && self.customer.reads_by_itself(worker);
            if reads && self.unit() < READ_AT_THE_END {
                checker.holds_state(now, request, worker);
            }
        }
    }
}
