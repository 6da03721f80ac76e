//! The faults of a scenario that are injected from outside a process, as actions with their times.

use tideroute_config_language::records::ScenarioFault;
use tideroute_wire::Micros;

/// Microseconds from the kill of a worker that was silent or draining to its restart.
const RESTART_DELAY: Micros = 500_000;

/// An action on a process or a tenant.
pub(crate) enum FaultAction<'a> {
    /// Kills a process.
    Kill(&'a str),
    /// Restarts a process that was killed; `true` if it keeps its cached endpoint list.
    Start(&'a str, bool),
    /// Pauses a process.
    Pause(&'a str),
    /// Resumes a paused process.
    Resume(&'a str),
    /// Removes a tenant from all routers.
    RemoveTenant(&'a str),
}

/// Returns the actions of all faults, not sorted, each with its time in microseconds after the start of the load.
pub(crate) fn fault_timeline(faults: &[ScenarioFault]) -> Vec<(Micros, FaultAction<'_>)> {
    let mut actions = Vec::new();
    for fault in faults {
        for target in &fault.targets {
            match fault.kind.as_str() {
                "kill" => {
                    actions.push((fault.at, FaultAction::Kill(target)));
                    actions.extend(fault.restart_after.map(|restart_after| {
                        (
                            fault.at + restart_after,
                            FaultAction::Start(target, fault.keeps_endpoint_cache.unwrap_or(true)),
                        )
                    }));
                }
                "halt" => {
                    actions.push((fault.at, FaultAction::Pause(target)));
                    actions.push((fault.at + fault.duration.unwrap_or(0), FaultAction::Resume(target)));
                }
                "remove" => actions.push((fault.at, FaultAction::RemoveTenant(target))),
                // A worker that was silent or draining is killed at the end of the fault and started again.
                "silent" | "drain" => {
                    let Some(duration) = fault.duration else { continue };
                    actions.push((fault.at + duration, FaultAction::Kill(target)));
                    actions.push((fault.at + duration + RESTART_DELAY, FaultAction::Start(target, true)));
                }
                _ => {}
            }
        }
    }
    actions
}
