//! Routers, clients, workers and discovery of one drawn customer, in virtual time, with faults drawn between them.

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

/// Milliseconds in which requests come and faults begin, and after which a world ends.
const BUSY_MS: f64 = 1_500.0;
const END_MS: u64 = 9_000;
/// Milliseconds that a client waits at most, so that a world ends.
const LONGEST_WAIT_MS: u64 = 3_000;
/// Milliseconds after such a signal at which the process may be killed.
const KILLED_MS: u64 = 3_700;
/// A machine that is away for less has kept its connections, or resets them (docs/assumptions.md).
const AWAY: Micros = 1_000 * MS;
/// Milliseconds after a signal to end in which clients still come.
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

/// A request to come, and its client's connection once it has.
struct Ask {
    router: usize,
    class: usize,
    wait_ms: u64,
    /// Its last bytes come so much later than its first.
    slow_ms: u64,
    number: Option<usize>,
    connection: Option<ConnectionId>,
}

struct Router {
    stage: Stage,
    version: u64,
    /// When it was told that a worker takes nothing new.
    told: BTreeMap<usize, Micros>,
    stopped: Option<Micros>,
    /// Connections to workers that are up, and how much of what was sent on them was looked at.
    up: BTreeMap<ConnectionId, usize>,
    met: BTreeSet<ConnectionId>,
    gone: BTreeSet<ConnectionId>,
    /// Connections on which nothing passes.
    void: BTreeSet<ConnectionId>,
    /// Calls whose last bytes wait in a full socket.
    stuck: BTreeMap<ConnectionId, String>,
}

#[derive(Default)]
struct Server {
    vanished: bool,
    vanished_at: Micros,
    hangs_until: Micros,
    /// Counts its starts: what an earlier one was at is gone.
    start: u64,
}

pub struct World {
    customer: Customer,
    checker: Checker,
    draw: Rng,
    now: Micros,
    routers: Vec<Router>,
    servers: Vec<Server>,
    asks: Vec<Ask>,
    queue: BinaryHeap<Reverse<(Micros, u64, u64, Event)>>,
    events: u64,
    /// All that happens is printed.
    tells: bool,
}

impl World {
    pub fn drawn(seed: u64) -> World {
        // The generator's lowest bit is always set.
        let mut draw = Rng::new(2 * seed);
        let customer = Customer::drawn(&mut draw);
        let routers =
            (0..1 + (draw.unit() * draw.unit() * 3.0) as usize).map(|_| router(&customer)).collect();
        let servers = customer.workers.iter().map(|_| Server::default()).collect();
        let mut world = World {
            customer,
            checker: Checker::new(BEGAN, 0),
            draw,
            now: BEGAN,
            routers,
            servers,
            asks: vec![],
            queue: BinaryHeap::new(),
            events: 0,
            tells: false,
        };
        world.plan_requests();
        world.plan_faults();
        (0..END_MS / 1_000).for_each(|n| world.after(n * 1_000, Event::Beat));
        world
    }

    fn plan_requests(&mut self) {
        for n in 0..self.whole(1, 7) as usize {
            let router = self.whole(0, self.routers.len() as u64) as usize;
            let class = self.whole(0, self.customer.classes.len() as u64) as usize;
            let longest = self.customer.classes[class].deadline_ms.min(LONGEST_WAIT_MS);
            let wait_ms = (longest as f64 * between(&mut self.draw, 0.5, 1.0)).max(30.0) as u64;
            let slow_ms = if self.chance(0.15) { self.whole(50, 600) } else { 0 };
            self.asks.push(Ask { router, class, wait_ms, slow_ms, number: None, connection: None });
            let at = self.whole(0, BUSY_MS as u64);
            self.after(at, Event::Ask(n));
            if self.chance(0.25) {
                let stays = self.whole(0, 1_500);
                self.after(at + slow_ms + stays, Event::ClientCloses(n));
            }
        }
    }

