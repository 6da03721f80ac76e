//! The list of workers: knows whether a process runs and tells routers so, some time later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use tideroute_wire::endpoint_list::{self, EndpointStatus, Page};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{Address, Malformed, Micros, Party};

/// Changes that a router may have missed and still be told one by one.
const HISTORY: usize = 4096;
/// Microseconds: a list that has just started tells nobody anything until its workers had time to call; told
/// at once, routers would take those that have not called yet for gone.
const SETTLES: Micros = 600_000;
/// Timers' keys: a change to publish, the first word to those who watch, or a line of the script.
const PUBLISH: u64 = 0;
const SETTLED: u64 = 1;
const SCRIPT: u64 = 2;

#[derive(Clone, Debug)]
pub struct ListTerms {
    /// How long after a change routers are told of it.
    pub lag: Micros,
    /// From when on, after the start, the lag is another.
    pub script: Vec<(Micros, Micros)>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
struct Entry {
    worker: Address,
    kind: u16,
    size: f64,
    standing: EndpointStatus,
    cell: u16,
    zone: u8,
    started: Micros,
}

impl Entry {
    fn add_to(&self, page: &mut Page) {
        page.add(self.worker, self.kind, self.size, self.standing, self.cell, self.zone, self.started);
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Peer {
    Unknown,
    /// With the worker that it has named.
    Worker(Option<Address>),
    Router,
}

pub struct List {
    terms: ListTerms,
    lag: Micros,
    peers: BTreeMap<ConnectionId, Peer>,
    watchers: BTreeSet<ConnectionId>,
    /// Which link speaks for a worker: one that came back does so on a new one.
    speaks: BTreeMap<Address, ConnectionId>,
    /// What has happened and is not yet told, with its time to be.
    pending: VecDeque<(Micros, Entry)>,
    told: BTreeMap<Address, Entry>,
    history: VecDeque<Entry>,
    version: u64,
    /// Watchers that came before it had settled, with what they have; None once it has.
    early: Option<Vec<(ConnectionId, u64)>>,
    stopping: bool,
}

impl List {
    pub fn new(terms: ListTerms) -> List {
        List {
            lag: terms.lag,
            terms,
            peers: BTreeMap::new(),
            watchers: BTreeSet::new(),
            speaks: BTreeMap::new(),
            pending: VecDeque::new(),
            told: BTreeMap::new(),
            history: VecDeque::new(),
            version: 0,
            early: Some(vec![]),
            stopping: false,
        }
    }

    fn changed(&mut self, now: Micros, entry: Entry, effects: &mut Effects) {
        // One by one and in order, also when the lag has become shorter meanwhile.
        let at = self.pending.back().map_or(0, |(at, _)| *at).max(now + self.lag);
        self.pending.push_back((at, entry));
        effects.set_timer(at, PUBLISH);
    }

    fn publish(&mut self, now: Micros, effects: &mut Effects) {
        let mut fresh = Vec::new();
        while let Some((_, entry)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.version += 1;
            self.told.insert(entry.worker, entry);
            self.history.push_back(entry);
            fresh.push(entry);
        }
        while self.history.len() > HISTORY {
            self.history.pop_front();
        }
        if fresh.is_empty() {
            return;
        }
        let mut page = Page::new(self.version, false);
        fresh.iter().for_each(|e| e.add_to(&mut page));
        let frame = page.frame();
        self.watchers.iter().for_each(|&connection| effects.send(connection, frame.clone()));
    }

    fn watch(&mut self, connection: ConnectionId, have: u64, effects: &mut Effects) {
        if let Some(early) = self.early.as_mut() {
            return early.push((connection, have));
        }
        self.watchers.insert(connection);
        let missed = self.version.checked_sub(have).filter(|&m| have > 0 && m <= self.history.len() as u64);
        let mut page = Page::new(self.version, missed.is_none());
        match missed {
            Some(0) => return,
            Some(missed) => {
                let skip = self.history.len() - missed as usize;
                self.history.iter().skip(skip).for_each(|e| e.add_to(&mut page));
            }
            None => {
                let there = |e: &&Entry| e.standing != EndpointStatus::Removed;
                self.told.values().filter(there).for_each(|e| e.add_to(&mut page));
            }
        }
        effects.send(connection, page.frame());
    }

    fn route(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        frame: &Bytes,
        effects: &mut Effects,
    ) -> Result<(), Malformed> {
        if self.peers.get(&connection) != Some(&Peer::Unknown) {
            return endpoint_list::receive_from_caller(
                frame,
                &mut Caller { list: self, now, connection, effects },
            );
        }
        let peer = match tideroute_wire::first(frame)?.0 {
            Party::Worker => Peer::Worker(None),
            Party::Router => Peer::Router,
            Party::Client => return Err(Malformed::Range("party")),
        };
        self.peers.insert(connection, peer);
        Ok(())
    }
}

struct Caller<'a> {
    list: &'a mut List,
    now: Micros,
    connection: ConnectionId,
    effects: &'a mut Effects,
}

impl endpoint_list::List for Caller<'_> {
    fn watch(&mut self, have: u64) -> Result<(), Malformed> {
        if self.list.peers.get(&self.connection) != Some(&Peer::Router) {
            return Err(Malformed::Order("Watch"));
        }
        self.list.watch(self.connection, have, self.effects);
        Ok(())
    }

