//! A plain model of the rules: it is told what passed between clients, routers and workers, and knows nothing of how a
//! router decides.

use std::fmt;

use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::customer::{Customer, Effect};
use crate::virtual_time::MS;

/// What the protocol allows on sockets beyond each limit.
const SLACK: Micros = 50 * MS;
/// And beyond the limit for what is held.
const HELD_SLACK: Micros = 300 * MS;
/// After a client's close no attempt begins any more.
const AFTER_CLOSE: Micros = 100 * MS;
/// A deadline told to a worker may be so much longer than what is left to the client.
const DEADLINE_SLACK: Micros = 150 * MS;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Rule {
    Lost,
    Duplicate,
    Drain,
    Pinned,
    Deadline,
}

/// A rule that was broken, when (milliseconds since the start), and how.
#[derive(Clone, Debug)]
pub struct Break {
    pub rule: Rule,
    at_ms: u64,
    what: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.rule, self.at_ms, self.what)
    }
}

/// One router's connection to a worker.
pub type Connection = (usize, ConnectionId);

struct Attempt {
    worker: usize,
    on: Connection,
    /// It answers, and so has the request's effect; else it only reads the prompt.
    writes: bool,
    arrived: Micros,
    /// Its worker still has it.
    out: bool,
    /// The router has ended its connection, of which the worker may not know yet.
    given_up: bool,
    /// The router was told that it never ran.
    never_ran: bool,
}

struct Request {
    class: usize,
    until: Micros,
    closed: Option<Micros>,
    answered: Option<Micros>,
    attempts: Vec<Attempt>,
    /// Where its state waits and a place is held, and since when they may be with no attempt out.
    state: Option<usize>,
    place: Option<usize>,
    since: Micros,
    begun: bool,
    excused: bool,
}

impl Request {
    fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}

pub struct Checker {
    began: Micros,
    /// How much later something may be seen than it was done; none in virtual time.
    noise: Micros,
    requests: Vec<Request>,
    pub broken: Option<Break>,
}

impl Checker {
    pub fn new(began: Micros, noise: Micros) -> Checker {
        Checker { began, noise, requests: vec![], broken: None }
    }

    fn breaks(&mut self, now: Micros, rule: Rule, what: String) {
        self.broken.get_or_insert(Break { rule, at_ms: (now - self.began) / MS, what });
    }

    /// A request's last byte was written to its router; its number is its place among all.
    pub fn asked(&mut self, now: Micros, class: usize, wait: Micros) -> usize {
        self.requests.push(Request {
            class,
            until: now + wait,
            closed: None,
            answered: None,
            attempts: vec![],
            state: None,
            place: None,
            since: now,
            begun: false,
            excused: false,
        });
        self.requests.len() - 1
    }

    /// How many requests were asked.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Until when a request's client waits.
    pub fn until(&self, request: usize) -> Micros {
        self.requests[request].until
    }

    pub fn class(&self, request: usize) -> usize {
        self.requests[request].class
    }

    /// Something is broken that shows without a request of its own.
    pub fn breaks_otherwise(&mut self, now: Micros, what: String) {
        self.breaks(now, Rule::Lost, what);
    }

    /// Its router was killed: what that held for it is nobody's duty any more.
    pub fn router_killed(&mut self, request: usize) {
        self.requests[request].excused = true;
    }

    /// Its client has closed its connection.
    pub fn client_closed(&mut self, now: Micros, request: usize) {
        self.requests[request].closed.get_or_insert(now);
    }

    /// Its final answer has begun, or a stream has.
    pub fn client_answered(&mut self, now: Micros, customer: &Customer, request: usize, status: u16) {
        let r = &mut self.requests[request];
        r.answered = Some(now);
        let effect = customer.classes[r.class].effect;
        let refused = matches!(status, 429 | 503);
        let may_have_run = r.attempts.iter().any(|a| a.writes && !a.never_ran);
        let begun = r.begun || r.excused;
        if refused && may_have_run && !effect.may_be_refused_after_run() {
            let what = format!("request {request} ({effect:?}) is refused, and may have run");
            self.breaks(now, Rule::Duplicate, what);
        }
        if status == 200 && !begun {
            let what = format!("request {request} is served with what no worker made for it");
            self.breaks(now, Rule::Lost, what);
        }
    }

