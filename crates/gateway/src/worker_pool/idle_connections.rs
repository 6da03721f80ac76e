//! Connections to workers that carry no call and wait for the next one.

use std::collections::{BTreeMap, BTreeSet};

use tideroute::types::WorkerId;
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

/// An idle connection of one worker.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    connection: ConnectionId,
    idle_since: Micros,
    /// Before this time, a late response to the last call could be taken for the next call's response.
    reusable_at: Micros,
}

/// The result of taking an idle connection of a worker.
#[derive(PartialEq, Eq, Debug)]
pub enum TakenIdle {
    /// No connection can be used now.
    None,
    /// The most recently used connection that may be reused.
    Reusable(ConnectionId),
    /// All connections have been idle for too long, and are to be closed in this order.
    Expired(Vec<ConnectionId>),
}

/// A shorter maximum idle time, applied for a while after a reused connection failed.
#[derive(Clone, Copy, Debug)]
struct ReducedTrust {
    max_idle_time: Micros,
    since: Micros,
}

/// All idle connections.
#[derive(Default)]
pub struct IdleConnections {
    /// The idle connections of each worker, the most recently used last.
    by_worker: BTreeMap<WorkerId, Vec<IdleConnection>>,
    /// The idle connections of all workers, the longest idle first.
    by_age: BTreeSet<(Micros, ConnectionId)>,
    /// Idle connections are closed after this time.
    idle_timeout: Micros,
    reduced_trust: Option<ReducedTrust>,
}

impl IdleConnections {
    /// Creates an empty collection, whose connections may be idle for `idle_timeout` microseconds.
    pub fn new(idle_timeout: Micros) -> IdleConnections {
        IdleConnections { idle_timeout, ..IdleConnections::default() }
    }

    /// Returns the microseconds that a connection may be idle.
    pub fn idle_timeout(&self) -> Micros {
        self.idle_timeout
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Returns the connection that has been idle for longest, among those of all workers.
    pub fn oldest(&self) -> Option<ConnectionId> {
        self.by_age.first().map(|(_, connection)| *connection)
    }

    /// Adds a connection that becomes idle now and may be reused from `reusable_at`.
    pub fn insert(&mut self, now: Micros, worker: WorkerId, connection: ConnectionId, reusable_at: Micros) {
        let idle = IdleConnection { connection, idle_since: now, reusable_at };
        self.by_age.insert((now, connection));
        self.by_worker.entry(worker).or_default().push(idle);
    }

    /// Removes a connection that has ended, if it was idle since `idle_since`.
    pub fn remove(&mut self, worker: WorkerId, connection: ConnectionId, idle_since: Micros) {
        if !self.by_age.remove(&(idle_since, connection)) {
            return;
        }
        let Some(idle) = self.by_worker.get_mut(&worker) else { return };
        idle.retain(|idle| idle.connection != connection);
        if idle.is_empty() {
            self.by_worker.remove(&worker);
        }
    }

    /// Takes all of a worker's idle connections, the longest idle first.
    pub fn take_all(&mut self, worker: WorkerId) -> Vec<ConnectionId> {
        let idle = self.by_worker.remove(&worker).unwrap_or_default();
        for idle in &idle {
            self.by_age.remove(&(idle.idle_since, idle.connection));
        }
        idle.into_iter().map(|idle| idle.connection).collect()
    }

    /// Takes the most recently used connection of a worker, if it has not been idle for too long.
    pub fn take(&mut self, now: Micros, worker: WorkerId) -> TakenIdle {
        let max_idle_time = self.max_idle_time(now);
        let Some(idle) = self.by_worker.get_mut(&worker) else { return TakenIdle::None };
        let Some(index) = idle.iter().rposition(|idle| idle.reusable_at <= now) else {
            return TakenIdle::None;
        };
        let last = idle.remove(index);
        self.by_age.remove(&(last.idle_since, last.connection));
        if now.saturating_sub(last.idle_since) <= max_idle_time {
            return TakenIdle::Reusable(last.connection);
        }
        // The others have been idle for longer still.
        let mut expired = self.take_all(worker);
        expired.push(last.connection);
        TakenIdle::Expired(expired)
    }

    /// Records that a reused connection failed without a byte of a response, after it had been idle for `idle_time`.
    /// Something on the network path then drops connections sooner than the workers do, so only half of that idle time
    /// is allowed for a while.
    pub fn failed_after(&mut self, now: Micros, idle_time: Micros) {
        let max_idle_time = idle_time / 2;
        if max_idle_time <= self.max_idle_time(now) {
            self.reduced_trust = Some(ReducedTrust { max_idle_time, since: now });
        }
    }

    /// Returns the longest idle time after which a connection may be reused.
    fn max_idle_time(&self, now: Micros) -> Micros {
        match self.reduced_trust {
            Some(reduced) if now < reduced.since + self.idle_timeout => reduced.max_idle_time,
            _ => self.idle_timeout,
        }
    }
}
