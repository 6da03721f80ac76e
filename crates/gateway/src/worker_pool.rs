//! Connections to workers. Each carries one call at a time; one whose call ended well rests until the next, and is
//! put away long before its worker would.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{Address, Micros};

use crate::timers::TimerKey;
use crate::worker_connection::{Conn, Job};

/// Microseconds after which a worker that says nothing is taken for gone, and not only to hang.
const HANGS: Micros = 20_000_000;
/// The same after a signal to end, which leaves little more.
const HANGS_AT_END: Micros = 3_500_000;
/// Microseconds for which a connection whose stream has ended takes no other call: a second answer may come some
/// milliseconds behind the first, and would pass for the next call's.
const SETTLES: Micros = 30_000;
/// Calls for places that are long in being answered take this part of all connections at most.
const LATE_PART: usize = 8;

#[derive(Default)]
pub struct Pools {
    conns: BTreeMap<ConnectionId, Conn>,
    resting: BTreeMap<WorkerId, Vec<ConnectionId>>,
    /// Resting connections of all workers, the longest rest first.
    rests: BTreeSet<(Micros, ConnectionId)>,
    /// The connection that each request's attempt is out on, and since when.
    attempts: HashMap<RequestId, (ConnectionId, Micros)>,
    /// When each worker was last heard.
    heard: HashMap<WorkerId, Micros>,
    places: BTreeMap<WorkerId, Address>,
    /// Those of them that take nothing new.
    drains: BTreeSet<WorkerId>,
    probes: HashMap<WorkerId, ConnectionId>,
    most: usize,
    dial: Micros,
    idle: Micros,
    /// A worker that says nothing for so long is taken for gone.
    pub hangs: Micros,
    /// Calls for places that workers are long in answering, the oldest first.
    late: VecDeque<ConnectionId>,
    /// Connections that have rested longer are not trusted, since when; none after `idle` of that.
    doubt: Option<(Micros, Micros)>,
}

impl Pools {
    /// At most so many connections; how long a dial may take, and how long a connection rests.
    pub fn new(most: usize, dial: Micros, idle: Micros) -> Pools {
        Pools { most, dial, idle, hangs: HANGS, ..Pools::default() }
    }

    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut Conn> {
        self.conns.get_mut(&connection)
    }

    /// The connection that a submission's shot is out on.
    pub fn attempt_connection(&self, id: RequestId) -> Option<ConnectionId> {
        self.attempts.get(&id).map(|(connection, _)| *connection)
    }

    /// How many shots are out on connections to each worker, and how many connections there are and rest.
    pub fn carried(&self) -> (BTreeMap<WorkerId, usize>, usize, usize) {
        let mut attempts = BTreeMap::new();
        for conn in self.conns.values().filter(|c| matches!(c.job, Some(Job::Attempt { .. }))) {
            *attempts.entry(conn.worker).or_default() += 1;
        }
        (attempts, self.conns.len(), self.rests.len())
    }

    /// Whether a submission's shot has a connection that is there.
    pub fn attempt_is_connected(&self, id: RequestId) -> bool {
        self.attempt_connection(id)
            .and_then(|connection| self.conns.get(&connection))
            .is_some_and(|conn| conn.up)
    }

    /// Whether a submission's attempt to be read has left.
    pub fn reads(&self, id: RequestId) -> bool {
        self.attempt(id).is_some_and(|(conn, reading)| reading && conn.written)
    }

    /// The worker that reads it.
    pub fn reader(&self, id: RequestId) -> Option<WorkerId> {
        self.attempt(id).filter(|(_, reading)| *reading).map(|(conn, _)| conn.worker)
    }

    /// Whether it is out to be answered.
    pub fn writes(&self, id: RequestId) -> bool {
        self.attempt(id).is_some_and(|(_, reading)| !reading)
    }

    fn attempt(&self, id: RequestId) -> Option<(&Conn, bool)> {
        let conn = self.conns.get(&self.attempt_connection(id)?)?;
        match conn.job {
            Some(Job::Attempt { reading, .. }) => Some((conn, reading)),
            _ => None,
        }
    }

    /// When the worker of a submission's attempt was last heard, on connections that were there before the attempt, 0 if
    /// it never was: a process that has started since would be heard on later ones only.
    pub fn reader_heard(&self, id: RequestId) -> Micros {
        let (Some((_, sent)), Some((attempt, _))) = (self.attempts.get(&id), self.attempt(id)) else {
            return 0;
        };
        let before = self.conns.values().filter(|c| c.worker == attempt.worker && c.opened <= *sent);
        before.map(|c| c.heard).max().unwrap_or(0)
    }

    /// A submission's attempt is over: when it went out, if it did.
    pub fn over(&mut self, id: RequestId) -> Option<Micros> {
        self.attempts.remove(&id).map(|(_, sent)| sent)
    }

