//! Simulates the routers, clients, workers and discovery of one generated deployment in virtual time, with random
//! faults.

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
#[path = "workers.rs"]
mod workers;

/// Milliseconds during which requests are sent and faults begin.
const FAULTS_UNTIL_MS: f64 = 1_500.0;
/// Milliseconds after which a run ends.
const END_MS: u64 = 9_000;
/// Maximum remaining time of a request in milliseconds, so that each request is over before the end of the run.
const MAX_REMAINING_MS: u64 = 3_000;
/// Milliseconds after a shutdown signal at which the process may be killed.
const KILL_AFTER_MS: u64 = 3_700;
/// A machine that is unreachable for a shorter time has kept its connections or resets them (docs/assumptions.md).
const MIN_ABSENCE: Micros = 1_000 * MS;
/// Time after a shutdown signal during which clients still connect.
const LAST_CLIENTS_AFTER: Micros = 500 * MS;

/// An event of the simulation. Requests are given by their index in `requests` or, for attempts and reservations, by
/// their number at the checker; workers and routers by their index.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    SendRequest(usize),
    /// A client sends the remaining bytes of its request.
    SendRemainder(usize),
    ClientDisconnects(usize),
    Connected(Connection),
    ConnectFails(Connection),
    CallWritten(Connection),
    StreamEnds(Connection),
    DisconnectSeen(Connection),
    HandleCall(Connection, String),
    PrefillEnds(Connection, usize),
    DecodeEnds(Connection, usize),
    /// The connection, the request, and whether its prefill is in flight where the reservation was requested.
    ReservationAnswered(Connection, usize, bool),
    /// A worker's machine becomes unreachable.
    Vanish(usize),
    /// An unreachable machine can be reached again, with a new process.
    Return(usize),
    /// A worker handles nothing until the given time.
    Hang(usize, Micros),
    /// A worker's process ends, and a new one starts at once.
    Crash(usize),
    /// Discovery notifies a router of a worker: the router, the worker, its status and its start in milliseconds.
    UpdateEndpoint(usize, usize, &'static str, u64),
    ShutDown(usize),
    Kill(usize),
    /// Discovery sends an empty line on each watch.
    Heartbeat,
}

/// A planned request, and its client's connection once it was sent.
struct PlannedRequest {
    router: usize,
    class: usize,
    remaining_ms: u64,
    /// Milliseconds between the request's first and last bytes.
    send_duration_ms: u64,
    /// The request's number at the checker, once it was sent.
    request_number: Option<usize>,
    connection: Option<ConnectionId>,
}

struct RouterUnderTest {
    harness: Harness,
    version: u64,
    /// The time at which the router was notified that a worker drains or is removed.
    draining_since: BTreeMap<usize, Micros>,
    shut_down_at: Option<Micros>,
    /// Established connections to workers, with the number of sent bytes that were observed.
    established: BTreeMap<ConnectionId, usize>,
    seen_connections: BTreeSet<ConnectionId>,
    closed: BTreeSet<ConnectionId>,
    /// Connections that seem open but carry nothing in either direction.
    blackholed: BTreeSet<ConnectionId>,
    /// Calls whose last bytes are not yet written because the socket is full.
    unwritten_calls: BTreeMap<ConnectionId, String>,
}

/// The process of a worker.
#[derive(Default)]
struct WorkerProcess {
    is_unreachable: bool,
    unreachable_since: Micros,
    hangs_until: Micros,
    /// Number of restarts of the worker's process. Events of an earlier process are dropped.
    restart_count: u64,
}

pub struct Simulation {
    deployment: GeneratedDeployment,
    checker: Checker,
    rng: Rng,
    now: Micros,
    routers: Vec<RouterUnderTest>,
    processes: Vec<WorkerProcess>,
    requests: Vec<PlannedRequest>,
    /// Events to come: the time, the event's number, the number of restarts of its worker's process, and the event.
    queue: BinaryHeap<Reverse<(Micros, u64, u64, Event)>>,
    /// Number of events scheduled so far, which keeps events of the same time in order.
    events: u64,
    /// Whether all events are printed.
    is_verbose: bool,
}

