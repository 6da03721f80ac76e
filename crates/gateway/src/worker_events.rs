//! Connections to workers: what comes on them goes to the books and to what is held, and what ends on them too.

use bytes::Bytes;
use tideroute::types::AttemptOutcome;
use tideroute_http::write;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects};
use tideroute_wire::Micros;

use crate::gateway::Platform;
use crate::headers;
use crate::request_head::Asked;
use crate::request_trace::{self, State};
use crate::reserved_state::{Context, EndedBy, Place};
use crate::timers::TimerKey;
use crate::worker_connection::{Heard, Job};

/// Microseconds without a byte after which a stream is taken for dead. Its client must not be left waiting for
/// five seconds; a worker that takes an answer back into its queue may well be silent for some.
pub(crate) const SILENCE: Micros = 4_500_000;
/// Bytes in which a stream's first event must end.
const EVENT: usize = 64 << 10;

impl Platform {
    pub(crate) fn worker_heard(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &Bytes,
        effects: &mut Effects,
    ) {
        let Some(conn) = self.pools.hears(now, connection) else { return };
        if conn.job.is_none() {
            // Nothing was asked on it: whatever comes next could not be told from it.
            return self.pools.end(connection, effects);
        }
        conn.heard(bytes);
        loop {
            let Some(conn) = self.pools.get_mut(connection) else { return };
            match conn.next() {
                Ok(Heard::Nothing) => return,
                Ok(Heard::Piece(200, piece))
                    if matches!(conn.job, Some(Job::Attempt { reading: false, .. })) =>
                {
                    if !self.events(now, connection, piece, effects) {
                        return self.spoilt(now, connection, effects);
                    }
                }
                Ok(Heard::Piece(200, piece)) if matches!(conn.job, Some(Job::Probe { .. })) => {
                    conn.first.extend_from_slice(&piece);
                }
                Ok(Heard::Piece(..)) => {}
                Ok(Heard::End(status, never_ran)) => {
                    return self.whole_answer(now, connection, status, never_ran, effects)
                }
                Err(problem) => {
                    tracing::debug!(worker = ?conn.worker, %problem, "an answer that cannot be read");
                    return self.spoilt(now, connection, effects);
                }
            }
        }
    }

    /// Passes a piece of a stream on; its start only once a first event is whole. False if that is none.
    fn events(&mut self, now: Micros, connection: ConnectionId, piece: Bytes, effects: &mut Effects) -> bool {
        let Some(conn) = self.pools.get_mut(connection) else { return true };
        let Some(Job::Attempt { id, number, .. }) = conn.job else { return true };
        conn.timeout.set(now + SILENCE, TimerKey::Worker(connection), effects);
        let Some(s) = self.lifecycle.requests.get(id) else { return true };
        if s.finished {
            // Nobody reads it: it ends like a stream whose client goes.
            self.pools.end(connection, effects);
            self.settle(now, id, number, AttemptOutcome::Cancelled, effects);
            return true;
        }
        let client = s.context.client;
        if conn.streams {
            effects.send(client, write::chunk(&piece));
            return true;
        }
        conn.first.extend_from_slice(&piece);
        let begins = |with: &[u8]| conn.first.starts_with(with) || with.starts_with(&conn.first);
        if !(begins(b"data:") || begins(b":")) || conn.first.len() > EVENT {
            return false;
        }
        if !conn.first.windows(2).any(|w| w == b"\n\n") {
            return true;
        }
        conn.streams = true;
        let first = std::mem::take(&mut conn.first);
        let last = self.stopping || self.clients.get(client).is_none_or(|c| c.last);
        let fields = [("content-type", "text/event-stream"), ("cache-control", "no-store")];
        effects.send(client, write::chunked_head(200, fields, last));
        effects.send(client, write::chunk(&first));
        self.clients.begin(client);
        let (lifecycle, mut exit) = self.parts(now, effects);
        lifecycle.response_started(now, id, &mut exit);
        if let Some(s) = lifecycle.requests.get(id) {
            request_trace::tell(id, &s.context.trace, State::Began);
        }
        let mut context = Context { now, pools: exit.pools, effects: exit.effects };
        exit.held.taken(id, &mut context);
        if let Some(s) = lifecycle.requests.get_mut(id) {
            // No other shot will need it.
            s.context.body = Bytes::new();
            s.context.fields = vec![];
        }
        true
    }

