//! Carries out the module's decisions.

use metrics::counter;
use tideroute::interface::{Decision, Ending, Role, SubmissionId, WorkerId};
use tideroute_wire::link::Outbox;
use tideroute_wire::{list, say_hello, worker, Micros, Party};

use crate::host::{shown, Answer, Host, Timer, TENTH};
use crate::submissions::Shot;

impl Host {
    pub(crate) fn carry_out(&mut self, now: Micros, decision: Decision, out: &mut Outbox) {
        tracing::trace!(?decision, "decided");
        match decision {
            Decision::Send { id, worker, .. } => self.send(now, id, worker, out),
            Decision::Hold { id, worker } => self.hold(id, worker, out),
            Decision::LetGo { id } => self.let_go(id, out),
            Decision::Withdraw { id, shot } => {
                let Some(s) = self.submissions.get(id).filter(|s| s.shot_is(shot) && !s.streams()) else {
                    return;
                };
                let at = s.shot.as_ref().map(|s| s.worker);
                if let Some(at) = at {
                    self.lines.send_if_there(at, worker::withdraw(id, shot), out);
                }
                counter!("tideroute_withdrawn_total").increment(1);
                self.settled.push((id, shot, Ending::Withdrawn));
                self.stirred = true;
            }
            Decision::TurnBack { id, after } => {
                self.answer(now, id, Answer::TurnedBack(after.max(0) as Micros * TENTH), out);
            }
            Decision::Abandon { id } => self.answer(now, id, Answer::Abandoned, out),
            Decision::Probe { worker } => self.probe(now, worker, out),
            Decision::Subscribe => self.subscribe(out),
            Decision::Wake { after } => {
                // The module counts in tenths: a fraction of one more, or it would be woken before its time.
                let at = (now / TENTH + after.max(0) as Micros) * TENTH;
                out.ring(at, Self::key(Timer::Wake));
            }
        }
    }

    fn send(&mut self, now: Micros, id: SubmissionId, to: WorkerId, out: &mut Outbox) {
        let Some(&(_, role)) = self.listed.get(&to) else { return };
        let Some(s) = self.submissions.get_mut(id) else { return };
        let (number, reading, left) = (s.shots, role == Role::Reader, s.cut_off.saturating_sub(now));
        s.shots += 1;
        s.shot = Some(Shot { number, worker: to, reading, started: false, tokens: 0, owed: 0 });
        let frame = if reading {
            worker::read(
                id,
                number,
                s.track,
                s.session,
                s.prefix,
                s.prompt_tokens,
                s.prefix_tokens,
                left,
                s.prompt.clone(),
            )
        } else {
            // The state goes to one writer: other places end with this send.
            for place in std::mem::take(&mut s.places) {
                self.lines.at(place).places.remove(&id);
                if place != to {
                    self.lines.send_if_there(place, worker::let_go(id), out);
                }
            }
            worker::write(
                id,
                number,
                s.track,
                s.prompt_tokens,
                s.most_tokens,
                left,
                s.mark,
                s.state,
                self.terms.window,
                s.session,
                s.prefix,
                s.prefix_tokens,
                s.prompt.clone(),
            )
        };
        tracing::debug!(id, shot = number, worker = %shown(to), reading, "sends");
        counter!("tideroute_shots_total", "stage" => if reading { "read" } else { "write" }).increment(1);
        self.lines.at(to).shots.insert(id);
        self.lines.send(to, &self.terms.name, self.terms.unheard, frame, out);
    }

    fn hold(&mut self, id: SubmissionId, at: WorkerId, out: &mut Outbox) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        let Some(reader) = s.shot.as_ref().filter(|s| s.reading).map(|s| s.worker) else { return };
        // A new place takes the place of one before.
        for place in std::mem::replace(&mut s.places, vec![at]) {
            self.lines.at(place).places.remove(&id);
            self.lines.send_if_there(place, worker::let_go(id), out);
        }
        let frame = worker::hold(id, s.prompt_tokens, s.most_tokens, reader);
        self.lines.at(at).places.insert(id);
        counter!("tideroute_places_total").increment(1);
        self.lines.send(at, &self.terms.name, self.terms.unheard, frame, out);
    }

    pub(crate) fn let_go(&mut self, id: SubmissionId, out: &mut Outbox) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        self.closing.push(id);
        for place in std::mem::take(&mut s.places) {
            self.lines.at(place).places.remove(&id);
            self.lines.send_if_there(place, worker::let_go(id), out);
        }
        if let Some(reader) = s.state.take() {
            self.lines.send_if_there(reader, worker::let_go(id), out);
        }
    }

    fn probe(&mut self, now: Micros, to: WorkerId, out: &mut Outbox) {
        self.nonce += 1;
        let nonce = self.nonce;
        self.probes.insert(nonce, to);
        self.lines.at(to).probe = Some(nonce);
        counter!("tideroute_probes_total").increment(1);
        self.lines.send(to, &self.terms.name, self.terms.unheard, worker::probe(nonce), out);
        out.ring(now + self.terms.unheard, Self::key(Timer::Probe(nonce)));
    }

    fn subscribe(&mut self, out: &mut Outbox) {
        let link = *self.list_link.get_or_insert_with(|| {
            let link = out.dial(self.terms.list, self.terms.unheard);
            out.send(link, say_hello(Party::Router, &self.terms.name));
            link
        });
        out.send(link, list::watch(self.version));
    }

    /// Tells the worker of a stream that its client has taken tokens, once `least` of them are owed.
    pub(crate) fn pay(&mut self, id: SubmissionId, least: u32, out: &mut Outbox) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        let crowded = self.clients.get_mut(s.client).is_none_or(|c| c.crowded);
        let Some(shot) = s.shot.as_mut().filter(|s| s.started && s.owed >= least.max(1)) else { return };
        if !crowded {
            let tokens = std::mem::take(&mut shot.owed);
            self.lines.send_if_there(shot.worker, worker::more(id, shot.number, tokens), out);
        }
    }
}
