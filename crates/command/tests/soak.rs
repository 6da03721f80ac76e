//! A soak over real processes: routers, workers, a proxy before each, clients and discovery, with two or three faults
//! at a time, in the processes, between them and, by a library loaded into routers, in their system calls and clocks.
//! A checker that knows nothing of routers judges. `SOAK_RUNS` and `FIRST_SOAK` set how many runs are played and the seed
//! of the first; a run that breaks a rule keeps its logs and all that was reported, and names them.
//!
//! This program also is the workers and proxies that it starts, in the role that its environment names.

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

/// The environment's variable that names the role of a process of ours.
pub const ROLE: &str = "TIDEROUTE_SOAK_ROLE";
/// Runs, unless the environment says otherwise.
const RUNS: u64 = 8;
/// Runs that are played at the same time.
const PARALLEL_RUNS: u64 = 4;
/// The test's name, for those who choose tests by a part of it.
const TEST_NAME: &str = "every_rule_holds_while_faults_overlap";
/// How much later than it happened something may be observed on a busy machine.
const OBSERVATION_DELAY: Micros = 500 * MS;
/// How long clients send requests.
const LOAD_TIME: Duration = Duration::from_millis(5_000);
/// How long reserved state is watched after that.
const WATCH_TIME: Duration = Duration::from_millis(3_500);

/// Why a run could not be played. It has failed, and says nothing of the rules.
#[derive(Debug)]
pub struct Failure(String);

impl<E: std::error::Error> From<E> for Failure {
    fn from(problem: E) -> Failure {
        Failure(problem.to_string())
    }
}

/// The library that routers are loaded with, which Cargo has built beside this program.
pub fn shim() -> Result<PathBuf, Failure> {
    let path = std::env::current_exe()?.with_file_name("libtideroute_fault_injection.so");
    if path.exists() {
        Ok(path)
    } else {
        Err(Failure(format!("{}: no such library", path.display())))
    }
}

/// The result of a run.
struct Run {
    broken: Option<String>,
    processes: usize,
    requests: usize,
    met: Vec<(Fault, Fault)>,
}

/// Injects two or three overlapping faults, again and again.
fn inject_faults(fleet: &Fleet, met: &Mutex<Vec<(Fault, Fault)>>, failed: &Mutex<Option<Failure>>) {
    let ends = Instant::now() + LOAD_TIME;
    // Where lists may come late, drains are hardly ever told within a run.
    let endpoint_lists_in_time = fleet.seed.is_multiple_of(2);
    std::thread::scope(|scope| {
        while Instant::now() < ends {
            let many = 2 + (fleet.judge.random_unit() * 2.0) as usize;
            let mut drawn: Vec<Fault> = vec![];
            while drawn.len() < many {
                let next = ALL_FAULTS[(fleet.judge.random_unit() * ALL_FAULTS.len() as f64) as usize];
                let one_of_all = next.is_global() && drawn.iter().any(|t| t.is_global());
                if !(one_of_all || next.delays_endpoint_lists() && endpoint_lists_in_time) {
                    drawn.push(next);
                }
            }
            drawn.sort();
            let pairs = (0..many).flat_map(|a| (a + 1..many).map(move |b| (a, b)));
            lock(met).extend(pairs.map(|(a, b)| (drawn[a], drawn[b])));
            for fault in drawn {
                let after = Duration::from_millis(fleet.judge.random_range(1.0, 300.0));
                scope.spawn(move || {
                    std::thread::sleep(after);
                    if let Err(failure) = fleet.inject(fault) {
                        lock(failed).get_or_insert(failure);
                    }
                });
            }
            std::thread::sleep(Duration::from_millis(fleet.judge.random_range(300.0, 1_500.0)));
        }
    });
}

/// Ends the processes of a run when dropped.
struct EndOnDrop<'a>(&'a Fleet);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.end();
    }
}

