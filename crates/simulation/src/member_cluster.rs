//! A cluster of members in virtual time: the real membership protocol over a simulated network that delays, loses and
//! duplicates datagrams and can be partitioned, in one process and from one seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::ops::Range;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_membership::{Member, Membership, MembershipConfig, MessageAuthenticator, Output};
use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::{Address, Micros};

/// When a cluster begins, in microseconds since 1970. The time is arbitrary, but large enough for clocks that are behind.
pub const EPOCH: Micros = 1_800_000_000_000_000;
/// Number of members that all others know from the beginning.
const SEEDS: usize = 3;
/// Number of datagrams that can wait at a paused process; further ones are lost, as at a socket with a full buffer.
const SOCKET_BUFFER: usize = 300;

/// What the network does to each datagram.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The shortest delay of a datagram.
    pub min_delay: Micros,
    /// The longest delay of a datagram.
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
    membership: Option<Membership>,
    /// Number of times that it was started or killed; events for an earlier incarnation are discarded.
    incarnation: u32,
    /// When its timer fires; `Micros::MAX` if none is set.
    wakes_at: Micros,
    paused: bool,
    /// Datagrams that arrived while it was paused.
    waiting: Vec<(Address, Bytes)>,
    started: Micros,
    /// Microseconds by which its clock is ahead; negative if it is behind.
    clock_offset: i64,
    bytes: u64,
    datagrams_sent: u64,
}

/// What one member observed of another.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The virtual time of the observation.
    pub at: Micros,
    /// The index of the member that observed it.
    pub observer: usize,
    /// The state of the observed member, as the observer saw it.
    pub observed: Member,
}

/// Members and the network between them, in virtual time.
pub struct MemberCluster {
    now: Micros,
    nodes: Vec<Node>,
    /// The time, sequence number, member and incarnation of each scheduled event.
    events: BinaryHeap<Reverse<(Micros, u64, usize, u32)>>,
    /// The scheduled events by sequence number.
    scheduled: std::collections::HashMap<u64, Event>,
    last_sequence: u64,
    network: Network,
    /// Pairs of sets of members; no datagram passes from the first set of a pair to the second.
    partitions: Vec<(HashSet<usize>, HashSet<usize>)>,
    rng: Pcg64,
    authenticator: MessageAuthenticator,
    /// All changes of status that members observed of others, in order of time.
    pub observations: Vec<Observation>,
    /// Real time spent in the code of the members.
    pub time_in_members: std::time::Duration,
}

/// Returns the address of a member, which contains its index.
fn address(member: usize) -> Address {
    [10, 0, (member >> 8) as u8, member as u8, 0x1b, 0x58]
}

/// Returns the index of the member with this address.
fn index(address: Address) -> usize {
    usize::from(address[2]) << 8 | usize::from(address[3])
}

/// Returns the name of the member with this index.
pub fn member_name(member: usize) -> String {
    format!("router{member}")
}

