//! Programs in virtual time: one process, one thread, one order of events. What a program sends arrives after
//! the network's delay, in order on each connection; nothing depends on the machine, so a run is the same
//! every time. All that passes is written down as real processes write it, and the same rules read it.

use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

use bytes::Bytes;
use tideroute_wire::capture::{self, counts, CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effect, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

/// A node of the world: a place where a program can run, die and be started again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct NodeId(pub usize);

struct Node {
    name: String,
    role: String,
    address: Option<Address>,
    program: Option<Box<dyn EventHandler>>,
    effects: Effects,
    /// How often a program was started here; what was meant for an earlier one is void.
    life: u32,
    process: u32,
    /// Connections taken so far, in all lives: no link has the number of another.
    accepted: u64,
    kept: Option<Bytes>,
    /// Nothing happens here, as on a machine that halts; what comes waits.
    halted: bool,
    missed: Vec<Due>,
    /// Cut off: nothing that it sends arrives, and nothing arrives here, though connections stay.
    dark: bool,
}

struct End {
    life: u32,
    peer: Option<(NodeId, ConnectionId)>,
    open: bool,
    /// Its program knows that it is there.
    met: bool,
    sent: u64,
    heard: u64,
    hushed: bool,
    waiting: VecDeque<Bytes>,
    /// When the last thing sent on it arrives; what is sent later arrives no earlier.
    last: Micros,
}

enum Event {
    Accept(ConnectionId),
    Opened(ConnectionId),
    Frame(ConnectionId, Bytes),
    /// The program reads the link again: what waited is heard.
    Drain(ConnectionId),
    Lost(ConnectionId, DisconnectReason),
    Ring(u64),
}

struct Due {
    at: Micros,
    order: u64,
    node: NodeId,
    life: u32,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest, as the heap gives that one first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

pub struct World {
    now: Micros,
    delay: Micros,
    order: u64,
    due: BinaryHeap<Due>,
    nodes: Vec<Node>,
    ends: HashMap<(NodeId, ConnectionId), End>,
    listens: BTreeMap<Address, NodeId>,
    processes: Vec<CapturedProcess>,
    passed: Vec<CapturedFrame>,
    events: u64,
}

impl World {
    /// A world that begins at a time, with so long a way between any two nodes.
    pub fn new(now: Micros, delay: Micros) -> World {
        World {
            now,
            delay,
            order: 0,
            due: BinaryHeap::new(),
            nodes: vec![],
            ends: HashMap::new(),
            listens: BTreeMap::new(),
            processes: vec![],
            passed: vec![],
            events: 0,
        }
    }

    pub fn now(&self) -> Micros {
        self.now
    }

    /// Events that have happened.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// A place for a program, where it listens if it has an address.
    pub fn place(&mut self, name: &str, role: &str, address: Option<Address>) -> NodeId {
        let id = NodeId(self.nodes.len());
        self.nodes.push(Node {
            name: name.into(),
            role: role.into(),
            address,
            program: None,
            effects: Effects::default(),
            life: 0,
            process: 0,
            accepted: 0,
            kept: None,
            halted: false,
            missed: vec![],
            dark: false,
        });
        self.listens.extend(address.map(|a| (a, id)));
        id
    }

    /// What the program that ran there last has kept.
    /// What was kept there is gone.
    pub fn forget(&mut self, id: NodeId) {
        self.nodes[id.0].kept = None;
    }

    pub fn kept(&self, id: NodeId) -> Option<Bytes> {
        self.nodes[id.0].kept.clone()
    }

    pub fn runs(&self, id: NodeId) -> bool {
        self.nodes[id.0].program.is_some()
    }

    /// Starts a program at a place.
    pub fn start(&mut self, id: NodeId, program: Box<dyn EventHandler>) {
        let number = self.processes.len() as u32 + 1;
        let node = &mut self.nodes[id.0];
        (node.life, node.process) = (node.life + 1, number);
        node.program = Some(program);
        let who = CapturedProcess {
            number,
            name: node.name.clone(),
            role: node.role.clone(),
            address: node.address,
        };
        self.processes.push(who);
        self.note(id, ConnectionId(0), CaptureEvent::ProcessStarted, 0, &Bytes::new());
        self.call(id, |program, now, effects| program.on_start(now, effects));
    }

    /// Ends a program at once; its peers find their connections broken.
    pub fn kill(&mut self, id: NodeId) {
        if self.nodes[id.0].program.take().is_none() {
            return;
        }
        self.note(id, ConnectionId(0), CaptureEvent::ProcessKilled, 0, &Bytes::new());
        let mut connections: Vec<_> =
            self.ends.keys().filter(|(n, _)| *n == id).map(|(_, connection)| *connection).collect();
        connections.sort_unstable();
        for connection in connections {
            self.sever(id, connection);
        }
    }

    /// Nothing happens at the place until it goes on; what comes meanwhile waits.
    pub fn halt(&mut self, id: NodeId) {
        self.nodes[id.0].halted = true;
        self.note(id, ConnectionId(0), CaptureEvent::ProcessPaused, 0, &Bytes::new());
    }

    pub fn go_on(&mut self, id: NodeId) {
        self.nodes[id.0].halted = false;
        self.note(id, ConnectionId(0), CaptureEvent::ProcessResumed, 0, &Bytes::new());
        for mut due in std::mem::take(&mut self.nodes[id.0].missed) {
            due.at = self.now;
            self.due.push(due);
        }
    }

    /// Nothing gets to the place or away from it, though no connection ends.
    pub fn darken(&mut self, id: NodeId, dark: bool) {
        self.nodes[id.0].dark = dark;
    }

    /// Another thread of the program's process tells it something.
    pub fn tell(&mut self, id: NodeId, letter: &Bytes) {
        self.call(id, |program, now, effects| program.on_message(now, letter, effects));
    }

    /// Tells a program to end in order.
    pub fn stop(&mut self, id: NodeId) {
        self.call(id, |program, now, effects| program.on_shutdown(now, effects));
    }

    /// Lets time pass up to a moment.
    pub fn run_until(&mut self, until: Micros) {
        while self.due.peek().is_some_and(|due| due.at <= until) {
            let Some(due) = self.due.pop() else { break };
            self.now = self.now.max(due.at);
            self.happen(due);
        }
        self.now = self.now.max(until);
    }

    /// The record of all that has passed.
    pub fn record(&mut self, terms: &str) -> std::io::Result<Vec<u8>> {
        let ended: Vec<_> = self.nodes.iter().enumerate().filter(|(_, n)| n.program.is_some()).collect();
        let ended: Vec<_> = ended.into_iter().map(|(n, _)| NodeId(n)).collect();
        for id in ended {
            let mut connections: Vec<_> =
                self.ends.iter().filter(|((n, _), e)| *n == id && e.open).map(|((_, l), _)| *l).collect();
            connections.sort_unstable();
            connections.into_iter().for_each(|connection| self.note_end(id, connection));
        }
        let mut bytes = Vec::new();
        capture::write_head(&mut bytes, &self.processes, terms)?;
        self.passed.iter().try_for_each(|passed| capture::write(&mut bytes, passed))?;
        Ok(bytes)
    }

    fn note(&mut self, id: NodeId, connection: ConnectionId, what: CaptureEvent, place: u64, frame: &Bytes) {
        let frame = capture::kept(frame, &self.nodes[id.0].role);
        let process = self.nodes[id.0].process;
        self.passed.push(CapturedFrame {
            at: self.now,
            process,
            connection: connection.0,
            event: what,
            position: place,
            frame,
        });
    }

    fn note_end(&mut self, id: NodeId, connection: ConnectionId) {
        let Some(end) = self.ends.get(&(id, connection)) else { return };
        let (counts, met, there) = (counts(end.sent, end.heard), end.met, end.peer.is_some());
        if connection.is_outbound() && !met && !there {
            return self.note(id, connection, CaptureEvent::ConnectFailed, 0, &Bytes::new());
        }
        if connection.is_outbound() && !met {
            // Ended before it was known to be there: what was sent on it arrives all the same.
            self.note_met(id, connection, CaptureEvent::Connected);
        }
        self.note(id, connection, CaptureEvent::Closed, 0, &counts);
    }

    fn later(&mut self, at: Micros, node: NodeId, life: u32, event: Event) {
        self.order += 1;
        self.due.push(Due { at, order: self.order, node, life, event });
    }

    fn happen(&mut self, due: Due) {
        let place = &mut self.nodes[due.node.0];
        if place.life != due.life || place.program.is_none() {
            return;
        }
        if place.halted {
            return place.missed.push(due);
        }
        let Due { node, event, .. } = due;
        self.events += 1;
        match event {
            Event::Ring(key) => self.call(node, |program, now, effects| program.on_timer(now, key, effects)),
            Event::Accept(connection) => {
                self.note_met(node, connection, CaptureEvent::Accepted);
                self.call(node, |program, now, effects| program.on_accepted(now, connection, 0, effects));
            }
            Event::Opened(connection) => {
                self.note_met(node, connection, CaptureEvent::Connected);
                self.ends.get_mut(&(node, connection)).into_iter().for_each(|end| end.met = true);
                self.call(node, |program, now, effects| program.on_connected(now, connection, effects));
            }
            Event::Frame(connection, frame) => {
                let Some(end) = self.ends.get_mut(&(node, connection)).filter(|e| e.open) else { return };
                if end.hushed || !end.waiting.is_empty() {
                    return end.waiting.push_back(frame);
                }
                self.hear(node, connection, &frame);
            }
            Event::Drain(connection) => loop {
                let end = self.ends.get_mut(&(node, connection)).filter(|e| e.open && !e.hushed);
                let Some(frame) = end.and_then(|e| e.waiting.pop_front()) else { return };
                self.hear(node, connection, &frame);
            },
            Event::Lost(connection, loss) => {
                let Some(end) = self.ends.get_mut(&(node, connection)).filter(|e| e.open) else { return };
                end.open = false;
                match loss {
                    DisconnectReason::Reset => self.note_end(node, connection),
                    DisconnectReason::ConnectFailed | DisconnectReason::LocalFailure => {
                        self.note(node, connection, CaptureEvent::ConnectFailed, 0, &Bytes::new())
                    }
                }
                self.call(node, |program, now, effects| {
                    program.on_disconnect(now, connection, loss, effects)
                });
            }
        }
    }

    fn hear(&mut self, node: NodeId, connection: ConnectionId, frame: &Bytes) {
        let Some(end) = self.ends.get_mut(&(node, connection)) else { return };
        let place = end.heard;
        end.heard += 1;
        self.note(node, connection, CaptureEvent::Received, place, frame);
        self.call(node, |program, now, effects| program.on_data(now, connection, frame, effects));
    }

    /// Both ends' addresses; a node without one gets one from its link, so that pairs stay apart.
    fn note_met(&mut self, node: NodeId, connection: ConnectionId, what: CaptureEvent) {
        let Some((peer, peer_link)) = self.ends.get(&(node, connection)).and_then(|e| e.peer) else { return };
        let dialler = |n: NodeId, connection: ConnectionId| {
            let (number, connection) = (self.nodes[n.0].process as u16, connection.0 as u32);
            let (n, l) = (number.to_be_bytes(), connection.to_be_bytes());
            Bytes::copy_from_slice(&[n[0], n[1], l[0], l[1], l[2], l[3]])
        };
        let listener = |n: NodeId| Bytes::copy_from_slice(&self.nodes[n.0].address.unwrap_or_default());
        let (other, own) = match what {
            CaptureEvent::Connected => (listener(peer), dialler(node, connection)),
            _ => (dialler(peer, peer_link), listener(node)),
        };
        self.note(node, connection, what, 0, &Bytes::from([other, own].concat()));
    }

    /// Calls the program at a node and carries out what it asks for.
    fn call(&mut self, id: NodeId, call: impl FnOnce(&mut dyn EventHandler, Micros, &mut Effects)) {
        let (now, node) = (self.now, &mut self.nodes[id.0]);
        let Some(mut program) = node.program.take() else { return };
        let mut effects = std::mem::take(&mut node.effects);
        let life = node.life;
        call(program.as_mut(), now, &mut effects);
        program.on_iteration(now, &mut effects);
        let (acts, done) = (effects.take(), program.is_finished());
        let node = &mut self.nodes[id.0];
        (node.program, node.effects) = (Some(program), effects);
        for act in acts {
            if self.nodes[id.0].life == life && self.nodes[id.0].program.is_some() {
                self.carry_out(id, act);
            }
        }
        if done && self.nodes[id.0].program.is_some() {
            let mut open: Vec<_> =
                self.ends.iter().filter(|((n, _), e)| *n == id && e.open).map(|((_, l), _)| *l).collect();
            open.sort_unstable();
            for connection in open {
                self.note_end(id, connection);
                self.sever(id, connection);
            }
            self.note(id, ConnectionId(0), CaptureEvent::ProcessExited, 0, &Bytes::new());
            self.nodes[id.0].program = None;
        }
    }

    fn carry_out(&mut self, id: NodeId, act: Effect) {
        let life = self.nodes[id.0].life;
        match act {
            Effect::Connect { connection, to, timeout: within } => self.dial(id, connection, to, within),
            Effect::Send { connection, frame } => {
                let now = self.now;
                let Some(end) = self.ends.get_mut(&(id, connection)).filter(|e| e.open) else { return };
                let place = end.sent;
                end.sent += 1;
                end.last = end.last.max(now + self.delay);
                let (at, peer) = (end.last, end.peer);
                self.note(id, connection, CaptureEvent::Sent, place, &frame);
                if let Some((node, peer_link)) = peer {
                    if !self.nodes[id.0].dark && !self.nodes[node.0].dark {
                        let life = self.ends.get(&(node, peer_link)).map_or(0, |e| e.life);
                        self.later(at, node, life, Event::Frame(peer_link, frame));
                    }
                }
            }
            // Here all that was sent is under way at once, so both ends are the same.
            Effect::Close { connection, .. }
            | Effect::Abort { connection }
            | Effect::Reset { connection } => {
                if self.ends.get(&(id, connection)).is_some_and(|e| e.open) {
                    self.note_end(id, connection);
                    self.sever(id, connection);
                }
            }
            // Relays run as processes only.
            // Nobody in a world has a record or hears datagrams.
            Effect::SetListenerState { .. }
            | Effect::Joined { .. }
            | Effect::Datagram { .. }
            | Effect::AnnotateCapture { .. } => {}
            Effect::SetTimer { at, key } => self.later(at.max(self.now), id, life, Event::Ring(key)),
            Effect::PauseReading { connection, paused: hush } => {
                let Some(end) = self.ends.get_mut(&(id, connection)) else { return };
                end.hushed = hush;
                if !hush {
                    self.later(self.now, id, life, Event::Drain(connection));
                }
            }
            Effect::Persist { bytes } => self.nodes[id.0].kept = Some(bytes),
            Effect::Publish { .. } => {}
            Effect::Crash => self.kill(id),
        }
    }

    fn dial(&mut self, id: NodeId, connection: ConnectionId, to: Address, within: Micros) {
        self.note(id, connection, CaptureEvent::Connecting, 0, &Bytes::copy_from_slice(&to));
        let there = self.listens.get(&to).copied();
        let dark = |n: NodeId| self.nodes[n.0].dark;
        let life = self.nodes[id.0].life;
        let now = self.now;
        let end = |life, peer| End {
            life,
            peer,
            open: true,
            met: false,
            sent: 0,
            heard: 0,
            hushed: false,
            waiting: VecDeque::new(),
            last: now,
        };
        let lost = match there {
            Some(n) if dark(n) || dark(id) => Some(within),
            Some(n) if self.nodes[n.0].program.is_some() => None,
            _ => Some(self.delay.min(within)),
        };
        if let Some(after) = lost {
            self.ends.insert((id, connection), end(life, None));
            return self.later(
                self.now + after,
                id,
                life,
                Event::Lost(connection, DisconnectReason::ConnectFailed),
            );
        }
        let Some(node) = there else { return };
        let place = &mut self.nodes[node.0];
        let peer_link = ConnectionId(place.accepted);
        place.accepted += 1;
        let peer_life = place.life;
        self.ends.insert((node, peer_link), end(peer_life, Some((id, connection))));
        self.ends.insert((id, connection), end(life, Some((node, peer_link))));
        self.later(self.now + self.delay, node, peer_life, Event::Accept(peer_link));
        self.later(self.now + 2 * self.delay, id, life, Event::Opened(connection));
    }

    /// One end of a connection is gone; the other finds out after all that was sent before.
    fn sever(&mut self, id: NodeId, connection: ConnectionId) {
        let Some(end) = self.ends.get_mut(&(id, connection)).filter(|e| e.open) else { return };
        end.open = false;
        let at = end.last.max(self.now + self.delay);
        if let Some((node, peer_link)) = end.peer {
            let life = self.ends.get(&(node, peer_link)).map_or(0, |e| e.life);
            self.later(at, node, life, Event::Lost(peer_link, DisconnectReason::Reset));
        }
    }
}
