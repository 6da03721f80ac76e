//! The decode stage: decode reservations, fetching of KV state, and streams of tokens.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::worker::AttemptFailure;
use tideroute_wire::{state_transfer, worker, Address, GlobalRequestId};

use crate::config::WorkerRole;
use crate::kv_state;
use crate::timers::TimerKey;
use crate::work_context::WorkContext;

/// A router's request for a decode reservation.
pub struct ReservationRequest {
    pub id: GlobalRequestId,
    pub router: ConnectionId,
    pub max_tokens: u32,
    /// The prefill worker that computes the KV state.
    pub prefill_worker: Address,
}

/// A router's request for a decode.
pub struct DecodeRequest {
    pub id: GlobalRequestId,
    pub router: ConnectionId,
    pub attempt: u16,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// The prefill worker that has the KV state; `None` if this worker is to prefill the prompt itself.
    pub prefill_worker: Option<Address>,
    /// Maximum number of tokens sent that the client has not consumed yet.
    pub window: u32,
    pub prompt: Bytes,
}

/// The progress of the transfer of a stream's KV state.
enum StateProgress {
    NotRequested,
    /// The bytes received so far.
    Fetching(BytesMut),
    /// The checksum of the state, which determines the response.
    Complete(u32),
    /// The prefill worker has no such state, or the state was corrupted or lost during the transfer.
    Missing,
}

struct Stream {
    router: ConnectionId,
    /// The attempt that runs; `None` while the stream is only reserved.
    attempt: Option<u16>,
    serial: u64,
    prefill_worker: Option<Address>,
    max_tokens: u32,
    prompt_tokens: u32,
    /// The checksum of the KV state if this worker prefills the prompt itself, else `None`.
    local_state_crc: Option<u32>,
    is_queued: bool,
    state: StateProgress,
    tokens_sent: u32,
    /// Tokens sent that the client has not consumed yet.
    tokens_in_flight: u32,
    window: u32,
    /// Whether the stream waits because its window is full.
    is_paused: bool,
}

impl Stream {
    fn new(router: ConnectionId, serial: u64, max_tokens: u32, prefill_worker: Option<Address>) -> Stream {
        Stream {
            router,
            attempt: None,
            serial,
            prefill_worker,
            max_tokens,
            prompt_tokens: 0,
            local_state_crc: None,
            is_queued: false,
            state: StateProgress::NotRequested,
            tokens_sent: 0,
            tokens_in_flight: 0,
            window: 0,
            is_paused: false,
        }
    }

    fn is_fetching_from(&self, prefill_worker: Address) -> bool {
        self.prefill_worker == Some(prefill_worker) && matches!(self.state, StateProgress::Fetching(_))
    }
}

/// The streams and decode reservations of a worker.
#[derive(Default)]
pub struct DecodeStage {
    streams: BTreeMap<GlobalRequestId, Stream>,
    by_serial: BTreeMap<u64, GlobalRequestId>,
    queue: VecDeque<GlobalRequestId>,
}

