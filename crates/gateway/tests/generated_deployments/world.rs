//! Routers, clients, workers and discovery of one generated deployment, in virtual time, with random faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use serde_json::json;
use tideroute::rng::Rng;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

use crate::common::*;
use tideroute_test_support::checker::{Break, Checker, Connection};
use tideroute_test_support::customer::{between, Customer, Role};

#[path = "servers.rs"]
mod servers;

/// Milliseconds in which requests come and faults begin, and after which a run ends.
const BUSY_MS: f64 = 1_500.0;
const END_MS: u64 = 9_000;
/// Milliseconds that a client waits at most, so that a run ends.
const LONGEST_WAIT_MS: u64 = 3_000;
/// Milliseconds after a signal to shut down at which the process may be killed.
const KILLED_MS: u64 = 3_700;
/// A machine that is away for less has kept its connections, or resets them (docs/assumptions.md).
const AWAY: Micros = 1_000 * MS;
/// Time after a signal to shut down in which clients still come.
const STILL_COMES: Micros = 500 * MS;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Ask(usize),
    RestOfRequest(usize),
    ClientCloses(usize),
    Connected(Connection),
    NotConnected(Connection),
    Written(Connection),
    StreamEnds(Connection),
    EndIsSeen(Connection),
    Handle(Connection, String),
    ReadEnds(Connection, usize),
    WriteEnds(Connection, usize),
    PlaceAnswered(Connection, usize, bool),
    Vanish(usize),
    Return(usize),
    Hang(usize, Micros),
    Crash(usize),
    Tell(usize, usize, &'static str, u64),
    Stop(usize),
    Kill(usize),
    Beat,
}

/// A request to come, and its client's connection once it has come.
struct Ask {
    router: usize,
    class: usize,
    wait_ms: u64,
    /// Its last bytes come so much later than its first.
    slow_ms: u64,
    number: Option<usize>,
    connection: Option<ConnectionId>,
}

struct RouterUnderTest {
    harness: Harness,
    version: u64,
    /// Since when the router knows that a worker takes nothing new.
    draining_since: BTreeMap<usize, Micros>,
    stopped: Option<Micros>,
    /// Established connections to workers, and how many bytes sent on them were looked at.
    up: BTreeMap<ConnectionId, usize>,
    seen_connections: BTreeSet<ConnectionId>,
    closed: BTreeSet<ConnectionId>,
    /// Connections that lead nowhere.
    blackholed: BTreeSet<ConnectionId>,
    /// Calls whose last bytes wait in a full socket.
    unwritten_calls: BTreeMap<ConnectionId, String>,
}

#[derive(Default)]
struct Server {
    vanished: bool,
    vanished_at: Micros,
    hangs_until: Micros,
    /// Counts the process's starts: what an earlier process was at is lost.
    start: u64,
}

pub struct World {
    customer: Customer,
    checker: Checker,
    rng: Rng,
    now: Micros,
    routers: Vec<RouterUnderTest>,
    servers: Vec<Server>,
    asks: Vec<Ask>,
    queue: BinaryHeap<Reverse<(Micros, u64, u64, Event)>>,
    events: u64,
    /// All events are printed.
    is_verbose: bool,
}

impl World {
    pub fn drawn(seed: u64) -> World {
        // The generator's lowest bit is always set.
        let mut rng = Rng::new(2 * seed);
        let customer = Customer::drawn(&mut rng);
        let routers = (0..1 + (rng.unit() * rng.unit() * 3.0) as usize).map(|_| router(&customer)).collect();
        let servers = customer.workers.iter().map(|_| Server::default()).collect();
        let mut world = World {
            customer,
            checker: Checker::new(BEGAN, 0),
            rng,
            now: BEGAN,
            routers,
            servers,
            asks: vec![],
            queue: BinaryHeap::new(),
            events: 0,
            is_verbose: false,
        };
        world.plan_requests();
        world.plan_faults();
        (0..END_MS / 1_000).for_each(|n| world.schedule(n * 1_000, Event::Beat));
        world
    }

    fn plan_requests(&mut self) {
        for n in 0..self.random_range(1, 7) as usize {
            let router = self.random_range(0, self.routers.len() as u64) as usize;
            let class = self.random_range(0, self.customer.classes.len() as u64) as usize;
            let longest = self.customer.classes[class].deadline_ms.min(LONGEST_WAIT_MS);
            let wait_ms = (longest as f64 * between(&mut self.rng, 0.5, 1.0)).max(30.0) as u64;
            let slow_ms = if self.random_bool(0.15) { self.random_range(50, 600) } else { 0 };
            self.asks.push(Ask { router, class, wait_ms, slow_ms, number: None, connection: None });
            let at = self.random_range(0, BUSY_MS as u64);
            self.schedule(at, Event::Ask(n));
            if self.random_bool(0.25) {
                let stays = self.random_range(0, 1_500);
                self.schedule(at + slow_ms + stays, Event::ClientCloses(n));
            }
        }
    }

