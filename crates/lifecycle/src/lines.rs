//! The one connection that the host keeps to each worker, and what is out on it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::link::{Link, Outbox};
use tideroute_wire::Micros;

#[derive(Default)]
pub struct Line {
    pub link: Option<Link>,
    /// The probe that has not been answered.
    pub probe: Option<u64>,
    pub attempts: BTreeSet<RequestId>,
    pub places: BTreeSet<RequestId>,
}

#[derive(Default)]
pub struct Lines {
    lines: BTreeMap<WorkerId, Line>,
    by_link: HashMap<Link, WorkerId>,
}

impl Lines {
    pub fn at(&mut self, worker: WorkerId) -> &mut Line {
        self.lines.entry(worker).or_default()
    }

    pub fn worker_of(&self, link: Link) -> Option<WorkerId> {
        self.by_link.get(&link).copied()
    }

    /// Sends to a worker, dialling and saying Hello first if there is no connection.
    pub fn send(
        &mut self,
        worker: WorkerId,
        hello: impl FnOnce() -> Bytes,
        within: Micros,
        frame: Bytes,
        out: &mut Outbox,
    ) {
        let line = self.lines.entry(worker).or_default();
        let link = *line.link.get_or_insert_with(|| {
            let link = out.dial(worker, within);
            out.send(link, hello());
            self.by_link.insert(link, worker);
            link
        });
        out.send(link, frame);
    }

    /// Sends only where a connection is: what a worker held for one that is gone went with it.
    pub fn send_if_there(&self, worker: WorkerId, frame: Bytes, out: &mut Outbox) {
        if let Some(link) = self.lines.get(&worker).and_then(|l| l.link) {
            out.send(link, frame);
        }
    }

    /// The connection has ended; what was out on it comes back.
    pub fn lose(&mut self, link: Link) -> Option<(WorkerId, Line)> {
        let worker = self.by_link.remove(&link)?;
        Some((worker, std::mem::take(self.at(worker))))
    }
}