    /// An answer is whole.
    fn whole_answer(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        status: u16,
        never_ran: bool,
        effects: &mut Effects,
    ) {
        let Some(conn) = self.pools.get_mut(connection) else { return };
        let (worker, streamed, report) = (conn.worker, conn.streams, std::mem::take(&mut conn.first));
        let Some(job) = self.pools.ended(now, connection, effects) else { return };
        match job {
            Job::Attempt { id, number, reading, .. } => {
                let outcome = match status {
                    202 if reading => AttemptOutcome::PrefillComplete,
                    200 if !reading && streamed => AttemptOutcome::Completed,
                    410 if never_ran => AttemptOutcome::StateMissing,
                    503 | 504 if never_ran => AttemptOutcome::Rejected,
                    _ => AttemptOutcome::ServerError,
                };
                self.settle(now, id, number, outcome, effects);
            }
            Job::Place { id } => {
                let place = match status {
                    200 => Place::Held,
                    409 => Place::Refused,
                    404 => Place::None,
                    _ if never_ran => Place::None,
                    // With 204 too, though nobody there knows of a read.
                    _ => Place::Unknown,
                };
                let asked = self.lifecycle.requests.get(id).and_then(|s| s.reservations.last());
                let reading = asked == Some(&worker) && self.pools.reads(id);
                let (held, mut context) = self.held(now, effects);
                held.answered(id, connection, (place, reading), &mut context);
                if matches!(place, Place::Held | Place::Refused) {
                    let (lifecycle, mut exit) = self.parts(now, effects);
                    lifecycle.reservation_answered(now, id, worker, place == Place::Held, &mut exit);
                }
            }
            Job::Release { id } => {
                let (held, mut context) = self.held(now, effects);
                held.released(id, connection, &mut context);
            }
            Job::Liveness { id } => {
                let (held, mut context) = self.held(now, effects);
                held.reader_lives(id, &mut context);
            }
            Job::Probe { nonce } => {
                let column = self.terms.report.as_ref();
                let amount = column.and_then(|c| c.amount(headers::reported(&report, &c.name)?));
                let (lifecycle, mut exit) = self.parts(now, effects);
                amount.into_iter().for_each(|amount| lifecycle.load_reported(now, nonce, amount));
                lifecycle.health_check_finished(now, nonce, status == 200, &mut exit);
            }
        }
    }

    /// What comes on the connection can't be read, or no longer comes: the request may have run.
    fn spoilt(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some((job, streams)) = self.pools.get_mut(connection).and_then(|c| Some((c.job?, c.streams)))
        else {
            return;
        };
        self.pools.end(connection, effects);
        // A stream that began well is given up by this side; only an answer that never was one is a fault.
        let outcome = if streams { AttemptOutcome::Cancelled } else { AttemptOutcome::ServerError };
        self.came_to_nothing(now, connection, job, outcome, effects);
    }

    pub(crate) fn came_to_nothing(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        job: Job,
        outcome: AttemptOutcome,
        effects: &mut Effects,
    ) {
        match job {
            Job::Attempt { id, number, .. } => self.settle(now, id, number, outcome, effects),
            Job::Place { id } => {
                let place = if outcome.never_ran() { Place::None } else { Place::Unknown };
                let (held, mut context) = self.held(now, effects);
                held.answered(id, connection, (place, false), &mut context);
            }
            Job::Release { id } => {
                let (held, mut context) = self.held(now, effects);
                held.lost(id, connection, &mut context);
            }
            Job::Liveness { .. } => {}
            Job::Probe { nonce } => {
                let (lifecycle, mut exit) = self.parts(now, effects);
                lifecycle.health_check_finished(now, nonce, false, &mut exit);
            }
        }
    }

