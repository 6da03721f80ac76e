//! Decodes the messages that a worker receives from its peers and passes them to its engine.

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{state_transfer, worker, Address, GlobalRequestId, Malformed, Micros, Origin, Party};

use crate::decode::{DecodeRequest, ReservationRequest};
use crate::engine::Engine;
use crate::peers::Peer;
use crate::prefill::PrefillRequest;

/// Handles one frame received from a peer.
pub fn handle_frame(
    engine: &mut Engine,
    now: Micros,
    connection: ConnectionId,
    frame: &Bytes,
    effects: &mut Effects,
) -> Result<(), Malformed> {
    let Some(peer) = engine.peers.get(connection) else { return Ok(()) };
    let mut handler = MessageHandler { engine, now, connection, effects };
    match peer {
        Peer::Unknown => {
            let peer = peer_of_hello(frame)?;
            handler.engine.peers.insert(connection, peer);
            Ok(())
        }
        Peer::Router(origin) => {
            worker::receive_from_router(frame, &mut RouterMessageHandler { handler, origin })
        }
        Peer::StateFetcher => state_transfer::receive_from_fetcher(frame, &mut handler),
        Peer::PrefillWorker(_) => state_transfer::receive_from_source(frame, &mut handler),
        Peer::Discovery => Err(Malformed::Order("a message from discovery")),
    }
}

fn peer_of_hello(frame: &Bytes) -> Result<Peer, Malformed> {
    let (party, ..) = tideroute_wire::first(frame)?;
    match party {
        Party::Router => Ok(Peer::Router(tideroute_wire::origin_of(frame)?)),
        Party::Worker => Ok(Peer::StateFetcher),
        Party::Client => Err(Malformed::Range("party")),
    }
}

struct MessageHandler<'a> {
    engine: &'a mut Engine,
    now: Micros,
    connection: ConnectionId,
    effects: &'a mut Effects,
}

impl state_transfer::Reader for MessageHandler<'_> {
    fn fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        self.engine.fetch(self.connection, id, self.now, self.effects);
        Ok(())
    }

    fn fetched(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        self.engine.fetched(id);
        Ok(())
    }

    fn cancel_fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        self.engine.cancel_fetch(self.connection, id);
        Ok(())
    }
}

impl state_transfer::Fetcher for MessageHandler<'_> {
    fn chunk(&mut self, id: GlobalRequestId, offset: u64, chunk: Bytes, crc: u32) -> Result<(), Malformed> {
        self.engine.state_chunk(id, offset, &chunk, crc, self.now, self.effects);
        Ok(())
    }

    fn complete(&mut self, id: GlobalRequestId, state_bytes: u64, crc: u32) -> Result<(), Malformed> {
        self.engine.state_complete(id, state_bytes, crc, self.now, self.effects);
        Ok(())
    }

    fn missing(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        self.engine.state_missing(id, self.now, self.effects);
        Ok(())
    }
}

struct RouterMessageHandler<'a> {
    handler: MessageHandler<'a>,
    origin: Origin,
}

impl RouterMessageHandler<'_> {
    fn id(&self, local_id: u64) -> GlobalRequestId {
        GlobalRequestId { origin: self.origin, local_id }
    }
}

impl worker::Worker for RouterMessageHandler<'_> {
    fn prefill(
        &mut self,
        id: u64,
        attempt: u16,
        _class: u8,
        _session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        _timeout: Micros,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        let id = self.id(id);
        let MessageHandler { engine, now, connection: router, effects } = &mut self.handler;
        let request =
            PrefillRequest { id, router: *router, attempt, prefix, prompt_tokens, prefix_tokens, prompt };
        engine.prefill(&request, *now, effects);
        Ok(())
    }

    fn reserve(
        &mut self,
        id: u64,
        _prompt_tokens: u32,
        max_tokens: u32,
        prefill_worker: Address,
    ) -> Result<(), Malformed> {
        let id = self.id(id);
        let MessageHandler { engine, now, connection: router, effects } = &mut self.handler;
        let request = ReservationRequest { id, router: *router, max_tokens, prefill_worker };
        engine.reserve(request, *now, effects);
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        attempt: u16,
        _class: u8,
        prompt_tokens: u32,
        max_tokens: u32,
        _timeout: Micros,
        _idempotency_key: u64,
        prefill_worker: Option<Address>,
        window: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        let id = self.id(id);
        let MessageHandler { engine, now, connection: router, effects } = &mut self.handler;
        let request = DecodeRequest {
            id,
            router: *router,
            attempt,
            prompt_tokens,
            max_tokens,
            prefill_worker,
            window,
            prompt,
        };
        engine.decode(&request, *now, effects);
        Ok(())
    }

    fn release(&mut self, id: u64) -> Result<(), Malformed> {
        let id = self.id(id);
        let MessageHandler { engine, now, effects, .. } = &mut self.handler;
        engine.release(id, *now, effects);
        Ok(())
    }

    fn cancel(&mut self, id: u64, attempt: u16) -> Result<(), Malformed> {
        let id = self.id(id);
        let MessageHandler { engine, now, effects, .. } = &mut self.handler;
        engine.cancel(id, attempt, *now, effects);
        Ok(())
    }

    fn check_health(&mut self, nonce: u64) -> Result<(), Malformed> {
        let MessageHandler { engine, connection: router, effects, .. } = &mut self.handler;
        engine.report_health(nonce, *router, effects);
        Ok(())
    }

    fn grant_tokens(&mut self, id: u64, attempt: u16, tokens: u32) -> Result<(), Malformed> {
        let id = self.id(id);
        let MessageHandler { engine, now, effects, .. } = &mut self.handler;
        engine.grant_tokens(id, attempt, tokens, *now, effects);
        Ok(())
    }
}
