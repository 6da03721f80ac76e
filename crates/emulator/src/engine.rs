//! The work of an emulated worker: prefill, decode and transfer of KV state. [`crate::worker`] has its lifecycle.

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{state_transfer, Address, GlobalRequestId, Micros};

use crate::config::WorkerRole;
use crate::decode::{DecodeRequest, DecodeStage, ReservationRequest};
use crate::early_fetches::{EarlyFetch, EarlyFetches, EARLY_FETCH_TIMEOUT};
use crate::peers::Peers;
use crate::prefill::{PrefillRequest, PrefillStage};
use crate::timers::TimerKey;
use crate::work_context::WorkContext;
use crate::worker_state::WorkerState;

/// The prefill and decode stages of a worker, with the state and the peers that both use.
pub struct Engine {
    pub state: WorkerState,
    pub peers: Peers,
    prefill: PrefillStage,
    decode: DecodeStage,
    early_fetches: EarlyFetches,
}

/// Borrows of both stages, and the context in which they handle an event.
struct Stages<'a> {
    prefill: &'a mut PrefillStage,
    decode: &'a mut DecodeStage,
    context: WorkContext<'a>,
}

impl Engine {
    pub fn new(state: WorkerState) -> Engine {
        Engine {
            state,
            peers: Peers::default(),
            prefill: PrefillStage::default(),
            decode: DecodeStage::default(),
            early_fetches: EarlyFetches::default(),
        }
    }

    fn stages<'a>(&'a mut self, now: Micros, effects: &'a mut Effects) -> Stages<'a> {
        let context = WorkContext { now, state: &mut self.state, peers: &mut self.peers, effects };
        Stages { prefill: &mut self.prefill, decode: &mut self.decode, context }
    }

    /// Returns whether no work is left.
    pub fn is_idle(&self) -> bool {
        self.prefill.is_empty() && self.decode.is_empty()
    }

    /// Drops all work without notifying routers or other workers.
    pub fn drop_work(&mut self) {
        self.prefill = PrefillStage::default();
        self.decode = DecodeStage::default();
    }

    pub fn prefill(&mut self, request: &PrefillRequest, now: Micros, effects: &mut Effects) {
        let role = self.state.config.role;
        let Stages { prefill, mut context, .. } = self.stages(now, effects);
        if role == WorkerRole::Decode {
            let PrefillRequest { router, id, attempt, .. } = *request;
            return context.attempt_failed(router, id, attempt, AttemptFailure::ServerError);
        }
        context.state.record_received_work(now, f64::from(request.prompt_tokens));
        if !prefill.handle_request(request, &mut context) {
            return;
        }
        if let Some(early_fetch) = self.early_fetches.take_by_request(request.id) {
            let Stages { prefill, mut context, .. } = self.stages(now, effects);
            prefill.fetch(early_fetch.fetcher, early_fetch.id, &mut context);
        }
    }

    pub fn reserve(&mut self, request: ReservationRequest, now: Micros, effects: &mut Effects) {
        let Stages { decode, mut context, .. } = self.stages(now, effects);
        decode.reserve(request, &mut context);
    }

    pub fn decode(&mut self, request: &DecodeRequest, now: Micros, effects: &mut Effects) {
        let Stages { decode, mut context, .. } = self.stages(now, effects);
        context.state.record_received_work(now, f64::from(request.max_tokens));
        decode.handle_request(request, &mut context);
    }

    /// Releases KV state or a decode reservation at the request of a router.
    pub fn release(&mut self, id: GlobalRequestId, now: Micros, effects: &mut Effects) {
        let Stages { prefill, decode, mut context } = self.stages(now, effects);
        prefill.release(id);
        decode.release(id, &mut context);
    }

    pub fn cancel(&mut self, id: GlobalRequestId, attempt: u16, now: Micros, effects: &mut Effects) {
        let Stages { prefill, decode, mut context } = self.stages(now, effects);
        prefill.cancel(id, attempt, &mut context);
        decode.cancel(id, attempt, &mut context);
    }

    pub fn grant_tokens(
        &mut self,
        id: GlobalRequestId,
        attempt: u16,
        tokens: u32,
        now: Micros,
        effects: &mut Effects,
    ) {
        let Stages { decode, mut context, .. } = self.stages(now, effects);
        decode.grant_tokens(id, attempt, tokens, &mut context);
    }

