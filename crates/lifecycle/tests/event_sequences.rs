//! Runs the router on generated sequences of events: valid, unexpected and malformed messages, disconnects and timers
//! in any order. Guards against panics, against a client that gets two final responses or any message after one, and
//! against finished requests that the router never forgets.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use tideroute_lifecycle::ProtobufRouter;
use tideroute_wire::endpoint_list::{EndpointStatus, Page};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effect, Effects, EventHandler};
use tideroute_wire::{client, say_hello, worker, Address, Malformed, Micros, Party};

use support::{config, DISCOVERY};

/// Checks the messages that a client receives, by its own request numbers.
#[derive(Default)]
struct ResponseChecker {
    finished: BTreeSet<u64>,
    violation: Option<String>,
}

impl ResponseChecker {
    fn received(&mut self, number: u64, is_final: bool) -> Result<(), Malformed> {
        if self.finished.contains(&number) {
            self.violation = Some(format!("request {number} gets a message after its final response"));
        }
        if is_final {
            self.finished.insert(number);
        }
        Ok(())
    }
}

impl client::Client for ResponseChecker {
    fn accepted(&mut self, number: u64, _id: u64) -> Result<(), Malformed> {
        self.received(number, false)
    }
    fn token(&mut self, number: u64, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.received(number, false)
    }
    fn completed(&mut self, number: u64, _tokens: u32) -> Result<(), Malformed> {
        self.received(number, true)
    }
    fn rejected(&mut self, number: u64, _retry_after: Micros) -> Result<(), Malformed> {
        self.received(number, true)
    }
    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        self.received(number, true)
    }

    fn unauthorized(&mut self, _reason: &str) -> Result<(), Malformed> {
        Ok(())
    }
}

/// Reads the request and the number of the attempt that a frame to a worker dispatches, if it dispatches one.
struct DispatchReader(Option<(u64, u16)>);

