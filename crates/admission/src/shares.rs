//! The verdicts: start-time fair queueing (Goyal, Vin and Cheng, 1996) over tenants that have work and may have
//! more in flight, within a window that is inferred.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};

use foldhash::fast::FixedState;

use crate::capacity::Capacity;
use crate::tenant::{Figures, Limits, Rank, State, Waiting};
use crate::{Micros, Tenant, Ticket};

/// What holds for all tenants.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a submission may wait here at most.
    pub longest_wait: Micros,
    /// How many may wait here at most, of all tenants together.
    pub most_waiting: usize,
    /// The longest time after which a client is told to come back.
    pub longest_advice: Micros,
}

/// A submission that asks to be let through.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub ticket: Ticket,
    pub tenant: Tenant,
    /// Prompt tokens; they count against the rate, and with one for the submission itself against the share.
    pub tokens: u32,
    /// Of its track: what earns more goes first, within the tenant.
    pub priority_weight: f64,
    /// When the client's time is up.
    pub deadline: Micros,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Verdict {
    /// Let it through to the decision module.
    Let(Ticket),
    /// Turn it back, and say to come back after so long.
    TurnBack { ticket: Ticket, after: Micros },
    /// Nothing is due before then unless something happens.
    Wake { at: Micros },
}

/// What came of a submission that was let through.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Known {
    /// Its first token came within the contract time.
    InTime,
    /// It came after, or the decision module turned the submission back.
    Late,
    /// Nothing that tells how much the routers can do.
    Nothing,
}

struct Flight {
    tenant: Tenant,
    since: Micros,
}

/// Where a tenant stands that has work: without weight last, then by when what it got is paid for.
type Place = (bool, Tag, Tenant);

/// A virtual time, in order.
#[derive(Clone, Copy, PartialEq)]
struct Tag(f64);

pub struct Shares {
    terms: Terms,
    tenants: HashMap<Tenant, State, FixedState>,
    queued: HashMap<Ticket, (Tenant, Rank, Micros), FixedState>,
    flights: HashMap<Ticket, Flight, FixedState>,
    capacity: Capacity,
    /// The virtual time: when the last that was let in began to be paid for.
    virtually: f64,
    /// Tenants that may be let in now, and those whose rate must free first.
    ready: BTreeSet<Place>,
    places: HashMap<Tenant, Place, FixedState>,
    resting: BTreeSet<(Micros, Tenant)>,
    rests: HashMap<Tenant, Micros, FixedState>,
    /// By when each that waits has to have its verdict.
    expires: BTreeSet<(Micros, Ticket)>,
    verdicts: VecDeque<Verdict>,
    asked: u64,
    wake: Option<Micros>,
}

impl Shares {
    pub fn new(terms: Terms) -> Shares {
        Shares {
            terms,
            tenants: HashMap::default(),
            queued: HashMap::default(),
            flights: HashMap::default(),
            capacity: Capacity::default(),
            virtually: 0.0,
            ready: BTreeSet::new(),
            places: HashMap::default(),
            resting: BTreeSet::new(),
            rests: HashMap::default(),
            expires: BTreeSet::new(),
            verdicts: VecDeque::new(),
            asked: 0,
            wake: None,
        }
    }

    /// A tenant is there, or its limits changed. What is in flight over a lowered limit stays in flight.
    pub fn tenant(&mut self, now: Micros, tenant: Tenant, limits: Limits) {
        let limits = Limits { weight: limits.weight.max(0.0), ..limits };
        let state = self.tenants.entry(tenant).or_insert_with(|| State::new(limits));
        state.removed = false;
        state.relimit(now, limits);
        let over = state.waiting.keys().skip(limits.waiting as usize).copied();
        let over: Vec<Rank> = over.collect();
        over.into_iter().for_each(|rank| self.refuse(now, tenant, rank));
        self.place(now, tenant);
    }

