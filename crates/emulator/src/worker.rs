//! A worker's connections, its script and its capacity; the work itself is in `reading.rs` and `writing.rs`.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use tideroute_wire::endpoint_list::EndpointStatus;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{
    endpoint_list, say_hello, state_transfer, worker, Address, GlobalRequestId, Malformed, Micros, Origin,
    Party,
};

use crate::reading::Reading;
use crate::writing::Writing;

/// Microseconds: how long a dial to the list or to a reader may take, and the pause before the next one.
const DIAL: Micros = 250_000;
/// Microseconds: how long a fetch waits for its read to come, which travels on another connection.
const EARLY_FETCH: Micros = 100_000;
/// Fetches that may wait so.
const EARLY_FETCHES: usize = 1024;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Does {
    Read,
    Write,
    Both,
}

/// What a script may do to a worker.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Trouble {
    /// Turns all new work away, or no longer.
    Refuse(bool),
    /// Answers all new work with a fault, or no longer.
    Fault(bool),
    /// Takes so many times as long for everything.
    Slow(f64),
    /// Keeps its connections and says nothing any more; what it held is lost.
    Silent,
    /// Ends at once, as a crash does.
    Die,
    /// Tells the list that it drains, takes nothing new and finishes what it has.
    Drain,
    /// Breaks a byte of each chunk of a state that it sends, or no longer.
    Corrupt(bool),
}

#[derive(Clone, Debug)]
pub struct WorkerTerms {
    pub name: String,
    pub address: Address,
    pub list: Address,
    pub does: Does,
    pub kind: u16,
    pub size: f64,
    pub cell: u16,
    pub zone: u8,
    /// It is taken for one that has run for long.
    pub warm: bool,
    pub reads_at_once: usize,
    pub reads_waiting: usize,
    /// Prompt tokens a second of one read.
    pub read_rate: f64,
    pub streams_at_once: usize,
    pub streams_waiting: usize,
    /// Between two tokens of a stream.
    pub token_gap: Micros,
    pub state_bytes_a_token: u32,
    /// What it can do when it has just started, as a part of what it can do warm, and how long it takes.
    pub cold_share: f64,
    pub warm_after: Micros,
    /// Sent more than this multiple of what it can do, for so long, it falls over while it is cold.
    pub fall_multiple: f64,
    pub fall_span: Micros,
    /// Shared texts whose reading it keeps.
    pub keeps: usize,
    /// What goes wrong, and how long after its start.
    pub script: Vec<(Micros, Trouble)>,
}

impl WorkerTerms {
    /// Tokens a second that it can do warm: read ones, or written ones.
    pub fn rate(&self) -> f64 {
        match self.does {
            Does::Read => self.read_rate * self.reads_at_once as f64,
            _ => self.streams_at_once as f64 * 1e6 / self.token_gap.max(1) as f64,
        }
    }
}

/// What a timer is for: its kind stands in the top byte of the key, what it concerns beneath.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timer {
    Script,
    List,
    Read,
    Token,
    EarlyFetch,
}

pub(crate) fn key(timer: Timer, serial: u64) -> u64 {
    (timer as u64) << 56 | serial
}

/// What reading and writing share: terms, time and the way out.
pub(crate) struct Bench {
    pub terms: WorkerTerms,
    pub began: Micros,
    pub slow: f64,
    pub refuses: bool,
    pub faults: bool,
    pub corrupts: bool,
    pub draining: bool,
    pub fallen: bool,
    serial: u64,
    /// Work that reached it lately, with its time.
    pressure: VecDeque<(Micros, f64)>,
    pressed: f64,
}

impl Bench {
    /// What part of its warm capacity it has now.
    pub fn capacity(&self, now: Micros) -> f64 {
        let t = &self.terms;
        let age = now.saturating_sub(self.began) as f64 / t.warm_after.max(1) as f64;
        if t.warm {
            return 1.0;
        }
        t.cold_share + (1.0 - t.cold_share) * age.min(1.0)
    }

    /// How long something takes that a warm and healthy worker does in `time`.
    pub fn stretched(&self, now: Micros, time: f64) -> Micros {
        (time * self.slow / self.capacity(now)) as Micros
    }

    pub fn serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Work reached it, taken or not. Too much of it while it is cold makes it fall over.
    pub fn press(&mut self, now: Micros, work: f64) {
        self.pressure.push_back((now, work));
        self.pressed += work;
        let since = now.saturating_sub(self.terms.fall_span);
        while let Some((_, old)) = self.pressure.pop_front_if(|(at, _)| *at < since) {
            self.pressed -= old;
        }
        let able = self.capacity(now);
        let span = self.terms.fall_span as f64 / 1e6;
        if able < 1.0 && self.pressed > self.terms.fall_multiple * able * self.terms.rate() * span {
            tracing::warn!(name = self.terms.name, pressed = self.pressed, "falls over");
            self.fallen = true;
        }
    }

