//! Measures throughput, latency, CPU time and memory of one router on several numbers of cores under the same load.

use std::path::Path;

use tideroute_simulation::scenario::{self, ScenarioError, ScenarioOutcome};

use super::plot::{self, MeasuredRun};
use super::Measured;
use crate::error::{CommandResult, CommandStatus};

/// The numbers of cores to measure.
const CORES: [u32; 4] = [1, 2, 4, 8];

/// The titles of the plot's panels.
const PANELS: [&str; 4] =
    ["completed requests/s", "first token p99, ms", "CPU per request, us", "memory, MiB"];

/// Measures each request rate on each number of cores; returns a failure if a run violated a rule.
pub fn run(path: &Path, seconds: u64, rates: &[f64], plot_path: Option<&Path>) -> CommandResult {
    let mut measured = Measured::read(path, "tideroute-cores")?;
    measured.scenario.routers = 1;
    measured.scenario.load.duration = seconds * 1_000_000;
    let available_cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{available_cores} cores on this machine, which clients and workers use too; {seconds} s for each run");
    println!("cores  requests/s  completed/s  first token p50      p99    p99.9 ms    CPU us per request  memory MiB  rules");
    let mut all_kept = true;
    let mut runs = vec![];
    for &rate in rates {
        for cores in CORES {
            measured.scenario.cores = cores;
            measured.scenario.load.rate = rate;
            let played = scenario::play(
                &measured.scenario,
                &measured.program,
                &measured.folder,
                &measured.interrupted,
            );
            measured.remove_folder();
            let played = match played {
                Err(ScenarioError::Interrupted) => return Ok(CommandStatus::Failure),
                played => played?,
            };
            all_kept &= played.report.is_clean();
            runs.push(report_run(&played, cores, rate, seconds));
        }
    }
    if let Some(path) = plot_path {
        plot::draw(path, &PANELS, &runs)?;
    }
    Ok(CommandStatus::success_if(all_kept))
}

/// Prints the results of one run as a line, and returns those that are plotted.
fn report_run(played: &ScenarioOutcome, cores: u32, rate: f64, seconds: u64) -> MeasuredRun {
    let figure = |name: &str| played.load_results[name].as_f64().unwrap_or(f64::NAN);
    let milliseconds =
        |name: &str| played.load_results["first_token"][name].as_f64().unwrap_or(f64::NAN) / 1e3;
    let per_second = |name: &str| figure(name) / seconds as f64;
    let cpu = played.cpu.get("router0").copied().unwrap_or(0.0) * 1e6 / figure("submissions");
    let memory = played.memory.get("router0").copied().unwrap_or(0) as f64 / 1048576.0;
    let first_violation =
        played.report.violations.first().map(|violation| format!("BROKEN: {}", violation.rule.label()));
    let rules = first_violation.unwrap_or_else(|| "kept".to_string());
    let [p50, p99, p999] = ["p50_us", "p99_us", "p999_us"].map(milliseconds);
    let requests = per_second("submissions");
    let completed = per_second("honoured");
    println!(
        "{cores:>5}{requests:>12.0}{completed:>13.0}{p50:>17.1}{p99:>9.1}{p999:>9.1}{cpu:>25.0}{memory:>12.1}  {rules}"
    );
    MeasuredRun { cores, rate, figures: vec![completed, p99, cpu, memory] }
}
