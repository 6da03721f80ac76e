//! Reads a capture and runs all checks.

use std::collections::BTreeMap;
use std::io::Read;

use tideroute_wire::capture::{CaptureError, CaptureEvent, CapturedFrame, CapturedProcess, Reader};
use tideroute_wire::Micros;

use crate::capture_header::CaptureHeader;
use crate::false_deaths::check_deaths;
use crate::ground_truth::{GroundTruth, ObservedStatus};
use crate::kill_detection::check_kill_detection;
use crate::report::Report;
use crate::view_convergence::check_convergence;
use crate::violation::ViolationKind;

/// Role of the processes whose observations are checked, as the capture header names it.
const MEMBER_ROLE: &str = "member";

/// Why a capture could not be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The capture cannot be read.
    #[error("capture cannot be read: {0}")]
    Capture(#[from] CaptureError),
    /// The capture's header cannot be read.
    #[error("capture header cannot be read: {0}")]
    Header(#[from] serde_json::Error),
}

/// Checks a capture. Returns `None` if its routers form no cluster.
pub fn check(capture: impl Read) -> Result<Option<Report>, CheckError> {
    let mut reader = Reader::new(capture);
    let (processes, header) = reader.head()?;
    let Some(cluster) = serde_json::from_str::<CaptureHeader>(&header)?.cluster else { return Ok(None) };
    let mut report = Report { members: cluster.names.len(), ..Report::default() };
    let mut truth = GroundTruth::new(&cluster);
    let members = members_by_process(&processes, &truth);
    while let Some(frame) = reader.next_passed()? {
        if let Some(&member) = members.get(&frame.process) {
            apply_event(member, &frame, &mut truth, &mut report);
        }
    }
    run_checks(&truth, &mut report);
    report.sort_violations();
    Ok(Some(report))
}

fn members_by_process(processes: &[CapturedProcess], truth: &GroundTruth) -> BTreeMap<u32, usize> {
    let members = processes.iter().filter(|process| process.role == MEMBER_ROLE);
    members.filter_map(|process| Some((process.number, truth.index(&process.name)?))).collect()
}

fn apply_event(member: usize, frame: &CapturedFrame, truth: &mut GroundTruth, report: &mut Report) {
    match frame.event {
        CaptureEvent::ProcessStarted => truth.started(member, frame.at),
        CaptureEvent::ProcessKilled => truth.ended(member, frame.at, false),
        CaptureEvent::ProcessExited => truth.ended(member, frame.at, true),
        CaptureEvent::ProcessPaused => truth.paused(member, frame.at),
        CaptureEvent::ProcessResumed => truth.resumed(member, frame.at),
        CaptureEvent::Observed => {
            report.observations += 1;
            if let Err(violation) = truth.observed(member, frame.at, &frame.frame) {
                report.add_violation(frame.at, violation);
            }
        }
        _ => {}
    }
}

fn run_checks(truth: &GroundTruth, report: &mut Report) {
    check_deaths(truth, report);
    let Some(end) = end_of_scenario(truth) else {
        report.add_violation(0, ViolationKind::NoOrderlyExit);
        return;
    };
    check_kill_detection(truth, end, report);
    check_convergence(truth, end, report);
    if report.compared_views == 0 {
        report.add_violation(end, ViolationKind::NothingCompared);
    }
}

/// Returns when the routers began to exit: the first graceful exit, or the first time that a router was observed to
/// leave.
fn end_of_scenario(truth: &GroundTruth) -> Option<Micros> {
    let exits = truth.runs.iter().flatten().filter(|run| run.exited).map(|run| run.until);
    let left = truth.observations.iter().filter(|observation| observation.status == ObservedStatus::Left);
    exits.chain(left.map(|observation| observation.at)).min()
}
