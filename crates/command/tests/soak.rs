//! A soak test on real processes: routers, workers with a proxy in front of each, clients and discovery. Two or three
//! faults overlap at any time: in the processes, on the connections between them and, through a library that is loaded
//! into the routers, in their system calls and clocks. A checker that is independent of the router's code decides
//! whether the rules hold. `SOAK_RUNS` sets the number of runs and `FIRST_SOAK` the seed of the first one. A run that
//! violates a rule keeps its logs and the monitor's event log, and prints their paths.
//!
//! The workers and proxies are processes of this same program, in the role that an environment variable names.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tideroute::rng::Rng;
use tideroute_test_support::deployment::GeneratedDeployment;
use tideroute_test_support::emulated_worker::POLL_INTERVAL;
use tideroute_test_support::monitor::Monitor;
use tideroute_test_support::monitor_channel::RemoteMonitor;
use tideroute_test_support::proxy::ProxyControl;
use tideroute_test_support::virtual_time::MS;
use tideroute_wire::Micros;

#[path = "soak/clients.rs"]
mod clients;
#[path = "soak/discovery.rs"]
mod discovery;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/request_traces.rs"]
mod request_traces;

use faults::{Fault, ALL_FAULTS};
use fleet::{lock, Fleet};

/// The environment variable that sets the role of a process that this test starts.
pub const ROLE: &str = "TIDEROUTE_SOAK_ROLE";
/// The number of runs if `SOAK_RUNS` is not set.
const RUNS: u64 = 8;
/// The number of runs that are played at the same time.
const PARALLEL_RUNS: u64 = 4;
/// The test's name, which an argument of the command line can select by a part of it.
const TEST_NAME: &str = "every_rule_holds_while_faults_overlap";
/// How long after an event the test may observe it on a busy machine.
const OBSERVATION_DELAY: Micros = 500 * MS;
/// How long clients send requests.
const LOAD_TIME: Duration = Duration::from_millis(5_000);
/// How long reserved state is checked after the clients stop sending requests.
const WATCH_TIME: Duration = Duration::from_millis(3_500);

/// Why a run could not be played. Such a run counts as failed, but tells nothing about the rules.
#[derive(Debug)]
pub struct Failure(String);

impl<E: std::error::Error> From<E> for Failure {
    fn from(error: E) -> Failure {
        Failure(error.to_string())
    }
}

/// Returns the path of the fault injection library that is preloaded into routers. Cargo builds it beside this program.
pub fn shim() -> Result<PathBuf, Failure> {
    let path = std::env::current_exe()?.with_file_name("libtideroute_fault_injection.so");
    if path.exists() {
        Ok(path)
    } else {
        Err(Failure(format!("{}: library not found", path.display())))
    }
}

/// The result of a run.
struct Run {
    violation: Option<String>,
    processes: usize,
    requests: usize,
    /// The pairs of faults that overlapped.
    overlapping: Vec<(Fault, Fault)>,
}

/// Injects two or three overlapping faults repeatedly during the load time.
fn inject_faults(fleet: &Fleet, overlapping: &Mutex<Vec<(Fault, Fault)>>, failed: &Mutex<Option<Failure>>) {
    let load_end = Instant::now() + LOAD_TIME;
    // Half of the runs inject no fault that delays endpoint lists: with such faults, a drain hardly ever reaches the
    // routers in time within a run.
    let endpoint_lists_in_time = fleet.seed.is_multiple_of(2);
    std::thread::scope(|scope| {
        while Instant::now() < load_end {
            let count = 2 + (fleet.monitor.random_unit() * 2.0) as usize;
            let mut faults: Vec<Fault> = vec![];
            while faults.len() < count {
                let candidate = ALL_FAULTS[(fleet.monitor.random_unit() * ALL_FAULTS.len() as f64) as usize];
                let second_global_fault =
                    candidate.is_global() && faults.iter().any(|fault| fault.is_global());
                if !(second_global_fault || candidate.delays_endpoint_lists() && endpoint_lists_in_time) {
                    faults.push(candidate);
                }
            }
            faults.sort();
            let pairs = (0..count).flat_map(|a| (a + 1..count).map(move |b| (a, b)));
            lock(overlapping).extend(pairs.map(|(a, b)| (faults[a], faults[b])));
            for fault in faults {
                let delay = Duration::from_millis(fleet.monitor.random_range(1.0, 300.0));
                scope.spawn(move || {
                    std::thread::sleep(delay);
                    if let Err(failure) = fleet.inject(fault) {
                        lock(failed).get_or_insert(failure);
                    }
                });
            }
            std::thread::sleep(Duration::from_millis(fleet.monitor.random_range(300.0, 1_500.0)));
        }
    });
}

