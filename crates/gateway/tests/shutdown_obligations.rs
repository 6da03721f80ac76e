//! Endings drawn by chance, in any order and overlap, beside a plain model of workers, clients and connections that knows
//! nothing of the router: what is held is released or taken in time, each client gets one answer in its time, nothing
//! begins for one that has gone, and nothing new reaches a worker that drains.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use common::*;
use serde_json::json;
use tideroute::rng::Rng;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

/// Worlds that are drawn; the first of them that breaks a rule is told by its seed.
const WORLDS: u64 = 12_000;
/// The settings' second and what the protocol allows beyond, and how late a loop may be.
const HELD: Micros = 1_300 * MS;
const LATE: Micros = 50 * MS;
/// After which a client's close counts as seen, and a drain as told, by the settings.
const GONE: Micros = 100 * MS;
const GRACE: Micros = 200 * MS;
const DIAL: Micros = 250 * MS;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Next {
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

/// What a running worker holds for a request, since when its time runs, and what is out for it at workers that run.
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
    stage: Stage,
    draw: Rng,
    queue: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    events: u64,
    requests: BTreeMap<String, Request>,
    clients: BTreeMap<usize, Client>,
    silent: BTreeSet<usize>,
    drains: BTreeMap<usize, Micros>,
    version: u64,
    /// Links met, whether they are up, and how many bytes on them were looked at; links on which nothing passes.
    connections: BTreeMap<ConnectionId, (bool, usize)>,
    void: BTreeSet<ConnectionId>,
    broken: Option<String>,
}

impl World {
    fn new(seed: u64) -> World {
        let (mut draw, mut file) = (Rng::new(seed), file());
        file["settings"]["family_info"]["ahead"] = (draw.unit() < 0.7).into();
        file["settings"]["caps"]["probing"] = (draw.unit() < 0.8).into();
        let mut stage = Stage::with(&file);
        stage.eager = false;
        let mut world = World {
            stage,
            draw,
            queue: BinaryHeap::new(),
            events: 0,
            requests: BTreeMap::new(),
            clients: BTreeMap::new(),
            silent: BTreeSet::new(),
            drains: BTreeMap::new(),
            version: 4,
            connections: BTreeMap::new(),
            void: BTreeSet::new(),
            broken: None,
        };
        let (watch, _) = world.stage.watch();
        world.stage.written(watch);
        world.stage.discover(&list(4));
        for n in 0..world.whole(1, 6) {
            let at = world.whole(0, 1_500);
            world.after(at, Next::Ask(n as usize));
        }
        // Two workers, a reader and a writer, always run: somebody can be told.
        for _ in 0..world.whole(0, 4) {
            let (worker, at) = (1 + world.whole(0, 5) as usize % 5, world.whole(0, 1_500));
            let last = at + world.whole(50, 2_500);
            if worker != 2 {
                world.after(at, Next::Silent(worker));
                world.after(last, Next::Back(worker));
            }
        }
        if world.chance(0.3) {
            let at = world.whole(0, 1_500);
            world.after(at, Next::Drain(1));
        }
        (0..140).for_each(|n| world.after(n * 50, Next::Tick));
        world
    }

    fn chance(&mut self, of: f64) -> bool {
        self.draw.unit() < of
    }

    fn whole(&mut self, least: u64, below: u64) -> u64 {
        least + (self.draw.unit() * (below - least) as f64) as u64
    }

    /// So many milliseconds from now.
    fn after(&mut self, ms: u64, next: Next) {
        self.events += 1;
        self.queue.push(Reverse((self.stage.now + ms * MS, self.events, next)));
    }

    fn breaks(&mut self, what: String) {
        let at = (self.stage.now - BEGAN) / MS;
        self.broken.get_or_insert(format!("at {at} ms: {what}"));
    }

    fn worker(&self, connection: ConnectionId) -> Option<usize> {
        self.stage.dialled.get(&connection).filter(|to| to[2] == 1).map(|to| usize::from(to[3]) - 1)
    }

    fn passes(&self, connection: ConnectionId) -> bool {
        !self.void.contains(&connection) && self.worker(connection).is_some_and(|w| !self.silent.contains(&w))
    }

    fn say(&mut self, connection: ConnectionId, text: &str) {
        if self.passes(connection) && !self.stage.ended.contains_key(&connection) {
            self.stage.say(connection, text);
        }
    }

    /// An attempt has had its outcome over there.
    fn outcome(&mut self, connection: ConnectionId, trace: &str) {
        let now = self.stage.now;
        let r = self.requests.entry(trace.to_string()).or_default();
        r.reads.remove(&connection);
        r.writes.remove(&connection);
        r.since = now;
    }

