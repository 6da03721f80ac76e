//! The router as a real process with a memory limit, between emulated workers and discovery. The platform kills a
//! router whose memory exceeds the limit; here the peak of its anonymous memory is sampled and compared.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{json, Value};

use tideroute_test_support::fixture;
use tideroute_test_support::http_connection::{is_up, read_message, serve};
use tideroute_test_support::http_messages::{self, PREFILL_COMPLETE};
use tideroute_test_support::process::{unused_address, wait_for, KillOnDrop};

/// Interval at which the router's memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which a client gives up reading or writing; longer than any deadline.
const IO_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of discovery's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// The latency objective of all request classes, in milliseconds.
const LATENCY_OBJECTIVE_MS: f64 = 12_000.0;

/// Maximum number of attempts to start the program.
const MAX_STARTS: usize = 5;

/// The limits in a router's configuration.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Limits {
    /// The number of requests that clients may have open: they hold at most a third of the descriptors.
    pub fn clients(self) -> usize {
        self.sockets / 3
    }
}

/// How an emulated worker handles attempts.
#[derive(Clone, Copy)]
pub enum Worker {
    /// Completes each prefill after this time.
    Prefill(Duration),
    /// Reads no request.
    Unresponsive,
    /// Streams this number of events of [`EVENT_BYTES`] as fast as the router reads them.
    Stream(usize),
}

/// Bytes of one event of a stream.
pub const EVENT_BYTES: usize = 16 << 10;

impl Worker {
    fn serve(self, mut stream: TcpStream) {
        let mut received = vec![];
        if matches!(self, Worker::Unresponsive) {
            return std::thread::sleep(Duration::from_secs(60));
        }
        while let Some((head, _)) = read_message(&mut stream, &mut received) {
            if self.respond(&head, &mut stream).is_err() {
                return;
            }
        }
    }

    fn respond(self, head: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        if !head.starts_with("post /v1") {
            return stream.write_all(http_messages::response(200, "", "").as_bytes());
        }
        match self {
            Worker::Prefill(duration) => {
                std::thread::sleep(duration);
                stream.write_all(PREFILL_COMPLETE.as_bytes())
            }
            Worker::Stream(events) => {
                let event = format!("data: {}\n\n", "x".repeat(EVENT_BYTES));
                stream.write_all(http_messages::STREAM_HEAD.as_bytes())?;
                for _ in 0..events {
                    stream.write_all(http_messages::chunk(&event).as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")
            }
            Worker::Unresponsive => Ok(()),
        }
    }
}

/// Serves a worker; returns its entry in the endpoint list. A small receive buffer keeps what the worker does not read
/// with the router.
fn start_worker(number: usize, kind: &str, worker: Worker) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    if matches!(worker, Worker::Unresponsive) {
        socket2::SockRef::from(&listener).set_recv_buffer_size(4 << 10).expect("a buffer size");
    }
    let address = listener.local_addr().expect("an address").to_string();
    serve(listener, move |stream| worker.serve(stream));
    json!({"id": format!("{kind}-{number}"), "addr": address, "zone": "east", "kind": kind, "cell": 0,
        "state": "SERVING", "weight": 1.0, "started_ms": 0})
}

/// Serves discovery, which sends the list once and then heartbeats. Returns its address.
fn start_discovery(list: Value) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    serve(listener, move |mut stream| {
        if read_message(&mut stream, &mut vec![]).is_none() {
            return;
        }
        let line = http_messages::chunk(&format!("{list}\n"));
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{line}").as_bytes());
        while stream.write_all(http_messages::chunk("\n").as_bytes()).is_ok() {
            std::thread::sleep(HEARTBEAT);
        }
    });
    address
}

/// A running router.
pub struct Router {
    process: KillOnDrop,
    pub address: String,
    limits: Limits,
    config: PathBuf,
    peak_kb: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
    _turn: MutexGuard<'static, ()>,
}

