//! The books' words as calls to workers and answers to clients.

use std::sync::Arc;

use bytes::Bytes;
use tideroute::types::{AttemptOutcome, Idempotency, RequestId, WorkerId};
use tideroute_http::write;
use tideroute_invariants::{AttemptPermit, ClosePermit, ReservationPermit, ResponsePermit};
use tideroute_lifecycle::{Attempt, RequestState, Response, Timer, Transport};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::clients::{text, Clients};
use crate::config::Terms;
use crate::discovery_watch::Watch;
use crate::headers;
use crate::request_head::Asked;
use crate::request_trace::{self, State};
use crate::reserved_state::{Context, EndedBy, Held};
use crate::timers::TimerKey;
use crate::worker_connection::Job;
use crate::worker_pool::Pools;

/// Microseconds: an answer on a place comes within 0.3 s, or after the read has ended.
const PLACE: Micros = 1_000_000;

/// What came of decisions while they were carried out, to be told to the books afterwards.
#[derive(Default)]
pub struct Later {
    pub outcomes: Vec<(RequestId, u16, AttemptOutcome)>,
    /// Clients whose answer is complete: their next request may be there already.
    pub answered: Vec<ConnectionId>,
}

/// A plain text as an answer, with the microseconds that its client should stay away; 0 for no advice.
pub fn said(status: u16, after: Micros, what: &str, last: bool) -> Bytes {
    let after = (after > 0).then(|| format!("{:.3}", after as f64 / 1e6));
    let fields = [("content-type", "text/plain")];
    let fields = fields.into_iter().chain(after.iter().map(|a| ("retry-after", a.as_str())));
    write::answer(status, fields, &text(what), last)
}

pub struct Exit<'a> {
    pub terms: &'a Terms,
    pub clients: &'a mut Clients,
    pub pools: &'a mut Pools,
    pub held: &'a mut Held,
    pub watch: &'a mut Watch,
    pub later: &'a mut Later,
    pub stopping: bool,
    pub now: Micros,
    pub effects: &'a mut Effects,
}

impl Exit<'_> {
    /// What is held, and what is needed to do something for it.
    fn held(&mut self) -> (&mut Held, Context<'_>) {
        let context = Context { now: self.now, pools: &mut *self.pools, effects: &mut *self.effects };
        (&mut *self.held, context)
    }

    /// Asks for a place; only called once the reader has the whole request.
    pub fn place(&mut self, id: RequestId, trace: &Arc<str>, at: WorkerId) {
        // Guards against a worker that was told to drain while the reader's connection came up.
        if !self.pools.takes(at) {
            return;
        }
        let target = format!("{}{trace}", headers::PLACES);
        let bytes = write::request("POST", &target, [("host", "worker")], Some(b""));
        let Some(connection) = self.pools.call(self.now, at, Job::Place { id }, bytes, self.effects) else {
            return;
        };
        if let Some(conn) = self.pools.get_mut(connection) {
            request_trace::tell(id, trace, State::PlaceAsked(conn.to));
            conn.timeout.set(self.now + PLACE, TimerKey::Worker(connection), self.effects);
        }
        let (held, mut context) = self.held();
        held.asked(id, trace, (at, connection), &mut context);
    }

    /// Probes the reader of a request, whose answer is a sign of life.
    pub fn ask_for_sign(&mut self, id: RequestId, reader: WorkerId) {
        let bytes = write::request("GET", headers::ALIVE, [("host", "worker")], None);
        let Some(connection) = self.pools.call(self.now, reader, Job::Liveness { id }, bytes, self.effects)
        else {
            return;
        };
        if let Some(conn) = self.pools.get_mut(connection) {
            conn.timeout.set(self.now + self.terms.dial, TimerKey::Worker(connection), self.effects);
        }
    }

    /// An attempt leaves on its connection, which is up: it tells how long its client waits from now.
    pub fn attempt(&mut self, connection: ConnectionId, s: &RequestState<Asked>, _permit: AttemptPermit) {
        let left = (s.deadline.saturating_sub(self.now) / 1_000).to_string();
        let fields = s.context.fields.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        let fields = fields.chain([(headers::LEFT, left.as_str())]);
        self.effects
            .send(connection, write::request("POST", &s.context.target, fields, Some(&s.context.body)));
    }

    /// Whether a shot's last byte has left; of one whose connection is not known nothing shows that it has not.
    fn has_left(&mut self, connection: ConnectionId) -> bool {
        self.pools.get_mut(connection).is_none_or(|conn| conn.written)
    }

    /// An answer that is all there is to say, on a connection that goes on if it can.
    pub fn say(&mut self, connection: ConnectionId, status: u16, after: Micros, what: &str) {
        let last = self.stopping || self.clients.get(connection).is_none_or(|c| c.last);
        self.effects.send(connection, said(status, after, what, last));
        self.complete(connection, last);
    }

    /// The answer is complete.
    fn complete(&mut self, connection: ConnectionId, last: bool) {
        if last {
            self.clients.lose(connection);
            self.effects.close(connection, "its last answer");
        } else {
            self.clients.answered(self.now, connection);
            self.later.answered.push(connection);
        }
    }
}

