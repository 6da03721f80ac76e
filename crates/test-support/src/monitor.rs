//! The checker in real time, with a clock and a random number generator, fed by the events of emulated workers.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tideroute::rng::Rng;
use tideroute_wire::Micros;

use crate::checker::Checker;
use crate::deployment::GeneratedDeployment;
use crate::http_messages::{attempted_request, value_after};
use crate::random::log_uniform;
use crate::violation::Violation;
use crate::virtual_time::{EPOCH, MS};
use crate::worker_event::{WorkerConnection, WorkerEvent};
use crate::worker_spec::Role;

/// The part of prefills that complete just as their connection ends.
const COMPLETED_AT_CLOSE: f64 = 0.1;
/// How much of a call's head names it in a violation.
const CALL_NAME_LENGTH: usize = 25;

/// Runs a [`Checker`] in real time. All methods may be called from any thread.
pub struct Monitor {
    /// The deployment that it watches.
    pub deployment: GeneratedDeployment,
    /// When it was made.
    pub started_at: Instant,
    checker: Mutex<Checker>,
    rng: Mutex<Rng>,
    /// When routers were notified that a worker drains, by worker.
    draining_since: Mutex<BTreeMap<usize, Micros>>,
    /// All that was logged, with its time.
    log: Mutex<Vec<String>>,
    events: Mutex<Vec<WorkerEvent>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Monitor {
    /// A monitor that observes everything at most `observation_delay` after it happened.
    pub fn new(deployment: GeneratedDeployment, rng: Rng, observation_delay: Micros) -> Monitor {
        Monitor {
            deployment,
            started_at: Instant::now(),
            checker: Mutex::new(Checker::new(EPOCH, observation_delay)),
            rng: Mutex::new(rng),
            draining_since: Mutex::default(),
            log: Mutex::default(),
            events: Mutex::default(),
        }
    }

    /// The present instant, in the checker's time.
    pub fn now(&self) -> Micros {
        EPOCH + self.started_at.elapsed().as_micros() as Micros
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> f64 {
        (self.now() - EPOCH) as f64 / MS as f64
    }

    /// The checker, locked.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// The first rule that was broken.
    pub fn violation(&self) -> Option<Violation> {
        self.checker().violation.clone()
    }

    /// Reports something that is broken and that the checker can't see.
    pub fn report_violation(&self, message: String) {
        let now = self.now();
        self.log(message.clone());
        self.checker().report_violation(now, message);
    }

    /// Checks the rules that hold at any instant.
    pub fn check(&self) {
        let now = self.now();
        self.checker().check(now, &self.deployment);
    }

    /// A random number from 0 to below 1.
    pub fn random_unit(&self) -> f64 {
        lock(&self.rng).unit()
    }

    /// A random integer from `least` to `most`, small ones as probable as large ones.
    pub fn random_range(&self, least: f64, most: f64) -> u64 {
        log_uniform(&mut lock(&self.rng), least, most) as u64
    }

    /// Logs a message beside the events.
    pub fn log(&self, message: String) {
        let at_ms = self.now_ms();
        lock(&self.log).push(format!("{at_ms:.3} {message}"));
    }

    /// All that was logged, in order.
    pub fn log_lines(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// All events, in order.
    pub fn events(&self) -> Vec<WorkerEvent> {
        lock(&self.events).clone()
    }

    /// Routers are notified of a worker's endpoint; since when it drains, if it does.
    pub fn endpoint_updated(&self, worker: usize, draining_since: Option<Micros>) {
        let mut known = lock(&self.draining_since);
        if let Some(since) = draining_since {
            known.entry(worker).or_insert(since);
        } else {
            known.remove(&worker);
        }
    }

    /// A worker's process has ended, with all that it held and worked on.
    pub fn worker_died(&self, worker: usize) {
        let now = self.now();
        self.checker().worker_died(now, worker);
    }

    /// Handles an event; the answer to one that asks, else true.
    pub fn handle(&self, event: WorkerEvent) -> bool {
        let now = self.now();
        self.log(format!("{event:?}"));
        lock(&self.events).push(event.clone());
        match event {
            WorkerEvent::CallReceived { on, head } => self.call_received(now, on, &head),
            WorkerEvent::PrefillEnded { on, request, left_state } => {
                let mut checker = self.checker();
                checker.attempts_ended(now, on.id());
                if left_state {
                    checker.state_stored(now, request, on.worker);
                }
            }
            WorkerEvent::DecodeFailed { on, request, never_ran } => {
                let mut checker = self.checker();
                checker.attempts_ended(now, on.id());
                if never_ran {
                    checker.attempt_never_ran(request, on.id());
                }
            }
            WorkerEvent::StreamStarted { request } => self.checker().stream_started(request),
            WorkerEvent::ResponseComplete { on } => drop(self.checker().attempts_ended(now, on.id())),
            WorkerEvent::ConnectionClosed { on } => self.connection_closed(now, on),
            WorkerEvent::Reserved { on, request } => self.checker().reserved(now, request, on.worker),
            WorkerEvent::Released { request } => self.checker().released(request),
            WorkerEvent::IsPrefillInFlight { request } => {
                return self.checker().is_prefill_in_flight(request);
            }
            WorkerEvent::HasState { request } => return self.checker().has_state(request),
        }
        true
    }

    fn call_received(&self, now: Micros, on: WorkerConnection, head: &str) {
        let draining_since = lock(&self.draining_since).get(&on.worker).copied();
        let mut checker = self.checker();
        if head.starts_with("POST ") {
            let call = &head[..head.len().min(CALL_NAME_LENGTH)];
            checker.call_sent(now, &self.deployment, call, draining_since);
        }
        let Some(request) = attempted_request(head) else { return };
        // A head without remaining time counts as one with no end; its microseconds still fit.
        let remaining_ms: u64 = value_after(head, "x-expires-in-ms: ").parse().unwrap_or(u64::MAX / 2_000);
        checker.remaining_time_sent(now, request, remaining_ms * MS);
        let is_decode = self.deployment.workers[on.worker].role != Role::Prefill;
        checker.attempt_received(now, &self.deployment, request, on.worker, on.id(), is_decode);
    }

    /// Some prefills complete in the very moment in which their connection ends.
    fn connection_closed(&self, now: Micros, on: WorkerConnection) {
        let mut checker = self.checker();
        for ended in checker.attempts_ended(now, on.id()) {
            let was_prefilling = !ended.is_decode
                || checker.needs_prefill(ended.request) && self.deployment.prefills_locally(ended.worker);
            if was_prefilling && self.random_unit() < COMPLETED_AT_CLOSE {
                checker.state_stored(now, ended.request, ended.worker);
            }
        }
    }
}
