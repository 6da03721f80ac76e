//! A cluster of members in virtual time: the real membership protocol over a network that delays, loses, duplicates and
//! partitions, in one process and from one seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::ops::Range;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_membership::{Member, Membership, MembershipConfig, MessageAuthenticator, Output};
use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::{Address, Micros};

/// When a cluster begins, in microseconds since 1970: any time will do that leaves room for clocks that are behind.
pub const EPOCH: Micros = 1_800_000_000_000_000;
/// Members that all others know from the beginning.
const SEEDS: usize = 3;
/// Datagrams that wait at a paused process; further ones are lost, as at a socket whose buffer is full.
const SOCKET_BUFFER: usize = 300;

/// What the network does to each datagram.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The shortest delay.
    pub min_delay: Micros,
    /// The longest delay.
    pub max_delay: Micros,
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// The fraction of datagrams that is duplicated.
    pub duplication: f64,
}

/// A network within one site.
pub const LOCAL_NETWORK: Network = Network { min_delay: 50, max_delay: 500, loss: 0.0, duplication: 0.0 };

enum Event {
    Wake,
    Datagram { from: Address, datagram: Bytes },
    Resume,
}

struct Node {
    group: Option<Membership>,
    /// How often it was started or killed; events for an earlier incarnation are void.
    incarnation: u32,
    wakes_at: Micros,
    paused: bool,
    waiting: Vec<(Address, Bytes)>,
    started: Micros,
    /// Microseconds by which its clock is off.
    clock_offset: i64,
    bytes: u64,
    datagrams_sent: u64,
}

/// What one member observed of another.
#[derive(Clone, Debug)]
pub struct Observation {
    /// When.
    pub at: Micros,
    /// The member that observed it.
    pub observer: usize,
    /// What it observed.
    pub observed: Member,
}

/// Members and the network between them, in virtual time.
pub struct MemberCluster {
    now: Micros,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Micros, u64, usize, u32)>>,
    scheduled: std::collections::HashMap<u64, Event>,
    count: u64,
    network: Network,
    /// Sets of members between which nothing passes, from the one to the other.
    partitions: Vec<(HashSet<usize>, HashSet<usize>)>,
    rng: Pcg64,
    seal: MessageAuthenticator,
    /// All that members observed of others, in order.
    pub observations: Vec<Observation>,
    /// Time spent in the code of members.
    pub member_cpu_time: std::time::Duration,
}

fn address(n: usize) -> Address {
    [10, 0, (n >> 8) as u8, n as u8, 0x1b, 0x58]
}

fn number(at: Address) -> usize {
    usize::from(at[2]) << 8 | usize::from(at[3])
}

/// The name of a member.
pub fn member_name(n: usize) -> String {
    format!("router{n}")
}

impl MemberCluster {
    /// A cluster of `count` members, none of them started.
    pub fn new(count: usize, seed: u64, network: Network) -> MemberCluster {
        let node = || Node {
            group: None,
            incarnation: 0,
            wakes_at: Micros::MAX,
            paused: false,
            waiting: vec![],
            started: 0,
            clock_offset: 0,
            bytes: 0,
            datagrams_sent: 0,
        };
        MemberCluster {
            now: EPOCH,
            nodes: (0..count).map(|_| node()).collect(),
            events: BinaryHeap::new(),
            scheduled: Default::default(),
            count: 0,
            network,
            partitions: vec![],
            rng: Pcg64::seed_from_u64(seed),
            seal: MessageAuthenticator::new("crowd", &[7; 32]),
            observations: vec![],
            member_cpu_time: Default::default(),
        }
    }

    /// The virtual time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Changes what the network does.
    pub fn network(&mut self, network: Network) {
        self.network = network;
    }

    fn clock(&self, n: usize) -> Micros {
        self.now.saturating_add_signed(self.nodes[n].clock_offset)
    }

    /// Starts or restarts a member.
    pub fn start(&mut self, n: usize) {
        let terms = MembershipConfig {
            name: member_name(n),
            address: address(n),
            seeds: (0..SEEDS).map(address).collect(),
            rng_seed: self.rng.random(),
        };
        let (now, at) = (self.clock(n), self.now);
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        (node.started, node.paused) = (at, false);
        node.waiting.clear();
        node.group = Some(Membership::new(terms, now));
        node.wakes_at = Micros::MAX;
        self.execute_actions(n);
    }

    /// Starts these members within a second.
    pub fn start_all(&mut self, range: Range<usize>) {
        let count = range.len().max(1) as u64;
        for n in range {
            let after = self.now + 1_000_000 / count;
            self.start(n);
            self.run_until(after);
        }
    }

