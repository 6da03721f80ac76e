//! Connections to workers. Each carries one call at a time; one whose call ended well is kept idle for the next, and is
//! closed long before its worker would close it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{Address, Micros};

use crate::timers::TimerKey;
use crate::worker_connection::{Call, WorkerConnection};

mod attempts;
mod idle_connections;

use idle_connections::{IdleConnections, TakenIdle};

/// Microseconds after which a worker that says nothing is taken for gone, and not only to hang.
const HANG_TIMEOUT: Micros = 20_000_000;
/// The same during shutdown, which leaves little more.
const HANG_TIMEOUT_AT_SHUTDOWN: Micros = 3_500_000;
/// Microseconds for which a connection whose stream has ended takes no other call: a second response may come some
/// milliseconds behind the first, and would pass for the next call's.
const LATE_RESPONSE_WINDOW: Micros = 30_000;
/// Reservation calls that wait for a slow worker take one in so many of all connections at most.
const LATE_RESERVATIONS_DIVISOR: usize = 8;

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct Dispatched {
    connection: ConnectionId,
    at: Micros,
}

/// What connections carry, in numbers.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PoolStatistics {
    /// Attempts out at each worker.
    pub attempts: BTreeMap<WorkerId, usize>,
    /// Connections, with those being dialled.
    pub connections: usize,
    /// Idle ones among them.
    pub idle: usize,
}

/// All connections to workers.
#[derive(Default)]
pub struct WorkerPool {
    connections: BTreeMap<ConnectionId, WorkerConnection>,
    idle: IdleConnections,
    /// The attempt that is out for each request.
    attempts: HashMap<RequestId, Dispatched>,
    /// When bytes last came from each worker.
    last_seen: HashMap<WorkerId, Micros>,
    /// Where each listed worker is reached.
    addresses: BTreeMap<WorkerId, Address>,
    /// Listed workers that take nothing new.
    draining: BTreeSet<WorkerId>,
    health_checks: HashMap<WorkerId, ConnectionId>,
    max_connections: usize,
    connect_timeout: Micros,
    hang_timeout: Micros,
    /// Reservation calls that workers are slow to answer, the oldest first.
    late_reservations: VecDeque<ConnectionId>,
}

impl WorkerPool {
    /// An empty pool of at most so many connections; how long dialling may take, and how long a connection may be idle.
    pub fn new(max_connections: usize, connect_timeout: Micros, idle_timeout: Micros) -> WorkerPool {
        WorkerPool {
            max_connections,
            connect_timeout,
            idle: IdleConnections::new(idle_timeout),
            hang_timeout: HANG_TIMEOUT,
            ..WorkerPool::default()
        }
    }

    /// A worker that says nothing for so long is taken for gone.
    pub fn hang_timeout(&self) -> Micros {
        self.hang_timeout
    }

    /// A connection to change, if it is there.
    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut WorkerConnection> {
        self.connections.get_mut(&connection)
    }

    /// Whether the call on a connection has been written; none if the connection is not there.
    pub fn is_written(&self, connection: ConnectionId) -> Option<bool> {
        self.connections.get(&connection).map(|connection| connection.is_written)
    }

    /// What the connections carry now.
    pub fn statistics(&self) -> PoolStatistics {
        let mut attempts = BTreeMap::new();
        for connection in self.connections.values() {
            if matches!(connection.call, Some(Call::Attempt { .. })) {
                *attempts.entry(connection.worker).or_default() += 1;
            }
        }
        PoolStatistics { attempts, connections: self.connections.len(), idle: self.idle.len() }
    }

    /// Bytes have come from the worker on that connection.
    pub fn on_data(&mut self, now: Micros, connection: ConnectionId) -> Option<&mut WorkerConnection> {
        let connection = self.connections.get_mut(&connection)?;
        connection.last_received_at = now;
        self.last_seen.insert(connection.worker, now);
        Some(connection)
    }

    /// Whether bytes have come from a worker at that time or later.
    pub fn seen_since(&self, worker: WorkerId, time: Micros) -> bool {
        self.last_seen.get(&worker).is_some_and(|seen| *seen >= time)
    }

    /// Listed workers, the one that was seen last first.
    pub fn workers_by_last_seen(&self) -> Vec<WorkerId> {
        let mut workers: Vec<_> = self.workers().collect();
        workers.sort_by_key(|worker| std::cmp::Reverse(self.last_seen.get(worker).copied()));
        workers
    }

