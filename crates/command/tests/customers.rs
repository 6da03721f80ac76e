//! Generated deployments with the router as real processes on loopback, under worker faults, judged by the same checker
//! as in virtual time (`crates/gateway/tests/customers`). `PROCESS_CUSTOMERS` sets the number of deployments and
//! `FIRST_CUSTOMER` the seed of the first one. If a rule is violated, the routers' logs of that deployment are kept and
//! their paths are printed.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use tideroute::rng::Rng;
use tideroute_test_support::deployment::GeneratedDeployment;
use tideroute_test_support::emulated_worker::{self, is_timeout, WorkerEnvironment, POLL_INTERVAL};
use tideroute_test_support::http_messages::{chat_request_with, chunk};
use tideroute_test_support::monitor::Monitor;
use tideroute_test_support::process::{send_signal, unused_address, wait_for, KillOnDrop};
use tideroute_test_support::virtual_time::MS;
use tideroute_test_support::worker_event::WorkerEvent;
use tideroute_wire::Micros;

/// The number of deployments if `PROCESS_CUSTOMERS` is not set.
const DEPLOYMENTS: u64 = 8;
/// The number of deployments that are played at the same time.
const PARALLEL_RUNS: u64 = 4;
/// How long after an event the test may observe it on a busy machine, unlike in virtual time.
const OBSERVATION_DELAY: Micros = 400 * MS;
/// How long clients send requests.
const LOAD_TIME: Duration = Duration::from_millis(2_500);
/// How long reserved state is checked after the clients stop sending requests.
const WATCH_TIME: Duration = Duration::from_millis(2_500);
/// The longest time for which a client waits for its response, in milliseconds.
const MAX_WAIT_MS: u64 = 1_500;
/// The interval of discovery's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

// The states of an emulated worker's process.
const SERVING: u8 = 0;
const HANGING: u8 = 1;
const VANISHED: u8 = 2;

/// An emulated worker's process.
#[derive(Default)]
struct Server {
    /// [`SERVING`], [`HANGING`] or [`VANISHED`].
    state: AtomicU8,
    /// The number of restarts so far.
    start: AtomicU64,
}

/// The emulated workers, discovery and clients of one deployment.
struct Fleet {
    monitor: Monitor,
    servers: Vec<Server>,
    addresses: Vec<String>,
    watches: Mutex<Vec<TcpStream>>,
    version: AtomicU64,
    connections_opened: AtomicU64,
    over: AtomicBool,
}

/// The environment of one emulated worker.
struct WorkerMachine {
    fleet: Arc<Fleet>,
    worker: usize,
}

impl WorkerMachine {
    fn server(&self) -> &Server {
        &self.fleet.servers[self.worker]
    }
}

impl WorkerEnvironment for WorkerMachine {
    fn handle(&self, event: WorkerEvent) -> bool {
        self.fleet.monitor.handle(event)
    }

    fn random_unit(&self) -> f64 {
        self.fleet.monitor.random_unit()
    }

    fn is_over(&self) -> bool {
        self.fleet.is_over()
    }

    fn process_start(&self) -> Option<u64> {
        let vanished = self.server().state.load(Ordering::SeqCst) == VANISHED;
        (!vanished).then(|| self.server().start.load(Ordering::SeqCst))
    }

    fn is_hung(&self) -> bool {
        self.server().state.load(Ordering::SeqCst) == HANGING
    }

    fn connection_number(&self, _stream: &TcpStream) -> u64 {
        self.fleet.connections_opened.fetch_add(1, Ordering::Relaxed)
    }
}

impl Fleet {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn entry(&self, worker: usize, state: &str, started_ms: u64) -> Value {
        let mut entry = self.monitor.deployment.endpoint_entry(worker, state, started_ms);
        entry["addr"] = json!(self.addresses[worker]);
        entry
    }

    fn list(&self) -> Value {
        let servers: Vec<_> = (0..self.servers.len()).map(|w| self.entry(w, "SERVING", 0)).collect();
        json!({"version": 4, "full": true, "servers": servers})
    }

