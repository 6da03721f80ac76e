//! The command `check-trace`, and the printed report of a checked capture.

use std::path::Path;

use tideroute_membership_checker::Report as Views;
use tideroute_simulation::scenario;
use tideroute_trace_checker::{Report, Rule};

use crate::error::{CommandError, CommandResult, CommandStatus};

/// Violations that are printed of each rule.
const MAX_PRINTED: usize = 10;

/// The command `check-trace`: checks a capture and prints what it finds.
pub fn check(capture: &Path) -> CommandResult {
    let report = scenario::check(capture).map_err(CommandError::in_file(capture))?;
    let views = scenario::check_membership(capture).map_err(CommandError::in_file(capture))?;
    print(&report);
    views.iter().for_each(print_views);
    let views_kept = views.is_none_or(|views| views.is_clean());
    Ok(CommandStatus::success_if(report.is_clean() && views_kept))
}

/// Prints how routers saw each other.
pub fn print_views(views: &Views) {
    let times = &views.detection_times;
    let [median, p99, longest] = [times.median, times.p99, times.max].map(|time| time as f64 / 1e6);
    println!(
        "  {} members, {} sightings; {} kills known to others after {median:.2} s p50, {p99:.2} s p99, {longest:.2} s \
         at most",
        views.members, views.observations, views.kills
    );
    println!(
        "  {} deaths seen, {} of them of routers that were cut off or had just been down; {} sights compared at {} \
         moments",
        views.deaths, views.excused_deaths, views.compared_views, views.compared_moments
    );
    if views.is_clean() {
        println!("views: all true");
        return;
    }
    println!("views: NOT true: {} times", views.violation_count());
    for violation in views.violations.iter().take(MAX_PRINTED) {
        println!("    at {}: {}", violation.at, violation.kind);
    }
}

/// Prints what was counted, and each rule that was broken with the first places.
pub fn print(report: &Report) {
    print_counts(report);
    if report.is_clean() {
        println!("rules: all kept");
        return;
    }
    for rule in Rule::ALL {
        let broken: Vec<_> = report.violations.iter().filter(|b| b.rule == rule).collect();
        if broken.is_empty() {
            continue;
        }
        println!("rules: NOT kept: {}: {} times", rule.name(), broken.len());
        for violation in broken.iter().take(MAX_PRINTED) {
            let id = violation.request_id.map_or(String::new(), |id| format!("submission {id:x}: "));
            println!("    at {}: {id}{}", violation.at, violation.description);
        }
    }
    if report.unlisted > 0 {
        println!("    and {} more breaks", report.unlisted);
    }
}

fn print_counts(report: &Report) {
    let counts = &report.counts;
    println!(
        "  {} events: {} submissions sent, {} taken, {} honoured, {} turned back, {} abandoned, {} left, {} void",
        counts.events, counts.requests, counts.admitted, counts.completed, counts.rejected, counts.failed, counts.cancelled, counts.disconnected
    );
    println!(
        "  {} shots, {} places; latest send after a drain was told {:.1} ms; fullest cold worker {:.0}% of its \
         limit; longest held with no shot out {:.1} ms",
        counts.attempts,
        counts.reservations,
        counts.latest_send_after_drain as f64 / 1e3,
        100.0 * counts.peak_slow_start_load,
        counts.longest_idle_state as f64 / 1e3
    );
}
