//! What happened to each router, and what each observed.

use std::collections::HashMap;

use tideroute_wire::Micros;

use crate::capture_header::{FleetMembers, Partition};
use crate::violation::ViolationKind;

/// One run of a router, from its start to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub from: Micros,
    /// `Micros::MAX` while it runs.
    pub until: Micros,
    /// It exited by itself, in order.
    pub exited: bool,
}

/// A time in which a router was paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    pub from: Micros,
    /// `Micros::MAX` while it lasts.
    pub until: Micros,
}

/// What a router takes another for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ObservedStatus {
    /// In the fleet: alive, or suspected.
    Member,
    Dead,
    Left,
}

/// What a router takes another for from a moment on. Routers are given by their index in `GroundTruth::names`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub at: Micros,
    pub viewer: usize,
    pub member: usize,
    pub status: ObservedStatus,
}

/// What happened to each router, by its index in `names`, and what each observed.
pub(crate) struct GroundTruth {
    pub names: Vec<String>,
    index_by_name: HashMap<String, usize>,
    pub runs: Vec<Vec<Run>>,
    pub pauses: Vec<Vec<Pause>>,
    pub partitions: Vec<Partition>,
    pub observations: Vec<Observation>,
}

impl GroundTruth {
    pub fn new(fleet: &FleetMembers) -> GroundTruth {
        let names = fleet.names.clone();
        GroundTruth {
            index_by_name: names.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect(),
            runs: vec![vec![]; names.len()],
            pauses: vec![vec![]; names.len()],
            partitions: fleet.partitions.clone(),
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

    /// A router was killed, or exited by itself.
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

    /// Takes an observation as a router notes it: a status, an incarnation and a name.
    pub fn observed(&mut self, viewer: usize, at: Micros, note: &[u8]) -> Result<(), ViolationKind> {
        let text = String::from_utf8_lossy(note);
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

    /// The run that a router is in at a moment; `None` if it is down.
    pub fn run_at(&self, member: usize, at: Micros) -> Option<&Run> {
        self.runs[member].iter().find(|run| run.from <= at && at < run.until)
    }

    /// It is up all the time between two moments, in one run.
    pub fn is_up_throughout(&self, member: usize, from: Micros, until: Micros) -> bool {
        self.run_at(member, from).is_some_and(|run| run.until > until)
    }

    /// Since when a router has been down, if it is and was ever up.
    pub fn down_since(&self, member: usize, at: Micros) -> Option<Micros> {
        let last = self.runs[member].iter().rev().find(|run| run.from <= at)?;
        (last.until <= at).then_some(last.until)
    }

    /// It is paused at some moment between two, in a pause that lasts longer than `min_length` until then.
    pub fn is_paused_within(&self, member: usize, from: Micros, until: Micros, min_length: Micros) -> bool {
        self.pauses[member].iter().any(|pause| {
            let is_within = pause.from <= until && pause.until >= from;
            is_within && pause.until.min(until) - pause.from > min_length
        })
    }

    /// It is on a side of a partition at some moment between two.
    pub fn is_partitioned_within(&self, member: usize, from: Micros, until: Micros) -> bool {
        let name = &self.names[member];
        let concerns =
            |partition: &Partition| partition.side.contains(name) || partition.other_side.contains(name);
        self.partitions.iter().any(|partition| concerns(partition) && overlaps(partition, from, until))
    }

    /// There is a partition at some moment between two.
    pub fn has_partition_within(&self, from: Micros, until: Micros) -> bool {
        self.partitions.iter().any(|partition| overlaps(partition, from, until))
    }
}

fn overlaps(partition: &Partition, from: Micros, until: Micros) -> bool {
    partition.from <= until && partition.until >= from
}
