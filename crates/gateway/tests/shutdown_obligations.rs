//! Ways in which requests end, generated at random, in any order and overlap, beside a plain model of workers, clients
//! and connections that knows nothing of the router: what is reserved is released or taken in time, each client gets
//! one response in time, nothing begins for one that has disconnected, and nothing new reaches a draining worker.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use common::*;
use serde_json::json;
use tideroute::rng::Rng;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

/// Worlds that are generated; the first of them that breaks a rule is named by its seed.
const WORLDS: u64 = 12_000;
/// The release timeout of the settings and what the protocol allows beyond it, and how late the event loop may be.
const RELEASE_TIMEOUT: Micros = 1_300 * MS;
const LOOP_LAG: Micros = 50 * MS;
/// Times after which a disconnect and a drain count as seen, by the settings, and the connect timeout.
const DISCONNECT_GRACE: Micros = 100 * MS;
const DRAIN_GRACE: Micros = 200 * MS;
const CONNECT_TIMEOUT: Micros = 250 * MS;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Ask(usize),
    Leave(usize),
    Up(ConnectionId),
    Unreached(ConnectionId),
    Say(ConnectionId, String),
    ReadEnds(ConnectionId, String, u8),
    WriteEnds(ConnectionId, String, u8),
    Place(ConnectionId, String, bool),
    Silent(usize),
    Back(usize),
    Drain(usize),
    Tick,
}

/// What running workers hold for a request, since when its timeout runs, and which attempts are at workers that run.
#[derive(Default)]
struct Request {
    state: bool,
    place: bool,
    since: Micros,
    reads: BTreeSet<ConnectionId>,
    writes: BTreeSet<ConnectionId>,
    begun: bool,
}

struct Client {
    connection: ConnectionId,
    until: Micros,
    left: Option<Micros>,
}

struct World {
    harness: Harness,
    rng: Rng,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    events: u64,
    requests: BTreeMap<String, Request>,
    clients: BTreeMap<usize, Client>,
    unreachable: BTreeSet<usize>,
    drains: BTreeMap<usize, Micros>,
    version: u64,
    /// Connections seen, whether they are established, and how many bytes on them were looked at.
    connections: BTreeMap<ConnectionId, (bool, usize)>,
    blackholed: BTreeSet<ConnectionId>,
    broken: Option<String>,
}

impl World {
    fn new(seed: u64) -> World {
        let (mut rng, mut file) = (Rng::new(seed), file());
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
            drains: BTreeMap::new(),
            version: 4,
            connections: BTreeMap::new(),
            blackholed: BTreeSet::new(),
            broken: None,
        };
        let (watch, _) = world.harness.watch();
        world.harness.complete_write(watch);
        world.harness.send_update(&list(4));
        for n in 0..world.random_range(1, 6) {
            let at = world.random_range(0, 1_500);
            world.schedule(at, Event::Ask(n as usize));
        }
        // A prefill worker and a decode worker always run: a release can always be answered.
        for _ in 0..world.random_range(0, 4) {
            let (worker, at) = (1 + world.random_range(0, 5) as usize % 5, world.random_range(0, 1_500));
            let last = at + world.random_range(50, 2_500);
            if worker != 2 {
                world.schedule(at, Event::Silent(worker));
                world.schedule(last, Event::Back(worker));
            }
        }
        if world.random_bool(0.3) {
            let at = world.random_range(0, 1_500);
            world.schedule(at, Event::Drain(1));
        }
        (0..140).for_each(|n| world.schedule(n * 50, Event::Tick));
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
        let at = (self.harness.now - BEGAN) / MS;
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

