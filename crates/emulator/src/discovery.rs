//! Discovery: knows which workers run, and notifies routers some time later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use tideroute_wire::endpoint_list::{self, EndpointStatus, Page};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{Address, Malformed, Micros, Party};

/// Changes that a router may have missed and still be sent one by one.
const MAX_HISTORY: usize = 4096;
/// Microseconds: discovery that has just started sends nothing until its workers had time to register. Sent at once, a
/// snapshot would lack the workers that have not registered yet, and routers would take them for removed.
const SETTLING_TIME: Micros = 600_000;

/// Timer keys: changes are due to be published, the settling time is over, or a line of the script.
const PUBLISH: u64 = 0;
const SETTLED: u64 = 1;
const SCRIPT: u64 = 2;

/// The configuration of [`Discovery`].
#[derive(Clone, Debug)]
pub struct DiscoveryConfig {
    /// Microseconds from a change to its notification.
    pub notification_delay: Micros,
    /// From when on, after the start, the delay is another.
    pub script: Vec<(Micros, Micros)>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
struct Endpoint {
    worker: Address,
    kind: u16,
    size: f64,
    status: EndpointStatus,
    cell: u16,
    zone: u8,
    started: Micros,
}

impl Endpoint {
    fn add_to(&self, update: &mut Page) {
        update.add(self.worker, self.kind, self.size, self.status, self.cell, self.zone, self.started);
    }
}

/// A change that routers are not notified of yet.
struct PendingChange {
    publish_at: Micros,
    endpoint: Endpoint,
}

/// A router that watches from a version on; 0 if it has none.
struct Watch {
    connection: ConnectionId,
    version: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Peer {
    /// It has not sent its Hello.
    Unknown,
    /// With its address, once it has registered.
    Worker(Option<Address>),
    Router,
}

/// Keeps the endpoint list, as its [`DiscoveryConfig`] says.
pub struct Discovery {
    config: DiscoveryConfig,
    notification_delay: Micros,
    peers: BTreeMap<ConnectionId, Peer>,
    watchers: BTreeSet<ConnectionId>,
    /// On which connection a worker registered last: one that came back does so on a new one.
    registrations: BTreeMap<Address, ConnectionId>,
    pending: VecDeque<PendingChange>,
    /// What routers were notified of.
    published: BTreeMap<Address, Endpoint>,
    history: VecDeque<Endpoint>,
    version: u64,
    /// Watches that came within the settling time; None after it.
    early_watches: Option<Vec<Watch>>,
    is_stopping: bool,
}

impl Discovery {
    /// Discovery with an empty list.
    pub fn new(config: DiscoveryConfig) -> Discovery {
        Discovery {
            notification_delay: config.notification_delay,
            config,
            peers: BTreeMap::new(),
            watchers: BTreeSet::new(),
            registrations: BTreeMap::new(),
            pending: VecDeque::new(),
            published: BTreeMap::new(),
            history: VecDeque::new(),
            version: 0,
            early_watches: Some(vec![]),
            is_stopping: false,
        }
    }

    fn endpoint_changed(&mut self, now: Micros, endpoint: Endpoint, effects: &mut Effects) {
        // One by one and in order, also when the delay has become shorter meanwhile.
        let last = self.pending.back().map_or(0, |change| change.publish_at);
        let publish_at = last.max(now + self.notification_delay);
        self.pending.push_back(PendingChange { publish_at, endpoint });
        effects.set_timer(publish_at, PUBLISH);
    }

    fn publish_due(&mut self, now: Micros, effects: &mut Effects) {
        let mut changed = Vec::new();
        while let Some(change) = self.pending.pop_front_if(|change| change.publish_at <= now) {
            let endpoint = change.endpoint;
            self.version += 1;
            self.published.insert(endpoint.worker, endpoint);
            self.history.push_back(endpoint);
            changed.push(endpoint);
        }
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        if changed.is_empty() {
            return;
        }
        let mut update = Page::new(self.version, false);
        for endpoint in &changed {
            endpoint.add_to(&mut update);
        }
        let frame = update.frame();
        for &watcher in &self.watchers {
            effects.send(watcher, frame.clone());
        }
    }

    fn watch(&mut self, watch: Watch, effects: &mut Effects) {
        if let Some(early) = self.early_watches.as_mut() {
            return early.push(watch);
        }
        self.watchers.insert(watch.connection);
        let frame = match self.missed_changes(watch.version) {
            Some(0) => return,
            Some(missed) => self.recent_changes(missed),
            None => self.snapshot(),
        };
        effects.send(watch.connection, frame);
    }

    /// How many changes a router with a version has missed; None if it needs a full snapshot.
    fn missed_changes(&self, version: u64) -> Option<usize> {
        let missed = self.version.checked_sub(version)?;
        let is_in_history = version > 0 && missed <= self.history.len() as u64;
        is_in_history.then_some(missed as usize)
    }

