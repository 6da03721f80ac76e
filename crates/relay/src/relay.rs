//! The relay itself: its doors, its script, and the connections that pass.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler, ListenerState};
use tideroute_wire::{Address, Micros};

use crate::flow::{Flow, Stream};

/// Microseconds: how long the way on may take to come up; who dials through gives up by its own time.
const DIAL: Micros = 60_000_000;
/// Microseconds after which a part that was lost is there all the same: the least that Linux waits before it
/// sends again.
const SENT_AGAIN: Micros = 200_000;
/// Kinds of timers, in the top bit of their keys: a fault's beginning or end, or a part that is due.
const DUE: u64 = 1 << 62;
/// The same for a datagram that is held back.
const HELD: u64 = 1 << 61;
/// Datagrams held back at once; further ones are lost.
const MOST_HELD: usize = 20_000;

/// Which way a fault works, seen from who dials.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Way {
    Both,
    There,
    Back,
}

impl Way {
    fn takes(self, direction: usize) -> bool {
        match self {
            Way::Both => true,
            Way::There => direction == 0,
            Way::Back => direction == 1,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum How {
    /// Connections stay and say nothing; a dial is not answered. What was said comes when it is over.
    Silent,
    /// Connections break and dials are refused.
    Reset,
    /// All takes so much longer, with up to `jitter` more; of parts so many are lost, and sent again.
    Late { delay: Micros, jitter: Micros, loss: f64 },
}

#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// After the relay's start.
    pub from: Micros,
    pub until: Micros,
    pub way: Way,
    pub how: How,
}

/// Where it is dialled, where that leads, and by which faults it is met.
#[derive(Clone, Debug)]
pub struct Door {
    pub to: Address,
    pub faults: Vec<usize>,
}

#[derive(Clone, Debug)]
pub struct RelayTerms {
    /// In the order of the loop's doors.
    pub doors: Vec<Door>,
    /// In the order of its doors for datagrams, which meet faults as who dials does.
    pub datagrams: Vec<Door>,
    pub faults: Vec<Fault>,
    pub seed: u64,
}

pub struct Relay {
    terms: RelayTerms,
    began: Micros,
    flows: BTreeMap<u64, Flow>,
    /// Which flow a link belongs to, and which of its two it is.
    by_link: HashMap<ConnectionId, (u64, usize)>,
    count: u64,
    held: BTreeMap<u64, (usize, Bytes)>,
    chance: Pcg64,
    stopping: bool,
}

impl Relay {
    pub fn new(terms: RelayTerms) -> Relay {
        let chance = Pcg64::seed_from_u64(terms.seed);
        let (flows, by_link) = (BTreeMap::new(), HashMap::new());
        Relay { terms, began: 0, flows, by_link, count: 0, held: BTreeMap::new(), chance, stopping: false }
    }

    /// The faults that meet a door now.
    fn now_at(&self, door: usize, now: Micros) -> impl Iterator<Item = &Fault> {
        self.now_of(&self.terms.doors[door], now)
    }

    fn now_of<'a>(&'a self, door: &'a Door, now: Micros) -> impl Iterator<Item = &'a Fault> {
        let since = now.saturating_sub(self.began);
        let faults = door.faults.iter().filter_map(|&n| self.terms.faults.get(n));
        faults.filter(move |f| f.from <= since && since < f.until)
    }

    fn cut(&self, door: usize, direction: usize, now: Micros) -> bool {
        self.now_at(door, now).any(|f| f.how == How::Silent && f.way.takes(direction))
    }

    /// When a part that comes now goes on.
    fn due(&mut self, door: usize, direction: usize, now: Micros) -> Micros {
        let late = self.now_at(door, now).filter(|f| f.way.takes(direction)).filter_map(|f| match f.how {
            How::Late { delay, jitter, loss } => Some((delay, jitter, loss)),
            _ => None,
        });
        let late: Vec<_> = late.collect();
        let mut at = now;
        for (delay, jitter, loss) in late {
            at += delay + self.chance.random_range(0..=jitter);
            while loss > 0.0 && self.chance.random::<f64>() < loss {
                at += SENT_AGAIN;
            }
        }
        at
    }

    /// Moves what may move in a flow, and ends what has ended.
    fn pump(&mut self, n: u64, now: Micros, effects: &mut Effects) {
        let Some(door) = self.flows.get(&n).map(|f| f.door) else { return };
        let cut = [0, 1].map(|direction| self.cut(door, direction, now));
        let Some(flow) = self.flows.get_mut(&n) else { return };
        for direction in [0, 1] {
            let (from, to) = (flow.connections[direction], flow.connections[1 - direction]);
            let stream: &mut Stream = &mut flow.streams[direction];
            if !cut[direction] {
                if let Some(next) = stream.pump(now, to, effects) {
                    effects.set_timer(next, DUE | n);
                }
            }
            if stream.ended && stream.is_empty() && !cut[direction] {
                // All that was said has gone: the other side hears of the end.
                effects.close(to, "the other side has ended");
                return self.forget(n);
            }
            if !stream.ended {
                stream.hush(from, cut[direction], effects);
            }
        }
    }

    /// When a datagram goes on; None if it is lost.
    fn datagram_due(&mut self, door: usize, now: Micros) -> Option<Micros> {
        let faults: Vec<_> = self.now_of(self.terms.datagrams.get(door)?, now).copied().collect();
        let mut at = now;
        for fault in faults.iter().filter(|f| f.way.takes(0)) {
            let How::Late { delay, jitter, loss } = fault.how else { return None };
            if self.chance.random::<f64>() < loss {
                return None;
            }
            at += delay + self.chance.random_range(0..=jitter);
        }
        Some(at)
    }

    fn send_datagram(&self, door: usize, bytes: Bytes, effects: &mut Effects) {
        if let Some(to) = self.terms.datagrams.get(door).map(|d| d.to) {
            effects.send_datagram(door, to, bytes);
        }
    }

    fn forget(&mut self, n: u64) {
        if let Some(flow) = self.flows.remove(&n) {
            flow.connections.iter().for_each(|connection| {
                self.by_link.remove(connection);
            });
        }
    }

    /// A fault begins or ends: doors and connections are as they now have to be.
    fn turn_of(&mut self, fault: usize, now: Micros, effects: &mut Effects) {
        for door in 0..self.terms.doors.len() {
            if !self.terms.doors[door].faults.contains(&fault) {
                continue;
            }
            let shut = self.now_at(door, now).fold(ListenerState::Open, |shut, f| match (f.how, shut) {
                (How::Reset, _) | (_, ListenerState::Refusing) => ListenerState::Refusing,
                (How::Silent, _) | (_, ListenerState::Unresponsive) => ListenerState::Unresponsive,
                _ => ListenerState::Open,
            });
            effects.set_listener_state(door, shut);
            let mine: Vec<_> = self.flows.iter().filter(|(_, f)| f.door == door).map(|(n, _)| *n).collect();
            for n in mine {
                if shut == ListenerState::Refusing {
                    let connections = self.flows.get(&n).map(|f| f.connections);
                    connections.into_iter().flatten().for_each(|connection| effects.reset(connection));
                    self.forget(n);
                } else {
                    self.pump(n, now, effects);
                }
            }
        }
    }
}

impl EventHandler for Relay {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.began = now;
        for (n, fault) in self.terms.faults.iter().enumerate() {
            effects.set_timer(now + fault.from, n as u64);
            effects.set_timer(now + fault.until, n as u64);
        }
    }

    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, door: usize, effects: &mut Effects) {
        let Some(to) = self.terms.doors.get(door).map(|d| d.to) else { return effects.reset(connection) };
        let on = effects.connect(to, DIAL);
        self.count += 1;
        self.by_link.extend([(connection, (self.count, 0)), (on, (self.count, 1))]);
        let flow = Flow { door, connections: [connection, on], streams: Default::default() };
        self.flows.insert(self.count, flow);
        self.pump(self.count, now, effects);
    }

