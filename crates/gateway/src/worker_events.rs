//! Turns events on connections to workers into outcomes of calls: responses, disconnects and timeouts.

use bytes::Bytes;
use tideroute::types::{AttemptOutcome, RequestId, WorkerId};
use tideroute_lifecycle::RequestState;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects};
use tideroute_wire::Micros;

use crate::client_connection::ClientState;
use crate::egress::AttemptEnded;
use crate::headers;
use crate::request_context::RequestContext;
use crate::request_trace::{self, TraceEvent};
use crate::reserved_state::{EndedBy, ReservationOutcome};
use crate::state::GatewayState;
use crate::streaming::SILENCE_TIMEOUT;
use crate::timers::TimerKey;
use crate::worker_connection::{Call, ResponseEvent, ResponseStatus};

/// Microseconds after which the response to a client that does not read is ended: as long as an idle client connection
/// is kept.
const CLIENT_READ_TIMEOUT: Micros = 15_000_000;

impl GatewayState {
    /// Handles an established connection to a worker: sends the attempt that waits for it.
    pub fn worker_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(worker_connection) = self.workers.get_mut(connection) else { return };
        worker_connection.is_connected = true;
        let dispatch_deadline = worker_connection.dispatch_deadline;
        let Some(call @ Call::Attempt { id, number, .. }) = worker_connection.call else { return };
        let is_current =
            self.lifecycle.requests.get(id).is_some_and(|request| request.is_current_attempt(number));
        if now > dispatch_deadline || !is_current {
            // The event loop may handle this event after the deadline, or the attempt may no longer be current.
            self.workers.abort(connection, effects);
            return self.call_failed(now, connection, call, AttemptOutcome::Unreachable, effects);
        }
        let permit = self.lifecycle.permit_transmission(now, id, number);
        let (lifecycle, mut egress) = self.lifecycle(now, effects);
        let (Some(permit), Some(request)) = (permit, lifecycle.requests.get(id)) else {
            self.workers.abort(connection, effects);
            return self.call_failed(now, connection, call, AttemptOutcome::NotSent, effects);
        };
        egress.send_attempt(connection, request, permit);
        let (reserved_state, mut context) = self.reserved_state(now, effects);
        reserved_state.attempt_sent(id, &mut context);
    }

    /// Handles a call that has been written completely: requests the reservation that waits for it.
    pub fn call_written(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(worker_connection) = self.workers.get_mut(connection) else { return };
        worker_connection.is_written = true;
        let reservation = worker_connection.pending_reservation.take();
        let address = worker_connection.address;
        let Some(Call::Attempt { id, number, .. }) = worker_connection.call else { return };
        if worker_connection.is_silent() {
            worker_connection.timeout.clear();
        }
        let Some(request) = self.lifecycle.requests.get(id) else { return };
        let trace_id = request.context.trace_id.clone();
        request_trace::record(id, &trace_id, TraceEvent::AttemptWritten { number, address });
        if let Some(worker) = reservation {
            self.egress(now, effects).request_reservation(id, &trace_id, worker);
        }
    }

    /// Handles bytes from a worker.
    pub fn worker_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &Bytes,
        effects: &mut Effects,
    ) {
        let Some(worker_connection) = self.workers.on_data(now, connection) else { return };
        if worker_connection.call.is_none() {
            // No call is open on the connection, and these bytes could not be told from the next call's response.
            return self.workers.abort(connection, effects);
        }
        worker_connection.on_data(bytes);
        loop {
            let Some(worker_connection) = self.workers.get_mut(connection) else { return };
            match worker_connection.next_event() {
                Ok(ResponseEvent::Incomplete) => {
                    if !worker_connection.free_parsed_bytes(&self.response_memory) {
                        self.response_invalid(now, connection, effects);
                    }
                    return;
                }
                Ok(ResponseEvent::Body(200, piece)) if worker_connection.is_decode_attempt() => {
                    if !self.stream_data(now, connection, piece, effects) {
                        return self.response_invalid(now, connection, effects);
                    }
                }
                Ok(ResponseEvent::Body(200, piece))
                    if matches!(worker_connection.call, Some(Call::HealthCheck { .. })) =>
                {
                    if self.response_memory.would_exceed(piece.len()) {
                        return self.response_invalid(now, connection, effects);
                    }
                    worker_connection.buffered.append(&piece, &self.response_memory);
                }
                Ok(ResponseEvent::Body(..)) => {}
                Ok(ResponseEvent::Complete(_))
                    if worker_connection.is_streaming && !worker_connection.is_stream_whole() =>
                {
                    tracing::debug!(worker = ?worker_connection.worker, "stream ended before its last event; closing the connection");
                    return self.response_invalid(now, connection, effects);
                }
                Ok(ResponseEvent::Complete(response)) => {
                    return self.response_complete(now, connection, response, effects)
                }
                Err(problem) => {
                    tracing::debug!(worker = ?worker_connection.worker, %problem, "malformed response received; closing the connection");
                    return self.response_invalid(now, connection, effects);
                }
            }
        }
    }

    /// Finishes the call of a complete response.
    fn response_complete(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        response: ResponseStatus,
        effects: &mut Effects,
    ) {
        let Some(worker_connection) = self.workers.get_mut(connection) else { return };
        let worker = worker_connection.worker;
        let is_streaming = worker_connection.is_streaming;
        let report = worker_connection.buffered.take();
        let Some(call) = self.workers.call_finished(now, connection, effects) else { return };
        match call {
            Call::Attempt { id, number, is_prefill, .. } => {
                let outcome = attempt_outcome(response, is_prefill, is_streaming);
                self.finish_attempt(now, AttemptEnded { id, number, outcome }, effects);
            }
            Call::Reservation { id } => {
                let outcome = reservation_outcome(response);
                self.reservation_answered(now, connection, id, worker, outcome, effects);
            }
            Call::Release { id } => {
                let (reserved_state, mut context) = self.reserved_state(now, effects);
                reserved_state.release_answered(id, connection, &mut context);
            }
            Call::LivenessCheck { id } => {
                let (reserved_state, mut context) = self.reserved_state(now, effects);
                reserved_state.liveness_confirmed(id, &mut context);
            }
            Call::HealthCheck { nonce } => {
                let load = self.reported_load(&report);
                let (lifecycle, mut egress) = self.lifecycle(now, effects);
                if let Some(load) = load {
                    lifecycle.load_reported(now, nonce, load);
                }
                lifecycle.health_check_finished(now, nonce, response.status == 200, &mut egress);
            }
        }
    }

    fn reservation_answered(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        id: RequestId,
        worker: WorkerId,
        outcome: ReservationOutcome,
        effects: &mut Effects,
    ) {
        let request = self.lifecycle.requests.get(id);
        let is_last = request.and_then(|request| request.reservations.last()) == Some(&worker);
        let is_prefilling = is_last && self.workers.is_prefilling(id);
        let (reserved_state, mut context) = self.reserved_state(now, effects);
        reserved_state.reservation_call_ended(id, connection, outcome, is_prefilling, &mut context);
        if matches!(outcome, ReservationOutcome::Granted | ReservationOutcome::Refused) {
            let is_granted = outcome == ReservationOutcome::Granted;
            let (lifecycle, mut egress) = self.lifecycle(now, effects);
            lifecycle.reservation_answered(now, id, worker, is_granted, &mut egress);
        }
    }

    /// Returns the load that a worker reports, if the settings name a column for it.
    fn reported_load(&self, report: &[u8]) -> Option<f64> {
        let column = self.config.load_report.as_ref()?;
        column.load(headers::reported_value(report, &column.name)?)
    }

    /// Ends a call whose response is invalid or has stopped arriving. The request may have run.
    fn response_invalid(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(worker_connection) = self.workers.get_mut(connection) else { return };
        let Some(call) = worker_connection.call else { return };
        // A stream that began correctly counts as cancelled by this router; only a response that never became a valid
        // stream counts against its worker.
        let outcome = match worker_connection.is_streaming {
            true if worker_connection.awaits_only_close() => AttemptOutcome::Completed,
            true => AttemptOutcome::Cancelled,
            false => AttemptOutcome::ServerError,
        };
        self.workers.abort(connection, effects);
        self.call_failed(now, connection, call, outcome, effects);
    }

    /// Records that a call has ended without a complete response.
    fn call_failed(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        call: Call,
        outcome: AttemptOutcome,
        effects: &mut Effects,
    ) {
        match call {
            Call::Attempt { id, number, .. } => {
                self.finish_attempt(now, AttemptEnded { id, number, outcome }, effects);
            }
            Call::Reservation { id } => {
                let never_ran = outcome.never_ran();
                let outcome =
                    if never_ran { ReservationOutcome::NotReserved } else { ReservationOutcome::Unknown };
                let (reserved_state, mut context) = self.reserved_state(now, effects);
                reserved_state.reservation_call_ended(id, connection, outcome, false, &mut context);
            }
            Call::Release { id } => {
                let (reserved_state, mut context) = self.reserved_state(now, effects);
                reserved_state.release_call_failed(id, connection, &mut context);
            }
            Call::LivenessCheck { .. } => {}
            Call::HealthCheck { nonce } => {
                let (lifecycle, mut egress) = self.lifecycle(now, effects);
                lifecycle.health_check_finished(now, nonce, false, &mut egress);
            }
        }
    }

    /// Handles the end of a connection to a worker, or a connection attempt that failed.
    pub fn worker_disconnected(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        let Some(worker_connection) = self.workers.get_mut(connection) else { return };
        if worker_connection.is_written {
            if let Some(response) = worker_connection.completed_by_close() {
                return self.response_complete(now, connection, response, effects);
            }
        }
        let Some(worker_connection) = self.workers.remove(connection) else { return };
        let Some(call) = worker_connection.call else {
            tracing::debug!(worker = ?worker_connection.worker, "idle worker connection ended");
            return;
        };
        tracing::debug!(
            worker = ?worker_connection.worker,
            ?call,
            written = worker_connection.is_written,
            reused = worker_connection.is_reused,
            idle_time = worker_connection.idle_time,
            silent = worker_connection.is_silent(),
            "worker connection ended during its call"
        );
        if worker_connection.is_reused && worker_connection.is_silent() {
            self.workers.failed_after_idle(now, worker_connection.idle_time);
        }
        let outcome = disconnect_outcome(worker_connection.is_written, worker_connection.is_reused, reason);
        self.call_failed(now, connection, call, outcome, effects);
    }

    /// Drops a connection whose call, according to the endpoint list, has failed or must never be sent.
    pub fn drop_worker_connection(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let worker_connection =
            self.workers.get_mut(connection).filter(|worker_connection| worker_connection.is_written);
        let written_call = worker_connection
            .and_then(|worker_connection| Some((worker_connection.worker, worker_connection.call?)));
        self.worker_disconnected(now, connection, DisconnectReason::Reset, effects);
        effects.abort(connection);
        // The new process may have received the call, if the connection was established after that process started.
        if let Some((worker, Call::Attempt { id, .. })) = written_call {
            self.reserved_state.attempt_disconnected(id, worker, EndedBy::ThisSide, now);
        }
    }

    /// Handles the timer of a connection to a worker.
    pub fn worker_timer_fired(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(worker_connection) = self.workers.get_mut(connection) else { return };
        if !worker_connection.timeout.has_expired(now, TimerKey::Worker(connection), effects) {
            return;
        }
        match worker_connection.call {
            Some(call @ Call::Attempt { .. })
                if !worker_connection.is_written && worker_connection.is_silent() =>
            {
                tracing::debug!(worker = ?worker_connection.worker, "attempt not written in time; aborting its connection");
                self.workers.abort(connection, effects);
                self.call_failed(now, connection, call, AttemptOutcome::Unreachable, effects);
            }
            // This includes a stream whose first event is incomplete: its request may have run.
            Some(Call::Attempt { .. }) => {
                tracing::debug!(worker = ?worker_connection.worker, "worker stream timed out; aborting its connection");
                self.response_invalid(now, connection, effects);
            }
            Some(call @ Call::Reservation { .. }) if !worker_connection.is_written => {
                self.workers.abort(connection, effects);
                self.call_failed(now, connection, call, AttemptOutcome::NotSent, effects);
            }
            Some(Call::Reservation { .. }) => {
                let given_up = self.workers.reservation_timed_out(now, connection, effects);
                if let Some(connection) = given_up {
                    self.give_up_reservation_call(now, connection, effects);
                }
            }
            _ => self.workers.abort(connection, effects),
        }
    }

    /// Gives up a reservation call without an answer. The worker may hold the reservation.
    fn give_up_reservation_call(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let call = self.workers.get_mut(connection).and_then(|worker_connection| worker_connection.call);
        if let Some(call @ Call::Reservation { .. }) = call {
            self.workers.abort(connection, effects);
            self.call_failed(now, connection, call, AttemptOutcome::ConnectionReset, effects);
        }
    }

    /// Handles a client that reads its response too slowly, or reads fast enough again: pauses or resumes reading from
    /// the worker of that client's stream only.
    pub fn client_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        is_congested: bool,
        effects: &mut Effects,
    ) {
        self.client_congestion_changed(now, connection, is_congested, effects);
        let Some(client) = self.clients.get(connection) else { return };
        let ClientState::AwaitingResponse { id, .. } = client.state else { return };
        let Some(worker) = self.workers.attempt_connection(id) else { return };
        effects.pause_reading(worker, is_congested);
        // While reading from the worker is paused, the timeout applies to the client.
        let timeout = if is_congested { CLIENT_READ_TIMEOUT } else { SILENCE_TIMEOUT };
        if let Some(attempt) = self.workers.get_mut(worker) {
            attempt.timeout.set(now + timeout, TimerKey::Worker(worker), effects);
        }
    }

    /// Checks whether prefills with a decode reservation are still in progress: with a liveness check of the prefill
    /// worker if health checks are enabled, else with another reservation call to the decode worker.
    pub fn check_prefills(&mut self, now: Micros, effects: &mut Effects) {
        for (id, trace_id) in self.reserved_state.take_liveness_checks() {
            let request = self.lifecycle.requests.get(id);
            let reservation = request.and_then(|request| request.reservations.last().copied());
            let Some(prefill_worker) = self.workers.prefill_worker(id) else { continue };
            let Some(decode_worker) = reservation else { continue };
            let mut egress = self.egress(now, effects);
            if egress.config.lifecycle.scheduler.health_checks_enabled {
                egress.check_liveness(id, prefill_worker);
            } else {
                egress.request_reservation(id, &trace_id, decode_worker);
            }
        }
    }

    /// Releases at once what a failed prefill may have left, if no attempt follows it.
    pub fn release_failed_prefills(&mut self, now: Micros, effects: &mut Effects) {
        let is_state_needed = |request: &RequestState<RequestContext>| {
            request.attempt.is_some() || request.state_holder.is_some()
        };
        for id in self.reserved_state.take_failed_prefills() {
            if !self.lifecycle.requests.get(id).is_some_and(is_state_needed) {
                let (reserved_state, mut context) = self.reserved_state(now, effects);
                reserved_state.release_now(id, &mut context);
            }
        }
    }
}

