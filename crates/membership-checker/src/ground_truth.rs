//! What happened to each router, and what each router observed.

use std::collections::HashMap;

use tideroute_wire::Micros;

use crate::capture_header::{ClusterMembers, Partition};
use crate::violation::ViolationKind;

/// One run of a router, from its start to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub from: Micros,
    /// `Micros::MAX` while it runs.
    pub until: Micros,
    /// Whether it exited gracefully by itself.
    pub exited: bool,
}

/// A time in which a router was paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    pub from: Micros,
    /// `Micros::MAX` while it lasts.
    pub until: Micros,
}

/// The status of a router as another router observed it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ObservedStatus {
    /// A member of the cluster: alive or suspected.
    Member,
    Dead,
    Left,
}

/// The status that a router assigned to another one from a time on. Routers are given by their index in
/// `GroundTruth::names`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub at: Micros,
    pub viewer: usize,
    pub member: usize,
    pub status: ObservedStatus,
}

/// What happened to each router, by its index in `names`, and what each router observed.
pub(crate) struct GroundTruth {
    pub names: Vec<String>,
    index_by_name: HashMap<String, usize>,
    pub runs: Vec<Vec<Run>>,
    pub pauses: Vec<Vec<Pause>>,
    pub partitions: Vec<Partition>,
    pub observations: Vec<Observation>,
}

impl GroundTruth {
    pub fn new(cluster: &ClusterMembers) -> GroundTruth {
        let names = cluster.names.clone();
        GroundTruth {
            index_by_name: names.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect(),
            runs: vec![vec![]; names.len()],
            pauses: vec![vec![]; names.len()],
            partitions: cluster.partitions.clone(),
            observations: vec![],
            names,
        }
    }

    pub fn index(&self, name: &str) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    pub fn started(&mut self, member: usize, at: Micros) {
        self.runs[member].push(Run { from: at, until: Micros::MAX, exited: false });
    }

    /// Records that a router was killed, or that it exited by itself.
    pub fn ended(&mut self, member: usize, at: Micros, exited: bool) {
        if let Some(run) = self.runs[member].last_mut().filter(|run| run.until == Micros::MAX) {
            run.until = at;
            run.exited = exited;
        }
        self.resumed(member, at);
    }

    pub fn paused(&mut self, member: usize, at: Micros) {
        self.pauses[member].push(Pause { from: at, until: Micros::MAX });
    }

    pub fn resumed(&mut self, member: usize, at: Micros) {
        if let Some(pause) = self.pauses[member].last_mut().filter(|pause| pause.until == Micros::MAX) {
            pause.until = at;
        }
    }

    /// Records an observation in the form that routers write: status, incarnation and name, separated by spaces.
    pub fn observed(&mut self, viewer: usize, at: Micros, observation: &[u8]) -> Result<(), ViolationKind> {
        let text = String::from_utf8_lossy(observation);
        let mut parts = text.splitn(3, ' ');
        let status = parts.next().unwrap_or("");
        let name = parts.nth(1).unwrap_or("");
        let viewer_name = || self.names[viewer].clone();
        let status = match status {
            "there" | "suspected" => ObservedStatus::Member,
            "dead" => ObservedStatus::Dead,
            "left" => ObservedStatus::Left,
            _ => {
                let text = text.into_owned();
                return Err(ViolationKind::MalformedObservation { viewer: viewer_name(), text });
            }
        };
        let Some(member) = self.index(name) else {
            return Err(ViolationKind::UnknownMember { viewer: viewer_name(), member: name.to_string() });
        };
        self.observations.push(Observation { at, viewer, member, status });
        Ok(())
    }

    /// Returns the run of a router at a time; `None` if it is down.
    pub fn run_at(&self, member: usize, at: Micros) -> Option<&Run> {
        self.runs[member].iter().find(|run| run.from <= at && at < run.until)
    }

    /// Returns whether a router is up all the time between two times, in a single run.
    pub fn is_up_throughout(&self, member: usize, from: Micros, until: Micros) -> bool {
        self.run_at(member, from).is_some_and(|run| run.until > until)
    }

    /// Returns since when a router has been down; `None` if it is up or was never up.
    pub fn down_since(&self, member: usize, at: Micros) -> Option<Micros> {
        let last = self.runs[member].iter().rev().find(|run| run.from <= at)?;
        (last.until <= at).then_some(last.until)
    }

    /// Returns whether a router is paused at some time between `from` and `until`, in a pause that has lasted longer
    /// than `min_length` by `until`.
    pub fn is_paused_within(&self, member: usize, from: Micros, until: Micros, min_length: Micros) -> bool {
        self.pauses[member].iter().any(|pause| {
            let is_within = pause.from <= until && pause.until >= from;
            is_within && pause.until.min(until) - pause.from > min_length
        })
    }

    /// Returns whether a router is on a side of a partition at some time between `from` and `until`.
    pub fn is_partitioned_within(&self, member: usize, from: Micros, until: Micros) -> bool {
        let name = &self.names[member];
        let concerns =
            |partition: &Partition| partition.side.contains(name) || partition.other_side.contains(name);
        self.partitions.iter().any(|partition| concerns(partition) && overlaps(partition, from, until))
    }

    /// Returns whether there is any partition at some time between `from` and `until`.
    pub fn has_partition_within(&self, from: Micros, until: Micros) -> bool {
        self.partitions.iter().any(|partition| overlaps(partition, from, until))
    }
}

fn overlaps(partition: &Partition, from: Micros, until: Micros) -> bool {
    partition.from <= until && partition.until >= from
}
