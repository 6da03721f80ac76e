//! Discovery, which the test itself runs: the endpoint list, its watches and their faults.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use serde_json::{json, Value};
use tideroute_test_support::http_messages::chunk;
use tideroute_test_support::virtual_time::MS;
use tideroute_wire::Micros;

use crate::fleet::{lock, Fleet, Life};
use crate::Failure;

/// Discovery's heartbeat.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// How long the old address of discovery still serves the watches that it has.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1_500);
/// How long a change may take to arrive, whatever becomes of the watch, also after a reload.
const NOTIFICATION_LIMIT: Micros = 6_000 * MS;

/// An open watch: at which of discovery's addresses, and whether it has fallen silent.
pub struct Watch {
    pub stream: TcpStream,
    pub address: usize,
    pub silent: bool,
}

#[derive(Default)]
pub struct Discovery {
    pub addresses: [String; 2],
    pub current: AtomicUsize,
    pub down: AtomicBool,
    pub watches: Mutex<Vec<Watch>>,
    pub list: Mutex<(u64, Vec<Value>)>,
    /// Until then what is told may come late.
    pub late_until: AtomicU64,
}

impl Fleet {
    /// Discovery notifies all routers of a worker, as far as it reaches them.
    pub fn notify(&self, worker: usize, state: &str, started_ms: u64) {
        let entry = self.entry(worker, state, started_ms);
        let version = {
            let mut list = lock(&self.discovery.list);
            (list.0, list.1[worker]) = (list.0 + 1, entry.clone());
            list.0
        };
        self.judge.log(format!("discovery tells {version}: worker {worker} {state}, started {started_ms}"));
        self.send_to_watches(&format!(
            "{}\n",
            json!({"version": version, "full": false, "servers": [entry]})
        ));
        let told = self.judge.now().max(self.discovery.late_until.load(Ordering::SeqCst));
        self.judge.endpoint_updated(worker, (state == "DRAINING").then_some(told));
    }

    /// Says a line on all watches that are not silent.
    fn send_to_watches(&self, line: &str) {
        let line = chunk(line);
        if self.discovery.down.load(Ordering::SeqCst) {
            return;
        }
        lock(&self.discovery.watches)
            .retain_mut(|watch| watch.silent || watch.stream.write_all(line.as_bytes()).is_ok());
    }

    /// What is told from now on, for so long, may come late.
    fn allow_late(&self, lasts: Duration) {
        let wait_for = self.judge.now() + lasts.as_micros() as Micros + NOTIFICATION_LIMIT;
        self.discovery.late_until.fetch_max(wait_for, Ordering::SeqCst);
    }

    /// All open watches fall silent, with no error.
    pub fn watches_fall_silent(&self) {
        self.allow_late(Duration::ZERO);
        lock(&self.discovery.watches).iter_mut().for_each(|watch| watch.silent = true);
    }

    /// All open watches end, some in half a line.
    pub fn watches_break(&self, in_half_a_line: bool) {
        self.allow_late(Duration::ZERO);
        for mut watch in lock(&self.discovery.watches).drain(..) {
            if in_half_a_line {
                let line = chunk(&format!("{}\n", self.list()));
                let _ = watch.stream.write_all(&line.as_bytes()[..line.len() / 2]);
            }
        }
    }

    /// Discovery can't be reached for so long.
    pub fn discovery_is_down(&self, lasts: Duration) {
        self.allow_late(lasts);
        self.discovery.down.store(true, Ordering::SeqCst);
        lock(&self.discovery.watches).clear();
        std::thread::sleep(lasts);
        self.discovery.down.store(false, Ordering::SeqCst);
    }

    /// New configurations move discovery to its other address; their files are whole only a while after the signal, if
    /// that is asked for.
    pub fn discovery_moves(&self, half_written: bool, send_signal: impl Fn(&Life)) -> Result<(), Failure> {
        self.allow_late(OLD_ADDRESS_GRACE);
        let old = self.discovery.current.fetch_xor(1, Ordering::SeqCst);
        for router in self.routers() {
            // No router starts by half a file.
            let _no_restart = lock(&router.restarts);
            let text = self.configuration(&router.listen).to_string();
            if half_written {
                std::fs::write(&router.config, &text[..text.len() / 2])?;
                send_signal(&router.life());
                std::thread::sleep(Duration::from_millis(100));
            }
            let fresh = router.config.with_extension("fresh");
            std::fs::write(&fresh, &text)?;
            std::fs::rename(&fresh, &router.config)?;
            if !half_written {
                send_signal(&router.life());
            }
        }
        std::thread::sleep(OLD_ADDRESS_GRACE);
        lock(&self.discovery.watches).retain(|watch| watch.address != old);
        Ok(())
    }

    pub fn accept_watches(&self, address: usize, door: &TcpListener) {
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

    pub fn send_heartbeats(&self) {
        while !self.is_over() {
            std::thread::sleep(HEARTBEAT);
            self.send_to_watches("\n");
        }
    }
}
