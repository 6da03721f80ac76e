//! A generated simulation: one gateway, its clients, workers and connections, and the rules that it must keep.

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

/// The release timeout of the settings, plus the time that the protocol allows beyond it.
const RELEASE_TIMEOUT: Micros = 1_300 * MS;
/// Maximum delay of the event loop.
const LOOP_LAG: Micros = 50 * MS;
/// Time after which the router must have seen a client's disconnect.
const DISCONNECT_GRACE: Micros = 100 * MS;
/// Time after which the router must have seen that a worker drains.
const DRAIN_GRACE: Micros = 200 * MS;
/// The connect timeout of the settings.
const CONNECT_TIMEOUT: Micros = 250 * MS;

/// An event of the simulation. Clients and workers are given by their index, attempts and reservations by their
/// connection and trace id.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    SendRequest(usize),
    ClientDisconnects(usize),
    Connected(ConnectionId),
    ConnectFails(ConnectionId),
    Response(ConnectionId, String),
    /// The connection, the trace id, and a random number below 100 that decides how the attempt ends.
    PrefillEnds(ConnectionId, String, u8),
    /// As for `PrefillEnds`.
    DecodeEnds(ConnectionId, String, u8),
    /// The connection, the trace id, and whether the request's prefill is in flight.
    ReservationAnswered(ConnectionId, String, bool),
    /// A worker's machine becomes unreachable.
    Vanish(usize),
    /// An unreachable machine can be reached again.
    Return(usize),
    Drain(usize),
    /// Discovery sends an empty line on the watch.
    Heartbeat,
}

/// What workers hold for a request, and its attempts in flight there.
#[derive(Default)]
struct Request {
    has_state: bool,
    is_reserved: bool,
    /// Start of the release timeout.
    timeout_start: Micros,
    prefills: BTreeSet<ConnectionId>,
    decodes: BTreeSet<ConnectionId>,
    has_response: bool,
}

struct Client {
    connection: ConnectionId,
    /// The time by which the client must have a response.
    answered_by: Micros,
    disconnected_at: Option<Micros>,
}