    /// Kills a member; it does not tell the others.
    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.group, node.paused, node.wakes_at) = (None, false, Micros::MAX);
        node.incarnation += 1;
        node.waiting.clear();
    }

    /// Has a member leave the cluster.
    pub fn leave(&mut self, n: usize) {
        let now = self.clock(n);
        self.nodes[n].group.iter_mut().for_each(|g| g.leave(now));
        self.execute_actions(n);
    }

    /// Pauses a member.
    pub fn halt(&mut self, n: usize, lasts: Micros) {
        if self.nodes[n].group.is_some() && !self.nodes[n].paused {
            self.nodes[n].paused = true;
            self.schedule(self.now + lasts, n, Event::Resume);
        }
    }

    /// Sets by how much the clock of a member is off from its next start.
    pub fn clock_off(&mut self, n: usize, clock_offset: i64) {
        self.nodes[n].clock_offset = clock_offset;
    }

    /// Partitions the network: nothing passes any more from the one set to the other.
    pub fn cut(&mut self, from: impl IntoIterator<Item = usize>, to: impl IntoIterator<Item = usize>) {
        self.partitions.push((from.into_iter().collect(), to.into_iter().collect()));
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Whether a member runs.
    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].group.is_some()
    }

    /// When a member was last started.
    pub fn started(&self, n: usize) -> Micros {
        self.nodes[n].started
    }

    /// Bytes and datagrams that a member has sent so far.
    pub fn sent_traffic(&self, n: usize) -> (u64, u64) {
        (self.nodes[n].bytes, self.nodes[n].datagrams_sent)
    }

    /// Pairs of a running member and a member that it sees wrongly: present though it is down, or the reverse.
    pub fn wrong_views(&self) -> Vec<(usize, usize)> {
        let up: Vec<bool> = (0..self.nodes.len()).map(|n| self.is_up(n)).collect();
        let mut wrong = vec![];
        for (viewer, node) in self.nodes.iter().enumerate() {
            let Some(group) = &node.group else { continue };
            let mut seen_present = vec![false; self.nodes.len()];
            group.members().filter(|s| s.status.is_in()).for_each(|s| seen_present[number(s.address)] = true);
            seen_present[viewer] = true;
            wrong.extend((0..seen_present.len()).filter(|&n| seen_present[n] != up[n]).map(|n| (viewer, n)));
        }
        wrong
    }

    /// Declarations of death of members that are up, from a moment on.
    pub fn false_death_declarations(&self, since: Micros) -> Vec<&Observation> {
        let dead = |o: &&Observation| o.at >= since && o.observed.status == MemberStatus::Dead;
        self.observations.iter().filter(dead).filter(|o| self.is_up(number(o.observed.address))).collect()
    }

    fn schedule(&mut self, at: Micros, n: usize, event: Event) {
        self.count += 1;
        self.scheduled.insert(self.count, event);
        self.events.push(Reverse((at, self.count, n, self.nodes[n].incarnation)));
    }

    /// Runs until a moment.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, count, n, incarnation))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            let Some(event) = self.scheduled.remove(&count) else { continue };
            if self.nodes[n].incarnation != incarnation {
                continue;
            }
            self.now = self.now.max(at);
            match event {
                Event::Wake if self.nodes[n].paused || self.nodes[n].wakes_at != at => {}
                Event::Wake => {
                    self.nodes[n].wakes_at = Micros::MAX;
                    self.execute_actions(n);
                }
                Event::Datagram { from, datagram } if self.nodes[n].paused => {
                    if self.nodes[n].waiting.len() < SOCKET_BUFFER {
                        self.nodes[n].waiting.push((from, datagram));
                    }
                }
                Event::Datagram { from, datagram } => {
                    self.deliver(n, from, &datagram);
                    self.execute_actions(n);
                }
                Event::Resume => {
                    self.nodes[n].paused = false;
                    // Datagrams that waited are read before timers fire, as on the event loop.
                    for (from, datagram) in std::mem::take(&mut self.nodes[n].waiting) {
                        self.deliver(n, from, &datagram);
                    }
                    self.execute_actions(n);
                }
            }
        }
        self.now = self.now.max(until);
    }

    /// Runs for a span of time.
    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    fn deliver(&mut self, n: usize, from: Address, datagram: &Bytes) {
        let now = self.clock(n);
        let began = std::time::Instant::now();
        let message = self.seal.verify(datagram);
        if let (Ok(message), Some(group)) = (message, &mut self.nodes[n].group) {
            group.handle_datagram(now, from, &message).expect("what members say can be read");
        }
        self.member_cpu_time += began.elapsed();
    }

    /// Executes the actions of a member until it has no more.
    fn execute_actions(&mut self, n: usize) {
        let now = self.clock(n);
        loop {
            let began = std::time::Instant::now();
            let Some(group) = &mut self.nodes[n].group else { return };
            let act = group.next_output(now).map(|act| match act {
                Output::Send { to, message } => (Some((to, self.seal.sign(&message))), None),
                Output::StatusChanged(seen) => (None, Some(seen)),
            });
            self.member_cpu_time += began.elapsed();
            let Some((message, observation)) = act else { break };
            self.observations.extend(observation.map(|observed| Observation {
                at: self.now,
                observer: n,
                observed,
            }));
            if let Some((to, datagram)) = message {
                self.send(n, to, &datagram);
            }
        }
        let Some(group) = &self.nodes[n].group else { return };
        if group.has_left() {
            return self.kill(n);
        }
        let due = group.wakeup_at().saturating_add_signed(-self.nodes[n].clock_offset).max(self.now);
        if due != self.nodes[n].wakes_at {
            self.nodes[n].wakes_at = due;
            self.schedule(due, n, Event::Wake);
        }
    }

    fn send(&mut self, n: usize, to: Address, datagram: &Bytes) {
        assert!(datagram.len() <= tideroute_wire::gossip::LARGEST, "{} bytes", datagram.len());
        self.nodes[n].bytes += datagram.len() as u64;
        self.nodes[n].datagrams_sent += 1;
        let target = number(to);
        let cut = self.partitions.iter().any(|(from, to)| from.contains(&n) && to.contains(&target));
        if cut || target >= self.nodes.len() || !self.is_up(target) {
            return;
        }
        let times = 1 + usize::from(self.rng.random::<f64>() < self.network.duplication);
        for _ in 0..times {
            if self.rng.random::<f64>() < self.network.loss {
                continue;
            }
            let at = self.now + self.rng.random_range(self.network.min_delay..=self.network.max_delay);
            self.schedule(at, target, Event::Datagram { from: address(n), datagram: datagram.clone() });
        }
    }
}
