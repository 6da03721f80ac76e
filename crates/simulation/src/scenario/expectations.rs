//! The expectations of a scenario against what its processes showed.

use std::collections::BTreeMap;

use tideroute_config_language::records::{Scenario, ScenarioFault};
use tideroute_trace_checker::Report;

/// Each expectation, what was seen, and whether it held.
pub fn expectations(
    day: &Scenario,
    figures: &serde_json::Value,
    memory: &BTreeMap<String, u64>,
    exits: &BTreeMap<String, bool>,
    fallen: &[String],
    report: &Report,
) -> Vec<(String, String, bool)> {
    let number = |name: &str| figures[name].as_f64().unwrap_or(f64::NAN);
    let least = |name: &str, seen: f64, least: f64| {
        let wanted = format!("{name} of at least {:.0}%", 100.0 * least);
        (wanted, format!("{:.1}%", 100.0 * seen), seen >= least)
    };
    let (most, mib) = (memory.iter().max_by_key(|(_, bytes)| **bytes), |b: u64| b as f64 / 1048576.0);
    let (name, bytes) = most.map_or(("nobody", 0), |(name, bytes)| (name.as_str(), *bytes));
    let unlike = exits.values().filter(|well| !**well).count();
    // Whom a halted router answers late is for the check of the rules to judge, which knows of the halts.
    let router = |who: &String| day.router_names().any(|name| name == *who);
    let halted = |t: &ScenarioFault| t.kind == "halt" && t.targets.iter().any(router);
    let unanswered = if day.scheduled_faults.iter().any(halted) { 0.0 } else { number("unanswered") };
    let wrong = number("wrong") + unanswered;
    vec![
        least("a service", number("service"), day.expect.min_service),
        least("an honoured part", number("honoured_part"), day.expect.min_completed),
        (
            format!("no process over {:.0} MiB", mib(day.expect.max_memory)),
            format!("{:.1} MiB, {name}", mib(bytes)),
            bytes <= day.expect.max_memory,
        ),
        ("routers end in order when told".into(), format!("{unlike} did not"), unlike == 0),
        ("nobody fell over".into(), fallen.join(", "), fallen.is_empty()),
        ("every answer right and in time".into(), format!("{wrong:.0} not"), wrong == 0.0),
        (
            "a record with something in it".into(),
            format!("{} events", report.counts.events),
            report.counts.admitted > 0 && report.counts.completed > 0,
        ),
    ]
}
