//! Plays a scenario on real processes, and checks the captured traffic and the expectations of the scenario.

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
use crate::process_configs::{self, ProcessAddresses};
use crate::processes::Processes;
use crate::relays::Relays;
use player::ScenarioPlayer;
pub(crate) use timeline::{fault_timeline, FaultAction};

/// Microseconds that are left for all processes to start before the load begins, in addition to the lag of the
/// endpoint list.
const START_TIME: Micros = 1_500_000;
/// Microseconds by which `START_TIME` is extended for each process.
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
    #[error("{0} did not listen in time")]
    NotListening(String),
    /// A configuration file could not be written.
    #[error("{0}")]
    Config(#[from] ConfigErrors),
    /// The captures of the processes could not be merged.
    #[error("the captures could not be merged: {0}")]
    MergeCaptures(#[from] CaptureError),
    /// The capture could not be checked.
    #[error(transparent)]
    CheckRules(#[from] CheckError),
    /// The membership events of the capture could not be checked.
    #[error(transparent)]
    CheckMembership(#[from] tideroute_membership_checker::CheckError),
    /// The client load ended without results.
    #[error("the client load ended without results")]
    NoLoadResults,
    /// The scenario has a fault that only virtual time can play.
    #[error("a scenario that removes tenants can only be played with --in-virtual-time")]
    VirtualOnly,
    /// A signal ended the scenario early.
    #[error("interrupted")]
    Interrupted,
}

/// The outcome of a scenario.
pub struct ScenarioOutcome {
    /// The result of checking the rules on its capture.
    pub report: Report,
    /// The result of checking how its routers saw each other; `None` if they did not form a cluster.
    pub membership: Option<MembershipReport>,
    /// The statistics of the client load, as `tideroute load --json` writes them.
    pub load_results: serde_json::Value,
    /// The statistics of the client load as a table.
    pub load_table: String,
    /// The expectations of the scenario: each with the observed value and whether it was met.
    pub expected: Vec<(String, String, bool)>,
    /// The peak memory of each process, in bytes.
    pub memory: BTreeMap<String, u64>,
    /// The CPU time of each process, in seconds.
    pub cpu: BTreeMap<String, f64>,
    /// The largest number of open descriptors of each process.
    pub descriptors: BTreeMap<String, u64>,
    /// Seconds until all processes listened, and seconds of the whole scenario.
    pub elapsed_seconds: [f64; 2],
    /// The path of its capture.
    pub capture: PathBuf,
}

impl ScenarioOutcome {
    /// Returns whether all rules were kept and all expectations met.
    pub fn passed(&self) -> bool {
        self.report.is_clean()
            && self.membership.as_ref().is_none_or(MembershipReport::is_clean)
            && self.expected.iter().all(|(.., met)| *met)
    }
}

/// Plays a scenario, with all its files in `folder`. `program` is the path of the tideroute binary, which all processes
/// run; `interrupted` ends the scenario early when it is set.
pub fn play(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
) -> Result<ScenarioOutcome, ScenarioError> {
    if scenario.scheduled_faults.iter().any(|fault| fault.kind == "remove") {
        return Err(ScenarioError::VirtualOnly);
    }
    let scenario = &faults::with_generated_faults(scenario);
    let (player, addresses) = play_processes(scenario, program, folder, interrupted, None)?;
    let (load_table, clean_exits, crashed) =
        (player.load_table.clone(), player.clean_exits.clone(), player.crashed.clone());
    let (memory, capture_parts) = (player.processes.memory.clone(), &player.processes.parts);
    let capture = folder.join("day.record.zst");
    let mut checker_config =
        serde_json::to_value(process_configs::checker_config(scenario, &addresses)).unwrap_or_default();
    checker_config["members"] =
        serde_json::to_value(process_configs::cluster_members(scenario, player.load_starts_at))
            .unwrap_or_default();
    capture_merge::merge(capture_parts, &checker_config.to_string(), &capture)?;
    let (report, membership) = (check_rules(&capture)?, check_membership(&capture)?);
    let load_results = std::fs::read(folder.join("load.json")).map_err(|_| ScenarioError::NoLoadResults)?;
    let load_results = serde_json::from_slice(&load_results).map_err(|_| ScenarioError::NoLoadResults)?;
    let expected =
        expectations::expectations(scenario, &load_results, &memory, &clean_exits, &crashed, &report);
    let (cpu, descriptors) = (player.processes.cpu.clone(), player.processes.descriptors.clone());
    let elapsed_seconds =
        [player.listening_at, player.processes.now()].map(|moment| (moment - player.started_at) as f64 / 1e6);
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

/// Plays a scenario to measure the latency of the network hops of its requests. The requests go through the routers, or
/// directly to the workers if `direct` is set.
pub fn measure(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    direct: bool,
) -> Result<HopLatencies, ScenarioError> {
    let capture = play_and_merge(scenario, program, folder, interrupted, direct.then_some("next"))?;
    Ok(measure_hops(open(&capture)?, !direct)?)
}

/// Plays a scenario without routers: its load goes directly to workers. `policy` names the
/// [`PrefillPolicy`](crate::prefill_policies::PrefillPolicy) that chooses prefill workers. Returns the path of the
/// capture.
pub fn play_direct(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    policy: &str,
) -> Result<PathBuf, ScenarioError> {
    play_and_merge(scenario, program, folder, interrupted, Some(policy))
}

fn play_and_merge(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    direct_policy: Option<&str>,
) -> Result<PathBuf, ScenarioError> {
    let (player, addresses) = play_processes(scenario, program, folder, interrupted, direct_policy)?;
    let capture = folder.join("day.record.zst");
    let checker_config =
        serde_json::to_string(&process_configs::checker_config(scenario, &addresses)).unwrap_or_default();
    capture_merge::merge(&player.processes.parts, &checker_config, &capture)?;
    Ok(capture)
}

/// Plays a scenario from the start of the first process to the end of the last one.
fn play_processes<'a>(
    scenario: &'a Scenario,
    program: &Path,
    folder: &'a Path,
    interrupted: &'a AtomicBool,
    direct_policy: Option<&'a str>,
) -> Result<(ScenarioPlayer<'a>, ProcessAddresses), ScenarioError> {
    std::fs::create_dir_all(folder).map_err(|e| ScenarioError::File(folder.display().to_string(), e))?;
    let relays = Relays::plan(scenario);
    let addresses = ports::free_addresses(scenario, relays.listener_count()).map_err(ScenarioError::Start)?;
    let clock = Clock::start();
    let load_starts_at =
        clock.now() + START_TIME + START_TIME_PER_PROCESS * process_count(scenario) as u64 + scenario.lag;
    let mut player = ScenarioPlayer {
        scenario,
        folder,
        load_starts_at,
        started_at: clock.now(),
        listening_at: 0,
        processes: Processes::new(program, folder, clock),
        process_specs: BTreeMap::new(),
        crashed: vec![],
        clean_exits: BTreeMap::new(),
        load_table: String::new(),
        direct_policy,
        interrupted,
    };
    player.write_files(&addresses, &relays)?;
    player.start_all()?;
    player.listening_at = player.processes.now();
    player.run()?;
    player.stop_all()?;
    Ok((player, addresses))
}

/// Opens a compressed capture, to be read uncompressed.
pub fn open(capture: &Path) -> Result<impl Read, ScenarioError> {
    let with_path = |e| ScenarioError::File(capture.display().to_string(), e);
    let file = std::fs::File::open(capture).map_err(with_path)?;
    zstd::Decoder::new(file).map_err(with_path)
}

/// Checks the rules on a capture.
pub fn check_rules(capture: &Path) -> Result<Report, ScenarioError> {
    Ok(tideroute_trace_checker::check(open(capture)?)?)
}

/// Checks on a capture how routers saw each other. Returns `None` if they did not form a cluster.
pub fn check_membership(capture: &Path) -> Result<Option<MembershipReport>, ScenarioError> {
    Ok(tideroute_membership_checker::check(open(capture)?)?)
}

/// Returns the number of processes of a scenario: routers, workers, the endpoint list and the client load.
fn process_count(scenario: &Scenario) -> usize {
    scenario.routers + scenario.workers().count() + 2
}