    /// The first two workers, or one that does all, stay well: somebody can always be told to release.
    fn plan_faults(&mut self) {
        let many = self.servers.len() as u64;
        for _ in 0..self.whole(0, 5) {
            let (worker, at) = (self.whole(2.min(many - 1), many) as usize, self.whole(0, BUSY_MS as u64));
            let lasts = between(&mut self.draw, 50.0, 4_000.0) as u64;
            match self.whole(0, 6) {
                0 | 1 => {
                    self.after(at, Event::Vanish(worker));
                    self.after(at + lasts, Event::Return(worker));
                }
                2 => self.after(at, Event::Hang(worker, self.now + (at + lasts) * MS)),
                3 => self.after(at, Event::Crash(worker)),
                4 => self.tell_all(at, worker, "DRAINING", 0),
                _ => self.tell_all(at, worker, "DELETED", 0),
            }
        }
        if self.chance(0.15) {
            let router = self.whole(0, self.routers.len() as u64) as usize;
            let at = self.whole(100, BUSY_MS as u64);
            self.after(at, Event::Stop(router));
        }
    }

    /// Plays, and prints the customer's settings and all that happened.
    pub fn play_aloud(mut self) -> Option<Break> {
        let roles = self.customer.workers.iter().enumerate();
        let roles: Vec<_> = roles.map(|(n, w)| format!("{n}:{:?} {}/{}", w.role, w.zone, w.cell)).collect();
        println!("{:#}\nworkers {roles:?}", self.customer.file["settings"]);
        self.tells = true;
        self.play()
    }

    fn note(&mut self, what: impl FnOnce() -> String) {
        if self.tells {
            println!("{:>8.3} ms  {}", (self.now - BEGAN) as f64 / MS as f64, what());
        }
    }

    fn chance(&mut self, of: f64) -> bool {
        self.draw.unit() < of
    }

    fn whole(&mut self, least: u64, below: u64) -> u64 {
        least + (self.draw.unit() * (below - least) as f64) as u64
    }

    /// So many milliseconds from now.
    fn after(&mut self, ms: u64, event: Event) {
        let start = worker_of(&event, &self.routers).map_or(0, |w| self.servers[w].start);
        self.events += 1;
        self.queue.push(Reverse((self.now + ms * MS, self.events, start, event)));
    }

    /// Discovery tells each router of a worker, some time later.
    fn tell_all(&mut self, ms: u64, worker: usize, state: &'static str, started_ms: u64) {
        for router in 0..self.routers.len() {
            let late = if self.chance(0.5) { 0 } else { self.whole(0, 1_000) };
            self.after(ms + late, Event::Tell(router, worker, state, started_ms));
        }
    }

    /// The rule that breaks first, if one does.
    pub fn play(mut self) -> Option<Break> {
        let end = BEGAN + END_MS * MS;
        loop {
            let event = self.queue.peek().map_or(end, |Reverse((at, ..))| *at);
            let timers = self.routers.iter().filter_map(|r| r.stage.next_timer());
            let at = timers.min().unwrap_or(end).min(event).max(self.now);
            if at >= end {
                return None;
            }
            self.now = at;
            self.routers.iter_mut().for_each(|r| r.stage.pass(at.saturating_sub(r.stage.now)));
            self.look();
            if event <= at {
                let Reverse((_, _, start, event)) = self.queue.pop()?;
                self.step(start, event);
                self.look();
            }
            self.checker.look(self.now, &self.customer);
            if self.checker.broken.is_some() {
                return self.checker.broken;
            }
        }
    }

    /// Looks at all that the routers did.
    fn look(&mut self) {
        while (0..self.routers.len()).any(|router| {
            let dialled = self.look_at_dials(router);
            self.look_at_ends(router);
            self.look_at_calls(router) || dialled
        }) {}
        self.look_at_answers();
    }

