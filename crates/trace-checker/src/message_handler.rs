//! Decodes captured frames and passes their messages to the rules.

use bytes::Bytes;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::endpoint_list::EndpointStatus;
use tideroute_wire::worker::AttemptFailure;
use tideroute_wire::{client, endpoint_list, worker, Address, Malformed, Micros};

use crate::connections::{Conversation, Purpose};
use crate::event_context::EventContext;
use crate::response::Response;
use crate::router_request::NewAttempt;
use crate::rules::Rules;

/// Decodes one frame. Messages between a client and a router are checked as captured at both ends, all others only as
/// captured by the router, except that the start time of a worker is taken from its registration with discovery.
pub fn handle_frame(
    context: &mut EventContext,
    conversation: Conversation,
    rules: &mut Rules,
) -> Result<(), Malformed> {
    if conversation.is_hello {
        return Ok(());
    }
    let captured = context.captured;
    let is_dialler = conversation.is_dialler;
    // The dialler is the sender of the frames that it sent itself, and of those that the acceptor received.
    let from_dialler = (captured.event == CaptureEvent::Sent) == is_dialler;
    let frame = &captured.frame;
    let mut handler = MessageHandler { context, conversation, rules };
    match (conversation.purpose, from_dialler) {
        (Purpose::ClientToRouter, true) => client::receive_from_client(frame, &mut handler),
        (Purpose::ClientToRouter, false) => client::receive_from_router(frame, &mut handler),
        (Purpose::RouterToWorker, true) if is_dialler => worker::receive_from_router(frame, &mut handler),
        (Purpose::RouterToWorker, false) if is_dialler => worker::receive_from_worker(frame, &mut handler),
        (Purpose::RouterToDiscovery, false) if is_dialler => {
            endpoint_list::receive_from_list(frame, &mut handler)
        }
        (Purpose::WorkerToDiscovery, true) if is_dialler => {
            endpoint_list::receive_from_caller(frame, &mut handler)
        }
        _ => Ok(()),
    }
}

struct MessageHandler<'a, 'e> {
    context: &'a mut EventContext<'e>,
    conversation: Conversation,
    rules: &'a mut Rules,
}

impl MessageHandler<'_, '_> {
    /// Returns whether the frame was captured by the client and not by the router. Valid for client connections only.
    fn is_at_client(&self) -> bool {
        self.conversation.is_dialler
    }

    fn worker(&self) -> Address {
        self.conversation.dialled_address
    }

    fn response(&mut self, number: u64, response: Response) -> Result<(), Malformed> {
        if self.is_at_client() {
            self.rules.clients.response_received(self.context, number, response);
        } else {
            self.rules.routers.response_sent(self.context, number, response);
        }
        Ok(())
    }
}

impl client::Router for MessageHandler<'_, '_> {
    fn submit(
        &mut self,
        number: u64,
        class: u8,
        _session: u64,
        _prefix: u64,
        _prompt_tokens: u32,
        _prefix_tokens: u32,
        _max_tokens: u32,
        timeout: Micros,
        _idempotency_key: u64,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        if self.is_at_client() {
            self.rules.clients.request_sent(self.context, number, timeout);
        } else {
            self.rules.routers.request_received(self.context, number, class, timeout);
        }
        Ok(())
    }

    fn cancel(&mut self, number: u64) -> Result<(), Malformed> {
        if self.is_at_client() {
            self.rules.clients.cancel_sent(self.context, number);
        } else {
            self.rules.routers.cancel_received(self.context, number);
        }
        Ok(())
    }
}

impl client::Client for MessageHandler<'_, '_> {
    fn accepted(&mut self, number: u64, id: u64) -> Result<(), Malformed> {
        if self.is_at_client() {
            self.rules.clients.admission_received(self.context, number);
        } else {
            self.rules.routers.admitted(self.context, number, id);
        }
        Ok(())
    }

    fn token(&mut self, number: u64, index: u32, _text: Bytes) -> Result<(), Malformed> {
        if self.is_at_client() {
            self.rules.clients.token_received(self.context, number, index);
        } else {
            self.rules.routers.token_sent(self.context, number);
        }
        Ok(())
    }

    fn completed(&mut self, number: u64, tokens: u32) -> Result<(), Malformed> {
        self.response(number, Response::Completed { tokens })
    }

