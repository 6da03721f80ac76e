//! A test harness that runs a gateway in virtual time. The test plays the gateway's clients, workers, discovery and
//! event loop, and exchanges bytes with it.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use tideroute_gateway::{Config, Gateway};
pub use tideroute_test_support::fixture::*;
pub use tideroute_test_support::http_messages::*;
pub use tideroute_test_support::virtual_time::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effect, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

/// The head of discovery's response to a call.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A gateway under test, with all that it has asked of its event loop.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Micros,
    effects: Effects,
    /// Timers that the gateway has set: when each is due, and its key.
    timers: BTreeSet<(Micros, u64)>,
    /// Number of client connections so far, which is the id of the next one.
    accepted_connections: u64,
    /// Connections that the gateway opened, established or not yet, with the address of each.
    pub outbound: BTreeMap<ConnectionId, Address>,
    /// All bytes that the gateway has sent on each connection.
    pub sent: BTreeMap<ConnectionId, Vec<u8>>,
    /// Connections that the gateway ended; true for those that it aborted, false for those that it closed gracefully.
    pub ended: BTreeMap<ConnectionId, bool>,
    /// Connections that the gateway does not read from for the time being.
    pub paused: BTreeSet<ConnectionId>,
    /// Outbound connections that are not yet established.
    unconnected: BTreeSet<ConnectionId>,
    /// Connections whose sent bytes are not yet reported to the gateway as written.
    unwritten: BTreeSet<ConnectionId>,
    /// Whether outbound connections are established, and bytes sent on them are written, without the test asking for
    /// it.
    pub completes_io_immediately: bool,
    /// Number of bytes on each worker connection up to the end of the last call that [`Harness::new_calls`] returned.
    matched_bytes: BTreeMap<ConnectionId, usize>,
    /// Connections that [`Harness::new_attempts`] returned before they were established. The attempt itself is sent
    /// once the connection is established, and is not returned a second time.
    unsent_attempts: BTreeSet<ConnectionId>,
    /// Connections of discovery watches whose response has begun.
    answered_watches: BTreeSet<ConnectionId>,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_config(&router_config())
    }

    /// Creates a harness whose settings turn decode reservations off.
    pub fn without_reservations() -> Harness {
        let mut file = router_config();
        file["settings"]["family_info"]["ahead"] = false.into();
        Harness::with_config(&file)
    }

    pub fn with_config(file: &serde_json::Value) -> Harness {
        let config = Config::parse(file.to_string().as_bytes()).expect("a valid configuration");
        let mut harness = Harness {
            gateway: Gateway::new(config, EPOCH),
            now: EPOCH,
            effects: Effects::default(),
            timers: BTreeSet::new(),
            accepted_connections: 0,
            outbound: BTreeMap::new(),
            sent: BTreeMap::new(),
            ended: BTreeMap::new(),
            paused: BTreeSet::new(),
            unconnected: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            completes_io_immediately: true,
            matched_bytes: BTreeMap::new(),
            unsent_attempts: BTreeSet::new(),
            answered_watches: BTreeSet::new(),
        };
        harness.gateway.on_start(harness.now, &mut harness.effects);
        harness.run_until_idle();
        harness
    }

    /// Executes the gateway's effects, as the event loop does, until there are none left.
    fn run_until_idle(&mut self) {
        loop {
            self.gateway.on_iteration(self.now, &mut self.effects);
            let effects = self.effects.take();
            for effect in effects {
                match effect {
                    Effect::Connect { connection, to, .. } => {
                        self.outbound.insert(connection, to);
                        self.unconnected.insert(connection);
                    }
                    Effect::Send { connection, frame } => {
                        assert!(
                            !self.ended.contains_key(&connection),
                            "the gateway sent on a connection that it had ended"
                        );
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
                    effect => panic!("unexpected effect {effect:?}"),
                }
            }
            let unconnected = std::mem::take(&mut self.unconnected);
            let (established, pending): (Vec<_>, Vec<_>) =
                unconnected.into_iter().partition(|_| self.completes_io_immediately);
            self.unconnected
                .extend(pending.into_iter().filter(|connection| !self.ended.contains_key(connection)));
            let any_established = !established.is_empty();
            established
                .into_iter()
                .for_each(|connection| self.gateway.on_connected(self.now, connection, &mut self.effects));
            let unwritten = std::mem::take(&mut self.unwritten);
            let (written, pending): (Vec<_>, Vec<_>) = unwritten
                .into_iter()
                .partition(|connection| self.completes_io_immediately || !connection.is_outbound());
            self.unwritten.extend(pending);
            if written.is_empty() && !any_established {
                return;
            }
            written.into_iter().for_each(|connection| {
                self.gateway.on_write_complete(self.now, connection, &mut self.effects)
            });
        }
    }

    /// Establishes an outbound connection, if it is not yet established.
    pub fn complete_connect(&mut self, connection: ConnectionId) {
        if self.unconnected.remove(&connection) {
            self.gateway.on_connected(self.now, connection, &mut self.effects);
            self.run_until_idle();
        }
    }

    /// Establishes a connection if needed, and reports to the gateway that the bytes sent on it were written.
    pub fn complete_write(&mut self, connection: ConnectionId) {
        self.complete_connect(connection);
        self.unwritten.remove(&connection);
        self.gateway.on_write_complete(self.now, connection, &mut self.effects);
        self.run_until_idle();
    }

    /// Opens a client connection.
    pub fn connect_client(&mut self) -> ConnectionId {
        let connection = ConnectionId(self.accepted_connections);
        self.accepted_connections += 1;
        self.gateway.on_accepted(self.now, connection, 0, &mut self.effects);
        self.run_until_idle();
        connection
    }

    /// Delivers bytes from the other end of a connection, unless the gateway has ended it.
    pub fn deliver(&mut self, connection: ConnectionId, bytes: impl AsRef<[u8]>) {
        if !self.ended.contains_key(&connection) {
            let bytes = Bytes::copy_from_slice(bytes.as_ref());
            self.gateway.on_data(self.now, connection, &bytes, &mut self.effects);
            self.run_until_idle();
        }
    }

    /// Disconnects with a reset by the other end.
    pub fn reset(&mut self, connection: ConnectionId) {
        self.disconnect(connection, DisconnectReason::Reset);
    }

    /// Disconnects for the given reason.
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

    /// Reloads the configuration and returns whether the gateway accepted it.
    pub fn reload_config(&mut self, file: &serde_json::Value) -> bool {
        let is_accepted =
            self.gateway.on_config_reload(self.now, &Bytes::from(file.to_string()), &mut self.effects);
        self.run_until_idle();
        is_accepted
    }

    pub fn shut_down(&mut self) {
        self.gateway.on_shutdown(self.now, &mut self.effects);
        self.run_until_idle();
    }

    /// Returns the time at which the next timer is due.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Advances the clock by `time`; timers fire when they are due.
    pub fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        while self.next_timer().is_some_and(|at| at <= until) {
            self.fire_next_timer();
        }
        self.now = until;
    }

    /// Fires the timer that is due next, if one is set.
    pub fn fire_next_timer(&mut self) {
        let Some((at, key)) = self.timers.pop_first() else { return };
        self.now = self.now.max(at);
        self.gateway.on_timer(self.now, key, &mut self.effects);
        self.run_until_idle();
    }

    /// Returns all that the gateway has sent on a connection, as text.
    pub fn sent_text(&self, connection: ConnectionId) -> String {
        String::from_utf8_lossy(self.sent.get(&connection).map_or(&[], Vec::as_slice)).into_owned()
    }

    /// Returns the statuses of the responses that a client has received.
    pub fn statuses(&self, connection: ConnectionId) -> Vec<u16> {
        let text = self.sent_text(connection);
        text.split("HTTP/1.1 ").skip(1).filter_map(|part| part.get(..3)?.parse().ok()).collect()
    }

    /// Returns the calls to workers that begin with `prefix` and were not returned before: the connection and the
    /// worker's index.
    pub fn new_calls(&mut self, prefix: &str) -> Vec<(ConnectionId, usize)> {
        let mut found = vec![];
        for (&connection, address) in &self.outbound {
            let sent = self.sent.get(&connection).map_or(&[][..], Vec::as_slice);
            let matched_bytes = self.matched_bytes.entry(connection).or_default();
            if !self.ended.contains_key(&connection) && sent[*matched_bytes..].starts_with(prefix.as_bytes())
            {
                *matched_bytes = sent.len();
                found.push((connection, usize::from(address[3]) - 1));
            }
        }
        found
    }

    /// Returns the only such call; panics if there is none or more than one.
    pub fn new_call(&mut self, prefix: &str) -> (ConnectionId, usize) {
        let calls = self.new_calls(prefix);
        assert_eq!(calls.len(), 1, "expected one call that begins with {prefix}, found {calls:?}");
        calls[0]
    }

    /// Returns the attempts that were not returned before: the connection and the worker's index. A worker connection
    /// that is not yet established and on which nothing was sent counts as an attempt, too.
    pub fn new_attempts(&mut self) -> Vec<(ConnectionId, usize)> {
        let mut found = self.new_calls("POST /v1/chat");
        found.retain(|(connection, _)| !self.unsent_attempts.remove(connection));
        let worker = |address: &Address| (address[2] == 1).then(|| usize::from(address[3]) - 1);
        let unsent = self.unconnected.iter().filter(|connection| {
            !self.sent.contains_key(connection) && !self.unsent_attempts.contains(connection)
        });
        let unsent =
            unsent.filter_map(|connection| Some((*connection, worker(self.outbound.get(connection)?)?)));
        found.extend(unsent);
        self.unsent_attempts.extend(
            found
                .iter()
                .map(|(connection, _)| *connection)
                .filter(|connection| self.unconnected.contains(connection)),
        );
        found
    }

    /// Returns the only such attempt; panics if there is none or more than one.
    pub fn new_attempt(&mut self) -> (ConnectionId, usize) {
        let attempts = self.new_attempts();
        assert_eq!(attempts.len(), 1, "expected one attempt, found {attempts:?}");
        attempts[0]
    }

    /// Returns the connection of the discovery watch, if one is open.
    pub fn watch_connection(&self) -> Option<ConnectionId> {
        let is_open_watch = |(connection, address): (&ConnectionId, &Address)| {
            (address[2] == 9 || address[2] == 8) && !self.ended.contains_key(connection)
        };
        self.outbound
            .iter()
            .filter(|entry| is_open_watch(*entry))
            .map(|(connection, _)| *connection)
            .next_back()
    }

    /// Returns the connection of the open discovery watch, and what was sent on it.
    pub fn watch(&self) -> (ConnectionId, String) {
        let connection = self.watch_connection().expect("an open discovery watch");
        (connection, self.sent_text(connection))
    }

    /// Sends an update of the endpoint list on the watch; the first one follows the head of the response.
    pub fn send_update(&mut self, line: &serde_json::Value) {
        let (connection, _) = self.watch();
        let head = if self.answered_watches.insert(connection) { WATCH_HEAD } else { "" };
        self.deliver(connection, format!("{head}{}", chunk(&format!("{line}\n"))));
    }
}

/// Completes the prefill of the only request; the gateway sends the decode attempt then.
pub fn complete_prefill(harness: &mut Harness) {
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
}

/// Starts a request of the given class and completes its prefill. Returns the harness, the client's connection and the
/// connection of the decode attempt.
pub fn decoding_request(class: &str) -> (Harness, ConnectionId, ConnectionId) {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", class));
    complete_prefill(&mut harness);
    let (decode, _) = harness.new_attempt();
    (harness, client, decode)
}

/// Returns the status of a readiness check.
pub fn ready_status(harness: &mut Harness) -> u16 {
    let client = harness.connect_client();
    harness.deliver(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    harness.statuses(client)[0]
}
