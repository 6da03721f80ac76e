//! Drawn customers on real processes over loopback, with faults between them, beside the same checker as in virtual
//! time (`crates/platform/tests/customers`). `PROCESS_CUSTOMERS` and `FIRST_CUSTOMER` set how many are drawn and the seed
//! of the first.
#![allow(dead_code, reason = "the checker serves virtual time too")]

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use tideroute::chance::Chance;
use tideroute_wire::link::Link;
use tideroute_wire::Micros;

use tideroute_rig::checker::{Checker, Connection};
use tideroute_rig::customer::{between, Customer, Role};
use tideroute_rig::process::{free, signal, until, Running};
use tideroute_rig::text;
use tideroute_rig::text::{ask_for, chunk, plain, EVENTS, HEAD, MS, NEVER_RAN, READ};

/// Customers drawn where nothing else is said, and how many of them play side by side.
const CUSTOMERS: u64 = 8;
const SIDE_BY_SIDE: u64 = 4;
/// How much later than in virtual time something may be seen on a machine that is busy.
const NOISE: Micros = 400 * MS;
/// Requests come for so long, and then what is held is watched for a while.
const BUSY: Duration = Duration::from_millis(2_500);
const WATCHED: Duration = Duration::from_millis(2_500);
/// Milliseconds that a client waits at most.
const LONGEST_WAIT_MS: u64 = 1_500;
/// How often a worker at work looks whether its connection is still there.
const LOOKS: Duration = Duration::from_millis(3);
/// Discovery's heartbeat.
const BEAT: Duration = Duration::from_millis(1_000);

const SERVES: u8 = 0;
const HANGS: u8 = 1;
const VANISHED: u8 = 2;

/// A worker's process: what it does now, and how often it has started.
#[derive(Default)]
struct Server {
    does: AtomicU8,
    start: AtomicU64,
}

struct Fleet {
    customer: Customer,
    checker: Mutex<Checker>,
    draw: Mutex<Chance>,
    began: Instant,
    servers: Vec<Server>,
    addresses: Vec<String>,
    watches: Mutex<Vec<TcpStream>>,
    version: AtomicU64,
    told: Mutex<BTreeMap<usize, Micros>>,
    links: AtomicU64,
    over: AtomicBool,
}

impl Fleet {
    fn now(&self) -> Micros {
        text::BEGAN + self.began.elapsed().as_micros() as Micros
    }

    fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().expect("nobody panics with it")
    }

    fn unit(&self) -> f64 {
        self.draw.lock().expect("nobody panics with it").unit()
    }

    fn between(&self, least: f64, most: f64) -> u64 {
        between(&mut self.draw.lock().expect("nobody panics with it"), least, most) as u64
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn entry(&self, worker: usize, state: &str, started_ms: u64) -> Value {
        let mut entry = self.customer.entry(worker, state, started_ms);
        entry["addr"] = json!(self.addresses[worker]);
        entry
    }

    fn list(&self) -> Value {
        let servers: Vec<_> = (0..self.servers.len()).map(|w| self.entry(w, "SERVING", 0)).collect();
        json!({"version": 4, "full": true, "servers": servers})
    }

    /// Discovery tells all routers of a worker.
    fn tell(&self, worker: usize, state: &str, started_ms: u64) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = self.entry(worker, state, started_ms);
        let line = chunk(&format!("{}\n", json!({"version": version, "full": false, "servers": [entry]})));
        for watch in self.watches.lock().expect("nobody panics with it").iter_mut() {
            let _ = watch.write_all(line.as_bytes());
        }
        let mut told = self.told.lock().expect("nobody panics with it");
        if state == "DRAINING" {
            told.entry(worker).or_insert(self.now());
        } else {
            told.remove(&worker);
        }
    }

    fn hear_watches(self: &Arc<Fleet>, listener: TcpListener) {
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
                std::thread::sleep(BEAT);
                for watch in fleet.watches.lock().expect("nobody panics with it").iter_mut() {
                    let _ = watch.write_all(chunk("\n").as_bytes());
                }
            }
        });
    }

    fn serve(self: &Arc<Fleet>, worker: usize, listener: TcpListener) {
        let fleet = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let fleet = fleet.clone();
                std::thread::spawn(move || Call::serve(fleet, worker, stream));
            }
        });
    }

    /// Faults at drawn times, up to the end.
    fn trouble(&self) {
        let many = self.servers.len();
        while !self.is_over() {
            std::thread::sleep(Duration::from_millis(self.between(100.0, 1_200.0)));
            let worker = (2.min(many - 1) + (self.unit() * many as f64) as usize).min(many - 1);
            let server = &self.servers[worker];
            let lasts = Duration::from_millis(self.between(100.0, 1_500.0));
            match (self.unit() * 4.0) as u8 {
                0 => {
                    server.does.store(HANGS, Ordering::SeqCst);
                    std::thread::sleep(lasts);
                    server.does.store(SERVES, Ordering::SeqCst);
                }
                1 => {
                    server.does.store(VANISHED, Ordering::SeqCst);
                    self.dies(worker);
                    std::thread::sleep(lasts);
                    server.does.store(SERVES, Ordering::SeqCst);
                    self.tell(worker, "SERVING", unix_ms());
                }
                2 => {
                    self.dies(worker);
                    self.tell(worker, "SERVING", unix_ms());
                }
                _ => self.tell(worker, "DRAINING", 0),
            }
        }
    }

    /// What the worker's process held and worked on is gone.
    fn dies(&self, worker: usize) {
        let now = self.now();
        self.checker().worker_died(now, worker);
        self.servers[worker].start.fetch_add(1, Ordering::SeqCst);
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// One connection to a worker.
struct Call {
    fleet: Arc<Fleet>,
    worker: usize,
    /// The start of the process that accepted it.
    start: u64,
    on: Connection,
    stream: TcpStream,
    kept: Vec<u8>,
}

impl Call {
    fn serve(fleet: Arc<Fleet>, worker: usize, stream: TcpStream) {
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(LOOKS)));
        let server = &fleet.servers[worker];
        // What comes while the machine is away comes to nobody.
        let away = server.does.load(Ordering::SeqCst) == VANISHED;
        let start = if away { u64::MAX } else { server.start.load(Ordering::SeqCst) };
        let on = (0, Link(fleet.links.fetch_add(1, Ordering::Relaxed)));
        let mut call = Call { fleet, worker, start, on, stream, kept: vec![] };
        // Some connections break before anything is read.
        if call.fleet.unit() < 0.02 {
            return;
        }
        while let Some(text) = call.next() {
            call.arrives(&text);
            if !call.waits_out_a_hang() || call.handle(&text).is_none() {
                break;
            }
        }
        let silent = !call.lives();
        call.ends();
        // A machine that has vanished says nothing on what was open.
        while silent && !call.fleet.is_over() && call.fleet.unit() < 0.999 {
            std::thread::sleep(LOOKS);
        }
    }

    /// The process that accepted it is still there.
    fn lives(&self) -> bool {
        self.fleet.servers[self.worker].start.load(Ordering::SeqCst) == self.start
    }

    /// The next whole request; none at the end of the connection or of the process.
    fn next(&mut self) -> Option<String> {
        let mut piece = [0; 4096];
        loop {
            if let Some(end) = self.kept.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.kept[..end]).into_owned();
                let length = word(&head, "content-length: ").parse().unwrap_or(0);
                if self.kept.len() >= end + 4 + length {
                    self.kept.drain(..end + 4 + length);
                    return Some(head);
                }
            }
            if self.fleet.is_over() || !self.lives() {
                return None;
            }
            match self.stream.read(&mut piece) {
                Ok(0) => return None,
                Ok(got) => self.kept.extend_from_slice(&piece[..got]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return None,
            }
        }
    }

    /// Waits while the process hangs; false if it is not there any more.
    fn waits_out_a_hang(&self) -> bool {
        while self.lives() && self.fleet.servers[self.worker].does.load(Ordering::SeqCst) == HANGS {
            std::thread::sleep(LOOKS);
        }
        self.lives()
    }

    /// Works for so long; none if the router has ended the connection meanwhile, or the process ended.
    fn works(&self, ms: u64) -> Option<()> {
        let done = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < done {
            match self.stream.peek(&mut [0]) {
                Ok(0) => return None,
                Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return None,
                _ => std::thread::sleep(LOOKS.min(done.saturating_duration_since(Instant::now()))),
            }
        }
        self.waits_out_a_hang().then_some(())
    }

    fn say(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }

    /// Does what is asked; none if the connection is over.
    fn handle(&mut self, head: &str) -> Option<()> {
        if head.starts_with("GET ") {
            return self.say(&plain(200, "", "TEXT outstanding=2, x1=0.5"));
        }
        if head.starts_with("POST /v1") {
            return self.attempt(head);
        }
        let request: usize = word(head, "/internal/reservations/t").parse().ok()?;
        if head.starts_with("DELETE ") {
            self.fleet.checker().released(request);
            return self.say("HTTP/1.1 204 No Content\r\n\r\n");
        }
        self.place(request)
    }

    fn place(&mut self, request: usize) -> Option<()> {
        let knows = self.fleet.checker().is_read(request);
        self.works(if knows { self.fleet.between(1.0, 50.0) } else { 300 })?;
        let held = self.fleet.unit() < 0.6;
        if held {
            let now = self.fleet.now();
            self.fleet.checker().holds_place(now, request, self.worker);
        }
        match (knows, held) {
            (false, _) => self.say("HTTP/1.1 204 No Content\r\n\r\n"),
            (true, true) => self.say(&plain(200, "", "")),
            (true, false) => self.say(&plain(409, "", "")),
        }
    }

    fn attempt(&mut self, head: &str) -> Option<()> {
        let request: usize = word(head, "x-trace-id: t").parse().ok()?;
        let lot = self.fleet.unit();
        if self.writes() {
            self.works(self.fleet.between(1.0, 800.0))?;
            self.write(request, lot)
        } else {
            self.works(self.fleet.between(2.0, 800.0))?;
            self.read(request, lot)
        }
    }

    /// Whether an attempt here has the request's effect.
    fn writes(&self) -> bool {
        self.fleet.customer.workers[self.worker].role != Role::Reads
    }

    /// A call's last byte has come, whatever the process does just then.
    fn arrives(&self, head: &str) {
        let (fleet, now) = (&self.fleet, self.fleet.now());
        let told = fleet.told.lock().expect("nobody panics with it").get(&self.worker).copied();
        let mut checker = fleet.checker();
        if head.starts_with("POST ") {
            checker.leaves(now, &fleet.customer, &head[..25], told);
        }
        let attempt =
            head.starts_with("POST /v1").then(|| word(head, "x-trace-id: t").parse().ok()).flatten();
        if let Some(request) = attempt {
            let told_ms: u64 = word(head, "x-expires-in-ms: ").parse().unwrap_or(u64::MAX / 2_000);
            checker.tells_deadline(now, request, told_ms * MS);
            checker.arrives(now, &fleet.customer, request, (self.worker, self.on), self.writes());
        }
    }

    fn read(&mut self, request: usize, lot: f64) -> Option<()> {
        let now = self.fleet.now();
        {
            let mut checker = self.fleet.checker();
            checker.attempts_end(now, self.on);
            if lot < 0.92 {
                checker.holds_state(now, request, self.worker);
            }
        }
        match lot {
            0.0..0.86 => self.say(READ),
            0.86..0.92 => None,
            0.92..0.96 => self.say(NEVER_RAN),
            _ => self.say(&plain(500, "", "")),
        }
    }

    fn write(&mut self, request: usize, lot: f64) -> Option<()> {
        let (fleet, now) = (self.fleet.clone(), self.fleet.now());
        let stateless = !fleet.checker().has_state(request) && !fleet.customer.reads_by_itself(self.worker);
        if stateless || lot < 0.12 {
            let mut checker = fleet.checker();
            checker.attempts_end(now, self.on);
            checker.told_never_ran(request, self.on);
            drop(checker);
            return self.say(&if stateless { NEVER_RAN.replace("503", "410") } else { NEVER_RAN.into() });
        }
        if lot < 0.25 {
            fleet.checker().attempts_end(now, self.on);
            return if lot < 0.18 { None } else { self.say(&plain(500, "", "")) };
        }
        fleet.checker().begins(request);
        self.say(&format!("{HEAD}{}", chunk(EVENTS[0])))?;
        self.works(fleet.between(1.0, 200.0))?;
        let now = fleet.now();
        fleet.checker().attempts_end(now, self.on);
        self.say(&format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2])))
    }

    /// The connection is over, but a read may have ended well in that very moment.
    fn ends(&self) {
        let now = self.fleet.now();
        let mut checker = self.fleet.checker();
        for (request, worker, writes) in checker.attempts_end(now, self.on) {
            let reads =
                !writes || checker.wants_state(request) && self.fleet.customer.reads_by_itself(worker);
            if reads && self.fleet.unit() < 0.1 {
                checker.holds_state(now, request, worker);
            }
        }
    }
}

