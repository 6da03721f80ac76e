//! What may be held for each request at workers, read states and places, and the calls that release it.
//!
//! An entry stands from the moment in which something may be held until a worker shows that nothing is: events have
//! begun, a worker that runs has answered a release, or one has said that it never held anything. It is paid in one
//! way whatever ended before it: at once where nobody wants it any more, else early enough before its time is over.
//! That time runs on while an attempt is out of which nothing is heard, for a connection may lead nowhere. It rests
//! while a read is known to be out: as long as its reader gives signs of life or, where it may not be probed, the
//! writer that holds the place is asked for it again and still knows of the read. What an attempt waits with is released again and again, for it outlives
//! a release and may outlive the attempt.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use tideroute::types::{RequestId, WorkerId};
use tideroute_http::write;
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::headers;
use crate::request_trace::{self, State};
use crate::timers::Timeout;
use crate::timers::TimerKey;
use crate::worker_connection::Job;

mod entry;

use entry::{round, stop, unsure_at, Clock, Entry, GivenUp, Release, AHEAD, AWAY, SEES};
pub use entry::{Context, EndedBy, Place};

/// Microseconds after which a worker that has not answered is not waited for alone: some round trips and a
/// handshake, and short enough that several can be tried within any release time.
const TRY: Micros = 100_000;
/// Calls at most that are out for one request: each time as many more as were made before, so that of a fleet of
/// which half can't be reached one is found within any release time.
const CALLS: usize = 16;
/// Microseconds in which a dialled connection is there, unless something is wrong on its way: some round trips
/// and what the worker needs for it.
const COMES_UP: Micros = 50_000;
/// Times that the pause between two releases is doubled at most.
const ROUNDS: u32 = 6;
/// Microseconds that the protocol allows beyond the settings' time.
const BEYOND: Micros = 300_000;

pub struct Held {
    entries: BTreeMap<RequestId, Entry>,
    /// Requests of which a read has just ended badly.
    doubtful: Vec<RequestId>,
    /// Requests of which it has to be asked whether their reads are still out.
    unsure: Vec<RequestId>,
    /// The time allowed, by the settings.
    allowed: Micros,
}

impl Held {
    pub fn new(allowed: Micros) -> Held {
        Held { entries: BTreeMap::new(), doubtful: vec![], unsure: vec![], allowed }
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests of which a read has ended badly since the last call.
    pub fn doubtful(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.doubtful)
    }

    /// Requests of which it has to be asked now whether their reads are still out, with their trace ids.
    pub fn unsure(&mut self) -> Vec<(RequestId, Arc<str>)> {
        let unsure = std::mem::take(&mut self.unsure);
        unsure.into_iter().filter_map(|id| Some((id, self.entries.get(&id)?.trace.clone()))).collect()
    }