    /// The first two workers, or one with both roles, stay well: a release can always be answered.
    fn plan_faults(&mut self) {
        let many = self.servers.len() as u64;
        for _ in 0..self.random_range(0, 5) {
            let (worker, at) =
                (self.random_range(2.min(many - 1), many) as usize, self.random_range(0, BUSY_MS as u64));
            let lasts = between(&mut self.rng, 50.0, 4_000.0) as u64;
            match self.random_range(0, 6) {
                0 | 1 => {
                    self.schedule(at, Event::Vanish(worker));
                    self.schedule(at + lasts, Event::Return(worker));
                }
                2 => self.schedule(at, Event::Hang(worker, self.now + (at + lasts) * MS)),
                3 => self.schedule(at, Event::Crash(worker)),
                4 => self.tell_all(at, worker, "DRAINING", 0),
                _ => self.tell_all(at, worker, "DELETED", 0),
            }
        }
        if self.random_bool(0.15) {
            let router = self.random_range(0, self.routers.len() as u64) as usize;
            let at = self.random_range(100, BUSY_MS as u64);
            self.schedule(at, Event::Stop(router));
        }
    }

    /// Plays, and prints the deployment's settings and all events.
    pub fn play_aloud(mut self) -> Option<Break> {
        let roles = self.customer.workers.iter().enumerate();
        let roles: Vec<_> = roles.map(|(n, w)| format!("{n}:{:?} {}/{}", w.role, w.zone, w.cell)).collect();
        println!("{:#}\nworkers {roles:?}", self.customer.file["settings"]);
        self.is_verbose = true;
        self.play()
    }

    fn log(&mut self, message: impl FnOnce() -> String) {
        if self.is_verbose {
            println!("{:>8.3} ms  {}", (self.now - BEGAN) as f64 / MS as f64, message());
        }
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.unit() < probability
    }

    fn random_range(&mut self, least: u64, below: u64) -> u64 {
        least + (self.rng.unit() * (below - least) as f64) as u64
    }

    /// An event in so many milliseconds from now.
    fn schedule(&mut self, ms: u64, event: Event) {
        let start = worker_of(&event, &self.routers).map_or(0, |w| self.servers[w].start);
        self.events += 1;
        self.queue.push(Reverse((self.now + ms * MS, self.events, start, event)));
    }

    /// Discovery notifies each router of a worker, some time later.
    fn tell_all(&mut self, ms: u64, worker: usize, state: &'static str, started_ms: u64) {
        for router in 0..self.routers.len() {
            let late = if self.random_bool(0.5) { 0 } else { self.random_range(0, 1_000) };
            self.schedule(ms + late, Event::Tell(router, worker, state, started_ms));
        }
    }

    /// The rule that is broken first, if one is.
    pub fn play(mut self) -> Option<Break> {
        let end = BEGAN + END_MS * MS;
        loop {
            let event = self.queue.peek().map_or(end, |Reverse((at, ..))| *at);
            let timers = self.routers.iter().filter_map(|under_test| under_test.harness.next_timer());
            let at = timers.min().unwrap_or(end).min(event).max(self.now);
            if at >= end {
                return None;
            }
            self.now = at;
            self.routers
                .iter_mut()
                .for_each(|under_test| under_test.harness.advance(at.saturating_sub(under_test.harness.now)));
            self.observe();
            if event <= at {
                let Reverse((_, _, start, event)) = self.queue.pop()?;
                self.step(start, event);
                self.observe();
            }
            self.checker.look(self.now, &self.customer);
            if self.checker.broken.is_some() {
                return self.checker.broken;
            }
        }
    }

    /// Looks at all that the routers did.
    fn observe(&mut self) {
        while (0..self.routers.len()).any(|router| {
            let outbound = self.observe_dials(router);
            self.observe_aborts(router);
            self.observe_calls(router) || outbound
        }) {}
        self.observe_responses();
    }

