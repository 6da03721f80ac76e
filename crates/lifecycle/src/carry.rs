//! Carries out the module's decisions.

use metrics::counter;
use tideroute::interface::{Decision, Ending, Role, SubmissionId, WorkerId};
use tideroute_wire::Micros;

use crate::books::{shown, tenths, Books, TENTH};
use crate::submissions::Shot;
use crate::ways::{Answer, Timer, Ways};

impl<A> Books<A> {
    pub(crate) fn carry_out(&mut self, now: Micros, decision: Decision, ways: &mut impl Ways<Asked = A>) {
        tracing::trace!(?decision, "decided");
        match decision {
            Decision::Send { id, worker, .. } => self.send(now, id, worker, ways),
            Decision::Hold { id, worker } => self.hold(now, id, worker, ways),
            Decision::LetGo { id } => self.let_go(id, ways),
            Decision::Withdraw { id, shot } => {
                let Some(s) = self.submissions.get(id).filter(|s| s.shot_is(shot) && !s.streams()) else {
                    return;
                };
                let Some(out) = &s.shot else { return };
                let ending = if ways.withdraw(id, out) { Ending::NeverSent } else { Ending::Withdrawn };
                counter!("tideroute_withdrawn_total").increment(1);
                self.settled.push((id, shot, ending));
                self.stirred = true;
            }
            Decision::TurnBack { id, after } => {
                self.answer(now, id, Answer::TurnedBack(after.max(0) as Micros * TENTH), ways);
            }
            Decision::Abandon { id } => self.answer(now, id, Answer::Abandoned, ways),
            Decision::Probe { worker } => {
                self.nonce += 1;
                self.probes.insert(self.nonce, worker);
                counter!("tideroute_probes_total").increment(1);
                ways.probe(self.nonce, worker);
                ways.ring(now + self.terms.unheard, Timer::Probe(self.nonce));
            }
            Decision::Subscribe => ways.subscribe(self.version()),
            Decision::Wake { after } => {
                // The module counts in tenths: a fraction of one more, or it would be woken before its time.
                let at = (now / TENTH + after.max(0) as Micros) * TENTH;
                ways.ring(at, Timer::Wake);
            }
        }
    }

    fn send(&mut self, now: Micros, id: SubmissionId, to: WorkerId, ways: &mut impl Ways<Asked = A>) {
        let Some(&(listing, role)) = self.listed.get(&to) else { return };
        let Some(s) = self.submissions.get_mut(id) else { return };
        let permit = s.record.permit_attempt(tenths(now), s.shots, Some(&listing), role != Role::Reader);
        let permit = match permit {
            Ok(permit) => permit,
            Err(violation) => {
                let number = s.shots;
                s.shots += 1;
                // The module is told that it never left; one that is out all the same goes on.
                if s.shot.is_none() {
                    s.shot = Some(Shot::new(number, to, role == Role::Reader));
                }
                self.settled.push((id, number, Ending::NeverSent));
                return self.refuse_step(id, violation);
            }
        };
        let (number, reading, left) = (s.shots, role == Role::Reader, s.cut_off.saturating_sub(now));
        s.shots += 1;
        if !reading {
            // The state goes to one writer: other places end with this send.
            for place in std::mem::take(&mut s.places) {
                ways.unplace(id, place, place != to);
            }
        }
        tracing::debug!(id, shot = number, worker = %shown(to), reading, "sends");
        counter!("tideroute_shots_total", "stage" => if reading { "read" } else { "write" }).increment(1);
        let shot = Shot::new(number, to, reading);
        ways.shoot(id, s, &shot, left, permit);
        s.shot = Some(shot);
    }

    fn hold(&mut self, now: Micros, id: SubmissionId, at: WorkerId, ways: &mut impl Ways<Asked = A>) {
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

    pub(crate) fn let_go(&mut self, id: SubmissionId, ways: &mut impl Ways<Asked = A>) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        self.closing.push(id);
        let (places, state) = (std::mem::take(&mut s.places), s.state.take());
        ways.let_go(id, s, &places, state);
    }
}
