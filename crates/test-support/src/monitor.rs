//! Runs the checker in real time, with a clock and a random number generator, on the events of emulated workers.

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

/// Probability that a prefill still completes although its connection has ended.
const COMPLETED_AT_CLOSE_PROBABILITY: f64 = 0.1;
/// Number of bytes of a call's head that identify the call in a violation.
const CALL_NAME_LENGTH: usize = 25;

/// Runs a [`Checker`] in real time. All methods may be called from any thread.
pub struct Monitor {
    /// The deployment whose rules are checked.
    pub deployment: GeneratedDeployment,
    /// The time at which the monitor was created.
    pub started_at: Instant,
    checker: Mutex<Checker>,
    rng: Mutex<Rng>,
    /// The time at which routers were notified that a worker is draining, by worker index.
    draining_since: Mutex<BTreeMap<usize, Micros>>,
    /// The log lines, each with its time.
    log: Mutex<Vec<String>>,
    events: Mutex<Vec<WorkerEvent>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Monitor {
    /// Creates a monitor that observes each event at most `observation_delay` after it happened.
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

    /// Returns the present time on the checker's clock.
    pub fn now(&self) -> Micros {
        EPOCH + self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns the milliseconds since the creation of the monitor.
    pub fn now_ms(&self) -> f64 {
        (self.now() - EPOCH) as f64 / MS as f64
    }

    /// Locks and returns the checker.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// Returns the first violation that was found.
    pub fn violation(&self) -> Option<Violation> {
        self.checker().violation.clone()
    }

    /// Logs and reports a violation that the checker cannot observe.
    pub fn report_violation(&self, message: String) {
        let now = self.now();
        self.log(message.clone());
        self.checker().report_violation(now, message);
    }

    /// Checks the rules that apply at any time.
    pub fn check(&self) {
        let now = self.now();
        self.checker().check(now, &self.deployment);
    }

    /// Returns a random number that is at least 0 and less than 1.
    pub fn random_unit(&self) -> f64 {
        lock(&self.rng).unit()
    }

    /// Returns a random integer from `min` to `max`, uniformly distributed by its logarithm.
    pub fn random_range(&self, min: f64, max: f64) -> u64 {
        log_uniform(&mut lock(&self.rng), min, max) as u64
    }

    /// Adds a message to the log, which also contains the events.
    pub fn log(&self, message: String) {
        let at_ms = self.now_ms();
        lock(&self.log).push(format!("{at_ms:.3} {message}"));
    }

    /// Returns all log lines in order.
    pub fn log_lines(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Returns all events in order.
    pub fn events(&self) -> Vec<WorkerEvent> {
        lock(&self.events).clone()
    }

    /// Records that routers were notified of the endpoint of a worker. `draining_since` is the time since which the
    /// worker is draining; `None` if it is not draining.
    pub fn endpoint_updated(&self, worker: usize, draining_since: Option<Micros>) {
        let mut draining_workers = lock(&self.draining_since);
        if let Some(since) = draining_since {
            draining_workers.entry(worker).or_insert(since);
        } else {
            draining_workers.remove(&worker);
        }
    }

    /// Records that the process of a worker has ended, and with it all that the worker held and worked on.
    pub fn worker_died(&self, worker: usize) {
        let now = self.now();
        self.checker().worker_died(now, worker);
    }

    /// Handles an event. Returns the answer if the event is a question, else true.
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

    fn call_received(&self, now: Micros, connection: WorkerConnection, head: &str) {
        let draining_since = lock(&self.draining_since).get(&connection.worker).copied();
        let mut checker = self.checker();
        if head.starts_with("POST ") {
            let call = &head[..head.len().min(CALL_NAME_LENGTH)];
            checker.call_sent(now, &self.deployment, call, draining_since);
        }
        let Some(request) = attempted_request(head) else { return };
        // A head without a remaining time counts as one with a very long remaining time, which does not overflow when
        // it is converted to microseconds.
        let remaining_ms: u64 = value_after(head, "x-expires-in-ms: ").parse().unwrap_or(u64::MAX / 2_000);
        checker.remaining_time_sent(now, request, remaining_ms * MS);
        let is_decode = self.deployment.workers[connection.worker].role != Role::Prefill;
        checker.attempt_received(
            now,
            &self.deployment,
            request,
            connection.worker,
            connection.id(),
            is_decode,
        );
    }

    /// Ends the attempts on a closed connection. Some of the prefills among them still complete: the worker may have
    /// finished just before it noticed the end of the connection.
    fn connection_closed(&self, now: Micros, connection: WorkerConnection) {
        let mut checker = self.checker();
        for ended in checker.attempts_ended(now, connection.id()) {
            let was_prefilling = !ended.is_decode
                || checker.needs_prefill(ended.request) && self.deployment.prefills_locally(ended.worker);
            if was_prefilling && self.random_unit() < COMPLETED_AT_CLOSE_PROBABILITY {
                checker.state_stored(now, ended.request, ended.worker);
            }
        }
    }
}
