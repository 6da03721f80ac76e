//! What the scheduler knows of one worker.

use super::backoff::Backoff;
use super::outlier_detection::LossRates;
use super::timing::WAIT_TIME_CONSTANT;
use crate::ewma::EwmaMean;
use crate::in_flight::Load;
use crate::types::{Endpoint, EndpointStatus, Role, TenthMillis, WorkerId};

/// Prompt tokens of this router that may wait at a prefill worker before prefills spill to others; so many waiting at
/// a decode worker that reports them count as a rejection.
pub const SPILL_TOKENS: f64 = 4_000.0;
/// How long a worker's rejection holds where there is no other to ask; the design's 50 ms.
const REJECTION_TTL: TenthMillis = 500;
/// How long a rejection is cached where another worker can be asked: 1 s.
const CACHED_REJECTION_TTL: TenthMillis = 10_000;
/// How long a load report is believed, 30 ms, in which few requests arrive; longer than it is waited for, two passes.
const LOAD_REPORT_TTL: TenthMillis = 300;

/// What a worker last reported that it works on or has waiting.
pub struct LoadReport {
    received_at: TenthMillis,
    /// In prompt tokens or attempts, as the configuration says, with those sent since.
    load: f64,
}

impl Default for LoadReport {
    /// Of a worker that never reported nothing is believed but that it is full.
    fn default() -> Self {
        // Long ago, and far enough from the least number that a time to live can be added.
        LoadReport { received_at: TenthMillis::MIN / 2, load: f64::INFINITY }
    }
}

/// The health check that is out at a worker.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
pub enum HealthCheck {
    #[default]
    None,
    /// It decides whether the worker is in service.
    Probe,
    /// It only asks for a load report; if it fails, a probe follows.
    LoadQuery,
}

/// One worker's state.
pub struct Worker {
    pub endpoint: Endpoint,
    pub role: Role,
    /// Attempts answered since it started or came back, by which its trickle widens.
    pub answers: u32,
    /// When it started or came back from a backoff; 0 for long ago.
    pub in_service_since: TenthMillis,
    pub backoff: Backoff,
    /// A probe is to tell whether the whole worker is dead.
    pub suspected: bool,
    pub health_check: HealthCheck,
    /// The part of attempts lost there.
    pub losses: LossRates,
    response_wait: EwmaMean,
    rejected_at: TenthMillis,
    load_report: LoadReport,
}

impl Worker {
    /// A worker that the endpoint list names for the first time.
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

    /// Takes over what the endpoint list says now; another start time is another incarnation.
    pub fn update_endpoint(&mut self, endpoint: Endpoint, role: Role) {
        if self.endpoint.start_time != endpoint.start_time {
            self.answers = 0;
            self.in_service_since = endpoint.start_time;
            self.backoff.reset();
        }
        self.endpoint = endpoint;
        self.role = role;
    }

    /// It is serving and not in a backoff.
    pub fn is_available(&self) -> bool {
        self.endpoint.status == EndpointStatus::Serving && !self.backoff.is_active()
    }

    /// Its process started less than `warm_up_time` ago.
    pub fn is_warming_up(&self, now: TenthMillis, warm_up_time: TenthMillis) -> bool {
        self.endpoint.start_time > 0 && now - self.endpoint.start_time < warm_up_time
    }

    /// Its size, such that it can be divided by.
    pub fn size(&self) -> f64 {
        self.endpoint.size.max(0.01)
    }

    /// Returns from a backoff through a trickle: the cap on what is in flight starts anew.
    pub fn recover(&mut self, now: TenthMillis) {
        self.backoff.end();
        self.answers = 0;
        self.in_service_since = now;
    }

    /// An attempt of a stage was answered after so long.
    pub fn record_answer(&mut self, now: TenthMillis, wait: TenthMillis) {
        self.response_wait.add(now, WAIT_TIME_CONSTANT, wait as f64);
        self.backoff.reset();
    }

    /// How long answers take there, of late or by the oldest that is awaited.
    pub fn response_wait(&mut self, now: TenthMillis, load: &Load) -> f64 {
        let mean = self.response_wait.read(now, WAIT_TIME_CONSTANT).unwrap_or(0.0);
        mean.max((now - load.oldest_awaited(now)) as f64)
    }

    /// It rejected an attempt or a reservation.
    pub fn record_rejection(&mut self, now: TenthMillis) {
        self.rejected_at = now;
    }

    /// It granted a reservation: an earlier rejection holds no more.
    pub fn clear_rejection(&mut self, now: TenthMillis) {
        self.rejected_at = now - CACHED_REJECTION_TTL;
    }

    /// Its last answer on a reservation, or to an attempt, was a rejection a moment ago.
    pub fn has_just_rejected(&self, now: TenthMillis) -> bool {
        now < self.rejected_at + REJECTION_TTL
    }

    /// The same, as long as it is cached where another worker can be asked.
    pub fn has_cached_rejection(&self, now: TenthMillis) -> bool {
        now < self.rejected_at + CACHED_REJECTION_TTL
    }

    /// It reported its load.
    pub fn record_load_report(&mut self, now: TenthMillis, load: f64) {
        self.load_report = LoadReport { received_at: now, load };
    }

    /// It answered a health check: what was believed of its load stands, also where it reported nothing that can be
    /// read, or it would be asked again and again.
    pub fn renew_load_report(&mut self, now: TenthMillis) {
        self.load_report.received_at = now;
    }

    /// An attempt went there that adds to its load.
    pub fn add_to_reported_load(&mut self, load: f64) {
        self.load_report.load += load;
    }

    /// Its load for its size, while the report is believed.
    pub fn reported_load(&self, now: TenthMillis) -> Option<f64> {
        let is_believed = now < self.load_report.received_at + LOAD_REPORT_TTL;
        is_believed.then(|| self.load_report.load / self.size())
    }

    /// Its id.
    pub fn id(&self) -> WorkerId {
        self.endpoint.worker
    }
}
