//! Attempts whose answer never comes: when their worker is checked, when they count against it, and when they are
//! cancelled so that others can follow.

use super::fleet::Fleet;
use super::outlier_detection::{loss_timeout, suspicion_age};
use super::request::RequestState;
use super::retry;
use super::stage::Stage;
use crate::types::TenthMillis;

impl Fleet {
    /// Reviews a request's attempt that may be lost; whether it is to be cancelled is returned.
    ///
    /// Guards against answers that never come, of a worker or of one request class there. A health check asks about
    /// the worker of an attempt that takes long. One that takes some times the usual wait, as slow as that may be
    /// while little is known, counts against its worker for its class, and is cancelled where the request may run
    /// again. Its age is a wait, too. Harms slow prefills that are taken for lost.
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
        let may_follow = attempt.stage == Stage::Prefill || is_retryable;
        let retries = may_follow && (is_lost || is_in_backoff) && has_attempts_left;
        attempt.cancelled = self.config.cancellation_enabled && (has_ended || retries);
        attempt.cancelled
    }
}
