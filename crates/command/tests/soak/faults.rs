//! The faults that a run injects, two or three at a time.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tideroute_test_support::process::send_signal;

use crate::clients;
use crate::fleet::{lock, Fleet, Router, RouterProcess};
use crate::Failure;

/// How long a router may take to shut down; a longer shutdown violates a rule.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(8);
/// The number of clients that connect while a router receives SIGTERM, at intervals of 0.3 ms.
const CLIENTS_AT_SHUTDOWN: u64 = 12;
/// The longest time for which a router is paused.
const MAX_PAUSE_MS: f64 = 150.0;
/// One hour in milliseconds, by which discovery's clock is stepped.
const HOUR_MS: i64 = 3_600_000;

/// A fault that a run can inject. A `Path` fault affects the connections between the routers and one worker.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Fault {
    RouterShutdown,
    RouterKilled,
    RouterPaused,
    DiscoveryMoved,
    DiscoveryMovedByHalfWrittenFile,
    DiscoveryDown,
    WatchesSilent,
    WatchesClosed,
    WatchesClosedInHalfALine,
    ClockStepped,
    WorkerRestarted,
    WorkerPaused,
    WorkerDraining,
    PathSilent,
    PathReset,
    PathSlow,
    PathFragmented,
}

pub const ALL_FAULTS: [Fault; 17] = {
    use Fault::*;
    [
        RouterShutdown,
        RouterKilled,
        RouterPaused,
        DiscoveryMoved,
        DiscoveryMovedByHalfWrittenFile,
        DiscoveryDown,
        WatchesSilent,
        WatchesClosed,
        WatchesClosedInHalfALine,
        ClockStepped,
        WorkerRestarted,
        WorkerPaused,
        WorkerDraining,
        PathSilent,
        PathReset,
        PathSlow,
        PathFragmented,
    ]
};

impl Fault {
    /// Whether it affects the whole deployment. Two such faults at once would not be distinct.
    pub fn is_global(self) -> bool {
        self.delays_endpoint_lists() || self == Fault::ClockStepped
    }

    /// Whether endpoint changes may arrive late during the fault.
    pub fn delays_endpoint_lists(self) -> bool {
        use Fault::*;
        matches!(
            self,
            DiscoveryMoved
                | DiscoveryMovedByHalfWrittenFile
                | DiscoveryDown
                | WatchesSilent
                | WatchesClosed
                | WatchesClosedInHalfALine
        )
    }
}

/// Sends a signal to a router's process unless the process has ended.
fn signal_router(process: &RouterProcess, name: &str) {
    let mut running = lock(&process.running);
    if running.0.try_wait().is_ok_and(|ended| ended.is_none()) {
        send_signal(&running.0, name);
    }
}

impl Fleet {
    /// Injects one fault and waits for its end.
    pub fn inject(&self, fault: Fault) -> Result<(), Failure> {
        let routers = self.routers();
        let router = &routers[(self.monitor.random_unit() * routers.len() as f64) as usize];
        // One worker of each kind is never affected.
        let kinds = self.workers.len().min(3);
        let spared = if self.workers.len() > kinds { kinds } else { 1 };
        let affected = self.workers.len() - spared;
        let worker = spared + (self.monitor.random_unit() * affected as f64) as usize;
        let duration = Duration::from_millis(self.monitor.random_range(50.0, 2_000.0));
        self.monitor.log(format!("{fault:?} for {duration:?}, at {} or worker {worker}", router.listen));
        match fault {
            Fault::RouterShutdown => self.shut_down_router(router)?,
            Fault::RouterKilled => self.kill_router(router)?,
            Fault::RouterPaused => {
                let process = router.process();
                signal_router(&process, "-STOP");
                std::thread::sleep(Duration::from_millis(self.monitor.random_range(10.0, MAX_PAUSE_MS)));
                signal_router(&process, "-CONT");
            }
            Fault::DiscoveryMoved => self.move_discovery(false, |process| signal_router(process, "-HUP"))?,
            Fault::DiscoveryMovedByHalfWrittenFile => {
                self.move_discovery(true, |process| signal_router(process, "-HUP"))?
            }
            Fault::DiscoveryDown => self.take_discovery_down(duration),
            Fault::WatchesSilent => self.silence_watches(),
            Fault::WatchesClosed => self.close_watches(false),
            Fault::WatchesClosedInHalfALine => self.close_watches(true),
            Fault::ClockStepped => {
                let ahead = [HOUR_MS, -HOUR_MS, 0][(self.monitor.random_unit() * 3.0) as usize];
                self.clock_ahead_ms.store(ahead, Ordering::SeqCst);
            }
            Fault::WorkerRestarted => {
                self.restart_worker(worker)?;
                self.notify(worker, "SERVING", self.started_ms());
            }
            Fault::WorkerPaused => {
                send_signal(&lock(&self.workers[worker].running).0, "-STOP");
                std::thread::sleep(duration);
                send_signal(&lock(&self.workers[worker].running).0, "-CONT");
            }
            Fault::WorkerDraining => self.notify(worker, "DRAINING", 0),
            Fault::PathSilent => self.apply_to_proxy_for(worker, "silent", duration),
            Fault::PathReset => self.apply_to_proxy(worker, "reset"),
            Fault::PathSlow => {
                let delay = self.monitor.random_range(2.0, 100.0);
                self.apply_to_proxy_for(worker, &format!("delay {delay}"), duration);
            }
            Fault::PathFragmented => {
                let piece = self.monitor.random_range(1.0, 40.0);
                self.apply_to_proxy_for(worker, &format!("piece {piece}"), duration);
            }
        }
        Ok(())
    }

    /// Applies a command to a worker's proxy for the given time.
    fn apply_to_proxy_for(&self, worker: usize, command: &str, duration: Duration) {
        self.apply_to_proxy(worker, command);
        std::thread::sleep(duration);
        self.apply_to_proxy(worker, "open");
    }

    /// Restarts a router by SIGTERM: the process ends by itself. Some clients connect at that moment.
    fn shut_down_router(&self, router: &Router) -> Result<(), Failure> {
        let process = router.process();
        std::thread::scope(|scope| {
            for n in 0..CLIENTS_AT_SHUTDOWN {
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_micros(n * 300));
                    clients::send_one_request(self, router);
                });
            }
            signal_router(&process, "-TERM");
            self.wait_for_exit(router, &process)
        })?;
        self.restart_router(router, &process)
    }

    /// Waits until a router's process has ended, and reports a violation if it fails or takes too long.
    fn wait_for_exit(&self, router: &Router, process: &RouterProcess) -> Result<(), Failure> {
        let signalled = Instant::now();
        loop {
            let ended = lock(&process.running).0.try_wait()?;
            if let Some(status) = ended {
                if !status.success() && !process.killed.load(Ordering::SeqCst) {
                    self.monitor.report_violation(format!("router {} ended with {status}", router.listen));
                }
                return Ok(());
            }
            if signalled.elapsed() > SHUTDOWN_LIMIT {
                self.monitor.report_violation(format!(
                    "router {} did not end within {SHUTDOWN_LIMIT:?}",
                    router.listen
                ));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Kills a router and restarts it.
    fn kill_router(&self, router: &Router) -> Result<(), Failure> {
        let process = router.process();
        process.killed.store(true, Ordering::SeqCst);
        {
            let mut running = lock(&process.running);
            let _ = (running.0.kill(), running.0.wait());
        }
        lock(&process.requests).iter().for_each(|number| self.monitor.checker().router_killed(*number));
        self.restart_router(router, &process)
    }
}