    fn look_at_dials(&mut self, router: usize) -> bool {
        let r = &mut self.routers[router];
        let fresh: Vec<_> = r.stage.dialled.iter().filter(|(l, _)| !r.met.contains(l)).collect();
        let fresh: Vec<_> =
            fresh.into_iter().map(|(connection, to)| (*connection, to[2], usize::from(to[3]))).collect();
        r.met.extend(fresh.iter().map(|(connection, ..)| *connection));
        for (connection, net, host) in &fresh {
            if *net != 1 {
                self.open_watch(router, *connection);
                continue;
            }
            let (worker, dial_ms) = (host - 1, self.customer.dial / MS);
            if self.servers[worker].vanished || self.chance(0.03) {
                self.after(dial_ms, Event::NotConnected((router, *connection)));
            } else {
                let takes = if self.chance(0.15) { self.whole(dial_ms / 4, dial_ms) } else { 1 };
                self.after(takes, Event::Connected((router, *connection)));
            }
        }
        !fresh.is_empty()
    }

    fn open_watch(&mut self, router: usize, connection: ConnectionId) {
        let r = &mut self.routers[router];
        r.stage.written(connection);
        let known = r.stage.watching() == Some(connection);
        if known {
            r.version += 1;
            let servers: Vec<_> = (0..self.customer.workers.len())
                .map(|w| {
                    let state = if r.told.contains_key(&w) { "DRAINING" } else { "SERVING" };
                    self.customer.entry(w, state, 0)
                })
                .collect();
            r.stage.discover(&json!({"version": r.version, "full": true, "servers": servers}));
        }
    }

    /// Connections that the router has ended.
    fn look_at_ends(&mut self, router: usize) {
        let r = &mut self.routers[router];
        let ended: Vec<_> =
            r.stage.ended.keys().filter(|l| l.is_outbound() && !r.gone.contains(l)).copied().collect();
        for connection in ended {
            self.note(|| format!("router {router} ends {}", connection.number()));
            let r = &mut self.routers[router];
            r.gone.insert(connection);
            r.up.remove(&connection);
            r.stuck.remove(&connection);
            self.checker.gives_up((router, connection));
            // Its worker learns of it some time later, before or behind what is sent on other connections.
            let late = self.whole(0, 6);
            self.after(late, Event::EndIsSeen((router, connection)));
        }
    }

    fn look_at_calls(&mut self, router: usize) -> bool {
        let mut called = false;
        for connection in self.routers[router].up.keys().copied().collect::<Vec<_>>() {
            let r = &mut self.routers[router];
            let (all, seen) = (r.stage.text(connection), r.up[&connection]);
            if all.len() <= seen || r.stage.ended.contains_key(&connection) {
                continue;
            }
            r.up.insert(connection, all.len());
            self.call_leaves((router, connection), all[seen..].to_string());
            called = true;
        }
        called
    }

    /// The first bytes of a call leave a router; the last ones at once, unless the socket is full.
    fn call_leaves(&mut self, (router, connection): Connection, text: String) {
        let Some(worker) = self.worker((router, connection)) else { return };
        self.note(|| {
            format!("router {router} on {} to worker {worker}: {}", connection.number(), told(&text))
        });
        if text.starts_with("POST ") {
            let told = self.routers[router].told.get(&worker).copied();
            self.checker.leaves(self.now, &self.customer, &text[..25], told);
        }
        if let Some(request) = attempt_of(&text) {
            let told_ms: u64 = after(&text, "x-expires-in-ms: ").parse().expect("milliseconds");
            self.checker.tells_deadline(self.now, request, told_ms * MS);
        }
        self.routers[router].stuck.insert(connection, text);
        if self.chance(0.04) {
            let waits = between(&mut self.draw, 10.0, 1_500.0) as u64;
            self.after(waits, Event::Written((router, connection)));
        } else {
            self.written((router, connection));
        }
    }

    /// The last byte of a call has been handed over, and arrives where anything passes.
    fn written(&mut self, (router, connection): Connection) {
        let Some(text) = self.routers[router].stuck.remove(&connection) else { return };
        if self.passes((router, connection)) {
            self.arrives((router, connection), text);
        }
        self.routers[router].stage.written(connection);
    }

    fn worker(&self, (router, connection): Connection) -> Option<usize> {
        let to = self.routers[router].stage.dialled.get(&connection)?;
        (to[2] == 1).then(|| usize::from(to[3]) - 1)
    }