    /// The router has ended its client's connection with no answer.
    pub fn client_left_alone(&mut self, now: Micros, request: usize) {
        let r = &self.requests[request];
        if r.closed.is_none() && !r.excused {
            self.breaks(now, Rule::Lost, format!("the connection of request {request} ended with no answer"));
        }
    }

    pub fn is_answered(&self, request: usize) -> bool {
        self.requests[request].answered.is_some()
    }

    /// The first byte of an attempt, or of a call for a place, leaves a router that was told of the worker's drain
    /// then, if it was.
    pub fn leaves(&mut self, now: Micros, customer: &Customer, what: &str, told: Option<Micros>) {
        if told.is_some_and(|at| now > at + customer.grace + SLACK + self.noise) {
            self.breaks(now, Rule::Drain, format!("{what} to a worker that drains"));
        }
    }

    /// An attempt's head leaves, and tells its worker how long there is.
    pub fn tells_deadline(&mut self, now: Micros, request: usize, told: Micros) {
        let left = self.requests[request].until.saturating_sub(now);
        if told > left + DEADLINE_SLACK + self.noise {
            let what = format!("request {request} is told {} ms, {} ms are left", told / MS, left / MS);
            self.breaks(now, Rule::Deadline, what);
        }
    }

    /// An attempt's last byte has come to a worker.
    pub fn arrives(
        &mut self,
        now: Micros,
        customer: &Customer,
        request: usize,
        (worker, on): (usize, Connection),
        writes: bool,
    ) {
        let r = &self.requests[request];
        let effect = customer.classes[r.class].effect;
        let late = |at: Option<Micros>| at.is_some_and(|at| now > at + AFTER_CLOSE + self.noise);
        let mut problem = None;
        if late(r.closed) {
            problem = Some((Rule::Lost, "begins after its client has closed".to_string()));
        } else if r.answered.is_some_and(|at| now > at + self.noise) {
            problem = Some((Rule::Lost, "is sent on after its final answer".to_string()));
        } else if self.noise == 0 && r.attempts.iter().any(|a| a.out && !a.given_up && a.writes && writes) {
            problem = Some((Rule::Duplicate, format!("({effect:?}) is sent again while an attempt is out")));
        } else if writes {
            problem = repeats(now.saturating_sub(self.noise), customer, effect, r, worker)
                .map(|what| (Rule::Duplicate, what));
        }
        if let Some((rule, what)) = problem {
            self.breaks(now, rule, format!("request {request} {what}"));
        }
        let r = &mut self.requests[request];
        r.place = r.place.filter(|_| !writes);
        r.attempts.push(Attempt {
            worker,
            on,
            writes,
            arrived: now,
            out: true,
            given_up: false,
            never_ran: false,
        });
    }

    /// The router has been told that the attempt on a connection never ran.
    pub fn told_never_ran(&mut self, request: usize, on: Connection) {
        let attempts = self.requests[request].attempts.iter_mut();
        attempts.filter(|a| a.on == on).for_each(|a| a.never_ran = true);
    }

    /// The router has ended a connection.
    pub fn gives_up(&mut self, on: Connection) {
        let attempts = self.requests.iter_mut().flat_map(|r| &mut r.attempts);
        attempts.filter(|a| a.on == on).for_each(|a| a.given_up = true);
    }

    /// The attempts on a connection are over: its worker has answered, or one side has ended it.
    pub fn attempts_end(&mut self, now: Micros, on: Connection) -> Vec<(usize, usize, bool)> {
        let mut ended = vec![];
        for (number, r) in self.requests.iter_mut().enumerate() {
            for attempt in r.attempts.iter_mut().filter(|a| a.out && a.on == on) {
                attempt.out = false;
                r.since = now;
                ended.push((number, attempt.worker, attempt.writes));
            }
        }
        ended
    }