impl DecodeStage {
    /// Returns whether there is no reservation and no running or queued stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the number of slots in use, including reserved ones.
    pub fn slots_in_use(&self) -> usize {
        self.streams.len() - self.queue.len()
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Handles a router's request for a reservation. It succeeds only if a slot is free now. The KV state is then
    /// fetched at once, while its prefill may still be running.
    pub fn reserve(&mut self, request: ReservationRequest, context: &mut WorkContext) {
        let ReservationRequest { id, router, max_tokens, prefill_worker } = request;
        let is_reserved = self.can_reserve(id, context);
        context.send(router, worker::reservation_answered(id.local_id, is_reserved));
        if is_reserved {
            let serial = context.state.next_serial();
            self.insert(id, Stream::new(router, serial, max_tokens, Some(prefill_worker)));
            self.fetch_state(id, context);
        }
    }

    fn can_reserve(&self, id: GlobalRequestId, context: &WorkContext) -> bool {
        let config = &context.state.config;
        let has_free_slot = self.slots_in_use() < config.decode_slots && self.queue.is_empty();
        has_free_slot
            && config.role != WorkerRole::Prefill
            && context.state.accepts_work()
            && !self.streams.contains_key(&id)
    }

    /// Handles a router's request for a decode: uses its reservation if there is one, else queues the stream or reports
    /// to the router why the attempt failed.
    pub fn handle_request(&mut self, request: &DecodeRequest, context: &mut WorkContext) {
        let DecodeRequest { id, router, attempt, .. } = *request;
        if context.state.fails_work || context.state.config.role == WorkerRole::Prefill {
            self.remove(id);
            return context.attempt_failed(router, id, attempt, AttemptFailure::ServerError);
        }
        if self.use_reservation(request) {
            return self.advance(id, context);
        }
        if let Some(failure) = self.rejection_cause(request, context) {
            return context.attempt_failed(router, id, attempt, failure);
        }
        let serial = context.state.next_serial();
        let mut stream = Stream::new(router, serial, request.max_tokens, request.prefill_worker);
        stream.attempt = Some(attempt);
        stream.prompt_tokens = request.prompt_tokens;
        stream.window = request.window.max(1);
        stream.is_queued = true;
        if request.prefill_worker.is_none() {
            let bytes_per_token = context.state.config.state_bytes_per_token;
            let state = kv_state::generate(&request.prompt, request.prompt_tokens, bytes_per_token);
            stream.local_state_crc = Some(crc32fast::hash(&state));
        }
        self.insert(id, stream);
        self.queue.push_back(id);
        self.start_queued(context);
    }

    /// Assigns the attempt to the reservation that the same router made for the request. Returns false if there is
    /// none.
    fn use_reservation(&mut self, request: &DecodeRequest) -> bool {
        let Some(stream) = self.streams.get_mut(&request.id) else { return false };
        if stream.attempt.is_some() || stream.router != request.router {
            return false;
        }
        stream.attempt = Some(request.attempt);
        stream.window = request.window.max(1);
        true
    }

    /// Returns why a decode without a reservation cannot be accepted, or `None` if it can.
    fn rejection_cause(&self, request: &DecodeRequest, context: &WorkContext) -> Option<AttemptFailure> {
        let config = &context.state.config;
        let has_no_slot = self.slots_in_use() >= config.decode_slots;
        let is_full = has_no_slot && self.queue.len() >= config.max_queued_streams;
        let is_duplicate = self.streams.contains_key(&request.id);
        if !context.state.accepts_work() || is_full || is_duplicate {
            return Some(AttemptFailure::Rejected);
        }
        let lacks_state = request.prefill_worker.is_none() && config.role != WorkerRole::Mixed;
        lacks_state.then_some(AttemptFailure::StateMissing)
    }

    fn insert(&mut self, id: GlobalRequestId, stream: Stream) {
        self.by_serial.insert(stream.serial, id);
        self.streams.insert(id, stream);
    }

    /// Starts queued streams while slots are free.
    fn start_queued(&mut self, context: &mut WorkContext) {
        while self.slots_in_use() < context.state.config.decode_slots {
            let Some(id) = self.queue.pop_front() else { return };
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            stream.is_queued = false;
            if stream.local_state_crc.is_some() {
                let time = context.state.config.prefill_time(stream.prompt_tokens);
                let time = context.state.scaled_time(context.now, time);
                context.set_timer(time, TimerKey::Prefill(stream.serial));
            } else {
                self.fetch_state(id, context);
            }
        }
    }

    fn fetch_state(&mut self, id: GlobalRequestId, context: &mut WorkContext) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let Some(prefill_worker) = stream.prefill_worker else { return };
        stream.state = StateProgress::Fetching(BytesMut::new());
        context.send_to_prefill_worker(prefill_worker, state_transfer::fetch(id));
    }

    /// Handles the completion of a prefill that this decode stage ran itself.
    pub fn local_prefill_completed(&mut self, serial: u64, context: &mut WorkContext) {
        let Some(&id) = self.by_serial.get(&serial) else { return };
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if let Some(crc) = stream.local_state_crc {
            stream.state = StateProgress::Complete(crc);
            self.advance(id, context);
        }
    }

