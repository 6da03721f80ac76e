//! Checks that all views match the true status at times before which nothing has changed for a while.

use std::collections::BTreeSet;

use tideroute_wire::Micros;

use crate::ground_truth::{GroundTruth, Observation, ObservedStatus};
use crate::limits::{CONVERGENCE_TIME, MAX_DETECTION_TIME_OF_ALL, MAX_TOLERATED_PAUSE};
use crate::report::Report;
use crate::violation::ViolationKind;

pub(crate) fn check_convergence(truth: &GroundTruth, end: Micros, report: &mut Report) {
    let mut views = Views::new(truth);
    let mut observations = truth.observations.iter().peekable();
    for at in comparison_times(truth, end) {
        report.compared_moments += 1;
        while let Some(observation) = observations.next_if(|observation| observation.at <= at) {
            views.apply(truth, observation);
        }
        for viewer in 0..truth.names.len() {
            compare_view(truth, &views, viewer, at, report);
        }
    }
}

/// Returns the times at which views are compared: for each period without changes that is long enough, the time at
/// which views must have converged, and the last time before the next change.
fn comparison_times(truth: &GroundTruth, end: Micros) -> BTreeSet<Micros> {
    let changes: Vec<_> = change_times(truth).into_iter().filter(|at| *at < end).collect();
    let mut times = BTreeSet::new();
    for (index, change) in changes.iter().enumerate() {
        let converged_at = change + CONVERGENCE_TIME;
        let next_change = changes.get(index + 1).copied().unwrap_or(end);
        let is_partitioned = truth
            .partitions
            .iter()
            .any(|partition| partition.from <= converged_at && partition.until > *change);
        if next_change >= converged_at && !is_partitioned {
            times.insert(converged_at);
            times.insert(next_change.saturating_sub(1).min(end - 1));
        }
    }
    times
}

/// Returns the times at which routers started or ended, and at which partitions and long pauses began or ended.
fn change_times(truth: &GroundTruth) -> BTreeSet<Micros> {
    let mut times = BTreeSet::new();
    for run in truth.runs.iter().flatten() {
        times.extend([run.from, run.until]);
    }
    for partition in &truth.partitions {
        times.extend([partition.from, partition.until]);
    }
    for pause in truth.pauses.iter().flatten() {
        if pause.until - pause.from > MAX_TOLERATED_PAUSE {
            times.extend([pause.from, pause.until]);
        }
    }
    times
}

/// The status that each router assigned to each other router, as last observed.
struct Views {
    /// The last observed status, by viewer and member.
    statuses: Vec<Vec<ObservedStatus>>,
    /// By viewer: the start of the run in which the viewer made its last observation.
    run_starts: Vec<Micros>,
}

impl Views {
    fn new(truth: &GroundTruth) -> Views {
        let members = truth.names.len();
        Views { statuses: vec![vec![ObservedStatus::Dead; members]; members], run_starts: vec![0; members] }
    }

    fn apply(&mut self, truth: &GroundTruth, observation: &Observation) {
        let viewer = observation.viewer;
        let run_start = truth.run_at(viewer, observation.at).map_or(0, |run| run.from);
        // In a new run, the viewer has not observed any member yet.
        if self.run_starts[viewer] != run_start {
            self.run_starts[viewer] = run_start;
            self.statuses[viewer].fill(ObservedStatus::Dead);
        }
        self.statuses[viewer][observation.member] = observation.status;
    }
}

/// Compares one router's views of all other routers with their true status.
fn compare_view(truth: &GroundTruth, views: &Views, viewer: usize, at: Micros, report: &mut Report) {
    let Some(run) = truth.run_at(viewer, at) else { return };
    if truth.is_paused_within(viewer, at, at, 0) {
        return;
    }
    let has_observed = views.run_starts[viewer] == run.from;
    for member in (0..truth.names.len()).filter(|member| *member != viewer) {
        let is_seen = has_observed && views.statuses[viewer][member] == ObservedStatus::Member;
        let down_since = truth.down_since(member, at);
        let must_be_absent = down_since.is_some_and(|since| since + MAX_DETECTION_TIME_OF_ALL <= at);
        let run = truth.run_at(member, at);
        let must_be_seen = run.is_some_and(|run| run.from + CONVERGENCE_TIME <= at);
        if must_be_absent || must_be_seen {
            report.compared_views += 1;
        }
        let viewer = truth.names[viewer].clone();
        let member = truth.names[member].clone();
        if must_be_seen && !is_seen {
            report.add_violation(at, ViolationKind::MissingMember { viewer, member });
        } else if must_be_absent && is_seen {
            report.add_violation(at, ViolationKind::StaleMember { viewer, member });
        }
    }
}
