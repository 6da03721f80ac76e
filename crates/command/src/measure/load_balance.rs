//! Measures how evenly a scenario's load is spread over the prefill workers: by simple policies that choose one, then by
//! the routers.

use std::path::{Path, PathBuf};

use tideroute_load_balance_report::LoadBalanceReport;
use tideroute_simulation::prefill_policies::PrefillPolicy;
use tideroute_simulation::scenario::{self, ScenarioError};

use super::Measured;
use crate::error::{CommandError, CommandResult, CommandStatus};

/// What chooses the prefill workers in one run.
#[derive(Clone, Copy)]
enum Chooser {
    /// A simple policy of load that is sent directly to workers, by its name.
    Policy(&'static str),
    /// The routers, with or without load reports of prefill workers.
    Routers { load_reports: bool },
}

/// The results of one run.
struct Run {
    capture: PathBuf,
    /// The fraction of the load, by priority weight, that was served in time, as text; empty for a policy.
    service: String,
    /// Whether the rules were kept; `None` for a policy, for which they are not checked.
    rules_kept: Option<bool>,
}

/// Runs the same load with each policy and with the routers, and prints a line for each; returns a failure if a rule was
/// violated.
pub fn run(path: &Path, seconds: u64) -> CommandResult {
    let mut measured = Measured::read(path, "tideroute-spread")?;
    measured.scenario.load.duration = seconds * 1_000_000;
    println!(
        "{seconds} s each; prefill workers: peak/mean load, time idle while others queue, index of dispersion, windows with \
         herding"
    );
    println!("policy                   p50    p99    max     idle  index  herding (expected)   cached  in time  rules");
    let policies = PrefillPolicy::ALL.iter().filter(|(_, policy)| *policy != PrefillPolicy::BySession);
    let policies = policies.map(|(name, _)| (*name, Chooser::Policy(name)));
    let routers = [
        ("router, no reports", Chooser::Routers { load_reports: false }),
        ("router, load reports", Chooser::Routers { load_reports: true }),
    ];
    let mut all_kept = true;
    for (name, chooser) in policies.chain(routers) {
        let run = match play(&mut measured, chooser) {
            Err(ScenarioError::Interrupted) => return Ok(CommandStatus::Failure),
            run => run?,
        };
        let capture = scenario::open(&run.capture)?;
        let report = tideroute_load_balance_report::measure(capture)
            .map_err(|error| CommandError::LoadBalance(error.into()))?;
        measured.remove_folder();
        all_kept &= run.rules_kept.unwrap_or(true);
        print_line(name, &report, &run);
    }
    Ok(CommandStatus::success_if(all_kept))
}

fn play(measured: &mut Measured, chooser: Chooser) -> Result<Run, ScenarioError> {
    match chooser {
        Chooser::Policy(name) => {
            let (scenario, interrupted) = (&measured.scenario, &measured.interrupted);
            let capture =
                scenario::play_direct(scenario, &measured.program, &measured.folder, interrupted, name)?;
            Ok(Run { capture, service: String::new(), rules_kept: None })
        }
        Chooser::Routers { load_reports } => {
            measured.scenario.settings.load_reports = load_reports;
            let played = scenario::play(
                &measured.scenario,
                &measured.program,
                &measured.folder,
                &measured.interrupted,
            )?;
            let service = 100.0 * played.load_results["service"].as_f64().unwrap_or(f64::NAN);
            Ok(Run {
                rules_kept: Some(played.report.is_clean()),
                service: format!("{service:.1}%"),
                capture: played.capture,
            })
        }
    }
}

fn print_line(name: &str, report: &LoadBalanceReport, run: &Run) {
    let prefill = &report.prefill;
    let service = &run.service;
    let rules = match run.rules_kept {
        None => "",
        Some(true) => "kept",
        Some(false) => "BROKEN",
    };
    println!(
        "{name:<22}{:>6.2}{:>7.2}{:>7.2}{:>8.2}%{:>7.2}{:>7} of {} ({:.1}){:>9.1}%{service:>9}  {rules}",
        prefill.peak_to_mean_p50,
        prefill.peak_to_mean_p99,
        prefill.peak_to_mean_max,
        100.0 * prefill.idle_while_queued,
        prefill.dispersion_index,
        prefill.herd_windows,
        prefill.windows,
        prefill.expected_herd_windows,
        100.0 * report.cached_share
    );
}
