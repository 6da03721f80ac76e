//! Connections to workers. Each carries one call at a time. After a complete response it is kept idle for the next
//! call, and is closed long before its worker would close it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;
use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{Address, Micros};

use crate::timers::TimerKey;
use crate::worker_connection::{Call, WorkerConnection};

mod attempts;
mod idle_connections;

use idle_connections::{IdleConnections, TakenIdle};

/// Microseconds of silence after which a worker counts as gone rather than hung.
const HANG_TIMEOUT: Micros = 20_000_000;
/// The hang timeout during shutdown, which leaves little more time than this.
const HANG_TIMEOUT_AT_SHUTDOWN: Micros = 3_500_000;
/// Microseconds for which a connection whose stream has ended takes no other call. A second response may arrive some
/// milliseconds after the first, and would be taken for the next call's response.
const LATE_RESPONSE_WINDOW: Micros = 30_000;
/// Late reservation calls may occupy at most the maximum number of connections divided by this.
const LATE_RESERVATIONS_DIVISOR: usize = 8;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct DispatchedAttempt {
    connection: ConnectionId,
    dispatched_at: Micros,
}

/// Numbers of connections and of the attempts that they carry.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PoolStatistics {
    /// Attempts in flight at each worker.
    pub attempts: BTreeMap<WorkerId, usize>,
    /// All connections, including those being established.
    pub connections: usize,
    /// Idle connections among them.
    pub idle: usize,
}

/// All connections to workers.
#[derive(Default)]
pub struct WorkerPool {
    connections: BTreeMap<ConnectionId, WorkerConnection>,
    idle: IdleConnections,
    /// The attempt in flight for each request.
    attempts: HashMap<RequestId, DispatchedAttempt>,
    /// When bytes last arrived from each worker.
    last_seen: HashMap<WorkerId, Micros>,
    /// The address of each listed worker.
    addresses: BTreeMap<WorkerId, Address>,
    /// Listed workers that take no new work.
    draining: BTreeSet<WorkerId>,
    health_checks: HashMap<WorkerId, ConnectionId>,
    max_connections: usize,
    connect_timeout: Micros,
    hang_timeout: Micros,
    /// Reservation calls that workers are slow to answer, the oldest first.
    late_reservations: VecDeque<ConnectionId>,
}

impl WorkerPool {
    /// Creates an empty pool of at most `max_connections`; `connect_timeout` and `idle_timeout` are in microseconds.
    pub fn new(max_connections: usize, connect_timeout: Micros, idle_timeout: Micros) -> WorkerPool {
        WorkerPool {
            max_connections,
            connect_timeout,
            idle: IdleConnections::new(idle_timeout),
            hang_timeout: HANG_TIMEOUT,
            ..WorkerPool::default()
        }
    }

    /// Returns the microseconds of silence after which a worker counts as gone.
    pub fn hang_timeout(&self) -> Micros {
        self.hang_timeout
    }

    /// Returns a connection for modification, if it exists.
    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut WorkerConnection> {
        self.connections.get_mut(&connection)
    }

    /// Returns whether the call on a connection has been written; `None` if the connection does not exist.
    pub fn is_written(&self, connection: ConnectionId) -> Option<bool> {
        self.connections.get(&connection).map(|connection| connection.is_written)
    }

    /// Returns the current numbers of connections and attempts.
    pub fn statistics(&self) -> PoolStatistics {
        let mut attempts = BTreeMap::new();
        for connection in self.connections.values() {
            if matches!(connection.call, Some(Call::Attempt { .. })) {
                *attempts.entry(connection.worker).or_default() += 1;
            }
        }
        PoolStatistics { attempts, connections: self.connections.len(), idle: self.idle.len() }
    }

    /// Records that bytes have arrived on `connection`, and returns it.
    pub fn on_data(&mut self, now: Micros, connection: ConnectionId) -> Option<&mut WorkerConnection> {
        let connection = self.connections.get_mut(&connection)?;
        connection.last_received_at = now;
        self.last_seen.insert(connection.worker, now);
        Some(connection)
    }

    /// Returns whether bytes have arrived from a worker at `time` or later.
    pub fn seen_since(&self, worker: WorkerId, time: Micros) -> bool {
        self.last_seen.get(&worker).is_some_and(|seen| *seen >= time)
    }

    /// Returns the listed workers, the most recently seen first.
    pub fn workers_by_last_seen(&self) -> Vec<WorkerId> {
        let mut workers: Vec<_> = self.workers().collect();
        workers.sort_by_key(|worker| std::cmp::Reverse(self.last_seen.get(worker).copied()));
        workers
    }