    /// A tenant is gone: what waits is turned back, what is in flight runs to its end.
    pub fn removed(&mut self, now: Micros, tenant: Tenant) {
        let Some(state) = self.tenants.get_mut(&tenant) else { return };
        state.removed = true;
        let ranks: Vec<Rank> = state.waiting.keys().copied().collect();
        ranks.into_iter().for_each(|rank| self.refuse(now, tenant, rank));
        self.place(now, tenant);
        self.forget(tenant);
    }

    /// A submission asks to be let through; its verdict comes from `decide`, now or later.
    pub fn asked(&mut self, now: Micros, asked: Asked) {
        let Asked { ticket, tenant, tokens, priority_weight, deadline } = asked;
        let known = self.tenants.get_mut(&tenant).filter(|state| !state.removed);
        let Some(state) = known else {
            self.verdicts.push_back(Verdict::TurnBack { ticket, after: 0 });
            return;
        };
        state.figures.asked += 1;
        self.asked += 1;
        // Positive floats order as their bits do.
        let rank = (Reverse(priority_weight.max(0.0).to_bits()), self.asked);
        state.waiting.insert(rank, Waiting { ticket, tokens: f64::from(tokens), since: now });
        // A quarter of its time may go here: the rest is for reading and writing, and for another shot.
        let until = now + self.terms.longest_wait.min(deadline.saturating_sub(now) / 4);
        self.queued.insert(ticket, (tenant, rank, until));
        self.expires.insert((until, ticket));
        let last = state.waiting.last_key_value().map(|(rank, _)| *rank);
        let over = state.waiting.len() > state.limits.waiting as usize;
        if over || self.queued.len() > self.terms.most_waiting {
            last.into_iter().for_each(|last| self.refuse(now, tenant, last));
        }
        self.place(now, tenant);
    }

    /// What was let through was answered.
    pub fn answered(&mut self, now: Micros, ticket: Ticket, known: Known) {
        let Some(flight) = self.flights.remove(&ticket) else { return };
        if known != Known::Nothing {
            self.capacity.answered(now, flight.since, known == Known::InTime);
        }
        if let Some(state) = self.tenants.get_mut(&flight.tenant) {
            state.figures.in_flight -= 1;
            state.figures.in_time += u64::from(known == Known::InTime);
            state.figures.late += u64::from(known == Known::Late);
        }
        self.place(now, flight.tenant);
        self.forget(flight.tenant);
    }

    /// The client no longer waits.
    pub fn left(&mut self, now: Micros, ticket: Ticket) {
        if let Some((tenant, rank, _)) = self.queued.get(&ticket).copied() {
            self.take_out(tenant, rank);
            self.place(now, tenant);
        }
        self.answered(now, ticket, Known::Nothing);
    }

    /// The next verdict, until there is none.
    pub fn decide(&mut self, now: Micros) -> Option<Verdict> {
        while let Some((_, tenant)) = self.resting.first().copied().filter(|(at, _)| *at <= now) {
            self.place(now, tenant);
        }
        while let Some((_, ticket)) = self.expires.first().copied().filter(|(at, _)| *at <= now) {
            let Some((tenant, rank, _)) = self.queued.get(&ticket).copied() else { break };
            self.refuse(now, tenant, rank);
            self.place(now, tenant);
        }
        if let Some(verdict) = self.verdicts.pop_front() {
            return Some(verdict);
        }
        if let Some((.., tenant)) = self.ready.first().copied() {
            if (self.flights.len() as f64) < self.capacity.window() {
                return self.let_in(now, tenant).map(Verdict::Let);
            }
            self.capacity.full();
        }
        let rates = self.resting.first().map(|(at, _)| *at);
        let at = self.expires.first().map(|(at, _)| *at).into_iter().chain(rates).min();
        if at.is_some() && self.wake.is_none_or(|wake| wake <= now || at < Some(wake)) {
            self.wake = at;
            return at.map(|at| Verdict::Wake { at });
        }
        None
    }

