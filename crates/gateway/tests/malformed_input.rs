//! The router under generated events: valid input, mangled input, disconnects and time in any order. Nothing panics,
//! no client gets more responses than it sent requests, a non-idempotent request runs at most once, and in the end
//! nothing is left of any request.

mod common;

use std::collections::BTreeMap;

use common::*;
use quickcheck::{Gen, QuickCheck};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, EventHandler};
use tideroute_wire::Address;

/// Sequences generated, and events of each at most.
const RUNS: u64 = 1_500;
const EVENTS_A_RUN: usize = 120;

struct MalformedInput {
    harness: Harness,
    clients: Vec<ConnectionId>,
    requests: BTreeMap<ConnectionId, usize>,
    count: usize,
    /// By trace id of non-idempotent requests, how often a decode worker may have run it.
    executions: BTreeMap<String, usize>,
    seen_attempts: BTreeMap<ConnectionId, usize>,
}

/// The trace id of an attempt.
fn trace_id_in(attempt: &str) -> &str {
    attempt.split("x-trace-id: ").nth(1).and_then(|rest| rest.split("\r\n").next()).unwrap_or("")
}

impl MalformedInput {
    fn new() -> MalformedInput {
        let mut harness = Harness::new();
        harness.send_update(&endpoint_list(5));
        MalformedInput {
            harness,
            clients: vec![],
            requests: BTreeMap::new(),
            count: 0,
            executions: BTreeMap::new(),
            seen_attempts: BTreeMap::new(),
        }
    }

    fn pick<T: Copy>(from: &[T], which: u16) -> Option<T> {
        (!from.is_empty()).then(|| from[usize::from(which) % from.len()])
    }

    fn client(&mut self, which: u16) -> Option<ConnectionId> {
        let ended = &self.harness.ended;
        let open: Vec<_> = self.clients.iter().filter(|c| !ended.contains_key(c)).copied().collect();
        Self::pick(&open, which)
    }

