//! A generated world: one gateway, its clients, workers and connections, and the rules that it must keep.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::common::*;
use serde_json::json;
use tideroute::rng::Rng;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

#[path = "clients.rs"]
mod clients;
#[path = "workers.rs"]
mod workers;

/// The release timeout of the settings and what the protocol allows beyond it, and how late the event loop may be.
const RELEASE_TIMEOUT: Micros = 1_300 * MS;
const LOOP_LAG: Micros = 50 * MS;
/// Times after which a disconnect and a drain count as seen, by the settings, and the connect timeout.
const DISCONNECT_GRACE: Micros = 100 * MS;
const DRAIN_GRACE: Micros = 200 * MS;
const CONNECT_TIMEOUT: Micros = 250 * MS;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    SendRequest(usize),
    ClientDisconnects(usize),
    Connected(ConnectionId),
    ConnectFails(ConnectionId),
    Response(ConnectionId, String),
    PrefillEnds(ConnectionId, String, u8),
    DecodeEnds(ConnectionId, String, u8),
    ReservationAnswered(ConnectionId, String, bool),
    Vanish(usize),
    Return(usize),
    Drain(usize),
    Heartbeat,
}

/// What running workers hold for a request, since when its timeout runs, and which attempts are at workers that run.
#[derive(Default)]
struct Request {
    has_state: bool,
    is_reserved: bool,
    since: Micros,
    prefills: BTreeSet<ConnectionId>,
    decodes: BTreeSet<ConnectionId>,
    has_response: bool,
}

struct Client {
    connection: ConnectionId,
    answered_by: Micros,
    disconnected_at: Option<Micros>,
}

pub struct World {
    harness: Harness,
    rng: Rng,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    events: u64,
    requests: BTreeMap<String, Request>,
    clients: BTreeMap<usize, Client>,
    unreachable: BTreeSet<usize>,
    draining_since: BTreeMap<usize, Micros>,
    version: u64,
    /// Connections seen, whether they are established, and how many bytes on them were looked at.
    connections: BTreeMap<ConnectionId, (bool, usize)>,
    blackholed: BTreeSet<ConnectionId>,
    broken: Option<String>,
}

impl World {
    pub fn new(seed: u64) -> World {
        let (mut rng, mut file) = (Rng::new(seed), router_config());
        file["settings"]["family_info"]["ahead"] = (rng.unit() < 0.7).into();
        file["settings"]["caps"]["probing"] = (rng.unit() < 0.8).into();
        let mut harness = Harness::with_config(&file);
        harness.is_immediate = false;
        let mut world = World {
            harness,
            rng,
            queue: BinaryHeap::new(),
            events: 0,
            requests: BTreeMap::new(),
            clients: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            draining_since: BTreeMap::new(),
            version: 4,
            connections: BTreeMap::new(),
            blackholed: BTreeSet::new(),
            broken: None,
        };
        let (watch, _) = world.harness.watch();
        world.harness.complete_write(watch);
        world.harness.send_update(&endpoint_list(4));
        for n in 0..world.random_range(1, 6) {
            let at = world.random_range(0, 1_500);
            world.schedule(at, Event::SendRequest(n as usize));
        }
        // A prefill worker and a decode worker always run: a release can always be answered.
        for _ in 0..world.random_range(0, 4) {
            let (worker, at) = (1 + world.random_range(0, 5) as usize % 5, world.random_range(0, 1_500));
            let last = at + world.random_range(50, 2_500);
            if worker != 2 {
                world.schedule(at, Event::Vanish(worker));
                world.schedule(last, Event::Return(worker));
            }
        }
        if world.random_bool(0.3) {
            let at = world.random_range(0, 1_500);
            world.schedule(at, Event::Drain(1));
        }
        (0..140).for_each(|n| world.schedule(n * 50, Event::Heartbeat));
        world
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.unit() < probability
    }

    fn random_range(&mut self, least: u64, below: u64) -> u64 {
        least + (self.rng.unit() * (below - least) as f64) as u64
    }

