//! Fleets of members in virtual time: the real membership over a network that delays, loses, repeats and cuts, in
//! one process and from one seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::ops::Range;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_membership::{Member, Membership, MembershipConfig, MessageAuthenticator, Output};
use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::{Address, Micros};

/// When a crowd begins: any time will do that leaves clocks room to be set back.
pub const BEGINS: Micros = 1_800_000_000_000_000;
/// Routers that know of each other from the beginning.
const SEEDS: usize = 3;
/// Datagrams that wait at a process that is halted; further ones are lost, as at a socket that is full.
const WAITING: usize = 300;

/// What the network does to each datagram.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub least: Micros,
    pub most: Micros,
    pub loss: f64,
    /// The part of datagrams that come twice.
    pub twice: f64,
}

/// A network within one site.
pub const CALM: Network = Network { least: 50, most: 500, loss: 0.0, twice: 0.0 };

enum Event {
    Wake,
    Comes { from: Address, datagram: Bytes },
    GoesOn,
}

struct Node {
    group: Option<Membership>,
    /// Which of its lives it is in: what was meant for an earlier one is void.
    life: u32,
    wakes_at: Micros,
    halted: bool,
    waiting: Vec<(Address, Bytes)>,
    started: Micros,
    /// Its clock is so far off.
    off: i64,
    bytes: u64,
    said: u64,
}

/// What one saw of another.
#[derive(Clone, Debug)]
pub struct Sighting {
    pub at: Micros,
    pub viewer: usize,
    pub seen: Member,
}

pub struct Crowd {
    now: Micros,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Micros, u64, usize, u32)>>,
    what: std::collections::HashMap<u64, Event>,
    count: u64,
    network: Network,
    /// Sets between which nothing passes, from the one to the other.
    cuts: Vec<(HashSet<usize>, HashSet<usize>)>,
    chance: Pcg64,
    seal: MessageAuthenticator,
    pub sightings: Vec<Sighting>,
    /// Wall time spent in members.
    pub spent: std::time::Duration,
}

fn address(n: usize) -> Address {
    [10, 0, (n >> 8) as u8, n as u8, 0x1b, 0x58]
}

fn number(at: Address) -> usize {
    usize::from(at[2]) << 8 | usize::from(at[3])
}

pub fn name(n: usize) -> String {
    format!("router{n}")
}

impl Crowd {
    /// So many, none of them started.
    pub fn new(count: usize, seed: u64, network: Network) -> Crowd {
        let node = || Node {
            group: None,
            life: 0,
            wakes_at: Micros::MAX,
            halted: false,
            waiting: vec![],
            started: 0,
            off: 0,
            bytes: 0,
            said: 0,
        };
        Crowd {
            now: BEGINS,
            nodes: (0..count).map(|_| node()).collect(),
            events: BinaryHeap::new(),
            what: Default::default(),
            count: 0,
            network,
            cuts: vec![],
            chance: Pcg64::seed_from_u64(seed),
            seal: MessageAuthenticator::new("crowd", &[7; 32]),
            sightings: vec![],
            spent: Default::default(),
        }
    }

    pub fn now(&self) -> Micros {
        self.now
    }

    pub fn network(&mut self, network: Network) {
        self.network = network;
    }

    fn clock(&self, n: usize) -> Micros {
        self.now.saturating_add_signed(self.nodes[n].off)
    }

    pub fn start(&mut self, n: usize) {
        let terms = MembershipConfig {
            name: name(n),
            address: address(n),
            seeds: (0..SEEDS).map(address).collect(),
            rng_seed: self.chance.random(),
        };
        let (now, at) = (self.clock(n), self.now);
        let node = &mut self.nodes[n];
        node.life += 1;
        (node.started, node.halted) = (at, false);
        node.waiting.clear();
        node.group = Some(Membership::new(terms, now));
        node.wakes_at = Micros::MAX;
        self.pull(n);
    }