impl Transport for Exit<'_> {
    type Context = Asked;

    fn dispatch(
        &mut self,
        id: RequestId,
        s: &RequestState<Asked>,
        attempt: &Attempt,
        _left: Micros,
        permit: AttemptPermit,
    ) {
        if !attempt.is_prefill {
            // A place comes too late now.
            let (held, mut context) = self.held();
            held.unasked(id, &mut context);
        }
        let class = self.terms.lifecycle.scheduler.classes.get(usize::from(s.class));
        let once = !attempt.is_prefill && class.is_some_and(|t| t.idempotency == Idempotency::NonIdempotent);
        let job = Job::Attempt { id, number: attempt.number, reading: attempt.is_prefill, once };
        let Some(connection) = self.pools.begin(self.now, attempt.worker, job, self.effects) else {
            return self.later.outcomes.push((id, attempt.number, AttemptOutcome::NotSent));
        };
        if let Some(conn) = self.pools.get_mut(connection) {
            request_trace::tell(id, &s.context.trace, State::AttemptChosen(attempt.number, conn.to));
        }
        if self.pools.attempt_is_connected(id) {
            self.attempt(connection, s, permit);
            let (held, mut context) = self.held();
            held.pause(id, &mut context);
        }
    }

    fn reserve(
        &mut self,
        id: RequestId,
        s: &RequestState<Asked>,
        at: WorkerId,
        _reader: WorkerId,
        _permit: ReservationPermit,
    ) {
        let Some(conn) =
            self.pools.attempt_connection(id).and_then(|connection| self.pools.get_mut(connection))
        else {
            return;
        };
        if conn.written {
            self.place(id, &s.context.trace, at);
        } else {
            conn.place = Some(at);
        }
    }

    /// A new place or a shot elsewhere takes the old place's turn by itself; a word here would free the state too.
    fn cancel_reservation(&mut self, _id: RequestId, _at: WorkerId, _tell: bool) {}

    fn release(
        &mut self,
        id: RequestId,
        _s: &RequestState<Asked>,
        places: &[WorkerId],
        state: Option<WorkerId>,
    ) {
        let at = state.or(places.last().copied());
        let (held, mut context) = self.held();
        held.let_go(id, at, &mut context);
    }

    fn cancel(&mut self, id: RequestId, _attempt: &Attempt) -> bool {
        let Some(connection) = self.pools.attempt_connection(id) else { return true };
        let left = self.has_left(connection);
        self.pools.end(connection, self.effects);
        !left
    }

    fn cancel_if_unsent(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let left = self.pools.attempt_connection(id).is_some_and(|connection| self.has_left(connection));
        !left && self.cancel(id, attempt)
    }

    fn attempt_finished(
        &mut self,
        id: RequestId,
        s: &RequestState<Asked>,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let sent = self.pools.over(id).unwrap_or(self.now);
        let trace = &s.context.trace;
        request_trace::tell(id, trace, State::AttemptEnded(attempt.number, outcome));
        let (held, mut context) = self.held();
        let failed = outcome != AttemptOutcome::Completed && !attempt.streaming;
        // One that was sent with no state waiting for it has read the prompt itself.
        let read = attempt.is_prefill || s.state_holder.is_none();
        if outcome == AttemptOutcome::PrefillComplete {
            held.read(id, trace, attempt.worker, &mut context);
        } else if failed && read && !outcome.never_ran() {
            held.read_badly(id, trace, (attempt.worker, sent), &mut context);
        } else if failed {
            let spoke = matches!(
                outcome,
                AttemptOutcome::Rejected | AttemptOutcome::StateMissing | AttemptOutcome::ServerError
            );
            let reached = !matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::NotSent);
            held.stays(id, trace, (s.state_holder, reached, spoke), &mut context);
        }
        let ended_by = match outcome {
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => Some(EndedBy::ThisSide),
            AttemptOutcome::ConnectionReset if !attempt.streaming => Some(EndedBy::Reset),
            _ => None,
        };
        if let Some(by) = ended_by {
            held.gave_up(id, attempt.worker, by, context.now);
        }
    }

    fn request_closed(&mut self, id: RequestId, _permit: ClosePermit) {
        let (held, mut context) = self.held();
        held.over(id, &mut context);
    }

    fn respond(&mut self, id: RequestId, s: &RequestState<Asked>, answer: Response, _permit: ResponsePermit) {
        let connection = s.context.client;
        request_trace::tell(id, &s.context.trace, State::Answered(answer));
        let Some(streams) = self.clients.streams(connection, id) else { return };
        match answer {
            Response::Completed(_) => {
                let last = self.stopping || self.clients.get(connection).is_none_or(|c| c.last);
                self.effects.send(connection, write::LAST_CHUNK.into());
                self.complete(connection, last);
            }
            // The client sees from the missing last chunk that there was more.
            Response::Failed if streams => {
                self.clients.lose(connection);
                self.effects.close(connection, "its stream broke");
            }
            Response::Failed if self.now >= s.deadline => self.say(connection, 504, 0, "no answer in time"),
            Response::Failed => self.say(connection, 502, 0, "no worker answered it"),
            Response::Rejected(after) => self.say(connection, 503, after, "turned back: it has not run"),
        }
    }

    fn check_health(&mut self, nonce: u64, at: WorkerId) {
        let path = if self.terms.report.is_some() { headers::LOAD } else { headers::ALIVE };
        let bytes = write::request("GET", path, [("host", "worker")], None);
        self.pools.call(self.now, at, Job::Probe { nonce }, bytes, self.effects);
    }

    fn health_check_finished(&mut self, at: WorkerId) {
        self.pools.end_probe(at, self.effects);
    }

    /// Changes come by themselves once the watch is open, which it is whenever it can be.
    fn watch_endpoints(&mut self, version: u64) {
        self.watch.begin(self.now, self.terms.discovery, version, self.effects);
    }

    fn set_timer(&mut self, at: Micros, timer: Timer) {
        TimerKey::from(timer).set(at, self.effects);
    }
}
