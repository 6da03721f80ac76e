//! The same load straight to the stand-ins, with no router between: a client that knows the workers and sends
//! each submission to a reader, the next one or by a [`Way`](crate::choosers::Way), and a writer beside it. It shows
//! what the way itself takes, so that what a router adds can be told, and how plain ways to choose spread it.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tideroute_config_language::kinds::Load as Record;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{say_router, Address, Malformed, Micros};

use crate::choosers::{Chooser, Way};
use crate::traffic::{plan, Planned};

/// Microseconds: how long a dial may take.
const DIAL: Micros = 1_000_000;
/// Tokens of a stream under way at most; all are taken at once here.
const WINDOW: u32 = 1 << 16;

/// A worker as the straight client knows it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Known {
    pub address: Address,
    pub reader: bool,
    pub cell: u16,
    pub size: f64,
}

struct Going {
    reader: Address,
    writer: Address,
    client: usize,
    reads: bool,
}

pub struct Straight {
    workers: Vec<Known>,
    chooser: Chooser,
    planned: Vec<Planned>,
    next: usize,
    began: Micros,
    connections: BTreeMap<Address, ConnectionId>,
    going: BTreeMap<u64, Going>,
    streams: BTreeMap<Address, u32>,
    pub ended: u64,
    pub failed: u64,
}

impl Straight {
    pub fn new(terms: &Record, workers: Vec<Known>, way: Way) -> Straight {
        Straight {
            workers,
            chooser: Chooser::new(way, terms.routers.len(), terms.seed),
            planned: plan(terms),
            next: 0,
            began: 0,
            connections: BTreeMap::new(),
            going: BTreeMap::new(),
            streams: BTreeMap::new(),
            ended: 0,
            failed: 0,
        }
    }

    /// Makes the submissions whose time has come: a read, and a place ahead at the writer of the reader's cell
    /// with the fewest streams.
    fn arrive(&mut self, now: Micros, effects: &mut Effects) {
        while let Some(p) = self.planned.get(self.next).filter(|p| self.began + p.at <= now).cloned() {
            let id = self.next as u64 + 1;
            self.next += 1;
            let readers: Vec<_> = self.workers.iter().filter(|w| w.reader).collect();
            let sizes: Vec<_> = readers.iter().map(|r| (r.address, r.size)).collect();
            let Some(place) = self.chooser.choose(now, p.client, p.session, &sizes) else { continue };
            let reader = readers[place];
            let beside = |w: &&Known| !w.reader && w.cell == reader.cell;
            let load = |w: &&Known| self.streams.get(&w.address).copied().unwrap_or(0);
            let Some(writer) = self.workers.iter().filter(beside).min_by_key(load) else { continue };
            let (reader, writer) = (reader.address, writer.address);
            *self.streams.entry(writer).or_default() += 1;
            self.going.insert(id, Going { reader, writer, client: p.client, reads: true });
            self.chooser.note(now, p.client, reader, true);
            let read = worker::prefill(
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
            effects.send(self.connections[&reader], read);
            effects
                .send(self.connections[&writer], worker::reserve(id, p.prompt_tokens, p.most_tokens, reader));
        }
        if let Some(p) = self.planned.get(self.next) {
            effects.set_timer(self.began + p.at, 0);
        }
    }

    /// A submission's read has ended, if it had not before.
    fn read(&mut self, now: Micros, id: u64) {
        if let Some(going) = self.going.get_mut(&id).filter(|g| g.reads) {
            going.reads = false;
            self.chooser.note(now, going.client, going.reader, false);
        }
    }

    fn end(&mut self, now: Micros, id: u64, well: bool) {
        self.read(now, id);
        if let Some(going) = self.going.remove(&id) {
            *self.streams.entry(going.writer).or_default() -= 1;
            self.ended += 1;
            self.failed += u64::from(!well);
        }
    }
}

struct Ear<'a> {
    straight: &'a mut Straight,
    now: Micros,
    effects: &'a mut Effects,
}

impl worker::Router for Ear<'_> {
    fn reservation_answered(&mut self, _id: u64, _held: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn prefill_completed(&mut self, id: u64, _shot: u16, _kept: u32, _bytes: u64) -> Result<(), Malformed> {
        self.straight.read(self.now, id);
        let (s, effects) = (&self.straight, &mut *self.effects);
        let (Some(going), Some(p)) = (s.going.get(&id), s.planned.get(id as usize - 1)) else {
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
            Some(going.reader),
            WINDOW,
            p.session,
            p.prefix,
            p.prefix_tokens,
            p.prompt.clone(),
        );
        effects.send(s.connections[&going.writer], write);
        Ok(())
    }

    fn token(&mut self, _id: u64, _shot: u16, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        Ok(())
    }

    fn completed(&mut self, id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        self.straight.end(self.now, id, true);
        Ok(())
    }

    fn attempt_ended(&mut self, id: u64, _shot: u16, _how: AttemptFailure) -> Result<(), Malformed> {
        self.straight.end(self.now, id, false);
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

/// There is one such client at its workers.
const ORIGIN: tideroute_wire::Origin = 1;

impl EventHandler for Straight {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.began = now;
        for worker in &self.workers {
            let connection = effects.connect(worker.address, DIAL);
            effects.send(connection, say_router("straight", ORIGIN));
            self.connections.insert(worker.address, connection);
        }
        self.arrive(now, effects);
    }

    fn on_accepted(&mut self, _now: Micros, connection: ConnectionId, _door: usize, effects: &mut Effects) {
        effects.close(connection, "listens to nobody");
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        if let Err(problem) = worker::receive_from_worker(frame, &mut Ear { straight: self, now, effects }) {
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
        let hit = |g: &Going| Some(g.reader) == lost || Some(g.writer) == lost;
        let ids: Vec<_> = self.going.iter().filter(|(_, g)| hit(g)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.end(now, id, false));
    }

    fn on_backpressure(&mut self, _now: Micros, _link: ConnectionId, _crowded: bool, _out: &mut Effects) {}

    fn on_timer(&mut self, now: Micros, _key: u64, effects: &mut Effects) {
        self.arrive(now, effects);
    }

    fn on_iteration(&mut self, _now: Micros, _out: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, _out: &mut Effects) {
        self.next = self.planned.len();
        self.going.clear();
    }

    fn is_finished(&self) -> bool {
        self.next == self.planned.len() && self.going.is_empty()
    }
}