/// The word behind a text.
fn word<'a>(text: &'a str, head: &str) -> &'a str {
    text.split(head).nth(1).and_then(|t| t.split(['\r', ' ']).next()).unwrap_or("")
}

/// One request of a client, on a connection of its own.
fn client(fleet: &Fleet, Router { listen, killed, asked, .. }: &Router) {
    let class = (fleet.unit() * fleet.customer.classes.len() as f64) as usize;
    let longest = fleet.customer.classes[class].deadline_ms.clamp(100, LONGEST_WAIT_MS);
    let wait_ms = fleet.between(longest as f64 * 0.5, longest as f64);
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(LOOKS)));
    let number = {
        let now = fleet.now();
        fleet.checker().asked(now, class, wait_ms * MS)
    };
    asked.lock().expect("nobody panics with it").push(number);
    let text = ask_for(&format!("t{number}"), &fleet.customer.classes[class].name, wait_ms, "{}");
    let _ = stream.write_all(text.as_bytes());
    let leaves =
        (fleet.unit() < 0.2).then(|| Instant::now() + Duration::from_millis(fleet.between(1.0, 800.0)));
    let (mut kept, mut piece) = (vec![], [0; 4096]);
    while !fleet.is_over() && !kept.ends_with(b"0\r\n\r\n") {
        if leaves.is_some_and(|at| Instant::now() > at) {
            let now = fleet.now();
            return fleet.checker().client_closed(now, number);
        }
        match stream.read(&mut piece) {
            Ok(got @ 1..) => kept.extend_from_slice(&piece[..got]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ if killed.load(Ordering::SeqCst) => return fleet.checker().router_killed(number),
            _ => break,
        }
        let status = kept.get(9..12).and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
        if let Some(status) = status.filter(|_| !fleet.checker().is_answered(number)) {
            let now = fleet.now();
            fleet.checker().client_answered(now, &fleet.customer, number, status);
            if status != 200 {
                return;
            }
        }
    }
    if kept.is_empty() && !fleet.is_over() {
        let now = fleet.now();
        fleet.checker().client_left_alone(now, number);
    }
    if killed.load(Ordering::SeqCst) {
        fleet.checker().router_killed(number);
    }
}