impl MemberCluster {
    /// Creates a cluster of `count` members, none of them started.
    pub fn new(count: usize, seed: u64, network: Network) -> MemberCluster {
        let node = || Node {
            membership: None,
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
            last_sequence: 0,
            network,
            partitions: vec![],
            rng: Pcg64::seed_from_u64(seed),
            authenticator: MessageAuthenticator::new("crowd", &[7; 32]),
            observations: vec![],
            time_in_members: Default::default(),
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Changes the delay, loss and duplication of the network.
    pub fn set_network(&mut self, network: Network) {
        self.network = network;
    }

    /// Returns the time that the clock of a member shows.
    fn clock(&self, member: usize) -> Micros {
        self.now.saturating_add_signed(self.nodes[member].clock_offset)
    }

    /// Starts or restarts a member.
    pub fn start(&mut self, member: usize) {
        let config = MembershipConfig {
            name: member_name(member),
            address: address(member),
            seeds: (0..SEEDS).map(address).collect(),
            rng_seed: self.rng.random(),
        };
        let (now, started) = (self.clock(member), self.now);
        let node = &mut self.nodes[member];
        node.incarnation += 1;
        (node.started, node.paused) = (started, false);
        node.waiting.clear();
        node.membership = Some(Membership::new(config, now));
        node.wakes_at = Micros::MAX;
        self.execute_actions(member);
    }

    /// Starts these members one after the other, within a second.
    pub fn start_all(&mut self, range: Range<usize>) {
        let count = range.len().max(1) as u64;
        for member in range {
            let next_start = self.now + 1_000_000 / count;
            self.start(member);
            self.run_until(next_start);
        }
    }

    /// Kills a member; the others are not notified.
    pub fn kill(&mut self, member: usize) {
        let node = &mut self.nodes[member];
        (node.membership, node.paused, node.wakes_at) = (None, false, Micros::MAX);
        node.incarnation += 1;
        node.waiting.clear();
    }

    /// Has a member leave the cluster.
    pub fn leave(&mut self, member: usize) {
        let now = self.clock(member);
        self.nodes[member].membership.iter_mut().for_each(|membership| membership.leave(now));
        self.execute_actions(member);
    }

    /// Pauses a member for a span of time.
    pub fn pause(&mut self, member: usize, duration: Micros) {
        if self.nodes[member].membership.is_some() && !self.nodes[member].paused {
            self.nodes[member].paused = true;
            self.schedule(self.now + duration, member, Event::Resume);
        }
    }

    /// Sets by how many microseconds the clock of a member is ahead; a negative offset sets it back.
    pub fn set_clock_offset(&mut self, member: usize, clock_offset: i64) {
        self.nodes[member].clock_offset = clock_offset;
    }

    /// Partitions the network: no datagram passes any more from the set `from` to the set `to`.
    pub fn partition(&mut self, from: impl IntoIterator<Item = usize>, to: impl IntoIterator<Item = usize>) {
        self.partitions.push((from.into_iter().collect(), to.into_iter().collect()));
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Returns whether a member runs.
    pub fn is_up(&self, member: usize) -> bool {
        self.nodes[member].membership.is_some()
    }

    /// Returns when a member was last started.
    pub fn started(&self, member: usize) -> Micros {
        self.nodes[member].started
    }

    /// Returns the bytes and the number of datagrams that a member has sent so far.
    pub fn sent_traffic(&self, member: usize) -> (u64, u64) {
        (self.nodes[member].bytes, self.nodes[member].datagrams_sent)
    }

    /// Returns the pairs of a running member and a member whose state it sees wrongly: as present though it is down, or the
    /// reverse.
    pub fn wrong_views(&self) -> Vec<(usize, usize)> {
        let up: Vec<bool> = (0..self.nodes.len()).map(|member| self.is_up(member)).collect();
        let mut wrong = vec![];
        for (observer, node) in self.nodes.iter().enumerate() {
            let Some(membership) = &node.membership else { continue };
            let mut is_seen_present = vec![false; self.nodes.len()];
            membership
                .members()
                .filter(|member| member.status.is_in())
                .for_each(|member| is_seen_present[index(member.address)] = true);
            is_seen_present[observer] = true;
            wrong.extend(
                (0..is_seen_present.len())
                    .filter(|&member| is_seen_present[member] != up[member])
                    .map(|member| (observer, member)),
            );
        }
        wrong
    }

    /// Returns the observations since a moment in which a member that runs now was declared dead.
    pub fn false_death_declarations(&self, since: Micros) -> Vec<&Observation> {
        let is_death = |observation: &&Observation| {
            observation.at >= since && observation.observed.status == MemberStatus::Dead
        };
        self.observations
            .iter()
            .filter(is_death)
            .filter(|observation| self.is_up(index(observation.observed.address)))
            .collect()
    }

    fn schedule(&mut self, at: Micros, member: usize, event: Event) {
        self.last_sequence += 1;
        self.scheduled.insert(self.last_sequence, event);
        self.events.push(Reverse((at, self.last_sequence, member, self.nodes[member].incarnation)));
    }

    /// Runs until a point in virtual time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, sequence, member, incarnation))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            let Some(event) = self.scheduled.remove(&sequence) else { continue };
            if self.nodes[member].incarnation != incarnation {
                continue;
            }
            self.now = self.now.max(at);
            match event {
                Event::Wake if self.nodes[member].paused || self.nodes[member].wakes_at != at => {}
                Event::Wake => {
                    self.nodes[member].wakes_at = Micros::MAX;
                    self.execute_actions(member);
                }
                Event::Datagram { from, datagram } if self.nodes[member].paused => {
                    if self.nodes[member].waiting.len() < SOCKET_BUFFER {
                        self.nodes[member].waiting.push((from, datagram));
                    }
                }
                Event::Datagram { from, datagram } => {
                    self.deliver(member, from, &datagram);
                    self.execute_actions(member);
                }
                Event::Resume => {
                    self.nodes[member].paused = false;
                    // Datagrams that waited are read before timers fire, as in the event loop.
                    for (from, datagram) in std::mem::take(&mut self.nodes[member].waiting) {
                        self.deliver(member, from, &datagram);
                    }
                    self.execute_actions(member);
                }
            }
        }
        self.now = self.now.max(until);
    }

    /// Runs for a span of virtual time.
    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    fn deliver(&mut self, member: usize, from: Address, datagram: &Bytes) {
        let now = self.clock(member);
        let started_at = std::time::Instant::now();
        let message = self.authenticator.verify(datagram);
        if let (Ok(message), Some(membership)) = (message, &mut self.nodes[member].membership) {
            membership.handle_datagram(now, from, &message).expect("messages of members are well formed");
        }
        self.time_in_members += started_at.elapsed();
    }

    /// Executes the actions of a member until it has no more.
    fn execute_actions(&mut self, member: usize) {
        let now = self.clock(member);
        loop {
            let started_at = std::time::Instant::now();
            let Some(membership) = &mut self.nodes[member].membership else { return };
            let action = membership.next_output(now).map(|action| match action {
                Output::Send { to, message } => (Some((to, self.authenticator.sign(&message))), None),
                Output::StatusChanged(observed) => (None, Some(observed)),
            });
            self.time_in_members += started_at.elapsed();
            let Some((message, observation)) = action else { break };
            self.observations.extend(observation.map(|observed| Observation {
                at: self.now,
                observer: member,
                observed,
            }));
            if let Some((to, datagram)) = message {
                self.send(member, to, &datagram);
            }
        }
        let Some(membership) = &self.nodes[member].membership else { return };
        if membership.has_left() {
            return self.kill(member);
        }
        let due =
            membership.wakeup_at().saturating_add_signed(-self.nodes[member].clock_offset).max(self.now);
        if due != self.nodes[member].wakes_at {
            self.nodes[member].wakes_at = due;
            self.schedule(due, member, Event::Wake);
        }
    }

    fn send(&mut self, member: usize, to: Address, datagram: &Bytes) {
        assert!(datagram.len() <= tideroute_wire::gossip::LARGEST, "{} bytes", datagram.len());
        self.nodes[member].bytes += datagram.len() as u64;
        self.nodes[member].datagrams_sent += 1;
        let target = index(to);
        let is_partitioned =
            self.partitions.iter().any(|(from, to)| from.contains(&member) && to.contains(&target));
        if is_partitioned || target >= self.nodes.len() || !self.is_up(target) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.network.duplication);
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.network.loss {
                continue;
            }
            let at = self.now + self.rng.random_range(self.network.min_delay..=self.network.max_delay);
            self.schedule(at, target, Event::Datagram { from: address(member), datagram: datagram.clone() });
        }
    }
}