fn play(seed: u64) -> Result<Run, Failure> {
    let mut draw = Rng::new(3 * seed + 1);
    let customer = GeneratedDeployment::generate(&mut draw);
    let judge = Arc::new(Monitor::new(customer, draw, OBSERVATION_DELAY));
    let fleet = Fleet::start(judge.clone(), seed)?;
    let _ending = EndOnDrop(&fleet);
    let (met, failed) = (Mutex::default(), Mutex::default());
    let ends = Instant::now() + LOAD_TIME;
    std::thread::scope(|scope| {
        scope.spawn(|| inject_faults(&fleet, &met, &failed));
        while Instant::now() < ends {
            std::thread::sleep(Duration::from_millis(judge.random_range(5.0, 120.0)));
            let routers = fleet.routers();
            let router = &routers[(judge.random_unit() * routers.len() as f64) as usize];
            let fleet = &fleet;
            scope.spawn(move || clients::client(fleet, router));
        }
        while Instant::now() < ends + WATCH_TIME && judge.violation().is_none() {
            judge.check();
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
        .for_each(|what| judge.report_violation(what));
    let broken = judge.violation().map(|broken| format!("soak {seed}: {broken}"));
    if broken.is_some() {
        let path = std::env::temp_dir().join(format!("tideroute-soak-{seed}-{}.trace", std::process::id()));
        std::fs::write(path, judge.log_lines().join("\n"))?;
    }
    fleet.clean_up(broken.is_some());
    let requests = judge.checker().request_count();
    let met = lock(&met).clone();
    Ok(Run { broken, processes: fleet.processes(), requests, met })
}

/// A number that the environment gives, if it gives one.
fn number(variable: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = std::env::var_os(variable) else { return Ok(None) };
    let number = text.to_str().and_then(|text| text.parse().ok());
    number.map(Some).ok_or(Failure(format!("{variable}: {text:?} is no number")))
}

fn soak() -> Result<Vec<String>, Failure> {
    let (first, runs) = (number("FIRST_SOAK")?.unwrap_or(1), number("SOAK_RUNS")?.unwrap_or(RUNS));
    shim()?;
    let (mut broken, mut met) = (vec![], BTreeMap::<_, usize>::new());
    let (mut processes, mut requests) = (0, 0);
    for from in (first..first + runs).step_by(PARALLEL_RUNS as usize) {
        let seeds = from..(from + PARALLEL_RUNS).min(first + runs);
        let threads: Vec<_> = seeds.map(|seed| (seed, std::thread::spawn(move || play(seed)))).collect();
        for (seed, thread) in threads {
            match thread.join() {
                Ok(Ok(run)) => {
                    (processes, requests) = (processes + run.processes, requests + run.requests);
                    run.met.into_iter().for_each(|pair| *met.entry(pair).or_default() += 1);
                    broken.extend(run.broken);
                }
                Ok(Err(Failure(problem))) => {
                    broken.push(format!("soak {seed} could not be played: {problem}"))
                }
                Err(_) => broken.push(format!("soak {seed} could not be played: its thread panicked")),
            }
        }
    }
    println!(
        "{runs} runs from seed {first}: {processes} processes, {requests} requests, {} broken",
        broken.len()
    );
    let pairs = ALL_FAULTS.len() * (ALL_FAULTS.len() + 1) / 2;
    println!("{} pairs of faults of {pairs} overlapped, {} times", met.len(), met.values().sum::<usize>());
    Ok(broken)
}

/// A process in another role, which lasts as long as the one that started it.
fn run_role(role: &str) -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |n: usize| arguments.get(n).ok_or(Failure(format!("argument {n} is missing")));
    let listener = TcpListener::bind(argument(0)?)?;
    match role {
        "worker" => {
            let kind = serde_json::from_str(argument(1)?)?;
            let at = RemoteMonitor::new(argument(2)?, argument(3)?.parse()?);
            std::thread::spawn(move || {
                tideroute_test_support::emulated_worker::serve(listener, kind, Arc::new(at))
            });
            let _ = std::io::read_to_string(std::io::stdin())?;
        }
        "proxy" => {
            let (worker, at) = (argument(1)?.parse()?, RemoteMonitor::new(argument(2)?, 0));
            let (to, orders) = (argument(3)?.clone(), Arc::new(ProxyControl::default()));
            let taken = orders.clone();
            std::thread::spawn(move || {
                tideroute_test_support::proxy::serve(listener, worker, &to, &taken, Arc::new(at));
            });
            for line in std::io::stdin().lines() {
                let line = line?;
                if !orders.apply(&line) {
                    return Err(Failure(format!("{line}: no such order")));
                }
            }
        }
        _ => return Err(Failure(format!("{role}: no such role"))),
    }
    Ok(())
}

fn main() -> ExitCode {
    if let Ok(role) = std::env::var(ROLE) {
        return run_role(&role).map_or_else(
            |Failure(problem)| {
                eprintln!("{role}: {problem}");
                ExitCode::FAILURE
            },
            |()| ExitCode::SUCCESS,
        );
    }
    // As the usual harness does: a word chooses tests by a part of their name.
    let chosen =
        std::env::args().skip(1).filter(|word| !word.starts_with('-')).all(|word| TEST_NAME.contains(&word));
    println!("\nrunning {} test{}", u8::from(chosen), if chosen { "" } else { "s" });
    let broken = if chosen { soak().unwrap_or_else(|Failure(problem)| vec![problem]) } else { vec![] };
    if chosen {
        println!("test {TEST_NAME} ... {}", if broken.is_empty() { "ok" } else { "FAILED" });
    }
    broken.iter().for_each(|broken| println!("{broken}"));
    let (passed, failed) = (u8::from(chosen && broken.is_empty()), u8::from(!broken.is_empty()));
    let word = if broken.is_empty() { "ok" } else { "FAILED" };
    println!(
        "\ntest result: {word}. {passed} passed; {failed} failed; 0 ignored; 0 measured; {} filtered out\n",
        u8::from(!chosen)
    );
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
