//! The lifecycle of an emulated worker: connections, registration with discovery, scripted faults and shutdown.

use bytes::Bytes;
use tideroute_wire::endpoint_list::{self, EndpointStatus};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::Micros;

use crate::config::{ScriptedFault, WorkerConfig};
use crate::engine::Engine;
use crate::messages;
use crate::peers::Peer;
use crate::timers::TimerKey;
use crate::worker_state::WorkerState;

/// Microseconds from the loss of the connection to discovery to the next connection attempt.
const RECONNECT_DELAY: Micros = 250_000;
/// The start time that a worker registers which is warm from its start.
const WARM_START_TIME: Micros = 0;

/// An emulated worker that prefills and decodes, configured by [`WorkerConfig`].
pub struct EmulatedWorker {
    engine: Engine,
    /// The connection to discovery.
    discovery: Option<ConnectionId>,
    is_silent: bool,
    is_stopping: bool,
}

impl EmulatedWorker {
    /// Creates a worker whose process starts at `now`.
    pub fn new(config: WorkerConfig, now: Micros) -> EmulatedWorker {
        EmulatedWorker {
            engine: Engine::new(WorkerState::new(config, now)),
            discovery: None,
            is_silent: false,
            is_stopping: false,
        }
    }

    fn connect_to_discovery(&mut self, effects: &mut Effects) {
        let Engine { state, peers, .. } = &mut self.engine;
        let config = &state.config;
        let connection = peers.connect(config.discovery, Peer::Discovery, &config.name, effects);
        self.discovery = Some(connection);
        self.register(effects);
    }

    fn register(&mut self, effects: &mut Effects) {
        let Some(discovery) = self.discovery else { return };
        let state = &self.engine.state;
        let config = &state.config;
        let status = if state.is_draining { EndpointStatus::Draining } else { EndpointStatus::Serving };
        let started = if config.is_warm { WARM_START_TIME } else { state.started };
        let message = endpoint_list::register(
            config.address,
            config.kind,
            config.size,
            status,
            config.cell,
            config.zone,
            started,
        );
        effects.send(discovery, message);
    }

    fn apply(&mut self, fault: ScriptedFault, effects: &mut Effects) {
        let state = &mut self.engine.state;
        tracing::info!(name = state.config.name, ?fault, "scripted fault started");
        match fault {
            ScriptedFault::Reject(rejects) => state.rejects_work = rejects,
            ScriptedFault::ServerError(fails) => state.fails_work = fails,
            ScriptedFault::Slow(slowdown) => state.set_slowdown(slowdown),
            ScriptedFault::CorruptState(corrupts) => state.corrupts_state = corrupts,
            ScriptedFault::Crash => effects.crash(),
            ScriptedFault::Silent => {
                self.is_silent = true;
                self.engine.drop_work();
            }
            ScriptedFault::Drain => self.drain(effects),
        }
    }

    fn drain(&mut self, effects: &mut Effects) {
        self.engine.state.is_draining = true;
        self.register(effects);
    }
}

impl EventHandler for EmulatedWorker {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.connect_to_discovery(effects);
        for (index, (after, _)) in self.engine.state.config.script.iter().enumerate() {
            effects.set_timer(now + after, TimerKey::ScriptStep(index as u64).encode());
        }
    }

    fn on_accepted(
        &mut self,
        _now: Micros,
        connection: ConnectionId,
        _listener: usize,
        _effects: &mut Effects,
    ) {
        self.engine.peers.insert(connection, Peer::Unknown);
    }

    fn on_connected(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        if self.is_silent {
            return;
        }
        if let Err(error) = messages::handle_frame(&mut self.engine, now, connection, frame, effects) {
            let name = &self.engine.state.config.name;
            tracing::warn!(name, %error, "malformed message received; closing the connection");
            effects.close(connection, error.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, effects);
        }
        if self.engine.state.is_overloaded {
            effects.crash();
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        match self.engine.peers.remove(connection) {
            Some(Peer::Discovery) => {
                self.discovery = None;
                effects.set_timer(now + RECONNECT_DELAY, TimerKey::ReconnectDiscovery.encode());
            }
            Some(Peer::Router(_)) => self.engine.router_disconnected(connection, now, effects),
            Some(Peer::StateFetcher) => self.engine.fetcher_disconnected(connection),
            Some(Peer::PrefillWorker(address)) => {
                self.engine.prefill_worker_disconnected(address, now, effects);
            }
            Some(Peer::Unknown) | None => {}
        }
    }

    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        is_blocked: bool,
        effects: &mut Effects,
    ) {
        self.engine.set_blocked(connection, is_blocked, now, effects);
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        let Some(key) = TimerKey::decode(key) else { return };
        match key {
            TimerKey::ScriptStep(index) => {
                let step = self.engine.state.config.script.get(index as usize);
                if let Some(&(_, fault)) = step {
                    self.apply(fault, effects);
                }
            }
            _ if self.is_silent => {}
            TimerKey::ReconnectDiscovery => self.connect_to_discovery(effects),
            TimerKey::Prefill(serial) => self.engine.prefill_timer_fired(serial, now, effects),
            TimerKey::Token(serial) => self.engine.token_timer_fired(serial, now, effects),
            TimerKey::EarlyFetch(serial) => self.engine.early_fetch_expired(serial, effects),
        }
    }

    fn on_iteration(&mut self, _now: Micros, _effects: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, effects: &mut Effects) {
        self.is_stopping = true;
        self.apply(ScriptedFault::Drain, effects);
    }

    fn is_finished(&self) -> bool {
        self.is_stopping && (self.is_silent || self.engine.is_idle())
    }
}
