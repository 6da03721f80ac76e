//! The emulated discovery service, which runs in the test's own process: the endpoint list, its watches and their
//! faults.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use serde_json::{json, Value};
use tideroute_test_support::http_messages::chunk;
use tideroute_test_support::virtual_time::MS;
use tideroute_wire::Micros;

use crate::fleet::{lock, Fleet, RouterProcess};
use crate::Failure;

/// The interval of discovery's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// How long discovery's old address still serves its open watches after a move.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1_500);
/// How long a change may take to arrive at a router when its watch fails or the configuration is reloaded meanwhile.
const NOTIFICATION_LIMIT: Micros = 6_000 * MS;

/// An open watch of a router.
pub struct Watch {
    pub stream: TcpStream,
    /// The index of the address of discovery at which it was opened.
    pub address: usize,
    /// Discovery sends nothing on it any more, without an error.
    pub silent: bool,
}

/// The state of the emulated discovery service.
#[derive(Default)]
pub struct Discovery {
    pub addresses: [String; 2],
    /// The index of the address in use.
    pub current: AtomicUsize,
    pub down: AtomicBool,
    pub watches: Mutex<Vec<Watch>>,
    /// The version and the entries of the endpoint list.
    pub list: Mutex<(u64, Vec<Value>)>,
    /// Until this time, changes may reach the routers late.
    pub late_until: AtomicU64,
}

impl Fleet {
    /// Changes a worker's entry in the endpoint list and sends the change on all watches that work.
    pub fn notify(&self, worker: usize, state: &str, started_ms: u64) {
        let entry = self.entry(worker, state, started_ms);
        let version = {
            let mut list = lock(&self.discovery.list);
            (list.0, list.1[worker]) = (list.0 + 1, entry.clone());
            list.0
        };
        self.monitor
            .log(format!("discovery sent version {version}: worker {worker} {state}, started {started_ms}"));
        self.send_to_watches(&format!(
            "{}\n",
            json!({"version": version, "full": false, "servers": [entry]})
        ));
        let notified_at = self.monitor.now().max(self.discovery.late_until.load(Ordering::SeqCst));
        self.monitor.endpoint_updated(worker, (state == "DRAINING").then_some(notified_at));
    }

    /// Sends a line on all watches that are not silent.
    fn send_to_watches(&self, line: &str) {
        let line = chunk(line);
        if self.discovery.down.load(Ordering::SeqCst) {
            return;
        }
        lock(&self.discovery.watches)
            .retain_mut(|watch| watch.silent || watch.stream.write_all(line.as_bytes()).is_ok());
    }

    /// Lets changes that are sent from now until the end of the fault arrive late.
    fn allow_late(&self, duration: Duration) {
        let end = self.monitor.now() + duration.as_micros() as Micros + NOTIFICATION_LIMIT;
        self.discovery.late_until.fetch_max(end, Ordering::SeqCst);
    }

    /// Silences all open watches, without an error on them.
    pub fn silence_watches(&self) {
        self.allow_late(Duration::ZERO);
        lock(&self.discovery.watches).iter_mut().for_each(|watch| watch.silent = true);
    }

    /// Closes all open watches, optionally in the middle of a line.
    pub fn close_watches(&self, in_half_a_line: bool) {
        self.allow_late(Duration::ZERO);
        for mut watch in lock(&self.discovery.watches).drain(..) {
            if in_half_a_line {
                let line = chunk(&format!("{}\n", self.list()));
                let _ = watch.stream.write_all(&line.as_bytes()[..line.len() / 2]);
            }
        }
    }

    /// Makes discovery unreachable for the given time.
    pub fn take_discovery_down(&self, duration: Duration) {
        self.allow_late(duration);
        self.discovery.down.store(true, Ordering::SeqCst);
        lock(&self.discovery.watches).clear();
        std::thread::sleep(duration);
        self.discovery.down.store(false, Ordering::SeqCst);
    }

    /// Moves discovery to its other address by new configurations for all routers. With `half_written`, each file is
    /// complete only 100 ms after the signal.
    pub fn move_discovery(
        &self,
        half_written: bool,
        send_signal: impl Fn(&RouterProcess),
    ) -> Result<(), Failure> {
        self.allow_late(OLD_ADDRESS_GRACE);
        let old_address = self.discovery.current.fetch_xor(1, Ordering::SeqCst);
        for router in self.routers() {
            // A router that started meanwhile would read a half-written file.
            let _no_restart = lock(&router.restarts);
            let text = self.configuration(&router.listen).to_string();
            if half_written {
                std::fs::write(&router.config, &text[..text.len() / 2])?;
                send_signal(&router.process());
                std::thread::sleep(Duration::from_millis(100));
            }
            let replacement = router.config.with_extension("fresh");
            std::fs::write(&replacement, &text)?;
            std::fs::rename(&replacement, &router.config)?;
            if !half_written {
                send_signal(&router.process());
            }
        }
        std::thread::sleep(OLD_ADDRESS_GRACE);
        lock(&self.discovery.watches).retain(|watch| watch.address != old_address);
        Ok(())
    }

    /// Accepts the watches that routers open at one of discovery's addresses, and sends each the full endpoint list.
    pub fn accept_watches(&self, address: usize, listener: &TcpListener) {
        for mut stream in listener.incoming().flatten() {
            let not_current = self.discovery.current.load(Ordering::SeqCst) != address;
            if not_current || self.discovery.down.load(Ordering::SeqCst) {
                continue;
            }
            let line = chunk(&format!("{}\n", self.list()));
            let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{line}");
            if stream.write_all(head.as_bytes()).is_ok() {
                lock(&self.discovery.watches).push(Watch { stream, address, silent: false });
            }
        }
    }

    pub fn send_heartbeats(&self) {
        while !self.is_over() {
            std::thread::sleep(HEARTBEAT);
            self.send_to_watches("\n");
        }
    }
}
