//! Throughput, latency, CPU and memory of one router at several numbers of cores under the same load.

use std::path::Path;

use tideroute_simulation::scenario::{self, ScenarioError, ScenarioOutcome};

use super::plot::{self, MeasuredRun};
use super::Measured;
use crate::error::{CommandResult, CommandStatus};

/// Numbers of cores that are measured.
const CORES: [u32; 4] = [1, 2, 4, 8];

/// What the plot shows of each run.
const PANELS: [&str; 4] = ["honoured a second", "first token p99, ms", "CPU a submission, us", "memory, MiB"];

/// Measures each request rate at each number of cores; a failure if a run broke a rule.
pub fn run(path: &Path, seconds: u64, rates: &[f64], plot_path: Option<&Path>) -> CommandResult {
    let mut measured = Measured::read(path, "tideroute-cores")?;
    measured.scenario.routers = 1;
    measured.scenario.load.duration = seconds * 1_000_000;
    let machine = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{machine} cores on this machine, which clients and workers use too; {seconds} s each");
    println!("cores  asked/s  honoured/s  first token p50      p99    p99.9 ms  CPU us a submission  memory MiB  rules");
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

/// Prints the line of one run, and returns what the plot shows of it.
fn report_run(played: &ScenarioOutcome, cores: u32, rate: f64, seconds: u64) -> MeasuredRun {
    let figure = |name: &str| played.load_results[name].as_f64().unwrap_or(f64::NAN);
    let milliseconds =
        |name: &str| played.load_results["first_token"][name].as_f64().unwrap_or(f64::NAN) / 1e3;
    let per_second = |name: &str| figure(name) / seconds as f64;
    let cpu = played.cpu.get("router0").copied().unwrap_or(0.0) * 1e6 / figure("submissions");
    let memory = played.memory.get("router0").copied().unwrap_or(0) as f64 / 1048576.0;
    let broken =
        played.report.violations.first().map(|violation| format!("BROKEN: {}", violation.rule.label()));
    let rules = broken.unwrap_or_else(|| "kept".to_string());
    let [p50, p99, p999] = ["p50_us", "p99_us", "p999_us"].map(milliseconds);
    let requests = per_second("submissions");
    let completed = per_second("honoured");
    println!(
        "{cores:>5}{requests:>9.0}{completed:>12.0}{p50:>17.1}{p99:>9.1}{p999:>9.1}{cpu:>25.0}{memory:>12.1}  {rules}"
    );
    MeasuredRun { cores, rate, figures: vec![completed, p99, cpu, memory] }
}
