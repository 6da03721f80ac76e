//! The prefill stage: prefills, and the KV state that is kept after them until it is fetched.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::worker::AttemptFailure;
use tideroute_wire::{state_transfer, worker, GlobalRequestId, Micros};

use crate::kv_state;
use crate::prefix_cache::PrefixCache;
use crate::timers::TimerKey;
use crate::work_context::WorkContext;

/// Number of equal steps of a prefill. After each step, that share of the KV state can be fetched.
const STEPS: u32 = 4;
/// Maximum size of a chunk of KV state in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// A router's request for a prefill.
pub struct PrefillRequest {
    pub id: GlobalRequestId,
    pub router: ConnectionId,
    pub attempt: u16,
    /// The id of the shared prefix of the prompt; 0 if it has none.
    pub prefix: u64,
    pub prompt_tokens: u32,
    pub prefix_tokens: u32,
    pub prompt: Bytes,
}

/// The transfer of KV state to the decode worker that fetches it.
#[derive(Clone, Copy)]
struct Transfer {
    fetcher: ConnectionId,
    bytes_sent: usize,
}

struct Prefill {
    router: ConnectionId,
    attempt: u16,
    serial: u64,
    prefix: u64,
    prompt_tokens: u32,
    prefix_tokens: u32,
    state: Bytes,
    /// `None` while the prefill is queued.
    steps_done: Option<u32>,
    step_time: Micros,
    cached_tokens: u32,
    transfer: Option<Transfer>,
}

impl Prefill {
    fn new(request: &PrefillRequest, serial: u64, state: Bytes) -> Prefill {
        Prefill {
            router: request.router,
            attempt: request.attempt,
            serial,
            prefix: request.prefix,
            prompt_tokens: request.prompt_tokens,
            prefix_tokens: request.prefix_tokens,
            state,
            steps_done: None,
            step_time: 0,
            cached_tokens: 0,
            transfer: None,
        }
    }

    fn is_complete(&self) -> bool {
        self.steps_done == Some(STEPS)
    }

    /// Returns how many bytes of the KV state can be fetched now.
    fn available_bytes(&self) -> usize {
        self.state.len() * self.steps_done.unwrap_or(0) as usize / STEPS as usize
    }

    fn is_fetched_by(&self, connection: ConnectionId) -> bool {
        self.transfer.is_some_and(|transfer| transfer.fetcher == connection)
    }
}

/// The prefills of a worker: queued, running, and complete with KV state that is not released yet.
#[derive(Default)]
pub struct PrefillStage {
    prefills: BTreeMap<GlobalRequestId, Prefill>,
    by_serial: BTreeMap<u64, GlobalRequestId>,
    queue: VecDeque<GlobalRequestId>,
    running: usize,
    cache: PrefixCache,
    /// Connections that are under backpressure.
    blocked: BTreeSet<ConnectionId>,
}

