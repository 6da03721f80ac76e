//! The command `scenario`: plays a scenario on processes or in virtual time, and checks its rules and expectations.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use signal_hook::consts::{SIGINT, SIGTERM};
use tideroute_config_language::records::{File, Scenario, ScenarioFault};
use tideroute_simulation::scenario::{self, ScenarioError, ScenarioOutcome};
use tideroute_simulation::{faults, virtual_scenario};

use crate::error::{CommandError, CommandResult, CommandStatus};
use crate::{config_file, trace_report};

/// The zstd level at which the capture of a scenario in virtual time is compressed.
const COMPRESSION_LEVEL: i32 = 3;

/// Reads a scenario and generates its random faults from `seed`, or from the seed in the file if that is `None`.
fn read(path: &Path, seed: Option<u64>) -> Result<Scenario, CommandError> {
    let mut scenario = config_file::require(path, config_file::read(path)?.day, "day")?;
    if let Some(faults) = scenario.random_faults.as_mut() {
        faults.seed = seed.unwrap_or(faults.seed);
    }
    Ok(faults::with_generated_faults(&scenario))
}

/// Plays a scenario on separate processes. The logs and the capture are kept in the folder `out`; a failed scenario is
/// played again up to `shrink` times with fewer faults.
pub fn play(path: &Path, out: Option<PathBuf>, seed: Option<u64>, shrink: Option<usize>) -> CommandResult {
    let scenario = read(path, seed)?;
    let interrupted = interrupted_by_signals()?;
    let program = std::env::current_exe().map_err(CommandError::CurrentExecutable)?;
    let keep_folder = out.is_some();
    let temporary = || std::env::temp_dir().join(format!("tideroute-day-{}", std::process::id()));
    let folder = out.unwrap_or_else(temporary);
    announce(path, &scenario);
    let played = match scenario::play(&scenario, &program, &folder, &interrupted) {
        Ok(played) => played,
        Err(ScenarioError::Interrupted) => {
            let _ = std::fs::remove_dir_all(&folder);
            eprintln!("interrupted; all processes of the scenario have ended");
            return Ok(CommandStatus::Failure);
        }
        Err(error) => {
            eprintln!("{error}; logs are in {}", folder.display());
            return Ok(CommandStatus::Failure);
        }
    };
    print_outcome(&scenario, &played);
    if let Some(max_runs) = shrink.filter(|_| !played.passed()) {
        shrink_faults(&scenario, &program, &folder, &interrupted, max_runs)?;
    }
    if keep_folder || !played.passed() {
        eprintln!("capture: {}", played.capture.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(CommandStatus::success_if(played.passed()))
}

/// Returns a flag that SIGINT and SIGTERM set.
pub fn interrupted_by_signals() -> Result<Arc<AtomicBool>, CommandError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone())?;
    }
    Ok(interrupted)
}

fn announce(path: &Path, scenario: &Scenario) {
    eprintln!(
        "{}: {} routers, {} workers, {:.0} requests per second for {:.0} s",
        path.display(),
        scenario.routers,
        scenario.workers().count(),
        scenario.load.rate,
        scenario.load.duration as f64 / 1e6
    );
}

fn print_outcome(scenario: &Scenario, played: &ScenarioOutcome) {
    println!("{}", played.load_table);
    for (expectation, observed, held) in &played.expected {
        println!("  {} {expectation}: {observed}", if *held { "yes" } else { " NO" });
    }
    print_resource_usage(scenario, played);
    trace_report::print(&played.report);
    played.membership.iter().for_each(trace_report::print_membership);
}