    /// Sends a change of a worker's entry to all routers that watch the endpoint list.
    fn notify(&self, worker: usize, state: &str, started_ms: u64) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = self.entry(worker, state, started_ms);
        let line = chunk(&format!("{}\n", json!({"version": version, "full": false, "servers": [entry]})));
        for watch in self.watches.lock().expect("no thread panics while it holds the lock").iter_mut() {
            let _ = watch.write_all(line.as_bytes());
        }
        self.monitor.endpoint_updated(worker, (state == "DRAINING").then(|| self.monitor.now()));
    }

    /// Serves the watches of the endpoint list, with heartbeats.
    fn accept_watches(self: &Arc<Fleet>, listener: TcpListener) {
        let fleet = self.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", {
                    chunk(&format!("{}\n", fleet.list()))
                });
                let _ = stream.write_all(head.as_bytes());
                fleet.watches.lock().expect("no thread panics while it holds the lock").push(stream);
            }
        });
        let fleet = self.clone();
        std::thread::spawn(move || {
            while !fleet.is_over() {
                std::thread::sleep(HEARTBEAT);
                for watch in
                    fleet.watches.lock().expect("no thread panics while it holds the lock").iter_mut()
                {
                    let _ = watch.write_all(chunk("\n").as_bytes());
                }
            }
        });
    }

    /// Serves an emulated worker.
    fn serve(self: &Arc<Fleet>, worker: usize, listener: TcpListener) {
        let kind = self.monitor.deployment.worker_spec(worker);
        let machine = Arc::new(WorkerMachine { fleet: self.clone(), worker });
        std::thread::spawn(move || emulated_worker::serve(listener, kind, machine));
    }

    /// Injects worker faults at random times until the run is over.
    fn inject_faults(&self) {
        let count = self.servers.len();
        while !self.is_over() {
            std::thread::sleep(Duration::from_millis(self.monitor.random_range(100.0, 1_200.0)));
            let worker =
                (2.min(count - 1) + (self.monitor.random_unit() * count as f64) as usize).min(count - 1);
            let server = &self.servers[worker];
            let duration = Duration::from_millis(self.monitor.random_range(100.0, 1_500.0));
            match (self.monitor.random_unit() * 4.0) as u8 {
                0 => {
                    server.state.store(HANGING, Ordering::SeqCst);
                    std::thread::sleep(duration);
                    server.state.store(SERVING, Ordering::SeqCst);
                }
                1 => {
                    server.state.store(VANISHED, Ordering::SeqCst);
                    self.kill_worker(worker);
                    std::thread::sleep(duration);
                    server.state.store(SERVING, Ordering::SeqCst);
                    self.notify(worker, "SERVING", unix_ms());
                }
                2 => {
                    self.kill_worker(worker);
                    self.notify(worker, "SERVING", unix_ms());
                }
                _ => self.notify(worker, "DRAINING", 0),
            }
        }
    }

    /// Kills a worker's process, which loses its state and its attempts, and starts the next one.
    fn kill_worker(&self, worker: usize) {
        self.monitor.worker_died(worker);
        self.servers[worker].start.fetch_add(1, Ordering::SeqCst);
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Sends one request on a connection of its own. Some of these clients disconnect early.
fn client(fleet: &Fleet, Router { listen, killed, requests, .. }: &Router) {
    let class = (fleet.monitor.random_unit() * fleet.monitor.deployment.classes.len() as f64) as usize;
    let max_wait_ms = fleet.monitor.deployment.classes[class].deadline_ms.clamp(100, MAX_WAIT_MS);
    let wait_ms = fleet.monitor.random_range(max_wait_ms as f64 * 0.5, max_wait_ms as f64);
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(POLL_INTERVAL)));
    let number = {
        let now = fleet.monitor.now();
        fleet.monitor.checker().request_sent(now, class, wait_ms * MS)
    };
    requests.lock().expect("no thread panics while it holds the lock").push(number);
    let text = chat_request_with(
        &format!("t{number}"),
        &fleet.monitor.deployment.classes[class].name,
        wait_ms,
        "{}",
    );
    let written = stream.write_all(text.as_bytes());
    let (written_at, mut end) = (fleet.monitor.now_ms(), String::new());
    let disconnect_at = (fleet.monitor.random_unit() < 0.2)
        .then(|| Instant::now() + Duration::from_millis(fleet.monitor.random_range(1.0, 800.0)));
    let (mut received, mut piece) = (vec![], [0; 4096]);
    while !fleet.is_over() && !received.ends_with(b"0\r\n\r\n") {
        if disconnect_at.is_some_and(|at| Instant::now() > at) {
            let now = fleet.monitor.now();
            return fleet.monitor.checker().client_disconnected(now, number);
        }
        match stream.read(&mut piece) {
            Ok(length @ 1..) => received.extend_from_slice(&piece[..length]),
            Err(e) if is_timeout(&e) => {}
            _ if killed.load(Ordering::SeqCst) => return fleet.monitor.checker().router_killed(number),
            read => {
                end = format!("{read:?}");
                break;
            }
        }
        let status = received.get(9..12).and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
        if let Some(status) = status.filter(|_| !fleet.monitor.checker().has_response(number)) {
            let now = fleet.monitor.now();
            fleet.monitor.checker().response_started(now, &fleet.monitor.deployment, number, status);
            if status != 200 {
                return;
            }
        }
    }
    if received.is_empty() && !fleet.is_over() {
        let now = fleet.monitor.now();
        eprintln!(
            "request {number} at {listen}, from {:?}: written at {written_at} ms ({written:?}), ended at {} ms ({end})",
            stream.local_addr(),
            fleet.monitor.now_ms()
        );
        fleet.monitor.checker().connection_ended_without_response(now, number);
    }
    if killed.load(Ordering::SeqCst) {
        fleet.monitor.checker().router_killed(number);
    }
}