impl worker::Worker for DispatchReader {
    fn prefill(
        &mut self,
        id: u64,
        attempt: u16,
        _: u8,
        _: u64,
        _: u64,
        _: u32,
        _: u32,
        _: Micros,
        _: Bytes,
    ) -> Result<(), Malformed> {
        self.0 = Some((id, attempt));
        Ok(())
    }
    fn reserve(&mut self, _: u64, _: u32, _: u32, _: Address) -> Result<(), Malformed> {
        Ok(())
    }
    fn decode(
        &mut self,
        id: u64,
        attempt: u16,
        _: u8,
        _: u32,
        _: u32,
        _: Micros,
        _: u64,
        _: Option<Address>,
        _: u32,
        _: u64,
        _: u64,
        _: u32,
        _: Bytes,
    ) -> Result<(), Malformed> {
        self.0 = Some((id, attempt));
        Ok(())
    }
    fn release(&mut self, _: u64) -> Result<(), Malformed> {
        Ok(())
    }
    fn cancel(&mut self, _: u64, _: u16) -> Result<(), Malformed> {
        Ok(())
    }
    fn check_health(&mut self, _: u64) -> Result<(), Malformed> {
        Ok(())
    }
    fn grant_tokens(&mut self, _: u64, _: u16, _: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

#[derive(Clone, Copy)]
struct DispatchedAttempt {
    /// The worker's connection.
    connection: ConnectionId,
    /// The request.
    id: u64,
    number: u16,
}

/// A worker's message about an attempt, whether it fits the attempt's state or not.
fn worker_message(attempt: DispatchedAttempt, value: u16) -> Bytes {
    let DispatchedAttempt { id, number, .. } = attempt;
    match value % 7 {
        0 | 1 => worker::prefill_completed(id, number, 0, 9),
        2 | 3 => worker::token(id, number, u32::from(value / 7 % 3), Bytes::from_static(b"word")),
        4 => worker::completed(id, number, u32::from(value / 7 % 4)),
        5 => {
            let failures = [worker::AttemptFailure::Rejected, worker::AttemptFailure::ServerError];
            worker::attempt_ended(id, number, failures[usize::from(value) % 2])
        }
        _ => worker::reservation_answered(id, value.is_multiple_of(2)),
    }
}

struct World {
    router: ProtobufRouter,
    effects: Effects,
    now: Micros,
    connections: BTreeMap<ConnectionId, Address>,
    timers: BTreeSet<(Micros, u64)>,
    responses: ResponseChecker,
    /// Every attempt that was dispatched.
    attempts: Vec<DispatchedAttempt>,
    /// The client's last request number.
    number: u64,
    /// Number of the client's connection.
    client: u64,
}

impl World {
    fn new() -> World {
        let now = 1_000_000_000;
        let mut world = World {
            router: ProtobufRouter::new(config(), None, now),
            effects: Effects::default(),
            now,
            connections: BTreeMap::new(),
            timers: BTreeSet::new(),
            responses: ResponseChecker::default(),
            attempts: vec![],
            number: 0,
            client: 0,
        };
        world.router.on_start(now, &mut world.effects);
        world.run_iteration();
        let discovery = world
            .connections
            .iter()
            .find(|(_, to)| **to == DISCOVERY)
            .map(|(connection, _)| *connection)
            .expect("router should connect to discovery");
        let mut snapshot = Page::new(1, true);
        for n in 0..6u8 {
            let kind = u16::from(n > 1);
            snapshot.add([10, 0, 1, n, 1, 1], kind, 1.0, EndpointStatus::Serving, u16::from(n % 2), 0, 0);
        }
        world.receive(discovery, &snapshot.frame());
        world.connect_client();
        world
    }

    fn connect_client(&mut self) {
        let connection = ConnectionId(self.client);
        self.router.on_accepted(self.now, connection, 0, &mut self.effects);
        self.receive(connection, &say_hello(Party::Client, "c"));
        self.number = 0;
        self.responses.finished.clear();
    }

    fn receive(&mut self, connection: ConnectionId, frame: &Bytes) {
        self.router.on_data(self.now, connection, frame, &mut self.effects);
        self.run_iteration();
    }

    fn run_iteration(&mut self) {
        self.router.on_iteration(self.now, &mut self.effects);
        for effect in self.effects.take() {
            match effect {
                Effect::Connect { connection, to, .. } => drop(self.connections.insert(connection, to)),
                Effect::SetTimer { at, key } => drop(self.timers.insert((at, key))),
                Effect::Close { connection, .. } if connection == ConnectionId(self.client) => {
                    self.client += 1;
                    self.connect_client();
                }
                Effect::Close { connection, .. } => drop(self.connections.remove(&connection)),
                Effect::Send { connection, frame } if connection == ConnectionId(self.client) => {
                    client::receive_from_router(&frame, &mut self.responses)
                        .expect("message to a client should be valid");
                }
                Effect::Send { connection, frame } => self.record_attempt(connection, &frame),
                _ => {}
            }
        }
    }

    /// Records the attempt that a frame to a worker dispatches, if any.
    fn record_attempt(&mut self, connection: ConnectionId, frame: &Bytes) {
        let mut reader = DispatchReader(None);
        if worker::receive_from_router(frame, &mut reader).is_ok() {
            let attempt = reader.0.map(|(id, number)| DispatchedAttempt { connection, id, number });
            self.attempts.extend(attempt);
        }
    }

    /// Applies one generated event. `selector` selects its connection or attempt, and `value` its contents.
    fn step(&mut self, (event, selector, value): (u8, u8, u16)) {
        let client = ConnectionId(self.client);
        let attempt = self.select_attempt(selector);
        match event % 14 {
            0..=2 => self.submit(selector % 2, value),
            3 => self.receive(client, &client::cancel(u64::from(selector))),
            4..=9 => {
                let Some(attempt) = attempt else { return };
                self.receive(attempt.connection, &worker_message(attempt, value));
            }
            10 => self.disconnect(selector, value),
            11 => {
                let garbage = Bytes::from(value.to_le_bytes().repeat(usize::from(selector) % 9));
                let worker = attempt.map_or(client, |attempt| attempt.connection);
                self.receive(if selector % 2 == 0 { worker } else { client }, &garbage);
            }
            12 => {
                self.router.on_backpressure(self.now, client, selector % 2 == 0, &mut self.effects);
                self.run_iteration();
            }
            _ => self.advance(Micros::from(value) * 10),
        }
    }

    /// Selects one of all dispatched attempts, including those that have ended.
    fn select_attempt(&self, selector: u8) -> Option<DispatchedAttempt> {
        let index = usize::from(selector) % self.attempts.len().max(1);
        self.attempts.get(index).copied()
    }

    fn submit(&mut self, class: u8, value: u16) {
        self.number += 1;
        let prompt = Bytes::from_static(b"prompt");
        let tokens = u32::from(value);
        let remaining_time = Micros::from(value) * 100;
        let submit = client::submit(self.number, class, 1, 0, tokens, 0, 9, remaining_time, 0, prompt);
        self.receive(ConnectionId(self.client), &submit);
    }

    /// Ends one of the connections that the router opened.
    fn disconnect(&mut self, selector: u8, value: u16) {
        let index = usize::from(selector) % self.connections.len().max(1);
        let Some(&connection) = self.connections.keys().nth(index) else { return };
        self.connections.remove(&connection);
        let reasons = [DisconnectReason::Reset, DisconnectReason::ConnectFailed];
        let reason = reasons[usize::from(value) % 2];
        self.router.on_disconnect(self.now, connection, reason, &mut self.effects);
        self.run_iteration();
    }

    fn advance(&mut self, duration: Micros) {
        let until = self.now + duration;
        while let Some(&(at, key)) = self.timers.first().filter(|(at, _)| *at <= until) {
            self.timers.pop_first();
            self.now = self.now.max(at);
            self.router.on_timer(self.now, key, &mut self.effects);
            self.run_iteration();
        }
        self.now = until;
    }
}

#[test]
fn no_order_of_events_gives_two_final_responses_or_a_panic() {
    fn property_holds(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut world = World::new();
        steps.into_iter().for_each(|step| world.step(step));
        // A worker may never end its stream, but no request stays open after its client's disconnect and its deadline.
        world.router.on_shutdown(world.now, &mut world.effects);
        world.router.on_disconnect(
            world.now,
            ConnectionId(world.client),
            DisconnectReason::Reset,
            &mut world.effects,
        );
        world.run_iteration();
        world.advance(20_000_000);
        world.responses.violation.is_none() && world.router.is_finished() && world.router.open_requests() == 0
    }
    let check = property_holds as fn(Vec<(u8, u8, u16)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(400, 20_261_201)).tests(300).quickcheck(check);
}
