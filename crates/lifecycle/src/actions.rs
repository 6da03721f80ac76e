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
        transport: &mut impl Transport<Asked = A>,
    ) {
        tracing::trace!(?decision, "decided");
        match decision {
            Action::Dispatch { id, worker, .. } => self.send(now, id, worker, transport),
            Action::ReserveDecode { id, worker } => self.hold(now, id, worker, transport),
            Action::Release { id } => self.let_go(id, transport),
            Action::CancelAttempt { id, attempt } => {
                let Some(s) = self.requests.get(id).filter(|s| s.attempt_is(attempt) && !s.streams()) else {
                    return;
                };
                let Some(out) = &s.attempt else { return };
                let outcome = if transport.withdraw(id, out) {
                    AttemptOutcome::NotSent
                } else {
                    AttemptOutcome::Cancelled
                };
                counter!("tideroute_withdrawn_total").increment(1);
                self.settled.push((id, attempt, outcome));
                self.stirred = true;
            }
            Action::Reject { id, retry_after: after } => {
                self.answer(
                    now,
                    id,
                    Response::Rejected(after.max(0) as Micros * MICROS_PER_TENTH_MILLI),
                    transport,
                );
            }
            Action::Fail { id } => self.answer(now, id, Response::Failed, transport),
            Action::CheckHealth { worker } => {
                self.nonce += 1;
                self.probes.insert(self.nonce, worker);
                counter!("tideroute_probes_total").increment(1);
                transport.probe(self.nonce, worker);
                transport.ring(now + self.config.unheard, Timer::Probe(self.nonce));
            }
            Action::WatchEndpoints => transport.subscribe(self.version()),
            Action::SetTimer { delay: after } => {
                // The module counts in tenths: a fraction of one more, or it would be woken before its time.
                let at = (now / MICROS_PER_TENTH_MILLI + after.max(0) as Micros) * MICROS_PER_TENTH_MILLI;
                transport.ring(at, Timer::Wake);
            }
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, to: WorkerId, transport: &mut impl Transport<Asked = A>) {
        let Some(&(endpoint, role)) = self.listed.get(&to) else { return };
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
                self.settled.push((id, number, AttemptOutcome::NotSent));
                return self.refuse_step(id, violation);
            }
        };
        let (number, reading, left) = (s.attempts, role == Role::Prefill, s.deadline.saturating_sub(now));
        s.attempts += 1;
        if !reading {
            // The state goes to one writer: other places end with this send.
            for place in std::mem::take(&mut s.places) {
                transport.unplace(id, place, place != to);
            }
        }
        tracing::debug!(id, attempt = number, worker = %shown(to), reading, "sends");
        counter!("tideroute_shots_total", "stage" => if reading { "read" } else { "write" }).increment(1);
        let attempt = Attempt::new(number, to, reading);
        transport.shoot(id, s, &attempt, left, permit);
        s.attempt = Some(attempt);
    }

    fn hold(&mut self, now: Micros, id: RequestId, at: WorkerId, transport: &mut impl Transport<Asked = A>) {
        let Some(s) = self.requests.get_mut(id) else { return };
        let Some(reader) = s.attempt.as_ref().filter(|s| s.reading).map(|s| s.worker) else { return };
        let permit = match s
            .record
            .permit_place(to_tenth_millis(now), self.listed.get(&at).map(|(endpoint, _)| endpoint))
        {
            Ok(permit) => permit,
            Err(violation) => return self.refuse_step(id, violation),
        };
        // A new place takes the place of one before.
        for place in std::mem::replace(&mut s.places, vec![at]) {
            transport.unplace(id, place, true);
        }
        counter!("tideroute_places_total").increment(1);
        transport.hold(id, s, at, reader, permit);
    }

    pub(crate) fn let_go(&mut self, id: RequestId, transport: &mut impl Transport<Asked = A>) {
        let Some(s) = self.requests.get_mut(id) else { return };
        self.closing.push(id);
        let (places, state) = (std::mem::take(&mut s.places), s.state.take());
        transport.let_go(id, s, &places, state);
    }
}