    /// Whether a connection is there and its worker's machine can be reached on it.
    fn passes(&self, on: Connection) -> bool {
        let r = &self.routers[on.0];
        let reached = self.worker(on).is_some_and(|w| !self.servers[w].vanished);
        reached && !r.void.contains(&on.1) && !r.stage.ended.contains_key(&on.1)
    }

    fn say(&mut self, on: Connection, text: &str) {
        if self.passes(on) {
            self.routers[on.0].stage.say(on.1, text);
        }
    }

    /// The worker's side of a connection ends, as its router learns if anything passes there.
    fn breaks_off(&mut self, (router, connection): Connection) {
        if self.passes((router, connection)) {
            let r = &mut self.routers[router];
            r.gone.insert(connection);
            r.up.remove(&connection);
            r.stuck.remove(&connection);
            r.stage.lose(connection);
        }
    }

    fn look_at_answers(&mut self) {
        for ask in &self.asks {
            let (Some(number), Some(connection)) = (ask.number, ask.connection) else { continue };
            let stage = &self.routers[ask.router].stage;
            let first = stage.statuses(connection).first().copied();
            match first {
                Some(status) if !self.checker.is_answered(number) => {
                    self.checker.client_answered(self.now, &self.customer, number, status);
                }
                None if stage.ended.contains_key(&connection) => {
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
                let waits = (server.hangs_until - self.now).div_ceil(MS) + self.whole(0, 5);
                return self.after(waits, event);
            }
        }
        self.note(|| format!("{event:?}"));
        match event {
            Event::Ask(n) => self.ask(n),
            Event::RestOfRequest(n) => self.rest_of_request(n),
            Event::ClientCloses(n) => self.client_closes(n),
            Event::Connected(on) => self.connected(on),
            Event::NotConnected((router, connection)) => {
                let r = &mut self.routers[router];
                if !r.stage.ended.contains_key(&connection) && r.stage.dialled.contains_key(&connection) {
                    r.stage.lose_as(connection, DisconnectReason::ConnectFailed);
                }
            }
            Event::Written(on) => self.written(on),
            Event::EndIsSeen(on) => self.connection_ends(on),
            Event::StreamEnds(on) => {
                self.checker.attempts_end(self.now, on);
                self.say(on, &format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2])));
            }
            Event::Handle(on, text) => self.handle(on, &text),
            Event::ReadEnds(on, request) => self.read_ends(on, request),
            Event::WriteEnds(on, request) => self.write_ends(on, request),
            Event::PlaceAnswered(on, request, knew) => self.place_answered(on, request, knew),
            Event::Vanish(worker) => {
                self.servers[worker].vanished = true;
                self.servers[worker].vanished_at = self.now;
                self.checker.worker_died(self.now, worker);
            }
            Event::Return(worker) => {
                let server = &self.servers[worker];
                if server.vanished {
                    let resets = if self.now < server.vanished_at + AWAY { 1.0 } else { 0.5 };
                    self.starts_again(worker, resets);
                }
            }
            Event::Hang(worker, until) => {
                let server = &mut self.servers[worker];
                server.hangs_until = server.hangs_until.max(until);
            }
            Event::Crash(worker) => self.starts_again(worker, 1.0),
            Event::Tell(router, worker, state, started_ms) => self.tell(router, worker, state, started_ms),
            Event::Stop(router) => {
                self.routers[router].stopped = Some(self.now);
                self.routers[router].stage.stop();
                self.after(KILLED_MS, Event::Kill(router));
            }
            // What it has not done by then is nobody's duty any more.
            Event::Kill(router) => {
                let numbers = self.asks.iter().filter(|a| a.router == router).filter_map(|a| a.number);
                numbers.for_each(|number| self.checker.router_killed(number));
            }
            Event::Beat => {
                for r in &mut self.routers {
                    r.stage.watching().into_iter().for_each(|watch| r.stage.say(watch, chunk("\n")));
                }
            }
        }
    }

    fn ask(&mut self, n: usize) {
        let Ask { router, class, wait_ms, slow_ms, .. } = self.asks[n];
        let r = &mut self.routers[router];
        if r.stopped.is_some_and(|at| self.now > at + STILL_COMES) {
            return;
        }
        let connection = r.stage.come();
        let number = self.checker.asked(self.now, class, (wait_ms + slow_ms) * MS);
        let text = ask_for(&format!("t{number}"), &self.customer.classes[class].name, wait_ms, "{}");
        (self.asks[n].number, self.asks[n].connection) = (Some(number), Some(connection));
        if slow_ms == 0 {
            r.stage.say(connection, text);
        } else {
            r.stage.say(connection, &text[..40]);
            self.after(slow_ms, Event::RestOfRequest(n));
        }
    }

    fn rest_of_request(&mut self, n: usize) {
        let Ask { router, class, wait_ms, connection, number, .. } = self.asks[n];
        let (Some(connection), Some(number)) = (connection, number) else { return };
        let text = ask_for(&format!("t{number}"), &self.customer.classes[class].name, wait_ms, "{}");
        self.routers[router].stage.say(connection, &text[40..]);
    }

    fn client_closes(&mut self, n: usize) {
        let (Some(connection), Some(number)) = (self.asks[n].connection, self.asks[n].number) else { return };
        let stage = &mut self.routers[self.asks[n].router].stage;
        if !stage.ended.contains_key(&connection) {
            self.checker.client_closed(self.now, number);
            stage.lose(connection);
        }
    }

    fn connected(&mut self, (router, connection): Connection) {
        if !self.passes((router, connection)) {
            return self.after(self.customer.dial / MS, Event::NotConnected((router, connection)));
        }
        // Some lead nowhere from here on, and nobody is told.
        if self.chance(0.02) {
            self.routers[router].void.insert(connection);
        }
        self.routers[router].up.insert(connection, 0);
        self.routers[router].stage.opens(connection);
    }

    fn tell(&mut self, router: usize, worker: usize, state: &'static str, started_ms: u64) {
        let r = &mut self.routers[router];
        let Some(watch) = r.stage.watching() else { return };
        r.version += 1;
        if state == "SERVING" {
            r.told.remove(&worker);
        } else {
            r.told.entry(worker).or_insert(self.now);
        }
        let entry = self.customer.entry(worker, state, started_ms);
        let line = json!({"version": r.version, "full": false, "servers": [entry]});
        r.stage.say(watch, chunk(&format!("{line}\n")));
    }
}

