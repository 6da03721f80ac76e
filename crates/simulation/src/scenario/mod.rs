//! Plays a scenario on real processes and judges it.

mod expectations;
mod player;
mod ports;
mod timeline;

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;

use tideroute_config_language::records::Scenario;
use tideroute_config_language::ConfigErrors;
use tideroute_membership_checker::Report as MembershipReport;
use tideroute_reactor::clock::Clock;
use tideroute_trace_checker::{CheckError, Report};
use tideroute_wire::capture::CaptureError;
use tideroute_wire::Micros;

use crate::capture_merge;
use crate::faults;
use crate::hop_latencies::{measure_hops, HopLatencies};
use crate::process_configs::{self, Ports};
use crate::processes::Processes;
use crate::relays::Relays;
use player::ScenarioPlayer;
pub(crate) use timeline::{fault_timeline, FaultAction};

/// Microseconds: how long all processes have to start before the load begins, beyond the endpoint list's lag.
const START_TIME: Micros = 1_500_000;
/// Microseconds more for each process.
const START_TIME_PER_PROCESS: Micros = 15_000;

/// Why a scenario could not be played or its capture not be read.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// A process could not be started.
    #[error("a process could not be started: {0}")]
    Start(io::Error),
    /// A process did not listen in time.
    #[error("{0} does not listen")]
    NotListening(String),
    /// A configuration file could not be written.
    #[error("{0}")]
    Config(#[from] ConfigErrors),
    /// The captures of the processes could not be merged.
    #[error("the record could not be merged: {0}")]
    Record(#[from] CaptureError),
    /// The capture could not be checked.
    #[error(transparent)]
    Check(#[from] CheckError),
    /// The views of members could not be checked.
    #[error(transparent)]
    Views(#[from] tideroute_membership_checker::CheckError),
    /// The client load ended without its figures.
    #[error("the load ended without its figures")]
    NoFigures,
    /// The scenario has a fault that only virtual time can play.
    #[error("a day in which tenants are removed is played with --in-virtual-time only")]
    VirtualOnly,
    /// A signal ended the scenario early.
    #[error("interrupted")]
    Interrupted,
}

/// The outcome of a scenario.
pub struct ScenarioOutcome {
    /// The rules on its capture.
    pub report: Report,
    /// How its routers saw each other, where they knew each other.
    pub membership: Option<MembershipReport>,
    /// The load's figures, as `tideroute load --json` writes them.
    pub load_results: serde_json::Value,
    /// The table of the client load.
    pub load_table: String,
    /// Expectations of the scenario, each with what was seen and whether it held.
    pub expected: Vec<(String, String, bool)>,
    /// The most memory of each process, in bytes.
    pub memory: BTreeMap<String, u64>,
    /// Seconds of CPU of each process.
    pub cpu: BTreeMap<String, f64>,
    /// The most descriptors of each process.
    pub descriptors: BTreeMap<String, u64>,
    /// Seconds until all listened, and in all.
    pub elapsed_seconds: [f64; 2],
    /// Where its capture is.
    pub capture: PathBuf,
}

impl ScenarioOutcome {
    /// Whether all rules and expectations held.
    pub fn passed(&self) -> bool {
        self.report.is_clean()
            && self.membership.as_ref().is_none_or(MembershipReport::is_clean)
            && self.expected.iter().all(|(.., held)| *held)
    }
}

/// Plays a scenario in a folder of its own. `program` is the program itself; `interrupted` ends it early.
pub fn play(
    day: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
) -> Result<ScenarioOutcome, ScenarioError> {
    if day.scheduled_faults.iter().any(|t| t.kind == "remove") {
        return Err(ScenarioError::VirtualOnly);
    }
    let day = &faults::with_generated_faults(day);
    let (player, ports) = play_processes(day, program, folder, interrupted, None)?;
    let (load_table, exits, fallen) = (player.table.clone(), player.exits.clone(), player.fallen.clone());
    let (memory, all) = (player.processes.memory.clone(), &player.processes.parts);
    let capture = folder.join("day.record.zst");
    let mut terms = serde_json::to_value(process_configs::rules(day, &ports)).unwrap_or_default();
    terms["members"] = serde_json::to_value(process_configs::members(day, player.begins)).unwrap_or_default();
    capture_merge::merge(all, &terms.to_string(), &capture)?;
    let (report, membership) = (check(&capture)?, check_membership(&capture)?);
    let load_results = std::fs::read(folder.join("load.json")).map_err(|_| ScenarioError::NoFigures)?;
    let load_results = serde_json::from_slice(&load_results).map_err(|_| ScenarioError::NoFigures)?;
    let expected = expectations::expectations(day, &load_results, &memory, &exits, &fallen, &report);
    let (cpu, descriptors) = (player.processes.cpu.clone(), player.processes.descriptors.clone());
    let elapsed_seconds =
        [player.listened, player.processes.now()].map(|at| (at - player.started) as f64 / 1e6);
    Ok(ScenarioOutcome {
        report,
        membership,
        load_results,
        load_table,
        expected,
        memory,
        cpu,
        descriptors,
        elapsed_seconds,
        capture,
    })
}

/// Plays a scenario only to measure the network hops of requests, through its routers or directly to workers.
pub fn measure(
    day: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    direct: bool,
) -> Result<HopLatencies, ScenarioError> {
    let capture = play_and_merge(day, program, folder, interrupted, direct.then_some("next"))?;
    Ok(measure_hops(open(&capture)?, !direct)?)
}

/// Plays a scenario without routers: its load goes directly to workers, with that policy to choose prefill workers
/// ([`PrefillPolicy`](crate::prefill_policies::PrefillPolicy)). Returns where the capture is.
pub fn play_direct(
    day: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    policy: &str,
) -> Result<PathBuf, ScenarioError> {
    play_and_merge(day, program, folder, interrupted, Some(policy))
}

fn play_and_merge(
    day: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    direct_policy: Option<&str>,
) -> Result<PathBuf, ScenarioError> {
    let (player, ports) = play_processes(day, program, folder, interrupted, direct_policy)?;
    let capture = folder.join("day.record.zst");
    let terms = serde_json::to_string(&process_configs::rules(day, &ports)).unwrap_or_default();
    capture_merge::merge(&player.processes.parts, &terms, &capture)?;
    Ok(capture)
}

/// Plays a scenario from the start of the first process to the end of the last.
fn play_processes<'a>(
    day: &'a Scenario,
    program: &Path,
    folder: &'a Path,
    interrupted: &'a AtomicBool,
    direct_policy: Option<&'a str>,
) -> Result<(ScenarioPlayer<'a>, Ports), ScenarioError> {
    std::fs::create_dir_all(folder).map_err(|e| ScenarioError::File(folder.display().to_string(), e))?;
    let relays = Relays::plan(day);
    let ports = ports::free_ports(day, relays.doors()).map_err(ScenarioError::Start)?;
    let clock = Clock::start();
    let begins = clock.now() + START_TIME + START_TIME_PER_PROCESS * processes(day) as u64 + day.lag;
    let mut player = ScenarioPlayer {
        day,
        folder,
        begins,
        started: clock.now(),
        listened: 0,
        processes: Processes::new(program, folder, clock),
        recipes: BTreeMap::new(),
        fallen: vec![],
        exits: BTreeMap::new(),
        table: String::new(),
        direct_policy,
        interrupted,
    };
    player.write_files(&ports, &relays)?;
    player.start_all()?;
    player.listened = player.processes.now();
    player.run()?;
    player.stop_all()?;
    Ok((player, ports))
}

/// Opens a compressed capture.
pub fn open(capture: &Path) -> Result<impl Read, ScenarioError> {
    let named = |e| ScenarioError::File(capture.display().to_string(), e);
    let file = std::fs::File::open(capture).map_err(named)?;
    zstd::Decoder::new(file).map_err(named)
}

/// Checks the rules on a capture.
pub fn check(capture: &Path) -> Result<Report, ScenarioError> {
    Ok(tideroute_trace_checker::check(open(capture)?)?)
}

/// Checks on a capture how routers saw each other; None if they did not know each other.
pub fn check_membership(capture: &Path) -> Result<Option<MembershipReport>, ScenarioError> {
    Ok(tideroute_membership_checker::check(open(capture)?)?)
}

/// How many processes a scenario has.
fn processes(day: &Scenario) -> usize {
    day.routers + day.workers().count() + 2
}
