//! Compares the expectations of a scenario with what was observed of its processes.

use std::collections::BTreeMap;

use tideroute_config_language::records::{Scenario, ScenarioFault};
use tideroute_trace_checker::Report;

/// Returns each expectation, the observed value, and whether the expectation was met.
pub fn expectations(
    scenario: &Scenario,
    load_results: &serde_json::Value,
    memory: &BTreeMap<String, u64>,
    clean_exits: &BTreeMap<String, bool>,
    crashed: &[String],
    report: &Report,
) -> Vec<(String, String, bool)> {
    let number = |name: &str| load_results[name].as_f64().unwrap_or(f64::NAN);
    let at_least = |name: &str, observed: f64, min: f64| {
        let expectation = format!("{name} of at least {:.0}%", 100.0 * min);
        (expectation, format!("{:.1}%", 100.0 * observed), observed >= min)
    };
    let (largest, mib) =
        (memory.iter().max_by_key(|(_, bytes)| **bytes), |bytes: u64| bytes as f64 / 1048576.0);
    let (name, bytes) = largest.map_or(("no process", 0), |(name, bytes)| (name.as_str(), *bytes));
    let failed_exits = clean_exits.values().filter(|clean| !**clean).count();
    // A paused router answers late. The rules of the trace checker judge that, as they know when it was paused; unanswered
    // requests of such a scenario are not counted here.
    let is_router = |target: &String| scenario.router_names().any(|name| name == *target);
    let is_router_pause = |fault: &ScenarioFault| fault.kind == "halt" && fault.targets.iter().any(is_router);
    let unanswered =
        if scenario.scheduled_faults.iter().any(is_router_pause) { 0.0 } else { number("unanswered") };
    let bad_responses = number("wrong") + unanswered;
    vec![
        at_least(
            "an in-time fraction of the priority weight",
            number("service"),
            scenario.expect.min_service,
        ),
        at_least("a completed fraction", number("honoured_part"), scenario.expect.min_completed),
        (
            format!("no process over {:.0} MiB", mib(scenario.expect.max_memory)),
            format!("{:.1} MiB, {name}", mib(bytes)),
            bytes <= scenario.expect.max_memory,
        ),
        ("routers exit cleanly on SIGTERM".into(), format!("{failed_exits} did not"), failed_exits == 0),
        ("no process crashed".into(), crashed.join(", "), crashed.is_empty()),
        (
            "every response correct and in time".into(),
            format!("{bad_responses:.0} not"),
            bad_responses == 0.0,
        ),
        (
            "the capture is not empty".into(),
            format!("{} events", report.counts.events),
            report.counts.admitted > 0 && report.counts.completed > 0,
        ),
    ]
}