    /// A connection to a worker has ended, or never came about.
    pub(crate) fn worker_lost(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        let Some(conn) = self.pools.get_mut(connection) else { return };
        if conn.written {
            if let Some((status, never_ran)) = conn.ends_with() {
                return self.whole_answer(now, connection, status, never_ran, effects);
            }
        }
        let Some(conn) = self.pools.lose(connection) else { return };
        let Some(job) = conn.job else {
            tracing::debug!(worker = ?conn.worker, "a resting connection ended");
            return;
        };
        tracing::debug!(
            worker = ?conn.worker,
            ?job,
            written = conn.written,
            used = conn.used,
            rested = conn.rested,
            silent = conn.silent(),
            "a connection ended under its call"
        );
        if conn.used && conn.silent() {
            self.pools.broke_after(now, conn.rested);
        }
        // An old connection that was found dead says nothing of the worker, nor does one that could not be dialled here.
        let outcome = match (conn.written, conn.used, loss) {
            (true, ..) => AttemptOutcome::ConnectionReset,
            (false, true, _) | (false, false, DisconnectReason::LocalFailure) => AttemptOutcome::NotSent,
            (false, false, _) => AttemptOutcome::Unreachable,
        };
        self.came_to_nothing(now, connection, job, outcome, effects);
    }

    /// By what the list says, what was out on a connection has broken, or must never come to be.
    pub(crate) fn worker_ends(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let attempt =
            self.pools.get_mut(connection).filter(|conn| conn.written).map(|conn| (conn.worker, conn.job));
        self.worker_lost(now, connection, DisconnectReason::Reset, effects);
        effects.abort(connection);
        // Guards against a process that did get it, on a connection that came up behind its start.
        if let Some((worker, Some(Job::Attempt { id, .. }))) = attempt {
            self.held.gave_up(id, worker, EndedBy::ThisSide, now);
        }
    }

    /// The wait on a connection to a worker may be over.
    pub(crate) fn worker_rang(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(conn) = self.pools.get_mut(connection) else { return };
        if !conn.timeout.has_expired(now, TimerKey::Worker(connection), effects) {
            return;
        }
        match conn.job {
            Some(job @ Job::Attempt { .. }) if !conn.written && conn.silent() => {
                tracing::debug!(worker = ?conn.worker, "an attempt has not left in time");
                self.pools.end(connection, effects);
                self.came_to_nothing(now, connection, job, AttemptOutcome::Unreachable, effects);
            }
            // Also one whose first event is not whole: its request may have run.
            Some(Job::Attempt { .. }) => {
                tracing::debug!(worker = ?conn.worker, "a stream is silent");
                self.spoilt(now, connection, effects);
            }
            Some(job @ Job::Place { .. }) if !conn.written => {
                self.pools.end(connection, effects);
                self.came_to_nothing(now, connection, job, AttemptOutcome::NotSent, effects);
            }
            Some(Job::Place { .. }) => {
                if let Some(oldest) = self.pools.is_late(now, connection, effects) {
                    self.forget_place(now, oldest, effects);
                }
            }
            _ => self.pools.end(connection, effects),
        }
    }

    /// A call for a place is waited for no longer: it may be held.
    fn forget_place(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        if let Some(job @ Job::Place { .. }) = self.pools.get_mut(connection).and_then(|conn| conn.job) {
            self.pools.end(connection, effects);
            self.came_to_nothing(now, connection, job, AttemptOutcome::ConnectionReset, effects);
        }
    }

    /// Asks for signs that reads under which places are held are still out: of the reader where it may be probed, else
    /// of the writer, which is asked for the place again.
    pub(crate) fn ask_for_signs(&mut self, now: Micros, effects: &mut Effects) {
        for (id, trace) in self.held.unsure() {
            let place = self.lifecycle.requests.get(id).and_then(|s| s.reservations.last().copied());
            let (Some(reader), Some(place)) = (self.pools.reader(id), place) else { continue };
            let (_, mut exit) = self.parts(now, effects);
            if exit.terms.lifecycle.scheduler.health_checks_enabled {
                exit.ask_for_sign(id, reader);
            } else {
                exit.place(id, &trace, place);
            }
        }
    }

    /// What a read that ended badly may have left is released at once where no attempt follows it.
    pub(crate) fn clean_up(&mut self, now: Micros, effects: &mut Effects) {
        for id in self.held.doubtful() {
            let wanted = |s: &tideroute_lifecycle::RequestState<Asked>| {
                s.attempt.is_some() || s.state_holder.is_some()
            };
            if !self.lifecycle.requests.get(id).is_some_and(wanted) {
                let (held, mut context) = self.held(now, effects);
                held.unwanted(id, &mut context);
            }
        }
    }
}