/// Kills the processes of a run when dropped.
struct EndOnDrop<'a>(&'a Fleet);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Plays one run, and returns its result.
fn play(seed: u64) -> Result<Run, Failure> {
    let mut rng = Rng::new(3 * seed + 1);
    let deployment = GeneratedDeployment::generate(&mut rng);
    let monitor = Arc::new(Monitor::new(deployment, rng, OBSERVATION_DELAY));
    let fleet = Fleet::start(monitor.clone(), seed)?;
    let _ending = EndOnDrop(&fleet);
    let (overlapping, failed) = (Mutex::default(), Mutex::default());
    let load_end = Instant::now() + LOAD_TIME;
    std::thread::scope(|scope| {
        scope.spawn(|| inject_faults(&fleet, &overlapping, &failed));
        while Instant::now() < load_end {
            std::thread::sleep(Duration::from_millis(monitor.random_range(5.0, 120.0)));
            let routers = fleet.routers();
            let router = &routers[(monitor.random_unit() * routers.len() as f64) as usize];
            let fleet = &fleet;
            scope.spawn(move || clients::client(fleet, router));
        }
        while Instant::now() < load_end + WATCH_TIME && monitor.violation().is_none() {
            monitor.check();
            std::thread::sleep(POLL_INTERVAL);
        }
        fleet.over.store(true, Ordering::SeqCst);
    });
    if let Some(failure) = lock(&failed).take() {
        return Err(failure);
    }
    fleet.end();
    fleet
        .violations()
        .into_iter()
        .chain(request_traces::missing(&fleet))
        .for_each(|message| monitor.report_violation(message));
    let violation = monitor.violation().map(|violation| format!("soak {seed}: {violation}"));
    if violation.is_some() {
        let path = std::env::temp_dir().join(format!("tideroute-soak-{seed}-{}.trace", std::process::id()));
        std::fs::write(path, monitor.log_lines().join("\n"))?;
    }
    fleet.clean_up(violation.is_some());
    let requests = monitor.checker().request_count();
    let overlapping = lock(&overlapping).clone();
    Ok(Run { violation, processes: fleet.processes(), requests, overlapping })
}

/// Returns the number that an environment variable holds, or `None` if the variable is not set.
fn number_from_environment(variable: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = std::env::var_os(variable) else { return Ok(None) };
    let number = text.to_str().and_then(|text| text.parse().ok());
    number.map(Some).ok_or(Failure(format!("{variable}: {text:?} is not a number")))
}

/// Plays all runs, and returns a message for each run that violated a rule or could not be played.
fn soak() -> Result<Vec<String>, Failure> {
    let (first, runs) = (
        number_from_environment("FIRST_SOAK")?.unwrap_or(1),
        number_from_environment("SOAK_RUNS")?.unwrap_or(RUNS),
    );
    shim()?;
    let (mut failures, mut overlaps) = (vec![], BTreeMap::<_, usize>::new());
    let (mut processes, mut requests) = (0, 0);
    for from in (first..first + runs).step_by(PARALLEL_RUNS as usize) {
        let seeds = from..(from + PARALLEL_RUNS).min(first + runs);
        let threads: Vec<_> = seeds.map(|seed| (seed, std::thread::spawn(move || play(seed)))).collect();
        for (seed, thread) in threads {
            match thread.join() {
                Ok(Ok(run)) => {
                    (processes, requests) = (processes + run.processes, requests + run.requests);
                    run.overlapping.into_iter().for_each(|pair| *overlaps.entry(pair).or_default() += 1);
                    failures.extend(run.violation);
                }
                Ok(Err(Failure(error))) => failures.push(format!("soak {seed} could not be played: {error}")),
                Err(_) => failures.push(format!("soak {seed} could not be played: its thread panicked")),
            }
        }
    }
    println!(
        "{runs} runs from seed {first}: {processes} processes, {requests} requests, {} failed",
        failures.len()
    );
    let pairs = ALL_FAULTS.len() * (ALL_FAULTS.len() + 1) / 2;
    println!(
        "{} of {pairs} pairs of faults overlapped, {} times",
        overlaps.len(),
        overlaps.values().sum::<usize>()
    );
    Ok(failures)
}

/// Runs this process in the role of a worker or a proxy, until the process that started it ends.
fn run_role(role: &str) -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |n: usize| arguments.get(n).ok_or(Failure(format!("argument {n} is missing")));
    let listener = TcpListener::bind(argument(0)?)?;
    match role {
        "worker" => {
            let kind = serde_json::from_str(argument(1)?)?;
            let monitor = RemoteMonitor::new(argument(2)?, argument(3)?.parse()?);
            std::thread::spawn(move || {
                tideroute_test_support::emulated_worker::serve(listener, kind, Arc::new(monitor))
            });
            let _ = std::io::read_to_string(std::io::stdin())?;
        }
        "proxy" => {
            let (worker, monitor) = (argument(1)?.parse()?, RemoteMonitor::new(argument(2)?, 0));
            let (worker_address, control) = (argument(3)?.clone(), Arc::new(ProxyControl::default()));
            let shared_control = control.clone();
            std::thread::spawn(move || {
                tideroute_test_support::proxy::serve(
                    listener,
                    worker,
                    &worker_address,
                    &shared_control,
                    Arc::new(monitor),
                );
            });
            for line in std::io::stdin().lines() {
                let line = line?;
                if !control.apply(&line) {
                    return Err(Failure(format!("{line}: unknown command")));
                }
            }
        }
        _ => return Err(Failure(format!("{role}: unknown role"))),
    }
    Ok(())
}

fn main() -> ExitCode {
    if let Ok(role) = std::env::var(ROLE) {
        return run_role(&role).map_or_else(
            |Failure(error)| {
                eprintln!("{role}: {error}");
                ExitCode::FAILURE
            },
            |()| ExitCode::SUCCESS,
        );
    }
    // Like the standard test harness: an argument that is not an option selects the tests whose name contains it.
    let selected = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with('-'))
        .all(|filter| TEST_NAME.contains(&filter));
    println!("\nrunning {} test{}", u8::from(selected), if selected { "" } else { "s" });
    let failures = if selected { soak().unwrap_or_else(|Failure(error)| vec![error]) } else { vec![] };
    if selected {
        println!("test {TEST_NAME} ... {}", if failures.is_empty() { "ok" } else { "FAILED" });
    }
    failures.iter().for_each(|failure| println!("{failure}"));
    let (passed, failed) = (u8::from(selected && failures.is_empty()), u8::from(!failures.is_empty()));
    let result = if failures.is_empty() { "ok" } else { "FAILED" };
    println!(
        "\ntest result: {result}. {passed} passed; {failed} failed; 0 ignored; 0 measured; {} filtered out\n",
        u8::from(!selected)
    );
    if failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