/// A router that has just been told the whole list.
fn router(customer: &Customer) -> Router {
    let mut stage = Stage::with(&customer.file);
    stage.eager = false;
    let (watch, _) = stage.watch();
    stage.written(watch);
    stage.discover(&customer.file["known"]);
    Router {
        stage,
        version: 4,
        told: BTreeMap::new(),
        stopped: None,
        up: BTreeMap::new(),
        met: [watch].into(),
        gone: BTreeSet::new(),
        void: BTreeSet::new(),
        stuck: BTreeMap::new(),
    }
}

/// The worker whose process does the event, if one does.
fn worker_of(event: &Event, routers: &[Router]) -> Option<usize> {
    let (Event::StreamEnds(on)
    | Event::EndIsSeen(on)
    | Event::Handle(on, _)
    | Event::ReadEnds(on, _)
    | Event::WriteEnds(on, _)
    | Event::PlaceAnswered(on, ..)) = event
    else {
        return None;
    };
    let to = routers[on.0].stage.dialled.get(&on.1)?;
    Some(usize::from(to[3]) - 1)
}

/// The number of the request that an attempt is for.
fn attempt_of(text: &str) -> Option<usize> {
    if !text.starts_with("POST /v1") {
        return None;
    }
    Some(after(text, "x-trace-id: t").parse().expect("a number"))
}

/// The first line of a call, and what is told of it.
fn told(text: &str) -> String {
    let line = text.split("\r\n").next().unwrap_or("");
    format!("{line} {} {}", after(text, "x-trace-id: "), after(text, "x-expires-in-ms: "))
}

/// The word behind a text.
fn after<'a>(text: &'a str, head: &str) -> &'a str {
    text.split(head).nth(1).and_then(|t| t.split(['\r', ' ']).next()).unwrap_or("")
}
