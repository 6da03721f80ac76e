//! The event handler of the protobuf router.

use bytes::Bytes;
use metrics::counter;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{client, endpoint_list, tenant, worker, Malformed, Micros, Party};

use super::client_events::ClientEvents;
use super::config::RouterConfig;
use super::discovery_events::DiscoveryEvents;
use super::endpoint_list_cache;
use super::state::RouterState;
use super::tenant_events::{self, TenantEvents};
use super::timers::RouterTimer;
use super::worker_events::WorkerEvents;

/// The router of this project's own protocol, driven by an event loop through [`EventHandler`].
pub struct ProtobufRouter {
    state: RouterState,
    /// The endpoint list that the last run persisted, until the router applies it at its start.
    cached_endpoint_list: Option<Bytes>,
}

impl ProtobufRouter {
    /// Creates a router that starts now. `cached_endpoint_list` is the list that the last run persisted through
    /// [`Effects::persist`]; bytes that can't be read are ignored with a warning.
    pub fn new(config: RouterConfig, cached_endpoint_list: Option<Bytes>, now: Micros) -> ProtobufRouter {
        ProtobufRouter { state: RouterState::new(config, now), cached_endpoint_list }
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.state.lifecycle.requests.len()
    }

    fn client_events<'a>(
        &'a mut self,
        now: Micros,
        connection: ConnectionId,
        effects: &'a mut Effects,
    ) -> ClientEvents<'a> {
        ClientEvents { state: &mut self.state, now, connection, effects }
    }

    fn worker_events<'a>(
        &'a mut self,
        now: Micros,
        connection: ConnectionId,
        effects: &'a mut Effects,
    ) -> WorkerEvents<'a> {
        WorkerEvents { state: &mut self.state, now, connection, effects }
    }

    fn discovery_events(&mut self, now: Micros) -> DiscoveryEvents<'_> {
        DiscoveryEvents { state: &mut self.state, now }
    }

    /// Decodes a frame by the kind of its connection, and handles it. Frames of closed connections are ignored.
    fn receive(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        frame: &Bytes,
        effects: &mut Effects,
    ) -> Result<(), Malformed> {
        if self.state.workers.worker_of(connection).is_some() {
            return worker::receive_from_worker(frame, &mut self.worker_events(now, connection, effects));
        }
        if self.state.discovery == Some(connection) {
            let received = endpoint_list::receive_from_list(frame, &mut self.discovery_events(now));
            self.state.lifecycle.discovery_synced(now);
            return received;
        }
        if self.state.clients.awaits_hello(connection) {
            return self.receive_hello(now, connection, frame, effects);
        }
        if self.state.clients.contains(connection) {
            return client::receive_from_client(frame, &mut self.client_events(now, connection, effects));
        }
        Ok(())
    }

    fn receive_hello(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        frame: &Bytes,
        effects: &mut Effects,
    ) -> Result<(), Malformed> {
        let (party, name, key) = tideroute_wire::first(frame)?;
        if party != Party::Client {
            return Err(Malformed::Range("party"));
        }
        self.client_events(now, connection, effects).hello_received(&name, &key);
        Ok(())
    }
}

impl EventHandler for ProtobufRouter {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        if let Some(cached) = self.cached_endpoint_list.take() {
            endpoint_list_cache::load(&mut self.state, now, &cached);
        }
        tenant_events::publish_tenant_stats(&mut self.state, now, effects);
        self.on_iteration(now, effects);
    }

    fn on_accepted(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _listener: usize,
        effects: &mut Effects,
    ) {
        self.client_events(now, connection, effects).accepted();
    }

    fn on_connected(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        if let Err(error) = self.receive(now, connection, frame, effects) {
            tracing::warn!(connection = connection.0, %error, "protocol violated; closing the connection");
            counter!("tideroute_protocol_errors_total").increment(1);
            effects.close(connection, error.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, effects);
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        if self.state.discovery == Some(connection) {
            return self.discovery_events(now).disconnected(reason);
        }
        if let Some(client) = self.state.clients.remove(connection) {
            for id in client.open_requests.into_values() {
                self.state.client_disconnected(now, id, effects);
            }
            return;
        }
        self.worker_events(now, connection, effects).disconnected(reason);
    }

    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        has_backpressure: bool,
        effects: &mut Effects,
    ) {
        self.client_events(now, connection, effects).backpressure(has_backpressure);
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        match RouterTimer::decode(key, |counter| self.state.lifecycle.requests.expand_id(counter)) {
            RouterTimer::Lifecycle(timer) => {
                let (lifecycle, mut transport) = self.state.split(effects);
                lifecycle.timer_fired(now, timer, &mut transport);
            }
            RouterTimer::Hello(connection) => self.client_events(now, connection, effects).hello_timeout(),
            RouterTimer::TenantStats => tenant_events::publish_tenant_stats(&mut self.state, now, effects),
        }
    }

    fn on_iteration(&mut self, now: Micros, effects: &mut Effects) {
        let (lifecycle, mut transport) = self.state.split(effects);
        lifecycle.run_scheduling_pass(now, &mut transport);
        if std::mem::take(&mut self.state.endpoint_list_changed) {
            effects.persist(endpoint_list_cache::encode(&self.state.lifecycle));
        }
    }

    fn on_message(&mut self, now: Micros, message: &Bytes, _effects: &mut Effects) {
        let lifecycle = &mut self.state.lifecycle;
        if !lifecycle.has_tenants() {
            return;
        }
        if let Err(error) = tenant::receive(message, &mut TenantEvents { lifecycle, now }) {
            tracing::error!(%error, "tenant message rejected; ignoring it");
        }
        self.state.lifecycle.request_scheduling_pass();
    }

    fn on_loop_lag(&mut self, now: Micros, lag: Micros) {
        self.state.lifecycle.record_loop_lag(now, lag);
    }

    fn on_shutdown(&mut self, _now: Micros, _effects: &mut Effects) {
        self.state.lifecycle.shut_down();
    }

    fn is_finished(&self) -> bool {
        self.state.lifecycle.is_drained()
    }
}
