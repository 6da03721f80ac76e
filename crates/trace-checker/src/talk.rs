//! Frames as calls on the books, from either side of a connection.

use bytes::Bytes;
use tideroute_wire::capture::{CaptureEvent, CapturedFrame};
use tideroute_wire::endpoint_list::EndpointStatus;
use tideroute_wire::worker::AttemptFailure;
use tideroute_wire::{client, endpoint_list, worker, Address, Malformed, Micros};

use crate::links::{Between, Talk};
use crate::shots::Shots;
use crate::Report;

/// Reads one frame and books what it says. What a router and a client said to each other is booked on both
/// sides, the rest where the router saw it; a worker's own start is what it told the list.
pub fn hear(
    passed: &CapturedFrame,
    talk: Talk,
    shots: &mut Shots,
    report: &mut Report,
) -> Result<(), Malformed> {
    if talk.hello {
        return Ok(());
    }
    let sent = passed.event == CaptureEvent::Sent;
    // The dialler speaks in what it sent, and in what the acceptor heard.
    let from_dialler = sent == talk.dialled;
    let mut ear = Ear { passed, talk, shots, report };
    match (talk.between, from_dialler) {
        (Between::ClientRouter, true) => client::receive_from_client(&passed.frame, &mut ear),
        (Between::ClientRouter, false) => client::receive_from_router(&passed.frame, &mut ear),
        (Between::RouterWorker, true) if talk.dialled => worker::receive_from_router(&passed.frame, &mut ear),
        (Between::RouterWorker, false) if talk.dialled => {
            worker::receive_from_worker(&passed.frame, &mut ear)
        }
        (Between::RouterList, false) if talk.dialled => {
            endpoint_list::receive_from_list(&passed.frame, &mut ear)
        }
        (Between::WorkerList, true) if talk.dialled => {
            endpoint_list::receive_from_caller(&passed.frame, &mut ear)
        }
        _ => Ok(()),
    }
}

struct Ear<'a> {
    passed: &'a CapturedFrame,
    talk: Talk,
    shots: &'a mut Shots,
    report: &'a mut Report,
}

impl Ear<'_> {
    /// The frame was recorded by the client, not by the router.
    fn at_client(&self) -> bool {
        self.talk.dialled
    }
}

impl client::Router for Ear<'_> {
    fn submit(
        &mut self,
        number: u64,
        track: u8,
        _session: u64,
        _prefix: u64,
        _prompt_tokens: u32,
        _prefix_tokens: u32,
        _most_tokens: u32,
        left: Micros,
        _mark: u64,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        if self.at_client() {
            self.shots.client_submits(self.passed, number, left, self.report);
        } else {
            self.shots.router_is_asked(self.passed, number, track, left, self.report);
        }
        Ok(())
    }

    fn cancel(&mut self, number: u64) -> Result<(), Malformed> {
        if self.at_client() {
            self.shots.client_leaves(self.passed, number, self.report);
        } else {
            self.shots.router_is_left(self.passed, number);
        }
        Ok(())
    }
}

impl client::Client for Ear<'_> {
    fn accepted(&mut self, number: u64, id: u64) -> Result<(), Malformed> {
        if self.at_client() {
            self.shots.client_taken(self.passed, number, self.report);
        } else {
            self.shots.router_takes(self.passed, number, id, self.report);
        }
        Ok(())
    }

    fn token(&mut self, number: u64, index: u32, _text: Bytes) -> Result<(), Malformed> {
        if self.at_client() {
            self.shots.client_token(self.passed, number, index, self.report);
        } else {
            self.shots.router_relays(self.passed, number, self.report);
        }
        Ok(())
    }

    fn completed(&mut self, number: u64, tokens: u32) -> Result<(), Malformed> {
        self.answer(number, Answer::Honoured(tokens))
    }

    fn rejected(&mut self, number: u64, _after: Micros) -> Result<(), Malformed> {
        self.answer(number, Answer::TurnedBack)
    }

    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        self.answer(number, Answer::Abandoned)
    }

    fn unauthorized(&mut self, _why: &str) -> Result<(), Malformed> {
        Ok(())
    }
}

