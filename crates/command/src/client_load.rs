//! Client load: requests through routers, or directly to workers as a baseline.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tideroute_reactor::Reactor;
use tideroute_simulation::client_load::Load;
use tideroute_simulation::convert;
use tideroute_simulation::direct_load::DirectLoad;
use tideroute_simulation::prefill_policies::PrefillPolicy;
use tideroute_wire::Micros;

use crate::cli::ProcessArgs;
use crate::config_file;
use crate::error::{CommandError, CommandResult, CommandStatus};
use crate::process::{self, ProcessIdentity};

/// The time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

const IDENTITY: ProcessIdentity = ProcessIdentity { name: "load", role: "client" };

/// Where the results of a load are written, and when it begins.
pub struct LoadOptions {
    /// The file for the results as JSON.
    pub json: Option<PathBuf>,
    /// The file for the table of results; `None` prints it.
    pub table: Option<PathBuf>,
    /// When the load begins, in microseconds since 1970; `None` begins at once.
    pub begin_at: Option<Micros>,
}

/// Sends requests directly to the workers that the file `workers` names. Writes how many requests ended and failed to
/// the files in which a scenario expects the results of a load.
pub fn run_direct(
    path: &Path,
    workers: &Path,
    policy: PrefillPolicy,
    options: &LoadOptions,
    args: &ProcessArgs,
) -> CommandResult {
    let section = config_file::require(path, config_file::read(path)?.load, "load")?;
    let known_workers = std::fs::read(workers).map_err(CommandError::in_file(workers))?;
    let known_workers = serde_json::from_slice(&known_workers).map_err(CommandError::in_file(workers))?;
    let reactor = process::reactor(&[], args, IDENTITY)?;
    wait_for(options.begin_at, &reactor);
    let mut program = DirectLoad::new(&section, known_workers, policy);
    let status = process::run(reactor, &mut program)?;
    let summary = format!("{} requests ended, {} of them failed\n", program.ended, program.failed);
    for path in [&options.json, &options.table].into_iter().flatten() {
        write(path, &summary)?;
    }
    Ok(CommandStatus::success_if(status == CommandStatus::Success && program.failed == 0))
}

/// Sends requests to routers and reports their outcomes.
pub fn run(path: &Path, options: &LoadOptions, args: &ProcessArgs) -> CommandResult {
    let section = config_file::require(path, config_file::read(path)?.load, "load")?;
    let routers = section.routers.iter().map(|r| convert::parse_address(r)).collect::<Result<_, _>>()?;
    let reactor = process::reactor(&[], args, IDENTITY)?;
    wait_for(options.begin_at, &reactor);
    let mut load = Load::new(section, routers);
    let finished = Arc::new(AtomicBool::new(false));
    let progress = std::io::stderr().is_terminal().then(|| show_progress(&load, finished.clone()));
    let status = process::run(reactor, &mut load)?;
    finished.store(true, Ordering::Relaxed);
    progress.map(JoinHandle::join);
    match &options.table {
        Some(path) => write(path, &load.statistics.table())?,
        None => println!("{}", load.statistics.table()),
    }
    if let Some(path) = &options.json {
        write(path, &load.statistics.json().to_string())?;
    }
    let all_answered = load.statistics.unanswered == 0 && load.statistics.wrong == 0;
    Ok(CommandStatus::success_if(status == CommandStatus::Success && all_answered))
}

fn wait_for(begin_at: Option<Micros>, reactor: &Reactor) {
    if let Some(at) = begin_at {
        std::thread::sleep(Duration::from_micros(at.saturating_sub(reactor.clock().now())));
    }
}

/// Shows a progress line on the terminal until the load has finished.
fn show_progress(load: &Load, finished: Arc<AtomicBool>) -> JoinHandle<()> {
    let progress = load.progress();
    std::thread::spawn(move || {
        while !finished.load(Ordering::Relaxed) {
            eprint!("\r\x1b[K{}", progress.line());
            std::thread::sleep(PROGRESS_INTERVAL);
        }
        eprintln!("\r\x1b[K{}", progress.line());
    })
}

fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(CommandError::in_file(path))
}
