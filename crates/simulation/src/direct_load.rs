//! The baseline without a router: a client that knows the workers and sends each request to a prefill worker, chosen by
//! a [`PrefillPolicy`], and to a decode worker of its cell. It shows the latency that a router adds, and how simple
//! policies balance the load.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tideroute_config_language::records::Load as Record;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{say_router, Address, Malformed, Micros};

use crate::prefill_policies::{PrefillChooser, PrefillPolicy};
use crate::traffic::{plan, Planned};

/// Microseconds that connecting may take.
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Tokens that a stream may be ahead; all are accepted at once here.
const STREAM_WINDOW_TOKENS: u32 = 1 << 16;

/// A worker as the direct client knows it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct KnownWorker {
    /// Where it listens.
    pub address: Address,
    /// Whether it is a prefill worker; else a decode worker.
    pub reader: bool,
    /// Its cell.
    pub cell: u16,
    /// Its relative capacity.
    pub size: f64,
}

/// A request in flight.
struct DirectRequest {
    reader: Address,
    writer: Address,
    client: usize,
    is_prefilling: bool,
}

/// Direct requests of all clients.
pub struct DirectLoad {
    workers: Vec<KnownWorker>,
    chooser: PrefillChooser,
    planned: Vec<Planned>,
    next: usize,
    began: Micros,
    connections: BTreeMap<Address, ConnectionId>,
    in_flight: BTreeMap<u64, DirectRequest>,
    streams: BTreeMap<Address, u32>,
    /// Requests that have ended.
    pub ended: u64,
    /// Those of them that failed.
    pub failed: u64,
}

impl DirectLoad {
    /// A load that begins when it is started; the policy chooses prefill workers.
    pub fn new(terms: &Record, workers: Vec<KnownWorker>, way: PrefillPolicy) -> DirectLoad {
        DirectLoad {
            workers,
            chooser: PrefillChooser::new(way, terms.routers.len(), terms.seed),
            planned: plan(terms),
            next: 0,
            began: 0,
            connections: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            streams: BTreeMap::new(),
            ended: 0,
            failed: 0,
        }
    }

    /// Sends the requests that are due: a prefill, and a reservation at the decode worker of the prefill worker's cell
    /// with the fewest streams.
    fn send_due_requests(&mut self, now: Micros, effects: &mut Effects) {
        while let Some(p) = self.planned.get(self.next).filter(|p| self.began + p.at <= now).cloned() {
            let id = self.next as u64 + 1;
            self.next += 1;
            let readers: Vec<_> = self.workers.iter().filter(|w| w.reader).collect();
            let sizes: Vec<_> = readers.iter().map(|r| (r.address, r.size)).collect();
            let Some(place) = self.chooser.choose(now, p.client, p.session, &sizes) else { continue };
            let reader = readers[place];
            let beside = |w: &&KnownWorker| !w.reader && w.cell == reader.cell;
            let load = |w: &&KnownWorker| self.streams.get(&w.address).copied().unwrap_or(0);
            let Some(writer) = self.workers.iter().filter(beside).min_by_key(load) else { continue };
            let (reader, writer) = (reader.address, writer.address);
            *self.streams.entry(writer).or_default() += 1;
            self.in_flight
                .insert(id, DirectRequest { reader, writer, client: p.client, is_prefilling: true });
            self.chooser.record(now, p.client, reader, true);
            let prefill_ended = worker::prefill(
                id,
                0,
                p.track,
                p.session,
                p.prefix,
                p.prompt_tokens,
                p.prefix_tokens,
                p.left,
                p.prompt,
            );
            effects.send(self.connections[&reader], prefill_ended);
            effects
                .send(self.connections[&writer], worker::reserve(id, p.prompt_tokens, p.most_tokens, reader));
        }
        if let Some(p) = self.planned.get(self.next) {
            effects.set_timer(self.began + p.at, 0);
        }
    }

