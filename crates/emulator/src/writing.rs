//! Places held, states being fetched and answers being written.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{state_transfer, worker, Address, GlobalRequestId, Micros};

use crate::state;
use crate::worker::{key, Does, Timer, Worker};

/// Where a state has come to.
enum State {
    /// Not asked for yet.
    None,
    Coming(BytesMut),
    /// The checksum of all of it, which the answer follows from.
    Here(u32),
    /// There was none, or it broke on the way.
    Lost,
}

struct Write {
    router: ConnectionId,
    /// None while only a place is held.
    shot: Option<u16>,
    serial: u64,
    reader: Option<Address>,
    most_tokens: u32,
    prompt_tokens: u32,
    /// The prompt's state, for a mixed worker that reads it itself.
    own: Option<u32>,
    waits: bool,
    state: State,
    /// Tokens sent, and sent but not yet taken by the client.
    sent: u32,
    under_way: u32,
    window: u32,
    paused: bool,
}

#[derive(Default)]
pub struct Writing {
    writes: BTreeMap<GlobalRequestId, Write>,
    by_serial: BTreeMap<u64, GlobalRequestId>,
    waiting: VecDeque<GlobalRequestId>,
}

impl Writing {
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Slots taken, and answers that wait for one.
    pub fn load(&self) -> (u32, u32) {
        (self.taken() as u32, self.waiting.len() as u32)
    }

    fn taken(&self) -> usize {
        self.writes.len() - self.waiting.len()
    }

    /// Holds a slot ahead if one is free at once, and begins to fetch the state that is being read.
    pub fn hold(
        &mut self,
        now: Micros,
        router: ConnectionId,
        id: GlobalRequestId,
        most_tokens: u32,
        reader: Address,
        worker: &mut Worker,
        effects: &mut Effects,
    ) {
        let terms = &worker.bench.terms;
        let free = self.taken() < terms.streams_at_once && self.waiting.is_empty();
        let held =
            free && terms.does != Does::Read && worker.bench.takes_new() && !self.writes.contains_key(&id);
        effects.send(router, worker::reservation_answered(id.1, held));
        if held {
            self.insert(router, id, None, 0, most_tokens, Some(reader), 0, worker);
            self.fetch(now, id, worker, effects);
        }
    }

    pub fn write(
        &mut self,
        now: Micros,
        router: ConnectionId,
        id: GlobalRequestId,
        shot: u16,
        prompt_tokens: u32,
        most_tokens: u32,
        reader: Option<Address>,
        window: u32,
        prompt: &Bytes,
        worker: &mut Worker,
        effects: &mut Effects,
    ) {
        let terms = &worker.bench.terms;
        let mut end = |how| effects.send(router, worker::attempt_ended(id.1, shot, how));
        if worker.bench.faults || terms.does == Does::Read {
            self.remove(id);
            return end(worker::AttemptFailure::ServerError);
        }
        if let Some(write) = self.writes.get_mut(&id).filter(|w| w.shot.is_none() && w.router == router) {
            (write.shot, write.window) = (Some(shot), window.max(1));
            return self.go_on(now, id, worker, effects);
        }
        let full = self.taken() >= terms.streams_at_once && self.waiting.len() >= terms.streams_waiting;
        if !worker.bench.takes_new() || full || self.writes.contains_key(&id) {
            return end(worker::AttemptFailure::Rejected);
        }
        if reader.is_none() && terms.does != Does::Both {
            return end(worker::AttemptFailure::StateMissing);
        }
        let bytes_a_token = terms.state_bytes_a_token;
        self.insert(router, id, Some(shot), prompt_tokens, most_tokens, reader, window.max(1), worker);
        if let Some(write) = self.writes.get_mut(&id).filter(|w| w.reader.is_none()) {
            write.own = Some(crc32fast::hash(&state::make(prompt, prompt_tokens, bytes_a_token)));
        }
        if let Some(write) = self.writes.get_mut(&id) {
            write.waits = true;
            self.waiting.push_back(id);
        }
        self.start(now, worker, effects);
    }

