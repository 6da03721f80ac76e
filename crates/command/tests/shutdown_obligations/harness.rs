//! The harness: the router as a real process between emulated workers, clients and discovery, each of which acts only
//! when the test tells it to.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use tideroute_test_support::fixture;
use tideroute_test_support::http_messages::{self, chat_request, chunk, PREFILL_COMPLETE};
use tideroute_test_support::process::{send_signal, unused_address, wait_for, KillOnDrop, TEST_TIMEOUT};

pub const RELEASE: &str = "DELETE /internal/reservations/";
pub const RESERVE: &str = "POST /internal/reservations/";
pub const ATTEMPT: &str = "POST /v1/chat/completions";
pub const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// The time within which the router has to release reserved state, by the settings of `fixture::router_config`.
pub const RELEASE_LIMIT: Duration = Duration::from_millis(1_300);

/// A request that arrived at a worker, or a watch that was opened at discovery.
pub struct Call {
    /// The worker's number, or [`DISCOVERY`].
    pub at: usize,
    pub text: String,
    pub stream: TcpStream,
    pub received_at: Instant,
}

impl Call {
    pub fn send(&mut self, text: impl AsRef<[u8]>) {
        self.stream.write_all(text.as_ref()).expect("the router is connected");
    }

    /// Waits until the router has closed at least its side of the connection.
    pub fn wait_for_close(&self) {
        let mut rest = vec![];
        let _ = (&self.stream).read_to_end(&mut rest);
    }

    /// Returns the trace id of the request.
    pub fn trace(&self) -> &str {
        let at = self.text.find("x-trace-id: ").expect("an id") + 12;
        self.text[at..].split("\r\n").next().unwrap_or("")
    }
}

/// Accepts connections and sends each complete request on them to the test.
pub fn listen(listener: TcpListener, at: usize, calls: Sender<Call>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (calls, _) = (calls.clone(), stream.set_nodelay(true));
            std::thread::spawn(move || {
                let (mut received, mut piece) = (vec![], [0; 4096]);
                while let Ok(length @ 1..) = (&stream).read(&mut piece) {
                    received.extend_from_slice(&piece[..length]);
                    while let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
                        let head = String::from_utf8_lossy(&received[..end]).into_owned();
                        let length = head.split("content-length: ").nth(1);
                        let length = length.and_then(|l| l.split("\r\n").next()?.parse().ok()).unwrap_or(0);
                        if received.len() < end + 4 + length {
                            break;
                        }
                        let text = String::from_utf8_lossy(&received[..end + 4 + length]).into_owned();
                        received.drain(..end + 4 + length);
                        let stream = stream.try_clone().expect("a handle");
                        let _ = calls.send(Call { at, text, stream, received_at: Instant::now() });
                    }
                }
            });
        }
    });
}

pub struct Harness {
    pub running: KillOnDrop,
    /// The path of the router's configuration.
    pub path: PathBuf,
    /// The configuration.
    pub file: Value,
    pub calls: Receiver<Call>,
    /// Calls that arrived before the test waited for them.
    pub early: VecDeque<Call>,
    /// The router's open watch of the endpoint list.
    pub watch: Call,
    /// For listeners that a test adds.
    pub sender: Sender<Call>,
}

/// The number of the next harness in this process.
pub static NEXT_HARNESS: AtomicU8 = AtomicU8::new(1);
/// Discovery's number in [`Call::at`].
pub const DISCOVERY: usize = 99;

impl Harness {
    pub fn new(name: &str, configure: impl FnOnce(&mut Value)) -> Harness {
        Harness::with_limit(name, "", configure)
    }

    /// Starts the process after a shell command, for example one that sets a limit.
    pub fn with_limit(name: &str, limit: &str, configure: impl FnOnce(&mut Value)) -> Harness {
        let (sender, calls) = channel();
        let mut list = fixture::endpoint_list(4);
        for (n, server) in list["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            server["addr"] = json!(listener.local_addr().expect("an address").to_string());
            listen(listener, n, sender.clone());
        }
        let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut file = fixture::router_config();
        file["discovery"] = json!(discovery.local_addr().expect("an address").to_string());
        // Each harness uses a loopback address of its own, so that no listener of another test takes its port
        // meanwhile.
        let number = NEXT_HARNESS.fetch_add(1, Ordering::Relaxed);
        let router_address = unused_address().replace("127.0.0.1", &format!("127.1.1.{number}"));
        (file["listen"], file["known"]) = (json!(router_address), list);
        configure(&mut file);
        listen(discovery, DISCOVERY, sender.clone());
        let path =
            std::env::temp_dir().join(format!("tideroute-end-{name}-{number}-{}.json", std::process::id()));
        std::fs::write(&path, file.to_string()).expect("a file");
        let script = format!("{limit} exec {} platform", env!("CARGO_BIN_EXE_tideroute"));
        let mut command = Command::new("sh");
        command.args(["-c", &script]).env("EDGE_CONFIG", &path).stdin(Stdio::null());
        let running = KillOnDrop(command.spawn().expect("the program starts"));
        let mut watch = calls.recv_timeout(TEST_TIMEOUT).expect("a watch");
        assert!(watch.at == DISCOVERY && watch.text.starts_with("GET /discovery/hosts?watch=1&after="));
        watch.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        watch.send(chunk(&format!("{}\n", file["known"])));
        let mut harness = Harness { running, path, file, calls, early: VecDeque::new(), watch, sender };
        wait_for(|| (harness.health_status() == 200).then_some(()));
        harness
    }