impl PrefillStage {
    /// Returns whether no prefill is queued or running and no KV state is kept.
    pub fn is_empty(&self) -> bool {
        self.prefills.is_empty()
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Handles a router's request for a prefill. Returns whether it was accepted; if not, the router has been notified.
    pub fn handle_request(&mut self, request: &PrefillRequest, context: &mut WorkContext) -> bool {
        if let Some(failure) = self.rejection_cause(request, context) {
            context.attempt_failed(request.router, request.id, request.attempt, failure);
            return false;
        }
        let serial = context.state.next_serial();
        let bytes_per_token = context.state.config.state_bytes_per_token;
        let state = kv_state::generate(&request.prompt, request.prompt_tokens, bytes_per_token);
        self.prefills.insert(request.id, Prefill::new(request, serial, state));
        self.by_serial.insert(serial, request.id);
        self.queue.push_back(request.id);
        self.start_queued(context);
        true
    }

    /// Returns why a prefill cannot be accepted, or `None` if it can.
    fn rejection_cause(&self, request: &PrefillRequest, context: &WorkContext) -> Option<AttemptFailure> {
        let config = &context.state.config;
        let is_full = self.queue.len() >= config.max_queued_prefills && self.running >= config.prefill_slots;
        let is_duplicate = self.prefills.contains_key(&request.id);
        if !context.state.accepts_work() || is_full || is_duplicate {
            return Some(AttemptFailure::Rejected);
        }
        context.state.fails_work.then_some(AttemptFailure::ServerError)
    }

    /// Starts queued prefills while slots are free.
    fn start_queued(&mut self, context: &mut WorkContext) {
        while self.running < context.state.config.prefill_slots {
            let Some(id) = self.queue.pop_front() else { return };
            let Some(prefill) = self.prefills.get_mut(&id) else { continue };
            let is_cached = self.cache.contains(prefill.prefix);
            prefill.cached_tokens = if is_cached { prefill.prefix_tokens } else { 0 };
            let tokens = prefill.prompt_tokens - prefill.cached_tokens;
            let time = context.state.config.prefill_time(tokens);
            prefill.step_time = context.state.scaled_time(context.now, time / f64::from(STEPS));
            prefill.steps_done = Some(0);
            self.running += 1;
            context.set_timer(prefill.step_time, TimerKey::Prefill(prefill.serial));
        }
    }

    /// Handles the end of a prefill step. Returns false if the serial number is not that of a prefill of this stage.
    pub fn step_completed(&mut self, serial: u64, context: &mut WorkContext) -> bool {
        let Some(&id) = self.by_serial.get(&serial) else { return false };
        let Some(prefill) = self.prefills.get_mut(&id) else { return true };
        let steps_done = prefill.steps_done.map_or(0, |steps| steps + 1).min(STEPS);
        prefill.steps_done = Some(steps_done);
        if steps_done < STEPS {
            context.set_timer(prefill.step_time, TimerKey::Prefill(serial));
        } else {
            self.complete(id, context);
        }
        self.send_available(id, context);
        true
    }

    fn complete(&mut self, id: GlobalRequestId, context: &mut WorkContext) {
        let Some(prefill) = self.prefills.get(&id) else { return };
        let state_bytes = prefill.state.len() as u64;
        let completed =
            worker::prefill_completed(id.local_id, prefill.attempt, prefill.cached_tokens, state_bytes);
        context.send(prefill.router, completed);
        self.running -= 1;
        self.cache.insert(prefill.prefix, context.state.config.max_cached_prefixes);
        self.start_queued(context);
    }

    /// Sends the fetcher the available KV state that it has not been sent yet, unless its connection is blocked.
    fn send_available(&mut self, id: GlobalRequestId, context: &mut WorkContext) {
        let Some(prefill) = self.prefills.get_mut(&id) else { return };
        let available = prefill.available_bytes();
        let is_complete = prefill.is_complete();
        let Some(transfer) = prefill.transfer.as_mut() else { return };
        let fetcher = transfer.fetcher;
        while transfer.bytes_sent < available && !self.blocked.contains(&fetcher) {
            let start = transfer.bytes_sent;
            let end = (start + CHUNK_BYTES).min(available);
            let chunk = prefill.state.slice(start..end);
            let crc = crc32fast::hash(&chunk);
            let chunk = if context.state.corrupts_state { corrupt(&chunk) } else { chunk };
            context.send(fetcher, state_transfer::chunk(id, start as u64, chunk, crc));
            transfer.bytes_sent = end;
        }
        if is_complete && transfer.bytes_sent == prefill.state.len() {
            let crc = crc32fast::hash(&prefill.state);
            context.send(fetcher, state_transfer::complete(id, prefill.state.len() as u64, crc));
        }
    }

    /// Handles a decode worker's fetch of KV state. Returns false if there is no such prefill.
    pub fn fetch(&mut self, fetcher: ConnectionId, id: GlobalRequestId, context: &mut WorkContext) -> bool {
        let Some(prefill) = self.prefills.get_mut(&id) else { return false };
        prefill.transfer = Some(Transfer { fetcher, bytes_sent: 0 });
        self.send_available(id, context);
        true
    }

    /// Cancels a fetch at the request of the decode worker. The KV state is kept.
    pub fn cancel_fetch(&mut self, fetcher: ConnectionId, id: GlobalRequestId) {
        let Some(prefill) = self.prefills.get_mut(&id) else { return };
        if prefill.is_fetched_by(fetcher) {
            prefill.transfer = None;
        }
    }

    /// Ends the transfers to a decode worker whose connection is lost.
    pub fn fetcher_disconnected(&mut self, fetcher: ConnectionId) {
        self.blocked.remove(&fetcher);
        for prefill in self.prefills.values_mut() {
            if prefill.is_fetched_by(fetcher) {
                prefill.transfer = None;
            }
        }
    }

    /// Records that a connection is blocked by backpressure or writable again, and resumes its transfers in the latter
    /// case.
    pub fn set_blocked(&mut self, connection: ConnectionId, is_blocked: bool, context: &mut WorkContext) {
        if is_blocked {
            self.blocked.insert(connection);
            return;
        }
        if !self.blocked.remove(&connection) {
            return;
        }
        let has_unsent = |prefill: &Prefill| {
            let transfer = prefill.transfer.filter(|transfer| transfer.fetcher == connection);
            transfer.is_some_and(|transfer| transfer.bytes_sent < prefill.available_bytes())
        };
        for id in self.ids_matching(has_unsent) {
            self.send_available(id, context);
        }
    }

    /// Releases KV state at the request of a router or a decode worker. Has no effect on a prefill that is not
    /// complete.
    pub fn release(&mut self, id: GlobalRequestId) {
        if self.prefills.get(&id).is_some_and(Prefill::is_complete) {
            self.remove(id);
        }
    }

    /// Cancels an attempt at the request of a router.
    pub fn cancel(&mut self, id: GlobalRequestId, attempt: u16, context: &mut WorkContext) {
        if self.prefills.get(&id).is_some_and(|prefill| prefill.attempt == attempt) {
            self.remove(id);
            self.start_queued(context);
        }
    }

    /// Drops all prefills and KV state of a router whose connection is lost.
    pub fn router_disconnected(&mut self, router: ConnectionId, context: &mut WorkContext) {
        for id in self.ids_matching(|prefill| prefill.router == router) {
            self.remove(id);
        }
        self.start_queued(context);
    }

    fn ids_matching(&self, matches: impl Fn(&Prefill) -> bool) -> Vec<GlobalRequestId> {
        let matching = self.prefills.iter().filter(|(_, prefill)| matches(prefill));
        matching.map(|(id, _)| *id).collect()
    }

    fn remove(&mut self, id: GlobalRequestId) {
        let Some(prefill) = self.prefills.remove(&id) else { return };
        self.by_serial.remove(&prefill.serial);
        match prefill.steps_done {
            None => self.queue.retain(|queued| *queued != id),
            Some(STEPS) => {}
            Some(_) => self.running -= 1,
        }
    }
}

/// Returns a copy of the chunk with one bit flipped.
fn corrupt(chunk: &Bytes) -> Bytes {
    let mut corrupted = BytesMut::from(&chunk[..]);
    corrupted[0] ^= 1;
    corrupted.freeze()
}