    pub fn takes_new(&self) -> bool {
        !self.refuses && !self.draining
    }
}

/// Who is at the other end of a link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Peer {
    /// Has not said Hello.
    Unknown,
    /// A router, with what tells its ids from another's.
    Router(Origin),
    /// A writer that fetches from here.
    Fetcher,
    /// A reader that is fetched from.
    Reader(Address),
    List,
}

pub struct Worker {
    pub(crate) bench: Bench,
    pub(crate) reading: Reading,
    pub(crate) writing: Writing,
    peers: BTreeMap<ConnectionId, Peer>,
    readers: BTreeMap<Address, ConnectionId>,
    early: VecDeque<(u64, ConnectionId, GlobalRequestId)>,
    list: Option<ConnectionId>,
    silent: bool,
    stopping: bool,
}

impl Worker {
    /// A worker whose process starts now.
    pub fn new(terms: WorkerTerms, now: Micros) -> Worker {
        let bench = Bench {
            terms,
            began: now,
            slow: 1.0,
            refuses: false,
            faults: false,
            corrupts: false,
            draining: false,
            fallen: false,
            serial: 0,
            pressure: VecDeque::new(),
            pressed: 0.0,
        };
        Worker {
            bench,
            reading: Reading::default(),
            writing: Writing::default(),
            peers: BTreeMap::new(),
            readers: BTreeMap::new(),
            early: VecDeque::new(),
            list: None,
            silent: false,
            stopping: false,
        }
    }

    fn say_here(&mut self, effects: &mut Effects) {
        let Some(connection) = self.list else { return };
        let t = &self.bench.terms;
        let standing = if self.bench.draining { EndpointStatus::Draining } else { EndpointStatus::Serving };
        let started = if t.warm { 0 } else { self.bench.began };
        effects.send(
            connection,
            endpoint_list::register(t.address, t.kind, t.size, standing, t.cell, t.zone, started),
        );
    }

    fn call_list(&mut self, effects: &mut Effects) {
        let connection = effects.connect(self.bench.terms.list, DIAL);
        self.peers.insert(connection, Peer::List);
        self.list = Some(connection);
        effects.send(connection, say_hello(Party::Worker, &self.bench.terms.name));
        self.say_here(effects);
    }

    /// The connection to a reader, dialled if there is none.
    pub(crate) fn reader(&mut self, at: Address, effects: &mut Effects) -> ConnectionId {
        *self.readers.entry(at).or_insert_with(|| {
            let connection = effects.connect(at, DIAL);
            self.peers.insert(connection, Peer::Reader(at));
            effects.send(connection, say_hello(Party::Worker, &self.bench.terms.name));
            connection
        })
    }

    fn follow(&mut self, trouble: Trouble, effects: &mut Effects) {
        tracing::info!(name = self.bench.terms.name, ?trouble, "its script says");
        match trouble {
            Trouble::Refuse(refuse) => self.bench.refuses = refuse,
            Trouble::Fault(fault) => self.bench.faults = fault,
            Trouble::Slow(times) => self.bench.slow = times.max(0.01),
            Trouble::Corrupt(corrupt) => self.bench.corrupts = corrupt,
            Trouble::Die => effects.crash(),
            Trouble::Silent => {
                self.silent = true;
                (self.reading, self.writing) = (Reading::default(), Writing::default());
            }
            Trouble::Drain => {
                self.bench.draining = true;
                self.say_here(effects);
            }
        }
    }

    /// A fetch for a read that is not here yet waits for it a little while.
    fn fetch(&mut self, now: Micros, connection: ConnectionId, id: GlobalRequestId, effects: &mut Effects) {
        if self.reading.fetch(connection, id, &self.bench, effects) {
            return;
        }
        if self.early.len() >= EARLY_FETCHES {
            return effects.send(connection, state_transfer::missing(id));
        }
        let serial = self.bench.serial();
        self.early.push_back((serial, connection, id));
        effects.set_timer(now + EARLY_FETCH, key(Timer::EarlyFetch, serial));
    }

