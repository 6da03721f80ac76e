//! Checks that all views are true at moments before which nothing has changed for a while.

use std::collections::BTreeSet;

use tideroute_wire::Micros;

use crate::ground_truth::{GroundTruth, Observation, ObservedStatus};
use crate::limits::{CONVERGENCE_TIME, MAX_DETECTION_TIME_OF_ALL, MAX_TOLERATED_PAUSE};
use crate::report::Report;
use crate::violation::ViolationKind;

pub(crate) fn check_convergence(truth: &GroundTruth, end: Micros, report: &mut Report) {
    let mut views = Views::new(truth);
    let mut observations = truth.observations.iter().peekable();
    for at in quiet_moments(truth, end) {
        report.compared_moments += 1;
        while let Some(observation) = observations.next_if(|observation| observation.at <= at) {
            views.apply(truth, observation);
        }
        for viewer in 0..truth.names.len() {
            compare_view(truth, &views, viewer, at, report);
        }
    }
}

/// Moments that follow a time without changes: one soon after it has lasted long enough, and its last.
fn quiet_moments(truth: &GroundTruth, end: Micros) -> BTreeSet<Micros> {
    let changes: Vec<_> = change_times(truth).into_iter().filter(|at| *at < end).collect();
    let mut moments = BTreeSet::new();
    for (index, change) in changes.iter().enumerate() {
        let quiet_from = change + CONVERGENCE_TIME;
        let next_change = changes.get(index + 1).copied().unwrap_or(end);
        let is_partitioned = truth
            .partitions
            .iter()
            .any(|partition| partition.from <= quiet_from && partition.until > *change);
        if next_change >= quiet_from && !is_partitioned {
            moments.insert(quiet_from);
            moments.insert(next_change.saturating_sub(1).min(end - 1));
        }
    }
    moments
}

/// When routers started or ended, and when partitions and long pauses began or ended.
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

/// What each router takes each other for, as last observed.
struct Views {
    /// By viewer and member.
    statuses: Vec<Vec<ObservedStatus>>,
    /// The start of the viewer's run in which it observed last.
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
        // In a new run the viewer has observed nobody yet.
        if self.run_starts[viewer] != run_start {
            self.run_starts[viewer] = run_start;
            self.statuses[viewer].fill(ObservedStatus::Dead);
        }
        self.statuses[viewer][observation.member] = observation.status;
    }
}

/// Compares what one router takes all others for with what is true.
fn compare_view(truth: &GroundTruth, views: &Views, viewer: usize, at: Micros, report: &mut Report) {
    let Some(run) = truth.run_at(viewer, at) else { return };
    if truth.is_paused_within(viewer, at, at, 0) {
        return;
    }
    let has_observed = views.run_starts[viewer] == run.from;
    for member in (0..truth.names.len()).filter(|member| *member != viewer) {
        let is_seen = has_observed && views.statuses[viewer][member] == ObservedStatus::Member;
        let down_since = truth.down_since(member, at);
        let must_be_gone = down_since.is_some_and(|since| since + MAX_DETECTION_TIME_OF_ALL <= at);
        let run = truth.run_at(member, at);
        let must_be_seen = run.is_some_and(|run| run.from + CONVERGENCE_TIME <= at);
        if must_be_gone || must_be_seen {
            report.compared_views += 1;
        }
        let viewer = truth.names[viewer].clone();
        let member = truth.names[member].clone();
        if must_be_seen && !is_seen {
            report.add_violation(at, ViolationKind::MissingMember { viewer, member });
        } else if must_be_gone && is_seen {
            report.add_violation(at, ViolationKind::StaleMember { viewer, member });
        }
    }
}