    /// Starts these within a second.
    pub fn start_all(&mut self, range: Range<usize>) {
        let count = range.len().max(1) as u64;
        for n in range {
            let after = self.now + 1_000_000 / count;
            self.start(n);
            self.run_until(after);
        }
    }

    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.group, node.halted, node.wakes_at) = (None, false, Micros::MAX);
        node.life += 1;
        node.waiting.clear();
    }

    pub fn leave(&mut self, n: usize) {
        let now = self.clock(n);
        self.nodes[n].group.iter_mut().for_each(|g| g.leave(now));
        self.pull(n);
    }

    pub fn halt(&mut self, n: usize, lasts: Micros) {
        if self.nodes[n].group.is_some() && !self.nodes[n].halted {
            self.nodes[n].halted = true;
            self.later(self.now + lasts, n, Event::GoesOn);
        }
    }

    /// Sets a clock that the next start of it finds.
    pub fn clock_off(&mut self, n: usize, off: i64) {
        self.nodes[n].off = off;
    }

    /// Nothing passes any more from the one set to the other.
    pub fn cut(&mut self, from: impl IntoIterator<Item = usize>, to: impl IntoIterator<Item = usize>) {
        self.cuts.push((from.into_iter().collect(), to.into_iter().collect()));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].group.is_some()
    }

    /// When its last life began.
    pub fn started(&self, n: usize) -> Micros {
        self.nodes[n].started
    }

    /// Bytes and datagrams that one has sent so far.
    pub fn sent(&self, n: usize) -> (u64, u64) {
        (self.nodes[n].bytes, self.nodes[n].said)
    }

    /// Whom each that is up sees otherwise than it is: there though it is not up, or not there though it is.
    pub fn wrong(&self) -> Vec<(usize, usize)> {
        let up: Vec<bool> = (0..self.nodes.len()).map(|n| self.is_up(n)).collect();
        let mut wrong = vec![];
        for (viewer, node) in self.nodes.iter().enumerate() {
            let Some(group) = &node.group else { continue };
            let mut ins = vec![false; self.nodes.len()];
            group.members().filter(|s| s.status.is_in()).for_each(|s| ins[number(s.address)] = true);
            ins[viewer] = true;
            wrong.extend((0..ins.len()).filter(|&n| ins[n] != up[n]).map(|n| (viewer, n)));
        }
        wrong
    }

    /// Deaths declared of routers that were up all the time, from a moment on.
    pub fn falsely_dead(&self, since: Micros) -> Vec<&Sighting> {
        let dead = |s: &&Sighting| s.at >= since && s.seen.status == MemberStatus::Dead;
        self.sightings.iter().filter(dead).filter(|s| self.is_up(number(s.seen.address))).collect()
    }

    fn later(&mut self, at: Micros, n: usize, event: Event) {
        self.count += 1;
        self.what.insert(self.count, event);
        self.events.push(Reverse((at, self.count, n, self.nodes[n].life)));
    }

    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, count, n, life))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            let Some(event) = self.what.remove(&count) else { continue };
            if self.nodes[n].life != life {
                continue;
            }
            self.now = self.now.max(at);
            match event {
                Event::Wake if self.nodes[n].halted || self.nodes[n].wakes_at != at => {}
                Event::Wake => {
                    self.nodes[n].wakes_at = Micros::MAX;
                    self.pull(n);
                }
                Event::Comes { from, datagram } if self.nodes[n].halted => {
                    if self.nodes[n].waiting.len() < WAITING {
                        self.nodes[n].waiting.push((from, datagram));
                    }
                }
                Event::Comes { from, datagram } => {
                    self.hear(n, from, &datagram);
                    self.pull(n);
                }
                Event::GoesOn => {
                    self.nodes[n].halted = false;
                    // What waited is read before timers are looked at, as on the loop.
                    for (from, datagram) in std::mem::take(&mut self.nodes[n].waiting) {
                        self.hear(n, from, &datagram);
                    }
                    self.pull(n);
                }
            }
        }
        self.now = self.now.max(until);
    }

    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    fn hear(&mut self, n: usize, from: Address, datagram: &Bytes) {
        let now = self.clock(n);
        let began = std::time::Instant::now();
        let said = self.seal.verify(datagram);
        if let (Ok(said), Some(group)) = (said, &mut self.nodes[n].group) {
            group.handle_datagram(now, from, &said).expect("what members say can be read");
        }
        self.spent += began.elapsed();
    }

    /// Carries out what a member wants until there is nothing left.
    fn pull(&mut self, n: usize) {
        let now = self.clock(n);
        loop {
            let began = std::time::Instant::now();
            let Some(group) = &mut self.nodes[n].group else { return };
            let act = group.next_output(now).map(|act| match act {
                Output::Send { to, message } => (Some((to, self.seal.sign(&message))), None),
                Output::StatusChanged(seen) => (None, Some(seen)),
            });
            self.spent += began.elapsed();
            let Some((say, saw)) = act else { break };
            self.sightings.extend(saw.map(|seen| Sighting { at: self.now, viewer: n, seen }));
            if let Some((to, datagram)) = say {
                self.say(n, to, &datagram);
            }
        }
        let Some(group) = &self.nodes[n].group else { return };
        if group.has_left() {
            return self.kill(n);
        }
        let due = group.wakeup_at().saturating_add_signed(-self.nodes[n].off).max(self.now);
        if due != self.nodes[n].wakes_at {
            self.nodes[n].wakes_at = due;
            self.later(due, n, Event::Wake);
        }
    }

    fn say(&mut self, n: usize, to: Address, datagram: &Bytes) {
        assert!(datagram.len() <= tideroute_wire::gossip::LARGEST, "{} bytes", datagram.len());
        self.nodes[n].bytes += datagram.len() as u64;
        self.nodes[n].said += 1;
        let target = number(to);
        let cut = self.cuts.iter().any(|(from, to)| from.contains(&n) && to.contains(&target));
        if cut || target >= self.nodes.len() || !self.is_up(target) {
            return;
        }
        let times = 1 + usize::from(self.chance.random::<f64>() < self.network.twice);
        for _ in 0..times {
            if self.chance.random::<f64>() < self.network.loss {
                continue;
            }
            let at = self.now + self.chance.random_range(self.network.least..=self.network.most);
            self.later(at, target, Event::Comes { from: address(n), datagram: datagram.clone() });
        }
    }
}
