//! The state of the gateway, and methods that borrow several parts of it at once. Other modules implement the handling
//! of each kind of event.

use std::collections::BTreeMap;

use tideroute::types::WorkerId;
use tideroute_lifecycle::RequestLifecycle;
use tideroute_wire::event_loop::Effects;
use tideroute_wire::Micros;

use crate::client_turns::ClientTurns;
use crate::clients::Clients;
use crate::config::Config;
use crate::discovery_watch::DiscoveryWatch;
use crate::egress::{AttemptEnded, DeferredEvents, Egress};
use crate::executed_requests::ExecutedRequests;
use crate::memory::MemoryBudget;
use crate::request_context::RequestContext;
use crate::reserved_state::{Context, ReservedStateManager};
use crate::timers::TimerKey;
use crate::worker_pool::WorkerPool;

/// An idle connection is closed after this part of the time for which its worker would keep it.
const IDLE_TIMEOUT_DIVISOR: Micros = 2;
/// Microseconds for which a router that starts waits for discovery before it serves by the list in its configuration.
const DISCOVERY_WAIT: Micros = 1_000_000;
/// Microseconds between two log lines of statistics.
const STATISTICS_INTERVAL: Micros = 1_000_000;

/// All that the gateway owns.
pub struct GatewayState {
    /// The configuration in force.
    pub config: Config,
    /// Requests, and the scheduler that decides on them.
    pub lifecycle: RequestLifecycle<RequestContext>,
    /// Clients' connections.
    pub clients: Clients,
    /// Connections to workers.
    pub workers: WorkerPool,
    /// The manager of what workers hold for requests.
    pub reserved_state: ReservedStateManager,
    /// The requests that must not run twice and may have run.
    pub executed: ExecutedRequests,
    /// The memory for responses of which the first event is incomplete, and for load reports.
    pub response_memory: MemoryBudget,
    /// The watch at discovery.
    pub watch: DiscoveryWatch,
    /// Clients that have sent more requests than one iteration answers.
    pub client_turns: ClientTurns,
    /// Events to hand to the lifecycle after its decisions have been carried out.
    pub deferred: DeferredEvents,
    /// Since when discovery offers versions of the list that are older than the one in force.
    pub stale_since: Option<Micros>,
    /// Whether discovery has sent an update.
    pub is_discovery_synced: bool,
    /// When the gateway was created.
    pub started_at: Micros,
    /// The time of the last event.
    pub now: Micros,
    /// Whether the shutdown has started.
    pub is_shutting_down: bool,
    /// Whether the shutdown's grace period is over; new requests are then no longer admitted.
    pub is_grace_over: bool,
}

impl GatewayState {
    /// Creates the state of a gateway that has not started.
    pub fn new(config: Config, now: Micros) -> GatewayState {
        let idle_timeout = config.worker_idle_timeout / IDLE_TIMEOUT_DIVISOR;
        let max_connections = config.capacity.worker_connections;
        GatewayState {
            lifecycle: RequestLifecycle::new(config.lifecycle.clone(), now),
            clients: Clients::new(&config.capacity),
            workers: WorkerPool::new(max_connections, config.connect_timeout, idle_timeout),
            reserved_state: ReservedStateManager::new(config.release_timeout),
            executed: ExecutedRequests::default(),
            response_memory: MemoryBudget::new(config.capacity.response_bytes),
            watch: DiscoveryWatch::new(config.discovery),
            config,
            client_turns: ClientTurns::default(),
            deferred: DeferredEvents::default(),
            stale_since: None,
            is_discovery_synced: false,
            started_at: now,
            now,
            is_shutting_down: false,
            is_grace_over: false,
        }
    }

    /// Returns the lifecycle, and the transport that carries out what it decides.
    pub fn lifecycle<'a>(
        &'a mut self,
        now: Micros,
        effects: &'a mut Effects,
    ) -> (&'a mut RequestLifecycle<RequestContext>, Egress<'a>) {
        let egress = Egress {
            config: &self.config,
            clients: &mut self.clients,
            workers: &mut self.workers,
            reserved_state: &mut self.reserved_state,
            executed: &mut self.executed,
            watch: &mut self.watch,
            deferred: &mut self.deferred,
            is_shutting_down: self.is_shutting_down,
            now,
            effects,
        };
        (&mut self.lifecycle, egress)
    }

    /// Returns the transport alone.
    pub fn egress<'a>(&'a mut self, now: Micros, effects: &'a mut Effects) -> Egress<'a> {
        self.lifecycle(now, effects).1
    }

    /// Returns the manager of reserved state and the context for a call to it.
    pub fn reserved_state<'a>(
        &'a mut self,
        now: Micros,
        effects: &'a mut Effects,
    ) -> (&'a mut ReservedStateManager, Context<'a, WorkerPool>) {
        (&mut self.reserved_state, Context { now, workers: &mut self.workers, effects })
    }

    /// Returns whether the router can serve: it knows workers from discovery or, after [`DISCOVERY_WAIT`] without an
    /// update, from its configuration.
    pub fn is_ready(&self) -> bool {
        let has_workers = self.workers.workers().next().is_some();
        let is_list_current = self.is_discovery_synced || self.now >= self.started_at + DISCOVERY_WAIT;
        !self.is_shutting_down && has_workers && is_list_current
    }

    /// Tells the lifecycle how an attempt ended.
    pub fn finish_attempt(&mut self, now: Micros, ended: AttemptEnded, effects: &mut Effects) {
        let (lifecycle, mut egress) = self.lifecycle(now, effects);
        lifecycle.finish_attempt(now, ended.id, ended.number, ended.outcome, &mut egress);
    }

    /// Logs, at debug level, the attempts in flight at each worker by the lifecycle and by the connections. Between
    /// events the two are equal; a difference is a bug.
    pub fn log_statistics(&mut self, now: Micros, effects: &mut Effects) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let expected = self.attempts_by_worker();
        let pool = self.workers.statistics();
        tracing::debug!(
            open_requests = self.lifecycle.requests.len(),
            clients = self.clients.len(),
            receiving_bytes = self.clients.receiving_bytes(),
            request_bytes = self.clients.request_bytes(),
            connections = pool.connections,
            idle_connections = pool.idle,
            workers = self.workers.workers().count(),
            attempts = ?pool.attempts,
            "statistics"
        );
        if expected != pool.attempts {
            tracing::debug!(?expected, attempts = ?pool.attempts, "attempt counts of the lifecycle and of connections differ");
        }
        TimerKey::Statistics.set(now + STATISTICS_INTERVAL, effects);
    }

    /// Returns the number of attempts in flight at each worker, according to the lifecycle.
    fn attempts_by_worker(&self) -> BTreeMap<WorkerId, usize> {
        let mut attempts = BTreeMap::new();
        for (_, request) in self.lifecycle.requests.iter() {
            if let Some(attempt) = &request.attempt {
                *attempts.entry(attempt.worker).or_default() += 1;
            }
        }
        attempts
    }
}
