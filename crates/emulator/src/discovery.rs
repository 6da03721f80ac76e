//! Emulated discovery: tracks the registered workers and notifies routers of changes after a configured delay.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use tideroute_wire::endpoint_list::{self, EndpointStatus, Page};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{Address, Malformed, Micros, Party};

/// Number of changes kept; a router that has missed more is sent a full snapshot.
const MAX_HISTORY: usize = 4096;
/// Microseconds after its start in which discovery sends nothing, so that workers have time to register. A snapshot
/// sent earlier would lack the workers that have not registered yet, and routers would treat them as removed.
const SETTLING_TIME: Micros = 600_000;

/// Timer key: changes are due to be published.
const PUBLISH: u64 = 0;
/// Timer key: the settling time is over.
const SETTLED: u64 = 1;
/// Timer key of the first step of the script; the following steps have the following keys.
const FIRST_SCRIPT_STEP: u64 = 2;

/// The configuration of [`Discovery`].
#[derive(Clone, Debug)]
pub struct DiscoveryConfig {
    /// Microseconds from a change to its notification to routers.
    pub notification_delay: Micros,
    /// Scripted changes of the notification delay: microseconds after the start, and the delay from then on.
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

/// A change that routers have not been notified of yet.
struct PendingChange {
    publish_at: Micros,
    endpoint: Endpoint,
}

/// A router's watch. The version is the last one that the router knows; 0 if it knows none.
struct Watch {
    connection: ConnectionId,
    version: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Peer {
    /// A peer that has not sent its Hello yet.
    Unknown,
    /// A worker, with its address once it has registered.
    Worker(Option<Address>),
    Router,
}

/// An emulated discovery service that keeps the endpoint list, configured by [`DiscoveryConfig`].
pub struct Discovery {
    config: DiscoveryConfig,
    notification_delay: Micros,
    peers: BTreeMap<ConnectionId, Peer>,
    watchers: BTreeSet<ConnectionId>,
    /// The connection on which each worker registered last. A restarted worker registers on a new connection,
    /// possibly before the loss of the old one is noticed.
    registrations: BTreeMap<Address, ConnectionId>,
    pending: VecDeque<PendingChange>,
    /// The latest state of each endpoint that routers were notified of.
    published: BTreeMap<Address, Endpoint>,
    history: VecDeque<Endpoint>,
    version: u64,
    /// Watches received within the settling time; `None` once it is over.
    early_watches: Option<Vec<Watch>>,
    is_stopping: bool,
}

impl Discovery {
    /// Creates a discovery service with an empty endpoint list.
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
        // Changes are published in their order, even if the delay has become shorter in the meantime.
        let last_publish_at = self.pending.back().map_or(0, |change| change.publish_at);
        let publish_at = last_publish_at.max(now + self.notification_delay);
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
        if let Some(early_watches) = self.early_watches.as_mut() {
            return early_watches.push(watch);
        }
        self.watchers.insert(watch.connection);
        let frame = match self.missed_changes(watch.version) {
            Some(0) => return,
            Some(missed) => self.recent_changes(missed),
            None => self.snapshot(),
        };
        effects.send(watch.connection, frame);
    }

    /// Returns how many changes a router that knows `version` has missed; `None` if it needs a full snapshot.
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

    /// Returns the latest state of a worker, published or pending.
    fn latest_state(&self, worker: Address) -> Option<Endpoint> {
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
        // Versions begin at the present time, so that those of a later incarnation are higher than all earlier ones.
        self.version = now;
        effects.set_timer(now + SETTLING_TIME, SETTLED);
        for (index, (after, _)) in self.config.script.iter().enumerate() {
            effects.set_timer(now + after, FIRST_SCRIPT_STEP + index as u64);
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
            tracing::warn!(%error, "malformed message received; closing the connection");
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
        if let Some(early_watches) = self.early_watches.as_mut() {
            early_watches.retain(|watch| watch.connection != connection);
        }
        let Some(Peer::Worker(Some(worker))) = self.peers.remove(&connection) else { return };
        if self.registrations.get(&worker) != Some(&connection) {
            return;
        }
        self.registrations.remove(&worker);
        if let Some(latest) = self.latest_state(worker) {
            let removed = Endpoint { status: EndpointStatus::Removed, ..latest };
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
                let step = self.config.script.get((key - FIRST_SCRIPT_STEP) as usize);
                if let Some(&(_, notification_delay)) = step {
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