    fn insert(
        &mut self,
        router: ConnectionId,
        id: GlobalRequestId,
        shot: Option<u16>,
        prompt_tokens: u32,
        most_tokens: u32,
        reader: Option<Address>,
        window: u32,
        worker: &mut Worker,
    ) {
        let serial = worker.bench.serial();
        self.by_serial.insert(serial, id);
        let write = Write {
            router,
            shot,
            serial,
            reader,
            most_tokens,
            prompt_tokens,
            own: None,
            waits: false,
            state: State::None,
            sent: 0,
            under_way: 0,
            window,
            paused: false,
        };
        self.writes.insert(id, write);
    }

    /// Gives free slots to what waits.
    fn start(&mut self, now: Micros, worker: &mut Worker, effects: &mut Effects) {
        while self.taken() < worker.bench.terms.streams_at_once {
            let Some(id) = self.waiting.pop_front() else { return };
            let Some(write) = self.writes.get_mut(&id) else { continue };
            write.waits = false;
            if write.own.is_some() {
                let time = f64::from(write.prompt_tokens) / worker.bench.terms.read_rate * 1e6;
                let takes = worker.bench.stretched(now, time);
                effects.set_timer(now + takes, key(Timer::Read, write.serial));
            } else {
                self.fetch(now, id, worker, effects);
            }
        }
    }

    fn fetch(&mut self, _now: Micros, id: GlobalRequestId, worker: &mut Worker, effects: &mut Effects) {
        let Some(write) = self.writes.get_mut(&id) else { return };
        let Some(reader) = write.reader else { return };
        write.state = State::Coming(BytesMut::new());
        let connection = worker.reader(reader, effects);
        effects.send(connection, state_transfer::fetch(id));
    }

    /// A mixed worker has read a prompt itself.
    pub fn read_alone(&mut self, now: Micros, serial: u64, worker: &mut Worker, effects: &mut Effects) {
        let Some(&id) = self.by_serial.get(&serial) else { return };
        let Some(write) = self.writes.get_mut(&id) else { return };
        if let Some(crc) = write.own {
            write.state = State::Here(crc);
            self.go_on(now, id, worker, effects);
        }
    }

    pub fn chunk(
        &mut self,
        now: Micros,
        id: GlobalRequestId,
        offset: u64,
        part: &Bytes,
        crc: u32,
        worker: &mut Worker,
        effects: &mut Effects,
    ) {
        let Some(Write { state: State::Coming(got), .. }) = self.writes.get_mut(&id) else { return };
        if offset == got.len() as u64 && crc32fast::hash(part) == crc {
            got.extend_from_slice(part);
        } else {
            tracing::debug!(id = id.1, offset, "a chunk of a state is broken; the state is not used");
            self.missing(now, id, worker, effects);
        }
    }

    pub fn whole(
        &mut self,
        now: Micros,
        id: GlobalRequestId,
        state_bytes: u64,
        crc: u32,
        worker: &mut Worker,
        effects: &mut Effects,
    ) {
        let Some(write) = self.writes.get_mut(&id) else { return };
        let State::Coming(got) = &write.state else { return };
        if got.len() as u64 != state_bytes || crc32fast::hash(got) != crc {
            return self.missing(now, id, worker, effects);
        }
        write.state = State::Here(crc);
        if let Some(reader) = write.reader {
            let connection = worker.reader(reader, effects);
            effects.send(connection, state_transfer::fetched(id));
        }
        self.go_on(now, id, worker, effects);
    }

    /// The state will not come.
    pub fn missing(&mut self, now: Micros, id: GlobalRequestId, worker: &mut Worker, effects: &mut Effects) {
        let Some(write) = self.writes.get_mut(&id) else { return };
        if matches!(write.state, State::Coming(_)) {
            write.state = State::Lost;
            self.go_on(now, id, worker, effects);
        }
    }

