//! Drawn customers on real processes over loopback, with faults between them, beside the same checker as in virtual
//! time (`crates/gateway/tests/customers`). `PROCESS_CUSTOMERS` and `FIRST_CUSTOMER` set how many are drawn and the seed
//! of the first. The routers' logs of a customer for whom a rule broke are kept, and named.

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

/// Customers drawn where nothing else is said, and how many of them play side by side.
const DEPLOYMENTS: u64 = 8;
const PARALLEL_RUNS: u64 = 4;
/// How much later than in virtual time something may be seen on a machine that is busy.
const OBSERVATION_DELAY: Micros = 400 * MS;
/// Requests come for so long, and then what is held is watched for a while.
const LOAD_TIME: Duration = Duration::from_millis(2_500);
const WATCH_TIME: Duration = Duration::from_millis(2_500);
/// Milliseconds that a client waits at most.
const LONGEST_WAIT_MS: u64 = 1_500;
/// Discovery's heartbeat.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

const SERVING: u8 = 0;
const HANGING: u8 = 1;
const VANISHED: u8 = 2;

/// A worker's process: what it does now, and how often it has started.
#[derive(Default)]
struct Server {
    does: AtomicU8,
    start: AtomicU64,
}

struct Fleet {
    judge: Monitor,
    servers: Vec<Server>,
    addresses: Vec<String>,
    watches: Mutex<Vec<TcpStream>>,
    version: AtomicU64,
    links: AtomicU64,
    over: AtomicBool,
}

/// Where one worker of the fleet runs.
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
    fn handle(&self, report: WorkerEvent) -> bool {
        self.fleet.judge.handle(report)
    }

    fn random_unit(&self) -> f64 {
        self.fleet.judge.random_unit()
    }

    fn is_over(&self) -> bool {
        self.fleet.is_over()
    }

    fn process_start(&self) -> Option<u64> {
        let away = self.server().does.load(Ordering::SeqCst) == VANISHED;
        (!away).then(|| self.server().start.load(Ordering::SeqCst))
    }

    fn is_hung(&self) -> bool {
        self.server().does.load(Ordering::SeqCst) == HANGING
    }

    fn connection_number(&self, _stream: &TcpStream) -> u64 {
        self.fleet.links.fetch_add(1, Ordering::Relaxed)
    }
}

impl Fleet {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn entry(&self, worker: usize, state: &str, started_ms: u64) -> Value {
        let mut entry = self.judge.deployment.endpoint_entry(worker, state, started_ms);
        entry["addr"] = json!(self.addresses[worker]);
        entry
    }

    fn list(&self) -> Value {
        let servers: Vec<_> = (0..self.servers.len()).map(|w| self.entry(w, "SERVING", 0)).collect();
        json!({"version": 4, "full": true, "servers": servers})
    }