/// A router's process, its configuration and where it listens.
struct Router {
    running: Running,
    path: PathBuf,
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
    let mut file = fleet.customer.file.clone();
    let listen = free().replace("127.0.0.1", &format!("127.3.{}.{}", seed % 250 + 1, number + 1));
    (file["listen"], file["discovery"], file["known"]) = (json!(listen), json!(discovery), fleet.list());
    let path =
        std::env::temp_dir().join(format!("tideroute-customer-{seed}-{number}-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    command.arg("platform").env("EDGE_CONFIG", &path).stdin(Stdio::null()).stderr(Stdio::null());
    let running = Running(command.spawn().expect("it runs"));
    until(|| {
        let mut stream = TcpStream::connect(&listen).ok()?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).ok()?;
        answer.ends_with(b"200").then_some(())
    });
    Router { running, path, listen, killed: AtomicBool::new(false), asked: Mutex::default() }
}

/// Plays one customer; what broke, if something did.
fn play(seed: u64) -> Option<String> {
    let mut draw = Chance::new(2 * seed);
    let customer = Customer::drawn(&mut draw);
    let listeners: Vec<_> =
        customer.workers.iter().map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let found_at = discovery.local_addr().expect("an address").to_string();
    let began = Instant::now();
    let fleet = Arc::new(Fleet {
        checker: Mutex::new(Checker::new(text::BEGAN, NOISE)),
        draw: Mutex::new(draw),
        began,
        servers: customer.workers.iter().map(|_| Server::default()).collect(),
        addresses: listeners.iter().map(|l| l.local_addr().expect("an address").to_string()).collect(),
        watches: Mutex::default(),
        version: AtomicU64::new(4),
        told: Mutex::default(),
        links: AtomicU64::new(0),
        over: AtomicBool::new(false),
        customer,
    });
    fleet.hear_watches(discovery);
    listeners.into_iter().enumerate().for_each(|(worker, listener)| fleet.serve(worker, listener));
    let routers: Vec<_> = (0..1 + seed as usize % 3).map(|n| router(&fleet, &found_at, seed, n)).collect();
    let ends = Instant::now() + BUSY;
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.trouble());
        if seed % 4 == 1 {
            scope.spawn(|| {
                std::thread::sleep(BUSY / 2);
                let router = &routers[0];
                router.killed.store(seed % 8 == 1, Ordering::SeqCst);
                signal(&router.running.0, if seed % 8 == 1 { "-KILL" } else { "-TERM" });
                // What a router held when it was killed is nobody's duty any more.
                let asked = router.asked.lock().expect("nobody panics with it");
                asked.iter().filter(|_| seed % 8 == 1).for_each(|n| fleet.checker().router_killed(*n));
            });
        }
        while Instant::now() < ends {
            std::thread::sleep(Duration::from_millis(fleet.between(5.0, 150.0)));
            let router = &routers[(fleet.unit() * routers.len() as f64) as usize];
            let fleet = &fleet;
            scope.spawn(move || client(fleet, router));
        }
        while Instant::now() < ends + WATCHED && fleet.checker().broken.is_none() {
            let now = fleet.now();
            fleet.checker().look(now, &fleet.customer);
            std::thread::sleep(LOOKS);
        }
        fleet.over.store(true, Ordering::Relaxed);
    });
    let broken = fleet.checker().broken.clone();
    broken.map(|b| format!("customer {seed}: {b}"))
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn every_rule_holds_for_drawn_customers_on_processes() {
    let first = number("FIRST_CUSTOMER").unwrap_or(1);
    let many = number("PROCESS_CUSTOMERS").unwrap_or(CUSTOMERS);
    let mut broken = vec![];
    for from in (first..first + many).step_by(SIDE_BY_SIDE as usize) {
        let seeds = from..(from + SIDE_BY_SIDE).min(first + many);
        let threads: Vec<_> = seeds.map(|seed| std::thread::spawn(move || play(seed))).collect();
        broken.extend(threads.into_iter().filter_map(|thread| thread.join().expect("a customer")));
    }
    assert!(broken.is_empty(), "{} of {many}\n{}", broken.len(), broken.join("\n"));
}