/// A router's process.
struct Router {
    running: KillOnDrop,
    /// The path of its configuration.
    path: PathBuf,
    log: PathBuf,
    listen: String,
    /// The test killed it, so its requests need no response and its reserved state no release.
    killed: AtomicBool,
    /// The numbers of the requests that were sent to it.
    requests: Mutex<Vec<usize>>,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Starts a router and waits until it is healthy.
fn start_router(fleet: &Fleet, discovery: &str, seed: u64, number: usize) -> Router {
    let mut file = fleet.monitor.deployment.config.clone();
    let listen = unused_address().replace("127.0.0.1", &format!("127.3.{}.{}", seed % 250 + 1, number + 1));
    (file["listen"], file["discovery"], file["known"]) = (json!(listen), json!(discovery), fleet.list());
    let path =
        std::env::temp_dir().join(format!("tideroute-customer-{seed}-{number}-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("a file");
    let log = path.with_extension("log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    command.args(["--log", "debug", "platform"]).env("EDGE_CONFIG", &path).stdin(Stdio::null());
    command.stderr(std::fs::File::create(&log).expect("a log"));
    let running = KillOnDrop(command.spawn().expect("the program starts"));
    wait_for(|| {
        let mut stream = TcpStream::connect(&listen).ok()?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).ok()?;
        answer.ends_with(b"200").then_some(())
    });
    Router { running, path, log, listen, killed: AtomicBool::new(false), requests: Mutex::default() }
}

/// Plays one deployment, and returns a message if a rule was violated.
fn play(seed: u64) -> Option<String> {
    let mut rng = Rng::new(2 * seed);
    let deployment = GeneratedDeployment::generate(&mut rng);
    let listeners: Vec<_> =
        deployment.workers.iter().map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery_address = discovery.local_addr().expect("an address").to_string();
    let fleet = Arc::new(Fleet {
        servers: deployment.workers.iter().map(|_| Server::default()).collect(),
        addresses: listeners.iter().map(|l| l.local_addr().expect("an address").to_string()).collect(),
        monitor: Monitor::new(deployment, rng, OBSERVATION_DELAY),
        watches: Mutex::default(),
        version: AtomicU64::new(4),
        connections_opened: AtomicU64::new(0),
        over: AtomicBool::new(false),
    });
    fleet.accept_watches(discovery);
    listeners.into_iter().enumerate().for_each(|(worker, listener)| fleet.serve(worker, listener));
    let routers: Vec<_> =
        (0..1 + seed as usize % 3).map(|n| start_router(&fleet, &discovery_address, seed, n)).collect();
    let load_end = Instant::now() + LOAD_TIME;
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.inject_faults());
        if seed % 4 == 1 {
            scope.spawn(|| {
                std::thread::sleep(LOAD_TIME / 2);
                let router = &routers[0];
                router.killed.store(seed % 8 == 1, Ordering::SeqCst);
                send_signal(&router.running.0, if seed % 8 == 1 { "-KILL" } else { "-TERM" });
                // The rules do not bind a killed router: its requests get no response, its state no release.
                let requests = router.requests.lock().expect("no thread panics while it holds the lock");
                requests
                    .iter()
                    .filter(|_| seed % 8 == 1)
                    .for_each(|n| fleet.monitor.checker().router_killed(*n));
            });
        }
        while Instant::now() < load_end {
            std::thread::sleep(Duration::from_millis(fleet.monitor.random_range(5.0, 150.0)));
            let router = &routers[(fleet.monitor.random_unit() * routers.len() as f64) as usize];
            let fleet = &fleet;
            scope.spawn(move || client(fleet, router));
        }
        while Instant::now() < load_end + WATCH_TIME && fleet.monitor.violation().is_none() {
            fleet.monitor.check();
            std::thread::sleep(POLL_INTERVAL);
        }
        fleet.over.store(true, Ordering::Relaxed);
    });
    let violation = fleet.monitor.violation().map(|violation| format!("deployment {seed}: {violation}"));
    for router in &routers {
        match &violation {
            Some(violation) => {
                eprintln!("{violation}; the log of {}: {}", router.listen, router.log.display())
            }
            None => drop(std::fs::remove_file(&router.log)),
        }
    }
    violation
}

/// Returns the number that an environment variable holds, or `None` if it is not set or not a number.
fn number_from_environment(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn every_rule_holds_for_generated_deployments_on_processes() {
    let first = number_from_environment("FIRST_CUSTOMER").unwrap_or(1);
    let count = number_from_environment("PROCESS_CUSTOMERS").unwrap_or(DEPLOYMENTS);
    let mut violations = vec![];
    for from in (first..first + count).step_by(PARALLEL_RUNS as usize) {
        let seeds = from..(from + PARALLEL_RUNS).min(first + count);
        let threads: Vec<_> = seeds.map(|seed| std::thread::spawn(move || play(seed))).collect();
        violations.extend(
            threads.into_iter().filter_map(|thread| thread.join().expect("the deployment was played")),
        );
    }
    assert!(
        violations.is_empty(),
        "rules violated in {} of {count} deployments\n{}",
        violations.len(),
        violations.join("\n")
    );
}