    fn route(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        frame: &Bytes,
        effects: &mut Effects,
    ) -> Result<(), Malformed> {
        match self.peers.get(&connection).copied() {
            Some(Peer::Unknown) => {
                let (party, ..) = tideroute_wire::first(frame)?;
                let peer = match party {
                    Party::Router => Peer::Router(tideroute_wire::origin_of(frame)?),
                    Party::Worker => Peer::Fetcher,
                    Party::Client => return Err(Malformed::Range("party")),
                };
                self.peers.insert(connection, peer);
                Ok(())
            }
            Some(Peer::Router(origin)) => worker::receive_from_router(
                frame,
                &mut RouterLink { worker: self, now, connection, origin, effects },
            ),
            Some(Peer::Fetcher) => state_transfer::receive_from_fetcher(
                frame,
                &mut FetcherLink { worker: self, now, connection, effects },
            ),
            Some(Peer::Reader(_)) => {
                state_transfer::receive_from_source(frame, &mut ReaderLink { worker: self, now, effects })
            }
            Some(Peer::List) => Err(Malformed::Order("a word from the list")),
            None => Ok(()),
        }
    }
}

impl EventHandler for Worker {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.call_list(effects);
        for (place, (after, _)) in self.bench.terms.script.iter().enumerate() {
            effects.set_timer(now + after, key(Timer::Script, place as u64));
        }
    }

    fn on_accepted(&mut self, _now: Micros, connection: ConnectionId, _door: usize, _out: &mut Effects) {
        self.peers.insert(connection, Peer::Unknown);
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        if self.silent {
            return;
        }
        if let Err(problem) = self.route(now, connection, frame, effects) {
            tracing::warn!(name = self.bench.terms.name, %problem, "closes a connection");
            effects.close(connection, problem.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, effects);
        }
        if self.bench.fallen {
            effects.crash();
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        match self.peers.remove(&connection) {
            Some(Peer::List) => {
                self.list = None;
                effects.set_timer(now + DIAL, key(Timer::List, 0));
            }
            // What is held for a connection ends with it.
            Some(Peer::Router(_)) => {
                self.reading.router_lost(now, connection, &mut self.bench, effects);
                self.with_writing(|w, worker| w.router_lost(now, connection, worker, effects));
            }
            Some(Peer::Fetcher) => self.reading.fetcher_lost(connection),
            Some(Peer::Reader(at)) => {
                self.readers.remove(&at);
                self.with_writing(|w, worker| w.reader_lost(now, at, worker, effects));
            }
            Some(Peer::Unknown) | None => {}
        }
    }

    fn on_backpressure(
        &mut self,
        _now: Micros,
        connection: ConnectionId,
        crowded: bool,
        effects: &mut Effects,
    ) {
        self.reading.crowded(connection, crowded, &self.bench, effects);
    }

    fn on_timer(&mut self, now: Micros, timer: u64, effects: &mut Effects) {
        let (kind, what) = (timer >> 56, timer & ((1 << 56) - 1));
        if self.silent && kind != Timer::Script as u64 {
            return;
        }
        if kind == Timer::Script as u64 {
            let trouble = self.bench.terms.script.get(what as usize).map(|(_, trouble)| *trouble);
            if let Some(trouble) = trouble {
                self.follow(trouble, effects);
            }
        } else if kind == Timer::List as u64 {
            self.call_list(effects);
        } else if kind == Timer::Read as u64 {
            if !self.reading.rang(now, what, &mut self.bench, effects) {
                self.with_writing(|w, worker| w.read_alone(now, what, worker, effects));
            }
        } else if kind == Timer::Token as u64 {
            self.with_writing(|w, worker| w.rang(now, what, worker, effects));
        } else if let Some(at) = self.early.iter().position(|(serial, ..)| *serial == what) {
            if let Some((_, connection, id)) = self.early.remove(at) {
                effects.send(connection, state_transfer::missing(id));
            }
        }
    }

    fn on_iteration(&mut self, _now: Micros, _out: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, effects: &mut Effects) {
        self.stopping = true;
        self.follow(Trouble::Drain, effects);
    }

    fn is_finished(&self) -> bool {
        self.stopping && (self.silent || self.reading.is_empty() && self.writing.is_empty())
    }
}

impl Worker {
    /// Writing needs the rest of the worker beside it: the readers that it fetches from.
    fn with_writing(&mut self, call: impl FnOnce(&mut Writing, &mut Worker)) {
        let mut writing = std::mem::take(&mut self.writing);
        call(&mut writing, self);
        self.writing = writing;
    }
}

struct RouterLink<'a> {
    worker: &'a mut Worker,
    now: Micros,
    connection: ConnectionId,
    origin: Origin,
    effects: &'a mut Effects,
}