    fn observe_dials(&mut self, router: usize) -> bool {
        let under_test = &mut self.routers[router];
        let fresh: Vec<_> = under_test
            .harness
            .outbound
            .iter()
            .filter(|(l, _)| !under_test.seen_connections.contains(l))
            .collect();
        let fresh: Vec<_> =
            fresh.into_iter().map(|(connection, to)| (*connection, to[2], usize::from(to[3]))).collect();
        under_test.seen_connections.extend(fresh.iter().map(|(connection, ..)| *connection));
        for (connection, net, host) in &fresh {
            if *net != 1 {
                self.open_watch(router, *connection);
                continue;
            }
            let (worker, dial_ms) = (host - 1, self.customer.dial / MS);
            if self.servers[worker].vanished || self.random_bool(0.03) {
                self.schedule(dial_ms, Event::NotConnected((router, *connection)));
            } else {
                let takes = if self.random_bool(0.15) { self.random_range(dial_ms / 4, dial_ms) } else { 1 };
                self.schedule(takes, Event::Connected((router, *connection)));
            }
        }
        !fresh.is_empty()
    }

    fn open_watch(&mut self, router: usize, connection: ConnectionId) {
        let under_test = &mut self.routers[router];
        under_test.harness.complete_write(connection);
        let known = under_test.harness.watch_connection() == Some(connection);
        if known {
            under_test.version += 1;
            let servers: Vec<_> = (0..self.customer.workers.len())
                .map(|w| {
                    let state =
                        if under_test.draining_since.contains_key(&w) { "DRAINING" } else { "SERVING" };
                    self.customer.entry(w, state, 0)
                })
                .collect();
            under_test
                .harness
                .send_update(&json!({"version": under_test.version, "full": true, "servers": servers}));
        }
    }

    /// Connections that the router has ended.
    fn observe_aborts(&mut self, router: usize) {
        let under_test = &mut self.routers[router];
        let ended: Vec<_> = under_test
            .harness
            .ended
            .keys()
            .filter(|l| l.is_outbound() && !under_test.closed.contains(l))
            .copied()
            .collect();
        for connection in ended {
            self.log(|| format!("router {router} ends {}", connection.number()));
            let under_test = &mut self.routers[router];
            under_test.closed.insert(connection);
            under_test.up.remove(&connection);
            under_test.unwritten_calls.remove(&connection);
            self.checker.gives_up((router, connection));
            // The worker learns of it some time later, before or behind what is sent on other connections.
            let late = self.random_range(0, 6);
            self.schedule(late, Event::EndIsSeen((router, connection)));
        }
    }

    fn observe_calls(&mut self, router: usize) -> bool {
        let mut called = false;
        for connection in self.routers[router].up.keys().copied().collect::<Vec<_>>() {
            let under_test = &mut self.routers[router];
            let (all, seen) = (under_test.harness.sent_text(connection), under_test.up[&connection]);
            if all.len() <= seen || under_test.harness.ended.contains_key(&connection) {
                continue;
            }
            under_test.up.insert(connection, all.len());
            self.call_started((router, connection), all[seen..].to_string());
            called = true;
        }
        called
    }

    /// The first bytes of a call are sent; the last ones at once, unless the socket is full.
    fn call_started(&mut self, (router, connection): Connection, text: String) {
        let Some(worker) = self.worker((router, connection)) else { return };
        self.log(|| {
            format!("router {router} on {} to worker {worker}: {}", connection.number(), summary(&text))
        });
        if text.starts_with("POST ") {
            let draining_since = self.routers[router].draining_since.get(&worker).copied();
            self.checker.leaves(self.now, &self.customer, &text[..25], draining_since);
        }
        if let Some(request) = attempt_of(&text) {
            let remaining_ms: u64 = after(&text, "x-expires-in-ms: ").parse().expect("milliseconds");
            self.checker.tells_deadline(self.now, request, remaining_ms * MS);
        }
        self.routers[router].unwritten_calls.insert(connection, text);
        if self.random_bool(0.04) {
            let waits = between(&mut self.rng, 10.0, 1_500.0) as u64;
            self.schedule(waits, Event::Written((router, connection)));
        } else {
            self.written((router, connection));
        }
    }

    /// The last byte of a call has been written, and arrives unless the connection leads nowhere.
    fn written(&mut self, (router, connection): Connection) {
        let Some(text) = self.routers[router].unwritten_calls.remove(&connection) else { return };
        if self.passes((router, connection)) {
            self.arrives((router, connection), text);
        }
        self.routers[router].harness.complete_write(connection);
    }

    fn worker(&self, (router, connection): Connection) -> Option<usize> {
        let to = self.routers[router].harness.outbound.get(&connection)?;
        (to[2] == 1).then(|| usize::from(to[3]) - 1)
    }

