//! Checks that no router is considered dead or left while it is not.

use crate::ground_truth::{GroundTruth, Observation, ObservedStatus};
use crate::limits::{EXCUSE_WINDOW, MAX_LEAVE_TIME, MAX_TOLERATED_PAUSE};
use crate::report::Report;
use crate::violation::ViolationKind;

pub(crate) fn check_deaths(truth: &GroundTruth, report: &mut Report) {
    for observation in &truth.observations {
        match observation.status {
            ObservedStatus::Member => {}
            ObservedStatus::Left => check_leave(truth, observation, report),
            ObservedStatus::Dead => check_death(truth, observation, report),
        }
    }
}

fn check_leave(truth: &GroundTruth, observation: &Observation, report: &mut Report) {
    // A router announces that it leaves a little before it exits.
    let latest_exit = observation.at + MAX_LEAVE_TIME;
    let has_left = truth.runs[observation.member].iter().any(|run| run.exited && run.until <= latest_exit);
    if !has_left {
        let viewer = truth.names[observation.viewer].clone();
        let member = truth.names[observation.member].clone();
        report.add_violation(observation.at, ViolationKind::FalseLeave { viewer, member });
    }
}

fn check_death(truth: &GroundTruth, observation: &Observation, report: &mut Report) {
    report.deaths += 1;
    if truth.run_at(observation.member, observation.at).is_none() {
        return;
    }
    if is_excused(truth, observation) {
        report.excused_deaths += 1;
        return;
    }
    let viewer = truth.names[observation.viewer].clone();
    let member = truth.names[observation.member].clone();
    report.add_violation(observation.at, ViolationKind::FalseDeath { viewer, member });
}

/// Returns whether an observed death is excused: the member was down shortly before (the death may be that of its
/// previous run) or paused for longer than must be tolerated, or the member or the viewer was partitioned.
fn is_excused(truth: &GroundTruth, observation: &Observation) -> bool {
    let Observation { at, viewer, member, .. } = *observation;
    let since = at.saturating_sub(EXCUSE_WINDOW);
    !truth.is_up_throughout(member, since, at)
        || truth.is_paused_within(member, since, at, MAX_TOLERATED_PAUSE)
        || truth.is_partitioned_within(member, since, at)
        || truth.is_partitioned_within(viewer, since, at)
}