    /// Looks at what the router did: dials, bytes, and connections that it ended.
    fn look(&mut self) {
        loop {
            let fresh: Vec<_> =
                self.stage.dialled.keys().filter(|l| !self.connections.contains_key(l)).copied().collect();
            for connection in &fresh {
                self.connections.insert(*connection, (false, 0));
                let Some(worker) = self.worker(*connection) else { continue };
                if self.silent.contains(&worker) || self.chance(0.03) {
                    self.after(DIAL / MS, Next::Unreached(*connection));
                } else {
                    let late = if self.chance(0.1) { self.whole(20, 240) } else { 1 };
                    self.after(late, Next::Up(*connection));
                }
            }
            let gone: Vec<_> = self.stage.ended.keys().copied().collect();
            for r in self.requests.values_mut() {
                let ends = gone.iter().any(|l| r.reads.remove(l) | r.writes.remove(l));
                r.since = if ends { self.stage.now } else { r.since };
            }
            let mut said = false;
            for connection in
                self.connections.iter().filter(|(_, (up, _))| *up).map(|(l, _)| *l).collect::<Vec<_>>()
            {
                said |= self.heard(connection);
            }
            if fresh.is_empty() && !said {
                return;
            }
        }
    }

    /// A connection has brought requests: they are written at once, and arrive unless nothing passes.
    fn heard(&mut self, connection: ConnectionId) -> bool {
        let seen = self.connections.get(&connection).map_or(0, |l| l.1);
        let all = self.stage.text(connection);
        if all.len() <= seen || self.stage.ended.contains_key(&connection) {
            return false;
        }
        self.connections.insert(connection, (true, all.len()));
        let text = all[seen..].to_string();
        let Some(worker) = self.worker(connection) else { return true };
        let now = self.stage.now;
        let trace = |head: &str| text.split(head).nth(1)?.split(['\r', ' ']).next().map(str::to_string);
        if text.starts_with("POST /v1") {
            let trace = trace("x-trace-id: ").expect("an id");
            let number: usize = trace[1..].parse().expect("a number");
            let late = self.clients.get(&number).and_then(|c| c.left).is_some_and(|at| now > at + GONE);
            if late {
                self.breaks(format!("an attempt for {trace}, whose client has gone"));
            }
        }
        let new = text.starts_with("POST ");
        if new && self.drains.get(&worker).is_some_and(|at| now > *at + GRACE) {
            self.breaks(format!("{} to a worker that drains", &text[..30]));
        }
        if self.passes(connection) {
            self.arrives(connection, worker, &text);
        }
        self.stage.written(connection);
        true
    }

    fn arrives(&mut self, connection: ConnectionId, worker: usize, text: &str) {
        let after =
            |head: &str| text.split(head).nth(1).and_then(|t| t.split(['\r', ' ']).next()).unwrap_or("");
        if text.starts_with("GET ") {
            return self.after(1, Next::Say(connection, plain(200, "", "")));
        }
        if text.starts_with("DELETE ") {
            let r = self.requests.entry(after("/internal/reservations/").into()).or_default();
            (r.state, r.place) = (r.state && !r.writes.is_empty(), false);
            return self.after(1, Next::Say(connection, "HTTP/1.1 204 No Content\r\n\r\n".into()));
        }
        if text.starts_with("POST /internal") {
            let trace = after("/internal/reservations/").to_string();
            let knows = self.requests.get(&trace).is_some_and(|r| !r.reads.is_empty());
            let takes = if knows { self.whole(1, 60) } else { 300 };
            return self.after(takes, Next::Place(connection, trace, knows));
        }
        let (trace, lot) = (after("x-trace-id: ").to_string(), self.whole(0, 100) as u8);
        let r = self.requests.entry(trace.clone()).or_default();
        if WORKERS[worker].1 == "reading" {
            r.reads.insert(connection);
            let takes = self.whole(2, 120);
            self.after(takes, Next::ReadEnds(connection, trace, lot));
        } else {
            r.writes.insert(connection);
            r.place = false;
            let takes = if lot < 40 { self.whole(1, 900) } else { self.whole(1, 30) };
            self.after(takes, Next::WriteEnds(connection, trace, lot));
        }
    }

    /// The connection breaks, as the router learns if anything passes there.
    fn breaks_off(&mut self, connection: ConnectionId) {
        if self.passes(connection) && !self.stage.ended.contains_key(&connection) {
            self.connections.remove(&connection);
            self.stage.lose(connection);
        }
    }