    pub fn figures(&self, tenant: Tenant) -> Option<Figures> {
        let state = self.tenants.get(&tenant)?;
        Some(Figures { waiting: state.waiting.len() as u32, ..state.figures })
    }

    /// Submissions that may be in flight, and that are.
    pub fn window(&self) -> (f64, usize) {
        (self.capacity.window(), self.flights.len())
    }

    /// Submissions that wait for a verdict.
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    fn let_in(&mut self, now: Micros, tenant: Tenant) -> Option<Ticket> {
        let state = self.tenants.get_mut(&tenant)?;
        let (rank, waiting) = state.waiting.first_key_value().map(|(rank, w)| (*rank, w))?;
        let (ticket, tokens, since) = (waiting.ticket, waiting.tokens, waiting.since);
        state.take(now, tokens);
        let weight = if state.limits.weight > 0.0 { state.limits.weight } else { 1.0 };
        let start = self.virtually.max(state.paid);
        state.paid = start + (tokens + 1.0) / weight;
        // What has no weight moves no time: it would make others pay for what they leave.
        if state.limits.weight > 0.0 {
            self.virtually = start;
        }
        state.figures.let_in += 1;
        state.figures.in_flight += 1;
        state.figures.waited += now - since;
        self.flights.insert(ticket, Flight { tenant, since: now });
        self.take_out(tenant, rank);
        self.place(now, tenant);
        Some(ticket)
    }

    /// Turns one that waits back, with when its tenant's rates may let it through.
    fn refuse(&mut self, now: Micros, tenant: Tenant, rank: Rank) {
        let Some(waiting) = self.take_out(tenant, rank) else { return };
        let Some(state) = self.tenants.get_mut(&tenant) else { return };
        state.figures.rejected += 1;
        let free = state.free_at(now, waiting.tokens).map(|at| at - now);
        // Where no rate binds there is too much of all: come back when what waits has had its time.
        let after = free.filter(|after| *after > 0).unwrap_or(self.terms.longest_wait);
        let after = after.min(self.terms.longest_advice);
        self.verdicts.push_back(Verdict::TurnBack { ticket: waiting.ticket, after });
    }

    fn take_out(&mut self, tenant: Tenant, rank: Rank) -> Option<Waiting> {
        let waiting = self.tenants.get_mut(&tenant)?.waiting.remove(&rank)?;
        if let Some((.., until)) = self.queued.remove(&waiting.ticket) {
            self.expires.remove(&(until, waiting.ticket));
        }
        Some(waiting)
    }

    /// Files a tenant as it now stands: ready, resting until its rates are free, or neither.
    fn place(&mut self, now: Micros, tenant: Tenant) {
        if let Some(place) = self.places.remove(&tenant) {
            self.ready.remove(&place);
        }
        if let Some(at) = self.rests.remove(&tenant) {
            self.resting.remove(&(at, tenant));
        }
        let Some(state) = self.tenants.get(&tenant).filter(|state| !state.full()) else { return };
        let Some(first) = state.waiting.first_key_value().map(|(_, first)| first) else { return };
        match state.free_at(now, first.tokens) {
            Some(at) if at > now => {
                self.rests.insert(tenant, at);
                self.resting.insert((at, tenant));
            }
            Some(_) => {
                let place = (state.limits.weight <= 0.0, Tag(state.paid.max(self.virtually)), tenant);
                self.places.insert(tenant, place);
                self.ready.insert(place);
            }
            None => {}
        }
    }

    /// Forgets a tenant that was removed once nothing of it is in flight.
    fn forget(&mut self, tenant: Tenant) {
        if self.tenants.get(&tenant).is_some_and(|s| s.removed && s.figures.in_flight == 0) {
            self.tenants.remove(&tenant);
        }
    }
}

impl Eq for Tag {}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
