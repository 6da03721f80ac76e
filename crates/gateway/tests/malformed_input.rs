//! Feeds the router generated events: valid and mangled input, disconnects and the passing of time, in any order. The
//! router does not panic, no client gets more responses than it sent requests, a non-idempotent request runs at most
//! once, and in the end no state of any request is left.

mod common;

use std::collections::BTreeMap;

use common::*;
use quickcheck::{Gen, QuickCheck};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, EventHandler};
use tideroute_wire::Address;

/// Number of generated event sequences.
const RUNS: u64 = 1_500;
/// Maximum number of events of a sequence.
const MAX_EVENTS_PER_RUN: usize = 120;

struct MalformedInput {
    harness: Harness,
    clients: Vec<ConnectionId>,
    /// Number of requests that a client may have sent, by its connection.
    requests: BTreeMap<ConnectionId, usize>,
    /// Number of valid requests sent by all clients.
    request_count: usize,
    /// Number of times that a decode worker may have run a non-idempotent request, by its trace id.
    executions: BTreeMap<String, usize>,
    /// Number of attempts that were counted on a connection.
    seen_attempts: BTreeMap<ConnectionId, usize>,
}

/// Returns the trace id of an attempt.
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
            request_count: 0,
            executions: BTreeMap::new(),
            seen_attempts: BTreeMap::new(),
        }
    }

    fn pick<T: Copy>(items: &[T], selector: u16) -> Option<T> {
        (!items.is_empty()).then(|| items[usize::from(selector) % items.len()])
    }

    fn pick_client(&mut self, selector: u16) -> Option<ConnectionId> {
        let ended = &self.harness.ended;
        let open: Vec<_> =
            self.clients.iter().filter(|connection| !ended.contains_key(connection)).copied().collect();
        Self::pick(&open, selector)
    }

    fn pick_worker_connection(&mut self, selector: u16) -> Option<ConnectionId> {
        let ended = &self.harness.ended;
        let open: Vec<_> = self
            .harness
            .outbound
            .keys()
            .filter(|connection| !ended.contains_key(connection))
            .copied()
            .collect();
        Self::pick(&open, selector)
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

    /// Counts the new attempts of non-idempotent requests at decode workers. [`Self::never_ran`] takes back those that
    /// were proved not to have run.
    fn count_executions(&mut self) {
        for (&connection, address) in &self.harness.outbound {
            let is_decode_worker = WORKERS
                .get(usize::from(address[3]) - 1)
                .is_some_and(|worker| worker.kind == "writing" && address[2] == 1);
            let text = self.harness.sent_text(connection);
            let seen_count = self.seen_attempts.entry(connection).or_default();
            let attempts: Vec<_> = text.split("POST /v1/chat/completions").skip(1 + *seen_count).collect();
            *seen_count += attempts.len();
            for attempt in
                attempts.iter().filter(|attempt| is_decode_worker && attempt.contains("x-qos: once"))
            {
                let trace_id = trace_id_in(attempt);
                *self.executions.entry(trace_id.to_string()).or_default() += 1;
            }
        }
    }

    /// Handles one generated event: its kind, and two random numbers that select its details.
    fn step(&mut self, (kind, byte, selector): (u8, u8, u16)) {
        match kind % 14 {
            0 => {
                let client = self.harness.connect_client();
                self.clients.push(client);
            }
            1..=5 => self.client_event(kind % 14, byte, selector),
            6..=10 => self.worker_event(kind % 14, byte, selector),
            11 => self.harness.advance(u64::from(selector) * 20),
            12 => self.update_endpoint(byte, selector),
            _ => {
                let Some(client) = self.pick_client(selector) else { return };
                self.harness.set_backpressure(client, byte % 2 == 0);
            }
        }
        self.count_executions();
    }

    /// A client sends a request or mangled bytes, or disconnects.
    fn client_event(&mut self, kind: u8, byte: u8, selector: u16) {
        let class = ["safe", "once", "keyed"][usize::from(byte) % 3];
        let Some(client) = self.pick_client(selector) else { return };
        match kind {
            1..=3 => {
                self.request_count += 1;
                *self.requests.entry(client).or_default() += 1;
                self.harness.deliver(client, chat_request(&format!("id{}", self.request_count), class));
            }
            4 => {
                // Mangled bytes may contain a request, and so may they together with the bytes that follow.
                *self.requests.entry(client).or_default() += 2;
                self.harness.deliver(client, Self::mangle(&chat_request("mangled", class), byte, selector));
            }
            _ => {
                self.clients.retain(|open| *open != client);
                self.harness.reset(client);
            }
        }
    }

    /// A worker responds, sends mangled bytes, or disconnects.
    fn worker_event(&mut self, kind: u8, byte: u8, selector: u16) {
        let Some(connection) = self.pick_worker_connection(selector) else { return };
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
            9 => self.harness.deliver(connection, Self::mangle(&streamed_response(), byte, selector)),
            _ => {
                let is_reset = byte.is_multiple_of(2);
                let reason = if is_reset { DisconnectReason::Reset } else { DisconnectReason::ConnectFailed };
                self.harness.disconnect(connection, reason);
            }
        }
    }

    /// Takes back the count of the last attempt on a connection, which its worker proves not to have run.
    fn never_ran(&mut self, connection: ConnectionId) {
        let text = self.harness.sent_text(connection);
        let last = text.rsplit("POST /v1/chat/completions").next().unwrap_or("");
        if let Some(count) = self.executions.get_mut(trace_id_in(last)) {
            *count = count.saturating_sub(1);
        }
    }

    fn update_endpoint(&mut self, byte: u8, selector: u16) {
        let state = ["SERVING", "DRAINING", "DELETED"][usize::from(byte) % 3];
        let started_ms = if selector.is_multiple_of(3) { self.harness.now / MS } else { 0 };
        let changed = endpoint_entry(usize::from(selector) % WORKERS.len(), state, started_ms);
        let version = 6 + self.request_count as u64;
        let line = serde_json::json!({"version": version, "full": false, "servers": [changed]});
        let ended = &self.harness.ended;
        let is_open_watch = |(connection, address): (&ConnectionId, &Address)| {
            address[2] == 9 && !ended.contains_key(connection)
        };
        if self.harness.outbound.iter().any(is_open_watch) {
            self.harness.send_update(&line);
        }
    }

    /// Returns whether the rules hold: no surplus responses, and no second run of a non-idempotent request.
    fn rules_hold(&mut self) -> bool {
        for (client, requests) in &self.requests {
            let responses =
                self.harness.statuses(*client).into_iter().filter(|status| *status != 100).count();
            if responses > requests + 1 {
                return false;
            }
        }
        self.executions.values().all(|count| *count <= 1)
    }

    /// Disconnects all clients and shuts the router down. Returns whether it finishes, which it does only once no state
    /// of any request is left.
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
fn any_sequence_of_events_keeps_the_rules_and_leaves_no_state() {
    fn keeps_rules(mut steps: Vec<(u8, u8, u16)>) -> bool {
        steps.truncate(MAX_EVENTS_PER_RUN);
        let mut input = MalformedInput::new();
        for step in steps {
            input.step(step);
            if !input.rules_hold() {
                return false;
            }
        }
        input.finishes()
    }
    QuickCheck::new()
        .rng(Gen::new(MAX_EVENTS_PER_RUN))
        .tests(RUNS)
        .max_tests(RUNS)
        .quickcheck(keeps_rules as fn(Vec<(u8, u8, u16)>) -> bool);
}