    /// Discovery tells all routers of a worker.
    fn notify(&self, worker: usize, state: &str, started_ms: u64) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = self.entry(worker, state, started_ms);
        let line = chunk(&format!("{}\n", json!({"version": version, "full": false, "servers": [entry]})));
        for watch in self.watches.lock().expect("nobody panics with it").iter_mut() {
            let _ = watch.write_all(line.as_bytes());
        }
        self.judge.endpoint_updated(worker, (state == "DRAINING").then(|| self.judge.now()));
    }

    fn accept_watches(self: &Arc<Fleet>, listener: TcpListener) {
        let fleet = self.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", {
                    chunk(&format!("{}\n", fleet.list()))
                });
                let _ = stream.write_all(head.as_bytes());
                fleet.watches.lock().expect("nobody panics with it").push(stream);
            }
        });
        let fleet = self.clone();
        std::thread::spawn(move || {
            while !fleet.is_over() {
                std::thread::sleep(HEARTBEAT);
                for watch in fleet.watches.lock().expect("nobody panics with it").iter_mut() {
                    let _ = watch.write_all(chunk("\n").as_bytes());
                }
            }
        });
    }

    fn serve(self: &Arc<Fleet>, worker: usize, listener: TcpListener) {
        let kind = self.judge.deployment.worker_spec(worker);
        let machine = Arc::new(WorkerMachine { fleet: self.clone(), worker });
        std::thread::spawn(move || emulated_worker::serve(listener, kind, machine));
    }

    /// Faults at drawn times, up to the end.
    fn inject_fault(&self) {
        let many = self.servers.len();
        while !self.is_over() {
            std::thread::sleep(Duration::from_millis(self.judge.random_range(100.0, 1_200.0)));
            let worker = (2.min(many - 1) + (self.judge.random_unit() * many as f64) as usize).min(many - 1);
            let server = &self.servers[worker];
            let lasts = Duration::from_millis(self.judge.random_range(100.0, 1_500.0));
            match (self.judge.random_unit() * 4.0) as u8 {
                0 => {
                    server.does.store(HANGING, Ordering::SeqCst);
                    std::thread::sleep(lasts);
                    server.does.store(SERVING, Ordering::SeqCst);
                }
                1 => {
                    server.does.store(VANISHED, Ordering::SeqCst);
                    self.kill_worker(worker);
                    std::thread::sleep(lasts);
                    server.does.store(SERVING, Ordering::SeqCst);
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

    /// What the worker's process held and worked on is gone.
    fn kill_worker(&self, worker: usize) {
        self.judge.worker_died(worker);
        self.servers[worker].start.fetch_add(1, Ordering::SeqCst);
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// One request of a client, on a connection of its own.
fn client(fleet: &Fleet, Router { listen, killed, asked, .. }: &Router) {
    let class = (fleet.judge.random_unit() * fleet.judge.deployment.classes.len() as f64) as usize;
    let longest = fleet.judge.deployment.classes[class].deadline_ms.clamp(100, LONGEST_WAIT_MS);
    let wait_ms = fleet.judge.random_range(longest as f64 * 0.5, longest as f64);
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(POLL_INTERVAL)));
    let number = {
        let now = fleet.judge.now();
        fleet.judge.checker().request_sent(now, class, wait_ms * MS)
    };
    asked.lock().expect("nobody panics with it").push(number);
    let text =
        chat_request_with(&format!("t{number}"), &fleet.judge.deployment.classes[class].name, wait_ms, "{}");
    let written = stream.write_all(text.as_bytes());
    let (written_at, mut end) = (fleet.judge.now_ms(), String::new());
    let leaves = (fleet.judge.random_unit() < 0.2)
        .then(|| Instant::now() + Duration::from_millis(fleet.judge.random_range(1.0, 800.0)));
    let (mut kept, mut piece) = (vec![], [0; 4096]);
    while !fleet.is_over() && !kept.ends_with(b"0\r\n\r\n") {
        if leaves.is_some_and(|at| Instant::now() > at) {
            let now = fleet.judge.now();
            return fleet.judge.checker().client_disconnected(now, number);
        }
        match stream.read(&mut piece) {
            Ok(got @ 1..) => kept.extend_from_slice(&piece[..got]),
            Err(e) if is_timeout(&e) => {}
            _ if killed.load(Ordering::SeqCst) => return fleet.judge.checker().router_killed(number),
            how => {
                end = format!("{how:?}");
                break;
            }
        }
        let status = kept.get(9..12).and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
        if let Some(status) = status.filter(|_| !fleet.judge.checker().has_response(number)) {
            let now = fleet.judge.now();
            fleet.judge.checker().response_started(now, &fleet.judge.deployment, number, status);
            if status != 200 {
                return;
            }
        }
    }
    if kept.is_empty() && !fleet.is_over() {
        let now = fleet.judge.now();
        eprintln!(
            "request {number} at {listen}, from {:?}: written at {written_at} ms ({written:?}), ended at {} ms ({end})",
            stream.local_addr(),
            fleet.judge.now_ms()
        );
        fleet.judge.checker().connection_ended_without_response(now, number);
    }
    if killed.load(Ordering::SeqCst) {
        fleet.judge.checker().router_killed(number);
    }
}

/// A router's process, its configuration and where it listens.
struct Router {
    running: KillOnDrop,
    path: PathBuf,
    log: PathBuf,
    listen: String,
    killed: AtomicBool,
    /// What was asked of it.
    asked: Mutex<Vec<usize>>,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

fn router(fleet: &Fleet, discovery: &str, seed: u64, number: usize) -> Router {
    let mut file = fleet.judge.deployment.config.clone();
    let listen = unused_address().replace("127.0.0.1", &format!("127.3.{}.{}", seed % 250 + 1, number + 1));
    (file["listen"], file["discovery"], file["known"]) = (json!(listen), json!(discovery), fleet.list());
    let path =
        std::env::temp_dir().join(format!("tideroute-customer-{seed}-{number}-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("a file");
    let log = path.with_extension("log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    command.args(["--log", "debug", "platform"]).env("EDGE_CONFIG", &path).stdin(Stdio::null());
    command.stderr(std::fs::File::create(&log).expect("a log"));
    let running = KillOnDrop(command.spawn().expect("it runs"));
    wait_for(|| {
        let mut stream = TcpStream::connect(&listen).ok()?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).ok()?;
        answer.ends_with(b"200").then_some(())
    });
    Router { running, path, log, listen, killed: AtomicBool::new(false), asked: Mutex::default() }
}

/// Plays one customer; what broke, if something did.
fn play(seed: u64) -> Option<String> {
    let mut draw = Rng::new(2 * seed);
    let customer = GeneratedDeployment::generate(&mut draw);
    let listeners: Vec<_> =
        customer.workers.iter().map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let found_at = discovery.local_addr().expect("an address").to_string();
    let fleet = Arc::new(Fleet {
        servers: customer.workers.iter().map(|_| Server::default()).collect(),
        addresses: listeners.iter().map(|l| l.local_addr().expect("an address").to_string()).collect(),
        judge: Monitor::new(customer, draw, OBSERVATION_DELAY),
        watches: Mutex::default(),
        version: AtomicU64::new(4),
        links: AtomicU64::new(0),
        over: AtomicBool::new(false),
    });
    fleet.accept_watches(discovery);
    listeners.into_iter().enumerate().for_each(|(worker, listener)| fleet.serve(worker, listener));
    let routers: Vec<_> = (0..1 + seed as usize % 3).map(|n| router(&fleet, &found_at, seed, n)).collect();
    let ends = Instant::now() + LOAD_TIME;
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.inject_fault());
        if seed % 4 == 1 {
            scope.spawn(|| {
                std::thread::sleep(LOAD_TIME / 2);
                let router = &routers[0];
                router.killed.store(seed % 8 == 1, Ordering::SeqCst);
                send_signal(&router.running.0, if seed % 8 == 1 { "-KILL" } else { "-TERM" });
                // What a router held when it was killed is nobody's duty any more.
                let asked = router.asked.lock().expect("nobody panics with it");
                asked.iter().filter(|_| seed % 8 == 1).for_each(|n| fleet.judge.checker().router_killed(*n));
            });
        }
        while Instant::now() < ends {
            std::thread::sleep(Duration::from_millis(fleet.judge.random_range(5.0, 150.0)));
            let router = &routers[(fleet.judge.random_unit() * routers.len() as f64) as usize];
            let fleet = &fleet;
            scope.spawn(move || client(fleet, router));
        }
        while Instant::now() < ends + WATCH_TIME && fleet.judge.violation().is_none() {
            fleet.judge.check();
            std::thread::sleep(POLL_INTERVAL);
        }
        fleet.over.store(true, Ordering::Relaxed);
    });
    let broken = fleet.judge.violation().map(|b| format!("customer {seed}: {b}"));
    for router in &routers {
        match &broken {
            Some(broken) => eprintln!("{broken}; the log of {}: {}", router.listen, router.log.display()),
            None => drop(std::fs::remove_file(&router.log)),
        }
    }
    broken
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn every_rule_holds_for_generated_deployments_on_processes() {
    let first = number("FIRST_CUSTOMER").unwrap_or(1);
    let many = number("PROCESS_CUSTOMERS").unwrap_or(DEPLOYMENTS);
    let mut broken = vec![];
    for from in (first..first + many).step_by(PARALLEL_RUNS as usize) {
        let seeds = from..(from + PARALLEL_RUNS).min(first + many);
        let threads: Vec<_> = seeds.map(|seed| std::thread::spawn(move || play(seed))).collect();
        broken.extend(threads.into_iter().filter_map(|thread| thread.join().expect("a customer")));
    }
    assert!(broken.is_empty(), "{} of {many}\n{}", broken.len(), broken.join("\n"));
}
