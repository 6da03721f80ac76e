//! The state of one worker.

use super::backoff::Backoff;
use super::outlier_detection::LossRates;
use super::timing::WAIT_TIME_CONSTANT;
use crate::ewma::EwmaMean;
use crate::in_flight::Load;
use crate::types::{Endpoint, EndpointStatus, Role, TenthMillis, WorkerId};

/// Number of this router's prompt tokens in flight at a prefill worker beyond which prefills spill to others.
/// Where reservations are disabled, a decode worker that reports a load of more tokens than this counts as having
/// rejected.
pub const SPILL_TOKENS: f64 = 4_000.0;
/// How long a worker's rejection holds where no other worker can be asked: 50 ms.
const REJECTION_TTL: TenthMillis = 500;
/// How long a rejection is cached where another worker can be asked: 1 s.
const CACHED_REJECTION_TTL: TenthMillis = 10_000;
/// How long a load report is valid: 30 ms, in which few requests arrive. It is longer than the two scheduling
/// passes for which reports are awaited.
const LOAD_REPORT_TTL: TenthMillis = 300;

/// The load that a worker last reported.
pub struct LoadReport {
    received_at: TenthMillis,
    /// In prompt tokens or attempts, as configured, including what this router has sent since.
    load: f64,
}

impl Default for LoadReport {
    /// Returns the report of a worker that never reported: expired and with an infinite load, so that the worker
    /// counts as full if a health check without a load report renews it.
    fn default() -> Self {
        // A time long ago, but not the minimum itself, so that arithmetic on it does not overflow.
        LoadReport { received_at: TenthMillis::MIN / 2, load: f64::INFINITY }
    }
}

/// The health check that is in progress at a worker.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
pub enum HealthCheck {
    #[default]
    None,
    /// A check that decides whether the worker is in service.
    Probe,
    /// A check that only requests a load report. If it fails, a probe follows.
    LoadQuery,
}

/// The state of one worker.
pub struct Worker {
    pub endpoint: Endpoint,
    pub role: Role,
    /// Number of attempts answered since the worker started or recovered; each lets its trickle carry one more.
    pub answers: u32,
    /// When the worker started or recovered from a backoff; 0 for long ago.
    pub in_service_since: TenthMillis,
    pub backoff: Backoff,
    /// A probe is to find out whether the whole worker is dead.
    pub suspected: bool,
    pub health_check: HealthCheck,
    /// The part of attempts that are lost at the worker.
    pub losses: LossRates,
    response_wait: EwmaMean,
    rejected_at: TenthMillis,
    load_report: LoadReport,
}

impl Worker {
    /// Creates the state of a worker that the endpoint list names for the first time.
    pub fn new(now: TenthMillis, endpoint: Endpoint, role: Role) -> Worker {
        Worker {
            endpoint,
            role,
            answers: 0,
            in_service_since: endpoint.start_time,
            backoff: Backoff::default(),
            suspected: false,
            health_check: HealthCheck::None,
            losses: LossRates::default(),
            response_wait: EwmaMean::default(),
            rejected_at: now - CACHED_REJECTION_TTL,
            load_report: LoadReport::default(),
        }
    }

    /// Updates the worker's entry in the endpoint list. A different start time means that the worker restarted.
    pub fn update_endpoint(&mut self, endpoint: Endpoint, role: Role) {
        if self.endpoint.start_time != endpoint.start_time {
            self.answers = 0;
            self.in_service_since = endpoint.start_time;
            self.backoff.reset();
        }
        self.endpoint = endpoint;
        self.role = role;
    }

    /// Returns whether the worker is serving and not in a backoff.
    pub fn is_available(&self) -> bool {
        self.endpoint.status == EndpointStatus::Serving && !self.backoff.is_active()
    }

    /// Returns whether the worker's process started less than `warm_up_time` ago.
    pub fn is_warming_up(&self, now: TenthMillis, warm_up_time: TenthMillis) -> bool {
        self.endpoint.start_time > 0 && now - self.endpoint.start_time < warm_up_time
    }

    /// Returns the worker's size, at least 0.01 so that it can be a divisor.
    pub fn size(&self) -> f64 {
        self.endpoint.size.max(0.01)
    }

    /// Ends the worker's backoff and restarts its trickle, the cap on what is in flight there.
    pub fn recover(&mut self, now: TenthMillis) {
        self.backoff.end();
        self.answers = 0;
        self.in_service_since = now;
    }

    /// Records that an attempt was answered after `wait`.
    pub fn record_answer(&mut self, now: TenthMillis, wait: TenthMillis) {
        self.response_wait.add(now, WAIT_TIME_CONSTANT, wait as f64);
        self.backoff.reset();
    }

    /// Returns how long answers take at the worker: the recent mean, or the age of the oldest unanswered attempt
    /// if that is longer.
    pub fn response_wait(&mut self, now: TenthMillis, load: &Load) -> f64 {
        let mean = self.response_wait.read(now, WAIT_TIME_CONSTANT).unwrap_or(0.0);
        mean.max((now - load.oldest_awaited(now)) as f64)
    }

    /// Records that the worker rejected an attempt or a reservation.
    pub fn record_rejection(&mut self, now: TenthMillis) {
        self.rejected_at = now;
    }

    /// Forgets an earlier rejection, because the worker granted a reservation.
    pub fn clear_rejection(&mut self, now: TenthMillis) {
        self.rejected_at = now - CACHED_REJECTION_TTL;
    }

    /// Returns whether the worker rejected an attempt or a reservation less than [`REJECTION_TTL`] ago.
    pub fn has_recent_rejection(&self, now: TenthMillis) -> bool {
        now < self.rejected_at + REJECTION_TTL
    }

    /// Returns whether the worker rejected an attempt or a reservation less than [`CACHED_REJECTION_TTL`] ago; for
    /// decisions where another worker can be asked.
    pub fn has_cached_rejection(&self, now: TenthMillis) -> bool {
        now < self.rejected_at + CACHED_REJECTION_TTL
    }

    /// Records a load report.
    pub fn record_load_report(&mut self, now: TenthMillis, load: f64) {
        self.load_report = LoadReport { received_at: now, load };
    }

    /// Extends the validity of the known load, because the worker answered a health check. This holds also if the
    /// answer had no readable load report; otherwise the worker would be asked again and again.
    pub fn renew_load_report(&mut self, now: TenthMillis) {
        self.load_report.received_at = now;
    }

    /// Adds the load of an attempt that was sent to the worker.
    pub fn add_to_reported_load(&mut self, load: f64) {
        self.load_report.load += load;
    }

    /// Returns the worker's load divided by its size; None if the report has expired.
    pub fn reported_load(&self, now: TenthMillis) -> Option<f64> {
        let is_valid = now < self.load_report.received_at + LOAD_REPORT_TTL;
        is_valid.then(|| self.load_report.load / self.size())
    }

    /// Returns the worker's id.
    pub fn id(&self) -> WorkerId {
        self.endpoint.worker
    }
}
