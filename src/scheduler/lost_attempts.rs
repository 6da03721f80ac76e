//! Attempts that may never be answered: when their worker's health is checked, when they count as lost at that
//! worker, and when they are cancelled so that another attempt can follow.

use super::fleet::Fleet;
use super::outlier_detection::{loss_timeout, suspicion_age};
use super::request::RequestState;
use super::retry;
use super::stage::Stage;
use crate::types::TenthMillis;

impl Fleet {
    /// Reviews a request's attempt that may be lost; returns whether it is to be cancelled.
    ///
    /// Guards against a worker that stops answering, for all requests or for one request class. When an attempt
    /// takes long, its worker's health is checked. When it takes several times the usual wait, where that is
    /// assumed to be long while little is known, it counts as lost at its worker for its class and is cancelled
    /// if the request may run again. The timeout is then recorded as a wait, too. The drawback: slow prefills may
    /// be taken for lost.
    pub fn review_attempt(&mut self, now: TenthMillis, request: &mut RequestState) -> bool {
        let class = request.class();
        let ttft_objective = request.ttft_allowance() as f64;
        let prior_wait = request.usable_wait();
        let is_retryable = retry::is_always_retryable(&self.config, request);
        let has_attempts_left = request.attempts + 1 < self.config.max_attempts;
        let has_ended = request.ended;
        let Some(attempt) = request.attempt.as_mut().filter(|attempt| !attempt.started && !attempt.cancelled)
        else {
            return false;
        };
        let worker = self.workers.get(&attempt.worker);
        let is_in_backoff = worker.is_some_and(|worker| worker.backoff.is_running(now));
        let usual_wait = self.waits.expected(now, attempt.stage, class, prior_wait);
        let timeout = loss_timeout(usual_wait, self.losses.fleet_rate(now, class), ttft_objective);
        let age = (now - attempt.sent_at) as f64;
        let is_lost = age > timeout;
        if is_lost && !attempt.lost {
            attempt.lost = true;
            self.waits.record(now, attempt.stage, class, timeout);
            self.record_loss(now, class, attempt.worker);
        } else if age > suspicion_age(ttft_objective) && !attempt.suspected {
            attempt.suspected = true;
            self.suspect(attempt.worker);
        }
        let may_retry = attempt.stage == Stage::Prefill || is_retryable;
        let is_to_be_retried = may_retry && (is_lost || is_in_backoff) && has_attempts_left;
        attempt.cancelled = self.config.cancellation_enabled && (has_ended || is_to_be_retried);
        attempt.cancelled
    }
}
