//! Events of attempts and reservations that are in flight.

use metrics::{counter, histogram};
use tideroute::types::{AttemptOutcome, RequestId, WorkerId};
use tideroute_invariants::AttemptPermit;
use tideroute_wire::Micros;

use super::RequestLifecycle;
use crate::response::Response;
use crate::transport::Transport;
use crate::units::{to_seconds, to_tenth_millis};
use crate::worker_address::WorkerAddress;

impl<Context> RequestLifecycle<Context> {
    /// Returns whether the attempt is the one in flight, at this worker. Messages about any other attempt are stale,
    /// because that attempt was cancelled.
    pub fn is_in_flight(&self, id: RequestId, number: u16, worker: WorkerId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let Some(attempt) = &request.attempt else { return false };
        attempt.number == number && attempt.worker == worker
    }

    /// Checks whether an attempt that waited for its connection may still be sent; `None` if an invariant forbids it.
    pub fn permit_transmission(&mut self, now: Micros, id: RequestId, number: u16) -> Option<AttemptPermit> {
        let request = self.requests.get(id)?;
        match request.record.permit_transmission(to_tenth_millis(now), number) {
            Ok(permit) => Some(permit),
            Err(violation) => {
                self.report_violation(id, violation);
                None
            }
        }
    }

    /// Handles the end of an attempt. The scheduler is notified, and the client gets its final response if the stream
    /// was complete or broke off.
    pub fn finish_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        outcome: AttemptOutcome,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempt.take_if(|attempt| attempt.number == number) else { return };
        request.record.attempt_finished(number, outcome);
        transport.attempt_finished(id, request, &attempt, outcome);
        if outcome == AttemptOutcome::PrefillComplete {
            request.state_holder = Some(attempt.worker);
        }
        let is_terminal = request.finished || attempt.streaming || outcome == AttemptOutcome::Completed;
        tracing::debug!(
            id,
            attempt = number,
            worker = %WorkerAddress(attempt.worker),
            ?outcome,
            "attempt finished"
        );
        counter!("tideroute_attempts_finished_total", "outcome" => outcome.name()).increment(1);
        self.scheduler.attempt_finished(to_tenth_millis(now), id, number, outcome, is_terminal);
        self.scheduling_needed = true;
        self.closing.push(id);
        if outcome == AttemptOutcome::Completed {
            self.respond(now, id, Response::Completed(attempt.tokens), transport);
        } else if attempt.streaming {
            self.respond(now, id, Response::Failed, transport);
        }
    }

    /// Handles the first part of the response. No other attempt can replace this one from now on: the request's
    /// reservations at other workers are cancelled, and its KV state is no longer needed.
    pub fn response_started(
        &mut self,
        now: Micros,
        id: RequestId,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempt.as_mut().filter(|attempt| !attempt.streaming) else { return };
        attempt.streaming = true;
        let worker = attempt.worker;
        let number = attempt.number;
        request.record.response_started();
        request.state_holder = None;
        request.first_token_at = Some(now);
        for reserved_at in std::mem::take(&mut request.reservations) {
            transport.cancel_reservation(id, reserved_at, reserved_at != worker);
        }
        tracing::debug!(id, attempt = number, worker = %WorkerAddress(worker), "response started");
        let time_to_first_token = now.saturating_sub(request.arrived_at);
        self.scheduler.response_started(to_tenth_millis(now), id, number);
        self.scheduling_needed = true;
        histogram!("tideroute_first_token_seconds").record(to_seconds(time_to_first_token));
    }

    /// Handles a decode worker's answer to a reservation request. The scheduler is notified only during the prefill:
    /// later answers can't change its decision.
    pub fn reservation_answered(
        &mut self,
        now: Micros,
        id: RequestId,
        decode_worker: WorkerId,
        granted: bool,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.reservations.last() != Some(&decode_worker) {
            return;
        }
        if !granted {
            request.reservations.clear();
            transport.cancel_reservation(id, decode_worker, false);
        }
        if request.prefill_worker().is_some() {
            self.scheduler.reservation_answered(to_tenth_millis(now), id, granted);
            self.scheduling_needed = true;
        }
    }

    /// Handles an expired deadline: an attempt that has not begun to stream has timed out, even if its client
    /// disconnected and the configuration allows no cancellation.
    pub(super) fn deadline_expired(
        &mut self,
        now: Micros,
        id: RequestId,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(request) = self.requests.get(id).filter(|request| !request.is_streaming()) else { return };
        let Some(attempt) = &request.attempt else {
            self.scheduling_needed = true;
            return;
        };
        let number = attempt.number;
        let was_unsent = transport.cancel(id, attempt);
        let outcome = if was_unsent { AttemptOutcome::NotSent } else { AttemptOutcome::TimedOut };
        self.finish_attempt(now, id, number, outcome, transport);
    }
}