impl worker::Worker for RouterLink<'_> {
    fn prefill(
        &mut self,
        id: u64,
        shot: u16,
        _track: u8,
        _session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        _left: Micros,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        let id = (self.origin, id);
        let RouterLink { worker, now, connection, effects, .. } = self;
        if worker.bench.terms.does == Does::Write {
            effects.send(*connection, worker::attempt_ended(id.1, shot, worker::AttemptFailure::ServerError));
            return Ok(());
        }
        worker.bench.press(*now, f64::from(prompt_tokens));
        let taken = worker.reading.read(
            *now,
            *connection,
            id,
            shot,
            prefix,
            prompt_tokens,
            prefix_tokens,
            &prompt,
            &mut worker.bench,
            effects,
        );
        if taken {
            let early = |(_, _, wanted): &(u64, ConnectionId, GlobalRequestId)| *wanted == id;
            if let Some(at) = worker.early.iter().position(early) {
                if let Some((_, fetcher, _)) = worker.early.remove(at) {
                    worker.reading.fetch(fetcher, id, &worker.bench, effects);
                }
            }
        }
        Ok(())
    }

    fn reserve(
        &mut self,
        id: u64,
        _prompt_tokens: u32,
        most_tokens: u32,
        reader: Address,
    ) -> Result<(), Malformed> {
        let (now, connection, id) = (self.now, self.connection, (self.origin, id));
        self.worker
            .with_writing(|w, worker| w.hold(now, connection, id, most_tokens, reader, worker, self.effects));
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        shot: u16,
        _track: u8,
        prompt_tokens: u32,
        most_tokens: u32,
        _left: Micros,
        _mark: u64,
        reader: Option<Address>,
        window: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        let (now, connection, id, effects) =
            (self.now, self.connection, (self.origin, id), &mut *self.effects);
        self.worker.bench.press(now, f64::from(most_tokens));
        self.worker.with_writing(|w, worker| {
            w.write(
                now,
                connection,
                id,
                shot,
                prompt_tokens,
                most_tokens,
                reader,
                window,
                &prompt,
                worker,
                effects,
            );
        });
        Ok(())
    }

    fn release(&mut self, id: u64) -> Result<(), Malformed> {
        let (now, id, effects) = (self.now, (self.origin, id), &mut *self.effects);
        self.worker.reading.let_go(id);
        self.worker.with_writing(|w, worker| w.let_go(now, id, worker, effects));
        Ok(())
    }

    fn cancel(&mut self, id: u64, shot: u16) -> Result<(), Malformed> {
        let (now, id, effects) = (self.now, (self.origin, id), &mut *self.effects);
        self.worker.reading.withdraw(now, id, shot, &mut self.worker.bench, effects);
        self.worker.with_writing(|w, worker| w.withdraw(now, id, shot, worker, effects));
        Ok(())
    }

    fn check_health(&mut self, nonce: u64) -> Result<(), Malformed> {
        let (reads, read_queue) = self.worker.reading.load();
        let (streams, queue) = self.worker.writing.load();
        self.effects
            .send(self.connection, worker::health_reported(nonce, reads, streams, read_queue + queue));
        Ok(())
    }

    fn grant_tokens(&mut self, id: u64, shot: u16, tokens: u32) -> Result<(), Malformed> {
        let (now, id, effects) = (self.now, (self.origin, id), &mut *self.effects);
        self.worker.with_writing(|w, worker| w.more(now, id, shot, tokens, worker, effects));
        Ok(())
    }
}

struct FetcherLink<'a> {
    worker: &'a mut Worker,
    now: Micros,
    connection: ConnectionId,
    effects: &'a mut Effects,
}

impl state_transfer::Reader for FetcherLink<'_> {
    fn fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        self.worker.fetch(self.now, self.connection, id, self.effects);
        Ok(())
    }

    fn fetched(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        self.worker.reading.let_go(id);
        Ok(())
    }

    fn cancel_fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        self.worker.reading.unfetch(self.connection, id);
        Ok(())
    }
}

struct ReaderLink<'a> {
    worker: &'a mut Worker,
    now: Micros,
    effects: &'a mut Effects,
}

impl state_transfer::Fetcher for ReaderLink<'_> {
    fn chunk(&mut self, id: GlobalRequestId, offset: u64, part: Bytes, crc: u32) -> Result<(), Malformed> {
        let (now, effects) = (self.now, &mut *self.effects);
        self.worker.with_writing(|w, worker| w.chunk(now, id, offset, &part, crc, worker, effects));
        Ok(())
    }

    fn complete(&mut self, id: GlobalRequestId, state_bytes: u64, crc: u32) -> Result<(), Malformed> {
        let (now, effects) = (self.now, &mut *self.effects);
        self.worker.with_writing(|w, worker| w.whole(now, id, state_bytes, crc, worker, effects));
        Ok(())
    }

    fn missing(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        let (now, effects) = (self.now, &mut *self.effects);
        self.worker.with_writing(|w, worker| w.missing(now, id, worker, effects));
        Ok(())
    }
}
