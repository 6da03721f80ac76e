//! Connects the processes of a test to its monitor. Each event is sent as a line of JSON and answered by a line with
//! one digit.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

use tideroute::rng::Rng;

use crate::emulated_worker::WorkerEnvironment;
use crate::monitor::Monitor;
use crate::worker_event::WorkerEvent;

const YES: &str = "1\n";
const NO: &str = "0\n";

/// Accepts connections and passes the events received on them to the monitor, until the process ends.
pub fn serve(listener: TcpListener, monitor: Arc<Monitor>) {
    for stream in listener.incoming().flatten() {
        let monitor = monitor.clone();
        std::thread::spawn(move || serve_connection(&stream, &monitor));
    }
}

fn serve_connection(stream: &TcpStream, monitor: &Monitor) {
    let _ = stream.set_nodelay(true);
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
        let Ok(event) = serde_json::from_str(&line) else { return };
        let answer = if monitor.handle(event) { YES } else { NO };
        if lines.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}

thread_local! {
    /// The connection of this thread to the monitor.
    static CONNECTION: RefCell<Option<BufReader<TcpStream>>> = const { RefCell::new(None) };
}

/// A client for the monitor in another process. If the connection to the monitor fails, it ends its own process.
pub struct RemoteMonitor {
    address: String,
    rng: Mutex<Rng>,
}

impl RemoteMonitor {
    /// Creates a client for the monitor at an address. `seed` is the seed of this process's random number generator.
    pub fn new(address: &str, seed: u64) -> RemoteMonitor {
        RemoteMonitor { address: address.to_string(), rng: Mutex::new(Rng::new(seed)) }
    }

    fn send(&self, event: &WorkerEvent) -> std::io::Result<bool> {
        CONNECTION.with_borrow_mut(|connection| {
            if connection.is_none() {
                let stream = TcpStream::connect(&self.address)?;
                stream.set_nodelay(true)?;
                *connection = Some(BufReader::new(stream));
            }
            let Some(connection) = connection else { return Ok(false) };
            let line = format!("{}\n", serde_json::to_string(event)?);
            connection.get_mut().write_all(line.as_bytes())?;
            let mut answer = String::new();
            connection.read_line(&mut answer)?;
            Ok(answer == YES)
        })
    }
}

impl WorkerEnvironment for RemoteMonitor {
    fn handle(&self, event: WorkerEvent) -> bool {
        self.send(&event).unwrap_or_else(|_| std::process::exit(0))
    }

    fn random_unit(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).unit()
    }

    fn is_over(&self) -> bool {
        false
    }

    /// Returns false: the proxy in front of the worker reports connections.
    fn reports_connections(&self) -> bool {
        false
    }

    /// Returns the port from which the proxy in front of the worker connected. The proxy reports the connection under
    /// the same number.
    fn connection_number(&self, stream: &TcpStream) -> u64 {
        stream.peer_addr().map_or(0, |peer| u64::from(peer.port()))
    }
}
