//! The list of workers: knows whether a process runs and tells routers so, some time later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use tideroute_wire::link::{Link, Loss, Outbox, Program};
use tideroute_wire::list::{self, EndpointStatus, Page};
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
    peers: BTreeMap<Link, Peer>,
    watchers: BTreeSet<Link>,
    /// Which link speaks for a worker: one that came back does so on a new one.
    speaks: BTreeMap<Address, Link>,
    /// What has happened and is not yet told, with its time to be.
    pending: VecDeque<(Micros, Entry)>,
    told: BTreeMap<Address, Entry>,
    history: VecDeque<Entry>,
    version: u64,
    /// Watchers that came before it had settled, with what they have; None once it has.
    early: Option<Vec<(Link, u64)>>,
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

    fn changed(&mut self, now: Micros, entry: Entry, out: &mut Outbox) {
        // One by one and in order, also when the lag has become shorter meanwhile.
        let at = self.pending.back().map_or(0, |(at, _)| *at).max(now + self.lag);
        self.pending.push_back((at, entry));
        out.ring(at, PUBLISH);
    }

    fn publish(&mut self, now: Micros, out: &mut Outbox) {
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
        self.watchers.iter().for_each(|&link| out.send(link, frame.clone()));
    }

    fn watch(&mut self, link: Link, have: u64, out: &mut Outbox) {
        if let Some(early) = self.early.as_mut() {
            return early.push((link, have));
        }
        self.watchers.insert(link);
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
        out.send(link, page.frame());
    }

    fn route(&mut self, now: Micros, link: Link, frame: &Bytes, out: &mut Outbox) -> Result<(), Malformed> {
        if self.peers.get(&link) != Some(&Peer::Unknown) {
            return list::hear_caller(frame, &mut Caller { list: self, now, link, out });
        }
        let peer = match tideroute_wire::first(frame)?.0 {
            Party::Worker => Peer::Worker(None),
            Party::Router => Peer::Router,
            Party::Client => return Err(Malformed::Range("party")),
        };
        self.peers.insert(link, peer);
        Ok(())
    }
}

struct Caller<'a> {
    list: &'a mut List,
    now: Micros,
    link: Link,
    out: &'a mut Outbox,
}

impl list::List for Caller<'_> {
    fn watch(&mut self, have: u64) -> Result<(), Malformed> {
        if self.list.peers.get(&self.link) != Some(&Peer::Router) {
            return Err(Malformed::Order("Watch"));
        }
        self.list.watch(self.link, have, self.out);
        Ok(())
    }

    fn here(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        standing: EndpointStatus,
        cell: u16,
        zone: u8,
        started: Micros,
    ) -> Result<(), Malformed> {
        if !matches!(self.list.peers.get(&self.link), Some(Peer::Worker(_))) {
            return Err(Malformed::Order("Here"));
        }
        self.list.peers.insert(self.link, Peer::Worker(Some(worker)));
        self.list.speaks.insert(worker, self.link);
        let entry = Entry { worker, kind, size, standing, cell, zone, started };
        self.list.changed(self.now, entry, self.out);
        Ok(())
    }
}

impl Program for List {
    fn begin(&mut self, now: Micros, out: &mut Outbox) {
        // Versions of a later life are higher than all of an earlier one.
        self.version = now;
        out.ring(now + SETTLES, SETTLED);
        for (place, (after, _)) in self.terms.script.iter().enumerate() {
            out.ring(now + after, SCRIPT + place as u64);
        }
    }

    fn accepted(&mut self, _now: Micros, link: Link, _door: usize, _out: &mut Outbox) {
        self.peers.insert(link, Peer::Unknown);
    }

    fn opened(&mut self, _now: Micros, _link: Link, _out: &mut Outbox) {}

    fn heard(&mut self, now: Micros, link: Link, frame: &Bytes, out: &mut Outbox) {
        if let Err(problem) = self.route(now, link, frame, out) {
            tracing::warn!(%problem, "closes a connection");
            out.close(link, problem.to_string());
            self.lost(now, link, Loss::Broken, out);
        }
    }

    fn lost(&mut self, now: Micros, link: Link, _loss: Loss, out: &mut Outbox) {
        self.watchers.remove(&link);
        self.early.as_mut().into_iter().for_each(|early| early.retain(|(l, _)| *l != link));
        let Some(Peer::Worker(Some(worker))) = self.peers.remove(&link) else { return };
        if self.speaks.get(&worker) != Some(&link) {
            return;
        }
        self.speaks.remove(&worker);
        let pending = self.pending.iter().rev().find(|(_, e)| e.worker == worker).map(|(_, e)| *e);
        if let Some(last) = pending.or(self.told.get(&worker).copied()) {
            self.changed(now, Entry { standing: EndpointStatus::Removed, ..last }, out);
        }
    }

    fn crowded(&mut self, _now: Micros, _link: Link, _crowded: bool, _out: &mut Outbox) {}

    fn rang(&mut self, now: Micros, key: u64, out: &mut Outbox) {
        if key == PUBLISH {
            return self.publish(now, out);
        }
        if key == SETTLED {
            for (link, have) in self.early.take().unwrap_or_default() {
                self.watch(link, have, out);
            }
            return;
        }
        if let Some((_, lag)) = self.terms.script.get((key - SCRIPT) as usize) {
            self.lag = *lag;
        }
    }

    fn turn(&mut self, _now: Micros, _out: &mut Outbox) {}

    fn stop(&mut self, _now: Micros, _out: &mut Outbox) {
        self.stopping = true;
    }

    fn done(&self) -> bool {
        self.stopping
    }
}