    fn rejected(&mut self, number: u64, _retry_after: Micros) -> Result<(), Malformed> {
        self.response(number, Response::Rejected)
    }

    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        self.response(number, Response::Failed)
    }

    fn unauthorized(&mut self, _reason: &str) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Worker for MessageHandler<'_, '_> {
    fn prefill(
        &mut self,
        id: u64,
        attempt: u16,
        _class: u8,
        _session: u64,
        _prefix: u64,
        prompt_tokens: u32,
        _prefix_tokens: u32,
        _timeout: Micros,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        let tokens = f64::from(prompt_tokens);
        let attempt = NewAttempt { number: attempt, worker: self.worker(), is_prefill: true, tokens };
        self.rules.attempt_sent(self.context, id, attempt);
        Ok(())
    }

    fn reserve(
        &mut self,
        id: u64,
        _prompt_tokens: u32,
        _max_tokens: u32,
        _prefill_worker: Address,
    ) -> Result<(), Malformed> {
        let worker = self.worker();
        self.rules.reservation_requested(self.context, id, worker);
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        attempt: u16,
        _class: u8,
        _prompt_tokens: u32,
        max_tokens: u32,
        _timeout: Micros,
        _idempotency_key: u64,
        _prefill_worker: Option<Address>,
        _window: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        let tokens = f64::from(max_tokens);
        let attempt = NewAttempt { number: attempt, worker: self.worker(), is_prefill: false, tokens };
        self.rules.attempt_sent(self.context, id, attempt);
        Ok(())
    }

    fn release(&mut self, id: u64) -> Result<(), Malformed> {
        let worker = self.worker();
        self.rules.routers.state_released(self.context, id, worker);
        Ok(())
    }

    fn cancel(&mut self, id: u64, attempt: u16) -> Result<(), Malformed> {
        self.rules.routers.attempt_cancelled(self.context, id, attempt);
        Ok(())
    }

    fn check_health(&mut self, nonce: u64) -> Result<(), Malformed> {
        self.rules.routers.health_check_sent(self.context, nonce);
        Ok(())
    }

    fn grant_tokens(&mut self, _id: u64, _attempt: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Router for MessageHandler<'_, '_> {
    fn reservation_answered(&mut self, id: u64, is_reserved: bool) -> Result<(), Malformed> {
        let worker = self.worker();
        self.rules.routers.reservation_answered(self.context, id, worker, is_reserved);
        Ok(())
    }

    fn prefill_completed(
        &mut self,
        id: u64,
        attempt: u16,
        _cached_tokens: u32,
        _state_bytes: u64,
    ) -> Result<(), Malformed> {
        let worker = self.worker();
        self.rules.routers.prefill_completed(self.context, id, attempt, worker);
        Ok(())
    }

    fn token(&mut self, id: u64, attempt: u16, index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.rules.routers.token_received(self.context, id, attempt, index);
        Ok(())
    }

    fn completed(&mut self, id: u64, attempt: u16, _tokens: u32) -> Result<(), Malformed> {
        self.rules.routers.attempt_ended(self.context, id, attempt, false);
        Ok(())
    }

    fn attempt_ended(&mut self, id: u64, attempt: u16, failure: AttemptFailure) -> Result<(), Malformed> {
        let never_ran = failure != AttemptFailure::ServerError;
        self.rules.routers.attempt_ended(self.context, id, attempt, never_ran);
        Ok(())
    }

    fn health_reported(
        &mut self,
        nonce: u64,
        _prefills: u32,
        _streams: u32,
        _waiting: u32,
    ) -> Result<(), Malformed> {
        self.rules.routers.health_check_answered(self.context, nonce);
        Ok(())
    }
}

impl endpoint_list::Router for MessageHandler<'_, '_> {
    fn begin_update(&mut self, version: u64, is_snapshot: bool) -> Result<(), Malformed> {
        self.rules.drain.update_begun(self.context, version, is_snapshot);
        Ok(())
    }

    fn endpoint(
        &mut self,
        worker: Address,
        _kind: u16,
        _size: f64,
        status: EndpointStatus,
        _cell: u16,
        _zone: u8,
        started: Micros,
    ) -> Result<(), Malformed> {
        self.rules.drain.endpoint_notified(self.context, worker, status, started);
        Ok(())
    }
}

impl endpoint_list::List for MessageHandler<'_, '_> {
    fn watch(&mut self, _have: u64) -> Result<(), Malformed> {
        Err(Malformed::Order("Watch from a worker"))
    }

    fn register(
        &mut self,
        worker: Address,
        _kind: u16,
        _size: f64,
        _status: EndpointStatus,
        _cell: u16,
        _zone: u8,
        started: Micros,
    ) -> Result<(), Malformed> {
        self.rules.slow_start.worker_registered(worker, started);
        Ok(())
    }
}