fn attempt_outcome(response: ResponseStatus, is_prefill: bool, is_streaming: bool) -> AttemptOutcome {
    match response.status {
        202 if is_prefill => AttemptOutcome::PrefillComplete,
        200 if !is_prefill && is_streaming => AttemptOutcome::Completed,
        410 if response.never_ran => AttemptOutcome::StateMissing,
        503 | 504 if response.never_ran => AttemptOutcome::Rejected,
        _ => AttemptOutcome::ServerError,
    }
}

fn reservation_outcome(response: ResponseStatus) -> ReservationOutcome {
    match response.status {
        200 => ReservationOutcome::Granted,
        409 => ReservationOutcome::Refused,
        404 => ReservationOutcome::NotReserved,
        _ if response.never_ran => ReservationOutcome::NotReserved,
        // This includes 204, although that worker does not know of a prefill.
        _ => ReservationOutcome::Unknown,
    }
}

/// Returns the outcome of an attempt whose connection ended. A reused connection that turned out to be dead, or one
/// that failed locally, does not count against the worker.
fn disconnect_outcome(is_written: bool, is_reused: bool, reason: DisconnectReason) -> AttemptOutcome {
    if is_written {
        AttemptOutcome::ConnectionReset
    } else if is_reused || reason == DisconnectReason::LocalFailure {
        AttemptOutcome::NotSent
    } else {
        AttemptOutcome::Unreachable
    }
}