    /// Returns the status code of the router's health check, or 0 if it does not answer.
    pub fn health_status(&mut self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.file["listen"].as_str().expect("an address")) else {
            return 0;
        };
        let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        let mut answer = [0; 12];
        let read = stream.read_exact(&mut answer).is_ok();
        if read {
            String::from_utf8_lossy(&answer[9..]).parse().unwrap_or(0)
        } else {
            0
        }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.file["listen"].as_str().expect("an address"))
            .expect("the router listens");
        stream.set_nodelay(true).expect("no delay");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
        stream
    }

    /// Sends a request on a new connection.
    pub fn request(&self, trace: &str, class: &str) -> TcpStream {
        let mut client = self.connect();
        client.write_all(chat_request(trace, class).as_bytes()).expect("the router is connected");
        client
    }

    /// Returns the next call whose text begins with `begins`. Answers health checks, and keeps other calls for later.
    pub fn next_call(&mut self, begins: &str) -> Call {
        self.next_call_within(begins, TEST_TIMEOUT)
            .unwrap_or_else(|| panic!("no call that begins with {begins}"))
    }

    /// Like [`Harness::next_call`], but returns `None` if no such call arrives in time.
    pub fn next_call_within(&mut self, begins: &str, time: Duration) -> Option<Call> {
        let deadline = Instant::now() + time;
        if let Some(n) = self.early.iter().position(|call| call.text.starts_with(begins)) {
            return self.early.remove(n);
        }
        loop {
            let mut call = self.calls.recv_timeout(deadline.checked_duration_since(Instant::now())?).ok()?;
            if call.text.starts_with(begins) {
                return Some(call);
            } else if call.text.starts_with("GET /alive") {
                call.send(http_messages::response(200, "", ""));
            } else {
                self.early.push_back(call);
            }
        }
    }

    /// Sends a request and completes its prefill. Returns the client's connection, the time of the prefill's end, and
    /// the decode attempt that follows.
    pub fn prefilled(&mut self, trace: &str, class: &str) -> (TcpStream, Instant, Call) {
        let client = self.request(trace, class);
        let mut prefill_call = self.next_call(ATTEMPT);
        prefill_call.send(PREFILL_COMPLETE);
        (client, Instant::now(), self.next_call(ATTEMPT))
    }

    /// Sends a line on the router's watch.
    pub fn notify(&mut self, line: &Value) {
        self.watch.send(chunk(&format!("{line}\n")));
    }

    /// Returns a worker's entry in the endpoint list with the given state.
    pub fn endpoint(&self, worker: usize, state: &str) -> Value {
        let mut entry = self.file["known"]["servers"][worker].clone();
        entry["state"] = json!(state);
        entry
    }

    /// Returns an update of the endpoint list that changes one worker's state.
    pub fn change(&self, version: u64, worker: usize, state: &str) -> Value {
        json!({"version": version, "full": false, "servers": [self.endpoint(worker, state)]})
    }

    pub fn send_signal(&self, name: &str) {
        send_signal(&self.running.0, name);
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for(|| self.running.0.try_wait().expect("the exit status"))
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Returns what a client receives until its connection ends.
pub fn read_to_end_of(mut client: TcpStream) -> String {
    let mut received = vec![];
    let _ = client.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

/// Returns the next response that a client receives, on a connection that may stay open.
pub fn response(client: &mut TcpStream) -> String {
    let (mut received, mut piece) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = received.split_once("\r\n\r\n") {
            let length =
                head.split("content-length: ").nth(1).and_then(|l| l.split("\r\n").next()?.parse().ok());
            if length.map_or(body.ends_with("0\r\n\r\n"), |length: usize| body.len() >= length) {
                return received;
            }
        }
        match client.read(&mut piece) {
            Ok(length @ 1..) => received.push_str(&String::from_utf8_lossy(&piece[..length])),
            _ => return received,
        }
    }
}

/// Reads until the text has arrived, and appends to `received` what was read.
pub fn read_until(client: &mut TcpStream, received: &mut String, text: &str) {
    let mut piece = [0; 4096];
    while !received.contains(text) {
        let length = client.read(&mut piece).expect("the text arrives");
        assert!(length > 0, "ended before {text:?}: {received}");
        received.push_str(&String::from_utf8_lossy(&piece[..length]));
    }
}

/// Switches decode reservations off in a configuration.
pub fn without_reservations(file: &mut Value) {
    file["settings"]["family_info"]["ahead"] = json!(false);
}
