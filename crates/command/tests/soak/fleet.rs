//! The processes of a run: routers, workers and the proxies in front of the workers.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use tideroute_test_support::monitor::Monitor;
use tideroute_test_support::process::{unused_address, KillOnDrop};
use tideroute_test_support::virtual_time::EPOCH;
use tideroute_wire::Micros;

use crate::discovery::Discovery;
use crate::{Failure, ROLE};

/// How long a process may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One process of a router, which is replaced when the router restarts.
pub struct RouterProcess {
    pub running: Mutex<KillOnDrop>,
    /// The test killed it, so its requests need no response and its reserved state no release.
    pub killed: AtomicBool,
    /// The numbers of the requests that were sent to it.
    pub requests: Mutex<Vec<usize>>,
}

/// A router of the run, at one address through all its restarts.
pub struct Router {
    pub listen: String,
    pub config: PathBuf,
    process: Mutex<Arc<RouterProcess>>,
    /// Held while the router restarts or its configuration is written.
    pub restarts: Mutex<()>,
}

impl Router {
    /// Returns the current process.
    pub fn process(&self) -> Arc<RouterProcess> {
        lock(&self.process).clone()
    }
}

/// A worker of the run, and the proxy in front of it.
pub struct Worker {
    pub running: Mutex<KillOnDrop>,
    proxy: Mutex<KillOnDrop>,
    /// The proxy's address, which the endpoint list names as the worker's.
    pub address: String,
    /// The address of the worker's process.
    process_address: String,
}

/// All processes of a run, and the emulated discovery service.
pub struct Fleet {
    pub monitor: Arc<Monitor>,
    pub seed: u64,
    pub workers: Vec<Worker>,
    /// How far discovery's clock is ahead, in milliseconds.
    pub clock_ahead_ms: AtomicI64,
    /// The run is over: clients and emulated services stop.
    pub over: AtomicBool,
    routers: OnceLock<Vec<Router>>,
    /// The number of router processes started so far.
    process_count: AtomicUsize,
    pub discovery: Discovery,
    /// The address at which worker and proxy processes reach the monitor.
    monitor_address: String,
}

fn bind_listener() -> Result<TcpListener, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0")?)
}

impl Fleet {
    /// Starts all processes and emulated services of the run with the given seed.
    pub fn start(monitor: Arc<Monitor>, seed: u64) -> Result<Arc<Fleet>, Failure> {
        let monitor_listener = bind_listener()?;
        let listeners = [bind_listener()?, bind_listener()?];
        let mut discovery = Discovery::default();
        for (address, listener) in discovery.addresses.iter_mut().zip(&listeners) {
            *address = listener.local_addr()?.to_string();
        }
        let mut fleet = Fleet {
            monitor,
            seed,
            workers: vec![],
            clock_ahead_ms: AtomicI64::new(0),
            over: AtomicBool::new(false),
            routers: OnceLock::new(),
            process_count: AtomicUsize::new(0),
            discovery,
            monitor_address: monitor_listener.local_addr()?.to_string(),
        };
        let monitor = fleet.monitor.clone();
        std::thread::spawn(move || tideroute_test_support::monitor_channel::serve(monitor_listener, monitor));
        for number in 0..fleet.monitor.deployment.workers.len() {
            let worker = fleet.start_worker(number)?;
            fleet.workers.push(worker);
        }
        let entries = (0..fleet.workers.len()).map(|w| fleet.entry(w, "SERVING", 0)).collect();
        *lock(&fleet.discovery.list) = (4, entries);
        let fleet = Arc::new(fleet);
        for (number, listener) in listeners.into_iter().enumerate() {
            let shared_fleet = fleet.clone();
            std::thread::spawn(move || shared_fleet.accept_watches(number, &listener));
        }
        let shared_fleet = fleet.clone();
        std::thread::spawn(move || shared_fleet.send_heartbeats());
        let mut routers = vec![];
        for number in 0..2 + seed as usize % 2 {
            let listen =
                unused_address().replace("127.0.0.1", &format!("127.4.{}.{}", seed % 250 + 1, number + 1));
            let config = std::env::temp_dir()
                .join(format!("tideroute-soak-{seed}-{number}-{}.json", std::process::id()));
            std::fs::write(&config, fleet.configuration(&listen).to_string())?;
            let process = Mutex::new(Arc::new(fleet.start_router(&listen, &config)?));
            routers.push(Router { listen, config, process, restarts: Mutex::default() });
        }
        let _ = fleet.routers.set(routers);
        Ok(fleet)
    }

