//! The faults that a run injects, two or three at a time.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tideroute_test_support::process::send_signal;

use crate::clients;
use crate::fleet::{lock, Fleet, Life, Router};
use crate::Failure;

/// How long a process may take to shut down; one that takes longer breaks a rule.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(8);
/// Clients that connect as a router is told to end, 0.3 ms behind each other.
const CLIENTS_AT_SHUTDOWN: u64 = 12;
/// The longest time for which a router is paused.
const MAX_PAUSE_MS: f64 = 150.0;
/// An hour, by which clocks are stepped.
const HOUR_MS: i64 = 3_600_000;

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
    /// Whether it concerns the whole deployment, so that two at once would be one.
    pub fn is_global(self) -> bool {
        self.delays_endpoint_lists() || self == Fault::ClockStepped
    }

    /// Whether endpoint changes may arrive late meanwhile.
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

/// Sends a signal to a router's process, if that has not ended.
fn signal_router(life: &Life, name: &str) {
    let mut running = lock(&life.running);
    if running.0.try_wait().is_ok_and(|ended| ended.is_none()) {
        send_signal(&running.0, name);
    }
}

impl Fleet {
    /// Injects one fault and waits for its end.
    pub fn inject(&self, fault: Fault) -> Result<(), Failure> {
        let routers = self.routers();
        let router = &routers[(self.judge.random_unit() * routers.len() as f64) as usize];
        // One worker of each kind stays well.
        let kinds = self.workers.len().min(3);
        let spared = if self.workers.len() > kinds { kinds } else { 1 };
        let affected = self.workers.len() - spared;
        let worker = spared + (self.judge.random_unit() * affected as f64) as usize;
        let lasts = Duration::from_millis(self.judge.random_range(50.0, 2_000.0));
        self.judge.log(format!("{fault:?} for {lasts:?}, at {} or worker {worker}", router.listen));
        match fault {
            Fault::RouterShutdown => self.shut_down_router(router)?,
            Fault::RouterKilled => self.kill_router(router)?,
            Fault::RouterPaused => {
                let life = router.life();
                signal_router(&life, "-STOP");
                std::thread::sleep(Duration::from_millis(self.judge.random_range(10.0, MAX_PAUSE_MS)));
                signal_router(&life, "-CONT");
            }
            Fault::DiscoveryMoved => self.discovery_moves(false, |life| signal_router(life, "-HUP"))?,
            Fault::DiscoveryMovedByHalfWrittenFile => {
                self.discovery_moves(true, |life| signal_router(life, "-HUP"))?
            }
            Fault::DiscoveryDown => self.discovery_is_down(lasts),
            Fault::WatchesSilent => self.watches_fall_silent(),
            Fault::WatchesClosed => self.watches_break(false),
            Fault::WatchesClosedInHalfALine => self.watches_break(true),
            Fault::ClockStepped => {
                let ahead = [HOUR_MS, -HOUR_MS, 0][(self.judge.random_unit() * 3.0) as usize];
                self.clock_ahead_ms.store(ahead, Ordering::SeqCst);
            }
            Fault::WorkerRestarted => {
                self.restart_worker(worker)?;
                self.notify(worker, "SERVING", self.started_ms());
            }
            Fault::WorkerPaused => {
                send_signal(&lock(&self.workers[worker].running).0, "-STOP");
                std::thread::sleep(lasts);
                send_signal(&lock(&self.workers[worker].running).0, "-CONT");
            }
            Fault::WorkerDraining => self.notify(worker, "DRAINING", 0),
            Fault::PathSilent => self.order_for(worker, "silent", lasts),
            Fault::PathReset => self.order(worker, "reset"),
            Fault::PathSlow => {
                let delay = self.judge.random_range(2.0, 100.0);
                self.order_for(worker, &format!("delay {delay}"), lasts);
            }
            Fault::PathFragmented => {
                let piece = self.judge.random_range(1.0, 40.0);
                self.order_for(worker, &format!("piece {piece}"), lasts);
            }
        }
        Ok(())
    }

    fn order_for(&self, worker: usize, order: &str, lasts: Duration) {
        self.order(worker, order);
        std::thread::sleep(lasts);
        self.order(worker, "open");
    }

    /// A planned restart: the process ends by itself. Some clients connect just then.
    fn shut_down_router(&self, router: &Router) -> Result<(), Failure> {
        let life = router.life();
        std::thread::scope(|scope| {
            for n in 0..CLIENTS_AT_SHUTDOWN {
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_micros(n * 300));
                    clients::asks_once(self, router);
                });
            }
            signal_router(&life, "-TERM");
            self.wait_for_exit(router, &life)
        })?;
        self.restart_router(router, &life)
    }

    /// Until the process of a router has ended, or it is clear that it does not.
    fn wait_for_exit(&self, router: &Router, life: &Life) -> Result<(), Failure> {
        let told = Instant::now();
        loop {
            let ended = lock(&life.running).0.try_wait()?;
            if let Some(status) = ended {
                if !status.success() && !life.killed.load(Ordering::SeqCst) {
                    self.judge.report_violation(format!("router {} ended with {status}", router.listen));
                }
                return Ok(());
            }
            if told.elapsed() > SHUTDOWN_LIMIT {
                self.judge.report_violation(format!("router {} does not end", router.listen));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn kill_router(&self, router: &Router) -> Result<(), Failure> {
        let life = router.life();
        life.killed.store(true, Ordering::SeqCst);
        {
            let mut running = lock(&life.running);
            let _ = (running.0.kill(), running.0.wait());
        }
        lock(&life.asked).iter().for_each(|number| self.judge.checker().router_killed(*number));
        self.restart_router(router, &life)
    }
}
