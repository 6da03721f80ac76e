//! Routers, clients, workers and discovery of one generated deployment, in virtual time, with random faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use serde_json::json;
use tideroute::rng::Rng;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

use crate::common::*;
use tideroute_test_support::checker::{Checker, Connection};
use tideroute_test_support::deployment::GeneratedDeployment;
use tideroute_test_support::random::log_uniform;
use tideroute_test_support::violation::Violation;
use tideroute_test_support::worker_spec::Role;

#[path = "events.rs"]
mod events;
#[path = "observation.rs"]
mod observation;
#[path = "servers.rs"]
mod servers;

/// Milliseconds in which requests come and faults begin, and after which a run ends.
const FAULTS_UNTIL_MS: f64 = 1_500.0;
const END_MS: u64 = 9_000;
/// Milliseconds that a client waits at most, so that a run ends.
const MAX_WAIT_MS: u64 = 3_000;
/// Milliseconds after a signal to shut down at which the process may be killed.
const KILL_AFTER_MS: u64 = 3_700;
/// A machine that is away for less has kept its connections, or resets them (docs/assumptions.md).
const MIN_ABSENCE: Micros = 1_000 * MS;
/// Time after a signal to shut down in which clients still come.
const LAST_CLIENTS_AFTER: Micros = 500 * MS;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    SendRequest(usize),
    SendRest(usize),
    ClientDisconnects(usize),
    Connected(Connection),
    ConnectFails(Connection),
    CallWritten(Connection),
    StreamEnds(Connection),
    DisconnectSeen(Connection),
    HandleCall(Connection, String),
    PrefillEnds(Connection, usize),
    DecodeEnds(Connection, usize),
    ReservationAnswered(Connection, usize, bool),
    Vanish(usize),
    Return(usize),
    Hang(usize, Micros),
    Crash(usize),
    UpdateEndpoint(usize, usize, &'static str, u64),
    ShutDown(usize),
    Kill(usize),
    Heartbeat,
}

/// A request to come, and its client's connection once it has come.
struct PlannedRequest {
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
    shut_down_at: Option<Micros>,
    /// Established connections to workers, and how many bytes sent on them were looked at.
    established: BTreeMap<ConnectionId, usize>,
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
    deployment: GeneratedDeployment,
    checker: Checker,
    rng: Rng,
    now: Micros,
    routers: Vec<RouterUnderTest>,
    servers: Vec<Server>,
    requests: Vec<PlannedRequest>,
    queue: BinaryHeap<Reverse<(Micros, u64, u64, Event)>>,
    events: u64,
    /// All events are printed.
    is_verbose: bool,
}

impl World {
    pub fn generate(seed: u64) -> World {
        // The generator's lowest bit is always set.
        let mut rng = Rng::new(2 * seed);
        let deployment = GeneratedDeployment::generate(&mut rng);
        let routers =
            (0..1 + (rng.unit() * rng.unit() * 3.0) as usize).map(|_| router(&deployment)).collect();
        let servers = deployment.workers.iter().map(|_| Server::default()).collect();
        let mut world = World {
            deployment,
            checker: Checker::new(EPOCH, 0),
            rng,
            now: EPOCH,
            routers,
            servers,
            requests: vec![],
            queue: BinaryHeap::new(),
            events: 0,
            is_verbose: false,
        };
        world.plan_requests();
        world.plan_faults();
        (0..END_MS / 1_000).for_each(|n| world.schedule(n * 1_000, Event::Heartbeat));
        world
    }

    fn plan_requests(&mut self) {
        for n in 0..self.random_range(1, 7) as usize {
            let router = self.random_range(0, self.routers.len() as u64) as usize;
            let class = self.random_range(0, self.deployment.classes.len() as u64) as usize;
            let longest = self.deployment.classes[class].deadline_ms.min(MAX_WAIT_MS);
            let wait_ms = (longest as f64 * log_uniform(&mut self.rng, 0.5, 1.0)).max(30.0) as u64;
            let slow_ms = if self.random_bool(0.15) { self.random_range(50, 600) } else { 0 };
            self.requests.push(PlannedRequest {
                router,
                class,
                wait_ms,
                slow_ms,
                number: None,
                connection: None,
            });
            let at = self.random_range(0, FAULTS_UNTIL_MS as u64);
            self.schedule(at, Event::SendRequest(n));
            if self.random_bool(0.25) {
                let stays = self.random_range(0, 1_500);
                self.schedule(at + slow_ms + stays, Event::ClientDisconnects(n));
            }
        }
    }

