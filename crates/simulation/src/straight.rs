//! The same load straight to the stand-ins, with no router between: a client that knows the workers and sends
//! each submission to a reader, the next one or by a [`Way`](crate::choosers::Way), and a writer beside it. It shows
//! what the way itself takes, so that what a router adds can be told, and how plain ways to choose spread it.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tideroute_config_language::kinds::Load as Record;
use tideroute_wire::link::{Link, Loss, Outbox, Program};
use tideroute_wire::worker::{self, How};
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
    links: BTreeMap<Address, Link>,
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
            links: BTreeMap::new(),
            going: BTreeMap::new(),
            streams: BTreeMap::new(),
            ended: 0,
            failed: 0,
        }
    }

    /// Makes the submissions whose time has come: a read, and a place ahead at the writer of the reader's cell
    /// with the fewest streams.
    fn arrive(&mut self, now: Micros, out: &mut Outbox) {
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
            let read = worker::read(
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
            out.send(self.links[&reader], read);
            out.send(self.links[&writer], worker::hold(id, p.prompt_tokens, p.most_tokens, reader));
        }
        if let Some(p) = self.planned.get(self.next) {
            out.ring(self.began + p.at, 0);
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
    out: &'a mut Outbox,
}

impl worker::Router for Ear<'_> {
    fn hold_answer(&mut self, _id: u64, _held: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn read_done(&mut self, id: u64, _shot: u16, _kept: u32, _bytes: u64) -> Result<(), Malformed> {
        self.straight.read(self.now, id);
        let (s, out) = (&self.straight, &mut *self.out);
        let (Some(going), Some(p)) = (s.going.get(&id), s.planned.get(id as usize - 1)) else {
            return Ok(());
        };
        let write = worker::write(
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
        out.send(s.links[&going.writer], write);
        Ok(())
    }

    fn token(&mut self, _id: u64, _shot: u16, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        Ok(())
    }

    fn finished(&mut self, id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        self.straight.end(self.now, id, true);
        Ok(())
    }

    fn ended(&mut self, id: u64, _shot: u16, _how: How) -> Result<(), Malformed> {
        self.straight.end(self.now, id, false);
        Ok(())
    }

    fn probed(&mut self, _nonce: u64, _reads: u32, _streams: u32, _waiting: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

/// There is one such client at its workers.
const ORIGIN: tideroute_wire::Origin = 1;

impl Program for Straight {
    fn begin(&mut self, now: Micros, out: &mut Outbox) {
        self.began = now;
        for worker in &self.workers {
            let link = out.dial(worker.address, DIAL);
            out.send(link, say_router("straight", ORIGIN));
            self.links.insert(worker.address, link);
        }
        self.arrive(now, out);
    }

    fn accepted(&mut self, _now: Micros, link: Link, _door: usize, out: &mut Outbox) {
        out.close(link, "listens to nobody");
    }

    fn opened(&mut self, _now: Micros, _link: Link, _out: &mut Outbox) {}

    fn heard(&mut self, now: Micros, link: Link, frame: &Bytes, out: &mut Outbox) {
        if let Err(problem) = worker::hear_worker(frame, &mut Ear { straight: self, now, out }) {
            tracing::error!(%problem, link = link.0, "a worker breaks the protocol");
        }
    }

    fn lost(&mut self, now: Micros, link: Link, _loss: Loss, _out: &mut Outbox) {
        let lost = self.links.iter().find(|(_, l)| **l == link).map(|(at, _)| *at);
        let hit = |g: &Going| Some(g.reader) == lost || Some(g.writer) == lost;
        let ids: Vec<_> = self.going.iter().filter(|(_, g)| hit(g)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.end(now, id, false));
    }

    fn crowded(&mut self, _now: Micros, _link: Link, _crowded: bool, _out: &mut Outbox) {}

    fn rang(&mut self, now: Micros, _key: u64, out: &mut Outbox) {
        self.arrive(now, out);
    }

    fn turn(&mut self, _now: Micros, _out: &mut Outbox) {}

    fn stop(&mut self, _now: Micros, _out: &mut Outbox) {
        self.next = self.planned.len();
        self.going.clear();
    }

    fn done(&self) -> bool {
        self.next == self.planned.len() && self.going.is_empty()
    }
}
