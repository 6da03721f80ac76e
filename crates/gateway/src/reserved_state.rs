//! What may be reserved for each request at workers, KV state and decode reservations, and the calls that release it.
//!
//! An entry stands from the moment in which something may be reserved until a worker shows that nothing is: the
//! response has begun, a running worker has answered a release, or one has said that it never reserved anything.
//! Release follows the same path however an attempt ended: at once where nobody wants the state any more, else early
//! enough before the release timeout ends.
//!
//! The timeout runs while an attempt is out that gives no sign of life, for a connection may lead nowhere. It is
//! suspended while a prefill is known to be under way: as long as its worker answers liveness checks or, where it must
//! not be checked, the decode worker that holds the reservation is asked for it again and still knows of the prefill.
//! State that an attempt waits with is released again and again, for it outlives a release and may outlive the
//! attempt.
//!
//! The manager decides what is to be released, when and by whom. It reaches workers by the trait [`Workers`] only.

use std::collections::BTreeMap;
use std::sync::Arc;

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::request_trace::{self, TraceEvent};
use crate::timers::TimerKey;

mod entry;
mod release;
mod workers;

pub use entry::EndedBy;
use entry::{
    liveness_check_at, liveness_lost_at, DisconnectedAttempt, Entry, ReleaseClock, CLOSE_SEEN_WITHIN,
};
pub use workers::{Context, Workers};

/// Microseconds in which a dialled connection is established, unless something is wrong on its way: some round trips
/// and what the worker needs for it.
const USUAL_CONNECT_TIME: Micros = 50_000;
/// Answered releases after which the pause before the next one is no longer doubled.
const MAX_RELEASE_ROUNDS: u32 = 6;

/// What came of a reservation call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReservationOutcome {
    /// The worker holds the reservation.
    Granted,
    /// A worker that knows of the prefill has none to give.
    Refused,
    /// The call never arrived, or did nothing.
    NotReserved,
    /// The reservation may be held.
    Unknown,
}

/// A decode attempt has ended and may have left state where it was.
#[derive(Clone, Copy, Debug)]
pub struct DecodeFailure {
    /// The worker that holds the request's state, as far as is known.
    pub state_holder: Option<WorkerId>,
    /// The attempt may have arrived at its worker.
    pub may_have_reached_worker: bool,
    /// The worker has said that it ended, with which the timeout begins anew.
    pub is_worker_response: bool,
}

/// What may be reserved, for all requests.
pub struct ReservedStateManager {
    entries: BTreeMap<RequestId, Entry>,
    /// Requests of which a prefill has failed since the last look.
    failed_prefills: Vec<RequestId>,
    /// Requests of which it has to be checked whether their prefills are still under way.
    liveness_checks: Vec<RequestId>,
    release_timeout: Micros,
}

impl ReservedStateManager {
    /// A manager that releases within so long.
    pub fn new(release_timeout: Micros) -> ReservedStateManager {
        ReservedStateManager {
            entries: BTreeMap::new(),
            failed_prefills: vec![],
            liveness_checks: vec![],
            release_timeout,
        }
    }

