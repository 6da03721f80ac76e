//! Programs in virtual time: one process, one thread, one order of events. What a program sends arrives after
//! the network's delay, in order on each connection; nothing depends on the machine, so a run is the same
//! every time. All that passes is written down as real processes write it, and the same rules read it.

use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

use bytes::Bytes;
use tideroute_wire::link::{Act, Link, Loss, Outbox, Program};
use tideroute_wire::tap::{self, counts, Passed, What, Who};
use tideroute_wire::{Address, Micros};

/// A node of the world: a place where a program can run, die and be started again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct NodeId(pub usize);

struct Node {
    name: String,
    role: String,
    address: Option<Address>,
    program: Option<Box<dyn Program>>,
    out: Outbox,
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
    peer: Option<(NodeId, Link)>,
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
    Accept(Link),
    Opened(Link),
    Frame(Link, Bytes),
    /// The program reads the link again: what waited is heard.
    Drain(Link),
    Lost(Link, Loss),
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
    ends: HashMap<(NodeId, Link), End>,
    listens: BTreeMap<Address, NodeId>,
    processes: Vec<Who>,
    passed: Vec<Passed>,
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
            out: Outbox::default(),
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
    pub fn start(&mut self, id: NodeId, program: Box<dyn Program>) {
        let number = self.processes.len() as u32 + 1;
        let node = &mut self.nodes[id.0];
        (node.life, node.process) = (node.life + 1, number);
        node.program = Some(program);
        let who = Who { number, name: node.name.clone(), role: node.role.clone(), address: node.address };
        self.processes.push(who);
        self.note(id, Link(0), What::Began, 0, &Bytes::new());
        self.call(id, |program, now, out| program.begin(now, out));
    }

    /// Ends a program at once; its peers find their connections broken.
    pub fn kill(&mut self, id: NodeId) {
        if self.nodes[id.0].program.take().is_none() {
            return;
        }
        self.note(id, Link(0), What::Killed, 0, &Bytes::new());
        let mut links: Vec<_> = self.ends.keys().filter(|(n, _)| *n == id).map(|(_, link)| *link).collect();
        links.sort_unstable();
        for link in links {
            self.sever(id, link);
        }
    }

    /// Nothing happens at the place until it goes on; what comes meanwhile waits.
    pub fn halt(&mut self, id: NodeId) {
        self.nodes[id.0].halted = true;
        self.note(id, Link(0), What::Halted, 0, &Bytes::new());
    }

    pub fn go_on(&mut self, id: NodeId) {
        self.nodes[id.0].halted = false;
        self.note(id, Link(0), What::WentOn, 0, &Bytes::new());
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
        self.call(id, |program, now, out| program.told(now, letter, out));
    }