    /// An attempt has ended at its worker.
    fn attempt_ended(&mut self, connection: ConnectionId, trace: &str) {
        let now = self.harness.now;
        let request = self.requests.entry(trace.to_string()).or_default();
        request.reads.remove(&connection);
        request.writes.remove(&connection);
        request.since = now;
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
                    self.schedule(CONNECT_TIMEOUT / MS, Event::Unreached(*connection));
                } else {
                    let late = if self.random_bool(0.1) { self.random_range(20, 240) } else { 1 };
                    self.schedule(late, Event::Up(*connection));
                }
            }
            let gone: Vec<_> = self.harness.ended.keys().copied().collect();
            for request in self.requests.values_mut() {
                let ends = gone.iter().any(|l| request.reads.remove(l) | request.writes.remove(l));
                request.since = if ends { self.harness.now } else { request.since };
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
            let late =
                self.clients.get(&number).and_then(|c| c.left).is_some_and(|at| now > at + DISCONNECT_GRACE);
            if late {
                self.rule_broken(format!("an attempt for {trace}, whose client has gone"));
            }
        }
        let new = text.starts_with("POST ");
        if new && self.drains.get(&worker).is_some_and(|at| now > *at + DRAIN_GRACE) {
            self.rule_broken(format!("{} to a worker that drains", &text[..30]));
        }
        if self.passes(connection) {
            self.arrives(connection, worker, &text);
        }
        self.harness.complete_write(connection);
        true
    }

    fn arrives(&mut self, connection: ConnectionId, worker: usize, text: &str) {
        let after =
            |head: &str| text.split(head).nth(1).and_then(|t| t.split(['\r', ' ']).next()).unwrap_or("");
        if text.starts_with("GET ") {
            return self.schedule(1, Event::Say(connection, plain(200, "", "")));
        }
        if text.starts_with("DELETE ") {
            let request = self.requests.entry(after("/internal/reservations/").into()).or_default();
            (request.state, request.place) = (request.state && !request.writes.is_empty(), false);
            return self.schedule(1, Event::Say(connection, "HTTP/1.1 204 No Content\r\n\r\n".into()));
        }
        if text.starts_with("POST /internal") {
            let trace = after("/internal/reservations/").to_string();
            let knows = self.requests.get(&trace).is_some_and(|request| !request.reads.is_empty());
            let takes = if knows { self.random_range(1, 60) } else { 300 };
            return self.schedule(takes, Event::Place(connection, trace, knows));
        }
        let (trace, roll) = (after("x-trace-id: ").to_string(), self.random_range(0, 100) as u8);
        let request = self.requests.entry(trace.clone()).or_default();
        if WORKERS[worker].1 == "reading" {
            request.reads.insert(connection);
            let takes = self.random_range(2, 120);
            self.schedule(takes, Event::ReadEnds(connection, trace, roll));
        } else {
            request.writes.insert(connection);
            request.place = false;
            let takes = if roll < 40 { self.random_range(1, 900) } else { self.random_range(1, 30) };
            self.schedule(takes, Event::WriteEnds(connection, trace, roll));
        }
    }

    /// The worker's side of a connection ends; the router sees it unless the connection leads nowhere.
    fn break_connection(&mut self, connection: ConnectionId) {
        if self.passes(connection) && !self.harness.ended.contains_key(&connection) {
            self.connections.remove(&connection);
            self.harness.reset(connection);
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.harness.now;
        match event {
            Event::Ask(n) => {
                let connection = self.harness.connect_client();
                let left = self.random_range(800, 4_000);
                let class = ["safe", "once", "keyed"][self.random_range(0, 3) as usize];
                let mut client = Client { connection, until: now + left * MS, left: None };
                self.harness.deliver(connection, ask_for(&format!("t{n}"), class, left, "{}"));
                if self.random_bool(0.3) {
                    let at = self.random_range(0, 1_500);
                    self.schedule(at, Event::Leave(n));
                }
                client.until += LOOP_LAG;
                self.clients.insert(n, client);
            }
            Event::Leave(n) => {
                let Some(client) = self.clients.get_mut(&n) else { return };
                if !self.harness.ended.contains_key(&client.connection) {
                    client.left = Some(now);
                    self.harness.reset(client.connection);
                }
            }
            Event::Up(connection) => {
                if !self.harness.ended.contains_key(&connection) && self.passes(connection) {
                    // One in fifty leads nowhere from here on, which nobody can see.
                    if self.random_bool(0.02) {
                        self.blackholed.insert(connection);
                    }
                    self.connections.insert(connection, (true, 0));
                    self.harness.complete_connect(connection);
                } else {
                    self.schedule(CONNECT_TIMEOUT / MS, Event::Unreached(connection));
                }
            }
            Event::Unreached(connection) => {
                if !self.harness.ended.contains_key(&connection)
                    && self.connections.remove(&connection).is_some()
                {
                    self.harness.disconnect(connection, DisconnectReason::ConnectFailed);
                }
            }
            Event::Say(connection, text) => self.deliver(connection, &text),
            Event::ReadEnds(connection, trace, roll) => {
                let out =
                    self.requests.get(&trace).is_some_and(|request| request.reads.contains(&connection));
                if !out || !self.passes(connection) {
                    return;
                }
                self.attempt_ended(connection, &trace);
                let request = self.requests.entry(trace).or_default();
                request.state |= roll < 90;
                match roll {
                    0..85 => self.deliver(connection, READ),
                    // It completes just as its connection breaks.
                    85..90 => self.break_connection(connection),
                    90..95 => self.deliver(connection, NEVER_RAN),
                    _ => self.deliver(connection, &plain(500, "", "")),
                }
            }
            Event::WriteEnds(connection, trace, roll) => {
                let passes = self.passes(connection);
                let request = self.requests.entry(trace.clone()).or_default();
                if !request.writes.contains(&connection) || !passes {
                    return;
                }
                if !request.state {
                    self.attempt_ended(connection, &trace);
                    return self.deliver(connection, &NEVER_RAN.replace("503", "410"));
                }
                match roll {
                    0..12 => {
                        self.attempt_ended(connection, &trace);
                        self.deliver(connection, NEVER_RAN);
                    }
                    12..18 => {
                        self.attempt_ended(connection, &trace);
                        self.break_connection(connection);
                    }
                    _ => {
                        (request.state, request.place, request.begun) = (false, false, true);
                        self.deliver(connection, &format!("{HEAD}{}", chunk(EVENTS[0])));
                        let takes = self.random_range(1, 300);
                        let rest = format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2]));
                        self.schedule(takes, Event::Say(connection, rest));
                    }
                }
            }
            Event::Place(connection, trace, knows_prefill) => {
                if !self.passes(connection) || self.harness.ended.contains_key(&connection) && knows_prefill {
                    return;
                }
                let held = self.random_bool(0.5);
                let request = self.requests.entry(trace).or_default();
                if held && (request.writes.is_empty() || !knows_prefill) && !request.begun {
                    (request.place, request.since) = (true, now);
                }
                let text = match (knows_prefill, held) {
                    (false, _) => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
                    (true, true) => plain(200, "", ""),
                    (true, false) => plain(409, "", ""),
                };
                self.deliver(connection, &text);
            }
            Event::Silent(worker) => drop(self.unreachable.insert(worker)),
            Event::Back(worker) => {
                // What was open there is reset.
                self.unreachable.remove(&worker);
                let there: Vec<_> =
                    self.connections.keys().filter(|l| self.worker(**l) == Some(worker)).copied().collect();
                for connection in there {
                    self.requests.values_mut().for_each(|request| {
                        let ends = request.reads.remove(&connection) | request.writes.remove(&connection);
                        request.since = if ends { now } else { request.since };
                    });
                    self.break_connection(connection);
                }
            }
            Event::Drain(worker) => {
                self.version += 1;
                self.drains.insert(worker, now);
                let line = json!({"version": self.version, "full": false, "servers": [entry(worker, "DRAINING", 0)]});
                let line = format!("{line}\n");
                let (watch, _) = self.harness.watch();
                self.harness.deliver(watch, chunk(&line));
            }
            Event::Tick => {
                let (watch, _) = self.harness.watch();
                self.harness.deliver(watch, chunk("\n"));
            }
        }
    }

    /// What the rules require at any moment.
    fn check_rules(&mut self) {
        let now = self.harness.now;
        let held = self.requests.iter().find(|(_, request)| {
            let out = !request.reads.is_empty() || !request.writes.is_empty();
            (request.state || request.place) && !out && now > request.since + RELEASE_TIMEOUT
        });
        if let Some((trace, request)) = held {
            let (since, what) = ((request.since - BEGAN) / MS, if request.state { "state" } else { "place" });
            let what = format!("a {what} of {trace} is held since {since} ms");
            return self.rule_broken(what);
        }
        for (n, client) in &self.clients {
            let text = self.harness.sent_text(client.connection);
            let heads = text.matches("HTTP/1.1 ").count();
            let none = heads == 0 && client.left.is_none() && now > client.until;
            if heads > 1 || none {
                let what = format!("t{n} has {heads} answers");
                return self.rule_broken(what);
            }
        }
    }

    fn play(mut self) -> Option<String> {
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

#[test]
fn every_obligation_is_met_in_time_in_every_generated_world() {
    let threads: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || {
                let seeds = (0..WORLDS).filter(|seed| seed % 8 == part);
                seeds.filter_map(|seed| Some((seed, World::new(2 * seed).play()?))).collect::<Vec<_>>()
            })
        })
        .collect();
    let broken: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("a part")).collect();
    assert!(
        broken.is_empty(),
        "{} of {WORLDS} worlds, first {:?}",
        broken.len(),
        &broken[..broken.len().min(5)]
    );
}