    /// Bytes have come from the worker on that connection.
    pub fn hears(&mut self, now: Micros, connection: ConnectionId) -> Option<&mut Conn> {
        let conn = self.conns.get_mut(&connection)?;
        conn.heard = now;
        self.heard.insert(conn.worker, now);
        Some(conn)
    }

    /// Whether a worker was heard at that time or later.
    pub fn heard_since(&self, worker: WorkerId, time: Micros) -> bool {
        self.heard.get(&worker).is_some_and(|heard| *heard >= time)
    }

    /// Workers that are not gone, the one that was heard last first.
    pub fn heard_last(&self) -> impl Iterator<Item = WorkerId> {
        let mut workers: Vec<_> = self.workers().collect();
        workers.sort_by_key(|w| std::cmp::Reverse(self.heard.get(w).copied()));
        workers.into_iter()
    }

    /// Where a worker is reached. Connections that can't serve any more come back: those that led to a process which
    /// its present one has replaced, those that rest where it no longer is, and, to one that takes nothing new, those
    /// under way with what is new: their first byte might leave after its grace.
    pub fn listed(
        &mut self,
        worker: WorkerId,
        at: Address,
        replaces_until: Option<Micros>,
        takes: bool,
    ) -> Vec<ConnectionId> {
        self.places.insert(worker, at);
        if takes {
            self.drains.remove(&worker);
        } else {
            self.drains.insert(worker);
        }
        let dead = |c: &Conn| {
            replaces_until.is_some_and(|until| c.opened < until)
                || c.job.is_none() && c.to != at
                || !takes && !c.up && c.brings_new()
        };
        self.conns
            .iter()
            .filter(|(_, c)| c.worker == worker && dead(c))
            .map(|(connection, _)| *connection)
            .collect()
    }

    /// Connections under way, with what is new, to workers that are gone.
    pub fn under_way_to_none(&self) -> Vec<ConnectionId> {
        let lost = |c: &Conn| !c.up && c.brings_new() && !self.places.contains_key(&c.worker);
        self.conns.iter().filter(|(_, c)| lost(c)).map(|(connection, _)| *connection).collect()
    }

    /// A worker is gone: nothing new reaches it, and what rests there is put away.
    pub fn gone(&mut self, worker: WorkerId, effects: &mut Effects) {
        self.places.remove(&worker);
        self.drains.remove(&worker);
        self.heard.remove(&worker);
        for connection in self.resting.remove(&worker).unwrap_or_default() {
            self.end(connection, effects);
        }
    }

    /// A whole list that may not name the worker any more begins.
    pub fn unlist(&mut self, worker: WorkerId) {
        self.places.remove(&worker);
    }

    /// Whether something new may go to a worker.
    pub fn takes(&self, worker: WorkerId) -> bool {
        self.places.contains_key(&worker) && !self.drains.contains(&worker)
    }

    pub fn address(&self, worker: WorkerId) -> Option<Address> {
        self.places.get(&worker).copied()
    }

