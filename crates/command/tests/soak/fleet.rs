//! The processes of a run: routers, workers, the proxies before them; and discovery, which the test itself plays.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use tideroute_test_support::http_messages::chunk;
use tideroute_test_support::monitor::Monitor;
use tideroute_test_support::process::{unused_address, KillOnDrop};
use tideroute_test_support::virtual_time::{EPOCH, MS};
use tideroute_wire::Micros;

use crate::{Failure, ROLE};

/// Discovery's heartbeat.
const BEAT: Duration = Duration::from_millis(1_000);
/// How long the old address of discovery still serves the watches that it has.
const OLD_ADDRESS: Duration = Duration::from_millis(1_500);
/// After which a change counts as told, whatever becomes of the watch; and after a new configuration.
const TOLD: Micros = 6_000 * MS;
/// In which a process must be there.
const STARTS: Duration = Duration::from_secs(20);

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
    config: PathBuf,
    life: Mutex<Arc<Life>>,
    restarts: Mutex<()>,
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

/// An open watch: at which of discovery's addresses, and whether it has fallen silent.
struct Watch {
    stream: TcpStream,
    address: usize,
    silent: bool,
}

#[derive(Default)]
struct Discovery {
    addresses: [String; 2],
    current: AtomicUsize,
    down: AtomicBool,
    watches: Mutex<Vec<Watch>>,
    list: Mutex<(u64, Vec<Value>)>,
    /// Until then what is told may come late.
    late_until: AtomicU64,
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
    discovery: Discovery,
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
            std::thread::spawn(move || at.hear_watches(number, &door));
        }
        let at = fleet.clone();
        std::thread::spawn(move || at.beat());
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

    fn configuration(&self, listen: &str) -> Value {
        let current = self.discovery.current.load(Ordering::SeqCst);
        let mut file = self.judge.deployment.config.clone();
        (file["listen"], file["discovery"]) = (json!(listen), json!(self.discovery.addresses[current]));
        file["known"] = self.list();
        file
    }

    /// What goes wrong inside a router's process, by the shim: some have no fault of their own.
    fn shim_plan(&self, life: usize) -> Option<String> {
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
        let plan = self.shim_plan(life);
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
            if began.elapsed() > STARTS {
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
        let running = stand_in("worker", &[listen.into(), kind, self.control.clone(), seed.to_string()])?;
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
            stand_in("proxy", &[address.clone(), number.to_string(), self.control.clone(), own.clone()])?;
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

    fn entry(&self, worker: usize, state: &str, started_ms: u64) -> Value {
        let mut entry = self.judge.deployment.endpoint_entry(worker, state, started_ms);
        entry["addr"] = json!(self.workers[worker].address);
        entry
    }

    fn list(&self) -> Value {
        let (version, servers) = &*lock(&self.discovery.list);
        json!({"version": version, "full": true, "servers": servers})
    }

    /// A start of this moment, by discovery's clock.
    pub fn started_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        now.saturating_add_signed(self.clock_ahead_ms.load(Ordering::SeqCst))
    }

    /// Discovery tells all routers of a worker, as far as it reaches them.
    pub fn tell(&self, worker: usize, state: &str, started_ms: u64) {
        let entry = self.entry(worker, state, started_ms);
        let version = {
            let mut list = lock(&self.discovery.list);
            (list.0, list.1[worker]) = (list.0 + 1, entry.clone());
            list.0
        };
        self.judge.log(format!("discovery tells {version}: worker {worker} {state}, started {started_ms}"));
        self.say(&format!("{}\n", json!({"version": version, "full": false, "servers": [entry]})));
        let told = self.judge.now().max(self.discovery.late_until.load(Ordering::SeqCst));
        self.judge.endpoint_updated(worker, (state == "DRAINING").then_some(told));
    }

    /// Says a line on all watches that are not silent.
    fn say(&self, line: &str) {
        let line = chunk(line);
        if self.discovery.down.load(Ordering::SeqCst) {
            return;
        }
        lock(&self.discovery.watches)
            .retain_mut(|watch| watch.silent || watch.stream.write_all(line.as_bytes()).is_ok());
    }

    /// What is told from now on, for so long, may come late.
    fn is_late(&self, lasts: Duration) {
        let until = self.judge.now() + lasts.as_micros() as Micros + TOLD;
        self.discovery.late_until.fetch_max(until, Ordering::SeqCst);
    }

    /// All open watches fall silent, with no error.
    pub fn watches_fall_silent(&self) {
        self.is_late(Duration::ZERO);
        lock(&self.discovery.watches).iter_mut().for_each(|watch| watch.silent = true);
    }

    /// All open watches end, some in half a line.
    pub fn watches_break(&self, in_half_a_line: bool) {
        self.is_late(Duration::ZERO);
        for mut watch in lock(&self.discovery.watches).drain(..) {
            if in_half_a_line {
                let line = chunk(&format!("{}\n", self.list()));
                let _ = watch.stream.write_all(&line.as_bytes()[..line.len() / 2]);
            }
        }
    }

    /// Discovery can't be reached for so long.
    pub fn discovery_is_down(&self, lasts: Duration) {
        self.is_late(lasts);
        self.discovery.down.store(true, Ordering::SeqCst);
        lock(&self.discovery.watches).clear();
        std::thread::sleep(lasts);
        self.discovery.down.store(false, Ordering::SeqCst);
    }

    /// New configurations move discovery to its other address; their files are whole only a while after the signal, if
    /// that is asked for.
    pub fn discovery_moves(&self, half_written: bool, signal: impl Fn(&Life)) -> Result<(), Failure> {
        self.is_late(OLD_ADDRESS);
        let old = self.discovery.current.fetch_xor(1, Ordering::SeqCst);
        for router in self.routers() {
            // No router starts by half a file.
            let _no_restart = lock(&router.restarts);
            let text = self.configuration(&router.listen).to_string();
            if half_written {
                std::fs::write(&router.config, &text[..text.len() / 2])?;
                signal(&router.life());
                std::thread::sleep(Duration::from_millis(100));
            }
            let fresh = router.config.with_extension("fresh");
            std::fs::write(&fresh, &text)?;
            std::fs::rename(&fresh, &router.config)?;
            if !half_written {
                signal(&router.life());
            }
        }
        std::thread::sleep(OLD_ADDRESS);
        lock(&self.discovery.watches).retain(|watch| watch.address != old);
        Ok(())
    }

    fn hear_watches(&self, address: usize, door: &TcpListener) {
        for mut stream in door.incoming().flatten() {
            let elsewhere = self.discovery.current.load(Ordering::SeqCst) != address;
            if elsewhere || self.discovery.down.load(Ordering::SeqCst) {
                continue;
            }
            let line = chunk(&format!("{}\n", self.list()));
            let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{line}");
            if stream.write_all(head.as_bytes()).is_ok() {
                lock(&self.discovery.watches).push(Watch { stream, address, silent: false });
            }
        }
    }

    fn beat(&self) {
        while !self.is_over() {
            std::thread::sleep(BEAT);
            self.say("\n");
        }
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
        let bad = |line: &&str| line.contains("an invariant would be broken") || line.contains("panicked at");
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
fn stand_in(role: &str, arguments: &[String]) -> Result<KillOnDrop, Failure> {
    let mut command = Command::new(std::env::current_exe()?);
    command.env(ROLE, role).args(arguments).stdin(Stdio::piped());
    Ok(KillOnDrop(command.spawn()?))
}

/// Milliseconds of a run at a moment of it.
pub fn ms(at: Micros) -> f64 {
    (at - EPOCH) as f64 / 1e3
}