/// Held by the test that runs: each starts hundreds of clients.
static TURN: Mutex<()> = Mutex::new(());

/// Starts the program and waits until it is up. Returns it with its address.
///
/// Between the choice of a port and the start of the program, another process may take the port; the program then ends
/// at once, and another port is tried.
fn start_process(mut file: Value, config: &Path) -> (KillOnDrop, String) {
    for _ in 0..MAX_STARTS {
        let address = unused_address();
        file["listen"] = json!(address);
        std::fs::write(config, file.to_string()).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
        command.arg("platform").env("EDGE_CONFIG", config).stdin(Stdio::null());
        let mut process = KillOnDrop(command.spawn().expect("the program starts"));
        wait_for(|| is_up(&address).or_else(|| has_ended(&mut process)));
        // What is up may be the program that has taken the port.
        std::thread::sleep(HEARTBEAT / 10);
        if process.0.try_wait().expect("the exit status").is_none() {
            return (process, address);
        }
    }
    panic!("the program ended at each of {MAX_STARTS} starts");
}

impl Router {
    /// Starts a router between `count` workers of each role.
    pub fn start(limits: Limits, count: usize, prefill: Worker, decode: Worker) -> Router {
        let turn = TURN.lock().unwrap_or_else(|error| error.into_inner());
        let prefill_entries = (0..count).map(|number| start_worker(number, "reading", prefill));
        let decode_entries = (0..count).map(|number| start_worker(number, "writing", decode));
        let servers: Vec<Value> = prefill_entries.chain(decode_entries).collect();
        let list = json!({"version": 5, "full": true, "servers": servers});
        let mut file = fixture::router_config();
        file["discovery"] = json!(start_discovery(list.clone()));
        file["known"] = list;
        // Requests wait for a worker instead of being shed.
        for class in file["settings"]["classes"].as_array_mut().expect("the classes") {
            class["on_time_ms"] = json!(LATENCY_OBJECTIVE_MS);
            class["hard_limit_ms"] = json!(LATENCY_OBJECTIVE_MS);
        }
        file["limits"] = json!({"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets});
        let config = std::env::temp_dir().join(format!("tideroute-memory-{}.json", std::process::id()));
        let (process, address) = start_process(file, &config);
        let (peak_kb, is_over) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let mut router =
            Router { process, address, limits, config, peak_kb, is_over, sampler: None, _turn: turn };
        router.sampler = Some(router.start_sampler());
        router
    }

    fn start_sampler(&self) -> JoinHandle<()> {
        let (pid, peak_kb, is_over) = (self.process.0.id(), self.peak_kb.clone(), self.is_over.clone());
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                peak_kb.fetch_max(anonymous_kb(pid), Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        })
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).expect("the router accepts connections");
        stream.set_read_timeout(Some(IO_TIMEOUT)).expect("a timeout");
        stream.set_write_timeout(Some(IO_TIMEOUT)).expect("a timeout");
        stream
    }

    /// Ends the sampling, and asserts that the router has stayed within its limit and still serves.
    pub fn assert_within_limit(mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.sampler.take().expect("a sampler").join().expect("the sampler");
        let peak_kb = self.peak_kb.load(Ordering::Relaxed);
        println!("peak of anonymous memory: {peak_kb} KB of {} KB", self.limits.memory_mb << 10);
        assert!(
            peak_kb <= self.limits.memory_mb << 10,
            "{peak_kb} KB of anonymous memory, with a limit of {} KB",
            self.limits.memory_mb << 10
        );
        assert!(peak_kb > 0, "no memory was sampled");
        wait_for(|| is_up(&self.address));
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Returns whether a process has ended; `None` stands for no.
fn has_ended(process: &mut KillOnDrop) -> Option<()> {
    process.0.try_wait().expect("the exit status").map(|_| ())
}

/// Returns the anonymous memory of a process in kilobytes: what it has allocated, without program and libraries.
fn anonymous_kb(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    field.and_then(|field| field.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