    pub fn routers(&self) -> &[Router] {
        self.routers.get().map_or(&[], Vec::as_slice)
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Returns the current configuration of the router that listens at the address.
    pub fn configuration(&self, listen: &str) -> Value {
        let current = self.discovery.current.load(Ordering::SeqCst);
        let mut file = self.monitor.deployment.config.clone();
        (file["listen"], file["discovery"]) = (json!(listen), json!(self.discovery.addresses[current]));
        file["known"] = self.list();
        file
    }

    /// Returns the faults that the preloaded library injects into a router's process; some processes have none.
    fn fault_plan(&self, process_number: usize) -> Option<String> {
        let random = || self.monitor.random_unit();
        if random() < 0.3 {
            return None;
        }
        let mut plan = format!("seed={}", self.seed * 1_000 + process_number as u64);
        if random() < 0.5 {
            let (ahead_ms, at) =
                (if random() < 0.5 { 3_600_000 } else { -3_600_000 }, (random() * 3_000.0) as u64);
            plan += &format!(";wall={ahead_ms}@{at}");
        }
        if random() < 0.5 {
            let from = 200 + (random() * 3_000.0) as u64;
            let duration = self.monitor.random_range(50.0, 1_000.0);
            plan += &format!(";fail={:.3};from={from};until={}", random() * 0.3, from + duration);
        }
        if random() < 0.6 {
            plan += &format!(";short={:.3};interrupt={:.3}", random() * 0.5, random() * 0.2);
        }
        Some(plan)
    }

    fn start_router(&self, listen: &str, config: &Path) -> Result<RouterProcess, Failure> {
        let process_number = self.process_count.fetch_add(1, Ordering::SeqCst);
        let log = config.with_extension(format!("{process_number}.log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
        command.args(["--log", "debug", "platform"]).env("EDGE_CONFIG", config).stdin(Stdio::null());
        command.stderr(std::fs::File::create(&log)?);
        let proof = config.with_extension(format!("{process_number}.proof"));
        let plan = self.fault_plan(process_number);
        if let Some(plan) = &plan {
            command.env("LD_PRELOAD", crate::shim()?);
            command.env("TIDEROUTE_SHIM", plan).env("TIDEROUTE_SHIM_PROOF", &proof);
        }
        self.monitor.log(format!("router {listen} starts as process {process_number}, fault plan {plan:?}"));
        let running = KillOnDrop(command.spawn()?);
        self.wait_for_listener(listen)?;
        // The loader skips a library that it can't load. A run without the planned faults would prove nothing.
        if plan.is_some() {
            std::fs::remove_file(&proof)
                .map_err(|_| Failure(format!("{listen} runs without its fault injection library")))?;
        }
        Ok(RouterProcess {
            running: Mutex::new(running),
            killed: AtomicBool::new(false),
            requests: Mutex::default(),
        })
    }

    /// Waits until a process of the run listens at the address.
    fn wait_for_listener(&self, listen: &str) -> Result<(), Failure> {
        let began = Instant::now();
        while TcpStream::connect(listen).is_err() {
            if began.elapsed() > START_TIMEOUT {
                return Err(Failure(format!("no process listens at {listen}")));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Starts a new process of a router whose process has ended, unless it has a new one already or the run is over.
    pub fn restart_router(&self, router: &Router, ended: &Arc<RouterProcess>) -> Result<(), Failure> {
        let _one_at_a_time = lock(&router.restarts);
        if !Arc::ptr_eq(ended, &router.process()) || self.is_over() {
            return Ok(());
        }
        std::fs::write(&router.config, self.configuration(&router.listen).to_string())?;
        let process = self.start_router(&router.listen, &router.config)?;
        *lock(&router.process) = Arc::new(process);
        Ok(())
    }

    /// Kills a worker's process and starts a new one behind the same proxy.
    pub fn restart_worker(&self, number: usize) -> Result<(), Failure> {
        let worker = &self.workers[number];
        let mut running = lock(&worker.running);
        let _ = (running.0.kill(), running.0.wait());
        self.monitor.worker_died(number);
        *running = self.spawn_worker(number, &worker.process_address)?;
        Ok(())
    }

    fn spawn_worker(&self, number: usize, listen: &str) -> Result<KillOnDrop, Failure> {
        let seed = self.monitor.random_range(1.0, 1e9);
        let kind = self.monitor.deployment.worker_spec(number);
        let kind = serde_json::to_string(&kind)?;
        let running =
            start_role("worker", &[listen.into(), kind, self.monitor_address.clone(), seed.to_string()])?;
        self.wait_for_listener(listen)?;
        Ok(running)
    }

    fn start_worker(&self, number: usize) -> Result<Worker, Failure> {
        // The addresses are used by nothing else, so that no outgoing connection takes one of their ports.
        let unused_address_in = |net: u8| {
            unused_address()
                .replace("127.0.0.1", &format!("127.{net}.{}.{}", self.seed % 250 + 1, number + 1))
        };
        let (process_address, address) = (unused_address_in(5), unused_address_in(6));
        let running = self.spawn_worker(number, &process_address)?;
        let proxy = start_role(
            "proxy",
            &[address.clone(), number.to_string(), self.monitor_address.clone(), process_address.clone()],
        )?;
        self.wait_for_listener(&address)?;
        Ok(Worker { running: Mutex::new(running), proxy: Mutex::new(proxy), address, process_address })
    }

    /// Sends a command to a worker's proxy, for example to delay or to reset its connections.
    pub fn apply_to_proxy(&self, worker: usize, command: &str) {
        let mut proxy = lock(&self.workers[worker].proxy);
        if let Some(commands) = proxy.0.stdin.as_mut() {
            let _ = writeln!(commands, "{command}");
        }
    }

    /// Returns a worker's entry in the endpoint list, with the proxy's address.
    pub fn entry(&self, worker: usize, state: &str, started_ms: u64) -> Value {
        let mut entry = self.monitor.deployment.endpoint_entry(worker, state, started_ms);
        entry["addr"] = json!(self.workers[worker].address);
        entry
    }

    /// Returns the endpoint list as a full snapshot.
    pub fn list(&self) -> Value {
        let (version, servers) = &*lock(&self.discovery.list);
        json!({"version": version, "full": true, "servers": servers})
    }

    /// Returns the current time by discovery's clock, as a worker's start time in Unix milliseconds.
    pub fn started_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        now.saturating_add_signed(self.clock_ahead_ms.load(Ordering::SeqCst))
    }

    /// Kills all processes, even if a thread still holds the fleet.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
        let routers: Vec<_> = self.routers().iter().map(Router::process).collect();
        let routers = routers.iter().map(|process| &process.running);
        let workers = self.workers.iter().flat_map(|worker| [&worker.running, &worker.proxy]);
        for running in routers.chain(workers) {
            let mut running = lock(running);
            let _ = (running.0.kill(), running.0.wait());
        }
    }

    /// Returns the number of processes of the run, without the test's own.
    pub fn processes(&self) -> usize {
        2 * self.workers.len() + self.routers().len()
    }

    /// Returns the files that this run has written.
    pub fn files(&self) -> Vec<PathBuf> {
        let Ok(files) = std::fs::read_dir(std::env::temp_dir()) else { return vec![] };
        let (prefix, process) = (format!("tideroute-soak-{}-", self.seed), std::process::id().to_string());
        let belongs_to_run = |path: &PathBuf| {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            name.starts_with(&prefix) && name.contains(&process)
        };
        files.flatten().map(|file| file.path()).filter(belongs_to_run).collect()
    }

    /// Returns the lines of the routers' logs that report a violated invariant or a panic.
    pub fn violations(&self) -> Vec<String> {
        let logs = self.files().into_iter().filter(|path| path.extension().is_some_and(|e| e == "log"));
        let texts = logs.filter_map(|log| Some((std::fs::read_to_string(&log).ok()?, log)));
        let is_violation = |line: &&str| {
            line.contains("invariant violated; refusing the step") || line.contains("panicked at")
        };
        texts
            .flat_map(|(text, log)| {
                let lines: Vec<_> = text.lines().filter(is_violation).map(str::to_string).collect();
                lines.into_iter().map(move |line| format!("{}: {line}", log.display()))
            })
            .collect()
    }

    /// Removes the files of the run, or prints their paths if they are to be kept.
    pub fn clean_up(&self, keep: bool) {
        for path in self.files() {
            if keep {
                println!("kept: {}", path.display());
            } else {
                let _ = std::fs::remove_file(path);
            }
        }
    }
}

/// Starts this program as an emulated worker or a proxy.
fn start_role(role: &str, arguments: &[String]) -> Result<KillOnDrop, Failure> {
    let mut command = Command::new(std::env::current_exe()?);
    command.env(ROLE, role).args(arguments).stdin(Stdio::piped());
    Ok(KillOnDrop(command.spawn()?))
}

/// Returns the time since the start of the run, in milliseconds.
pub fn ms(at: Micros) -> f64 {
    (at - EPOCH) as f64 / 1e3
}