pub struct Simulation {
    harness: Harness,
    rng: Rng,
    /// Events to come: the time, the event's number, and the event.
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    /// Number of events scheduled so far, which keeps events of the same time in order.
    events: u64,
    /// Requests by trace id.
    requests: BTreeMap<String, Request>,
    /// Clients by index.
    clients: BTreeMap<usize, Client>,
    /// Workers whose machines are unreachable.
    unreachable: BTreeSet<usize>,
    draining_since: BTreeMap<usize, Micros>,
    version: u64,
    /// Observed connections: whether they are established, and the number of sent bytes that were observed.
    connections: BTreeMap<ConnectionId, (bool, usize)>,
    /// Connections that seem open but carry nothing in either direction.
    blackholed: BTreeSet<ConnectionId>,
    /// The first violation, if there is one.
    violation: Option<String>,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let (mut rng, mut file) = (Rng::new(seed), router_config());
        file["settings"]["family_info"]["ahead"] = (rng.unit() < 0.7).into();
        file["settings"]["caps"]["probing"] = (rng.unit() < 0.8).into();
        let mut harness = Harness::with_config(&file);
        harness.completes_io_immediately = false;
        let mut simulation = Simulation {
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
            violation: None,
        };
        let (watch, _) = simulation.harness.watch();
        simulation.harness.complete_write(watch);
        simulation.harness.send_update(&endpoint_list(4));
        for index in 0..simulation.random_range(1, 6) {
            let at_ms = simulation.random_range(0, 1_500);
            simulation.schedule(at_ms, Event::SendRequest(index as usize));
        }
        // A prefill worker and a decode worker have no faults, so that a release can always be answered.
        for _ in 0..simulation.random_range(0, 4) {
            let (worker, at_ms) =
                (1 + simulation.random_range(0, 5) as usize % 5, simulation.random_range(0, 1_500));
            let until_ms = at_ms + simulation.random_range(50, 2_500);
            if worker != 2 {
                simulation.schedule(at_ms, Event::Vanish(worker));
                simulation.schedule(until_ms, Event::Return(worker));
            }
        }
        if simulation.random_bool(0.3) {
            let at_ms = simulation.random_range(0, 1_500);
            simulation.schedule(at_ms, Event::Drain(1));
        }
        (0..140).for_each(|n| simulation.schedule(n * 50, Event::Heartbeat));
        simulation
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.unit() < probability
    }

    fn random_range(&mut self, least: u64, below: u64) -> u64 {
        least + (self.rng.unit() * (below - least) as f64) as u64
    }

    /// Schedules an event in `delay_ms` milliseconds from now.
    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((self.harness.now + delay_ms * MS, self.events, event)));
    }

    /// Records a violation, unless there was one before.
    fn report_violation(&mut self, description: String) {
        let now_ms = (self.harness.now - EPOCH) / MS;
        self.violation.get_or_insert(format!("at {now_ms} ms: {description}"));
    }

    /// Returns the worker that a connection leads to, or `None` for the discovery watch.
    fn worker(&self, connection: ConnectionId) -> Option<usize> {
        self.harness
            .outbound
            .get(&connection)
            .filter(|address| address[2] == 1)
            .map(|address| usize::from(address[3]) - 1)
    }

    /// Returns whether bytes pass on a connection to a worker.
    fn passes(&self, connection: ConnectionId) -> bool {
        !self.blackholed.contains(&connection)
            && self.worker(connection).is_some_and(|worker| !self.unreachable.contains(&worker))
    }

    /// Delivers bytes of a worker to the router, unless the connection carries nothing.
    fn deliver(&mut self, connection: ConnectionId, text: &str) {
        if self.passes(connection) && !self.harness.ended.contains_key(&connection) {
            self.harness.deliver(connection, text);
        }
    }

    /// Observes what the router did: connections that it opened, bytes that it sent, and connections that it ended.
    fn observe(&mut self) {
        loop {
            let new_connections: Vec<_> = self
                .harness
                .outbound
                .keys()
                .filter(|connection| !self.connections.contains_key(connection))
                .copied()
                .collect();
            for connection in &new_connections {
                self.connections.insert(*connection, (false, 0));
                let Some(worker) = self.worker(*connection) else { continue };
                if self.unreachable.contains(&worker) || self.random_bool(0.03) {
                    self.schedule(CONNECT_TIMEOUT / MS, Event::ConnectFails(*connection));
                } else {
                    let delay_ms = if self.random_bool(0.1) { self.random_range(20, 240) } else { 1 };
                    self.schedule(delay_ms, Event::Connected(*connection));
                }
            }
            let ended: Vec<_> = self.harness.ended.keys().copied().collect();
            for request in self.requests.values_mut() {
                let has_ended = ended.iter().any(|connection| {
                    request.prefills.remove(connection) | request.decodes.remove(connection)
                });
                request.timeout_start = if has_ended { self.harness.now } else { request.timeout_start };
            }
            let mut observed_call = false;
            for connection in self
                .connections
                .iter()
                .filter(|(_, (is_established, _))| *is_established)
                .map(|(connection, _)| *connection)
                .collect::<Vec<_>>()
            {
                observed_call |= self.observe_call(connection);
            }
            if new_connections.is_empty() && !observed_call {
                return;
            }
        }
    }

    /// Observes a call on a connection: it is written at once, and arrives unless the connection is black-holed.
    /// Returns whether there was one.
    fn observe_call(&mut self, connection: ConnectionId) -> bool {
        let seen_bytes = self.connections.get(&connection).map_or(0, |entry| entry.1);
        let sent = self.harness.sent_text(connection);
        if sent.len() <= seen_bytes || self.harness.ended.contains_key(&connection) {
            return false;
        }
        self.connections.insert(connection, (true, sent.len()));
        let text = sent[seen_bytes..].to_string();
        let Some(worker) = self.worker(connection) else { return true };
        let now = self.harness.now;
        let value_after =
            |prefix: &str| text.split(prefix).nth(1)?.split(['\r', ' ']).next().map(str::to_string);
        if text.starts_with("POST /v1") {
            let trace_id = value_after("x-trace-id: ").expect("an id");
            let client_index: usize = trace_id[1..].parse().expect("a number");
            let is_too_late = self
                .clients
                .get(&client_index)
                .and_then(|client| client.disconnected_at)
                .is_some_and(|at| now > at + DISCONNECT_GRACE);
            if is_too_late {
                self.report_violation(format!(
                    "an attempt for {trace_id} was sent after its client had disconnected"
                ));
            }
        }
        let is_new_work = text.starts_with("POST ");
        if is_new_work && self.draining_since.get(&worker).is_some_and(|at| now > *at + DRAIN_GRACE) {
            self.report_violation(format!("{} was sent to a draining worker", &text[..30]));
        }
        if self.passes(connection) {
            self.call_received(connection, worker, &text);
        }
        self.harness.complete_write(connection);
        true
    }

    /// Resets a connection on the worker's side; the router sees the reset unless the connection is black-holed.
    fn break_connection(&mut self, connection: ConnectionId) {
        if self.passes(connection) && !self.harness.ended.contains_key(&connection) {
            self.connections.remove(&connection);
            self.harness.reset(connection);
        }
    }

    /// Handles an event.
    fn step(&mut self, event: Event) {
        match event {
            Event::SendRequest(index) => self.send_request(index),
            Event::ClientDisconnects(index) => self.client_disconnects(index),
            Event::Connected(connection) => self.connected(connection),
            Event::ConnectFails(connection) => self.connect_fails(connection),
            Event::Response(connection, text) => self.deliver(connection, &text),
            Event::PrefillEnds(connection, trace_id, roll) => self.prefill_ends(connection, trace_id, roll),
            Event::DecodeEnds(connection, trace_id, roll) => self.decode_ends(connection, trace_id, roll),
            Event::ReservationAnswered(connection, trace_id, knows_prefill) => {
                self.answer_reservation(connection, trace_id, knows_prefill);
            }
            Event::Vanish(worker) => drop(self.unreachable.insert(worker)),
            Event::Return(worker) => self.worker_returns(worker),
            Event::Drain(worker) => self.drain(worker),
            Event::Heartbeat => self.heartbeat(),
        }
    }

    /// Checks the rules that must hold at any moment.
    fn check_rules(&mut self) {
        let now = self.harness.now;
        let overdue = self.requests.iter().find(|(_, request)| {
            let is_in_flight = !request.prefills.is_empty() || !request.decodes.is_empty();
            (request.has_state || request.is_reserved)
                && !is_in_flight
                && now > request.timeout_start + RELEASE_TIMEOUT
        });
        if let Some((trace_id, request)) = overdue {
            let (start_ms, held) = (
                (request.timeout_start - EPOCH) / MS,
                if request.has_state { "state" } else { "reservation" },
            );
            let description = format!(
                "the {held} of {trace_id} should have been released; its timeout started at {start_ms} ms"
            );
            return self.report_violation(description);
        }
        for (index, client) in &self.clients {
            let text = self.harness.sent_text(client.connection);
            let response_count = text.matches("HTTP/1.1 ").count();
            let is_overdue =
                response_count == 0 && client.disconnected_at.is_none() && now > client.answered_by;
            if response_count > 1 || is_overdue {
                let description = format!("the client of t{index} has {response_count} responses");
                return self.report_violation(description);
            }
        }
    }

    /// Runs the simulation. Returns the first violation, if there is one.
    pub fn run(mut self) -> Option<String> {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.harness.advance(at.saturating_sub(self.harness.now));
            self.observe();
            self.step(event);
            self.observe();
            self.check_rules();
            if self.violation.is_some() {
                return self.violation;
            }
        }
        None
    }
}
