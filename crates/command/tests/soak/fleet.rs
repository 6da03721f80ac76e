//! The processes of a run: routers, workers and the proxies before them.

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

/// How long a process may take to listen.
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One life of a router's process.
pub struct Life {
    pub running: Mutex<KillOnDrop>,
    /// It was killed: what it held is nobody's duty any more.
    pub killed: AtomicBool,
    /// The requests that were asked of it.
    pub asked: Mutex<Vec<usize>>,
}

pub struct Router {
    pub listen: String,
    pub config: PathBuf,
    life: Mutex<Arc<Life>>,
    pub restarts: Mutex<()>,
}

impl Router {
    pub fn life(&self) -> Arc<Life> {
        lock(&self.life).clone()
    }
}

pub struct Worker {
    pub running: Mutex<KillOnDrop>,
    proxy: Mutex<KillOnDrop>,
    /// Where its proxy is, which routers take for it, and where it is itself.
    pub address: String,
    own: String,
}

pub struct Fleet {
    pub judge: Arc<Monitor>,
    pub seed: u64,
    pub workers: Vec<Worker>,
    /// Milliseconds by which discovery's clock is ahead.
    pub clock_ahead_ms: AtomicI64,
    pub over: AtomicBool,
    routers: OnceLock<Vec<Router>>,
    lives: AtomicUsize,
    pub discovery: Discovery,
    control: String,
}

fn listener() -> Result<TcpListener, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0")?)
}