    /// Tells a program to end in order.
    pub fn stop(&mut self, id: NodeId) {
        self.call(id, |program, now, out| program.stop(now, out));
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
            let mut links: Vec<_> =
                self.ends.iter().filter(|((n, _), e)| *n == id && e.open).map(|((_, l), _)| *l).collect();
            links.sort_unstable();
            links.into_iter().for_each(|link| self.note_end(id, link));
        }
        let mut bytes = Vec::new();
        tap::write_head(&mut bytes, &self.processes, terms)?;
        self.passed.iter().try_for_each(|passed| tap::write(&mut bytes, passed))?;
        Ok(bytes)
    }

    fn note(&mut self, id: NodeId, link: Link, what: What, place: u64, frame: &Bytes) {
        let frame = tap::kept(frame, &self.nodes[id.0].role);
        let process = self.nodes[id.0].process;
        self.passed.push(Passed { at: self.now, process, link: link.0, what, place, frame });
    }

    fn note_end(&mut self, id: NodeId, link: Link) {
        let Some(end) = self.ends.get(&(id, link)) else { return };
        let (counts, met, there) = (counts(end.sent, end.heard), end.met, end.peer.is_some());
        if link.dialled() && !met && !there {
            return self.note(id, link, What::Unreached, 0, &Bytes::new());
        }
        if link.dialled() && !met {
            // Ended before it was known to be there: what was sent on it arrives all the same.
            self.note_met(id, link, What::Met);
        }
        self.note(id, link, What::Closed, 0, &counts);
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
            Event::Ring(key) => self.call(node, |program, now, out| program.rang(now, key, out)),
            Event::Accept(link) => {
                self.note_met(node, link, What::Accepted);
                self.call(node, |program, now, out| program.accepted(now, link, 0, out));
            }
            Event::Opened(link) => {
                self.note_met(node, link, What::Met);
                self.ends.get_mut(&(node, link)).into_iter().for_each(|end| end.met = true);
                self.call(node, |program, now, out| program.opened(now, link, out));
            }
            Event::Frame(link, frame) => {
                let Some(end) = self.ends.get_mut(&(node, link)).filter(|e| e.open) else { return };
                if end.hushed || !end.waiting.is_empty() {
                    return end.waiting.push_back(frame);
                }
                self.hear(node, link, &frame);
            }
            Event::Drain(link) => loop {
                let end = self.ends.get_mut(&(node, link)).filter(|e| e.open && !e.hushed);
                let Some(frame) = end.and_then(|e| e.waiting.pop_front()) else { return };
                self.hear(node, link, &frame);
            },
            Event::Lost(link, loss) => {
                let Some(end) = self.ends.get_mut(&(node, link)).filter(|e| e.open) else { return };
                end.open = false;
                match loss {
                    Loss::Broken => self.note_end(node, link),
                    Loss::Unreached | Loss::NotDialled => {
                        self.note(node, link, What::Unreached, 0, &Bytes::new())
                    }
                }
                self.call(node, |program, now, out| program.lost(now, link, loss, out));
            }
        }
    }

    fn hear(&mut self, node: NodeId, link: Link, frame: &Bytes) {
        let Some(end) = self.ends.get_mut(&(node, link)) else { return };
        let place = end.heard;
        end.heard += 1;
        self.note(node, link, What::Heard, place, frame);
        self.call(node, |program, now, out| program.heard(now, link, frame, out));
    }

    /// Both ends' addresses; a node without one gets one from its link, so that pairs stay apart.
    fn note_met(&mut self, node: NodeId, link: Link, what: What) {
        let Some((peer, peer_link)) = self.ends.get(&(node, link)).and_then(|e| e.peer) else { return };
        let dialler = |n: NodeId, link: Link| {
            let (number, link) = (self.nodes[n.0].process as u16, link.0 as u32);
            let (n, l) = (number.to_be_bytes(), link.to_be_bytes());
            Bytes::copy_from_slice(&[n[0], n[1], l[0], l[1], l[2], l[3]])
        };
        let listener = |n: NodeId| Bytes::copy_from_slice(&self.nodes[n.0].address.unwrap_or_default());
        let (other, own) = match what {
            What::Met => (listener(peer), dialler(node, link)),
            _ => (dialler(peer, peer_link), listener(node)),
        };
        self.note(node, link, what, 0, &Bytes::from([other, own].concat()));
    }

    /// Calls the program at a node and carries out what it asks for.
    fn call(&mut self, id: NodeId, call: impl FnOnce(&mut dyn Program, Micros, &mut Outbox)) {
        let (now, node) = (self.now, &mut self.nodes[id.0]);
        let Some(mut program) = node.program.take() else { return };
        let mut out = std::mem::take(&mut node.out);
        let life = node.life;
        call(program.as_mut(), now, &mut out);
        program.turn(now, &mut out);
        let (acts, done) = (out.take(), program.done());
        let node = &mut self.nodes[id.0];
        (node.program, node.out) = (Some(program), out);
        for act in acts {
            if self.nodes[id.0].life == life && self.nodes[id.0].program.is_some() {
                self.carry_out(id, act);
            }
        }
        if done && self.nodes[id.0].program.is_some() {
            let mut open: Vec<_> =
                self.ends.iter().filter(|((n, _), e)| *n == id && e.open).map(|((_, l), _)| *l).collect();
            open.sort_unstable();
            for link in open {
                self.note_end(id, link);
                self.sever(id, link);
            }
            self.note(id, Link(0), What::Left, 0, &Bytes::new());
            self.nodes[id.0].program = None;
        }
    }

    fn carry_out(&mut self, id: NodeId, act: Act) {
        let life = self.nodes[id.0].life;
        match act {
            Act::Dial { link, to, within } => self.dial(id, link, to, within),
            Act::Send { link, frame } => {
                let now = self.now;
                let Some(end) = self.ends.get_mut(&(id, link)).filter(|e| e.open) else { return };
                let place = end.sent;
                end.sent += 1;
                end.last = end.last.max(now + self.delay);
                let (at, peer) = (end.last, end.peer);
                self.note(id, link, What::Sent, place, &frame);
                if let Some((node, peer_link)) = peer {
                    if !self.nodes[id.0].dark && !self.nodes[node.0].dark {
                        let life = self.ends.get(&(node, peer_link)).map_or(0, |e| e.life);
                        self.later(at, node, life, Event::Frame(peer_link, frame));
                    }
                }
            }
            // Here all that was sent is under way at once, so both ends are the same.
            Act::Close { link, .. } | Act::Cut { link } | Act::Reset { link } => {
                if self.ends.get(&(id, link)).is_some_and(|e| e.open) {
                    self.note_end(id, link);
                    self.sever(id, link);
                }
            }
            // Relays run as processes only.
            // Nobody in a world has a record or hears datagrams.
            Act::Door { .. } | Act::Joined { .. } | Act::Datagram { .. } | Act::Note { .. } => {}
            Act::Ring { at, key } => self.later(at.max(self.now), id, life, Event::Ring(key)),
            Act::Hush { link, hush } => {
                let Some(end) = self.ends.get_mut(&(id, link)) else { return };
                end.hushed = hush;
                if !hush {
                    self.later(self.now, id, life, Event::Drain(link));
                }
            }
            Act::Keep { bytes } => self.nodes[id.0].kept = Some(bytes),
            Act::Publish { .. } => {}
            Act::Vanish => self.kill(id),
        }
    }

    fn dial(&mut self, id: NodeId, link: Link, to: Address, within: Micros) {
        self.note(id, link, What::Dialled, 0, &Bytes::copy_from_slice(&to));
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
            self.ends.insert((id, link), end(life, None));
            return self.later(self.now + after, id, life, Event::Lost(link, Loss::Unreached));
        }
        let Some(node) = there else { return };
        let place = &mut self.nodes[node.0];
        let peer_link = Link(place.accepted);
        place.accepted += 1;
        let peer_life = place.life;
        self.ends.insert((node, peer_link), end(peer_life, Some((id, link))));
        self.ends.insert((id, link), end(life, Some((node, peer_link))));
        self.later(self.now + self.delay, node, peer_life, Event::Accept(peer_link));
        self.later(self.now + 2 * self.delay, id, life, Event::Opened(link));
    }

    /// One end of a connection is gone; the other finds out after all that was sent before.
    fn sever(&mut self, id: NodeId, link: Link) {
        let Some(end) = self.ends.get_mut(&(id, link)).filter(|e| e.open) else { return };
        end.open = false;
        let at = end.last.max(self.now + self.delay);
        if let Some((node, peer_link)) = end.peer {
            let life = self.ends.get(&(node, peer_link)).map_or(0, |e| e.life);
            self.later(at, node, life, Event::Lost(peer_link, Loss::Broken));
        }
    }
}