    /// Whether nothing is reserved for any request, nor may come to be.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests of which a prefill has failed since the last call. What it left is to be released at once by
    /// [`release_now`](Self::release_now) where no attempt follows.
    pub fn take_failed_prefills(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.failed_prefills)
    }

    /// Requests of which it has to be checked now whether their prefills are still under way, with their trace ids.
    pub fn take_liveness_checks(&mut self) -> Vec<(RequestId, Arc<str>)> {
        let mut checks = vec![];
        for id in std::mem::take(&mut self.liveness_checks) {
            if let Some(entry) = self.entries.get(&id) {
                checks.push((id, entry.trace_id.clone()));
            }
        }
        checks
    }

    /// The prefill worker of a request has answered a liveness check.
    pub fn liveness_confirmed<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.running_since().is_none() {
            entry.suspend_clock(id, self.release_timeout, context);
        }
    }

    fn entry(&mut self, since: Micros, id: RequestId, trace_id: &Arc<str>) -> &mut Entry {
        self.entries.entry(id).or_insert_with(|| Entry::new(trace_id.clone(), since))
    }

    /// The clock runs since then; a release under way, which may have come too early, is none.
    fn run_clock<W: Workers>(&mut self, id: RequestId, since: Micros, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.stop_release(None, context);
        entry.clock = ReleaseClock::Running { since };
        let due_at = entry.release_due_at(since, self.release_timeout);
        entry.set_timeout(id, due_at, context.effects);
    }

    /// The entry is looked at after so long at the latest.
    fn check_again_after<W>(&mut self, id: RequestId, time: Micros, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let at = (context.now + time).min(entry.timeout.expires_at());
        entry.set_timeout(id, at, context.effects);
    }

    /// A prefill is complete: its state takes the place of whatever was reserved before.
    pub fn prefill_completed<W: Workers>(
        &mut self,
        id: RequestId,
        trace_id: &Arc<str>,
        worker: WorkerId,
        context: &mut Context<W>,
    ) {
        self.entry(context.now, id, trace_id).located_at(worker);
        self.run_clock(id, context.now, context);
    }

    /// An attempt that was to prefill and was dispatched at `sent_at` has failed: its prefill may have become complete
    /// over there at any time since.
    pub fn prefill_failed<W: Workers>(
        &mut self,
        id: RequestId,
        trace_id: &Arc<str>,
        worker: WorkerId,
        sent_at: Micros,
        context: &mut Context<W>,
    ) {
        let running_since = self.entries.get(&id).and_then(Entry::running_since);
        self.entry(sent_at, id, trace_id).located_at(worker);
        self.failed_prefills.push(id);
        let since = running_since.map_or(sent_at, |since| since.min(sent_at));
        self.run_clock(id, since, context);
        // The next attempt takes nothing while its connection is not established.
        self.check_again_after(id, USUAL_CONNECT_TIME, context);
    }

    /// The connection of an attempt at a worker was ended.
    pub fn attempt_disconnected(&mut self, id: RequestId, worker: WorkerId, ended_by: EndedBy, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let attempt = DisconnectedAttempt { worker, ended_at: now, ended_by, is_worker_seen: false };
            entry.disconnected_attempts.push(attempt);
        }
    }

    /// A reservation call goes out to a worker on that connection.
    pub fn reservation_requested<W: Workers>(
        &mut self,
        id: RequestId,
        trace_id: &Arc<str>,
        worker: WorkerId,
        connection: ConnectionId,
        context: &mut Context<W>,
    ) {
        let is_new = !self.entries.contains_key(&id);
        let entry = self.entry(context.now, id, trace_id);
        entry.reservation_calls.push(connection);
        entry.release_rounds = 0;
        if is_new {
            entry.location = Some(worker);
            entry.is_reservation_only = true;
            self.run_clock(id, context.now, context);
        }
    }

    /// A reservation call has ended; `is_prefilling` if the prefill that it is for is out.
    pub fn reservation_call_ended<W: Workers>(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        outcome: ReservationOutcome,
        is_prefilling: bool,
        context: &mut Context<W>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        // The answer to an earlier call may be about an earlier prefill.
        let is_latest = entry.reservation_calls.last() == Some(&connection);
        let is_answered = matches!(outcome, ReservationOutcome::Granted | ReservationOutcome::Refused);
        let is_none = matches!(outcome, ReservationOutcome::Refused | ReservationOutcome::NotReserved);
        entry.reservation_calls.retain(|call| *call != connection);
        entry.is_reservation_only &= is_none;
        if entry.holds_nothing() {
            entry.stop_release(None, context);
            self.entries.remove(&id);
        } else if (entry.is_request_closed || entry.release.is_some()) && !is_none {
            // A release may have arrived before it.
            self.run_clock(id, context.now, context);
            self.release_now(id, context);
        } else if is_latest && is_answered && is_prefilling && entry.release.is_none() {
            // The prefill is under way at a running worker.
            entry.suspend_clock(id, self.release_timeout, context);
        } else if !is_none {
            // It may be held from now on; of a prefill that was taken to be under way nobody there knows.
            entry.release_rounds = 0;
            let since = entry.running_since().unwrap_or(context.now);
            self.run_clock(id, since, context);
        }
    }

    /// No reservation is wanted any more: calls for one that have not been written never are.
    pub fn cancel_unwritten_reservations<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.cancel_unwritten_reservations(context);
        if entry.holds_nothing() {
            entry.stop_release(None, context);
            self.entries.remove(&id);
        }
    }

    /// A decode attempt has ended without a response, and left where it was what is reserved.
    pub fn decode_failed<W: Workers>(
        &mut self,
        id: RequestId,
        trace_id: &Arc<str>,
        failure: DecodeFailure,
        context: &mut Context<W>,
    ) {
        let is_new = !self.entries.contains_key(&id);
        if failure.state_holder.is_some() {
            self.entry(context.now, id, trace_id).location = failure.state_holder;
        }
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if is_new || failure.is_worker_response || entry.running_since().is_none() {
            self.run_clock(id, context.now, context);
        } else if failure.may_have_reached_worker && entry.release.is_some() {
            // The release may have come while the attempt still waited with the state, which it does not free then.
            entry.stop_release(None, context);
            self.release_now(id, context);
        }
    }

    /// The response has begun, with which the worker frees all that was reserved.
    pub fn response_started<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.is_request_closed = true;
        self.mark_released(id, None, context);
    }

    /// A worker has answered a release on that connection. The release frees nothing that an attempt waits with.
    pub fn release_answered<W: Workers>(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        context: &mut Context<W>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        request_trace::record(id, &entry.trace_id, TraceEvent::Released);
        let began_at = entry.release.as_ref().map_or(context.now, |release| release.began_at);
        entry.forget_hung_workers(context);
        entry.disconnected_attempts.retain_mut(|attempt| attempt.outlives_release(began_at, context));
        if entry.disconnected_attempts.is_empty() && !context.workers.is_decoding(id) {
            return self.mark_released(id, Some(connection), context);
        }
        entry.stop_release(Some(connection), context);
        // It is told first from now on, for its answer is the sign that it runs.
        if let Some(attempt) = entry.disconnected_attempts.first() {
            entry.location = Some(attempt.worker);
        }
        let is_seen_soon = entry
            .disconnected_attempts
            .iter()
            .any(|attempt| attempt.is_worker_seen || began_at < attempt.ended_at + CLOSE_SEEN_WITHIN);
        self.run_clock(id, context.now, context);
        if is_seen_soon {
            self.check_again_after(id, CLOSE_SEEN_WITHIN, context);
        }
    }

    /// Nothing is reserved any more, but for what a reservation call under way may reserve yet.
    fn mark_released<W: Workers>(
        &mut self,
        id: RequestId,
        answered: Option<ConnectionId>,
        context: &mut Context<W>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.stop_release(answered, context);
        entry.is_reservation_only = true;
        if entry.reservation_calls.is_empty() {
            entry.release_rounds = 0;
        } else {
            entry.release_rounds = (entry.release_rounds + 1).min(MAX_RELEASE_ROUNDS);
        }
        self.cancel_unwritten_reservations(id, context);
        self.run_clock(id, context.now, context);
    }

    /// The request is closed, and nobody wants what is reserved for it.
    pub fn request_closed<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.is_request_closed = true;
        // The answer to a reservation call is waited for, as long as its timeout lasts.
        if !entry.is_reservation_only {
            self.release_now(id, context);
        }
    }

    /// The next attempt has been sent. What it makes takes the place of what is reserved, which must not be released
    /// under it, unless the timeout has ended.
    pub fn attempt_sent<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(since) = entry.running_since() else { return };
        let due_at = entry.release_due_at(since, self.release_timeout);
        if context.now >= due_at {
            return;
        }
        entry.stop_release(None, context);
        entry.set_timeout(id, due_at, context.effects);
    }

    /// The timer of an entry has fired: its release is due, or a worker has not answered in time.
    pub fn timer_fired<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let key = TimerKey::ReservedState(id.into());
        if !entry.timeout.has_expired(context.now, key, context.effects) {
            return;
        }
        if entry.release.is_some() {
            self.release_call_timed_out(id, context);
        } else {
            self.check_due(id, context);
        }
    }

    /// Releases an entry if that is due, requests a liveness check if that is, and sets the next timer.
    fn check_due<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let due_at = match entry.clock {
            ReleaseClock::Running { since } if context.workers.is_attempt_connected(id) => {
                entry.release_due_at(since, self.release_timeout)
            }
            ReleaseClock::Running { .. } => context.now,
            ReleaseClock::Suspended { since, is_check_requested } => {
                let since = since.max(context.workers.attempt_worker_last_seen(id));
                let check_at = liveness_check_at(since, self.release_timeout);
                let needs_check = !is_check_requested && context.now >= check_at;
                if needs_check {
                    self.liveness_checks.push(id);
                }
                let is_check_requested = is_check_requested || needs_check;
                entry.clock = ReleaseClock::Suspended { since, is_check_requested };
                if is_check_requested {
                    liveness_lost_at(since, self.release_timeout)
                } else {
                    check_at
                }
            }
        };
        if context.now >= due_at {
            return self.release_now(id, context);
        }
        entry.set_timeout(id, due_at, context.effects);
    }
}
