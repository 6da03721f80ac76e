//! The gateway's event handler: passes each event of the event loop to the part that handles it.

use std::collections::BTreeSet;

use bytes::Bytes;
use tideroute_lifecycle::Timer;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::Micros;

use crate::config::Config;
use crate::state::GatewayState;
use crate::timers::TimerKey;

/// The HTTP router: clients on one side, workers and discovery on the other. It has neither sockets nor a clock: the
/// event loop calls it with each event and carries out the effects.
pub struct Gateway {
    state: GatewayState,
}

impl Gateway {
    /// Creates a gateway, which begins to serve with [`EventHandler::on_start`].
    pub fn new(config: Config, now: Micros) -> Gateway {
        for problem in config.infeasible_settings() {
            tracing::warn!(problem, "setting conflicts with other settings");
        }
        Gateway { state: GatewayState::new(config, now) }
    }

    fn lifecycle_timer_fired(&mut self, now: Micros, timer: Timer, effects: &mut Effects) {
        let (lifecycle, mut egress) = self.state.lifecycle(now, effects);
        lifecycle.timer_fired(now, timer, &mut egress);
    }

    /// Runs scheduling passes until one leaves no deferred events. Each client whose response is complete gets one turn;
    /// what it has sent beyond that waits for the next one.
    fn run_scheduling_passes(&mut self, now: Micros, effects: &mut Effects) {
        let mut served = BTreeSet::new();
        loop {
            let (lifecycle, mut egress) = self.state.lifecycle(now, effects);
            lifecycle.run_scheduling_pass(now, &mut egress);
            let deferred = &mut self.state.deferred;
            let outcomes = std::mem::take(&mut deferred.attempt_outcomes);
            let clients: Vec<_> = deferred.completed_clients.difference(&served).copied().collect();
            if outcomes.is_empty() && clients.is_empty() {
                break;
            }
            deferred.completed_clients.retain(|client| served.contains(client));
            for ended in outcomes {
                self.state.finish_attempt(now, ended, effects);
            }
            for connection in clients {
                served.insert(connection);
                self.state.next_request(now, connection, effects);
            }
        }
        for connection in std::mem::take(&mut self.state.deferred.completed_clients) {
            self.state.wait_for_turn(connection, effects);
        }
        self.state.client_turns.end_iteration(now, effects);
    }
}

impl EventHandler for Gateway {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.state.now = now;
        self.state.load_known_endpoints(now, effects);
        self.state.open_watch(now, effects);
        self.state.log_statistics(now, effects);
        self.on_iteration(now, effects);
    }

    fn on_accepted(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _listener: usize,
        effects: &mut Effects,
    ) {
        self.state.now = now;
        self.state.client_connected(now, connection, effects);
    }

    fn on_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        if self.state.watch.is_on(connection) {
            self.state.watch.connected(connection);
        } else {
            self.state.worker_connected(now, connection, effects);
        }
    }

    fn on_data(&mut self, now: Micros, connection: ConnectionId, bytes: &Bytes, effects: &mut Effects) {
        self.state.now = now;
        if !connection.is_outbound() {
            self.state.client_data(now, connection, bytes, effects);
        } else if self.state.watch.is_on(connection) {
            self.state.watch_data(now, connection, bytes, effects);
        } else {
            self.state.worker_data(now, connection, bytes, effects);
        }
    }

    fn on_write_complete(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        self.state.call_written(now, connection, effects);
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        self.state.now = now;
        if self.state.watch.is_on(connection) {
            tracing::debug!(?reason, "call to discovery ended; keeping the endpoint list in force");
            self.state.watch.call_failed(now, connection, effects);
        } else if connection.is_outbound() {
            self.state.worker_disconnected(now, connection, reason, effects);
        } else {
            self.state.client_disconnected(now, connection, effects);
        }
    }

    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        is_congested: bool,
        effects: &mut Effects,
    ) {
        self.state.client_backpressure(now, connection, is_congested, effects);
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        self.state.now = now;
        let Some(timer) = TimerKey::decode(key) else { return };
        match timer {
            TimerKey::SchedulerWake => self.lifecycle_timer_fired(now, Timer::SchedulerWake, effects),
            TimerKey::RequestDeadline(id) => {
                let id = self.state.lifecycle.requests.expand_id(id.0);
                self.lifecycle_timer_fired(now, Timer::Deadline(id), effects);
            }
            TimerKey::HealthCheck(nonce) => {
                self.lifecycle_timer_fired(now, Timer::HealthCheck(nonce), effects);
            }
            TimerKey::Admission => self.lifecycle_timer_fired(now, Timer::Admission, effects),
            TimerKey::Client(connection) => self.state.client_timer_fired(now, connection, effects),
            TimerKey::Worker(connection) => self.state.worker_timer_fired(now, connection, effects),
            TimerKey::ReservedState(id) => {
                let id = self.state.lifecycle.requests.expand_id(id.0);
                let (reserved_state, mut context) = self.state.reserved_state(now, effects);
                reserved_state.timer_fired(id, &mut context);
            }
            TimerKey::DiscoveryWatch => self.state.watch_timer_fired(now, effects),
            TimerKey::ClientTurns => {
                let clients = self.state.client_turns.begin();
                self.state.deferred.completed_clients.extend(clients);
            }
            TimerKey::ShutdownGrace => self.state.end_shutdown_grace(),
            TimerKey::Statistics => self.state.log_statistics(now, effects),
        }
    }

    fn on_iteration(&mut self, now: Micros, effects: &mut Effects) {
        self.run_scheduling_passes(now, effects);
        self.state.release_failed_prefills(now, effects);
        self.state.check_prefills(now, effects);
    }

    fn on_config_reload(&mut self, now: Micros, file: &Bytes, effects: &mut Effects) -> bool {
        self.state.now = now;
        let config = match Config::parse(file) {
            Ok(config) => config,
            Err(problem) => {
                tracing::error!(%problem, "new configuration rejected; keeping the old one in force");
                return false;
            }
        };
        let in_force = &mut self.state.config;
        if config.capacity != in_force.capacity || config.listen != in_force.listen {
            tracing::warn!(
                "capacity limits or listen address changed; keeping the old ones until the next start"
            );
        }
        tracing::info!("configuration reloaded");
        in_force.discovery = config.discovery;
        in_force.travel_time = config.travel_time;
        self.state.reload_watch(now, effects);
        true
    }

    fn on_loop_lag(&mut self, now: Micros, lag: Micros) {
        self.state.lifecycle.record_loop_lag(now, lag);
    }

    fn on_shutdown(&mut self, now: Micros, effects: &mut Effects) {
        self.state.begin_shutdown(now, effects);
    }

    fn is_finished(&self) -> bool {
        self.state.is_finished()
    }
}