    /// Workers that are not gone, in an order that is the same each time.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.places.keys().copied()
    }

    /// Nobody waits for the probe of a worker any more.
    pub fn end_probe(&mut self, worker: WorkerId, effects: &mut Effects) {
        let Some(connection) = self.probes.remove(&worker) else { return };
        if self.conns.get(&connection).is_some_and(|c| matches!(c.job, Some(Job::Probe { .. }))) {
            self.end(connection, effects);
        }
    }

    /// A connection that had rested so long broke under its next call with no byte of an answer: something on
    /// the way forgets connections sooner than the workers say. Half of that is trusted until it is old news.
    pub fn broke_after(&mut self, now: Micros, rested: Micros) {
        let trusted = self.trusted(now);
        if rested / 2 <= trusted {
            self.doubt = Some((rested / 2, now));
        }
    }

    fn trusted(&self, now: Micros) -> Micros {
        self.doubt.filter(|(_, since)| now < since + self.idle).map_or(self.idle, |(rest, _)| rest)
    }

    /// A call for a place has not been answered in time. Its worker may hang and grant it later, so it is waited for;
    /// the call that has waited longest comes back where so many wait that others would lack the connections.
    pub fn is_late(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        effects: &mut Effects,
    ) -> Option<ConnectionId> {
        if self.late.contains(&connection) {
            self.late.retain(|l| *l != connection);
            return Some(connection);
        }
        self.late.retain(|l| self.conns.get(l).is_some_and(|c| matches!(c.job, Some(Job::Place { .. }))));
        self.late.push_back(connection);
        let until = now + self.hangs;
        self.get_mut(connection)?.timeout.set(until, TimerKey::Worker(connection), effects);
        if self.late.len() > self.most / LATE_PART {
            self.late.pop_front()
        } else {
            None
        }
    }

    /// The router is to end: workers that hang are waited for no longer than that allows.
    pub fn ends(&mut self, now: Micros, effects: &mut Effects) {
        self.hangs = HANGS_AT_END;
        for &connection in &self.late {
            if let Some(conn) = self.conns.get_mut(&connection) {
                conn.timeout.set(now + HANGS_AT_END, TimerKey::Worker(connection), effects);
            }
        }
    }

    /// Takes the connection to a worker that rested last, if it can be trusted.
    fn rested(&mut self, now: Micros, worker: WorkerId, effects: &mut Effects) -> Option<ConnectionId> {
        let connections = self.resting.get_mut(&worker)?;
        let settled =
            |connection: &ConnectionId| self.conns.get(connection).is_some_and(|conn| conn.settled_by <= now);
        let connection = connections.remove(connections.iter().rposition(settled)?);
        let since = self.conns.get(&connection)?.rests_since;
        if now.saturating_sub(since) <= self.trusted(now) {
            return Some(connection);
        }
        // Those below it have rested longer still.
        let others = self.resting.remove(&worker).unwrap_or_default();
        others.into_iter().chain([connection]).for_each(|connection| self.end(connection, effects));
        None
    }

    /// Begins a call. None if there is no way to the worker, or no descriptor left for one.
    pub fn call(
        &mut self,
        now: Micros,
        worker: WorkerId,
        job: Job,
        bytes: Bytes,
        effects: &mut Effects,
    ) -> Option<ConnectionId> {
        let connection = self.begin(now, worker, job, effects)?;
        effects.send(connection, bytes);
        Some(connection)
    }

    /// Takes a connection for a call whose bytes are still to be sent: an attempt's once it is up, for they tell how
    /// long there is.
    pub fn begin(
        &mut self,
        now: Micros,
        worker: WorkerId,
        job: Job,
        effects: &mut Effects,
    ) -> Option<ConnectionId> {
        // Whether a request on an old connection that breaks has run is never known. One that may run but once
        // goes on a new one.
        let fresh = matches!(job, Job::Attempt { once: true, .. });
        let rested = if fresh { None } else { self.rested(now, worker, effects) };
        let connection = match rested {
            Some(connection) => connection,
            None => self.dial(now, worker, effects)?,
        };
        let leaves_by = now + self.dial;
        let conn = self.conns.get_mut(&connection)?;
        self.rests.remove(&(conn.rests_since, connection));
        (conn.job, conn.written, conn.used) = (Some(job), false, rested.is_some());
        conn.rested = if conn.used { now - conn.rests_since } else { 0 };
        (conn.place, conn.streams, conn.heads) = (None, false, 0);
        conn.leaves_by = leaves_by;
        conn.timeout.clear();
        if let Job::Attempt { id, .. } = job {
            conn.timeout.set(leaves_by, TimerKey::Worker(connection), effects);
            self.attempts.insert(id, (connection, now));
        }
        if let Job::Probe { .. } = job {
            self.probes.insert(worker, connection);
        }
        Some(connection)
    }

    fn dial(&mut self, now: Micros, worker: WorkerId, effects: &mut Effects) -> Option<ConnectionId> {
        let at = self.address(worker)?;
        if self.conns.len() >= self.most {
            let (_, oldest) = *self.rests.first()?;
            self.end(oldest, effects);
        }
        let connection = effects.connect(at, self.dial);
        self.conns.insert(connection, Conn::new(worker, at, now));
        Some(connection)
    }

    /// The call is over. The connection rests, unless it must not be used again.
    pub fn ended(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) -> Option<Job> {
        let conn = self.conns.get_mut(&connection)?;
        let job = conn.job.take();
        let coming = conn.coming.take();
        conn.first = BytesMut::new();
        let gone = !self.places.contains_key(&conn.worker);
        // Bytes behind the answer were not asked for; those of a request that was answered early may still leave.
        if gone || coming.is_none_or(|c| c.last) || !conn.arrived.is_empty() || !conn.written {
            self.end(connection, effects);
        } else {
            conn.arrived = BytesMut::new();
            conn.rests_since = now;
            conn.settled_by = if conn.streams { now + SETTLES } else { now };
            conn.timeout.set(now + self.idle, TimerKey::Worker(connection), effects);
            self.rests.insert((now, connection));
            self.resting.entry(conn.worker).or_default().push(connection);
        }
        job
    }

    /// Ends a connection at once, whatever it is at.
    pub fn end(&mut self, connection: ConnectionId, effects: &mut Effects) {
        if self.lose(connection).is_some() {
            effects.abort(connection);
        }
    }

    /// The connection is gone.
    pub fn lose(&mut self, connection: ConnectionId) -> Option<Conn> {
        let conn = self.conns.remove(&connection)?;
        if self.rests.remove(&(conn.rests_since, connection)) {
            if let Some(connections) = self.resting.get_mut(&conn.worker) {
                connections.retain(|l| *l != connection);
                if connections.is_empty() {
                    self.resting.remove(&conn.worker);
                }
            }
        }
        Some(conn)
    }
}
