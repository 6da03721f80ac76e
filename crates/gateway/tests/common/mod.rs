//! A router fed with bytes in virtual time: the test is its clients, workers, discovery and loop at once.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use tideroute_gateway::{Config, Gateway};
pub use tideroute_test_support::fixture::*;
pub use tideroute_test_support::text::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effect, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

pub struct Stage {
    pub program: Gateway,
    pub now: Micros,
    effects: Effects,
    rings: BTreeSet<(Micros, u64)>,
    came: u64,
    /// Dialled links that are open or may come to be, and to whom.
    pub dialled: BTreeMap<ConnectionId, Address>,
    /// All that the router has sent on each link.
    pub sent: BTreeMap<ConnectionId, Vec<u8>>,
    /// Links that the router ended, and whether it cut them.
    pub ended: BTreeMap<ConnectionId, bool>,
    pub hushed: BTreeSet<ConnectionId>,
    /// Dialled, and not yet told to be there.
    unopened: BTreeSet<ConnectionId>,
    /// Sent, and not yet told to be written.
    unwritten: BTreeSet<ConnectionId>,
    /// Dials are answered at once, and what is sent is written at once.
    pub eager: bool,
    /// How much of what was sent each worker's link has been asked for already.
    taken: BTreeMap<ConnectionId, usize>,
    /// Connections under way that were taken for an attempt's: its bytes leave once they are up.
    attempts: BTreeSet<ConnectionId>,
    /// Watches that discovery has begun to answer.
    watched: BTreeSet<ConnectionId>,
}

impl Stage {
    pub fn new() -> Stage {
        Stage::with(&file())
    }

    /// One whose settings allow no places.
    pub fn without_places() -> Stage {
        let mut file = file();
        file["settings"]["family_info"]["ahead"] = false.into();
        Stage::with(&file)
    }

    pub fn with(file: &serde_json::Value) -> Stage {
        let config = Config::parse(file.to_string().as_bytes()).expect("a sound configuration");
        let mut stage = Stage {
            program: Gateway::new(config, BEGAN),
            now: BEGAN,
            effects: Effects::default(),
            rings: BTreeSet::new(),
            came: 0,
            dialled: BTreeMap::new(),
            sent: BTreeMap::new(),
            ended: BTreeMap::new(),
            hushed: BTreeSet::new(),
            unopened: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            eager: true,
            taken: BTreeMap::new(),
            attempts: BTreeSet::new(),
            watched: BTreeSet::new(),
        };
        stage.program.on_start(stage.now, &mut stage.effects);
        stage.settle();
        stage
    }

    /// Carries out what the router asked for, as its loop does, until it asks for nothing more.
    fn settle(&mut self) {
        loop {
            self.program.on_iteration(self.now, &mut self.effects);
            let acts = self.effects.take();
            for act in acts {
                match act {
                    Effect::Connect { connection, to, .. } => {
                        self.dialled.insert(connection, to);
                        self.unopened.insert(connection);
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
                    Effect::SetTimer { at, key } => drop(self.rings.insert((at, key))),
                    Effect::PauseReading { connection, paused: true } => drop(self.hushed.insert(connection)),
                    Effect::PauseReading { connection, .. } => drop(self.hushed.remove(&connection)),
                    act => panic!("the router asks for {act:?}"),
                }
            }
            let dials = std::mem::take(&mut self.unopened);
            let (up, later): (Vec<_>, Vec<_>) = dials.into_iter().partition(|_| self.eager);
            self.unopened.extend(later.into_iter().filter(|connection| !self.ended.contains_key(connection)));
            let opened = !up.is_empty();
            up.into_iter()
                .for_each(|connection| self.program.on_connected(self.now, connection, &mut self.effects));
            let written = std::mem::take(&mut self.unwritten);
            let (now, later): (Vec<_>, Vec<_>) =
                written.into_iter().partition(|l| self.eager || !l.is_outbound());
            self.unwritten.extend(later);
            if now.is_empty() && !opened {
                return;
            }
            now.into_iter().for_each(|connection| {
                self.program.on_write_complete(self.now, connection, &mut self.effects)
            });
        }
    }

    /// A dial led to a connection.
    pub fn opens(&mut self, connection: ConnectionId) {
        if self.unopened.remove(&connection) {
            self.program.on_connected(self.now, connection, &mut self.effects);
            self.settle();
        }
    }

    /// What was sent on a link has been written.
    pub fn written(&mut self, connection: ConnectionId) {
        self.opens(connection);
        self.unwritten.remove(&connection);
        self.program.on_write_complete(self.now, connection, &mut self.effects);
        self.settle();
    }

    pub fn come(&mut self) -> ConnectionId {
        let connection = ConnectionId(self.came);
        self.came += 1;
        self.program.on_accepted(self.now, connection, 0, &mut self.effects);
        self.settle();
        connection
    }

    pub fn say(&mut self, connection: ConnectionId, bytes: impl AsRef<[u8]>) {
        if !self.ended.contains_key(&connection) {
            let bytes = Bytes::copy_from_slice(bytes.as_ref());
            self.program.on_data(self.now, connection, &bytes, &mut self.effects);
            self.settle();
        }
    }

    /// The other end closes or resets the link.
    pub fn lose(&mut self, connection: ConnectionId) {
        self.lose_as(connection, DisconnectReason::Reset);
    }

    pub fn lose_as(&mut self, connection: ConnectionId, loss: DisconnectReason) {
        self.unwritten.remove(&connection);
        self.unopened.remove(&connection);
        self.dialled.remove(&connection);
        self.program.on_disconnect(self.now, connection, loss, &mut self.effects);
        self.settle();
    }

    pub fn crowded(&mut self, connection: ConnectionId, crowded: bool) {
        self.program.on_backpressure(self.now, connection, crowded, &mut self.effects);
        self.settle();
    }

    pub fn reread(&mut self, file: &serde_json::Value) -> bool {
        let used = self.program.on_config_reload(self.now, &Bytes::from(file.to_string()), &mut self.effects);
        self.settle();
        used
    }

    pub fn stop(&mut self) {
        self.program.on_shutdown(self.now, &mut self.effects);
        self.settle();
    }

    /// When the next timer rings.
    pub fn next_timer(&self) -> Option<Micros> {
        self.rings.first().map(|(at, _)| *at)
    }

    /// Lets time pass; timers ring when they are due.
    pub fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(&(at, key)) = self.rings.first().filter(|(at, _)| *at <= until) {
            self.rings.pop_first();
            self.now = self.now.max(at);
            self.program.on_timer(self.now, key, &mut self.effects);
            self.settle();
        }
        self.now = until;
    }