    /// Whether a connection is open and its worker's machine can be reached on it.
    fn passes(&self, on: Connection) -> bool {
        let under_test = &self.routers[on.0];
        let reached = self.worker(on).is_some_and(|w| !self.servers[w].vanished);
        reached && !under_test.blackholed.contains(&on.1) && !under_test.harness.ended.contains_key(&on.1)
    }

    fn deliver(&mut self, on: Connection, text: &str) {
        if self.passes(on) {
            self.routers[on.0].harness.deliver(on.1, text);
        }
    }

    /// The worker's side of a connection ends; the router sees it unless the connection leads nowhere.
    fn break_connection(&mut self, (router, connection): Connection) {
        if self.passes((router, connection)) {
            let under_test = &mut self.routers[router];
            under_test.closed.insert(connection);
            under_test.up.remove(&connection);
            under_test.unwritten_calls.remove(&connection);
            under_test.harness.reset(connection);
        }
    }

    fn observe_responses(&mut self) {
        for ask in &self.asks {
            let (Some(number), Some(connection)) = (ask.number, ask.connection) else { continue };
            let harness = &self.routers[ask.router].harness;
            let first = harness.statuses(connection).first().copied();
            match first {
                Some(status) if !self.checker.is_answered(number) => {
                    self.checker.client_answered(self.now, &self.customer, number, status);
                }
                None if harness.ended.contains_key(&connection) => {
                    self.checker.client_left_alone(self.now, number)
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, start: u64, event: Event) {
        if let Some(worker) = worker_of(&event, &self.routers) {
            let server = &self.servers[worker];
            if server.start != start || server.vanished {
                return;
            }
            if server.hangs_until > self.now {
                // What it finds when it goes on it takes up in any order.
                let waits = (server.hangs_until - self.now).div_ceil(MS) + self.random_range(0, 5);
                return self.schedule(waits, event);
            }
        }
        self.log(|| format!("{event:?}"));
        match event {
            Event::Ask(n) => self.ask(n),
            Event::RestOfRequest(n) => self.rest_of_request(n),
            Event::ClientCloses(n) => self.client_closes(n),
            Event::Connected(on) => self.connected(on),
            Event::NotConnected((router, connection)) => {
                let under_test = &mut self.routers[router];
                if !under_test.harness.ended.contains_key(&connection)
                    && under_test.harness.outbound.contains_key(&connection)
                {
                    under_test.harness.disconnect(connection, DisconnectReason::ConnectFailed);
                }
            }
            Event::Written(on) => self.written(on),
            Event::EndIsSeen(on) => self.connection_ends(on),
            Event::StreamEnds(on) => {
                self.checker.attempts_end(self.now, on);
                self.deliver(on, &format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2])));
            }
            Event::Handle(on, text) => self.handle(on, &text),
            Event::ReadEnds(on, request) => self.read_ends(on, request),
            Event::WriteEnds(on, request) => self.write_ends(on, request),
            Event::PlaceAnswered(on, request, knows_prefill) => {
                self.place_answered(on, request, knows_prefill)
            }
            Event::Vanish(worker) => {
                self.servers[worker].vanished = true;
                self.servers[worker].vanished_at = self.now;
                self.checker.worker_died(self.now, worker);
            }
            Event::Return(worker) => {
                let server = &self.servers[worker];
                if server.vanished {
                    let resets = if self.now < server.vanished_at + AWAY { 1.0 } else { 0.5 };
                    self.restart(worker, resets);
                }
            }
            Event::Hang(worker, until) => {
                let server = &mut self.servers[worker];
                server.hangs_until = server.hangs_until.max(until);
            }
            Event::Crash(worker) => self.restart(worker, 1.0),
            Event::Tell(router, worker, state, started_ms) => self.tell(router, worker, state, started_ms),
            Event::Stop(router) => {
                self.routers[router].stopped = Some(self.now);
                self.routers[router].harness.shut_down();
                self.schedule(KILLED_MS, Event::Kill(router));
            }
            // What it has not done by then it is no longer responsible for.
            Event::Kill(router) => {
                let numbers = self.asks.iter().filter(|a| a.router == router).filter_map(|a| a.number);
                numbers.for_each(|number| self.checker.router_killed(number));
            }
            Event::Beat => {
                for under_test in &mut self.routers {
                    under_test
                        .harness
                        .watch_connection()
                        .into_iter()
                        .for_each(|watch| under_test.harness.deliver(watch, chunk("\n")));
                }
            }
        }
    }

