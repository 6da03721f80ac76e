//! Carries out the module's decisions.

use metrics::counter;
use tideroute::types::{Action, AttemptOutcome, RequestId, Role, WorkerId};
use tideroute_wire::Micros;

use crate::lifecycle::{shown, to_tenth_millis, RequestLifecycle, MICROS_PER_TENTH_MILLI};
use crate::request_table::Attempt;
use crate::transport::{Response, Timer, Transport};

impl<A> RequestLifecycle<A> {
    pub(crate) fn carry_out(
        &mut self,
        now: Micros,
        decision: Action,
        transport: &mut impl Transport<Context = A>,
    ) {
        tracing::trace!(?decision, "decided");
        match decision {
            Action::Dispatch { id, worker, .. } => self.send(now, id, worker, transport),
            Action::ReserveDecode { id, worker } => self.hold(now, id, worker, transport),
            Action::Release { id } => self.let_go(id, transport),
            Action::CancelAttempt { id, attempt } => {
                let Some(s) =
                    self.requests.get(id).filter(|s| s.is_current_attempt(attempt) && !s.is_streaming())
                else {
                    return;
                };
                let Some(out) = &s.attempt else { return };
                let outcome = if transport.cancel(id, out) {
                    AttemptOutcome::NotSent
                } else {
                    AttemptOutcome::Cancelled
                };
                counter!("tideroute_withdrawn_total").increment(1);
                self.finished_attempts.push((id, attempt, outcome));
                self.scheduling_needed = true;
            }
            Action::Reject { id, retry_after: after } => {
                self.respond(
                    now,
                    id,
                    Response::Rejected(after.max(0) as Micros * MICROS_PER_TENTH_MILLI),
                    transport,
                );
            }
            Action::Fail { id } => self.respond(now, id, Response::Failed, transport),
            Action::CheckHealth { worker } => {
                self.health_check_nonce += 1;
                self.health_checks.insert(self.health_check_nonce, worker);
                counter!("tideroute_probes_total").increment(1);
                transport.check_health(self.health_check_nonce, worker);
                transport.set_timer(
                    now + self.config.connect_timeout,
                    Timer::HealthCheck(self.health_check_nonce),
                );
            }
            Action::WatchEndpoints => transport.watch_endpoints(self.endpoint_list_version()),
            Action::SetTimer { delay: after } => {
                // The module counts in tenths: a fraction of one more, or it would be woken before its time.
                let at = (now / MICROS_PER_TENTH_MILLI + after.max(0) as Micros) * MICROS_PER_TENTH_MILLI;
                transport.set_timer(at, Timer::SchedulerWake);
            }
        }
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        to: WorkerId,
        transport: &mut impl Transport<Context = A>,
    ) {
        let Some(&(endpoint, role)) = self.endpoints.get(&to) else { return };
        let Some(s) = self.requests.get_mut(id) else { return };
        let permit =
            s.record.permit_attempt(to_tenth_millis(now), s.attempts, Some(&endpoint), role != Role::Prefill);
        let permit = match permit {
            Ok(permit) => permit,
            Err(violation) => {
                let number = s.attempts;
                s.attempts += 1;
                // The module is told that it never left; one that is out all the same goes on.
                if s.attempt.is_none() {
                    s.attempt = Some(Attempt::new(number, to, role == Role::Prefill));
                }
                self.finished_attempts.push((id, number, AttemptOutcome::NotSent));
                return self.report_violation(id, violation);
            }
        };
        let (number, reading, left) = (s.attempts, role == Role::Prefill, s.deadline.saturating_sub(now));
        s.attempts += 1;
        if !reading {
            // The state goes to one writer: other places end with this send.
            for place in std::mem::take(&mut s.reservations) {
                transport.cancel_reservation(id, place, place != to);
            }
        }
        tracing::debug!(id, attempt = number, worker = %shown(to), reading, "sends");
        counter!("tideroute_shots_total", "stage" => if reading { "read" } else { "write" }).increment(1);
        let attempt = Attempt::new(number, to, reading);
        transport.dispatch(id, s, &attempt, left, permit);
        s.attempt = Some(attempt);
    }

    fn hold(
        &mut self,
        now: Micros,
        id: RequestId,
        at: WorkerId,
        transport: &mut impl Transport<Context = A>,
    ) {
        let Some(s) = self.requests.get_mut(id) else { return };
        let Some(reader) = s.attempt.as_ref().filter(|s| s.is_prefill).map(|s| s.worker) else { return };
        let permit = match s
            .record
            .permit_reservation(to_tenth_millis(now), self.endpoints.get(&at).map(|(endpoint, _)| endpoint))
        {
            Ok(permit) => permit,
            Err(violation) => return self.report_violation(id, violation),
        };
        // A new place takes the place of one before.
        for place in std::mem::replace(&mut s.reservations, vec![at]) {
            transport.cancel_reservation(id, place, true);
        }
        counter!("tideroute_places_total").increment(1);
        transport.reserve(id, s, at, reader, permit);
    }

    pub(crate) fn let_go(&mut self, id: RequestId, transport: &mut impl Transport<Context = A>) {
        let Some(s) = self.requests.get_mut(id) else { return };
        self.closing.push(id);
        let (places, state) = (std::mem::take(&mut s.reservations), s.state_holder.take());
        transport.release(id, s, &places, state);
    }
}
