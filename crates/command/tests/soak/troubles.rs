//! What goes wrong, two or three troubles at a time.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tideroute_test_support::process::send_signal;

use crate::clients;
use crate::fleet::{lock, Fleet, Life, Router};
use crate::Failure;

/// A process that was told to end is there for no longer; then it is killed, and that is a break.
const ENDS: Duration = Duration::from_secs(8);
/// Clients that connect as a router is told to end, 0.3 ms behind each other.
const CLIENTS_AT_THE_END: u64 = 12;
/// Milliseconds for which a router may be held up.
const HELD_UP_MS: f64 = 150.0;
/// An hour, by which clocks are stepped.
const HOUR_MS: i64 = 3_600_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Trouble {
    RouterEnds,
    RouterIsKilled,
    RouterIsHeldUp,
    DiscoveryMoves,
    DiscoveryMovesByHalfAFile,
    DiscoveryIsDown,
    WatchesFallSilent,
    WatchesBreak,
    WatchesBreakInHalfALine,
    ClockIsStepped,
    WorkerRestarts,
    WorkerHangs,
    WorkerDrains,
    PathIsSilent,
    PathIsReset,
    PathIsSlow,
    PathComesInPieces,
}

pub const ALL: [Trouble; 17] = {
    use Trouble::*;
    [
        RouterEnds,
        RouterIsKilled,
        RouterIsHeldUp,
        DiscoveryMoves,
        DiscoveryMovesByHalfAFile,
        DiscoveryIsDown,
        WatchesFallSilent,
        WatchesBreak,
        WatchesBreakInHalfALine,
        ClockIsStepped,
        WorkerRestarts,
        WorkerHangs,
        WorkerDrains,
        PathIsSilent,
        PathIsReset,
        PathIsSlow,
        PathComesInPieces,
    ]
};

impl Trouble {
    /// Whether two of it at once would be one.
    pub fn is_of_all(self) -> bool {
        self.makes_lists_late() || self == Trouble::ClockIsStepped
    }

    /// Whether what discovery tells meanwhile may come late.
    pub fn makes_lists_late(self) -> bool {
        use Trouble::*;
        matches!(
            self,
            DiscoveryMoves
                | DiscoveryMovesByHalfAFile
                | DiscoveryIsDown
                | WatchesFallSilent
                | WatchesBreak
                | WatchesBreakInHalfALine
        )
    }
}

/// Sends a signal to a router's process, if that has not ended.
fn tell(life: &Life, name: &str) {
    let mut running = lock(&life.running);
    if running.0.try_wait().is_ok_and(|ended| ended.is_none()) {
        send_signal(&running.0, name);
    }
}

impl Fleet {
    /// Plays one trouble to its end.
    pub fn suffers(&self, trouble: Trouble) -> Result<(), Failure> {
        let routers = self.routers();
        let router = &routers[(self.judge.random_unit() * routers.len() as f64) as usize];
        // One worker of each kind stays well.
        let kinds = self.workers.len().min(3);
        let spared = if self.workers.len() > kinds { kinds } else { 1 };
        let troubled = self.workers.len() - spared;
        let worker = spared + (self.judge.random_unit() * troubled as f64) as usize;
        let lasts = Duration::from_millis(self.judge.random_range(50.0, 2_000.0));
        self.judge.log(format!("{trouble:?} for {lasts:?}, at {} or worker {worker}", router.listen));
        match trouble {
            Trouble::RouterEnds => self.ends(router)?,
            Trouble::RouterIsKilled => self.is_killed(router)?,
            Trouble::RouterIsHeldUp => {
                let life = router.life();
                tell(&life, "-STOP");
                std::thread::sleep(Duration::from_millis(self.judge.random_range(10.0, HELD_UP_MS)));
                tell(&life, "-CONT");
            }
            Trouble::DiscoveryMoves => self.discovery_moves(false, |life| tell(life, "-HUP"))?,
            Trouble::DiscoveryMovesByHalfAFile => self.discovery_moves(true, |life| tell(life, "-HUP"))?,
            Trouble::DiscoveryIsDown => self.discovery_is_down(lasts),
            Trouble::WatchesFallSilent => self.watches_fall_silent(),
            Trouble::WatchesBreak => self.watches_break(false),
            Trouble::WatchesBreakInHalfALine => self.watches_break(true),
            Trouble::ClockIsStepped => {
                let ahead = [HOUR_MS, -HOUR_MS, 0][(self.judge.random_unit() * 3.0) as usize];
                self.clock_ahead_ms.store(ahead, Ordering::SeqCst);
            }
            Trouble::WorkerRestarts => {
                self.restart_worker(worker)?;
                self.tell(worker, "SERVING", self.started_ms());
            }
            Trouble::WorkerHangs => {
                send_signal(&lock(&self.workers[worker].running).0, "-STOP");
                std::thread::sleep(lasts);
                send_signal(&lock(&self.workers[worker].running).0, "-CONT");
            }
            Trouble::WorkerDrains => self.tell(worker, "DRAINING", 0),
            Trouble::PathIsSilent => self.for_a_while(worker, "silent", lasts),
            Trouble::PathIsReset => self.order(worker, "reset"),
            Trouble::PathIsSlow => {
                let delay = self.judge.random_range(2.0, 100.0);
                self.for_a_while(worker, &format!("delay {delay}"), lasts);
            }
            Trouble::PathComesInPieces => {
                let piece = self.judge.random_range(1.0, 40.0);
                self.for_a_while(worker, &format!("piece {piece}"), lasts);
            }
        }
        Ok(())
    }

    fn for_a_while(&self, worker: usize, order: &str, lasts: Duration) {
        self.order(worker, order);
        std::thread::sleep(lasts);
        self.order(worker, "open");
    }

    /// A planned restart: the process ends by itself. Some clients connect just then.
    fn ends(&self, router: &Router) -> Result<(), Failure> {
        let life = router.life();
        std::thread::scope(|scope| {
            for n in 0..CLIENTS_AT_THE_END {
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_micros(n * 300));
                    clients::asks_once(self, router);
                });
            }
            tell(&life, "-TERM");
            self.waits_for_the_end(router, &life)
        })?;
        self.restart_router(router, &life)
    }

    /// Until the process of a router has ended, or it is clear that it does not.
    fn waits_for_the_end(&self, router: &Router, life: &Life) -> Result<(), Failure> {
        let told = Instant::now();
        loop {
            let ended = lock(&life.running).0.try_wait()?;
            if let Some(status) = ended {
                if !status.success() && !life.killed.load(Ordering::SeqCst) {
                    self.judge.report_violation(format!("router {} ended with {status}", router.listen));
                }
                return Ok(());
            }
            if told.elapsed() > ENDS {
                self.judge.report_violation(format!("router {} does not end", router.listen));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn is_killed(&self, router: &Router) -> Result<(), Failure> {
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