    /// The first two workers, or one with both roles, stay well: a release can always be answered.
    fn plan_faults(&mut self) {
        let many = self.servers.len() as u64;
        for _ in 0..self.random_range(0, 5) {
            let (worker, at) = (
                self.random_range(2.min(many - 1), many) as usize,
                self.random_range(0, FAULTS_UNTIL_MS as u64),
            );
            let lasts = log_uniform(&mut self.rng, 50.0, 4_000.0) as u64;
            match self.random_range(0, 6) {
                0 | 1 => {
                    self.schedule(at, Event::Vanish(worker));
                    self.schedule(at + lasts, Event::Return(worker));
                }
                2 => self.schedule(at, Event::Hang(worker, self.now + (at + lasts) * MS)),
                3 => self.schedule(at, Event::Crash(worker)),
                4 => self.update_endpoint_everywhere(at, worker, "DRAINING", 0),
                _ => self.update_endpoint_everywhere(at, worker, "DELETED", 0),
            }
        }
        if self.random_bool(0.15) {
            let router = self.random_range(0, self.routers.len() as u64) as usize;
            let at = self.random_range(100, FAULTS_UNTIL_MS as u64);
            self.schedule(at, Event::ShutDown(router));
        }
    }

    /// Plays, and prints the deployment's settings and all events.
    pub fn play_verbosely(mut self) -> Option<Violation> {
        let roles = self.deployment.workers.iter().enumerate();
        let roles: Vec<_> = roles.map(|(n, w)| format!("{n}:{:?} {}/{}", w.role, w.zone, w.cell)).collect();
        println!("{:#}\nworkers {roles:?}", self.deployment.config["settings"]);
        self.is_verbose = true;
        self.play()
    }

    fn log(&mut self, message: impl FnOnce() -> String) {
        if self.is_verbose {
            println!("{:>8.3} ms  {}", (self.now - EPOCH) as f64 / MS as f64, message());
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
    fn update_endpoint_everywhere(&mut self, ms: u64, worker: usize, state: &'static str, started_ms: u64) {
        for router in 0..self.routers.len() {
            let late = if self.random_bool(0.5) { 0 } else { self.random_range(0, 1_000) };
            self.schedule(ms + late, Event::UpdateEndpoint(router, worker, state, started_ms));
        }
    }

    /// The rule that is broken first, if one is.
    pub fn play(mut self) -> Option<Violation> {
        let end = EPOCH + END_MS * MS;
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
            self.checker.check(self.now, &self.deployment);
            if self.checker.violation.is_some() {
                return self.checker.violation;
            }
        }
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
            under_test.established.remove(&connection);
            under_test.unwritten_calls.remove(&connection);
            under_test.harness.reset(connection);
        }
    }
}

/// A router that has just received the full endpoint list.
fn router(deployment: &GeneratedDeployment) -> RouterUnderTest {
    let mut harness = Harness::with_config(&deployment.config);
    harness.is_immediate = false;
    let (watch, _) = harness.watch();
    harness.complete_write(watch);
    harness.send_update(&deployment.config["known"]);
    RouterUnderTest {
        harness,
        version: 4,
        draining_since: BTreeMap::new(),
        shut_down_at: None,
        established: BTreeMap::new(),
        seen_connections: [watch].into(),
        closed: BTreeSet::new(),
        blackholed: BTreeSet::new(),
        unwritten_calls: BTreeMap::new(),
    }
}

/// The worker whose process handles the event, if one does.
fn worker_of(event: &Event, routers: &[RouterUnderTest]) -> Option<usize> {
    let (Event::StreamEnds(on)
    | Event::DisconnectSeen(on)
    | Event::HandleCall(on, _)
    | Event::PrefillEnds(on, _)
    | Event::DecodeEnds(on, _)
    | Event::ReservationAnswered(on, ..)) = event
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