    pub fn text(&self, connection: ConnectionId) -> String {
        String::from_utf8_lossy(self.sent.get(&connection).map_or(&[], Vec::as_slice)).into_owned()
    }

    /// Statuses of the answers that a client has got.
    pub fn statuses(&self, connection: ConnectionId) -> Vec<u16> {
        let text = self.text(connection);
        text.split("HTTP/1.1 ").skip(1).filter_map(|part| part.get(..3)?.parse().ok()).collect()
    }

    /// Calls to workers that begin with these words and were not taken yet: the link and the worker.
    pub fn calls(&mut self, begin: &str) -> Vec<(ConnectionId, usize)> {
        let mut found = vec![];
        for (&connection, to) in &self.dialled {
            let all = self.sent.get(&connection).map_or(&[][..], Vec::as_slice);
            let taken = self.taken.entry(connection).or_default();
            if !self.ended.contains_key(&connection) && all[*taken..].starts_with(begin.as_bytes()) {
                *taken = all.len();
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

    /// Attempts that were not taken yet, also those whose connections are under way: nothing is sent on them before
    /// they are up.
    pub fn attempts(&mut self) -> Vec<(ConnectionId, usize)> {
        let mut found = self.calls("POST /v1/chat");
        found.retain(|(connection, _)| !self.attempts.remove(connection));
        let at = |to: &Address| (to[2] == 1).then(|| usize::from(to[3]) - 1);
        let under_way =
            self.unopened.iter().filter(|l| !self.sent.contains_key(l) && !self.attempts.contains(l));
        let under_way =
            under_way.filter_map(|connection| Some((*connection, at(self.dialled.get(connection)?)?)));
        found.extend(under_way);
        self.attempts
            .extend(found.iter().map(|(connection, _)| *connection).filter(|l| self.unopened.contains(l)));
        found
    }

    /// The one such attempt.
    pub fn attempt(&mut self) -> (ConnectionId, usize) {
        let attempts = self.attempts();
        assert_eq!(attempts.len(), 1, "attempts: {attempts:?}");
        attempts[0]
    }

    /// The link of the watch at discovery, if there is one now.
    pub fn watching(&self) -> Option<ConnectionId> {
        let at = |(connection, to): (&ConnectionId, &Address)| {
            (to[2] == 9 || to[2] == 8) && !self.ended.contains_key(connection)
        };
        self.dialled.iter().filter(|e| at(*e)).map(|(l, _)| *l).next_back()
    }

    /// That link, and what was asked on it.
    pub fn watch(&self) -> (ConnectionId, String) {
        let connection = self.watching().expect("a watch");
        (connection, self.text(connection))
    }

    /// Discovery tells a line on the watch; its answer begins with the first one.
    pub fn discover(&mut self, line: &serde_json::Value) {
        let (connection, _) = self.watch();
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let head = if self.watched.insert(connection) { head } else { "" };
        self.say(connection, format!("{head}{}", chunk(&format!("{line}\n"))));
    }
}
