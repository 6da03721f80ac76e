//! The command `check-trace`, and the printed report of a checked capture.

use std::path::Path;

use tideroute_membership_checker::Report as MembershipReport;
use tideroute_simulation::scenario;
use tideroute_trace_checker::{Report, Rule};

use crate::error::{CommandError, CommandResult, CommandStatus};

/// The most violations that are printed for each rule, and for membership.
const MAX_PRINTED: usize = 10;

/// Runs the command `check-trace`: checks a capture, and prints counts and violations.
pub fn check(capture: &Path) -> CommandResult {
    let report = scenario::check_rules(capture).map_err(CommandError::in_file(capture))?;
    let membership = scenario::check_membership(capture).map_err(CommandError::in_file(capture))?;
    print(&report);
    membership.iter().for_each(print_membership);
    let views_correct = membership.is_none_or(|report| report.is_clean());
    Ok(CommandStatus::success_if(report.is_clean() && views_correct))
}

/// Prints how routers saw each other, and each wrong view up to a limit.
pub fn print_membership(report: &MembershipReport) {
    let times = &report.detection_times;
    let [median, p99, longest] = [times.median, times.p99, times.max].map(|time| time as f64 / 1e6);
    println!(
        "  {} members, {} observations; {} kills detected by the other members after {median:.2} s p50, {p99:.2} s p99, \
         {longest:.2} s at most",
        report.members, report.observations, report.kills
    );
    println!(
        "  {} deaths observed, {} of them excused by a recent restart, pause or partition; {} views compared at {} points \
         in time",
        report.deaths, report.excused_deaths, report.compared_views, report.compared_moments
    );
    if report.is_clean() {
        println!("views: all correct");
        return;
    }
    println!("views: NOT correct: {} violations", report.violation_count());
    for violation in report.violations.iter().take(MAX_PRINTED) {
        println!("    at {}: {}", violation.at, violation.kind);
    }
}

/// Prints the counts, and the first violations of each rule that was not kept.
pub fn print(report: &Report) {
    print_counts(report);
    if report.is_clean() {
        println!("rules: all kept");
        return;
    }
    for rule in Rule::ALL {
        let of_rule: Vec<_> = report.violations.iter().filter(|violation| violation.rule == rule).collect();
        if of_rule.is_empty() {
            continue;
        }
        println!("rules: NOT kept: {}: {} violations", rule.name(), of_rule.len());
        for violation in of_rule.iter().take(MAX_PRINTED) {
            let id = violation.request_id.map_or(String::new(), |id| format!("request {id:x}: "));
            println!("    at {}: {id}{}", violation.at, violation.description);
        }
    }
    if report.unlisted > 0 {
        println!("    and {} more violations", report.unlisted);
    }
}

fn print_counts(report: &Report) {
    let counts = &report.counts;
    println!(
        "  {} events: {} requests sent, {} admitted, {} completed, {} rejected, {} failed, {} cancelled, {} disconnected",
        counts.events, counts.requests, counts.admitted, counts.completed, counts.rejected, counts.failed, counts.cancelled, counts.disconnected
    );
    println!(
        "  {} attempts, {} decode reservations; latest send after a drain notification {:.1} ms; peak load of a \
         warming worker {:.0}% of its limit; longest state without an attempt in flight {:.1} ms",
        counts.attempts,
        counts.reservations,
        counts.latest_send_after_drain as f64 / 1e3,
        100.0 * counts.peak_slow_start_load,
        counts.longest_idle_state as f64 / 1e3
    );
}
