//! Retries: which requests may run again, at which workers and until when.

use super::request::RequestState;
use super::worker::Worker;
use crate::types::{Idempotency, SchedulerConfig, TenthMillis};

/// Returns the idempotency of the request's class.
pub fn idempotency(config: &SchedulerConfig, request: &RequestState) -> Idempotency {
    config.classes[usize::from(request.class())].idempotency
}

/// Returns whether a request may run now at some worker: no attempt of it may have run yet, or its class still
/// allows a retry after the first attempt that may have run.
pub fn may_run(config: &SchedulerConfig, now: TenthMillis, request: &RequestState) -> bool {
    let Some(first_run) = request.first_run else { return true };
    idempotency(config, request).allows_retry_after(now - first_run.sent_at)
}

/// Returns whether a request may run at a worker: no attempt of it may have run yet, or a retry is allowed and the
/// worker would deduplicate it.
pub fn may_run_at(
    config: &SchedulerConfig,
    now: TenthMillis,
    request: &RequestState,
    worker: Option<&Worker>,
) -> bool {
    if request.first_run.is_none() {
        return true;
    }
    let idempotency = idempotency(config, request);
    worker.is_some_and(|worker| deduplicates_at(idempotency, request, worker))
        && may_run(config, now, request)
}

/// Returns whether a worker would recognize a retry of the attempt that may have run.
pub fn deduplicates_at(idempotency: Idempotency, request: &RequestState, worker: &Worker) -> bool {
    let first_run = request.first_run.map(|first_run| (first_run.sent_at, first_run.endpoint));
    idempotency.deduplicates_at(first_run, &worker.endpoint)
}

/// Returns whether the client may safely send the request again, whichever worker would then run it.
pub fn is_safe_to_resend(config: &SchedulerConfig, request: &RequestState) -> bool {
    request.first_run.is_none() || idempotency(config, request).is_safe_anywhere()
}

/// Returns whether a decode attempt can be cancelled and retried even if it has run.
pub fn is_always_retryable(config: &SchedulerConfig, request: &RequestState) -> bool {
    idempotency(config, request) == Idempotency::Idempotent
}
