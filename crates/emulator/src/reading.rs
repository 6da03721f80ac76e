//! Prompts being read, and states that wait to be fetched.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{state_transfer, worker, GlobalRequestId, Micros};

use crate::state;
use crate::worker::{key, Bench, Timer};

/// A read passes in so many steps; after each, that part of the state can be fetched.
const STEPS: u32 = 4;
/// Bytes of one chunk of a state.
const CHUNK: usize = 16 << 10;

struct Read {
    router: ConnectionId,
    shot: u16,
    serial: u64,
    prefix: u64,
    prompt_tokens: u32,
    prefix_tokens: u32,
    state: Bytes,
    /// None while it waits.
    steps: Option<u32>,
    step_takes: Micros,
    kept: u32,
    /// Who fetches it, and the bytes sent so far.
    fetcher: Option<(ConnectionId, usize)>,
}

impl Read {
    fn done(&self) -> bool {
        self.steps == Some(STEPS)
    }

    /// Bytes of the state that there are by now.
    fn there(&self) -> usize {
        self.state.len() * self.steps.unwrap_or(0) as usize / STEPS as usize
    }
}

#[derive(Default)]
pub struct Reading {
    reads: BTreeMap<GlobalRequestId, Read>,
    by_serial: BTreeMap<u64, GlobalRequestId>,
    waiting: VecDeque<GlobalRequestId>,
    running: usize,
    kept: VecDeque<u64>,
    crowded: BTreeSet<ConnectionId>,
}

impl Reading {
    pub fn is_empty(&self) -> bool {
        self.reads.is_empty()
    }