    /// The reader of a request has given a sign of life.
    pub fn reader_lives(&mut self, id: RequestId, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.since().is_none()) else { return };
        entry.rests(at.now, self.allowed, TimerKey::ReservedState(id.into()), at.effects);
    }

    fn entry(&mut self, now: Micros, id: RequestId, trace: &Arc<str>) -> &mut Entry {
        self.entries.entry(id).or_insert_with(|| Entry {
            trace: trace.clone(),
            at: None,
            clock: Clock::Runs(now),
            asked: false,
            asking: vec![],
            rounds: 0,
            given_up: vec![],
            over: false,
            timeout: Timeout::NEVER,
            release: None,
        })
    }

    /// The time runs since then, and a release under way, which may have come too early, is none.
    fn runs(&mut self, id: RequestId, since: Micros, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        stop(entry, None, at);
        entry.clock = Clock::Runs(since);
        entry.timeout.set(entry.due(since, self.allowed), TimerKey::ReservedState(id.into()), at.effects);
    }

    /// A read has ended well: its state takes the turn of whatever was held before.
    pub fn read(&mut self, id: RequestId, trace: &Arc<str>, worker: WorkerId, at: &mut Context) {
        let entry = self.entry(at.now, id, trace);
        (entry.at, entry.asked, entry.rounds) = (Some(worker), false, 0);
        self.runs(id, at.now, at);
    }

    /// An attempt that read the prompt and went out then has ended badly: the read may have ended well over there at
    /// any time since.
    pub fn read_badly(
        &mut self,
        id: RequestId,
        trace: &Arc<str>,
        (worker, sent): (WorkerId, Micros),
        at: &mut Context,
    ) {
        let known = self.entries.get(&id).and_then(Entry::since);
        let entry = self.entry(sent, id, trace);
        (entry.at, entry.asked, entry.rounds) = (Some(worker), false, 0);
        self.doubtful.push(id);
        self.runs(id, known.map_or(sent, |since| since.min(sent)), at);
        // The next attempt takes nothing while it does not come up.
        self.looks_again(id, COMES_UP, at);
    }

    /// The connection of an attempt at a worker was ended.
    pub fn gave_up(&mut self, id: RequestId, worker: WorkerId, by: EndedBy, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.given_up.push(GivenUp { worker, when: now, by, heard: false });
        }
    }

    /// The call that asks a worker for a place goes out on that link.
    pub fn asked(
        &mut self,
        id: RequestId,
        trace: &Arc<str>,
        (worker, on): (WorkerId, ConnectionId),
        at: &mut Context,
    ) {
        let new = !self.entries.contains_key(&id);
        let entry = self.entry(at.now, id, trace);
        entry.asking.push(on);
        entry.rounds = 0;
        if new {
            (entry.at, entry.asked) = (Some(worker), true);
            self.runs(id, at.now, at);
        }
    }

    /// That call is over; `reading` if its read is out.
    pub fn answered(
        &mut self,
        id: RequestId,
        on: ConnectionId,
        (place, reading): (Place, bool),
        at: &mut Context,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        // An answer to an earlier call may be of an earlier read.
        let known = entry.asking.last() == Some(&on) && matches!(place, Place::Held | Place::Refused);
        let none = matches!(place, Place::Refused | Place::None);
        entry.asking.retain(|connection| *connection != on);
        entry.asked &= none;
        if entry.holds_nothing() {
            stop(entry, None, at);
            self.entries.remove(&id);
        } else if (entry.over || entry.release.is_some()) && !none {
            // A release may have been there before it.
            self.runs(id, at.now, at);
            self.unwanted(id, at);
        } else if known && reading && entry.release.is_none() {
            // The read is out at a worker that runs: the time rests.
            entry.rests(at.now, self.allowed, TimerKey::ReservedState(id.into()), at.effects);
        } else if !none {
            // It may be held from now on; of a read that was taken to be out nobody there knows.
            entry.rounds = 0;
            let since = entry.since().unwrap_or(at.now);
            self.runs(id, since, at);
        }
    }

    /// No place is wanted any more: calls for one that have not left never do.
    pub fn unasked(&mut self, id: RequestId, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.asking.retain(|connection| {
            let left = at.pools.get_mut(*connection).is_some_and(|conn| conn.written);
            if !left {
                at.pools.end(*connection, at.effects);
            }
            left
        });
        if entry.holds_nothing() {
            stop(entry, None, at);
            self.entries.remove(&id);
        }
    }

    /// An attempt has ended that left a state, or what else is held, where it was; `spoke` if its worker said so,
    /// with which the time begins anew, and `reached` if it may have come there.
    pub fn stays(
        &mut self,
        id: RequestId,
        trace: &Arc<str>,
        (state, reached, spoke): (Option<WorkerId>, bool, bool),
        at: &mut Context,
    ) {
        let new = !self.entries.contains_key(&id);
        if state.is_some() {
            self.entry(at.now, id, trace).at = state;
        }
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if new || spoke || entry.since().is_none() {
            self.runs(id, at.now, at);
        } else if reached && entry.release.is_some() {
            // The release may have come while the attempt still waited with the state, which it frees not then.
            stop(entry, None, at);
            self.unwanted(id, at);
        }
    }

    /// Events have begun, with which all that is held goes by itself.
    pub fn taken(&mut self, id: RequestId, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.over = true;
        self.paid(id, None, at);
    }

    /// A worker has answered a release, on that link. It frees nothing that an attempt waits with.
    pub fn released(&mut self, id: RequestId, on: ConnectionId, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        request_trace::tell(id, &entry.trace, State::Released);
        let began = entry.release.as_ref().map_or(at.now, |release| release.began);
        entry.forget_hung(at);
        entry.given_up.retain_mut(|given_up| given_up.outlives(began, at));
        if entry.given_up.is_empty() && !at.pools.writes(id) {
            return self.paid(id, Some(on), at);
        }
        stop(entry, Some(on), at);
        // It is told first from now on, for its answer is the sign that it runs.
        entry.at = entry.given_up.first().map(|given_up| given_up.worker).or(entry.at);
        let soon = entry.given_up.iter().any(|given_up| given_up.heard || began < given_up.when + SEES);
        self.runs(id, at.now, at);
        if soon {
            self.looks_again(id, SEES, at);
        }
    }

    /// The entry is looked at after so long, if that is not done before.
    fn looks_again(&mut self, id: RequestId, after: Micros, at: &mut Context) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let until = (at.now + after).min(entry.timeout.expires_at());
            entry.timeout.set(until, TimerKey::ReservedState(id.into()), at.effects);
        }
    }

    /// Nothing is held any more, but for what a call for a place under way may hold yet.
    fn paid(&mut self, id: RequestId, on: Option<ConnectionId>, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        stop(entry, on, at);
        entry.asked = true;
        entry.rounds = if entry.asking.is_empty() { 0 } else { (entry.rounds + 1).min(ROUNDS) };
        self.unasked(id, at);
        self.runs(id, at.now, at);
    }

    /// The request is over, and nobody wants what is held for it.
    pub fn over(&mut self, id: RequestId, at: &mut Context) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.over = true;
            // What comes of a call for a place is waited for, as long as its time lasts.
            if !entry.asked {
                self.unwanted(id, at);
            }
        }
    }

    /// The next attempt is there. What it makes takes the turn of what is held, and must not be released under it,
    /// unless the time is over.
    pub fn pause(&mut self, id: RequestId, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(due) = entry.since().map(|since| entry.due(since, self.allowed)) else { return };
        if at.now >= due {
            return;
        }
        stop(entry, None, at);
        entry.timeout.set(due, TimerKey::ReservedState(id.into()), at.effects);
    }

    /// Nobody wants what is held. Without an entry there is nothing to do.
    pub fn unwanted(&mut self, id: RequestId, at: &mut Context) {
        self.unasked(id, at);
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.release.is_none()) else { return };
        let since = entry.since().unwrap_or(at.now);
        entry.clock = Clock::Runs(since);
        let until = (since + self.allowed).max(at.now + AHEAD) + BEYOND;
        tracing::debug!(id, at = ?entry.at, held = at.now - since, "releases what is held");
        let left = round(entry.at, at.pools);
        entry.release = Some(Release { began: at.now, left, calls: 0, in_flight: VecDeque::new(), until });
        self.go(id, 1, at);
    }

    /// The same of what the books take to be held, there as far as they know. Without an entry nothing ever came to be: a
    /// place that was wanted was never asked for, or a state was released since.
    pub fn let_go(&mut self, id: RequestId, worker: Option<WorkerId>, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.at = worker.or(entry.at);
        self.unwanted(id, at);
    }

    /// Makes so many calls more, and sets the time for those after them.
    fn go(&mut self, id: RequestId, more: usize, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(release) = &mut entry.release else { return };
        if at.now >= release.until {
            tracing::warn!(id, calls = release.calls, "nobody could be told to release what is held");
            entry.forget_hung(at);
            return self.paid(id, None, at);
        }
        let target = format!("{}{}", headers::PLACES, entry.trace);
        let bytes = write::request("DELETE", &target, [("host", "worker")], None);
        for _ in 0..more.min(CALLS) {
            let mut called = None;
            while let Some(worker) = called.is_none().then(|| release.left.pop_front()).flatten() {
                called = at.pools.call(at.now, worker, Job::Release { id }, bytes.clone(), at.effects);
                if let Some(conn) = called.and_then(|connection| at.pools.get_mut(connection)) {
                    request_trace::tell(id, &entry.trace, State::ReleaseSent(conn.to));
                }
            }
            let Some(connection) = called else { break };
            release.calls += 1;
            release.in_flight.push_back(connection);
            if release.in_flight.len() > CALLS {
                release.in_flight.pop_front().into_iter().for_each(|oldest| at.pools.end(oldest, at.effects));
            }
        }
        entry.timeout.set(at.now + TRY, TimerKey::ReservedState(id.into()), at.effects);
    }

    /// The time of an entry is over, or a worker has not answered in time: the next ones are asked too.
    pub fn rang(&mut self, id: RequestId, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if !entry.timeout.has_expired(at.now, TimerKey::ReservedState(id.into()), at.effects) {
            return;
        }
        let Some(release) = &mut entry.release else { return self.comes_due(id, at) };
        if release.left.is_empty() {
            release.left = round(entry.at, at.pools);
        }
        let more = release.calls.max(1);
        self.go(id, more, at);
    }

    /// The time of an entry that is not being released is over, or has to be looked at.
    fn comes_due(&mut self, id: RequestId, at: &mut Context) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let next = match entry.clock {
            Clock::Runs(since) if at.pools.attempt_is_connected(id) => entry.due(since, self.allowed),
            Clock::Runs(_) => at.now,
            Clock::Rests { since, asked } => {
                let since = since.max(at.pools.reader_heard(id));
                let renewal = unsure_at(since, self.allowed);
                let asks = !asked && at.now >= renewal;
                if asks {
                    self.unsure.push(id);
                }
                entry.clock = Clock::Rests { since, asked: asked || asks };
                if asked || asks {
                    // What the protocol allows beyond the time is left for the release.
                    since + self.allowed.min(AWAY)
                } else {
                    renewal
                }
            }
        };
        if at.now >= next {
            return self.unwanted(id, at);
        }
        entry.timeout.set(next, TimerKey::ReservedState(id.into()), at.effects);
    }

    /// A connection with a release on it came to nothing.
    pub fn lost(&mut self, id: RequestId, connection: ConnectionId, at: &mut Context) {
        let Some(release) = self.entries.get_mut(&id).and_then(|e| e.release.as_mut()) else { return };
        release.in_flight.retain(|l| *l != connection);
        // Beyond the first few, and where a round begins anew, it goes on by time alone, or refusals would follow each
        // other without a pause, through all of a fleet that can't be reached.
        if release.in_flight.is_empty() && !release.left.is_empty() && release.calls < CALLS {
            self.go(id, 1, at);
        }
    }
}
