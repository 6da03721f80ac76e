//! Tracks the KV state and decode reservations that workers may hold for each request, and makes the calls that
//! release them.
//!
//! An entry exists from the moment in which a worker may hold something for the request until a worker shows that
//! nothing is held: the response has begun, a running worker has answered a release call, or a worker has answered
//! that it never reserved anything. The release follows the same path however an attempt ended: at once if the request
//! no longer needs the state, else early enough before the release timeout ends.
//!
//! The release timeout runs while an attempt is in flight whose worker gives no sign of life, because the connection
//! may have no process at its other end. It is suspended while a prefill is known to be in progress: as long as the
//! prefill worker answers liveness checks or, if that worker must not be checked, as long as the decode worker that
//! holds the reservation answers repeated reservation calls and still knows of the prefill. State that a decode
//! attempt is waiting with is released repeatedly, because it outlives a release call and may outlive the attempt.
//!
//! The manager decides what is released, when, and by which worker. It reaches workers only through the trait
//! [`Workers`].

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

/// Microseconds in which a connection is established on a working network path: some round trips and the time that
/// the worker takes to accept it.
const USUAL_CONNECT_TIME: Micros = 50_000;
/// Number of answered releases after which the pause before the next one is no longer doubled.
const MAX_RELEASE_ROUNDS: u32 = 6;

/// How a reservation call ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReservationOutcome {
    /// The worker holds the reservation.
    Granted,
    /// The worker knows of the prefill, but has no capacity for a reservation.
    Refused,
    /// The call never reached the worker, or the worker did not act on it.
    NotReserved,
    /// The worker may or may not hold the reservation.
    Unknown,
}

/// A failed decode attempt, after which its request's state may still be held where it was.
#[derive(Clone, Copy, Debug)]
pub struct DecodeFailure {
    /// The worker that holds the request's state, if one is known.
    pub state_holder: Option<WorkerId>,
    /// Whether the attempt may have reached its worker.
    pub may_have_reached_worker: bool,
    /// Whether the worker itself reported the failure; the release timeout then restarts.
    pub is_worker_response: bool,
}

/// Tracks what workers may hold for all requests.
pub struct ReservedStateManager {
    entries: BTreeMap<RequestId, Entry>,
    /// Requests whose prefill has failed since the last call of `take_failed_prefills`.
    failed_prefills: Vec<RequestId>,
    /// Requests whose prefill workers are due for a liveness check.
    liveness_checks: Vec<RequestId>,
    release_timeout: Micros,
}

impl ReservedStateManager {
    /// Creates a manager that releases what is held within `release_timeout` microseconds.
    pub fn new(release_timeout: Micros) -> ReservedStateManager {
        ReservedStateManager {
            entries: BTreeMap::new(),
            failed_prefills: vec![],
            liveness_checks: vec![],
            release_timeout,
        }
    }

