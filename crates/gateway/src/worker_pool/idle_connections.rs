//! Connections to workers that carry no call and wait for the next one.

use std::collections::{BTreeMap, BTreeSet};

use tideroute::types::WorkerId;
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

/// An idle connection of one worker.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    connection: ConnectionId,
    since: Micros,
    /// Before that a late response to its last call might pass for one to the next.
    reusable_at: Micros,
}

/// What a worker's idle connections are good for.
#[derive(PartialEq, Eq, Debug)]
pub enum TakenIdle {
    /// There is none that can be used now.
    None,
    /// The most recently used one, since when it was idle.
    Reusable(ConnectionId),
    /// All have been idle for too long, and are to be closed in this order.
    Expired(Vec<ConnectionId>),
}

/// A connection broke after it had been idle: shorter idle times are trusted for a while.
#[derive(Clone, Copy, Debug)]
struct ReducedTrust {
    max_idle_time: Micros,
    since: Micros,
}

/// All idle connections.
#[derive(Default)]
pub struct IdleConnections {
    /// By worker, the most recently used one last.
    by_worker: BTreeMap<WorkerId, Vec<IdleConnection>>,
    /// Those of all workers, the longest idle first.
    by_age: BTreeSet<(Micros, ConnectionId)>,
    /// Idle connections are closed after this time.
    idle_timeout: Micros,
    reduced_trust: Option<ReducedTrust>,
}

impl IdleConnections {
    /// None yet; each may be idle for so long.
    pub fn new(idle_timeout: Micros) -> IdleConnections {
        IdleConnections { idle_timeout, ..IdleConnections::default() }
    }

    /// How long a connection may be idle.
    pub fn idle_timeout(&self) -> Micros {
        self.idle_timeout
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Of all workers' connections the one that has been idle for longest.
    pub fn oldest(&self) -> Option<ConnectionId> {
        self.by_age.first().map(|(_, connection)| *connection)
    }

    /// A connection becomes idle.
    pub fn insert(&mut self, now: Micros, worker: WorkerId, connection: ConnectionId, reusable_at: Micros) {
        let idle = IdleConnection { connection, since: now, reusable_at };
        self.by_age.insert((now, connection));
        self.by_worker.entry(worker).or_default().push(idle);
    }

    /// A connection that may be idle, since that time, has ended.
    pub fn remove(&mut self, worker: WorkerId, connection: ConnectionId, since: Micros) {
        if !self.by_age.remove(&(since, connection)) {
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
            self.by_age.remove(&(idle.since, idle.connection));
        }
        idle.into_iter().map(|idle| idle.connection).collect()
    }

    /// Takes the connection of a worker that was used last, if it can be trusted.
    pub fn take(&mut self, now: Micros, worker: WorkerId) -> TakenIdle {
        let max_idle_time = self.max_idle_time(now);
        let Some(idle) = self.by_worker.get_mut(&worker) else { return TakenIdle::None };
        let Some(place) = idle.iter().rposition(|idle| idle.reusable_at <= now) else {
            return TakenIdle::None;
        };
        let last = idle.remove(place);
        self.by_age.remove(&(last.since, last.connection));
        if now.saturating_sub(last.since) <= max_idle_time {
            return TakenIdle::Reusable(last.connection);
        }
        // The others have been idle for longer still.
        let mut expired = self.take_all(worker);
        expired.push(last.connection);
        TakenIdle::Expired(expired)
    }

    /// A connection broke under its next call after it had been idle for so long, with no byte of a response: something
    /// on the way forgets connections sooner than the workers say. Half of that time is trusted for a while.
    pub fn broke_after(&mut self, now: Micros, idle_time: Micros) {
        let max_idle_time = idle_time / 2;
        if max_idle_time <= self.max_idle_time(now) {
            self.reduced_trust = Some(ReducedTrust { max_idle_time, since: now });
        }
    }

    /// How long a connection may have been idle to be used again.
    fn max_idle_time(&self, now: Micros) -> Micros {
        match self.reduced_trust {
            Some(reduced) if now < reduced.since + self.idle_timeout => reduced.max_idle_time,
            _ => self.idle_timeout,
        }
    }
}
