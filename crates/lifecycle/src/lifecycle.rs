//! The request lifecycle: events in, calls on a [`Transport`] out.

mod actions;
mod admission;
mod attempts;
mod endpoints;
mod health;
mod responses;

pub use admission::{AdmissionRejection, RejectionReason};

use metrics::{counter, gauge};
use tideroute::scheduler::Scheduler;
use tideroute::types::{AttemptOutcome, RequestId};
use tideroute_invariants::Violation;
use tideroute_wire::Micros;

use crate::config::LifecycleConfig;
use crate::endpoint_directory::EndpointDirectory;
use crate::health_checks::HealthChecks;
use crate::loop_lag::LoopLag;
use crate::request_table::RequestTable;
use crate::tenant_admission::TenantAdmission;
use crate::transport::{Timer, Transport};
use crate::units::{to_seconds, to_tenth_millis};

/// An attempt that ended while the scheduler's actions were being executed.
struct FinishedAttempt {
    id: RequestId,
    number: u16,
    outcome: AttemptOutcome,
}

/// Owns the open requests of one router, the endpoint list and the scheduler.
///
/// The protocol reports each event by one call; times are microseconds on the router's clock, which never runs
/// backwards. After a batch of events, [`run_scheduling_pass`](RequestLifecycle::run_scheduling_pass) executes what the
/// scheduler decides. Each request gets one final response at most, and is forgotten once nothing is held for it.
pub struct RequestLifecycle<Context> {
    config: LifecycleConfig,
    scheduler: Scheduler,
    /// The open requests.
    pub requests: RequestTable<Context>,
    endpoints: EndpointDirectory,
    /// Attempts that ended during a scheduling pass. The scheduler is notified of them after it has returned its last
    /// action, not between two actions.
    finished_attempts: Vec<FinishedAttempt>,
    /// Requests to check for closing at the end of the pass: they may be finished.
    closing: Vec<RequestId>,
    health_checks: HealthChecks,
    /// An event since the last scheduling pass makes another one necessary.
    scheduling_needed: bool,
    loop_lag: LoopLag,
    tenant_admission: Option<TenantAdmission>,
    shutting_down: bool,
    /// The number of open requests that the metric was last set to; `None` before the first report.
    reported_open_requests: Option<usize>,
}

impl<Context> RequestLifecycle<Context> {
    /// Creates the lifecycle of a router that starts now, without requests or endpoints.
    pub fn new(config: LifecycleConfig, now: Micros) -> RequestLifecycle<Context> {
        RequestLifecycle {
            scheduler: Scheduler::new(config.scheduler.clone(), config.seed, to_tenth_millis(now)),
            requests: RequestTable::new(config.seed),
            tenant_admission: admission::tenant_admission(&config, now),
            config,
            endpoints: EndpointDirectory::default(),
            finished_attempts: vec![],
            closing: vec![],
            health_checks: HealthChecks::default(),
            scheduling_needed: true,
            loop_lag: LoopLag::default(),
            shutting_down: false,
            reported_open_requests: None,
        }
    }

    /// Handles a timer that was set through the transport and has fired.
    pub fn timer_fired(
        &mut self,
        now: Micros,
        timer: Timer,
        transport: &mut impl Transport<Context = Context>,
    ) {
        match timer {
            Timer::SchedulerWake => {
                self.scheduler.timer_fired(to_tenth_millis(now));
                self.scheduling_needed = true;
            }
            Timer::Deadline(id) => self.deadline_expired(now, id, transport),
            Timer::HealthCheck(nonce) => self.health_check_finished(now, nonce, false, transport),
            Timer::Admission => self.scheduling_needed = true,
        }
    }

    /// Makes the next scheduling pass run even if no event was reported.
    pub(crate) fn request_scheduling_pass(&mut self) {
        self.scheduling_needed = true;
    }

    /// Executes the decisions of tenant admission and of the scheduler until there are none, then closes finished
    /// requests. Does little if no event was reported since the last pass.
    pub fn run_scheduling_pass(&mut self, now: Micros, transport: &mut impl Transport<Context = Context>) {
        while std::mem::take(&mut self.scheduling_needed) {
            self.run_admission(now, transport);
            while let Some(action) = self.scheduler.next_action(to_tenth_millis(now)) {
                self.execute(now, action, transport);
            }
            for finished in std::mem::take(&mut self.finished_attempts) {
                self.finish_attempt(now, finished.id, finished.number, finished.outcome, transport);
            }
        }
        self.close_finished(transport);
        self.report_open_requests();
    }

    /// Releases what finished requests still hold, and forgets them.
    fn close_finished(&mut self, transport: &mut impl Transport<Context = Context>) {
        for id in std::mem::take(&mut self.closing) {
            let Some(request) = self.requests.get(id) else { continue };
            if !request.finished || request.attempt.is_some() {
                continue;
            }
            if !request.holds_nothing() {
                self.release(id, transport);
            }
            let Some(request) = self.requests.get(id) else { continue };
            match request.record.permit_close(request.holds_nothing()) {
                Ok(permit) => {
                    transport.request_closed(id, permit);
                    self.requests.remove(id);
                }
                Err(violation) => self.report_violation(id, violation),
            }
        }
    }

    /// Updates the metric of open requests, where the number has changed.
    fn report_open_requests(&mut self) {
        let open_requests = self.requests.len();
        if self.reported_open_requests != Some(open_requests) {
            self.reported_open_requests = Some(open_requests);
            gauge!("tideroute_requests_open", "core" => self.config.name.clone()).set(open_requests as f64);
        }
    }

    /// Records that the event loop handled an event `lag` microseconds late.
    pub fn record_loop_lag(&mut self, now: Micros, lag: Micros) {
        let worst_before = self.loop_lag.worst();
        self.loop_lag.record(now, lag);
        // Called on each iteration of the loop, so the metric is only written when it changes.
        let worst = self.loop_lag.worst();
        if worst != worst_before {
            gauge!("tideroute_loop_lag_seconds", "core" => self.config.name.clone()).set(to_seconds(worst));
        }
    }

    /// Returns the remaining time of a request that is read now and was sent with `remaining_time`, reduced by the
    /// recent lag of the event loop.
    pub fn remaining_time(&self, remaining_time: Micros) -> Micros {
        self.loop_lag.remaining_time(remaining_time)
    }

    /// Begins a graceful shutdown: new requests are rejected from now on, open ones complete.
    pub fn shut_down(&mut self) {
        tracing::info!(open_requests = self.requests.len(), "shutdown started; finishing open requests");
        self.shutting_down = true;
    }

    /// Returns whether a graceful shutdown has begun and every open request is finished.
    pub fn is_drained(&self) -> bool {
        self.shutting_down && self.requests.all_finished()
    }

    /// Counts and logs a step that an invariant forbids. The caller does not take the step.
    fn report_violation(&mut self, id: RequestId, violation: Violation) {
        let rule = violation.rule().name();
        let reason = violation.reason.name();
        counter!("tideroute_invariant_violations_total", "rule" => rule).increment(1);
        let record = self.requests.get(id).map(|request| &request.record);
        tracing::error!(id, rule, reason, ?record, "invariant violated; refusing the step");
    }
}