    /// Returns whether no worker holds anything for any request, and no call in flight can change that.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the requests whose prefill has failed since the last call. If no attempt follows, the caller releases
    /// at once what the prefill left, by [`release_now`](Self::release_now).
    pub fn take_failed_prefills(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.failed_prefills)
    }

    /// Returns the requests whose prefill workers are due for a liveness check now, with their trace ids.
    pub fn take_liveness_checks(&mut self) -> Vec<(RequestId, Arc<str>)> {
        let mut checks = vec![];
        for id in std::mem::take(&mut self.liveness_checks) {
            if let Some(entry) = self.entries.get(&id) {
                checks.push((id, entry.trace_id.clone()));
            }
        }
        checks
    }

    /// Records that the prefill worker of a request has answered a liveness check.
    pub fn liveness_confirmed<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.running_since().is_none() {
            entry.suspend_clock(id, self.release_timeout, context);
        }
    }

    fn entry(&mut self, since: Micros, id: RequestId, trace_id: &Arc<str>) -> &mut Entry {
        self.entries.entry(id).or_insert_with(|| Entry::new(trace_id.clone(), since))
    }

    /// Runs the release clock from `since`, and cancels a release in progress, which may have begun too early.
    fn run_clock<W: Workers>(&mut self, id: RequestId, since: Micros, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.stop_release(None, context);
        entry.clock = ReleaseClock::Running { since };
        let due_at = entry.release_due_at(since, self.release_timeout);
        entry.set_timeout(id, due_at, context.effects);
    }

    /// Makes the entry's timer fire after `time` microseconds at the latest.
    fn check_again_after<W>(&mut self, id: RequestId, time: Micros, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let check_at = (context.now + time).min(entry.timeout.expires_at());
        entry.set_timeout(id, check_at, context.effects);
    }

    /// Records that a prefill is complete: its state replaces whatever was held before.
    pub fn prefill_completed<W: Workers>(
        &mut self,
        id: RequestId,
        trace_id: &Arc<str>,
        worker: WorkerId,
        context: &mut Context<W>,
    ) {
        self.entry(context.now, id, trace_id).record_state_at(worker);
        self.run_clock(id, context.now, context);
    }

    /// Records that a prefill attempt dispatched at `sent_at` has failed. The worker may have completed the prefill
    /// at any time since.
    pub fn prefill_failed<W: Workers>(
        &mut self,
        id: RequestId,
        trace_id: &Arc<str>,
        worker: WorkerId,
        sent_at: Micros,
        context: &mut Context<W>,
    ) {
        let running_since = self.entries.get(&id).and_then(Entry::running_since);
        self.entry(sent_at, id, trace_id).record_state_at(worker);
        self.failed_prefills.push(id);
        let since = running_since.map_or(sent_at, |since| since.min(sent_at));
        self.run_clock(id, since, context);
        // The next attempt does not replace the state before its connection is established.
        self.check_again_after(id, USUAL_CONNECT_TIME, context);
    }

    /// Records that the connection of an attempt to a worker was ended.
    pub fn attempt_disconnected(&mut self, id: RequestId, worker: WorkerId, ended_by: EndedBy, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let attempt = DisconnectedAttempt { worker, ended_at: now, ended_by, is_worker_seen: false };
            entry.disconnected_attempts.push(attempt);
        }
    }

    /// Records that a reservation call is being sent to a worker on `connection`.
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

    /// Records how a reservation call ended; `is_prefilling` says whether its request's prefill is in flight.
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
        let is_not_reserved =
            matches!(outcome, ReservationOutcome::Refused | ReservationOutcome::NotReserved);
        entry.reservation_calls.retain(|call| *call != connection);
        entry.is_reservation_only &= is_not_reserved;
        if entry.holds_nothing() {
            entry.stop_release(None, context);
            self.entries.remove(&id);
        } else if (entry.is_request_closed || entry.release.is_some()) && !is_not_reserved {
            // The release call may have reached the worker before the reservation call.
            self.run_clock(id, context.now, context);
            self.release_now(id, context);
        } else if is_latest && is_answered && is_prefilling && entry.release.is_none() {
            // The prefill is in progress at a running worker.
            entry.suspend_clock(id, self.release_timeout, context);
        } else if !is_not_reserved {
            // The worker may hold the reservation from now on, and nothing shows that the prefill is in progress.
            entry.release_rounds = 0;
            let since = entry.running_since().unwrap_or(context.now);
            self.run_clock(id, since, context);
        }
    }

    /// Cancels the reservation calls of a request that have not been written; it needs no reservation any more.
    pub fn cancel_unwritten_reservations<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.cancel_unwritten_reservations(context);
        if entry.holds_nothing() {
            entry.stop_release(None, context);
            self.entries.remove(&id);
        }
    }

    /// Records that a decode attempt has ended without a response. What was held for the request may still be held.
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
            // The release may have reached the worker while the attempt was still waiting with the state; such a
            // release does not free it.
            entry.stop_release(None, context);
            self.release_now(id, context);
        }
    }

    /// Records that the response has begun; by then the worker has freed all that it held.
    pub fn response_started<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.is_request_closed = true;
        self.mark_released(id, None, context);
    }

    /// Records that a worker has answered the release call on `connection`. A release does not free state that an
    /// attempt is waiting with.
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
        // Later releases go to this worker first, because its answer shows that it is running.
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

    /// Records that nothing is held any more, except what a reservation call in flight may still reserve.
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

    /// Records that the request is closed and no longer needs what is held for it.
    pub fn request_closed<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.is_request_closed = true;
        // If only a reservation call may have reserved something, its answer is awaited until a release is due.
        if !entry.is_reservation_only {
            self.release_now(id, context);
        }
    }

    /// Records that the next attempt has been sent. Its state replaces what is held, which must not be released while
    /// the attempt may use it, unless the release timeout has ended.
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

    /// Handles the timer of an entry: its release is due, or a worker has not answered in time.
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

    /// Releases an entry if its release is due, requests a liveness check if one is due, and sets the next timer.
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
