//! Checks how soon each router detects that another was killed.

use tideroute_wire::Micros;

use crate::ground_truth::{GroundTruth, Observation, ObservedStatus, Run};
use crate::limits::{CONVERGENCE_TIME, MAX_DETECTION_TIME, MAX_DETECTION_TIME_OF_ALL};
use crate::report::{DetectionTimes, Report};
use crate::violation::ViolationKind;

const MICROS_PER_SECOND: f64 = 1e6;

/// A kill, and the time by which the other routers must have detected it.
struct Kill {
    member: usize,
    at: Micros,
    deadline: Micros,
}

/// Whether and when a router detected a kill.
enum Detection {
    /// It detected the kill after this time.
    After(Micros),
    /// It did not detect the kill by the deadline.
    Missed,
    /// The router is not checked: it did not know the member, or it was down or paused.
    NotApplicable,
}

pub(crate) fn check_kill_detection(truth: &GroundTruth, end: Micros, report: &mut Report) {
    let observations = observations_by_member(truth);
    let mut times = Vec::new();
    for kill in checkable_kills(truth, end) {
        report.kills += 1;
        for viewer in (0..truth.names.len()).filter(|viewer| *viewer != kill.member) {
            match detection(truth, &kill, viewer, &observations[kill.member]) {
                Detection::After(time) => times.push(time),
                Detection::Missed => report.add_violation(
                    kill.at,
                    ViolationKind::UndetectedKill {
                        viewer: truth.names[viewer].clone(),
                        member: truth.names[kill.member].clone(),
                        seconds: (kill.deadline - kill.at) as f64 / MICROS_PER_SECOND,
                    },
                ),
                Detection::NotApplicable => {}
            }
        }
    }
    report.detection_times = detection_times(times);
    let p99 = report.detection_times.p99;
    if p99 > MAX_DETECTION_TIME {
        let p99_seconds = p99 as f64 / MICROS_PER_SECOND;
        report.add_violation(end, ViolationKind::SlowDetection { p99_seconds });
    }
}

fn observations_by_member(truth: &GroundTruth) -> Vec<Vec<Observation>> {
    let mut observations = vec![Vec::new(); truth.names.len()];
    for observation in &truth.observations {
        observations[observation.member].push(*observation);
    }
    observations
}

/// Returns the kills that the other routers had time to detect, and that no partition could have hidden.
fn checkable_kills(truth: &GroundTruth, end: Micros) -> Vec<Kill> {
    let mut kills = Vec::new();
    for (member, runs) in truth.runs.iter().enumerate() {
        for (index, run) in runs.iter().enumerate() {
            if run.until < end && !run.exited {
                let next_start = runs.get(index + 1).map_or(Micros::MAX, |next| next.from);
                kills.extend(checkable_kill(truth, end, member, run, next_start));
            }
        }
    }
    kills
}

fn checkable_kill(
    truth: &GroundTruth,
    end: Micros,
    member: usize,
    run: &Run,
    next_start: Micros,
) -> Option<Kill> {
    let at = run.until;
    let deadline = (at + MAX_DETECTION_TIME_OF_ALL).min(end).min(next_start);
    let is_short = deadline < at + MAX_DETECTION_TIME;
    if is_short || truth.has_partition_within(at.saturating_sub(CONVERGENCE_TIME), deadline) {
        return None;
    }
    Some(Kill { member, at, deadline })
}

fn detection(truth: &GroundTruth, kill: &Kill, viewer: usize, observations: &[Observation]) -> Detection {
    let is_up = truth.is_up_throughout(viewer, kill.at, kill.deadline);
    if !is_up || truth.is_paused_within(viewer, kill.at, kill.deadline, 0) {
        return Detection::NotApplicable;
    }
    let of_viewer = observations
        .iter()
        .filter(|observation| observation.viewer == viewer && observation.at <= kill.deadline);
    let (before, after): (Vec<&Observation>, Vec<&Observation>) =
        of_viewer.partition(|observation| observation.at < kill.at);
    // A router that never observed the member has nothing to detect.
    let Some(last_before) = before.last() else { return Detection::NotApplicable };
    if let Some(first) = after.iter().find(|observation| observation.status != ObservedStatus::Member) {
        return Detection::After(first.at - kill.at);
    }
    // A router that considered the member dead or left before the kill has detected it at once.
    if last_before.status != ObservedStatus::Member {
        return Detection::After(0);
    }
    Detection::Missed
}

fn detection_times(mut times: Vec<Micros>) -> DetectionTimes {
    times.sort_unstable();
    let quantile = |part: f64| {
        let index = ((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1));
        times.get(index).copied().unwrap_or(0)
    };
    DetectionTimes { median: quantile(0.5), p99: quantile(0.99), max: quantile(1.0) }
}
