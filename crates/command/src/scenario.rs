//! The command `scenario`: plays a scenario on processes or in virtual time, and judges it.

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

/// Of a capture in virtual time, as zstd counts it.
const COMPRESSION_LEVEL: i32 = 3;

/// Reads a scenario and generates its random faults; `seed` takes the place of its own.
fn read(path: &Path, seed: Option<u64>) -> Result<Scenario, CommandError> {
    let mut day = config_file::require(path, config_file::read(path)?.day, "day")?;
    if let Some(faults) = day.random_faults.as_mut() {
        faults.seed = seed.unwrap_or(faults.seed);
    }
    Ok(faults::with_generated_faults(&day))
}

/// Plays a scenario on processes of its own. `out` keeps logs and the capture; a failed scenario is played again up to
/// `shrink` times with fewer faults.
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
            eprintln!("interrupted; all processes of the day have ended");
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
        eprintln!("record: {}", played.capture.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(CommandStatus::success_if(played.passed()))
}

/// A flag that SIGINT and SIGTERM set.
pub fn interrupted_by_signals() -> Result<Arc<AtomicBool>, CommandError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone())?;
    }
    Ok(interrupted)
}

fn announce(path: &Path, scenario: &Scenario) {
    eprintln!(
        "{}: {} routers, {} workers, {:.0} submissions a second for {:.0} s",
        path.display(),
        scenario.routers,
        scenario.workers().count(),
        scenario.load.rate,
        scenario.load.duration as f64 / 1e6
    );
}

fn print_outcome(scenario: &Scenario, played: &ScenarioOutcome) {
    println!("{}", played.load_table);
    for (wanted, seen, held) in &played.expected {
        println!("  {} {wanted}: {seen}", if *held { "yes" } else { " NO" });
    }
    print_resource_usage(scenario, played);
    trace_report::print(&played.report);
    played.membership.iter().for_each(trace_report::print_views);
}

/// Prints what the processes of each kind used of the machine.
fn print_resource_usage(scenario: &Scenario, played: &ScenarioOutcome) {
    let groups = scenario
        .worker_groups
        .iter()
        .map(|g| (g.name.as_str(), g.count))
        .chain([("router", scenario.routers)]);
    for (group, count) in groups.chain([("list", 1), ("load", 1), ("relay", 1)]) {
        let in_group =
            |name: &String| name.strip_prefix(group).is_some_and(|n| n.bytes().all(|b| b.is_ascii_digit()));
        let highest = |all: &BTreeMap<String, u64>| {
            all.iter().filter(|(name, _)| in_group(name)).map(|(_, n)| *n).max().unwrap_or(0)
        };
        let cpu: Vec<f64> = played.cpu.iter().filter(|(name, _)| in_group(name)).map(|(_, s)| *s).collect();
        if cpu.is_empty() {
            continue;
        }
        println!(
            "  {count} {group}: {:.1} s of CPU in all, {:.2} at most; {:.1} MiB and {} descriptors at most",
            cpu.iter().sum::<f64>(),
            cpu.iter().fold(0.0, |a: f64, b| a.max(*b)),
            highest(&played.memory) as f64 / 1048576.0,
            highest(&played.descriptors)
        );
    }
    println!(
        "  {:.1} s in all, {:.1} of them until all listened",
        played.elapsed_seconds[1], played.elapsed_seconds[0]
    );
}

/// Plays a failed scenario again without parts of its faults, and writes the fewest with which it still fails.
fn shrink_faults(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    max_runs: usize,
) -> Result<(), CommandError> {
    let with = |troubles: &[ScenarioFault]| Scenario {
        scheduled_faults: troubles.to_vec(),
        random_faults: None,
        ..scenario.clone()
    };
    let needed = faults::shrink(&scenario.scheduled_faults, max_runs, |some| {
        let failed = scenario::play(&with(some), program, &folder.join("smaller"), interrupted);
        let failed = failed.is_ok_and(|played| !played.passed());
        eprintln!(
            "with {} of {} troubles: {}",
            some.len(),
            scenario.scheduled_faults.len(),
            if failed { "fails" } else { "passes" }
        );
        failed
    });
    let file = File { day: Some(with(&needed)), ..File::default() };
    let path = folder.join("shrunk.cue");
    let text = tideroute_config_language::print(&file).map_err(CommandError::PrintConfig)?;
    std::fs::write(&path, text).map_err(CommandError::in_file(&path))?;
    println!("{} of {} troubles matter: {}", needed.len(), scenario.scheduled_faults.len(), path.display());
    Ok(())
}

/// Plays a scenario in one process and in virtual time; `out` keeps its capture.
pub fn play_in_virtual_time(path: &Path, out: Option<PathBuf>, seed: Option<u64>) -> CommandResult {
    let scenario = read(path, seed)?;
    let started = std::time::Instant::now();
    let played = virtual_scenario::play(&scenario)?;
    let elapsed = started.elapsed().as_secs_f64();
    println!("{}", played.statistics.table());
    trace_report::print(&played.report);
    if !played.crashed.is_empty() {
        println!("fell over: {}", played.crashed.join(", "));
    }
    let lasted = played.virtual_duration as f64 / 1e6;
    println!("{lasted:.1} virtual seconds in {elapsed:.1} s, {} events", played.events);
    if let Some(folder) = out {
        let path = folder.join("day.record.zst");
        std::fs::create_dir_all(&folder).map_err(CommandError::in_file(&path))?;
        let bytes = zstd::encode_all(played.capture.as_slice(), COMPRESSION_LEVEL)
            .map_err(CommandError::in_file(&path))?;
        std::fs::write(&path, bytes).map_err(CommandError::in_file(&path))?;
        eprintln!("record: {}", path.display());
    }
    let all_answered = played.statistics.wrong + played.statistics.unanswered == 0;
    Ok(CommandStatus::success_if(played.report.is_clean() && played.crashed.is_empty() && all_answered))
}