impl Simulation {
    pub fn generate(seed: u64) -> Simulation {
        // The random number generator always sets its seed's lowest bit, so that odd seeds would repeat even ones.
        let mut rng = Rng::new(2 * seed);
        let deployment = GeneratedDeployment::generate(&mut rng);
        let routers =
            (0..1 + (rng.unit() * rng.unit() * 3.0) as usize).map(|_| router(&deployment)).collect();
        let processes = deployment.workers.iter().map(|_| WorkerProcess::default()).collect();
        let mut simulation = Simulation {
            deployment,
            checker: Checker::new(EPOCH, 0),
            rng,
            now: EPOCH,
            routers,
            processes,
            requests: vec![],
            queue: BinaryHeap::new(),
            events: 0,
            is_verbose: false,
        };
        simulation.plan_requests();
        simulation.plan_faults();
        (0..END_MS / 1_000).for_each(|n| simulation.schedule(n * 1_000, Event::Heartbeat));
        simulation
    }

    fn plan_requests(&mut self) {
        for index in 0..self.random_range(1, 7) as usize {
            let router = self.random_range(0, self.routers.len() as u64) as usize;
            let class = self.random_range(0, self.deployment.classes.len() as u64) as usize;
            let max_remaining_ms = self.deployment.classes[class].deadline_ms.min(MAX_REMAINING_MS);
            let remaining_ms =
                (max_remaining_ms as f64 * log_uniform(&mut self.rng, 0.5, 1.0)).max(30.0) as u64;
            let send_duration_ms = if self.random_bool(0.15) { self.random_range(50, 600) } else { 0 };
            self.requests.push(PlannedRequest {
                router,
                class,
                remaining_ms,
                send_duration_ms,
                request_number: None,
                connection: None,
            });
            let sent_at_ms = self.random_range(0, FAULTS_UNTIL_MS as u64);
            self.schedule(sent_at_ms, Event::SendRequest(index));
            if self.random_bool(0.25) {
                let connected_ms = self.random_range(0, 1_500);
                self.schedule(sent_at_ms + send_duration_ms + connected_ms, Event::ClientDisconnects(index));
            }
        }
    }

    /// Schedules faults of workers and a shutdown. The first two workers, or a single one with both roles, have no
    /// faults, so that a release can always be answered.
    fn plan_faults(&mut self) {
        let worker_count = self.processes.len() as u64;
        for _ in 0..self.random_range(0, 5) {
            let (worker, at_ms) = (
                self.random_range(2.min(worker_count - 1), worker_count) as usize,
                self.random_range(0, FAULTS_UNTIL_MS as u64),
            );
            let duration_ms = log_uniform(&mut self.rng, 50.0, 4_000.0) as u64;
            match self.random_range(0, 6) {
                0 | 1 => {
                    self.schedule(at_ms, Event::Vanish(worker));
                    self.schedule(at_ms + duration_ms, Event::Return(worker));
                }
                2 => self.schedule(at_ms, Event::Hang(worker, self.now + (at_ms + duration_ms) * MS)),
                3 => self.schedule(at_ms, Event::Crash(worker)),
                4 => self.update_endpoint_everywhere(at_ms, worker, "DRAINING", 0),
                _ => self.update_endpoint_everywhere(at_ms, worker, "DELETED", 0),
            }
        }
        if self.random_bool(0.15) {
            let router = self.random_range(0, self.routers.len() as u64) as usize;
            let at_ms = self.random_range(100, FAULTS_UNTIL_MS as u64);
            self.schedule(at_ms, Event::ShutDown(router));
        }
    }