    /// Whether a worker still has the attempt on that connection.
    pub fn has(&self, request: usize, on: Connection) -> bool {
        self.requests[request].attempts.iter().any(|a| a.out && a.on == on)
    }

    /// Whether a read of the request is out somewhere.
    pub fn is_read(&self, request: usize) -> bool {
        self.requests[request].attempts.iter().any(|a| a.out && !a.writes)
    }

    pub fn has_state(&self, request: usize) -> bool {
        self.requests[request].state.is_some()
    }

    pub fn has_place(&self, request: usize, worker: usize) -> bool {
        self.requests[request].place == Some(worker)
    }

    /// Whether an attempt that answers it has to read its prompt first.
    pub fn wants_state(&self, request: usize) -> bool {
        !self.has_state(request) && !self.requests[request].begun
    }

    /// A read has ended well at a worker, where its state waits now.
    pub fn holds_state(&mut self, now: Micros, request: usize, worker: usize) {
        let r = &mut self.requests[request];
        (r.state, r.since) = (Some(worker), now);
    }

    /// A worker holds a place, unless the answer has come there already or has begun.
    pub fn holds_place(&mut self, now: Micros, request: usize, worker: usize) {
        let r = &mut self.requests[request];
        if !r.begun && !r.attempts.iter().any(|a| a.out && a.writes) {
            (r.place, r.since) = (Some(worker), now);
        }
    }

    /// A running worker frees all that is held, but what an attempt waits for.
    pub fn released(&mut self, request: usize) {
        let r = &mut self.requests[request];
        let waits = r.attempts.iter().any(|a| a.out && a.writes);
        r.state = r.state.filter(|_| waits);
        r.place = None;
    }

    /// Its answer has begun: all that was held for it is taken.
    pub fn begins(&mut self, request: usize) {
        let r = &mut self.requests[request];
        (r.state, r.place, r.begun) = (None, None, true);
    }

    /// What a worker held and worked on is gone with its process.
    pub fn worker_died(&mut self, now: Micros, worker: usize) {
        for r in &mut self.requests {
            r.state = r.state.filter(|at| *at != worker);
            r.place = r.place.filter(|at| *at != worker);
            for attempt in r.attempts.iter_mut().filter(|a| a.out && a.worker == worker) {
                attempt.out = false;
                r.since = now;
            }
        }
    }

    /// What the rules ask for at any moment.
    pub fn look(&mut self, now: Micros, customer: &Customer) {
        let mut found = None;
        for (number, r) in self.requests.iter().enumerate().filter(|(_, r)| !r.excused) {
            let held = r.state.map(|at| ("state", at)).or(r.place.map(|at| ("place", at)));
            if let Some((what, at)) = held.filter(|_| !r.is_out()) {
                if now > r.since + customer.held_limit + HELD_SLACK + SLACK + self.noise {
                    let since = (r.since - self.began) / MS;
                    let what = format!("the {what} of request {number} at {at} is held since {since} ms");
                    found = Some((Rule::Pinned, what));
                }
            }
            if r.answered.is_none() && r.closed.is_none() && now > r.until + SLACK + self.noise {
                found = Some((Rule::Lost, format!("request {number} has no answer in its time")));
            }
        }
        if let Some((rule, what)) = found {
            self.breaks(now, rule, what);
        }
    }
}

/// Why an attempt that writes must not be there, given those before it that may have run.
fn repeats(now: Micros, customer: &Customer, effect: Effect, r: &Request, worker: usize) -> Option<String> {
    let mut before = r.attempts.iter().filter(|a| a.writes && !a.never_ran);
    let first = before.next()?;
    match effect {
        Effect::Safe => None,
        Effect::Unsafe => Some("(Unsafe) is sent again, and may have run".to_string()),
        Effect::Keyed { window, .. } if now > first.arrived + window + SLACK => {
            let late = (now - first.arrived) / MS;
            Some(format!("(Keyed) is sent again after {late} ms of {}", window / MS))
        }
        Effect::Keyed { scope, .. } if !customer.share_repeats(scope, first.worker, worker) => {
            Some(format!("(Keyed) is sent again outside its {scope:?}"))
        }
        Effect::Keyed { .. } => None,
    }
}