    /// The prefill of a request has ended, if it had not before.
    fn prefill_ended(&mut self, now: Micros, id: u64) {
        if let Some(in_flight) = self.in_flight.get_mut(&id).filter(|g| g.is_prefilling) {
            in_flight.is_prefilling = false;
            self.chooser.record(now, in_flight.client, in_flight.reader, false);
        }
    }

    fn finish(&mut self, now: Micros, id: u64, completed: bool) {
        self.prefill_ended(now, id);
        if let Some(in_flight) = self.in_flight.remove(&id) {
            *self.streams.entry(in_flight.writer).or_default() -= 1;
            self.ended += 1;
            self.failed += u64::from(!completed);
        }
    }
}

struct MessageHandler<'a> {
    load: &'a mut DirectLoad,
    now: Micros,
    effects: &'a mut Effects,
}

impl worker::Router for MessageHandler<'_> {
    fn reservation_answered(&mut self, _id: u64, _held: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn prefill_completed(&mut self, id: u64, _shot: u16, _kept: u32, _bytes: u64) -> Result<(), Malformed> {
        self.load.prefill_ended(self.now, id);
        let (s, effects) = (&self.load, &mut *self.effects);
        let (Some(in_flight), Some(p)) = (s.in_flight.get(&id), s.planned.get(id as usize - 1)) else {
            return Ok(());
        };
        let write = worker::decode(
            id,
            1,
            p.track,
            p.prompt_tokens,
            p.most_tokens,
            p.left,
            p.mark,
            Some(in_flight.reader),
            STREAM_WINDOW_TOKENS,
            p.session,
            p.prefix,
            p.prefix_tokens,
            p.prompt.clone(),
        );
        effects.send(s.connections[&in_flight.writer], write);
        Ok(())
    }

    fn token(&mut self, _id: u64, _shot: u16, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        Ok(())
    }

    fn completed(&mut self, id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        self.load.finish(self.now, id, true);
        Ok(())
    }

    fn attempt_ended(&mut self, id: u64, _shot: u16, _how: AttemptFailure) -> Result<(), Malformed> {
        self.load.finish(self.now, id, false);
        Ok(())
    }

    fn health_reported(
        &mut self,
        _nonce: u64,
        _reads: u32,
        _streams: u32,
        _waiting: u32,
    ) -> Result<(), Malformed> {
        Ok(())
    }
}

/// Only one such client connects to the workers.
const ORIGIN: tideroute_wire::Origin = 1;

impl EventHandler for DirectLoad {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.began = now;
        for worker in &self.workers {
            let connection = effects.connect(worker.address, CONNECT_TIMEOUT);
            effects.send(connection, say_router("straight", ORIGIN));
            self.connections.insert(worker.address, connection);
        }
        self.send_due_requests(now, effects);
    }

    fn on_accepted(&mut self, _now: Micros, connection: ConnectionId, _door: usize, effects: &mut Effects) {
        effects.close(connection, "listens to nobody");
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        if let Err(problem) =
            worker::receive_from_worker(frame, &mut MessageHandler { load: self, now, effects })
        {
            tracing::error!(%problem, connection = connection.0, "a worker breaks the protocol");
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _loss: DisconnectReason,
        _out: &mut Effects,
    ) {
        let lost = self.connections.iter().find(|(_, l)| **l == connection).map(|(at, _)| *at);
        let is_affected = |g: &DirectRequest| Some(g.reader) == lost || Some(g.writer) == lost;
        let ids: Vec<_> = self.in_flight.iter().filter(|(_, g)| is_affected(g)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.finish(now, id, false));
    }

    fn on_backpressure(&mut self, _now: Micros, _link: ConnectionId, _crowded: bool, _out: &mut Effects) {}

    fn on_timer(&mut self, now: Micros, _key: u64, effects: &mut Effects) {
        self.send_due_requests(now, effects);
    }

    fn on_iteration(&mut self, _now: Micros, _out: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, _out: &mut Effects) {
        self.next = self.planned.len();
        self.in_flight.clear();
    }

    fn is_finished(&self) -> bool {
        self.next == self.planned.len() && self.in_flight.is_empty()
    }
}