impl Ear<'_> {
    fn answer(&mut self, number: u64, answer: Answer) -> Result<(), Malformed> {
        if self.at_client() {
            self.shots.client_answered(self.passed, number, answer, self.report);
        } else {
            self.shots.router_answers(self.passed, number, answer, self.report);
        }
        Ok(())
    }
}

/// A final answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Answer {
    Honoured(u32),
    TurnedBack,
    Abandoned,
}

impl worker::Worker for Ear<'_> {
    fn prefill(
        &mut self,
        id: u64,
        shot: u16,
        _track: u8,
        _session: u64,
        _prefix: u64,
        prompt_tokens: u32,
        _prefix_tokens: u32,
        _left: Micros,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        let to = self.talk.to;
        self.shots.sends(self.passed, id, shot, to, true, f64::from(prompt_tokens), self.report);
        Ok(())
    }

    fn reserve(
        &mut self,
        id: u64,
        _prompt_tokens: u32,
        _most_tokens: u32,
        _reader: Address,
    ) -> Result<(), Malformed> {
        self.shots.holds(self.passed, id, self.talk.to, self.report);
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        shot: u16,
        _track: u8,
        _prompt_tokens: u32,
        most_tokens: u32,
        _left: Micros,
        _mark: u64,
        _reader: Option<Address>,
        _window: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        let to = self.talk.to;
        self.shots.sends(self.passed, id, shot, to, false, f64::from(most_tokens), self.report);
        Ok(())
    }

    fn release(&mut self, id: u64) -> Result<(), Malformed> {
        self.shots.lets_go(self.passed, id, self.talk.to, self.report);
        Ok(())
    }

    fn cancel(&mut self, id: u64, shot: u16) -> Result<(), Malformed> {
        self.shots.withdraws(self.passed, id, shot, self.report);
        Ok(())
    }

    fn check_health(&mut self, nonce: u64) -> Result<(), Malformed> {
        self.shots.probes(self.passed, nonce);
        Ok(())
    }

    fn grant_tokens(&mut self, _id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Router for Ear<'_> {
    fn reservation_answered(&mut self, id: u64, held: bool) -> Result<(), Malformed> {
        self.shots.hold_answered(self.passed, id, self.talk.to, held, self.report);
        Ok(())
    }

    fn prefill_completed(&mut self, id: u64, shot: u16, _kept: u32, _bytes: u64) -> Result<(), Malformed> {
        self.shots.read_done(self.passed, id, shot, self.talk.to, self.report);
        Ok(())
    }

    fn token(&mut self, id: u64, shot: u16, index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.shots.streams(self.passed, id, shot, index, self.report);
        Ok(())
    }

    fn completed(&mut self, id: u64, shot: u16, _tokens: u32) -> Result<(), Malformed> {
        self.shots.ended(self.passed, id, shot, false, self.report);
        Ok(())
    }

    fn attempt_ended(&mut self, id: u64, shot: u16, how: AttemptFailure) -> Result<(), Malformed> {
        self.shots.ended(self.passed, id, shot, how != AttemptFailure::ServerError, self.report);
        Ok(())
    }

    fn health_reported(
        &mut self,
        nonce: u64,
        _reads: u32,
        _streams: u32,
        _waiting: u32,
    ) -> Result<(), Malformed> {
        self.shots.probe_answered(self.passed, nonce, self.report);
        Ok(())
    }
}

impl endpoint_list::Router for Ear<'_> {
    fn begin_update(&mut self, version: u64, whole: bool) -> Result<(), Malformed> {
        self.shots.cold.page(self.passed, version, whole);
        Ok(())
    }

    fn endpoint(
        &mut self,
        worker: Address,
        _kind: u16,
        _size: f64,
        standing: EndpointStatus,
        _cell: u16,
        _zone: u8,
        started: Micros,
    ) -> Result<(), Malformed> {
        self.shots.cold.entry(self.passed, worker, standing, started);
        Ok(())
    }
}

impl endpoint_list::List for Ear<'_> {
    fn watch(&mut self, _have: u64) -> Result<(), Malformed> {
        Err(Malformed::Order("Watch from a worker"))
    }

    fn register(
        &mut self,
        worker: Address,
        _kind: u16,
        _size: f64,
        _standing: EndpointStatus,
        _cell: u16,
        _zone: u8,
        started: Micros,
    ) -> Result<(), Malformed> {
        self.shots.cold.here(worker, started);
        Ok(())
    }
}