    fn register(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        standing: EndpointStatus,
        cell: u16,
        zone: u8,
        started: Micros,
    ) -> Result<(), Malformed> {
        if !matches!(self.list.peers.get(&self.connection), Some(Peer::Worker(_))) {
            return Err(Malformed::Order("Here"));
        }
        self.list.peers.insert(self.connection, Peer::Worker(Some(worker)));
        self.list.speaks.insert(worker, self.connection);
        let entry = Entry { worker, kind, size, standing, cell, zone, started };
        self.list.changed(self.now, entry, self.effects);
        Ok(())
    }
}

impl EventHandler for List {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        // Versions of a later life are higher than all of an earlier one.
        self.version = now;
        effects.set_timer(now + SETTLES, SETTLED);
        for (place, (after, _)) in self.terms.script.iter().enumerate() {
            effects.set_timer(now + after, SCRIPT + place as u64);
        }
    }

    fn on_accepted(&mut self, _now: Micros, connection: ConnectionId, _door: usize, _out: &mut Effects) {
        self.peers.insert(connection, Peer::Unknown);
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        if let Err(problem) = self.route(now, connection, frame, effects) {
            tracing::warn!(%problem, "closes a connection");
            effects.close(connection, problem.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, effects);
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        self.watchers.remove(&connection);
        self.early.as_mut().into_iter().for_each(|early| early.retain(|(l, _)| *l != connection));
        let Some(Peer::Worker(Some(worker))) = self.peers.remove(&connection) else { return };
        if self.speaks.get(&worker) != Some(&connection) {
            return;
        }
        self.speaks.remove(&worker);
        let pending = self.pending.iter().rev().find(|(_, e)| e.worker == worker).map(|(_, e)| *e);
        if let Some(last) = pending.or(self.told.get(&worker).copied()) {
            self.changed(now, Entry { standing: EndpointStatus::Removed, ..last }, effects);
        }
    }

    fn on_backpressure(&mut self, _now: Micros, _link: ConnectionId, _crowded: bool, _out: &mut Effects) {}

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        if key == PUBLISH {
            return self.publish(now, effects);
        }
        if key == SETTLED {
            for (connection, have) in self.early.take().unwrap_or_default() {
                self.watch(connection, have, effects);
            }
            return;
        }
        if let Some((_, lag)) = self.terms.script.get((key - SCRIPT) as usize) {
            self.lag = *lag;
        }
    }

    fn on_iteration(&mut self, _now: Micros, _out: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, _out: &mut Effects) {
        self.stopping = true;
    }

    fn is_finished(&self) -> bool {
        self.stopping
    }
}