    /// Takes the next step of an answer whose send and state are both here.
    fn go_on(&mut self, now: Micros, id: GlobalRequestId, worker: &mut Worker, effects: &mut Effects) {
        let Some(write) = self.writes.get_mut(&id) else { return };
        let Some(shot) = write.shot else { return };
        match write.state {
            State::Lost => {
                effects.send(
                    write.router,
                    worker::attempt_ended(id.1, shot, worker::AttemptFailure::StateMissing),
                );
                self.remove(id);
                self.start(now, worker, effects);
            }
            State::Here(_) => {
                let gap = worker.bench.stretched(now, worker.bench.terms.token_gap as f64);
                effects.set_timer(now + gap, key(Timer::Token, write.serial));
            }
            State::None | State::Coming(_) => {}
        }
    }

    /// A token's time has come.
    pub fn rang(&mut self, now: Micros, serial: u64, worker: &mut Worker, effects: &mut Effects) {
        let Some(&id) = self.by_serial.get(&serial) else { return };
        let Some(write) = self.writes.get_mut(&id) else { return };
        let (Some(shot), State::Here(crc)) = (write.shot, &write.state) else { return };
        if write.under_way >= write.window {
            write.paused = true;
            return;
        }
        let text = Bytes::copy_from_slice(&state::text(*crc, write.sent));
        effects.send(write.router, worker::token(id.1, shot, write.sent, text));
        (write.sent, write.under_way) = (write.sent + 1, write.under_way + 1);
        if write.sent == state::answer_tokens(*crc, write.most_tokens) {
            effects.send(write.router, worker::completed(id.1, shot, write.sent));
            self.remove(id);
            return self.start(now, worker, effects);
        }
        let gap = worker.bench.stretched(now, worker.bench.terms.token_gap as f64);
        effects.set_timer(now + gap, key(Timer::Token, serial));
    }

    /// The client has taken so many tokens.
    pub fn more(
        &mut self,
        now: Micros,
        id: GlobalRequestId,
        shot: u16,
        tokens: u32,
        worker: &mut Worker,
        effects: &mut Effects,
    ) {
        let Some(write) = self.writes.get_mut(&id).filter(|w| w.shot == Some(shot)) else { return };
        write.under_way = write.under_way.saturating_sub(tokens);
        if std::mem::take(&mut write.paused) {
            let serial = write.serial;
            self.rang(now, serial, worker, effects);
        }
    }

    /// Lets go of a place that no send has taken.
    pub fn let_go(&mut self, now: Micros, id: GlobalRequestId, worker: &mut Worker, effects: &mut Effects) {
        if self.writes.get(&id).is_some_and(|w| w.shot.is_none()) {
            self.give_up(now, id, worker, effects);
        }
    }

    pub fn withdraw(
        &mut self,
        now: Micros,
        id: GlobalRequestId,
        shot: u16,
        worker: &mut Worker,
        effects: &mut Effects,
    ) {
        if self.writes.get(&id).is_some_and(|w| w.shot == Some(shot)) {
            self.give_up(now, id, worker, effects);
        }
    }

    pub fn router_lost(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        worker: &mut Worker,
        effects: &mut Effects,
    ) {
        let ids: Vec<_> =
            self.writes.iter().filter(|(_, w)| w.router == connection).map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| self.give_up(now, id, worker, effects));
    }

    pub fn reader_lost(&mut self, now: Micros, at: Address, worker: &mut Worker, effects: &mut Effects) {
        let fetched = |w: &Write| w.reader == Some(at) && matches!(w.state, State::Coming(_));
        let ids: Vec<_> = self.writes.iter().filter(|(_, w)| fetched(w)).map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| self.missing(now, id, worker, effects));
    }

    fn give_up(&mut self, now: Micros, id: GlobalRequestId, worker: &mut Worker, effects: &mut Effects) {
        let Some(write) = self.remove(id) else { return };
        if let (State::Coming(_), Some(reader)) = (&write.state, write.reader) {
            let connection = worker.reader(reader, effects);
            effects.send(connection, state_transfer::cancel_fetch(id));
        }
        self.start(now, worker, effects);
    }

    fn remove(&mut self, id: GlobalRequestId) -> Option<Write> {
        let write = self.writes.remove(&id)?;
        self.by_serial.remove(&write.serial);
        if write.waits {
            self.waiting.retain(|&w| w != id);
        }
        Some(write)
    }
}
