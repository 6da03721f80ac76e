//! The router under generated events: sound words, mangled ones, losses and time in any order. Nothing panics,
//! no client hears more answers than it asked for, a single-use submission runs once at most, and in the end all
//! is forgotten.

mod common;

use std::collections::BTreeMap;

use common::*;
use quickcheck::{Gen, QuickCheck};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, EventHandler};

/// Runs drawn, and events of each at most.
const RUNS: u64 = 1_500;
const EVENTS_A_RUN: usize = 120;

struct Noise {
    stage: Stage,
    clients: Vec<ConnectionId>,
    asked: BTreeMap<ConnectionId, usize>,
    count: usize,
    /// By trace id of single-use submissions, how often a writer may have run it.
    ran: BTreeMap<String, usize>,
    wrote: BTreeMap<ConnectionId, usize>,
}

impl Noise {
    fn new() -> Noise {
        let mut stage = Stage::new();
        stage.discover(&list(5));
        Noise {
            stage,
            clients: vec![],
            asked: BTreeMap::new(),
            count: 0,
            ran: BTreeMap::new(),
            wrote: BTreeMap::new(),
        }
    }

    fn pick<T: Copy>(from: &[T], which: u16) -> Option<T> {
        (!from.is_empty()).then(|| from[usize::from(which) % from.len()])
    }

    fn client(&mut self, which: u16) -> Option<ConnectionId> {
        let ended = &self.stage.ended;
        let open: Vec<_> = self.clients.iter().filter(|c| !ended.contains_key(c)).copied().collect();
        Self::pick(&open, which)
    }

    fn worker(&mut self, which: u16) -> Option<ConnectionId> {
        let ended = &self.stage.ended;
        let open: Vec<_> = self.stage.dialled.keys().filter(|l| !ended.contains_key(l)).copied().collect();
        Self::pick(&open, which)
    }

    fn mangle(text: &str, byte: u8, place: u16) -> Vec<u8> {
        let mut bytes = text.as_bytes().to_vec();
        let place = usize::from(place) % bytes.len().max(1);
        match byte % 4 {
            0 => bytes.truncate(place),
            1 => bytes[place] = byte,
            2 => bytes.insert(place, byte),
            _ => {}
        }
        bytes
    }

    /// Counts shots of single-use submissions that writers have whole and did not prove to be void.
    fn note(&mut self) {
        for (&connection, to) in &self.stage.dialled {
            let writing = WORKERS.get(usize::from(to[3]) - 1).is_some_and(|w| w.1 == "writing" && to[2] == 1);
            let text = self.stage.text(connection);
            let seen = self.wrote.entry(connection).or_default();
            let parts: Vec<_> = text.split("POST /v1/chat/completions").skip(1 + *seen).collect();
            *seen += parts.len();
            for part in parts.iter().filter(|p| writing && p.contains("x-qos: once")) {
                let trace =
                    part.split("x-trace-id: ").nth(1).and_then(|t| t.split("\r\n").next()).unwrap_or("");
                *self.ran.entry(trace.to_string()).or_default() += 1;
            }
        }
    }

    fn step(&mut self, (what, byte, which): (u8, u8, u16)) {
        let class = ["safe", "once", "keyed"][usize::from(byte) % 3];
        match what % 14 {
            0 => {
                let client = self.stage.come();
                self.clients.push(client);
            }
            1..=3 => {
                let Some(client) = self.client(which) else { return };
                self.count += 1;
                *self.asked.entry(client).or_default() += 1;
                self.stage.say(client, ask(&format!("id{}", self.count), class));
            }
            4 => {
                let Some(client) = self.client(which) else { return };
                // Mangled bytes may hold a request, and what follows them more.
                *self.asked.entry(client).or_default() += 2;
                self.stage.say(client, Self::mangle(&ask("mangled", class), byte, which));
            }
            5 => {
                let Some(client) = self.client(which) else { return };
                self.clients.retain(|c| *c != client);
                self.stage.lose(client);
            }
            6..=8 => {
                let Some(connection) = self.worker(which) else { return };
                let answers = [READ, &stream(), NEVER_RAN, &plain(200, "", ""), &plain(500, "", "x"), HEAD];
                let answer = answers[usize::from(byte) % answers.len()];
                // What proves that a shot is void takes it off the count.
                if answer == NEVER_RAN {
                    let text = self.stage.text(connection);
                    let last = text.rsplit("POST /v1/chat/completions").next().unwrap_or("");
                    let trace =
                        last.split("x-trace-id: ").nth(1).and_then(|t| t.split("\r\n").next()).unwrap_or("");
                    if let Some(ran) = self.ran.get_mut(trace) {
                        *ran = ran.saturating_sub(1);
                    }
                }
                self.stage.say(connection, answer);
            }
            9 => {
                let Some(connection) = self.worker(which) else { return };
                self.stage.say(connection, Self::mangle(&stream(), byte, which));
            }
            10 => {
                let Some(connection) = self.worker(which) else { return };
                self.stage.lose_as(
                    connection,
                    if byte % 2 == 0 { DisconnectReason::Reset } else { DisconnectReason::ConnectFailed },
                );
            }
            11 => self.stage.pass(u64::from(which) * 20),
            12 => {
                let state = ["SERVING", "DRAINING", "DELETED"][usize::from(byte) % 3];
                let started = if which % 3 == 0 { self.stage.now / MS } else { 0 };
                let changed = entry(usize::from(which) % WORKERS.len(), state, started);
                let version = 6 + self.count as u64;
                let line = serde_json::json!({"version": version, "full": false, "servers": [changed]});
                if self.stage.dialled.iter().any(|(l, to)| to[2] == 9 && !self.stage.ended.contains_key(l)) {
                    self.stage.discover(&line);
                }
            }
            _ => {
                let Some(client) = self.client(which) else { return };
                self.stage.crowded(client, byte % 2 == 0);
            }
        }
        self.note();
    }

    fn holds(&mut self) -> bool {
        for (client, asked) in &self.asked {
            let answers = self.stage.statuses(*client).into_iter().filter(|s| *s != 100).count();
            if answers > asked + 1 {
                return false;
            }
        }
        self.ran.values().all(|ran| *ran <= 1)
    }

    /// All clients leave: nothing is owed, and the router ends when it is told to.
    fn ends(&mut self) -> bool {
        for client in std::mem::take(&mut self.clients) {
            if !self.stage.ended.contains_key(&client) {
                self.stage.lose(client);
            }
        }
        self.stage.stop();
        self.stage.pass(30_000 * MS);
        self.stage.program.is_finished()
    }
}

#[test]
fn any_events_leave_it_sound() {
    fn sound(mut steps: Vec<(u8, u8, u16)>) -> bool {
        steps.truncate(EVENTS_A_RUN);
        let mut noise = Noise::new();
        for step in steps {
            noise.step(step);
            if !noise.holds() {
                return false;
            }
        }
        noise.ends()
    }
    QuickCheck::new()
        .rng(Gen::new(EVENTS_A_RUN))
        .tests(RUNS)
        .max_tests(RUNS)
        .quickcheck(sound as fn(Vec<(u8, u8, u16)>) -> bool);
}