impl Fleet {
    /// Starts everything that runs in the run of that seed.
    pub fn start(judge: Arc<Monitor>, seed: u64) -> Result<Arc<Fleet>, Failure> {
        let control = listener()?;
        let doors = [listener()?, listener()?];
        let mut discovery = Discovery::default();
        for (address, door) in discovery.addresses.iter_mut().zip(&doors) {
            *address = door.local_addr()?.to_string();
        }
        let mut fleet = Fleet {
            judge,
            seed,
            workers: vec![],
            clock_ahead_ms: AtomicI64::new(0),
            over: AtomicBool::new(false),
            routers: OnceLock::new(),
            lives: AtomicUsize::new(0),
            discovery,
            control: control.local_addr()?.to_string(),
        };
        let to = fleet.judge.clone();
        std::thread::spawn(move || tideroute_test_support::monitor_channel::serve(control, to));
        for number in 0..fleet.judge.deployment.workers.len() {
            let worker = fleet.start_worker(number)?;
            fleet.workers.push(worker);
        }
        let entries = (0..fleet.workers.len()).map(|w| fleet.entry(w, "SERVING", 0)).collect();
        *lock(&fleet.discovery.list) = (4, entries);
        let fleet = Arc::new(fleet);
        for (number, door) in doors.into_iter().enumerate() {
            let at = fleet.clone();
            std::thread::spawn(move || at.accept_watches(number, &door));
        }
        let at = fleet.clone();
        std::thread::spawn(move || at.send_heartbeats());
        let mut routers = vec![];
        for number in 0..2 + seed as usize % 2 {
            let listen =
                unused_address().replace("127.0.0.1", &format!("127.4.{}.{}", seed % 250 + 1, number + 1));
            let config = std::env::temp_dir()
                .join(format!("tideroute-soak-{seed}-{number}-{}.json", std::process::id()));
            std::fs::write(&config, fleet.configuration(&listen).to_string())?;
            let life = Mutex::new(Arc::new(fleet.start_router(&listen, &config)?));
            routers.push(Router { listen, config, life, restarts: Mutex::default() });
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

    pub fn configuration(&self, listen: &str) -> Value {
        let current = self.discovery.current.load(Ordering::SeqCst);
        let mut file = self.judge.deployment.config.clone();
        (file["listen"], file["discovery"]) = (json!(listen), json!(self.discovery.addresses[current]));
        file["known"] = self.list();
        file
    }

    /// What goes wrong inside a router's process, by the shim: some have no fault of their own.
    fn fault_plan(&self, life: usize) -> Option<String> {
        let draw = || self.judge.random_unit();
        if draw() < 0.3 {
            return None;
        }
        let mut plan = format!("seed={}", self.seed * 1_000 + life as u64);
        if draw() < 0.5 {
            let (ahead, at) = (if draw() < 0.5 { 3_600_000 } else { -3_600_000 }, (draw() * 3_000.0) as u64);
            plan += &format!(";wall={ahead}@{at}");
        }
        if draw() < 0.5 {
            let from = 200 + (draw() * 3_000.0) as u64;
            let lasts = self.judge.random_range(50.0, 1_000.0);
            plan += &format!(";fail={:.3};from={from};until={}", draw() * 0.3, from + lasts);
        }
        if draw() < 0.6 {
            plan += &format!(";short={:.3};interrupt={:.3}", draw() * 0.5, draw() * 0.2);
        }
        Some(plan)
    }

    fn start_router(&self, listen: &str, config: &Path) -> Result<Life, Failure> {
        let life = self.lives.fetch_add(1, Ordering::SeqCst);
        let log = config.with_extension(format!("{life}.log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
        command.args(["--log", "debug", "platform"]).env("EDGE_CONFIG", config).stdin(Stdio::null());
        command.stderr(std::fs::File::create(&log)?);
        let proof = config.with_extension(format!("{life}.proof"));
        let plan = self.fault_plan(life);
        if let Some(plan) = &plan {
            command.env("LD_PRELOAD", crate::shim()?);
            command.env("TIDEROUTE_SHIM", plan).env("TIDEROUTE_SHIM_PROOF", &proof);
        }
        self.judge.log(format!("router {listen} starts as life {life}, shim {plan:?}"));
        let running = KillOnDrop(command.spawn()?);
        self.wait_for_listener(listen)?;
        // A library that can't be loaded is passed over by the loader: a run without it is none.
        if plan.is_some() {
            std::fs::remove_file(&proof).map_err(|_| Failure(format!("{listen} runs without its shim")))?;
        }
        Ok(Life { running: Mutex::new(running), killed: AtomicBool::new(false), asked: Mutex::default() })
    }

    /// Until a process of the run listens at its address.
    fn wait_for_listener(&self, listen: &str) -> Result<(), Failure> {
        let began = Instant::now();
        while TcpStream::connect(listen).is_err() {
            if began.elapsed() > START_TIMEOUT {
                return Err(Failure(format!("nobody listens at {listen}")));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Another life of a router, whose process has ended; nothing if it has one already.
    pub fn restart_router(&self, router: &Router, ended: &Arc<Life>) -> Result<(), Failure> {
        let _one_at_a_time = lock(&router.restarts);
        if !Arc::ptr_eq(ended, &router.life()) || self.is_over() {
            return Ok(());
        }
        std::fs::write(&router.config, self.configuration(&router.listen).to_string())?;
        let life = self.start_router(&router.listen, &router.config)?;
        *lock(&router.life) = Arc::new(life);
        Ok(())
    }

    /// A new process of a worker, behind the proxy that it has.
    pub fn restart_worker(&self, number: usize) -> Result<(), Failure> {
        let worker = &self.workers[number];
        let mut running = lock(&worker.running);
        let _ = (running.0.kill(), running.0.wait());
        self.judge.worker_died(number);
        *running = self.spawn_worker(number, &worker.own)?;
        Ok(())
    }

    fn spawn_worker(&self, number: usize, listen: &str) -> Result<KillOnDrop, Failure> {
        let seed = self.judge.random_range(1.0, 1e9);
        let kind = self.judge.deployment.worker_spec(number);
        let kind = serde_json::to_string(&kind)?;
        let running = start_role("worker", &[listen.into(), kind, self.control.clone(), seed.to_string()])?;
        self.wait_for_listener(listen)?;
        Ok(running)
    }

    fn start_worker(&self, number: usize) -> Result<Worker, Failure> {
        // Addresses of their own: no connection that is dialled elsewhere is given one of their ports.
        let at = |net: u8| {
            unused_address()
                .replace("127.0.0.1", &format!("127.{net}.{}.{}", self.seed % 250 + 1, number + 1))
        };
        let (own, address) = (at(5), at(6));
        let running = self.spawn_worker(number, &own)?;
        let proxy =
            start_role("proxy", &[address.clone(), number.to_string(), self.control.clone(), own.clone()])?;
        self.wait_for_listener(&address)?;
        Ok(Worker { running: Mutex::new(running), proxy: Mutex::new(proxy), address, own })
    }

    /// Tells a worker's proxy what to do with what passes.
    pub fn order(&self, worker: usize, order: &str) {
        let mut proxy = lock(&self.workers[worker].proxy);
        if let Some(orders) = proxy.0.stdin.as_mut() {
            let _ = writeln!(orders, "{order}");
        }
    }

    pub fn entry(&self, worker: usize, state: &str, started_ms: u64) -> Value {
        let mut entry = self.judge.deployment.endpoint_entry(worker, state, started_ms);
        entry["addr"] = json!(self.workers[worker].address);
        entry
    }

    pub fn list(&self) -> Value {
        let (version, servers) = &*lock(&self.discovery.list);
        json!({"version": version, "full": true, "servers": servers})
    }

    /// A start of this moment, by discovery's clock.
    pub fn started_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        now.saturating_add_signed(self.clock_ahead_ms.load(Ordering::SeqCst))
    }

    /// Ends all processes, whoever still holds the fleet.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
        let routers: Vec<_> = self.routers().iter().map(Router::life).collect();
        let routers = routers.iter().map(|life| &life.running);
        let workers = self.workers.iter().flat_map(|worker| [&worker.running, &worker.proxy]);
        for running in routers.chain(workers) {
            let mut running = lock(running);
            let _ = (running.0.kill(), running.0.wait());
        }
    }

    /// How many processes run, the test's own left out.
    pub fn processes(&self) -> usize {
        2 * self.workers.len() + self.routers().len()
    }

    /// The files that this run has made.
    pub fn files(&self) -> Vec<PathBuf> {
        let Ok(files) = std::fs::read_dir(std::env::temp_dir()) else { return vec![] };
        let (prefix, process) = (format!("tideroute-soak-{}-", self.seed), std::process::id().to_string());
        let own = |path: &PathBuf| {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            name.starts_with(&prefix) && name.contains(&process)
        };
        files.flatten().map(|file| file.path()).filter(own).collect()
    }

    /// What routers' logs tell of broken invariants, and of panics.
    pub fn violations(&self) -> Vec<String> {
        let logs = self.files().into_iter().filter(|path| path.extension().is_some_and(|e| e == "log"));
        let texts = logs.filter_map(|log| Some((std::fs::read_to_string(&log).ok()?, log)));
        let bad = |line: &&str| {
            line.contains("invariant violated; refusing the step") || line.contains("panicked at")
        };
        texts
            .flat_map(|(text, log)| {
                let lines: Vec<_> = text.lines().filter(bad).map(str::to_string).collect();
                lines.into_iter().map(move |line| format!("{}: {line}", log.display()))
            })
            .collect()
    }

    /// Removes what a run that kept the rules has left; else names it.
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

/// A stand-in's process: this program in another role.
fn start_role(role: &str, arguments: &[String]) -> Result<KillOnDrop, Failure> {
    let mut command = Command::new(std::env::current_exe()?);
    command.env(ROLE, role).args(arguments).stdin(Stdio::piped());
    Ok(KillOnDrop(command.spawn()?))
}

/// Milliseconds of a run at a moment of it.
pub fn ms(at: Micros) -> f64 {
    (at - EPOCH) as f64 / 1e3
}
