//! The host under generated events: words that fit, words that do not, losses and timers in any order. Nothing
//! panics, no client hears two answers or anything after one, and what is over is forgotten.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use tideroute::types::{Idempotency, RequestClass, Role, SchedulerConfig as Module};
use tideroute_lifecycle::{Host, LifecycleConfig, RouterConfig};
use tideroute_wire::endpoint_list::{EndpointStatus, Page};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effect, Effects, EventHandler};
use tideroute_wire::{client, say_hello, worker, Address, Malformed, Micros, Party};

const LIST: Address = [10, 0, 0, 1, 1, 1];

fn config() -> RouterConfig {
    let class = |repeat| RequestClass {
        idempotency: repeat,
        ttft_objective: 10_000,
        ttft_objective_per_1000_tokens: 400,
        priority_weight: 1.0,
    };
    let module = Module {
        router_count: 2,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
        role_by_kind: vec![Role::Prefill, Role::Decode],
        reservations_enabled: true,
        state_release_timeout: 5_000,
        cold_capacity_share: 0.3,
        warm_up_time: 100_000,
        overload_multiple: 2.5,
        overload_window: 20_000,
        max_attempts: 5,
        cancellation_enabled: true,
        health_checks_enabled: true,
        load_reports_enabled: false,
        load_in_tokens: false,
        endpoint_watch_enabled: true,
        retry_after_enabled: true,
        max_retry_after: 10_000,
        ..Module::default()
    };
    let lifecycle = LifecycleConfig {
        name: "r".into(),
        scheduler: module,
        classes: vec!["a".into(), "b".into()],
        connect_timeout: 250_000,
        max_open_requests: 40,
        tenants: None,
        limits_share: 1.0,
        max_admission_wait: 1_000_000,
        seed: 5,
    };
    RouterConfig {
        lifecycle,
        discovery: LIST,
        origin: 7,
        network_delay: 10_000,
        stream_window_tokens: 8,
        max_requests_per_client: 30,
        max_clients: 4,
    }
}

/// What a client hears, by its own numbers.
#[derive(Default)]
struct Heard {
    over: BTreeSet<u64>,
    fault: Option<String>,
}

impl Heard {
    fn word(&mut self, number: u64, last: bool) -> Result<(), Malformed> {
        if self.over.contains(&number) {
            self.fault = Some(format!("number {number} hears more after its end"));
        }
        if last {
            self.over.insert(number);
        }
        Ok(())
    }
}

impl client::Client for Heard {
    fn accepted(&mut self, number: u64, _id: u64) -> Result<(), Malformed> {
        self.word(number, false)
    }
    fn token(&mut self, number: u64, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.word(number, false)
    }
    fn completed(&mut self, number: u64, _tokens: u32) -> Result<(), Malformed> {
        self.word(number, true)
    }
    fn rejected(&mut self, number: u64, _after: Micros) -> Result<(), Malformed> {
        self.word(number, true)
    }
    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        self.word(number, true)
    }

    fn unauthorized(&mut self, _why: &str) -> Result<(), Malformed> {
        Ok(())
    }
}

struct World {
    host: Host,
    effects: Effects,
    now: Micros,
    connections: BTreeMap<ConnectionId, Address>,
    rings: BTreeSet<(Micros, u64)>,
    heard: Heard,
    /// Ids of submissions that shots went out for, by the worker's link.
    attempts: Vec<(ConnectionId, u64, u16)>,
    number: u64,
    client: u64,
}

impl World {
    fn new() -> World {
        let now = 1_000_000_000;
        let (connections, rings) = (BTreeMap::new(), BTreeSet::new());
        let mut world = World {
            host: Host::new(config(), None, now),
            effects: Effects::default(),
            now,
            connections,
            rings,
            heard: Heard::default(),
            attempts: vec![],
            number: 0,
            client: 0,
        };
        world.host.on_start(now, &mut world.effects);
        world.settle();
        let list = world
            .connections
            .iter()
            .find(|(_, to)| **to == LIST)
            .map(|(connection, _)| *connection)
            .expect("a dial");
        let mut page = Page::new(1, true);
        for n in 0..6u8 {
            let kind = u16::from(n > 1);
            page.add([10, 0, 1, n, 1, 1], kind, 1.0, EndpointStatus::Serving, u16::from(n % 2), 0, 0);
        }
        world.hear(list, &page.frame());
        world.meet();
        world
    }

    fn meet(&mut self) {
        let connection = ConnectionId(self.client);
        self.host.on_accepted(self.now, connection, 0, &mut self.effects);
        self.hear(connection, &say_hello(Party::Client, "c"));
        self.number = 0;
        self.heard.over.clear();
    }

    fn hear(&mut self, connection: ConnectionId, frame: &Bytes) {
        self.host.on_data(self.now, connection, frame, &mut self.effects);
        self.settle();
    }