    /// An event in so many milliseconds from now.
    fn schedule(&mut self, ms: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((self.harness.now + ms * MS, self.events, event)));
    }

    fn rule_broken(&mut self, description: String) {
        let at = (self.harness.now - EPOCH) / MS;
        self.broken.get_or_insert(format!("at {at} ms: {description}"));
    }

    fn worker(&self, connection: ConnectionId) -> Option<usize> {
        self.harness.outbound.get(&connection).filter(|to| to[2] == 1).map(|to| usize::from(to[3]) - 1)
    }

    fn passes(&self, connection: ConnectionId) -> bool {
        !self.blackholed.contains(&connection)
            && self.worker(connection).is_some_and(|w| !self.unreachable.contains(&w))
    }

    fn deliver(&mut self, connection: ConnectionId, text: &str) {
        if self.passes(connection) && !self.harness.ended.contains_key(&connection) {
            self.harness.deliver(connection, text);
        }
    }

    /// Looks at what the router did: connections dialled, bytes sent, and connections ended.
    fn observe(&mut self) {
        loop {
            let fresh: Vec<_> =
                self.harness.outbound.keys().filter(|l| !self.connections.contains_key(l)).copied().collect();
            for connection in &fresh {
                self.connections.insert(*connection, (false, 0));
                let Some(worker) = self.worker(*connection) else { continue };
                if self.unreachable.contains(&worker) || self.random_bool(0.03) {
                    self.schedule(CONNECT_TIMEOUT / MS, Event::ConnectFails(*connection));
                } else {
                    let late = if self.random_bool(0.1) { self.random_range(20, 240) } else { 1 };
                    self.schedule(late, Event::Connected(*connection));
                }
            }
            let ended: Vec<_> = self.harness.ended.keys().copied().collect();
            for request in self.requests.values_mut() {
                let has_ended = ended.iter().any(|connection| {
                    request.prefills.remove(connection) | request.decodes.remove(connection)
                });
                request.since = if has_ended { self.harness.now } else { request.since };
            }
            let mut observed_call = false;
            for connection in
                self.connections.iter().filter(|(_, (up, _))| *up).map(|(l, _)| *l).collect::<Vec<_>>()
            {
                observed_call |= self.observe_call(connection);
            }
            if fresh.is_empty() && !observed_call {
                return;
            }
        }
    }

    /// A connection carries calls: they are written at once, and arrive unless the connection leads nowhere.
    fn observe_call(&mut self, connection: ConnectionId) -> bool {
        let seen = self.connections.get(&connection).map_or(0, |l| l.1);
        let all = self.harness.sent_text(connection);
        if all.len() <= seen || self.harness.ended.contains_key(&connection) {
            return false;
        }
        self.connections.insert(connection, (true, all.len()));
        let text = all[seen..].to_string();
        let Some(worker) = self.worker(connection) else { return true };
        let now = self.harness.now;
        let trace = |head: &str| text.split(head).nth(1)?.split(['\r', ' ']).next().map(str::to_string);
        if text.starts_with("POST /v1") {
            let trace = trace("x-trace-id: ").expect("an id");
            let number: usize = trace[1..].parse().expect("a number");
            let late = self
                .clients
                .get(&number)
                .and_then(|client| client.disconnected_at)
                .is_some_and(|at| now > at + DISCONNECT_GRACE);
            if late {
                self.rule_broken(format!("an attempt for {trace}, whose client has gone"));
            }
        }
        let is_new_work = text.starts_with("POST ");
        if is_new_work && self.draining_since.get(&worker).is_some_and(|at| now > *at + DRAIN_GRACE) {
            self.rule_broken(format!("{} to a worker that drains", &text[..30]));
        }
        if self.passes(connection) {
            self.arrives(connection, worker, &text);
        }
        self.harness.complete_write(connection);
        true
    }

    /// The worker's side of a connection ends; the router sees it unless the connection leads nowhere.
    fn break_connection(&mut self, connection: ConnectionId) {
        if self.passes(connection) && !self.harness.ended.contains_key(&connection) {
            self.connections.remove(&connection);
            self.harness.reset(connection);
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::SendRequest(n) => self.send_request(n),
            Event::ClientDisconnects(n) => self.client_disconnects(n),
            Event::Connected(connection) => self.connected(connection),
            Event::ConnectFails(connection) => self.connect_fails(connection),
            Event::Response(connection, text) => self.deliver(connection, &text),
            Event::PrefillEnds(connection, trace, roll) => self.prefill_ends(connection, trace, roll),
            Event::DecodeEnds(connection, trace, roll) => self.decode_ends(connection, trace, roll),
            Event::ReservationAnswered(connection, trace, knows_prefill) => {
                self.answer_reservation(connection, trace, knows_prefill);
            }
            Event::Vanish(worker) => drop(self.unreachable.insert(worker)),
            Event::Return(worker) => self.worker_returns(worker),
            Event::Drain(worker) => self.drain(worker),
            Event::Heartbeat => self.heartbeat(),
        }
    }

    /// What the rules require at any moment.
    fn check_rules(&mut self) {
        let now = self.harness.now;
        let held = self.requests.iter().find(|(_, request)| {
            let is_in_flight = !request.prefills.is_empty() || !request.decodes.is_empty();
            (request.has_state || request.is_reserved)
                && !is_in_flight
                && now > request.since + RELEASE_TIMEOUT
        });
        if let Some((trace, request)) = held {
            let (since, what) =
                ((request.since - EPOCH) / MS, if request.has_state { "state" } else { "place" });
            let what = format!("a {what} of {trace} is held since {since} ms");
            return self.rule_broken(what);
        }
        for (n, client) in &self.clients {
            let text = self.harness.sent_text(client.connection);
            let heads = text.matches("HTTP/1.1 ").count();
            let none = heads == 0 && client.disconnected_at.is_none() && now > client.answered_by;
            if heads > 1 || none {
                let what = format!("t{n} has {heads} answers");
                return self.rule_broken(what);
            }
        }
    }

    pub fn play(mut self) -> Option<String> {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.harness.advance(at.saturating_sub(self.harness.now));
            self.observe();
            self.step(event);
            self.observe();
            self.check_rules();
            if self.broken.is_some() {
                return self.broken;
            }
        }
        None
    }
}