/// Prints the CPU time, memory and file descriptors that each group of processes used.
fn print_resource_usage(scenario: &Scenario, played: &ScenarioOutcome) {
    let groups = scenario
        .worker_groups
        .iter()
        .map(|g| (g.name.as_str(), g.count))
        .chain([("router", scenario.routers)]);
    for (group, count) in groups.chain([("list", 1), ("load", 1), ("relay", 1)]) {
        let in_group =
            |name: &String| name.strip_prefix(group).is_some_and(|n| n.bytes().all(|b| b.is_ascii_digit()));
        let max_of_group = |all: &BTreeMap<String, u64>| {
            all.iter().filter(|(name, _)| in_group(name)).map(|(_, n)| *n).max().unwrap_or(0)
        };
        let cpu: Vec<f64> = played.cpu.iter().filter(|(name, _)| in_group(name)).map(|(_, s)| *s).collect();
        if cpu.is_empty() {
            continue;
        }
        println!(
            "  {count} {group}: {:.1} s of CPU time in total, {:.2} s at most; at most {:.1} MiB and {} file descriptors",
            cpu.iter().sum::<f64>(),
            cpu.iter().fold(0.0, |a: f64, b| a.max(*b)),
            max_of_group(&played.memory) as f64 / 1048576.0,
            max_of_group(&played.descriptors)
        );
    }
    println!(
        "  {:.1} s in total, {:.1} s until all processes listened",
        played.elapsed_seconds[1], played.elapsed_seconds[0]
    );
}

/// Plays a failed scenario again without some of its faults, and writes a scenario with the smallest set of faults found
/// with which it still fails.
fn shrink_faults(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    max_runs: usize,
) -> Result<(), CommandError> {
    let scenario_with = |faults: &[ScenarioFault]| Scenario {
        scheduled_faults: faults.to_vec(),
        random_faults: None,
        ..scenario.clone()
    };
    let needed = faults::shrink(&scenario.scheduled_faults, max_runs, |subset| {
        let failed = scenario::play(&scenario_with(subset), program, &folder.join("smaller"), interrupted);
        let failed = failed.is_ok_and(|played| !played.passed());
        eprintln!(
            "with {} of {} faults: {}",
            subset.len(),
            scenario.scheduled_faults.len(),
            if failed { "fails" } else { "passes" }
        );
        failed
    });
    let file = File { day: Some(scenario_with(&needed)), ..File::default() };
    let path = folder.join("shrunk.cue");
    let text = tideroute_config_language::print(&file).map_err(CommandError::PrintConfig)?;
    std::fs::write(&path, text).map_err(CommandError::in_file(&path))?;
    println!(
        "{} of {} faults are needed to fail: {}",
        needed.len(),
        scenario.scheduled_faults.len(),
        path.display()
    );
    Ok(())
}

/// Plays a scenario in one process and in virtual time; its capture is kept in the folder `out`.
pub fn play_in_virtual_time(path: &Path, out: Option<PathBuf>, seed: Option<u64>) -> CommandResult {
    let scenario = read(path, seed)?;
    let started = std::time::Instant::now();
    let played = virtual_scenario::play(&scenario)?;
    let elapsed = started.elapsed().as_secs_f64();
    println!("{}", played.statistics.table());
    trace_report::print(&played.report);
    if !played.crashed.is_empty() {
        println!("crashed: {}", played.crashed.join(", "));
    }
    let virtual_seconds = played.virtual_duration as f64 / 1e6;
    println!("{virtual_seconds:.1} virtual seconds in {elapsed:.1} s, {} events", played.events);
    if let Some(folder) = out {
        let path = folder.join("day.record.zst");
        std::fs::create_dir_all(&folder).map_err(CommandError::in_file(&path))?;
        let bytes = zstd::encode_all(played.capture.as_slice(), COMPRESSION_LEVEL)
            .map_err(CommandError::in_file(&path))?;
        std::fs::write(&path, bytes).map_err(CommandError::in_file(&path))?;
        eprintln!("capture: {}", path.display());
    }
    let all_answered = played.statistics.wrong + played.statistics.unanswered == 0;
    Ok(CommandStatus::success_if(played.report.is_clean() && played.crashed.is_empty() && all_answered))
}