    /// Records a worker of the endpoint list, and returns its connections that can no longer be used: those to a
    /// process that has been replaced, idle ones to another address, and, if the worker is draining, those being
    /// established for new work, whose first byte might be sent after the worker's grace period.
    pub fn worker_listed(
        &mut self,
        worker: WorkerId,
        address: Address,
        replaced_before: Option<Micros>,
        is_serving: bool,
    ) -> Vec<ConnectionId> {
        self.addresses.insert(worker, address);
        if is_serving {
            self.draining.remove(&worker);
        } else {
            self.draining.insert(worker);
        }
        let is_unusable = |connection: &WorkerConnection| {
            let is_replaced = replaced_before.is_some_and(|time| connection.opened_at < time);
            let is_idle_at_former_address = connection.call.is_none() && connection.address != address;
            let is_unsent_to_draining = !is_serving && !connection.is_connected && connection.is_new_work();
            is_replaced || is_idle_at_former_address || is_unsent_to_draining
        };
        self.connections
            .iter()
            .filter(|(_, connection)| connection.worker == worker && is_unusable(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the connections being established for new work to workers that are no longer listed.
    pub fn connecting_to_unlisted_workers(&self) -> Vec<ConnectionId> {
        let is_affected = |connection: &WorkerConnection| {
            !connection.is_connected
                && connection.is_new_work()
                && !self.addresses.contains_key(&connection.worker)
        };
        let affected = self.connections.iter().filter(|(_, connection)| is_affected(connection));
        affected.map(|(id, _)| *id).collect()
    }

    /// Removes a worker from the list: it gets no new calls, and its idle connections are closed.
    pub fn worker_removed(&mut self, worker: WorkerId, effects: &mut Effects) {
        self.addresses.remove(&worker);
        self.draining.remove(&worker);
        self.last_seen.remove(&worker);
        for connection in self.idle.take_all(worker) {
            self.abort(connection, effects);
        }
    }

    /// Unlists all workers at the start of a full snapshot, which then lists the workers that it names.
    pub fn unlist_all(&mut self) {
        self.addresses.clear();
    }

    /// Returns whether new work may be sent to a worker.
    pub fn is_serving(&self, worker: WorkerId) -> bool {
        self.addresses.contains_key(&worker) && !self.draining.contains(&worker)
    }

    /// Returns a worker's address, if the worker is listed.
    pub fn address(&self, worker: WorkerId) -> Option<Address> {
        self.addresses.get(&worker).copied()
    }

    /// Returns the listed workers in a deterministic order.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.addresses.keys().copied()
    }

    /// Cancels the health check of a worker, whose answer is no longer needed.
    pub fn cancel_health_check(&mut self, worker: WorkerId, effects: &mut Effects) {
        let Some(id) = self.health_checks.remove(&worker) else { return };
        let Some(connection) = self.connections.get(&id) else { return };
        if matches!(connection.call, Some(Call::HealthCheck { .. })) {
            self.abort(id, effects);
        }
    }

    /// Records that a connection failed during a call, after it had been idle for `idle_time` before that call.
    pub fn failed_after_idle(&mut self, now: Micros, idle_time: Micros) {
        self.idle.failed_after(now, idle_time);
    }

    /// Handles a reservation call that was not answered in time. Its worker may hang and grant the reservation later,
    /// so the call is kept. Returns a call to give up: this one after its second timeout, or the oldest late call if
    /// so many are late that other calls would lack connections.
    pub fn reservation_timed_out(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        effects: &mut Effects,
    ) -> Option<ConnectionId> {
        if self.late_reservations.contains(&connection) {
            self.late_reservations.retain(|late| *late != connection);
            return Some(connection);
        }
        let connections = &self.connections;
        self.late_reservations.retain(|late| {
            connections.get(late).is_some_and(|late| matches!(late.call, Some(Call::Reservation { .. })))
        });
        self.late_reservations.push_back(connection);
        let expires_at = now + self.hang_timeout;
        self.get_mut(connection)?.timeout.set(expires_at, TimerKey::Worker(connection), effects);
        if self.late_reservations.len() <= self.max_connections / LATE_RESERVATIONS_DIVISOR {
            return None;
        }
        self.late_reservations.pop_front()
    }

    /// Shortens the hang timeout to what the shutdown allows.
    pub fn begin_shutdown(&mut self, now: Micros, effects: &mut Effects) {
        self.hang_timeout = HANG_TIMEOUT_AT_SHUTDOWN;
        let expires_at = now + HANG_TIMEOUT_AT_SHUTDOWN;
        for late in &self.late_reservations {
            if let Some(connection) = self.connections.get_mut(late) {
                connection.timeout.set(expires_at, TimerKey::Worker(*late), effects);
            }
        }
    }

    /// Begins a call and sends it. `None` if the worker is not listed or no connection is available.
    pub fn send_call(
        &mut self,
        now: Micros,
        worker: WorkerId,
        call: Call,
        bytes: Bytes,
        effects: &mut Effects,
    ) -> Option<ConnectionId> {
        let connection = self.begin_call(now, worker, call, effects)?;
        effects.send(connection, bytes);
        Some(connection)
    }

    /// Assigns a connection to a call whose bytes the caller sends. The bytes of an attempt are sent once the
    /// connection is established, because they contain the remaining time.
    pub fn begin_call(
        &mut self,
        now: Micros,
        worker: WorkerId,
        call: Call,
        effects: &mut Effects,
    ) -> Option<ConnectionId> {
        // If a reused connection fails, it is unknown whether the request has run. A request that must not run twice
        // therefore uses a new connection.
        let needs_new = matches!(call, Call::Attempt { is_non_idempotent: true, .. });
        let reused = if needs_new { None } else { self.take_idle(now, worker, effects) };
        let id = match reused {
            Some(connection) => connection,
            None => self.connect(now, worker, effects)?,
        };
        let dispatch_deadline = now + self.connect_timeout;
        let connection = self.connections.get_mut(&id)?;
        connection.begin_call(now, call, reused.is_some(), dispatch_deadline);
        match call {
            Call::Attempt { id: request, .. } => {
                connection.timeout.set(dispatch_deadline, TimerKey::Worker(id), effects);
                self.attempts.insert(request, DispatchedAttempt { connection: id, dispatched_at: now });
            }
            Call::HealthCheck { .. } => {
                self.health_checks.insert(worker, id);
            }
            _ => {}
        }
        Some(id)
    }

    fn take_idle(&mut self, now: Micros, worker: WorkerId, effects: &mut Effects) -> Option<ConnectionId> {
        match self.idle.take(now, worker) {
            TakenIdle::None => None,
            TakenIdle::Reusable(connection) => Some(connection),
            TakenIdle::Expired(connections) => {
                for connection in connections {
                    self.abort(connection, effects);
                }
                None
            }
        }
    }

    fn connect(&mut self, now: Micros, worker: WorkerId, effects: &mut Effects) -> Option<ConnectionId> {
        let address = self.address(worker)?;
        if self.connections.len() >= self.max_connections {
            let oldest = self.idle.oldest()?;
            self.abort(oldest, effects);
        }
        let connection = effects.connect(address, self.connect_timeout);
        self.connections.insert(connection, WorkerConnection::new(worker, address, now));
        Some(connection)
    }

    /// Ends the call on a connection after a complete response. The connection is kept idle, unless it must not be
    /// used again.
    pub fn call_finished(&mut self, now: Micros, id: ConnectionId, effects: &mut Effects) -> Option<Call> {
        let connection = self.connections.get_mut(&id)?;
        let call = connection.call.take();
        let response = connection.response.take();
        connection.buffered.take();
        let is_unlisted = !self.addresses.contains_key(&connection.worker);
        let closes = response.is_none_or(|response| response.closes_connection);
        // Bytes after the response belong to no call. The bytes of a call that was answered early may still be written.
        if is_unlisted || closes || !connection.received.is_empty() || !connection.is_written {
            self.abort(id, effects);
            return call;
        }
        connection.free_received();
        connection.idle_since = now;
        connection.timeout.set(now + self.idle.idle_timeout(), TimerKey::Worker(id), effects);
        let reusable_at = if connection.is_streaming { now + LATE_RESPONSE_WINDOW } else { now };
        self.idle.insert(now, connection.worker, id, reusable_at);
        call
    }

    /// Aborts a connection at once, whatever it is used for.
    pub fn abort(&mut self, connection: ConnectionId, effects: &mut Effects) {
        if self.remove(connection).is_some() {
            effects.abort(connection);
        }
    }

    /// Removes a connection that has ended or is about to be aborted.
    pub fn remove(&mut self, id: ConnectionId) -> Option<WorkerConnection> {
        let connection = self.connections.remove(&id)?;
        self.idle.remove(connection.worker, id, connection.idle_since);
        Some(connection)
    }
}