    /// Answers a health check with a load report.
    pub fn report_health(&self, nonce: u64, router: ConnectionId, effects: &mut Effects) {
        let prefills = self.prefill.running() as u32;
        let streams = self.decode.slots_in_use() as u32;
        let queued = self.prefill.queued() as u32 + self.decode.queued() as u32;
        effects.send(router, worker::health_reported(nonce, prefills, streams, queued));
    }

    /// Handles a decode worker's fetch of KV state. A fetch whose prefill has not arrived yet waits for it for up to
    /// [`EARLY_FETCH_TIMEOUT`].
    pub fn fetch(&mut self, fetcher: ConnectionId, id: GlobalRequestId, now: Micros, effects: &mut Effects) {
        let Stages { prefill, mut context, .. } = self.stages(now, effects);
        if prefill.fetch(fetcher, id, &mut context) {
            return;
        }
        if self.early_fetches.is_full() {
            return effects.send(fetcher, state_transfer::missing(id));
        }
        let serial = self.state.next_serial();
        self.early_fetches.push(EarlyFetch { serial, fetcher, id });
        effects.set_timer(now + EARLY_FETCH_TIMEOUT, TimerKey::EarlyFetch(serial).encode());
    }

    /// Releases KV state that a decode worker has fetched completely.
    pub fn fetched(&mut self, id: GlobalRequestId) {
        self.prefill.release(id);
    }

    pub fn cancel_fetch(&mut self, fetcher: ConnectionId, id: GlobalRequestId) {
        self.prefill.cancel_fetch(fetcher, id);
    }

    /// Answers an early fetch whose prefill has not arrived in time.
    pub fn early_fetch_expired(&mut self, serial: u64, effects: &mut Effects) {
        if let Some(early_fetch) = self.early_fetches.take_expired(serial) {
            effects.send(early_fetch.fetcher, state_transfer::missing(early_fetch.id));
        }
    }

    pub fn state_chunk(
        &mut self,
        id: GlobalRequestId,
        offset: u64,
        chunk: &Bytes,
        crc: u32,
        now: Micros,
        effects: &mut Effects,
    ) {
        let Stages { decode, mut context, .. } = self.stages(now, effects);
        decode.state_chunk(id, offset, chunk, crc, &mut context);
    }

    pub fn state_complete(
        &mut self,
        id: GlobalRequestId,
        state_bytes: u64,
        crc: u32,
        now: Micros,
        effects: &mut Effects,
    ) {
        let Stages { decode, mut context, .. } = self.stages(now, effects);
        decode.state_complete(id, state_bytes, crc, &mut context);
    }

    pub fn state_missing(&mut self, id: GlobalRequestId, now: Micros, effects: &mut Effects) {
        let Stages { decode, mut context, .. } = self.stages(now, effects);
        decode.state_missing(id, &mut context);
    }

    /// Handles a prefill timer, which belongs to the prefill stage or to a stream whose prompt the decode stage
    /// prefills.
    pub fn prefill_timer_fired(&mut self, serial: u64, now: Micros, effects: &mut Effects) {
        let Stages { prefill, decode, mut context } = self.stages(now, effects);
        if !prefill.step_completed(serial, &mut context) {
            decode.local_prefill_completed(serial, &mut context);
        }
    }

    pub fn token_timer_fired(&mut self, serial: u64, now: Micros, effects: &mut Effects) {
        let Stages { decode, mut context, .. } = self.stages(now, effects);
        decode.token_due(serial, &mut context);
    }

    pub fn set_blocked(
        &mut self,
        connection: ConnectionId,
        is_blocked: bool,
        now: Micros,
        effects: &mut Effects,
    ) {
        let Stages { prefill, mut context, .. } = self.stages(now, effects);
        prefill.set_blocked(connection, is_blocked, &mut context);
    }

    pub fn router_disconnected(&mut self, router: ConnectionId, now: Micros, effects: &mut Effects) {
        let Stages { prefill, decode, mut context } = self.stages(now, effects);
        prefill.router_disconnected(router, &mut context);
        decode.router_disconnected(router, &mut context);
    }

    pub fn fetcher_disconnected(&mut self, fetcher: ConnectionId) {
        self.prefill.fetcher_disconnected(fetcher);
    }

    pub fn prefill_worker_disconnected(&mut self, address: Address, now: Micros, effects: &mut Effects) {
        let Stages { decode, mut context, .. } = self.stages(now, effects);
        decode.prefill_worker_disconnected(address, &mut context);
    }
}