    fn ask(&mut self, n: usize) {
        let Ask { router, class, wait_ms, slow_ms, .. } = self.asks[n];
        let under_test = &mut self.routers[router];
        if under_test.stopped.is_some_and(|at| self.now > at + STILL_COMES) {
            return;
        }
        let connection = under_test.harness.connect_client();
        let number = self.checker.asked(self.now, class, (wait_ms + slow_ms) * MS);
        let text = ask_for(&format!("t{number}"), &self.customer.classes[class].name, wait_ms, "{}");
        (self.asks[n].number, self.asks[n].connection) = (Some(number), Some(connection));
        if slow_ms == 0 {
            under_test.harness.deliver(connection, text);
        } else {
            under_test.harness.deliver(connection, &text[..40]);
            self.schedule(slow_ms, Event::RestOfRequest(n));
        }
    }

    fn rest_of_request(&mut self, n: usize) {
        let Ask { router, class, wait_ms, connection, number, .. } = self.asks[n];
        let (Some(connection), Some(number)) = (connection, number) else { return };
        let text = ask_for(&format!("t{number}"), &self.customer.classes[class].name, wait_ms, "{}");
        self.routers[router].harness.deliver(connection, &text[40..]);
    }

    fn client_closes(&mut self, n: usize) {
        let (Some(connection), Some(number)) = (self.asks[n].connection, self.asks[n].number) else { return };
        let harness = &mut self.routers[self.asks[n].router].harness;
        if !harness.ended.contains_key(&connection) {
            self.checker.client_closed(self.now, number);
            harness.reset(connection);
        }
    }

    fn connected(&mut self, (router, connection): Connection) {
        if !self.passes((router, connection)) {
            return self.schedule(self.customer.dial / MS, Event::NotConnected((router, connection)));
        }
        // Some lead nowhere from here on, which nobody can see.
        if self.random_bool(0.02) {
            self.routers[router].blackholed.insert(connection);
        }
        self.routers[router].up.insert(connection, 0);
        self.routers[router].harness.complete_connect(connection);
    }

    fn tell(&mut self, router: usize, worker: usize, state: &'static str, started_ms: u64) {
        let under_test = &mut self.routers[router];
        let Some(watch) = under_test.harness.watch_connection() else { return };
        under_test.version += 1;
        if state == "SERVING" {
            under_test.draining_since.remove(&worker);
        } else {
            under_test.draining_since.entry(worker).or_insert(self.now);
        }
        let entry = self.customer.entry(worker, state, started_ms);
        let line = json!({"version": under_test.version, "full": false, "servers": [entry]});
        under_test.harness.deliver(watch, chunk(&format!("{line}\n")));
    }
}

/// A router that has just received the full endpoint list.
fn router(customer: &Customer) -> RouterUnderTest {
    let mut harness = Harness::with_config(&customer.file);
    harness.is_immediate = false;
    let (watch, _) = harness.watch();
    harness.complete_write(watch);
    harness.send_update(&customer.file["known"]);
    RouterUnderTest {
        harness,
        version: 4,
        draining_since: BTreeMap::new(),
        stopped: None,
        up: BTreeMap::new(),
        seen_connections: [watch].into(),
        closed: BTreeSet::new(),
        blackholed: BTreeSet::new(),
        unwritten_calls: BTreeMap::new(),
    }
}

/// The worker whose process handles the event, if one does.
fn worker_of(event: &Event, routers: &[RouterUnderTest]) -> Option<usize> {
    let (Event::StreamEnds(on)
    | Event::EndIsSeen(on)
    | Event::Handle(on, _)
    | Event::ReadEnds(on, _)
    | Event::WriteEnds(on, _)
    | Event::PlaceAnswered(on, ..)) = event
    else {
        return None;
    };
    let to = routers[on.0].harness.outbound.get(&on.1)?;
    Some(usize::from(to[3]) - 1)
}

/// The number of the request that an attempt is for.
fn attempt_of(text: &str) -> Option<usize> {
    if !text.starts_with("POST /v1") {
        return None;
    }
    Some(after(text, "x-trace-id: t").parse().expect("a number"))
}

/// The first line of a call, with its trace id and remaining time.
fn summary(text: &str) -> String {
    let line = text.split("\r\n").next().unwrap_or("");
    format!("{line} {} {}", after(text, "x-trace-id: "), after(text, "x-expires-in-ms: "))
}

/// The word behind a text.
fn after<'a>(text: &'a str, head: &str) -> &'a str {
    text.split(head).nth(1).and_then(|t| t.split(['\r', ' ']).next()).unwrap_or("")
}
