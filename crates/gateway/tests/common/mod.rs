//! A gateway fed with bytes in virtual time: the test is its clients, workers, discovery and event loop at once.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use tideroute_gateway::{Config, Gateway};
pub use tideroute_test_support::fixture::*;
pub use tideroute_test_support::http_messages::*;
pub use tideroute_test_support::virtual_time::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effect, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

pub struct Harness {
    pub gateway: Gateway,
    pub now: Micros,
    effects: Effects,
    timers: BTreeSet<(Micros, u64)>,
    accepted: u64,
    /// Connections that the gateway dialled, open or being dialled, and to whom.
    pub outbound: BTreeMap<ConnectionId, Address>,
    /// All that the gateway has sent on each connection.
    pub sent: BTreeMap<ConnectionId, Vec<u8>>,
    /// Connections that the gateway ended, and whether it aborted them.
    pub ended: BTreeMap<ConnectionId, bool>,
    pub paused: BTreeSet<ConnectionId>,
    /// Dialled, and not yet established.
    unconnected: BTreeSet<ConnectionId>,
    /// Sent on, and not yet written.
    unwritten: BTreeSet<ConnectionId>,
    /// Connections are established at once, and what is sent is written at once.
    pub is_immediate: bool,
    /// How many bytes on each worker's connection the test has matched already.
    matched_bytes: BTreeMap<ConnectionId, usize>,
    /// Connections being dialled that were taken for an attempt's: its bytes are sent once they are established.
    attempts: BTreeSet<ConnectionId>,
    /// Watches that discovery has begun to answer.
    answered_watches: BTreeSet<ConnectionId>,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_config(&router_config())
    }

    /// One whose settings allow no decode reservations.
    pub fn without_reservations() -> Harness {
        let mut file = router_config();
        file["settings"]["family_info"]["ahead"] = false.into();
        Harness::with_config(&file)
    }

    pub fn with_config(file: &serde_json::Value) -> Harness {
        let config = Config::parse(file.to_string().as_bytes()).expect("a sound configuration");
        let mut harness = Harness {
            gateway: Gateway::new(config, EPOCH),
            now: EPOCH,
            effects: Effects::default(),
            timers: BTreeSet::new(),
            accepted: 0,
            outbound: BTreeMap::new(),
            sent: BTreeMap::new(),
            ended: BTreeMap::new(),
            paused: BTreeSet::new(),
            unconnected: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            is_immediate: true,
            matched_bytes: BTreeMap::new(),
            attempts: BTreeSet::new(),
            answered_watches: BTreeSet::new(),
        };
        harness.gateway.on_start(harness.now, &mut harness.effects);
        harness.run_until_idle();
        harness
    }

    /// Executes the gateway's effects, as its event loop does, until there are none.
    fn run_until_idle(&mut self) {
        loop {
            self.gateway.on_iteration(self.now, &mut self.effects);
            let commands = self.effects.take();
            for effect in commands {
                match effect {
                    Effect::Connect { connection, to, .. } => {
                        self.outbound.insert(connection, to);
                        self.unconnected.insert(connection);
                    }
                    Effect::Send { connection, frame } => {
                        assert!(!self.ended.contains_key(&connection), "sends on a link that it ended");
                        self.sent.entry(connection).or_default().extend_from_slice(&frame);
                        self.unwritten.insert(connection);
                    }
                    Effect::Close { connection, .. } => drop(self.ended.insert(connection, false)),
                    Effect::Abort { connection } => {
                        self.unwritten.remove(&connection);
                        self.ended.insert(connection, true);
                    }
                    Effect::SetTimer { at, key } => drop(self.timers.insert((at, key))),
                    Effect::PauseReading { connection, paused: true } => drop(self.paused.insert(connection)),
                    Effect::PauseReading { connection, .. } => drop(self.paused.remove(&connection)),
                    effect => panic!("the router asks for {effect:?}"),
                }
            }
            let dials = std::mem::take(&mut self.unconnected);
            let (up, later): (Vec<_>, Vec<_>) = dials.into_iter().partition(|_| self.is_immediate);
            self.unconnected
                .extend(later.into_iter().filter(|connection| !self.ended.contains_key(connection)));
            let opened = !up.is_empty();
            up.into_iter()
                .for_each(|connection| self.gateway.on_connected(self.now, connection, &mut self.effects));
            let written = std::mem::take(&mut self.unwritten);
            let (now, later): (Vec<_>, Vec<_>) =
                written.into_iter().partition(|l| self.is_immediate || !l.is_outbound());
            self.unwritten.extend(later);
            if now.is_empty() && !opened {
                return;
            }
            now.into_iter().for_each(|connection| {
                self.gateway.on_write_complete(self.now, connection, &mut self.effects)
            });
        }
    }

    /// A connection that was dialled is established.
    pub fn complete_connect(&mut self, connection: ConnectionId) {
        if self.unconnected.remove(&connection) {
            self.gateway.on_connected(self.now, connection, &mut self.effects);
            self.run_until_idle();
        }
    }

    /// What was sent on a connection has been written.
    pub fn complete_write(&mut self, connection: ConnectionId) {
        self.complete_connect(connection);
        self.unwritten.remove(&connection);
        self.gateway.on_write_complete(self.now, connection, &mut self.effects);
        self.run_until_idle();
    }

    pub fn connect_client(&mut self) -> ConnectionId {
        let connection = ConnectionId(self.accepted);
        self.accepted += 1;
        self.gateway.on_accepted(self.now, connection, 0, &mut self.effects);
        self.run_until_idle();
        connection
    }

    pub fn deliver(&mut self, connection: ConnectionId, bytes: impl AsRef<[u8]>) {
        if !self.ended.contains_key(&connection) {
            let bytes = Bytes::copy_from_slice(bytes.as_ref());
            self.gateway.on_data(self.now, connection, &bytes, &mut self.effects);
            self.run_until_idle();
        }
    }

    /// The other end closes or resets the connection.
    pub fn reset(&mut self, connection: ConnectionId) {
        self.disconnect(connection, DisconnectReason::Reset);
    }

    pub fn disconnect(&mut self, connection: ConnectionId, reason: DisconnectReason) {
        self.unwritten.remove(&connection);
        self.unconnected.remove(&connection);
        self.outbound.remove(&connection);
        self.gateway.on_disconnect(self.now, connection, reason, &mut self.effects);
        self.run_until_idle();
    }

    pub fn set_backpressure(&mut self, connection: ConnectionId, is_congested: bool) {
        self.gateway.on_backpressure(self.now, connection, is_congested, &mut self.effects);
        self.run_until_idle();
    }

    pub fn reload_config(&mut self, file: &serde_json::Value) -> bool {
        let used = self.gateway.on_config_reload(self.now, &Bytes::from(file.to_string()), &mut self.effects);
        self.run_until_idle();
        used
    }

    pub fn shut_down(&mut self) {
        self.gateway.on_shutdown(self.now, &mut self.effects);
        self.run_until_idle();
    }

    /// When the next timer fires.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Lets time pass; timers fire when they are due.
    pub fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(&(at, key)) = self.timers.first().filter(|(at, _)| *at <= until) {
            self.timers.pop_first();
            self.now = self.now.max(at);
            self.gateway.on_timer(self.now, key, &mut self.effects);
            self.run_until_idle();
        }
        self.now = until;
    }

    pub fn sent_text(&self, connection: ConnectionId) -> String {
        String::from_utf8_lossy(self.sent.get(&connection).map_or(&[], Vec::as_slice)).into_owned()
    }

    /// Statuses of the responses that a client has got.
    pub fn statuses(&self, connection: ConnectionId) -> Vec<u16> {
        let text = self.sent_text(connection);
        text.split("HTTP/1.1 ").skip(1).filter_map(|part| part.get(..3)?.parse().ok()).collect()
    }

    /// Calls to workers that begin with a text and were not matched before: the connection and the worker.
    pub fn calls(&mut self, begin: &str) -> Vec<(ConnectionId, usize)> {
        let mut found = vec![];
        for (&connection, to) in &self.outbound {
            let all = self.sent.get(&connection).map_or(&[][..], Vec::as_slice);
            let matched_bytes = self.matched_bytes.entry(connection).or_default();
            if !self.ended.contains_key(&connection) && all[*matched_bytes..].starts_with(begin.as_bytes()) {
                *matched_bytes = all.len();
                found.push((connection, usize::from(to[3]) - 1));
            }
        }
        found
    }

    /// The one such call.
    pub fn call(&mut self, begin: &str) -> (ConnectionId, usize) {
        let calls = self.calls(begin);
        assert_eq!(calls.len(), 1, "calls that begin with {begin}: {calls:?}");
        calls[0]
    }

    /// Attempts that were not matched before, also those whose connections are being dialled: nothing is sent on them
    /// before they are established.
    pub fn attempts(&mut self) -> Vec<(ConnectionId, usize)> {
        let mut found = self.calls("POST /v1/chat");
        found.retain(|(connection, _)| !self.attempts.remove(connection));
        let at = |to: &Address| (to[2] == 1).then(|| usize::from(to[3]) - 1);
        let under_way =
            self.unconnected.iter().filter(|l| !self.sent.contains_key(l) && !self.attempts.contains(l));
        let under_way =
            under_way.filter_map(|connection| Some((*connection, at(self.outbound.get(connection)?)?)));
        found.extend(under_way);
        self.attempts
            .extend(found.iter().map(|(connection, _)| *connection).filter(|l| self.unconnected.contains(l)));
        found
    }

    /// The one such attempt.
    pub fn attempt(&mut self) -> (ConnectionId, usize) {
        let attempts = self.attempts();
        assert_eq!(attempts.len(), 1, "attempts: {attempts:?}");
        attempts[0]
    }

    /// The connection of the discovery watch, if there is one now.
    pub fn watch_connection(&self) -> Option<ConnectionId> {
        let at = |(connection, to): (&ConnectionId, &Address)| {
            (to[2] == 9 || to[2] == 8) && !self.ended.contains_key(connection)
        };
        self.outbound.iter().filter(|e| at(*e)).map(|(l, _)| *l).next_back()
    }

    /// That connection, and what was sent on it.
    pub fn watch(&self) -> (ConnectionId, String) {
        let connection = self.watch_connection().expect("a watch");
        (connection, self.sent_text(connection))
    }

    /// Discovery sends an update on the watch; its response begins with the first one.
    pub fn send_update(&mut self, line: &serde_json::Value) {
        let (connection, _) = self.watch();
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let head = if self.answered_watches.insert(connection) { head } else { "" };
        self.deliver(connection, format!("{head}{}", chunk(&format!("{line}\n"))));
    }
}

/// Completes the prefill of a request; its decode attempt is out afterwards.
pub fn complete_prefill(harness: &mut Harness) {
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
}

/// A client whose request is prefilled and out at a decode worker.
pub fn decoding_request(class: &str) -> (Harness, ConnectionId, ConnectionId) {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", class));
    complete_prefill(&mut harness);
    let (decode, _) = harness.attempt();
    (harness, client, decode)
}

/// The status of a readiness check.
pub fn ready_status(harness: &mut Harness) -> u16 {
    let client = harness.connect_client();
    harness.deliver(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    harness.statuses(client)[0]
}
