//! Executes the scheduler's actions.

use metrics::counter;
use tideroute::types::{Action, AttemptOutcome, RequestId, Role, TenthMillis, WorkerId};
use tideroute_wire::Micros;

use super::{FinishedAttempt, RequestLifecycle};
use crate::request_state::Attempt;
use crate::response::Response;
use crate::transport::{Timer, Transport};
use crate::units::{to_micros, to_tenth_millis, MICROS_PER_TENTH_MILLI};
use crate::worker_address::WorkerAddress;

impl<Context> RequestLifecycle<Context> {
    pub(super) fn execute(
        &mut self,
        now: Micros,
        action: Action,
        transport: &mut impl Transport<Context = Context>,
    ) {
        tracing::trace!(?action, "scheduler action received");
        match action {
            Action::Dispatch { id, worker, .. } => self.dispatch(now, id, worker, transport),
            Action::ReserveDecode { id, worker } => self.reserve_decode(now, id, worker, transport),
            Action::Release { id } => self.release(id, transport),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt, transport),
            Action::Reject { id, retry_after } => {
                self.respond(now, id, Response::Rejected(to_micros(retry_after)), transport);
            }
            Action::Fail { id } => self.respond(now, id, Response::Failed, transport),
            Action::CheckHealth { worker } => self.start_health_check(now, worker, transport),
            Action::WatchEndpoints => transport.watch_endpoints(self.endpoint_list_version()),
            Action::SetTimer { delay } => transport.set_timer(wake_time(now, delay), Timer::SchedulerWake),
        }
    }

    /// Sends an attempt to a worker, if the invariants permit it. Else the scheduler is notified that it was not sent.
    fn dispatch(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(listed) = self.endpoints.get(worker) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let is_prefill = listed.role == Role::Prefill;
        let number = request.attempts;
        request.attempts += 1;
        let attempt = Attempt::new(number, worker, is_prefill);
        let endpoint = Some(&listed.endpoint);
        let permit = request.record.permit_attempt(to_tenth_millis(now), number, endpoint, !is_prefill);
        let permit = match permit {
            Ok(permit) => permit,
            Err(violation) => {
                // If another attempt is in flight, it continues.
                request.attempt.get_or_insert(attempt);
                let outcome = AttemptOutcome::NotSent;
                self.finished_attempts.push(FinishedAttempt { id, number, outcome });
                return self.report_violation(id, violation);
            }
        };
        if !is_prefill {
            // One decode worker gets the KV state: reservations at all others end.
            for reserved_at in std::mem::take(&mut request.reservations) {
                transport.cancel_reservation(id, reserved_at, reserved_at != worker);
            }
        }
        tracing::debug!(id, attempt = number, worker = %WorkerAddress(worker), is_prefill, "attempt dispatched");
        let stage = if is_prefill { "prefill" } else { "decode" };
        counter!("tideroute_attempts_total", "stage" => stage).increment(1);
        let remaining_time = request.deadline.saturating_sub(now);
        transport.dispatch(id, request, &attempt, remaining_time, permit);
        request.attempt = Some(attempt);
    }

    /// Asks a decode worker for a reservation while the request's prefill runs.
    fn reserve_decode(
        &mut self,
        now: Micros,
        id: RequestId,
        decode_worker: WorkerId,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(prefill_worker) = request.prefill_worker() else { return };
        let endpoint = self.endpoints.get(decode_worker).map(|listed| &listed.endpoint);
        let permit = match request.record.permit_reservation(to_tenth_millis(now), endpoint) {
            Ok(permit) => permit,
            Err(violation) => return self.report_violation(id, violation),
        };
        // A new reservation replaces an earlier one.
        for replaced in std::mem::replace(&mut request.reservations, vec![decode_worker]) {
            transport.cancel_reservation(id, replaced, true);
        }
        counter!("tideroute_reservations_total").increment(1);
        transport.reserve(id, request, decode_worker, prefill_worker, permit);
    }

    /// Cancels an attempt that has not begun to stream.
    fn cancel_attempt(
        &mut self,
        id: RequestId,
        number: u16,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(attempt) = &request.attempt else { return };
        if attempt.number != number || attempt.streaming {
            return;
        }
        let was_unsent = transport.cancel(id, attempt);
        let outcome = if was_unsent { AttemptOutcome::NotSent } else { AttemptOutcome::Cancelled };
        counter!("tideroute_attempts_cancelled_total").increment(1);
        self.finished_attempts.push(FinishedAttempt { id, number, outcome });
        self.scheduling_needed = true;
    }

    /// Releases the reservations and the KV state of a request.
    pub(super) fn release(&mut self, id: RequestId, transport: &mut impl Transport<Context = Context>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        self.closing.push(id);
        let reservations = std::mem::take(&mut request.reservations);
        let state_holder = request.state_holder.take();
        transport.release(id, request, &reservations, state_holder);
    }
}

/// Returns the time at which the scheduler is woken. The delay is counted from the start of the current tenth of a
/// millisecond, in which the scheduler takes the event to lie, so that it is never woken before its time.
fn wake_time(now: Micros, delay: TenthMillis) -> Micros {
    now / MICROS_PER_TENTH_MILLI * MICROS_PER_TENTH_MILLI + to_micros(delay)
}