    fn step(&mut self, next: Next) {
        let now = self.stage.now;
        match next {
            Next::Ask(n) => {
                let connection = self.stage.come();
                let left = self.whole(800, 4_000);
                let class = ["safe", "once", "keyed"][self.whole(0, 3) as usize];
                let mut client = Client { connection, until: now + left * MS, left: None };
                self.stage.say(connection, ask_for(&format!("t{n}"), class, left, "{}"));
                if self.chance(0.3) {
                    let at = self.whole(0, 1_500);
                    self.after(at, Next::Leave(n));
                }
                client.until += LATE;
                self.clients.insert(n, client);
            }
            Next::Leave(n) => {
                let Some(client) = self.clients.get_mut(&n) else { return };
                if !self.stage.ended.contains_key(&client.connection) {
                    client.left = Some(now);
                    self.stage.lose(client.connection);
                }
            }
            Next::Up(connection) => {
                if !self.stage.ended.contains_key(&connection) && self.passes(connection) {
                    // One in fifty leads nowhere from here on, and nobody is told.
                    if self.chance(0.02) {
                        self.void.insert(connection);
                    }
                    self.connections.insert(connection, (true, 0));
                    self.stage.opens(connection);
                } else {
                    self.after(DIAL / MS, Next::Unreached(connection));
                }
            }
            Next::Unreached(connection) => {
                if !self.stage.ended.contains_key(&connection)
                    && self.connections.remove(&connection).is_some()
                {
                    self.stage.lose_as(connection, DisconnectReason::ConnectFailed);
                }
            }
            Next::Say(connection, text) => self.say(connection, &text),
            Next::ReadEnds(connection, trace, lot) => {
                let out = self.requests.get(&trace).is_some_and(|r| r.reads.contains(&connection));
                if !out || !self.passes(connection) {
                    return;
                }
                self.outcome(connection, &trace);
                let r = self.requests.entry(trace).or_default();
                r.state |= lot < 90;
                match lot {
                    0..85 => self.say(connection, READ),
                    // It ends well just as its connection breaks.
                    85..90 => self.breaks_off(connection),
                    90..95 => self.say(connection, NEVER_RAN),
                    _ => self.say(connection, &plain(500, "", "")),
                }
            }
            Next::WriteEnds(connection, trace, lot) => {
                let passes = self.passes(connection);
                let r = self.requests.entry(trace.clone()).or_default();
                if !r.writes.contains(&connection) || !passes {
                    return;
                }
                if !r.state {
                    self.outcome(connection, &trace);
                    return self.say(connection, &NEVER_RAN.replace("503", "410"));
                }
                match lot {
                    0..12 => {
                        self.outcome(connection, &trace);
                        self.say(connection, NEVER_RAN);
                    }
                    12..18 => {
                        self.outcome(connection, &trace);
                        self.breaks_off(connection);
                    }
                    _ => {
                        (r.state, r.place, r.begun) = (false, false, true);
                        self.say(connection, &format!("{HEAD}{}", chunk(EVENTS[0])));
                        let takes = self.whole(1, 300);
                        let rest = format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2]));
                        self.after(takes, Next::Say(connection, rest));
                    }
                }
            }
            Next::Place(connection, trace, knew) => {
                if !self.passes(connection) || self.stage.ended.contains_key(&connection) && knew {
                    return;
                }
                let held = self.chance(0.5);
                let r = self.requests.entry(trace).or_default();
                if held && (r.writes.is_empty() || !knew) && !r.begun {
                    (r.place, r.since) = (true, now);
                }
                let text = match (knew, held) {
                    (false, _) => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
                    (true, true) => plain(200, "", ""),
                    (true, false) => plain(409, "", ""),
                };
                self.say(connection, &text);
            }
            Next::Silent(worker) => drop(self.silent.insert(worker)),
            Next::Back(worker) => {
                // What was open there is reset.
                self.silent.remove(&worker);
                let there: Vec<_> =
                    self.connections.keys().filter(|l| self.worker(**l) == Some(worker)).copied().collect();
                for connection in there {
                    self.requests.values_mut().for_each(|r| {
                        let ends = r.reads.remove(&connection) | r.writes.remove(&connection);
                        r.since = if ends { now } else { r.since };
                    });
                    self.breaks_off(connection);
                }
            }
            Next::Drain(worker) => {
                self.version += 1;
                self.drains.insert(worker, now);
                let line = json!({"version": self.version, "full": false, "servers": [entry(worker, "DRAINING", 0)]});
                let line = format!("{line}\n");
                let (watch, _) = self.stage.watch();
                self.stage.say(watch, chunk(&line));
            }
            Next::Tick => {
                let (watch, _) = self.stage.watch();
                self.stage.say(watch, chunk("\n"));
            }
        }
    }

    /// What the rules ask for at any moment.
    fn judge(&mut self) {
        let now = self.stage.now;
        let held = self.requests.iter().find(|(_, r)| {
            let out = !r.reads.is_empty() || !r.writes.is_empty();
            (r.state || r.place) && !out && now > r.since + HELD
        });
        if let Some((trace, r)) = held {
            let (since, what) = ((r.since - BEGAN) / MS, if r.state { "state" } else { "place" });
            let what = format!("a {what} of {trace} is held since {since} ms");
            return self.breaks(what);
        }
        for (n, client) in &self.clients {
            let text = self.stage.text(client.connection);
            let heads = text.matches("HTTP/1.1 ").count();
            let none = heads == 0 && client.left.is_none() && now > client.until;
            if heads > 1 || none {
                let what = format!("t{n} has {heads} answers");
                return self.breaks(what);
            }
        }
    }

    fn play(mut self) -> Option<String> {
        while let Some(Reverse((at, _, next))) = self.queue.pop() {
            self.stage.pass(at.saturating_sub(self.stage.now));
            self.look();
            self.step(next);
            self.look();
            self.judge();
            if self.broken.is_some() {
                return self.broken;
            }
        }
        None
    }
}

#[test]
fn every_debt_is_paid_in_time_whatever_ends_when() {
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