    /// Runs the simulation and prints the deployment's settings and all events.
    pub fn run_verbosely(mut self) -> Option<Violation> {
        let roles = self.deployment.workers.iter().enumerate();
        let roles: Vec<_> = roles
            .map(|(index, worker)| format!("{index}:{:?} {}/{}", worker.role, worker.zone, worker.cell))
            .collect();
        println!("{:#}\nworkers {roles:?}", self.deployment.config["settings"]);
        self.is_verbose = true;
        self.run()
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

    /// Schedules an event in `delay_ms` milliseconds from now.
    fn schedule(&mut self, delay_ms: u64, event: Event) {
        let restart_count =
            worker_of(&event, &self.routers).map_or(0, |worker| self.processes[worker].restart_count);
        self.events += 1;
        self.queue.push(Reverse((self.now + delay_ms * MS, self.events, restart_count, event)));
    }

    /// Notifies each router of a worker's status `delay_ms` milliseconds from now, or up to a second later.
    fn update_endpoint_everywhere(
        &mut self,
        delay_ms: u64,
        worker: usize,
        state: &'static str,
        started_ms: u64,
    ) {
        for router in 0..self.routers.len() {
            let lag_ms = if self.random_bool(0.5) { 0 } else { self.random_range(0, 1_000) };
            self.schedule(delay_ms + lag_ms, Event::UpdateEndpoint(router, worker, state, started_ms));
        }
    }

    /// Runs the simulation. Returns the first violation, if there is one.
    pub fn run(mut self) -> Option<Violation> {
        let end = EPOCH + END_MS * MS;
        loop {
            let event_at = self.queue.peek().map_or(end, |Reverse((at, ..))| *at);
            let timers_at = self.routers.iter().filter_map(|under_test| under_test.harness.next_timer());
            let next_at = timers_at.min().unwrap_or(end).min(event_at).max(self.now);
            if next_at >= end {
                return None;
            }
            self.now = next_at;
            self.routers.iter_mut().for_each(|under_test| {
                under_test.harness.advance(next_at.saturating_sub(under_test.harness.now))
            });
            self.observe();
            if event_at <= next_at {
                let Reverse((_, _, restart_count, event)) = self.queue.pop()?;
                self.step(restart_count, event);
                self.observe();
            }
            self.checker.check(self.now, &self.deployment);
            if self.checker.violation.is_some() {
                return self.checker.violation;
            }
        }
    }

    /// Returns the worker that a connection leads to, or `None` for a discovery watch.
    fn worker(&self, (router, connection): Connection) -> Option<usize> {
        let address = self.routers[router].harness.outbound.get(&connection)?;
        (address[2] == 1).then(|| usize::from(address[3]) - 1)
    }

    /// Returns whether a connection is open and its worker's machine can be reached on it.
    fn passes(&self, connection: Connection) -> bool {
        let under_test = &self.routers[connection.0];
        let is_reachable =
            self.worker(connection).is_some_and(|worker| !self.processes[worker].is_unreachable);
        is_reachable
            && !under_test.blackholed.contains(&connection.1)
            && !under_test.harness.ended.contains_key(&connection.1)
    }

    /// Delivers bytes of a worker to a router, unless the connection carries nothing.
    fn deliver(&mut self, connection: Connection, text: &str) {
        if self.passes(connection) {
            self.routers[connection.0].harness.deliver(connection.1, text);
        }
    }

    /// Resets a connection on the worker's side; the router sees the reset unless the connection is black-holed.
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

/// Creates a router that has just received the full endpoint list.
fn router(deployment: &GeneratedDeployment) -> RouterUnderTest {
    let mut harness = Harness::with_config(&deployment.config);
    harness.completes_io_immediately = false;
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

/// Returns the worker whose process handles the event, if one does.
fn worker_of(event: &Event, routers: &[RouterUnderTest]) -> Option<usize> {
    let (Event::StreamEnds(connection)
    | Event::DisconnectSeen(connection)
    | Event::HandleCall(connection, _)
    | Event::PrefillEnds(connection, _)
    | Event::DecodeEnds(connection, _)
    | Event::ReservationAnswered(connection, ..)) = event
    else {
        return None;
    };
    let address = routers[connection.0].harness.outbound.get(&connection.1)?;
    Some(usize::from(address[3]) - 1)
}

/// Returns the number of the request that an attempt is for, or `None` for another call.
fn attempt_of(text: &str) -> Option<usize> {
    if !text.starts_with("POST /v1") {
        return None;
    }
    Some(after(text, "x-trace-id: t").parse().expect("a number"))
}

/// Returns the first line of a call with its trace id and remaining time.
fn summary(text: &str) -> String {
    let line = text.split("\r\n").next().unwrap_or("");
    format!("{line} {} {}", after(text, "x-trace-id: "), after(text, "x-expires-in-ms: "))
}

/// Returns the word that follows `prefix` in a text, or an empty string.
fn after<'a>(text: &'a str, prefix: &str) -> &'a str {
    text.split(prefix).nth(1).and_then(|rest| rest.split(['\r', ' ']).next()).unwrap_or("")
}