    /// Handles a received chunk of KV state.
    pub fn state_chunk(
        &mut self,
        id: GlobalRequestId,
        offset: u64,
        chunk: &Bytes,
        crc: u32,
        context: &mut WorkContext,
    ) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let StateProgress::Fetching(received) = &mut stream.state else { return };
        if offset == received.len() as u64 && crc32fast::hash(chunk) == crc {
            received.extend_from_slice(chunk);
        } else {
            tracing::debug!(
                id = id.local_id,
                offset,
                "corrupt chunk of KV state received; discarding the state"
            );
            self.state_missing(id, context);
        }
    }

    /// Handles the end of a transfer: all chunks of the KV state were sent.
    pub fn state_complete(
        &mut self,
        id: GlobalRequestId,
        state_bytes: u64,
        crc: u32,
        context: &mut WorkContext,
    ) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let StateProgress::Fetching(received) = &stream.state else { return };
        if received.len() as u64 != state_bytes || crc32fast::hash(received) != crc {
            return self.state_missing(id, context);
        }
        stream.state = StateProgress::Complete(crc);
        if let Some(prefill_worker) = stream.prefill_worker {
            context.send_to_prefill_worker(prefill_worker, state_transfer::fetched(id));
        }
        self.advance(id, context);
    }

    /// Records that the KV state is not available, and fails the attempt if it has arrived.
    pub fn state_missing(&mut self, id: GlobalRequestId, context: &mut WorkContext) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if matches!(stream.state, StateProgress::Fetching(_)) {
            stream.state = StateProgress::Missing;
            self.advance(id, context);
        }
    }

    /// Starts the stream if its attempt has arrived and its KV state is complete; fails the attempt if the state is
    /// missing.
    fn advance(&mut self, id: GlobalRequestId, context: &mut WorkContext) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let Some(attempt) = stream.attempt else { return };
        match stream.state {
            StateProgress::Missing => {
                context.attempt_failed(stream.router, id, attempt, AttemptFailure::StateMissing);
                self.remove(id);
                self.start_queued(context);
            }
            StateProgress::Complete(_) => {
                let interval = context.state.token_interval(context.now);
                context.set_timer(interval, TimerKey::Token(stream.serial));
            }
            StateProgress::NotRequested | StateProgress::Fetching(_) => {}
        }
    }

    /// Sends the next token of a stream, or pauses the stream if its window is full.
    pub fn token_due(&mut self, serial: u64, context: &mut WorkContext) {
        let Some(&id) = self.by_serial.get(&serial) else { return };
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let Some(attempt) = stream.attempt else { return };
        let StateProgress::Complete(crc) = stream.state else { return };
        if stream.tokens_in_flight >= stream.window {
            stream.is_paused = true;
            return;
        }
        let text = Bytes::copy_from_slice(&kv_state::token_text(crc, stream.tokens_sent));
        context.send(stream.router, worker::token(id.local_id, attempt, stream.tokens_sent, text));
        stream.tokens_sent += 1;
        stream.tokens_in_flight += 1;
        if stream.tokens_sent == kv_state::response_tokens(crc, stream.max_tokens) {
            context.send(stream.router, worker::completed(id.local_id, attempt, stream.tokens_sent));
            self.remove(id);
            return self.start_queued(context);
        }
        let interval = context.state.token_interval(context.now);
        context.set_timer(interval, TimerKey::Token(serial));
    }

    /// Records that the client has consumed `tokens` of a stream, and resumes the stream if it was paused.
    pub fn grant_tokens(
        &mut self,
        id: GlobalRequestId,
        attempt: u16,
        tokens: u32,
        context: &mut WorkContext,
    ) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if stream.attempt != Some(attempt) {
            return;
        }
        stream.tokens_in_flight = stream.tokens_in_flight.saturating_sub(tokens);
        if stream.is_paused {
            stream.is_paused = false;
            let serial = stream.serial;
            self.token_due(serial, context);
        }
    }

    /// Releases a reservation at the request of a router. Has no effect on a stream whose attempt has arrived.
    pub fn release(&mut self, id: GlobalRequestId, context: &mut WorkContext) {
        if self.streams.get(&id).is_some_and(|stream| stream.attempt.is_none()) {
            self.discard(id, context);
        }
    }

    /// Cancels an attempt at the request of a router.
    pub fn cancel(&mut self, id: GlobalRequestId, attempt: u16, context: &mut WorkContext) {
        if self.streams.get(&id).is_some_and(|stream| stream.attempt == Some(attempt)) {
            self.discard(id, context);
        }
    }

    /// Discards all streams and reservations of a router whose connection is lost.
    pub fn router_disconnected(&mut self, router: ConnectionId, context: &mut WorkContext) {
        for id in self.ids_matching(|stream| stream.router == router) {
            self.discard(id, context);
        }
    }

    /// Marks the KV state of all streams that were fetching it from a disconnected prefill worker as missing.
    pub fn prefill_worker_disconnected(&mut self, prefill_worker: Address, context: &mut WorkContext) {
        for id in self.ids_matching(|stream| stream.is_fetching_from(prefill_worker)) {
            self.state_missing(id, context);
        }
    }

    fn ids_matching(&self, matches: impl Fn(&Stream) -> bool) -> Vec<GlobalRequestId> {
        let matching = self.streams.iter().filter(|(_, stream)| matches(stream));
        matching.map(|(id, _)| *id).collect()
    }

    /// Removes a stream whose response is no longer wanted, and cancels the fetch of its KV state.
    fn discard(&mut self, id: GlobalRequestId, context: &mut WorkContext) {
        let Some(stream) = self.remove(id) else { return };
        if let (StateProgress::Fetching(_), Some(prefill_worker)) = (&stream.state, stream.prefill_worker) {
            context.send_to_prefill_worker(prefill_worker, state_transfer::cancel_fetch(id));
        }
        self.start_queued(context);
    }

    fn remove(&mut self, id: GlobalRequestId) -> Option<Stream> {
        let stream = self.streams.remove(&id)?;
        self.by_serial.remove(&stream.serial);
        if stream.is_queued {
            self.queue.retain(|queued| *queued != id);
        }
        Some(stream)
    }
}
