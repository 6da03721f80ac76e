//! Carries out the module's decisions.

use metrics::counter;
use tideroute::types::{Action, AttemptOutcome, RequestId, Role, WorkerId};
use tideroute_wire::Micros;

use crate::books::{shown, tenths, RequestLifecycle, TENTH};
use crate::submissions::Attempt;
use crate::ways::{Response, Timer, Transport};

impl<A> RequestLifecycle<A> {
    pub(crate) fn carry_out(&mut self, now: Micros, decision: Action, ways: &mut impl Transport<Asked = A>) {
        tracing::trace!(?decision, "decided");
        match decision {
            Action::Dispatch { id, worker, .. } => self.send(now, id, worker, ways),
            Action::ReserveDecode { id, worker } => self.hold(now, id, worker, ways),
            Action::Release { id } => self.let_go(id, ways),
            Action::CancelAttempt { id, shot } => {
                let Some(s) = self.submissions.get(id).filter(|s| s.shot_is(shot) && !s.streams()) else {
                    return;
                };
                let Some(out) = &s.shot else { return };
                let ending =
                    if ways.withdraw(id, out) { AttemptOutcome::NotSent } else { AttemptOutcome::Cancelled };
                counter!("tideroute_withdrawn_total").increment(1);
                self.settled.push((id, shot, ending));
                self.stirred = true;
            }
            Action::Reject { id, after } => {
                self.answer(now, id, Response::Rejected(after.max(0) as Micros * TENTH), ways);
            }
            Action::Fail { id } => self.answer(now, id, Response::Failed, ways),
            Action::CheckHealth { worker } => {
                self.nonce += 1;
                self.probes.insert(self.nonce, worker);
                counter!("tideroute_probes_total").increment(1);
                ways.probe(self.nonce, worker);
                ways.ring(now + self.terms.unheard, Timer::Probe(self.nonce));
            }
            Action::WatchEndpoints => ways.subscribe(self.version()),
            Action::SetTimer { after } => {
                // The module counts in tenths: a fraction of one more, or it would be woken before its time.
                let at = (now / TENTH + after.max(0) as Micros) * TENTH;
                ways.ring(at, Timer::Wake);
            }
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, to: WorkerId, ways: &mut impl Transport<Asked = A>) {
        let Some(&(listing, role)) = self.listed.get(&to) else { return };
        let Some(s) = self.submissions.get_mut(id) else { return };
        let permit = s.record.permit_attempt(tenths(now), s.shots, Some(&listing), role != Role::Prefill);
        let permit = match permit {
            Ok(permit) => permit,
            Err(violation) => {
                let number = s.shots;
                s.shots += 1;
                // The module is told that it never left; one that is out all the same goes on.
                if s.shot.is_none() {
                    s.shot = Some(Attempt::new(number, to, role == Role::Prefill));
                }
                self.settled.push((id, number, AttemptOutcome::NotSent));
                return self.refuse_step(id, violation);
            }
        };
        let (number, reading, left) = (s.shots, role == Role::Prefill, s.cut_off.saturating_sub(now));
        s.shots += 1;
        if !reading {
            // The state goes to one writer: other places end with this send.
            for place in std::mem::take(&mut s.places) {
                ways.unplace(id, place, place != to);
            }
        }
        tracing::debug!(id, shot = number, worker = %shown(to), reading, "sends");
        counter!("tideroute_shots_total", "stage" => if reading { "read" } else { "write" }).increment(1);
        let shot = Attempt::new(number, to, reading);
        ways.shoot(id, s, &shot, left, permit);
        s.shot = Some(shot);
    }

    fn hold(&mut self, now: Micros, id: RequestId, at: WorkerId, ways: &mut impl Transport<Asked = A>) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        let Some(reader) = s.shot.as_ref().filter(|s| s.reading).map(|s| s.worker) else { return };
        let permit =
            match s.record.permit_place(tenths(now), self.listed.get(&at).map(|(listing, _)| listing)) {
                Ok(permit) => permit,
                Err(violation) => return self.refuse_step(id, violation),
            };
        // A new place takes the place of one before.
        for place in std::mem::replace(&mut s.places, vec![at]) {
            ways.unplace(id, place, true);
        }
        counter!("tideroute_places_total").increment(1);
        ways.hold(id, s, at, reader, permit);
    }

    pub(crate) fn let_go(&mut self, id: RequestId, ways: &mut impl Transport<Asked = A>) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        self.closing.push(id);
        let (places, state) = (std::mem::take(&mut s.places), s.state.take());
        ways.let_go(id, s, &places, state);
    }
}
