//! The one connection that the host keeps to each worker, and what is out on it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

#[derive(Default)]
pub struct Line {
    pub connection: Option<ConnectionId>,
    /// The probe that has not been answered.
    pub probe: Option<u64>,
    pub attempts: BTreeSet<RequestId>,
    pub places: BTreeSet<RequestId>,
}

#[derive(Default)]
pub struct Lines {
    lines: BTreeMap<WorkerId, Line>,
    by_link: HashMap<ConnectionId, WorkerId>,
}

impl Lines {
    pub fn at(&mut self, worker: WorkerId) -> &mut Line {
        self.lines.entry(worker).or_default()
    }

    pub fn worker_of(&self, connection: ConnectionId) -> Option<WorkerId> {
        self.by_link.get(&connection).copied()
    }

    /// Sends to a worker, dialling and saying Hello first if there is no connection.
    pub fn send(
        &mut self,
        worker: WorkerId,
        hello: impl FnOnce() -> Bytes,
        within: Micros,
        frame: Bytes,
        effects: &mut Effects,
    ) {
        let line = self.lines.entry(worker).or_default();
        let connection = *line.connection.get_or_insert_with(|| {
            let connection = effects.connect(worker, within);
            effects.send(connection, hello());
            self.by_link.insert(connection, worker);
            connection
        });
        effects.send(connection, frame);
    }

    /// Sends only where a connection is: what a worker held for one that is gone went with it.
    pub fn send_if_there(&self, worker: WorkerId, frame: Bytes, effects: &mut Effects) {
        if let Some(connection) = self.lines.get(&worker).and_then(|l| l.connection) {
            effects.send(connection, frame);
        }
    }

    /// The connection has ended; what was out on it comes back.
    pub fn lose(&mut self, connection: ConnectionId) -> Option<(WorkerId, Line)> {
        let worker = self.by_link.remove(&connection)?;
        Some((worker, std::mem::take(self.at(worker))))
    }
}