    fn settle(&mut self) {
        self.host.on_iteration(self.now, &mut self.effects);
        for act in self.effects.take() {
            match act {
                Effect::Connect { connection, to, .. } => drop(self.connections.insert(connection, to)),
                Effect::SetTimer { at, key } => drop(self.rings.insert((at, key))),
                Effect::Close { connection, .. } if connection == ConnectionId(self.client) => {
                    self.client += 1;
                    self.meet();
                }
                Effect::Close { connection, .. } => drop(self.connections.remove(&connection)),
                Effect::Send { connection, frame } if connection == ConnectionId(self.client) => {
                    client::receive_from_router(&frame, &mut self.heard).expect("a client's word");
                }
                Effect::Send { connection, frame } => self.note_attempt(connection, &frame),
                _ => {}
            }
        }
    }

    /// The id and number of a shot are the first two fields of Read and Write alike.
    fn note_attempt(&mut self, connection: ConnectionId, frame: &Bytes) {
        struct Ear(Option<(u64, u16)>);
        impl worker::Worker for Ear {
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
        let mut ear = Ear(None);
        if worker::receive_from_router(frame, &mut ear).is_ok() {
            self.attempts.extend(ear.0.map(|(id, attempt)| (connection, id, attempt)));
        }
    }

    fn step(&mut self, (what, which, much): (u8, u8, u16)) {
        let one =
            (!self.attempts.is_empty()).then(|| self.attempts[usize::from(which) % self.attempts.len()]);
        let text = Bytes::from_static(b"word");
        match what % 14 {
            0..=2 => {
                self.number += 1;
                let prompt = Bytes::from_static(b"prompt");
                let (tokens, left) = (u32::from(much), Micros::from(much) * 100);
                let class = which % 2;
                let submit = client::submit(self.number, class, 1, 0, tokens, 0, 9, left, 0, prompt);
                self.hear(ConnectionId(self.client), &submit);
            }
            3 => self.hear(ConnectionId(self.client), &client::cancel(u64::from(which))),
            4..=9 => {
                let Some((connection, id, attempt)) = one else { return };
                let word = match much % 7 {
                    0 | 1 => worker::prefill_completed(id, attempt, 0, 9),
                    2 | 3 => worker::token(id, attempt, u32::from(much / 7 % 3), text),
                    4 => worker::completed(id, attempt, u32::from(much / 7 % 4)),
                    5 => worker::attempt_ended(
                        id,
                        attempt,
                        [worker::AttemptFailure::Rejected, worker::AttemptFailure::ServerError]
                            [usize::from(much) % 2],
                    ),
                    _ => worker::reservation_answered(id, much % 2 == 0),
                };
                self.hear(connection, &word);
            }
            10 => {
                let Some((&connection, _)) =
                    self.connections.iter().nth(usize::from(which) % self.connections.len().max(1))
                else {
                    return;
                };
                self.connections.remove(&connection);
                let loss = [DisconnectReason::Reset, DisconnectReason::ConnectFailed][usize::from(much) % 2];
                self.host.on_disconnect(self.now, connection, loss, &mut self.effects);
                self.settle();
            }
            11 => {
                let garbage = Bytes::from(much.to_le_bytes().repeat(usize::from(which) % 9));
                let connection = one.map_or(ConnectionId(self.client), |(connection, ..)| connection);
                self.hear(if which % 2 == 0 { connection } else { ConnectionId(self.client) }, &garbage);
            }
            12 => {
                self.host.on_backpressure(
                    self.now,
                    ConnectionId(self.client),
                    which % 2 == 0,
                    &mut self.effects,
                );
                self.settle();
            }
            _ => self.pass(Micros::from(much) * 10),
        }
    }

    fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(&(at, key)) = self.rings.first().filter(|(at, _)| *at <= until) {
            self.rings.pop_first();
            self.now = self.now.max(at);
            self.host.on_timer(self.now, key, &mut self.effects);
            self.settle();
        }
        self.now = until;
    }
}

#[test]
fn no_order_of_events_brings_two_answers_or_a_panic() {
    fn holds(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut world = World::new();
        steps.into_iter().for_each(|step| world.step(step));
        // Streams that nobody ends stay; all else is over once every client's time is up.
        world.host.on_shutdown(world.now, &mut world.effects);
        world.host.on_disconnect(
            world.now,
            ConnectionId(world.client),
            DisconnectReason::Reset,
            &mut world.effects,
        );
        world.settle();
        world.pass(20_000_000);
        world.heard.fault.is_none() && world.host.is_finished() && world.host.open() == 0
    }
    let check = holds as fn(Vec<(u8, u8, u16)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(400, 20_261_201)).tests(300).quickcheck(check);
}