    fn on_connected(&mut self, _now: Micros, connection: ConnectionId, effects: &mut Effects) {
        if let Some(flow) = self.by_link.get(&connection).and_then(|(n, _)| self.flows.get(n)) {
            effects.joined(flow.connections[0], flow.connections[1]);
        }
    }

    fn on_data(&mut self, now: Micros, connection: ConnectionId, part: &Bytes, effects: &mut Effects) {
        let Some(&(n, direction)) = self.by_link.get(&connection) else { return };
        let Some(door) = self.flows.get(&n).map(|f| f.door) else { return };
        let due = self.due(door, direction, now);
        if let Some(flow) = self.flows.get_mut(&n) {
            flow.streams[direction].push(due, part);
        }
        self.pump(n, now, effects);
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        let Some(&(n, direction)) = self.by_link.get(&connection) else { return };
        let Some(flow) = self.flows.get_mut(&n) else { return };
        if loss != DisconnectReason::Reset {
            // Nobody is behind the door: who came in is sent away as nobody would.
            effects.reset(flow.connections[1 - direction]);
            return self.forget(n);
        }
        flow.streams[direction].ended = true;
        self.pump(n, now, effects);
    }

    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        crowded: bool,
        effects: &mut Effects,
    ) {
        let Some(&(n, side)) = self.by_link.get(&connection) else { return };
        if let Some(flow) = self.flows.get_mut(&n) {
            flow.streams[1 - side].crowded(crowded);
        }
        self.pump(n, now, effects);
    }

    fn on_datagram(
        &mut self,
        now: Micros,
        door: usize,
        _from: Address,
        bytes: &Bytes,
        effects: &mut Effects,
    ) {
        match self.datagram_due(door, now) {
            Some(at) if at <= now => self.send_datagram(door, bytes.clone(), effects),
            Some(at) if self.held.len() < MOST_HELD => {
                self.count += 1;
                self.held.insert(self.count, (door, bytes.clone()));
                effects.set_timer(at, HELD | self.count);
            }
            _ => {}
        }
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        if key & HELD != 0 {
            if let Some((door, bytes)) = self.held.remove(&(key & !HELD)) {
                self.send_datagram(door, bytes, effects);
            }
        } else if key & DUE != 0 {
            self.pump(key & !DUE, now, effects);
        } else {
            self.turn_of(key as usize, now, effects);
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