    fn worker(&mut self, which: u16) -> Option<ConnectionId> {
        let ended = &self.harness.ended;
        let open: Vec<_> = self.harness.outbound.keys().filter(|l| !ended.contains_key(l)).copied().collect();
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

    /// Counts attempts of non-idempotent requests that decode workers have received and did not prove not to have run.
    fn count_executions(&mut self) {
        for (&connection, to) in &self.harness.outbound {
            let writing =
                WORKERS.get(usize::from(to[3]) - 1).is_some_and(|w| w.kind == "writing" && to[2] == 1);
            let text = self.harness.sent_text(connection);
            let seen = self.seen_attempts.entry(connection).or_default();
            let parts: Vec<_> = text.split("POST /v1/chat/completions").skip(1 + *seen).collect();
            *seen += parts.len();
            for part in parts.iter().filter(|p| writing && p.contains("x-qos: once")) {
                let trace = trace_id_in(part);
                *self.executions.entry(trace.to_string()).or_default() += 1;
            }
        }
    }

    /// Plays one generated event: of which kind, with a byte and a number that it may use.
    fn step(&mut self, (kind, byte, which): (u8, u8, u16)) {
        match kind % 14 {
            0 => {
                let client = self.harness.connect_client();
                self.clients.push(client);
            }
            1..=5 => self.client_event(kind % 14, byte, which),
            6..=10 => self.worker_event(kind % 14, byte, which),
            11 => self.harness.advance(u64::from(which) * 20),
            12 => self.update_endpoint(byte, which),
            _ => {
                let Some(client) = self.client(which) else { return };
                self.harness.set_backpressure(client, byte % 2 == 0);
            }
        }
        self.count_executions();
    }

    /// A client sends a request or mangled bytes, or disconnects.
    fn client_event(&mut self, kind: u8, byte: u8, which: u16) {
        let class = ["safe", "once", "keyed"][usize::from(byte) % 3];
        let Some(client) = self.client(which) else { return };
        match kind {
            1..=3 => {
                self.count += 1;
                *self.requests.entry(client).or_default() += 1;
                self.harness.deliver(client, chat_request(&format!("id{}", self.count), class));
            }
            4 => {
                // Mangled bytes may hold a request, and what follows them more.
                *self.requests.entry(client).or_default() += 2;
                self.harness.deliver(client, Self::mangle(&chat_request("mangled", class), byte, which));
            }
            _ => {
                self.clients.retain(|open| *open != client);
                self.harness.reset(client);
            }
        }
    }

    /// A worker responds, sends mangled bytes, or closes a connection.
    fn worker_event(&mut self, kind: u8, byte: u8, which: u16) {
        let Some(connection) = self.worker(which) else { return };
        match kind {
            6..=8 => {
                let answers = [
                    PREFILL_COMPLETE,
                    &streamed_response(),
                    NEVER_RAN,
                    &response(200, "", ""),
                    &response(500, "", "x"),
                    STREAM_HEAD,
                ];
                let answer = answers[usize::from(byte) % answers.len()];
                if answer == NEVER_RAN {
                    self.never_ran(connection);
                }
                self.harness.deliver(connection, answer);
            }
            9 => self.harness.deliver(connection, Self::mangle(&streamed_response(), byte, which)),
            _ => {
                let is_reset = byte.is_multiple_of(2);
                let reason = if is_reset { DisconnectReason::Reset } else { DisconnectReason::ConnectFailed };
                self.harness.disconnect(connection, reason);
            }
        }
    }

    /// A proof that the last attempt on a connection has not run takes it off the count.
    fn never_ran(&mut self, connection: ConnectionId) {
        let text = self.harness.sent_text(connection);
        let last = text.rsplit("POST /v1/chat/completions").next().unwrap_or("");
        if let Some(ran) = self.executions.get_mut(trace_id_in(last)) {
            *ran = ran.saturating_sub(1);
        }
    }

    fn update_endpoint(&mut self, byte: u8, which: u16) {
        let state = ["SERVING", "DRAINING", "DELETED"][usize::from(byte) % 3];
        let started = if which.is_multiple_of(3) { self.harness.now / MS } else { 0 };
        let changed = endpoint_entry(usize::from(which) % WORKERS.len(), state, started);
        let version = 6 + self.count as u64;
        let line = serde_json::json!({"version": version, "full": false, "servers": [changed]});
        let ended = &self.harness.ended;
        let is_open_watch =
            |(connection, to): (&ConnectionId, &Address)| to[2] == 9 && !ended.contains_key(connection);
        if self.harness.outbound.iter().any(is_open_watch) {
            self.harness.send_update(&line);
        }
    }

    fn holds(&mut self) -> bool {
        for (client, requests) in &self.requests {
            let answers = self.harness.statuses(*client).into_iter().filter(|s| *s != 100).count();
            if answers > requests + 1 {
                return false;
            }
        }
        self.executions.values().all(|ran| *ran <= 1)
    }

    /// All clients disconnect: nothing is left, and the router shuts down when it is told to.
    fn finishes(&mut self) -> bool {
        for client in std::mem::take(&mut self.clients) {
            if !self.harness.ended.contains_key(&client) {
                self.harness.reset(client);
            }
        }
        self.harness.shut_down();
        self.harness.advance(30_000 * MS);
        self.harness.gateway.is_finished()
    }
}

#[test]
fn any_sequence_of_events_keeps_the_rules_and_ends_clean() {
    fn sound(mut steps: Vec<(u8, u8, u16)>) -> bool {
        steps.truncate(EVENTS_A_RUN);
        let mut input = MalformedInput::new();
        for step in steps {
            input.step(step);
            if !input.holds() {
                return false;
            }
        }
        input.finishes()
    }
    QuickCheck::new()
        .rng(Gen::new(EVENTS_A_RUN))
        .tests(RUNS)
        .max_tests(RUNS)
        .quickcheck(sound as fn(Vec<(u8, u8, u16)>) -> bool);
}