    fn recent_changes(&self, count: usize) -> Bytes {
        let mut update = Page::new(self.version, false);
        for endpoint in self.history.iter().skip(self.history.len() - count) {
            endpoint.add_to(&mut update);
        }
        update.frame()
    }

    fn snapshot(&self) -> Bytes {
        let mut update = Page::new(self.version, true);
        for endpoint in self.published.values() {
            if endpoint.status != EndpointStatus::Removed {
                endpoint.add_to(&mut update);
            }
        }
        update.frame()
    }

    fn handle_frame(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        frame: &Bytes,
        effects: &mut Effects,
    ) -> Result<(), Malformed> {
        if self.peers.get(&connection) != Some(&Peer::Unknown) {
            let mut handler = MessageHandler { discovery: self, now, connection, effects };
            return endpoint_list::receive_from_caller(frame, &mut handler);
        }
        let (party, ..) = tideroute_wire::first(frame)?;
        let peer = match party {
            Party::Worker => Peer::Worker(None),
            Party::Router => Peer::Router,
            Party::Client => return Err(Malformed::Range("party")),
        };
        self.peers.insert(connection, peer);
        Ok(())
    }

    /// The last state of a worker, published or not.
    fn last_change(&self, worker: Address) -> Option<Endpoint> {
        let pending = self.pending.iter().rev().find(|change| change.endpoint.worker == worker);
        let pending = pending.map(|change| change.endpoint);
        pending.or(self.published.get(&worker).copied())
    }
}

struct MessageHandler<'a> {
    discovery: &'a mut Discovery,
    now: Micros,
    connection: ConnectionId,
    effects: &'a mut Effects,
}

impl endpoint_list::List for MessageHandler<'_> {
    fn watch(&mut self, version: u64) -> Result<(), Malformed> {
        if self.discovery.peers.get(&self.connection) != Some(&Peer::Router) {
            return Err(Malformed::Order("Watch"));
        }
        let watch = Watch { connection: self.connection, version };
        self.discovery.watch(watch, self.effects);
        Ok(())
    }

    fn register(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        status: EndpointStatus,
        cell: u16,
        zone: u8,
        started: Micros,
    ) -> Result<(), Malformed> {
        let peer = self.discovery.peers.get(&self.connection);
        if !matches!(peer, Some(Peer::Worker(_))) {
            return Err(Malformed::Order("Here"));
        }
        self.discovery.peers.insert(self.connection, Peer::Worker(Some(worker)));
        self.discovery.registrations.insert(worker, self.connection);
        let endpoint = Endpoint { worker, kind, size, status, cell, zone, started };
        self.discovery.endpoint_changed(self.now, endpoint, self.effects);
        Ok(())
    }
}

impl EventHandler for Discovery {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        // Versions of a later incarnation are higher than all of an earlier one.
        self.version = now;
        effects.set_timer(now + SETTLING_TIME, SETTLED);
        for (index, (after, _)) in self.config.script.iter().enumerate() {
            effects.set_timer(now + after, SCRIPT + index as u64);
        }
    }

    fn on_accepted(
        &mut self,
        _now: Micros,
        connection: ConnectionId,
        _listener: usize,
        _effects: &mut Effects,
    ) {
        self.peers.insert(connection, Peer::Unknown);
    }

    fn on_connected(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        if let Err(error) = self.handle_frame(now, connection, frame, effects) {
            tracing::warn!(%error, "closing a connection after a malformed message");
            effects.close(connection, error.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, effects);
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        self.watchers.remove(&connection);
        if let Some(early) = self.early_watches.as_mut() {
            early.retain(|watch| watch.connection != connection);
        }
        let Some(Peer::Worker(Some(worker))) = self.peers.remove(&connection) else { return };
        if self.registrations.get(&worker) != Some(&connection) {
            return;
        }
        self.registrations.remove(&worker);
        if let Some(last) = self.last_change(worker) {
            let removed = Endpoint { status: EndpointStatus::Removed, ..last };
            self.endpoint_changed(now, removed, effects);
        }
    }

    fn on_backpressure(
        &mut self,
        _now: Micros,
        _connection: ConnectionId,
        _is_blocked: bool,
        _effects: &mut Effects,
    ) {
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        match key {
            PUBLISH => self.publish_due(now, effects),
            SETTLED => {
                for watch in self.early_watches.take().unwrap_or_default() {
                    self.watch(watch, effects);
                }
            }
            _ => {
                let line = self.config.script.get((key - SCRIPT) as usize);
                if let Some(&(_, notification_delay)) = line {
                    self.notification_delay = notification_delay;
                }
            }
        }
    }

    fn on_iteration(&mut self, _now: Micros, _effects: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, _effects: &mut Effects) {
        self.is_stopping = true;
    }

    fn is_finished(&self) -> bool {
        self.is_stopping
    }
}