    /// A worker is listed. Connections that can't serve any more are returned: those that led to a process which
    /// another one has replaced, idle ones to another address, and, if the worker drains, those being dialled for new
    /// work, whose first byte might leave after its grace period.
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
            let is_idle_elsewhere = connection.call.is_none() && connection.to != address;
            let is_late_for_drain = !is_serving && !connection.is_connected && connection.is_new_work();
            is_replaced || is_idle_elsewhere || is_late_for_drain
        };
        self.connections
            .iter()
            .filter(|(_, connection)| connection.worker == worker && is_unusable(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Connections that are being dialled for new work to workers that are no longer listed.
    pub fn dialling_unlisted_workers(&self) -> Vec<ConnectionId> {
        let is_affected = |connection: &WorkerConnection| {
            !connection.is_connected
                && connection.is_new_work()
                && !self.addresses.contains_key(&connection.worker)
        };
        let affected = self.connections.iter().filter(|(_, connection)| is_affected(connection));
        affected.map(|(id, _)| *id).collect()
    }

    /// A worker is removed from the list: nothing new reaches it, and its idle connections are closed.
    pub fn worker_removed(&mut self, worker: WorkerId, effects: &mut Effects) {
        self.addresses.remove(&worker);
        self.draining.remove(&worker);
        self.last_seen.remove(&worker);
        for connection in self.idle.take_all(worker) {
            self.abort(connection, effects);
        }
    }

    /// A full snapshot of the list begins: workers that it does not name are unlisted.
    pub fn unlist_all(&mut self) {
        self.addresses.clear();
    }

    /// Whether new work may go to a worker.
    pub fn is_serving(&self, worker: WorkerId) -> bool {
        self.addresses.contains_key(&worker) && !self.draining.contains(&worker)
    }

    /// Where a worker is reached, if it is listed.
    pub fn address(&self, worker: WorkerId) -> Option<Address> {
        self.addresses.get(&worker).copied()
    }

    /// Listed workers, in an order that is the same each time.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.addresses.keys().copied()
    }

    /// Nobody waits for the health check of a worker any more.
    pub fn cancel_health_check(&mut self, worker: WorkerId, effects: &mut Effects) {
        let Some(id) = self.health_checks.remove(&worker) else { return };
        let Some(connection) = self.connections.get(&id) else { return };
        if matches!(connection.call, Some(Call::HealthCheck { .. })) {
            self.abort(id, effects);
        }
    }

    /// A connection broke under its call, after it had been idle for so long before it.
    pub fn broke_after_idle(&mut self, now: Micros, idle_time: Micros) {
        self.idle.broke_after(now, idle_time);
    }

    /// A reservation call has not been answered in time. Its worker may hang and grant it later, so it is waited for
    /// still; returned is the call to give up: this one after a second timeout, or the one that has waited for longest
    /// where so many wait that other calls would lack connections.
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

    /// The router shuts down: workers that hang are waited for no longer than that allows.
    pub fn begin_shutdown(&mut self, now: Micros, effects: &mut Effects) {
        self.hang_timeout = HANG_TIMEOUT_AT_SHUTDOWN;
        let expires_at = now + HANG_TIMEOUT_AT_SHUTDOWN;
        for late in &self.late_reservations {
            if let Some(connection) = self.connections.get_mut(late) {
                connection.timeout.set(expires_at, TimerKey::Worker(*late), effects);
            }
        }
    }

    /// Begins a call and sends it. None if the worker is not listed, or no connection is left for it.
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

    /// Takes a connection for a call whose bytes are still to be sent. Those of an attempt are sent once the
    /// connection is established, for they say how much time is left.
    pub fn begin_call(
        &mut self,
        now: Micros,
        worker: WorkerId,
        call: Call,
        effects: &mut Effects,
    ) -> Option<ConnectionId> {
        // Whether a request has run on an old connection that breaks is never known. One that must not run twice goes
        // on a new connection.
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
                self.attempts.insert(request, Dispatched { connection: id, at: now });
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

    /// The call on a connection has ended with a complete response. The connection is kept idle, unless it must not be
    /// used again.
    pub fn call_finished(&mut self, now: Micros, id: ConnectionId, effects: &mut Effects) -> Option<Call> {
        let connection = self.connections.get_mut(&id)?;
        let call = connection.call.take();
        let response = connection.response.take();
        connection.buffered = BytesMut::new();
        let is_unlisted = !self.addresses.contains_key(&connection.worker);
        let closes = response.is_none_or(|response| response.closes_connection);
        // Bytes behind the response were not asked for; those of a call that was answered early may still leave.
        if is_unlisted || closes || !connection.received.is_empty() || !connection.is_written {
            self.abort(id, effects);
            return call;
        }
        connection.received = BytesMut::new();
        connection.idle_since = now;
        connection.timeout.set(now + self.idle.idle_timeout(), TimerKey::Worker(id), effects);
        let reusable_at = if connection.is_streaming { now + LATE_RESPONSE_WINDOW } else { now };
        self.idle.insert(now, connection.worker, id, reusable_at);
        call
    }

    /// Ends a connection at once, whatever it is used for.
    pub fn abort(&mut self, connection: ConnectionId, effects: &mut Effects) {
        if self.remove(connection).is_some() {
            effects.abort(connection);
        }
    }

    /// Removes a connection that is gone.
    pub fn remove(&mut self, id: ConnectionId) -> Option<WorkerConnection> {
        let connection = self.connections.remove(&id)?;
        self.idle.remove(connection.worker, id, connection.idle_since);
        Some(connection)
    }
}
