//! What prefill and decode of a worker share: its configuration, its capacity and the faults in effect.

use tideroute_wire::Micros;

use crate::config::WorkerConfig;
use crate::recent_work::RecentWork;

/// The least factor by which a script may slow a worker down.
const MIN_SLOWDOWN: f64 = 0.01;

/// The state of a worker apart from its work.
pub struct WorkerState {
    pub config: WorkerConfig,
    pub started: Micros,
    pub rejects_work: bool,
    pub fails_work: bool,
    pub corrupts_state: bool,
    pub is_draining: bool,
    /// It was overloaded while it warmed up, and crashes.
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

    /// Everything takes so many times as long from now on.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown.max(MIN_SLOWDOWN);
    }

    /// The time that something takes which takes a warm and healthy worker `time` microseconds.
    pub fn scaled_time(&self, now: Micros, time: f64) -> Micros {
        (time * self.slowdown / self.capacity_share(now)) as Micros
    }

    /// The time to the next token of a stream.
    pub fn token_interval(&self, now: Micros) -> Micros {
        self.scaled_time(now, self.config.token_interval as f64)
    }

    /// A number that this worker did not use before.
    pub fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Whether new work is taken.
    pub fn takes_work(&self) -> bool {
        !self.rejects_work && !self.is_draining
    }

    /// Work was sent to the worker, whether it takes it or not. Too much of it during warm-up overloads it.
    pub fn work_sent(&mut self, now: Micros, tokens: f64) {
        let since = now.saturating_sub(self.config.overload_window);
        let recent = self.recent_work.add(now, tokens, since);
        let capacity = self.capacity_share(now);
        if capacity < 1.0 && recent > self.overload_limit(capacity) {
            tracing::warn!(name = self.config.name, tokens = recent, "overloaded during warm-up");
            self.is_overloaded = true;
        }
    }

    /// Tokens within the window that overload a worker with that part of its capacity.
    fn overload_limit(&self, capacity: f64) -> f64 {
        let window_seconds = self.config.overload_window as f64 / 1e6;
        self.config.overload_multiple * capacity * self.config.tokens_per_second() * window_seconds
    }

    /// The part of its warm capacity that it has now.
    fn capacity_share(&self, now: Micros) -> f64 {
        if self.config.is_warm {
            return 1.0;
        }
        let cold = self.config.cold_capacity_share;
        let warmed_up = now.saturating_sub(self.started) as f64 / self.config.warm_up.max(1) as f64;
        cold + (1.0 - cold) * warmed_up.min(1.0)
    }
}