    /// Reads that run and that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running as u32, self.waiting.len() as u32)
    }

    /// Whether the read was taken; if not, it was turned away.
    pub fn read(
        &mut self,
        now: Micros,
        router: ConnectionId,
        id: GlobalRequestId,
        shot: u16,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        prompt: &Bytes,
        bench: &mut Bench,
        effects: &mut Effects,
    ) -> bool {
        let full =
            self.waiting.len() >= bench.terms.reads_waiting && self.running >= bench.terms.reads_at_once;
        if !bench.takes_new() || full || self.reads.contains_key(&id) {
            effects.send(router, worker::attempt_ended(id.1, shot, worker::AttemptFailure::Rejected));
            return false;
        }
        if bench.faults {
            effects.send(router, worker::attempt_ended(id.1, shot, worker::AttemptFailure::ServerError));
            return false;
        }
        let serial = bench.serial();
        let state = state::make(prompt, prompt_tokens, bench.terms.state_bytes_a_token);
        let read = Read {
            router,
            shot,
            serial,
            prefix,
            prompt_tokens,
            prefix_tokens,
            state,
            steps: None,
            step_takes: 0,
            kept: 0,
            fetcher: None,
        };
        self.reads.insert(id, read);
        self.by_serial.insert(serial, id);
        self.waiting.push_back(id);
        self.start(now, bench, effects);
        true
    }

    /// Starts what waits while there is room.
    fn start(&mut self, now: Micros, bench: &mut Bench, effects: &mut Effects) {
        while self.running < bench.terms.reads_at_once {
            let Some(id) = self.waiting.pop_front() else { return };
            let Some(read) = self.reads.get_mut(&id) else { continue };
            let kept = read.prefix != 0 && self.kept.contains(&read.prefix);
            read.kept = if kept { read.prefix_tokens } else { 0 };
            let time = f64::from(read.prompt_tokens - read.kept) / bench.terms.read_rate * 1e6;
            read.step_takes = bench.stretched(now, time / f64::from(STEPS));
            read.steps = Some(0);
            self.running += 1;
            effects.set_timer(now + read.step_takes, key(Timer::Read, read.serial));
        }
    }

    /// One step of a read has passed; false if the timer was not a read's.
    pub fn rang(&mut self, now: Micros, serial: u64, bench: &mut Bench, effects: &mut Effects) -> bool {
        let Some(&id) = self.by_serial.get(&serial) else { return false };
        let Some(read) = self.reads.get_mut(&id) else { return true };
        let steps = read.steps.map_or(0, |s| s + 1).min(STEPS);
        read.steps = Some(steps);
        if steps < STEPS {
            effects.set_timer(now + read.step_takes, key(Timer::Read, serial));
        } else {
            let (router, prefix) = (read.router, read.prefix);
            let done = worker::prefill_completed(id.1, read.shot, read.kept, read.state.len() as u64);
            self.running -= 1;
            effects.send(router, done);
            if prefix != 0 && !self.kept.contains(&prefix) {
                self.kept.push_back(prefix);
                if self.kept.len() > bench.terms.keeps {
                    self.kept.pop_front();
                }
            }
            self.start(now, bench, effects);
        }
        self.pump(id, bench, effects);
        true
    }

    /// Sends the fetcher what there is and it has not got, unless it is not taking any.
    fn pump(&mut self, id: GlobalRequestId, bench: &Bench, effects: &mut Effects) {
        let Some(read) = self.reads.get_mut(&id) else { return };
        let (there, done) = (read.there(), read.done());
        let Some((connection, sent)) = read.fetcher.as_mut() else { return };
        while *sent < there && !self.crowded.contains(connection) {
            let end = (*sent + CHUNK).min(there);
            let mut part = read.state.slice(*sent..end);
            let crc = crc32fast::hash(&part);
            if bench.corrupts {
                let mut broken = BytesMut::from(&part[..]);
                broken[0] ^= 1;
                part = broken.freeze();
            }
            effects.send(*connection, state_transfer::chunk(id, *sent as u64, part, crc));
            *sent = end;
        }
        if done && *sent == read.state.len() {
            effects.send(
                *connection,
                state_transfer::complete(id, read.state.len() as u64, crc32fast::hash(&read.state)),
            );
        }
    }

    /// False if there is no such read.
    pub fn fetch(
        &mut self,
        connection: ConnectionId,
        id: GlobalRequestId,
        bench: &Bench,
        effects: &mut Effects,
    ) -> bool {
        let Some(read) = self.reads.get_mut(&id) else { return false };
        read.fetcher = Some((connection, 0));
        self.pump(id, bench, effects);
        true
    }

    pub fn unfetch(&mut self, connection: ConnectionId, id: GlobalRequestId) {
        if let Some(read) = self.reads.get_mut(&id) {
            read.fetcher.take_if(|(l, _)| *l == connection);
        }
    }

    pub fn fetcher_lost(&mut self, connection: ConnectionId) {
        self.crowded.remove(&connection);
        for read in self.reads.values_mut() {
            read.fetcher.take_if(|(l, _)| *l == connection);
        }
    }

    pub fn crowded(&mut self, connection: ConnectionId, crowded: bool, bench: &Bench, effects: &mut Effects) {
        if crowded {
            self.crowded.insert(connection);
        } else if self.crowded.remove(&connection) {
            let mine = |r: &Read| r.fetcher.is_some_and(|(l, sent)| l == connection && sent < r.there());
            let ids: Vec<_> = self.reads.iter().filter(|(_, r)| mine(r)).map(|(&id, _)| id).collect();
            ids.into_iter().for_each(|id| self.pump(id, bench, effects));
        }
    }

    /// Lets go of a state that waits.
    pub fn let_go(&mut self, id: GlobalRequestId) {
        if self.reads.get(&id).is_some_and(Read::done) {
            self.remove(id);
        }
    }

    pub fn withdraw(
        &mut self,
        now: Micros,
        id: GlobalRequestId,
        shot: u16,
        bench: &mut Bench,
        effects: &mut Effects,
    ) {
        if self.reads.get(&id).is_some_and(|r| r.shot == shot) {
            self.remove(id);
            self.start(now, bench, effects);
        }
    }

    pub fn router_lost(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bench: &mut Bench,
        effects: &mut Effects,
    ) {
        let ids: Vec<_> =
            self.reads.iter().filter(|(_, r)| r.router == connection).map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| self.remove(id));
        self.start(now, bench, effects);
    }

    fn remove(&mut self, id: GlobalRequestId) {
        let Some(read) = self.reads.remove(&id) else { return };
        self.by_serial.remove(&read.serial);
        match read.steps {
            None => self.waiting.retain(|&w| w != id),
            Some(STEPS) => {}
            Some(_) => self.running -= 1,
        }
    }
}
