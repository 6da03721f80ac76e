//! The faults of a scenario that are injected from outside a process, as actions in time.

use tideroute_config_language::records::ScenarioFault;
use tideroute_wire::Micros;

/// Microseconds from the end of a silence or a drain to the restart.
const RESTART_DELAY: Micros = 500_000;

/// What is done to a process at a time of the scenario.
pub(crate) enum FaultAction<'a> {
    /// Ends a process without warning.
    Kill(&'a str),
    /// Restarts a process, with or without its persisted state.
    Start(&'a str, bool),
    /// Pauses a process.
    Halt(&'a str),
    /// Resumes a paused process.
    GoOn(&'a str),
    /// Removes a tenant.
    Remove(&'a str),
}

/// The actions of all faults, each with its time after the begin of the load; not sorted.
pub(crate) fn fault_timeline(troubles: &[ScenarioFault]) -> Vec<(Micros, FaultAction<'_>)> {
    let mut actions = Vec::new();
    for t in troubles {
        for who in &t.targets {
            match t.kind.as_str() {
                "kill" => {
                    actions.push((t.at, FaultAction::Kill(who)));
                    actions.extend(t.restart_after.map(|back| {
                        (t.at + back, FaultAction::Start(who, t.keeps_endpoint_cache.unwrap_or(true)))
                    }));
                }
                "halt" => {
                    actions.push((t.at, FaultAction::Halt(who)));
                    actions.push((t.at + t.duration.unwrap_or(0), FaultAction::GoOn(who)));
                }
                "remove" => actions.push((t.at, FaultAction::Remove(who))),
                // What was silent or has drained is started anew.
                "silent" | "drain" => {
                    let Some(lasts) = t.duration else { continue };
                    actions.push((t.at + lasts, FaultAction::Kill(who)));
                    actions.push((t.at + lasts + RESTART_DELAY, FaultAction::Start(who, true)));
                }
                _ => {}
            }
        }
    }
    actions
}
