//! The state that the prefill and decode stages of a worker share: its configuration, its capacity and the faults in
//! effect.

use tideroute_wire::Micros;

use crate::config::WorkerConfig;
use crate::recent_work::RecentWork;

/// The minimum slowdown factor; a script may set less than 1 to make the worker faster.
const MIN_SLOWDOWN: f64 = 0.01;

/// The state of a worker without its prefills and streams.
pub struct WorkerState {
    pub config: WorkerConfig,
    pub started: Micros,
    pub rejects_work: bool,
    pub fails_work: bool,
    pub corrupts_state: bool,
    pub is_draining: bool,
    /// Whether the worker was overloaded while it was warming up; it then crashes.
    pub is_overloaded: bool,
    slowdown: f64,
    last_serial: u64,
    recent_work: RecentWork,
}

impl WorkerState {
    pub fn new(config: WorkerConfig, started: Micros) -> WorkerState {
        WorkerState {
            config,
            started,
            rejects_work: false,
            fails_work: false,
            corrupts_state: false,
            is_draining: false,
            is_overloaded: false,
            slowdown: 1.0,
            last_serial: 0,
            recent_work: RecentWork::default(),
        }
    }

    /// Sets the factor by which all further work takes longer.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown.max(MIN_SLOWDOWN);
    }

    /// Returns how long work takes now that takes a warm worker without faults `time` microseconds.
    pub fn scaled_time(&self, now: Micros, time: f64) -> Micros {
        (time * self.slowdown / self.capacity_share(now)) as Micros
    }

    /// Returns the time from one token of a stream to the next.
    pub fn token_interval(&self, now: Micros) -> Micros {
        self.scaled_time(now, self.config.token_interval as f64)
    }

    /// Returns a serial number that this worker has not used yet.
    pub fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Returns whether new work is accepted.
    pub fn accepts_work(&self) -> bool {
        !self.rejects_work && !self.is_draining
    }

    /// Records received work, whether it is accepted or not. Too much of it while the worker is warming up overloads
    /// it.
    pub fn record_received_work(&mut self, now: Micros, tokens: f64) {
        let since = now.saturating_sub(self.config.overload_window);
        let recent = self.recent_work.add(now, tokens, since);
        let capacity_share = self.capacity_share(now);
        if capacity_share < 1.0 && recent > self.overload_limit(capacity_share) {
            tracing::warn!(
                name = self.config.name,
                tokens = recent,
                "worker overloaded during warm-up; crashing"
            );
            self.is_overloaded = true;
        }
    }

    /// Returns the tokens within the window above which a worker with this share of its capacity is overloaded.
    fn overload_limit(&self, capacity_share: f64) -> f64 {
        let window_seconds = self.config.overload_window as f64 / 1e6;
        self.config.overload_multiple * capacity_share * self.config.tokens_per_second() * window_seconds
    }

    /// Returns the share of its warm capacity that the worker has now.
    fn capacity_share(&self, now: Micros) -> f64 {
        if self.config.is_warm {
            return 1.0;
        }
        let cold_share = self.config.cold_capacity_share;
        let warm_up_progress = now.saturating_sub(self.started) as f64 / self.config.warm_up.max(1) as f64;
        cold_share + (1.0 - cold_share) * warm_up_progress.min(1.0)
    }
}
