//! The books' words on protobuf links.

use tideroute::types::{AttemptOutcome, RequestId, WorkerId};
use tideroute_invariants::{AttemptPermit, ReservationPermit, ResponsePermit};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{client, endpoint_list, say_router, worker, Micros};

use crate::clients::Clients;
use crate::config::RouterConfig;
use crate::host::key;
use crate::lines::Lines;
use crate::request_table::{Attempt, RequestState};
use crate::transport::{Response, Timer, Transport};

/// What the protocol keeps of a submission, as the client handed it over.
pub struct Said {
    pub client: ConnectionId,
    /// The client's own number for it.
    pub number: u64,
    pub prefix_tokens: u32,
    pub most_tokens: u32,
    pub mark: u64,
    pub prompt: bytes::Bytes,
}

pub(crate) struct Wires<'a> {
    pub config: &'a RouterConfig,
    pub clients: &'a mut Clients,
    pub lines: &'a mut Lines,
    pub list_link: &'a mut Option<ConnectionId>,
    pub effects: &'a mut Effects,
}

impl Wires<'_> {
    fn send(&mut self, to: WorkerId, frame: bytes::Bytes) {
        let config = self.config;
        let hello = || say_router(&config.lifecycle.name, config.origin);
        self.lines.send(to, hello, config.lifecycle.connect_timeout, frame, self.effects);
    }
}

impl Transport for Wires<'_> {
    type Context = Said;

    fn dispatch(
        &mut self,
        id: RequestId,
        s: &RequestState<Said>,
        attempt: &Attempt,
        left: Micros,
        _permit: AttemptPermit,
    ) {
        let (said, number) = (&s.context, attempt.number);
        let frame = if attempt.is_prefill {
            worker::prefill(
                id,
                number,
                s.class,
                s.session,
                s.prefix,
                s.prompt_tokens,
                said.prefix_tokens,
                left,
                said.prompt.clone(),
            )
        } else {
            worker::decode(
                id,
                number,
                s.class,
                s.prompt_tokens,
                said.most_tokens,
                left,
                said.mark,
                s.state_holder,
                self.config.stream_window_tokens,
                s.session,
                s.prefix,
                said.prefix_tokens,
                said.prompt.clone(),
            )
        };
        self.lines.at(attempt.worker).attempts.insert(id);
        self.send(attempt.worker, frame);
    }

    fn reserve(
        &mut self,
        id: RequestId,
        s: &RequestState<Said>,
        at: WorkerId,
        reader: WorkerId,
        _permit: ReservationPermit,
    ) {
        let frame = worker::reserve(id, s.prompt_tokens, s.context.most_tokens, reader);
        self.lines.at(at).places.insert(id);
        self.send(at, frame);
    }

    fn cancel_reservation(&mut self, id: RequestId, at: WorkerId, tell: bool) {
        self.lines.at(at).places.remove(&id);
        if tell {
            self.lines.send_if_there(at, worker::release(id), self.effects);
        }
    }

    fn release(
        &mut self,
        id: RequestId,
        _s: &RequestState<Said>,
        places: &[WorkerId],
        state: Option<WorkerId>,
    ) {
        places.iter().for_each(|&place| self.cancel_reservation(id, place, true));
        if let Some(reader) = state {
            self.lines.send_if_there(reader, worker::release(id), self.effects);
        }
    }

    /// A frame that was handed to a link may have left at once.
    fn cancel(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        self.lines.send_if_there(attempt.worker, worker::cancel(id, attempt.number), self.effects);
        false
    }

    fn attempt_finished(
        &mut self,
        id: RequestId,
        _s: &RequestState<Said>,
        attempt: &Attempt,
        _outcome: AttemptOutcome,
    ) {
        self.lines.at(attempt.worker).attempts.remove(&id);
    }

    fn respond(&mut self, _id: RequestId, s: &RequestState<Said>, answer: Response, _permit: ResponsePermit) {
        let number = s.context.number;
        let frame = match answer {
            Response::Completed(tokens) => client::completed(number, tokens),
            Response::Rejected(after) => client::rejected(number, after),
            Response::Failed => client::failed(number),
        };
        self.effects.send(s.context.client, frame);
        if let Some(client) = self.clients.get_mut(s.context.client) {
            client.open.remove(&number);
        }
    }

    fn check_health(&mut self, nonce: u64, at: WorkerId) {
        self.lines.at(at).probe = Some(nonce);
        self.send(at, worker::check_health(nonce));
    }

    fn health_check_finished(&mut self, at: WorkerId) {
        self.lines.at(at).probe = None;
    }

    fn watch_endpoints(&mut self, version: u64) {
        let connection = *self.list_link.get_or_insert_with(|| {
            let connection =
                self.effects.connect(self.config.discovery, self.config.lifecycle.connect_timeout);
            self.effects.send(connection, say_router(&self.config.lifecycle.name, self.config.origin));
            connection
        });
        self.effects.send(connection, endpoint_list::watch(version));
    }

    fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.effects.set_timer(at, key(crate::host::Ring::RequestLifecycle(timer)));
    }
}
